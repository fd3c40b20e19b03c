"""Stores a replica's vote, log entries and snapshot in its data folder.

Files:
    identity: id of the data folder, created with it.
    vote: term and vote, replaced atomically.
    snapshot: the last snapshot, replaced atomically.
    entries: log entries, one record appended after another.

Files consist of `records`; every body is MessagePack, except for that of
`identity`, which is text. A record at the end of `entries` that is truncated
or fails its checksum was never acknowledged and is dropped. If a valid
record follows it, the file is corrupt. Writes are not buffered, so that a
write that a full disk refuses leaves nothing to be written later.
"""

import contextlib
import errno
import os
import pathlib
import uuid

import msgspec

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_daemon.adapters import records
from camphorhook_daemon.ports import journal as ports

_IDENTITY_FILE = "identity"
_VOTE_FILE = "vote"
_SNAPSHOT_FILE = "snapshot"
_ENTRIES_FILE = "entries"
FIRST_IDENTITY_SUFFIX = "#0"
# Other errors of a write, such as EIO, leave unknown what the disk holds.
_NO_ROOM_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


def make_first_identity(name):
    """Return the data folder identity of a replica that founds the log."""
    return name + FIRST_IDENTITY_SUFFIX


def make_founding_checkpoint(names, data):
    """Return the Checkpoint that a new log starts from.

    Args:
        names: names of the replicas that are its first voters.
        data: the dump of an empty State.
    """
    voters = {name: make_first_identity(name) for name in names}
    return ports.Checkpoint(0, 0, voters, data)


def _has_record_after(data, offset):
    """Return whether a valid record starts at any byte after an offset."""
    for start in range(offset + 1, len(data) - records.HEADER.size):
        length, _ = records.HEADER.unpack_from(data, start)
        if 0 < length <= len(data) - start - records.HEADER.size:
            if records.read(data, start) is not None:
                return True
    return False


