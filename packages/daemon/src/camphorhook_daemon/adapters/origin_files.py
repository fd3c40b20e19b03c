"""Stores where streams began in two files of a replica's data folder.

Messages are appended to `origins`. After the time for which they are kept,
that file replaces `origins.old`, and another one is begun. A process that
starts begins with a file of all messages that it found.
"""

import os
import pathlib

from camphorhook_common import errors
from camphorhook_common import wire
from camphorhook_daemon.adapters import records

MAX_BYTES = 4 * 1024 * 1024  # of a file, read as a whole at a start
_KIND_BYTES = 2  # of a message, before its body
_FILE, _OLD_FILE, _NEW_FILE = "origins", "origins.old", "origins.new"


class OriginFiles:
    """The files of one replica; implements ports.OriginStore."""

    def __init__(self, folder, retention_seconds):
        """Create the object; files are created by the first append.

        Args:
            folder: path of the data folder, which exists.
            retention_seconds: how long each message is kept at least, unless
                the files grow too large.
        """
        folder = pathlib.Path(folder)
        self._folder = folder
        self._path, self._old_path = folder / _FILE, folder / _OLD_FILE
        self._retention_seconds = retention_seconds
        self._began_at = None
        self._file = None

    def load(self):
        """Return the stored messages, oldest first.

        What follows a record that was not written as a whole is left out.

        Raises:
            errors.StorageError: a file can't be read.
        """
        try:
            return self._read_all()
        except OSError as error:
            raise self._make_error("load", error) from error

    def _read_all(self):
        return [*_read(self._old_path), *_read(self._path)]

    def append(self, messages, now):
        """Store messages and sync them.

        After a failure, the next call begins a file with what was stored.

        Raises:
            errors.StorageError: they may not be durable.
        """
        data = b"".join(map(_encode, messages))
        try:
            if self._file is None:
                self._begin(now)
            elif self._is_full(now):
                self._rotate(now)
            self._write(data)
        except OSError as error:
            self._close()
            raise self._make_error("append", error) from error

    def _is_full(self, now):
        return (
            now - self._began_at > self._retention_seconds
            or self._file.tell() > MAX_BYTES
        )

    def _begin(self, now):
        """Begin a file with the messages that are stored."""
        encoded = [_encode(message) for message in self._read_all()]
        while sum(map(len, encoded)) > MAX_BYTES:
            del encoded[: len(encoded) // 2 + 1]
        new_path = self._folder / _NEW_FILE
        self._file = open(new_path, "wb", buffering=0)
        self._write(b"".join(encoded))
        os.replace(new_path, self._path)
        self._old_path.unlink(missing_ok=True)
        records.sync_folder(self._folder)
        self._began_at = now

    def _write(self, data):
        written = self._file.write(data)
        if written < len(data):
            raise OSError(f"wrote {written} of {len(data)} bytes")
        os.fsync(self._file.fileno())

    def _rotate(self, now):
        """Keep the file as the old one and begin another."""
        self._close()
        os.replace(self._path, self._old_path)
        self._file = open(self._path, "wb", buffering=0)
        records.sync_folder(self._folder)
        self._began_at = now

    def _close(self):
        if self._file is not None:
            self._file.close()
            self._file = None

    def _make_error(self, step, error):
        return errors.StorageError(
            f"{error}", step=f"origins {step}", peer=str(self._folder)
        )


def _encode(message):
    kind, body = wire.encode(message)
    return records.encode(kind.encode() + body)


def _read(path):
    """Return the messages in a file; none if there is no file."""
    found = []
    data = path.read_bytes() if path.exists() else b""
    offset = 0
    while (body := records.read(data, offset)) is not None:
        kind = body[:_KIND_BYTES].decode("ascii", "replace")
        try:
            found.append(wire.decode(kind, body[_KIND_BYTES:]))
        except errors.ProtocolError:
            break
        offset += records.HEADER.size + len(body)
    return found
