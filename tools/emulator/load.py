"""Models of the callers: request rates, deadlines and retries."""

import math
import random
import typing

import trio

from camphorhook_daemon.domain.routing import answer_relay
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import table as tables
from tools.emulator import plans
from tools.emulator import servers

CRASHING_PART = ("crashing", 300)  # id and tokens
MAX_ATTEMPTS = 2  # a caller retries a refused request once
CLUMP_WINDOW_SECONDS = 0.1  # in which all requests of a burst arrive
MAX_WAIT_FRACTION = 1 / 3  # longest wait for a retry, of the time left


class Outcome(typing.NamedTuple):
    """The result of a request as its caller sees it.

    Attributes:
        kind: name of the kind of request.
        sent_at: seconds from the start of the load to the first attempt.
        status: 200 for a complete answer, 0 for an incomplete one, or the
            status of the last refusal.
        first_event_seconds: from the first attempt to the first event;
            without any event, to the caller's deadline.
        max_pause_seconds: longest pause between two events.
        last_attempt_seconds: duration of the last attempt.
        versions: number of software versions that wrote the answer.
        instance: name of the instance of the first attempt.
        is_first_served: whether the first attempt brought the whole answer.
    """

    kind: str
    sent_at: float
    status: int
    first_event_seconds: float
    max_pause_seconds: float
    last_attempt_seconds: float
    versions: int
    instance: str = ""
    is_first_served: bool = False


class _Reply:
    """Records when the events of an answer arrive."""

    def __init__(self):
        self.first_at = None
        self.last_at = None
        self.max_pause_seconds = 0.0
        self.is_whole = False
        self.last_event = ""
        self.first_request = ""
        self.versions = set()

    async def start(self, status, headers):
        """Ignore the status and the headers."""

    async def send_chunk(self, data):
        """Record the time, the id and the version of an event."""
        for line in data.decode().splitlines():
            name, _, value = line.partition(": ")
            if name == "id":
                self.last_event = value
            elif name == "event":
                self.versions.add(value)
        now = trio.current_time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.max_pause_seconds = max(
                self.max_pause_seconds, now - self.last_at
            )
        self.last_at = now

    async def finish(self):
        """Record that the answer is complete."""
        self.is_whole = True

    async def send_answer(self, status, headers, body):
        """Record an answer that arrives all at once."""
        await self.send_chunk(body)
        self.is_whole = status < 500


def make_route(kind):
    """Return the product's Route for a kind of request."""
    return tables.Route(
        kind.name,
        "host",
        "/",
        kind.repeatable,
        kind.events > 0,
        kind.resumable,
        kind.deadline_ms * plans.SECONDS_PER_MS,
        kind.aim_ms * plans.SECONDS_PER_MS,
        kind.priority,
        (tables.Share(kind.service, 1.0),),
        2,
        True,
        kind.events > 0,
    )