def _write_all(file, data):
    """Write bytes to an unbuffered file, which may take a part at a time."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]


@contextlib.contextmanager
def _create_temporary(path, mode):
    """Open a new file; on an error, close it and give its space back."""
    file = open(path, mode, buffering=0)
    try:
        yield file
    except OSError:
        file.close()
        with contextlib.suppress(OSError):
            os.unlink(path)
        raise


class DiskJournal:
    """Stores a replica's durable state in files; implements ports.Journal.

    Attributes:
        identity: id of this data folder; a replica that lost its disk gets
            another one.
        vote: the stored Vote.
        checkpoint: the stored Checkpoint, or None.
        entries: the stored entries that follow the checkpoint.
    """

    def __init__(self, folder, name, founding=None):
        """Open the data folder, or create it if there is none.

        Args:
            folder: path of the data folder.
            name: name of the instance.
            founding: the Checkpoint that a new log starts from; if given, a
                new folder becomes that of one of the first voters.

        Raises:
            errors.StorageError: a file is corrupt or can't be read, or the
                folder belongs to another instance.
        """
        self._folder = pathlib.Path(folder)
        self._file = None
        self._length = 0
        self._is_torn = False
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self.identity = self._load_identity(name, founding)
            self.vote = self._load_vote()
            self.checkpoint = self._load_checkpoint()
            self.entries = self._load_entries()
        except OSError as error:
            raise self._make_error("open", error) from error

    def _make_error(self, step, error):
        return errors.StorageError(
            f"{error}; mend the disk or replace the data folder",
            step=f"journal {step}",
            peer=str(self._folder),
        )

    def _make_write_error(self, step, error):
        if error.errno not in _NO_ROOM_ERRORS:
            return self._make_error(step, error)
        return errors.NoRoomError(
            f"{error}; free space on the disk",
            step=f"journal {step}",
            peer=str(self._folder),
        )

    def _get_path(self, name):
        return self._folder / name

    def _replace_file(self, name, body):
        """Replace a file atomically with one record.

        After a crash, either the old or the new file is there as a whole.
        """
        path = self._get_path(name)
        temporary = path.with_suffix(".new")
        with _create_temporary(temporary, "wb") as file:
            _write_all(file, records.encode(body))
            os.fsync(file.fileno())
            os.replace(temporary, path)
        file.close()
        records.sync_folder(self._folder)

    def _read_file(self, name):
        """Return the body of a file of one record; None without a file."""
        path = self._get_path(name)
        if not path.exists():
            return None
        body = records.read(path.read_bytes(), 0)
        if body is None:
            raise self._make_error(
                f"read {name}", "the file is truncated or fails its checksum"
            )
        return body

    def _load_identity(self, name, founding):
        body = self._read_file(_IDENTITY_FILE)
        if body is not None:
            identity = body.decode()
            if not identity.startswith(name + "#"):
                raise self._make_error(
                    "open", f"the data folder belongs to {identity}"
                )
            return identity
        if self._get_path(_ENTRIES_FILE).exists():
            raise self._make_error(
                "open", "the folder has an entries file but no identity"
            )
        identity = f"{name}#{uuid.uuid4().hex[:12]}"
        if founding is not None:
            # The snapshot with the voters is written before the identity:
            # after a crash in between, the next start founds the log again.
            identity = make_first_identity(name)
            body = msgspec.msgpack.encode(founding)
            self._replace_file(_SNAPSHOT_FILE, body)
        self._replace_file(_IDENTITY_FILE, identity.encode())
        return identity

    def _load_vote(self):
        body = self._read_file(_VOTE_FILE)
        if body is None:
            return ports.Vote(0, "")
        return msgspec.msgpack.decode(body, type=ports.Vote)

    def _load_checkpoint(self):
        body = self._read_file(_SNAPSHOT_FILE)
        if body is None:
            return None
        return msgspec.msgpack.decode(body, type=ports.Checkpoint)

    def _load_entries(self):
        path = self._get_path(_ENTRIES_FILE)
        data = path.read_bytes() if path.exists() else b""
        entries = []
        base = self.checkpoint.index if self.checkpoint else 0
        base_term = self.checkpoint.term if self.checkpoint else 0
        offset = 0
        decoder = msgspec.msgpack.Decoder(commands.Entry)
        while offset < len(data):
            body = records.read(data, offset)
            if body is None:
                if _has_record_after(data, offset):
                    raise self._make_error(
                        "read entries", "a record before the last is corrupt"
                    )
                break
            entry = decoder.decode(body)
            offset += records.HEADER.size + len(body)
            # A snapshot of another replica may have been stored without
            # the cut of the entries that it replaces.
            if entry.index <= base or entry.term < base_term:
                continue
            del entries[entry.index - base - 1 :]
            if entry.index != base + len(entries) + 1:
                raise self._make_error(
                    "read entries", "the indexes of the entries have a gap"
                )
            entries.append(entry)
        self._open_entries(offset)
        return entries

    def _open_entries(self, length):
        """Open the entries file for appending; cut it to `length` bytes."""
        path = self._get_path(_ENTRIES_FILE)
        self._file = open(path, "ab", buffering=0)
        self._length = length
        if path.stat().st_size > length:
            self._file.truncate(length)
        os.fsync(self._file.fileno())
        records.sync_folder(self._folder)

    def save_vote(self, vote):
        """Persist the term and the vote.

        Raises:
            errors.NoRoomError: the disk is full.
            errors.StorageError: they may not be durable.
        """
        try:
            self._replace_file(_VOTE_FILE, msgspec.msgpack.encode(vote))
        except OSError as error:
            raise self._make_write_error("save vote", error) from error

    def append(self, entries):
        """Persist log entries.

        Raises:
            errors.NoRoomError: the disk is full.
            errors.StorageError: the entries may not be durable.
        """
        encode = msgspec.msgpack.encode
        data = b"".join(records.encode(encode(entry)) for entry in entries)
        try:
            self._cut_torn_end()
            self._is_torn = True
            _write_all(self._file, data)
            os.fsync(self._file.fileno())
        except OSError as error:
            raise self._make_write_error(
                "append", self._undo_append(error)
            ) from error
        self._is_torn = False
        self._length += len(data)

    def _undo_append(self, error):
        """Cut off a refused write; return the error that ended the append.

        If it can't be cut off for lack of room, the next append does it.
        """
        try:
            self._cut_torn_end()
        except OSError as other:
            if other.errno not in _NO_ROOM_ERRORS:
                return other
        return error

    def _cut_torn_end(self):
        """Cut off what a refused write left at the end of the entries."""
        if self._is_torn:
            self._file.truncate(self._length)
            os.fsync(self._file.fileno())
            self._is_torn = False

    def save_checkpoint(self, checkpoint, entries):
        """Persist a snapshot and the entries that follow it.

        The snapshot is replaced before the entries. A crash in between is
        safe, since entries up to the snapshot's index are ignored on reading.

        Args:
            checkpoint: the Checkpoint.
            entries: the entries after it.

        Raises:
            errors.NoRoomError: the disk is full.
            errors.StorageError: they may not be durable.
        """
        encode = msgspec.msgpack.encode
        data = b"".join(records.encode(encode(entry)) for entry in entries)
        try:
            self._replace_file(_SNAPSHOT_FILE, encode(checkpoint))
            self._replace_entries(data)
        except OSError as error:
            raise self._make_write_error("save snapshot", error) from error

    def _replace_entries(self, data):
        path = self._get_path(_ENTRIES_FILE)
        temporary = path.with_suffix(".new")
        with _create_temporary(temporary, "ab") as file:
            file.truncate(0)
            _write_all(file, data)
            os.fsync(file.fileno())
            os.replace(temporary, path)
        self._file.close()
        self._file = file
        self._length = len(data)
        self._is_torn = False
        records.sync_folder(self._folder)

    def close(self):
        """Close the entries file."""
        self._file.close()
