"""Commands of the replicated log, their outcomes, and their codec."""

import typing

from camphorhook_common import codec
from camphorhook_common import tables


class SetCells(typing.NamedTuple):
    """Sets cells of one row, if the row is at the expected version.

    Attributes:
        operation: id under which the outcome is remembered.
        expected: the row's version; 0 creates the row; -1 takes any.
        cells: checked cells by column.
        at: leader's wall clock, seconds since the epoch.
    """

    operation: str
    table: str
    row: str
    expected: int
    cells: tables.Row
    at: float


class RemoveRow(typing.NamedTuple):
    """Removes a row, if it is at the expected version."""

    operation: str
    table: str
    row: str
    expected: int
    at: float


class Claim(typing.NamedTuple):
    """Claims the right to the only attempt of a request.

    Attributes:
        account: client account.
        key: the caller's idempotency key.
        digest: digest of method, path and body.
        attempt: id of the attempt that asks.
        instance: the instance that would run it.
        retention: seconds to remember the claim for.
        patience: seconds after which a running attempt counts as one
            with an unknown outcome.
        at: leader's wall clock, seconds since the epoch.
    """

    account: str
    key: str
    digest: str
    attempt: str
    instance: str
    retention: float
    patience: float
    at: float


class Settle(typing.NamedTuple):
    """Records the outcome of a claimed attempt.

    Attributes:
        state: finished, unknown or abandoned.
        status: HTTP status of the answer; 0 when there is none.
        content_type: the answer's media type.
        body: the answer's body.
    """

    account: str
    key: str
    attempt: str
    state: str
    status: int
    content_type: str
    body: bytes
    at: float


class TakeFence(typing.NamedTuple):
    """Takes a new fencing number; the answer is the entry's index."""

    holder: str
    at: float


class ImportDocument(typing.NamedTuple):
    """Replaces the routing document, if its version is the highest yet.

    Attributes:
        version: the version that its author gave it.
        body: the document as sent, packed; or a delta, as `deltas` makes
            both.
        at: leader's wall clock, seconds since the epoch.
        base: version that the delta leads on from; 0 for a whole document.
    """

    version: int
    body: str
    at: float
    base: int = 0


class Voters(typing.NamedTuple):
    """Replaces the set of voters; one voter differs at the most."""

    members: dict[str, str]
    at: float


class Begin(typing.NamedTuple):
    """The first entry of a leader's term."""

    leader: str
    at: float


Command = (
    SetCells
    | RemoveRow
    | ImportDocument
    | Claim
    | Settle
    | TakeFence
    | Voters
    | Begin
)
KINDS = {
    "set": SetCells,
    "remove": RemoveRow,
    "document": ImportDocument,
    "claim": Claim,
    "settle": Settle,
    "fence": TakeFence,
    "voters": Voters,
    "begin": Begin,
}


class Entry(typing.NamedTuple):
    """One entry of the replicated log.

    Attributes:
        index: place in the log, from 1.
        term: term of the leader that made it.
        kind: a key of KINDS.
        data: the command in MessagePack.
    """

    index: int
    term: int
    kind: str
    data: bytes


class Outcome(typing.NamedTuple):
    """What a command came to.

    Attributes:
        code: done, conflict, replay, running, mismatch or refused.
        index: index at which it was applied.
        version: the row's version after it, where it has one.
        detail: words for a person.
        status: of a replayed answer.
        content_type: of a replayed answer.
        body: of a replayed answer.
    """

    code: str
    index: int = 0
    version: int = 0
    detail: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""


_codec = codec.Codec(KINDS)
encode = _codec.encode
decode = _codec.decode