class LoadGenerator:
    """Generates the requests of a plan.

    Attributes:
        outcomes: Outcomes of the requests that have ended.
        rate_factor: multiple of the plan's request rates.
    """

    def __init__(self, plan, fleet, seed):
        self._plan = plan
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._services = {one.name: one for one in plan.services}
        self._began_at = trio.current_time()
        self.outcomes = []
        self.rate_factor = 1.0
        self._number = 0

    async def run(self, nursery):
        """Send requests for the duration of the plan.

        Args:
            nursery: runs the requests, which may end after the load.
        """
        async with trio.open_nursery() as senders:
            for kind in self._plan.kinds:
                senders.start_soon(self._send_kind, kind, nursery)

    async def _send_kind(self, kind, nursery):
        route = make_route(kind)
        end = self._began_at + self._plan.seconds
        while True:
            rate = kind.per_s * self.rate_factor / kind.clump
            await trio.sleep(self._rng.expovariate(rate))
            if trio.current_time() >= end:
                return
            session = self._choose_session(kind)
            for number in range(kind.clump):
                delay = (
                    self._rng.uniform(0, CLUMP_WINDOW_SECONDS) if number else 0
                )
                nursery.start_soon(
                    self._run_caller, kind, route, session, delay
                )

    async def send_crashing(self, service, per_s, seconds):
        """Send prompts with one part that crashes the servers of a service.

        They have the shared part and a session's part of the first kind of
        request, and are no part of the results.

        Args:
            service: name of the service.
            per_s: prompts per second.
            seconds: how long to send them.
        """
        kind = next(one for one in self._plan.kinds if one.service == service)
        route = make_route(kind)
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                parts = self._make_parts(kind, self._choose_session(kind))
                parts = (*parts[:-1], CRASHING_PART, parts[-1])
                give_up_at = trio.current_time() + kind.deadline_ms / 1000
                instance = self._rng.choice(self._fleet.instances)
                arguments = (kind, route, parts, 0, _Reply(), give_up_at)
                nursery.start_soon(self._attempt, instance, *arguments)
                await trio.sleep(self._rng.expovariate(per_s))

    def _choose_session(self, kind):
        if self._rng.random() < kind.hot:
            return 0
        return self._rng.randrange(kind.sessions)

    def _make_parts(self, kind, session):
        if not kind.events:
            return ()
        size = random.Random(f"{kind.name} {session}").gauss(1.0, 0.4)
        tokens = int(max(0.2, size) * kind.session_tokens)
        return (
            (f"{kind.name}-shared", max(1, kind.shared_tokens)),
            (f"{kind.name}-{session}", max(1, tokens)),
            (f"own-{self._number}", max(1, kind.own_tokens)),
        )

    async def _run_caller(self, kind, route, session, delay):
        """Send a request for a caller, retry it, and add its Outcome."""
        await trio.sleep(delay)
        sent_at = trio.current_time()
        give_up_at = sent_at + kind.deadline_ms * plans.SECONDS_PER_MS
        parts = self._make_parts(kind, session)
        work = self._rng.expovariate(1.0)
        events, hint = self._draw_output(kind)
        reply, first_request = _Reply(), ""
        places, is_first_served = [], False
        for _ in range(MAX_ATTEMPTS):
            tried_at = trio.current_time()
            instance = self._rng.choice(self._fleet.instances)
            places.append(instance.name)
            status, wait = await self._attempt(
                instance,
                kind,
                route,
                parts,
                work,
                reply,
                give_up_at,
                first_request,
                events,
                hint,
            )
            is_first_served |= status == 200 and len(places) == 1
            ended_at = trio.current_time()
            left = give_up_at - ended_at
            if reply.last_event and not first_request:
                first_request = reply.first_request
            is_broken = status == 0 and route.can_resume and reply.last_event
            if status != 503 and not is_broken:
                break
            if wait > left * MAX_WAIT_FRACTION:
                break
            await trio.sleep(wait)
        first = reply.first_at or give_up_at
        self.outcomes.append(
            Outcome(
                kind.name,
                sent_at - self._began_at,
                status,
                first - sent_at,
                reply.max_pause_seconds,
                ended_at - tried_at,
                len(reply.versions),
                places[0],
                is_first_served,
            )
        )

    def _draw_output(self, kind):
        """Return (events, costs.Hint) of a request."""
        events, hint = kind.events, costs.Hint()
        if kind.tail:
            events = max(1, round(events * self._draw_factor(kind.tail)))
        if kind.hinted and self._rng.random() < kind.hinted:
            tokens = events * costs.TOKENS_PER_EVENT
            error = self._draw_factor(kind.hint_error)
            hint = costs.Hint(max(1.0, tokens * error))
        return events, hint

    def _draw_factor(self, deviation):
        return math.exp(self._rng.gauss(0.0, deviation))

    async def _attempt(
        self,
        instance,
        kind,
        route,
        parts,
        work,
        reply,
        give_up_at,
        resumes="",
        events=None,
        hint=costs.Hint(),
    ):
        """Send a request once; return (status, seconds until a retry)."""
        self._number += 1
        name = f"request-{self._number}"
        if not reply.last_event:
            reply.first_request = name
        spec = self._services[kind.service]
        events = kind.events if events is None else events
        tokens = 1 + (events - 1) * spec.stride if events else 0

        def make_job(headers):
            job = servers.Job(
                parts, tokens, headers["priority"], work * spec.work_ms / 1000
            )
            job.crashes = CRASHING_PART in parts
            return job

        instance.pool.jobs[name] = make_job
        now = trio.current_time()
        request = attempts.Request(
            name,
            "POST",
            "/",
            [],
            name.encode(),
            route,
            "",
            "",
            kind.priority,
            parts,
            reply.last_event,
            now,
            give_up_at,
            resumes,
            hint,
        )
        failure = None
        with trio.move_on_at(give_up_at):
            try:
                failure = await instance.forwarder.forward(request, reply)
            except answer_relay.StreamBroken:
                return 0, 0.0
            finally:
                del instance.pool.jobs[name]
        if failure is not None:
            return failure.status, failure.retry_after
        return (200 if reply.is_whole else 0), 0.0
