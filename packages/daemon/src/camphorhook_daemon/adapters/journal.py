"""The replica's files: vote, entries and snapshot under one data folder.

Files:
    identity: a random id made with the folder.
    vote: term and vote, replaced as a whole.
    snapshot: the last snapshot, replaced as a whole.
    entries: records appended one after another.

A record is its length and CRC-32 (two little-endian 32-bit numbers) and a
MessagePack body. A record that is cut short or fails its checksum at the
end of `entries` was never acknowledged and is dropped; one that is followed
by a valid record means corruption.
"""

import os
import pathlib
import struct
import uuid
import zlib

import msgspec

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_daemon.ports import journal as ports

_HEADER = struct.Struct("<II")
_IDENTITY_FILE = "identity"
_VOTE_FILE = "vote"
_SNAPSHOT_FILE = "snapshot"
_ENTRIES_FILE = "entries"
FIRST_IDENTITY_SUFFIX = "#0"


def make_first_identity(name):
    """Return the identity of a founding replica."""
    return name + FIRST_IDENTITY_SUFFIX


def make_founding_checkpoint(names, data):
    """Return the start of a new log.

    Args:
        names: replicas that are its voters.
        data: the dump of an empty state.
    """
    voters = {name: make_first_identity(name) for name in names}
    return ports.Checkpoint(0, 0, voters, data)


def _frame(body):
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def _read_record(data, offset):
    """Return the body at the offset, or None if it is torn or wrong."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    body = data[start : start + length]
    if length == 0 or len(body) < length or zlib.crc32(body) != checksum:
        return None
    return body


def _has_record_after(data, offset):
    """Tell whether a valid record starts anywhere after the offset."""
    for start in range(offset + 1, len(data) - _HEADER.size):
        length, _ = _HEADER.unpack_from(data, start)
        if 0 < length <= len(data) - start - _HEADER.size:
            if _read_record(data, start) is not None:
                return True
    return False


class DiskJournal:
    """Keeps a replica's durable state in files.

    Attributes:
        identity: id of this data folder; a lost disk gets a new one.
        vote: the persisted Vote.
        checkpoint: the persisted Checkpoint, or None.
        entries: the persisted entries after the checkpoint.
    """

    def __init__(self, folder, name, founding=None):
        """Open the data folder, creating it when it is missing.

        Args:
            folder: the data folder.
            name: the instance's name.
            founding: makes a new folder that of a founding replica: the
                Checkpoint that the log starts from, with the first voters.

        Raises:
            errors.StorageError: a file is corrupt or can't be read.
        """
        self._folder = pathlib.Path(folder)
        self._file = None
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self.identity = self._load_identity(name, founding)
            self.vote = self._load_vote()
            self.checkpoint = self._load_checkpoint()
            self.entries = self._load_entries()
        except OSError as error:
            raise self._fail("open", error) from error

    def _fail(self, step, error):
        return errors.StorageError(
            f"{error}; mend the disk or replace the data folder",
            step=f"journal {step}",
            peer=str(self._folder),
        )

    def _path(self, name):
        return self._folder / name

    def _replace(self, name, body):
        """Replace a file so that a crash leaves the old or the new one."""
        path = self._path(name)
        temporary = path.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(_frame(body))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        self._sync_folder()

    def _sync_folder(self):
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _read_whole(self, name):
        """Return the body of a replaced file; None when there is none."""
        path = self._path(name)
        if not path.exists():
            return None
        body = _read_record(path.read_bytes(), 0)
        if body is None:
            raise self._fail(f"read {name}", "the checksum is wrong")
        return body

    def _load_identity(self, name, founding):
        body = self._read_whole(_IDENTITY_FILE)
        if body is not None:
            identity = body.decode()
            if not identity.startswith(name + "#"):
                raise self._fail("open", f"the folder belongs to {identity}")
            return identity
        if self._path(_ENTRIES_FILE).exists():
            raise self._fail("open", "entries without an identity")
        identity = f"{name}#{uuid.uuid4().hex[:12]}"
        if founding is not None:
            # The voters go first: without an identity, a crash here leaves
            # a folder that is founded again.
            identity = make_first_identity(name)
            body = msgspec.msgpack.encode(founding)
            self._replace(_SNAPSHOT_FILE, body)
        self._replace(_IDENTITY_FILE, identity.encode())
        return identity

    def _load_vote(self):
        body = self._read_whole(_VOTE_FILE)
        if body is None:
            return ports.Vote(0, "")
        return msgspec.msgpack.decode(body, type=ports.Vote)

    def _load_checkpoint(self):
        body = self._read_whole(_SNAPSHOT_FILE)
        if body is None:
            return None
        return msgspec.msgpack.decode(body, type=ports.Checkpoint)

    def _load_entries(self):
        path = self._path(_ENTRIES_FILE)
        data = path.read_bytes() if path.exists() else b""
        entries = []
        base = self.checkpoint.index if self.checkpoint else 0
        offset = 0
        decoder = msgspec.msgpack.Decoder(commands.Entry)
        while offset < len(data):
            body = _read_record(data, offset)
            if body is None:
                if _has_record_after(data, offset):
                    raise self._fail("read entries", "a record is corrupt")
                break
            entry = decoder.decode(body)
            offset += _HEADER.size + len(body)
            if entry.index <= base:
                continue
            del entries[entry.index - base - 1 :]
            if entry.index != base + len(entries) + 1:
                raise self._fail("read entries", "an entry is missing")
            entries.append(entry)
        self._open_entries(offset)
        return entries

    def _open_entries(self, length):
        """Open the entries file for appending after `length` bytes."""
        self._file = open(self._path(_ENTRIES_FILE), "ab")
        self._file.truncate(length)
        os.fsync(self._file.fileno())
        self._sync_folder()

    def save_vote(self, vote):
        """Persist term and vote."""
        try:
            self._replace(_VOTE_FILE, msgspec.msgpack.encode(vote))
        except OSError as error:
            raise self._fail("save vote", error) from error

    def append(self, entries):
        """Persist entries and sync them."""
        encode = msgspec.msgpack.encode
        block = b"".join(_frame(encode(entry)) for entry in entries)
        try:
            self._file.write(block)
            self._file.flush()
            os.fsync(self._file.fileno())
        except OSError as error:
            raise self._fail("append", error) from error

    def save_checkpoint(self, checkpoint, entries):
        """Persist a snapshot and the entries that follow it.

        The snapshot is in place before older entries go; entries up to its
        index are ignored on reading, so a crash between the two is safe.
        """
        encode = msgspec.msgpack.encode
        block = b"".join(_frame(encode(entry)) for entry in entries)
        try:
            self._replace(_SNAPSHOT_FILE, encode(checkpoint))
            path = self._path(_ENTRIES_FILE)
            temporary = path.with_suffix(".new")
            with open(temporary, "wb") as file:
                file.write(block)
                file.flush()
                os.fsync(file.fileno())
            self._file.close()
            os.replace(temporary, path)
            self._open_entries(len(block))
        except OSError as error:
            raise self._fail("save snapshot", error) from error

    def close(self):
        """Close the entries file."""
        self._file.close()
