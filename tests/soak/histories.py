"""Records of what callers, servers and the operator observed in a run."""

import typing


class Answer(typing.NamedTuple):
    """A client's request and its answer.

    Attributes:
        request_id: request ID.
        entry: name of the entry instance.
        target: path of the request.
        key: key of the client; empty for a request without one.
        sent_at: time of sending, in Unix seconds.
        ended_at: time when the answer or an error arrived, in Unix seconds.
        status: status code; 0 if no complete answer head was received.
        body: body of the answer.
        is_whole: whether the body was received completely.
        resumes: id of the request that began the stream that this one takes
            up; empty if it takes none up.
        after: number of the stream's last event that the client had.
    """

    request_id: str
    entry: str
    target: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    body: str
    is_whole: bool
    resumes: str = ""
    after: int = 0


class OperatorRequest(typing.NamedTuple):
    """A request of the operator to the control API.

    Attributes:
        kind: `document`, `evacuate` or `return`.
        subject: version of the document, or name of the failure domain.
        sent_at: time of the first attempt, in Unix seconds.
        acknowledged_at: time of the acknowledgement, in Unix seconds;
            None if there was none.
    """

    kind: str
    subject: object
    sent_at: float
    acknowledged_at: float | None


class FaultPeriod(typing.NamedTuple):
    """A period in which a process had a fault or a planned restart.

    Attributes:
        target: name of the process; `all` for every process.
        kind: kind of the fault, see schedules.FAULT_KINDS.
        begin: start of the period, in Unix seconds.
        end: end of the period, in Unix seconds.
    """

    target: str
    kind: str
    begin: float
    end: float


class FinalState(typing.NamedTuple):
    """State of the system at the end, after all faults were undone.

    Attributes:
        recovery_seconds: seconds until every entry instance served requests
            again; None if that did not happen.
        versions: document version that each replica returned; 0 for none.
    """

    recovery_seconds: float | None
    versions: tuple[int, ...]


class History(typing.NamedTuple):
    """Everything that the checkers examine.

    Attributes:
        answers: the Answer of each client request.
        operator_requests: the OperatorRequest of each operator request.
        fault_periods: the FaultPeriod of each fault.
        effects: requests that servers executed: server, request, tenant, at,
            cold, zone, target, crash.
        departures: acknowledged departures of servers: server, left.
        notices: answers of servers that were leaving, that rejected a
            request and wanted a pause, or that named a limit: server,
            request, at, pause, limit; or that had no room.
        falls: brittle servers that fell over: server, fell.
        final_state: state at the end.
    """

    answers: list[Answer]
    operator_requests: list[OperatorRequest]
    fault_periods: list[FaultPeriod]
    effects: list[dict]
    departures: list[dict]
    notices: list[dict]
    falls: list[dict]
    final_state: FinalState
