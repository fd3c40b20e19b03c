"""Requests of clients, and the state of the attempts to serve one."""

import enum
import math
import typing

from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import events
from camphorhook_daemon.domain.routing import stream_relay
from camphorhook_daemon.domain.routing import table as tables


class Request(typing.NamedTuple):
    """An authorized client request to be forwarded.

    Attributes:
        request: request id as given by the client.
        method: HTTP method.
        target: path and query.
        headers: (name, value) pairs to forward.
        body: the complete body.
        route: the Route.
        key: API key of the client; empty on a public route.
        account: name of the client account; empty on a public route.
        priority: 0 is the most urgent.
        parts: (id, tokens) of each part of the prompt, in order.
        resume_after: id of the last event that the client has received, or
            empty.
        received_at: time of receipt in seconds.
        deadline: time in seconds; the earlier of the client's deadline and
            the route's timeout.
        resumes: id of the request that brought the first event of the stream
            that the client takes up; empty if it takes none up.
        hint: the costs.Hint of the client.
        account_header: value of the header that names the client account to
            upstreams; empty on a public route.
    """

    request: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    route: tables.Route
    key: str
    account: str
    priority: int
    parts: tuple[tuple[str, int], ...]
    resume_after: str
    received_at: float
    deadline: float
    resumes: str = ""
    hint: costs.Hint = costs.Hint()
    account_header: str = ""


class HeadInfo(typing.NamedTuple):
    """What the head of an answer says about the request and the upstream.

    Attributes:
        has_run: False if the upstream states that the request has not run.
        is_wrong_upstream: a different upstream now uses the address.
        load: (running, waiting) requests on the upstream, or None.
        is_leaving: the upstream says that it leaves.
        pause: seconds for which the upstream wants no requests.
        limit: requests per second that the upstream takes from all instances
            together; inf if it names no limit, None if that is unreadable.
        is_brittle: the upstream falls over if it has to turn requests away.
        slowdown: factor of the time that work takes on the upstream now; 1
            as usual, None if the upstream does not report it.
    """

    has_run: bool
    is_wrong_upstream: bool
    load: tuple[int, int] | None
    is_leaving: bool = False
    pause: float = 0.0
    limit: float | None = math.inf
    is_brittle: bool = False
    slowdown: float | None = None


class AttemptResult(enum.Enum):
    """Result of an attempt that did not end in a Failure."""

    ANSWERED = "answered"
    RETRY = "again"


class Failure(typing.NamedTuple):
    """Why a request was not answered by an upstream.

    Attributes:
        status: HTTP status. 503 guarantees that the request has not run and
            will not run; 502 and 504 guarantee nothing.
        reason: one sentence, which is sent to the client.
        retry_after: seconds to wait before a retry; 0 for no advice.
        is_cut_off: this instance reaches no upstream and sent nothing.
    """

    status: int
    reason: str
    retry_after: float = 0.0
    is_cut_off: bool = False


class Handover(typing.NamedTuple):
    """State of a request that one instance hands over to another.

    Attributes:
        sends: attempts so far that may have reached an upstream.
        runs: attempts so far that an upstream may have run.
        service: service that must serve it.
        version: software version that began its stream; None if none did.
        excluded: names of upstreams that must not be tried.
    """

    sends: int
    runs: int
    service: str
    version: str | None
    excluded: tuple[str, ...]


class Progress:
    """State of a request across its attempts.

    Attributes:
        sent_at: time in seconds of the last attempt.
        has_started: whether a part of an answer was sent to the client.
        can_retry: whether another attempt may follow what the client has.
        position: the stream_relay.Position of the client in a stream.
        sends: number of attempts that may have reached an upstream.
        is_sent: whether a byte of the last attempt may have been sent.
        runs: number of attempts that an upstream ran.
        excluded: names of upstreams that must not be tried again.
        failed: names of upstreams that ran the request and failed.
        fallback_answer: (status, headers, body) to send if retries fail.
        permit: the rate_permits.Permit of the last attempt, or None.
        place: the places.Place of the last attempt, or None.
        version: software version that began the stream; None before that.
        upstream: wire.Registration of the upstream of the last attempt.
        observation: the rollout_shares.Observation of the last attempt.
        handed_over_to: service that must serve the request, if another
            instance handed it over; then this one may not do so again.
        unreached: attempts for which no connection could be opened.
        failed_gateways: names of instances that can't pass the request on.
        work: the PendingWork of the last attempt, or None.
        output_tokens: output tokens that upstreams of this instance sent.
    """

    def __init__(self, resume_after, handover=None):
        self.sent_at = 0.0
        self.has_started = False
        self.can_retry = True
        self.position = stream_relay.Position(resume_after)
        self.sends = 0
        self.is_sent = False
        self.runs = 0
        self.excluded = set()
        self.failed = set()
        self.fallback_answer = None
        self.permit = None
        self.place = None
        self.version = None
        self.upstream = None
        self.observation = None
        self.handed_over_to = ""
        self.unreached = 0
        self.failed_gateways = set()
        self.work = None
        self.output_tokens = 0
        if handover is not None:
            self.sends = handover.sends
            self.runs = handover.runs
            self.version = handover.version
            self.handed_over_to = handover.service
            self.excluded.update(handover.excluded)

    def begin_attempt(self):
        """Count an attempt of which no byte was sent yet."""
        self.sends += 1
        self.is_sent = False

    def abandon_attempt(self):
        """Stop counting an attempt that an unexpected error ended unsent."""
        if not self.is_sent:
            self.sends -= 1

    def count_output(self, data):
        """Count the output tokens in complete events of a stream."""
        tokens = costs.TOKENS_PER_EVENT * events.count_events(data)
        self.output_tokens += tokens
        if self.work is not None:
            self.work.subtract_output(tokens)

    def make_handover(self, service):
        """Return the Handover to another instance."""
        return Handover(
            self.sends,
            self.runs,
            service,
            self.version,
            tuple(self.excluded),
        )


class PendingWork:
    """Work in prompt tokens that an upstream has probably not done yet.

    Attributes:
        estimate: the costs.Estimate; None where only prompts are counted.
        total: work of the whole request.
    """

    def __init__(self, loads, upstream, request, choice, longest_prompt):
        """Count the work of a request until `release` is called.

        Args:
            loads: the loads.FleetLoads.
            upstream: name of the upstream.
            request: the Request.
            choice: the choice.Choice.
            longest_prompt: tokens of the longest prompt that the upstream
                can hold; 0 if it is no engine.
        """
        self._loads = loads
        self._upstream = upstream
        self.estimate = estimate = choice.estimate
        self._prefill = costs.count_prefill_tokens(
            request.parts,
            choice.is_cached or choice.source is not None,
            longest_prompt,
        )
        self._rest = 0 if estimate is None else estimate.compute_work()
        self.total = self._prefill + self._rest
        loads.begin(upstream, self.total)

    def release_prefill(self):
        """Stop counting the prompt, which is prefilled."""
        self._loads.subtract_prefill(self._upstream, self._prefill)
        self._prefill = 0

    def subtract_output(self, tokens):
        """Stop counting output tokens that have arrived."""
        work = min(self._rest, int(costs.OUTPUT_TOKEN_WORK * tokens))
        self._loads.subtract_prefill(self._upstream, work)
        self._rest -= work

    def release(self):
        """Stop counting all: the request has ended or is abandoned."""
        self.release_prefill()
        self._loads.subtract_prefill(self._upstream, self._rest)
        self._rest = 0
