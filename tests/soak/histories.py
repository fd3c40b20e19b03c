"""What callers, servers and the operator saw during a run."""

import typing


class Answer(typing.NamedTuple):
    """A client's request and what came of it.

    Attributes:
        request: its id.
        entry: the entry instance.
        target: its path.
        key: the client's key.
        sent_at: Unix seconds.
        ended_at: Unix seconds.
        status: of the answer; 0 when it broke off or never came.
        body: of the answer.
        is_whole: the answer came to its end.
    """

    request: str
    entry: str
    target: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    body: str
    is_whole: bool


class Order(typing.NamedTuple):
    """An order of the operator.

    Attributes:
        kind: document, evacuate or return.
        subject: version or failure domain.
        sent_at: Unix seconds of the first try.
        acked_at: Unix seconds; None when it was never acknowledged.
    """

    kind: str
    subject: object
    sent_at: float
    acked_at: float | None


class Period(typing.NamedTuple):
    """A time in which a process had a fault; planned or not."""

    target: str
    kind: str
    begin: float
    end: float


class Reading(typing.NamedTuple):
    """What was found at the end, once everything had healed.

    Attributes:
        recovered_seconds: until every entry instance served; None if not.
        versions: version that each replica read back.
    """

    recovered_seconds: float | None
    versions: tuple[int, ...]


class History(typing.NamedTuple):
    """Everything that checkers look at.

    Attributes:
        answers: Answers.
        orders: Orders.
        periods: Periods of faults.
        effects: what servers ran: server, request, tenant, at, cold, zone.
        departures: when servers' leaving was acknowledged: server, left.
        reading: the Reading at the end.
    """

    answers: list[Answer]
    orders: list[Order]
    periods: list[Period]
    effects: list[dict]
    departures: list[dict]
    reading: Reading
