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
        kind: `document`, `evacuate` or `return`; `invalid document`, or
            `other document` with other content under a version sent before.
        subject: version of the document, or name of the failure domain.
        sent_at: time of the first attempt, in Unix seconds.
        acknowledged_at: time of the acknowledgement, in Unix seconds;
            None if there was none.
        status: status of the last answer; 0 for none.
        attempts: (time of sending, host, status) of each call.
    """

    kind: str
    subject: object
    sent_at: float
    acknowledged_at: float | None
    status: int = 200
    attempts: tuple = ()


class Reading(typing.NamedTuple):
    """A document that was read back at a replica.

    Attributes:
        replica: name of the replica.
        sent_at: time of the question, in Unix seconds.
        version: version of the document that was returned.
        is_sent: whether it is what was sent under its version.
    """

    replica: str
    sent_at: float
    version: int
    is_sent: bool


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
        versions: document version that each replica returned in the time
            that a recovery may take; 0 for none.
        observed_from: time from which requests show which failure domains
            are in, in Unix seconds; None if they were not observed.
    """

    recovery_seconds: float | None
    versions: tuple[int, ...]
    observed_from: float | None = None


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
        readings: the Reading of each document read back during the run.
    """

    answers: list[Answer]
    operator_requests: list[OperatorRequest]
    fault_periods: list[FaultPeriod]
    effects: list[dict]
    departures: list[dict]
    notices: list[dict]
    falls: list[dict]
    final_state: FinalState
    readings: typing.Sequence[Reading] = ()
