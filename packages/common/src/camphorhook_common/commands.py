"""Commands of the replicated log, their outcomes and their codec."""

import typing

from camphorhook_common import codec
from camphorhook_common import tables


class SetCells(typing.NamedTuple):
    """Sets cells of a row if the row is at the expected version.

    Attributes:
        operation: id under which the outcome is stored, so that a resend of
            the command gets the same outcome.
        table: name of the table.
        row: name of the row.
        expected_version: version the row must be at; 0: the row must not
            exist yet; -1: any version.
        cells: validated cells by column; other cells keep their values.
        at: the leader's wall clock, in seconds since the epoch.
    """

    operation: str
    table: str
    row: str
    expected_version: int
    cells: tables.Row
    at: float


class RemoveRow(typing.NamedTuple):
    """Removes a row if it is at the expected version.

    Attributes are those of SetCells.
    """

    operation: str
    table: str
    row: str
    expected_version: int
    at: float


class ClaimAttempt(typing.NamedTuple):
    """Claims the exclusive right to run a request with an idempotency key.

    Attributes:
        account: client account.
        key: idempotency key that the caller chose.
        digest: digest of the method, path and body.
        attempt: id of the attempt that makes the claim.
        instance: instance that runs the attempt.
        retention: seconds for which the claim is stored.
        attempt_timeout: seconds after which the outcome of an attempt that is
            still running counts as unknown.
        at: the leader's wall clock, in seconds since the epoch.
    """

    account: str
    key: str
    digest: str
    attempt: str
    instance: str
    retention: float
    attempt_timeout: float
    at: float


class SettleAttempt(typing.NamedTuple):
    """Records the outcome of an attempt that holds a claim.

    Attributes:
        account: client account.
        key: idempotency key that the caller chose.
        attempt: id of the attempt that made the claim.
        state: finished, oversized (finished with an answer too large to be
            recorded), unknown or abandoned.
        status: HTTP status of the answer; 0 if there is none.
        content_type: media type of the answer.
        body: body of the answer.
        at: the leader's wall clock, in seconds since the epoch.
    """

    account: str
    key: str
    attempt: str
    state: str
    status: int
    content_type: str
    body: bytes
    at: float


class IssueFencingToken(typing.NamedTuple):
    """Issues a new fencing token, which is the index of the entry."""

    holder: str
    at: float


class ImportDocument(typing.NamedTuple):
    """Replaces the routing document if its version is the highest so far.

    Attributes:
        version: version that the document's author assigned.
        body: the document as sent, from `deltas.pack`, or a delta, from
            `deltas.make`.
        at: the leader's wall clock, in seconds since the epoch.
        base: version that the delta applies to; 0 for a full document.
    """

    version: int
    body: str
    at: float
    base: int = 0


class SetVoters(typing.NamedTuple):
    """Replaces the set of voters; at most one voter may change at a time.

    Attributes:
        members: identity of the data folder by name of each voter.
        at: the leader's wall clock, in seconds since the epoch.
    """

    members: dict[str, str]
    at: float


class BeginTerm(typing.NamedTuple):
    """Does nothing; a leader appends it as the first entry of its term."""

    leader: str
    at: float


Command = (
    SetCells
    | RemoveRow
    | ImportDocument
    | ClaimAttempt
    | SettleAttempt
    | IssueFencingToken
    | SetVoters
    | BeginTerm
)
KINDS = {
    "set": SetCells,
    "remove": RemoveRow,
    "document": ImportDocument,
    "claim": ClaimAttempt,
    "settle": SettleAttempt,
    "fence": IssueFencingToken,
    "voters": SetVoters,
    "begin": BeginTerm,
}


class Entry(typing.NamedTuple):
    """One entry of the replicated log.

    Attributes:
        index: position in the log, from 1.
        term: term of the leader that appended it.
        kind: a key of KINDS.
        data: the command, encoded in MessagePack.
    """

    index: int
    term: int
    kind: str
    data: bytes


class Outcome(typing.NamedTuple):
    """The result of a command.

    Attributes:
        code: done, conflict or refused; of a document also kept or stale;
            of a claim also replay, oversized, running, mismatch, unknown or
            abandoned.
        index: log index at which the command was applied.
        version: version of the row or document after the command; 0 if
            there is none.
        detail: explanation for a user.
        status: HTTP status of a replayed or oversized answer.
        content_type: media type of a replayed answer.
        body: body of a replayed answer.
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
