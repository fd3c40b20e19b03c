"""Port for the durable part of a replica."""

import typing

import msgspec

from camphorhook_common import commands


class Vote(typing.NamedTuple):
    """The replica's term and its vote in it."""

    term: int
    voted_for: str


class Checkpoint(typing.NamedTuple):
    """A snapshot of the state with its place in the log."""

    index: int
    term: int
    voters: dict[str, str]
    data: bytes


class Journal(typing.Protocol):
    """Keeps vote, entries and snapshot; every write is synced on return."""

    identity: str

    def save_vote(self, vote: Vote):
        """Persist term and vote."""

    def append(self, entries: list[commands.Entry]):
        """Persist entries; one with a known index replaces it and all after.

        Raises:
            errors.StorageError: the entries may not be durable.
        """

    def save_checkpoint(self, checkpoint, entries):
        """Persist a snapshot and the entries that follow it."""


def encode_checkpoint(checkpoint):
    """Return a checkpoint as bytes."""
    return msgspec.msgpack.encode(checkpoint)


def decode_checkpoint(data):
    """Return the checkpoint of encoded bytes."""
    return msgspec.msgpack.decode(data, type=Checkpoint)
