"""Records of what callers, servers and the operator observed in a run."""

import typing


class Answer(typing.NamedTuple):
    """A client's request and its answer.

    Attributes:
        request: request ID.
        entry: name of the entry instance.
        target: path of the request.
        key: key of the client; empty for a request without one.
        sent_at: time of sending, in Unix seconds.
        ended_at: time when the answer or an error arrived, in Unix seconds.
        status: status code; 0 if no complete answer head was received.
        body: body of the answer.
        is_whole: whether the body was received completely.
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
    """A request of the operator to the control API.

    Attributes:
        kind: `document`, `evacuate` or `return`.
        subject: version of the document, or name of the failure domain.
        sent_at: time of the first attempt, in Unix seconds.
        acked_at: time of the acknowledgement, in Unix seconds;
            None if there was none.
    """

    kind: str
    subject: object
    sent_at: float
    acked_at: float | None


class Period(typing.NamedTuple):
    """A period in which a process had a fault or a planned restart.

    Attributes:
        target: name of the process; `all` for every process.
        kind: kind of the fault, see schedules.KINDS.
        begin: start of the period, in Unix seconds.
        end: end of the period, in Unix seconds.
    """

    target: str
    kind: str
    begin: float
    end: float


class Reading(typing.NamedTuple):
    """State of the system at the end, after all faults were undone.

    Attributes:
        recovered_seconds: seconds until every entry instance served requests
            again; None if that did not happen.
        versions: document version that each replica returned; 0 for none.
    """

    recovered_seconds: float | None
    versions: tuple[int, ...]


class History(typing.NamedTuple):
    """Everything that the checkers examine.

    Attributes:
        answers: the Answer of each client request.
        orders: the Order of each operator request.
        periods: the Period of each fault.
        effects: requests that servers executed: server, request, tenant, at,
            cold, zone.
        departures: acknowledged departures of servers: server, left.
        reading: state at the end.
    """

    answers: list[Answer]
    orders: list[Order]
    periods: list[Period]
    effects: list[dict]
    departures: list[dict]
    reading: Reading
