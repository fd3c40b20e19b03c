"""Port for the durable storage of a replica."""

import typing

import msgspec

from camphorhook_common import commands


class Vote(typing.NamedTuple):
    """The replica's current term and its vote in that term."""

    term: int
    voted_for: str


class Checkpoint(typing.NamedTuple):
    """A snapshot of the state and its position in the log.

    Attributes:
        index: index of the last log entry that the snapshot covers.
        term: term of that entry.
        voters: identity of each voter by name, as of that entry.
        data: the encoded state.
    """

    index: int
    term: int
    voters: dict[str, str]
    data: bytes


class Journal(typing.Protocol):
    """Stores vote, entries and snapshot; every write is synced on return.

    A write that a full disk refuses raises errors.NoRoomError and leaves
    what was stored before.

    Attributes:
        identity: id of the replica's data folder.
    """

    identity: str

    def save_vote(self, vote: Vote):
        """Persist the term and the vote."""

    def append(self, entries: list[commands.Entry]):
        """Persist log entries.

        An entry whose index is already stored replaces the stored entry
        and all entries after it.

        Raises:
            errors.StorageError: the entries may not be durable.
        """

    def save_checkpoint(self, checkpoint, entries):
        """Persist a snapshot and the entries that follow it."""


def encode_checkpoint(checkpoint):
    """Return a Checkpoint encoded as MessagePack."""
    return msgspec.msgpack.encode(checkpoint)


def decode_checkpoint(data):
    """Return the Checkpoint that MessagePack bytes hold."""
    return msgspec.msgpack.decode(data, type=Checkpoint)
