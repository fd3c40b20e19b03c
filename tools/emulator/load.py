"""Callers that send requests, give up, and come back when told to."""

import random
import typing

import trio

from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.domain.routing import table as tables
from tools.emulator import plans
from tools.emulator import servers

MOST_TRIES = 2  # a caller comes back once
CLUMP_SECONDS = 0.1  # in which the requests of a clump come
SHARE_OF_WAIT = 1 / 3  # of the time left that a caller waits when told to


class Outcome(typing.NamedTuple):
    """How a request ended for its caller.

    Attributes:
        kind: name of its plans.Kind.
        at: seconds from the start of the load.
        status: 200, or that of the last refusal; 0 when it broke off.
        first: seconds until the first event, from the first try on.
        pause: longest seconds between two events.
        held: seconds that the last try was held.
    """

    kind: str
    at: float
    status: int
    first: float
    pause: float
    held: float


class _Reply:
    """Takes an answer and its times."""

    def __init__(self):
        self.first_at = None
        self.last_at = None
        self.pause = 0.0
        self.is_whole = False

    async def start(self, status, headers):
        """Take the head."""

    async def send_chunk(self, data):
        """Take events."""
        now = trio.current_time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.pause = max(self.pause, now - self.last_at)
        self.last_at = now

    async def finish(self):
        """Take the end."""
        self.is_whole = True

    async def send_answer(self, status, headers, body):
        """Take a whole answer."""
        await self.send_chunk(body)
        self.is_whole = status < 500


def make_route(kind):
    """Return the Route of a kind of request."""
    return tables.Route(
        kind.name,
        "host",
        "/",
        kind.repeatable,
        kind.events > 0,
        False,
        kind.deadline_ms * plans.MS,
        kind.aim_ms * plans.MS,
        kind.priority,
        (tables.Share(kind.service, 1.0),),
        2,
        True,
        kind.events > 0,
    )


class Load:
    """Sends the requests of a plan.

    Attributes:
        outcomes: Outcomes so far.
    """

    def __init__(self, plan, fleet, seed):
        self._plan = plan
        self._fleet = fleet
        self._draw = random.Random(seed)
        self._services = {one.name: one for one in plan.services}
        self._began_at = trio.current_time()
        self.outcomes = []
        self.factor = 1.0
        self._number = 0

    async def run(self, nursery):
        """Send for as long as the plan says."""
        async with trio.open_nursery() as senders:
            for kind in self._plan.kinds:
                senders.start_soon(self._send_kind, kind, nursery)

    async def _send_kind(self, kind, nursery):
        route = make_route(kind)
        end = self._began_at + self._plan.seconds
        while True:
            rate = kind.per_s * self.factor / kind.clump
            await trio.sleep(self._draw.expovariate(rate))
            if trio.current_time() >= end:
                return
            session = self._choose_session(kind)
            for number in range(kind.clump):
                delay = self._draw.uniform(0, CLUMP_SECONDS) if number else 0
                nursery.start_soon(self._serve, kind, route, session, delay)

    def _choose_session(self, kind):
        if self._draw.random() < kind.hot:
            return 0
        return self._draw.randrange(kind.sessions)

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

    async def _serve(self, kind, route, session, delay):
        """Play one caller; add its Outcome."""
        await trio.sleep(delay)
        sent_at = trio.current_time()
        give_up_at = sent_at + kind.deadline_ms * plans.MS
        parts = self._make_parts(kind, session)
        work = self._draw.expovariate(1.0)
        status, reply = 503, _Reply()
        for _ in range(MOST_TRIES):
            reply = _Reply()
            tried_at = trio.current_time()
            status, wait = await self._try(
                kind, route, parts, work, reply, give_up_at
            )
            ended_at = trio.current_time()
            left = give_up_at - ended_at
            if status != 503 or wait > left * SHARE_OF_WAIT:
                break
            await trio.sleep(wait)
        first = reply.first_at or give_up_at
        self.outcomes.append(
            Outcome(
                kind.name,
                sent_at - self._began_at,
                status,
                first - sent_at,
                reply.pause,
                ended_at - tried_at,
            )
        )

    async def _try(self, kind, route, parts, work, reply, give_up_at):
        """Return (status, seconds after which to come back)."""
        self._number += 1
        name = f"request-{self._number}"
        instance = self._draw.choice(self._fleet.instances)
        spec = self._services[kind.service]
        tokens = 1 + (kind.events - 1) * spec.stride if kind.events else 0

        def make_job(headers):
            return servers.Job(
                parts, tokens, headers["priority"], work * spec.work_ms / 1000
            )

        instance.pool.jobs[name] = make_job
        now = trio.current_time()
        request = forwarding.Request(
            name,
            "POST",
            "/",
            [],
            b"",
            route,
            "",
            "",
            kind.priority,
            parts,
            "",
            now,
            give_up_at,
        )
        failure = None
        with trio.move_on_at(give_up_at):
            try:
                failure = await instance.forwarder.forward(request, reply)
            except forwarding.StreamBroken:
                return 0, 0.0
            finally:
                del instance.pool.jobs[name]
        if failure is not None:
            return failure.status, failure.retry_after
        return (200 if reply.is_whole else 0), 0.0
