"""Carries a request to an upstream and its answer back.

A request that isn't idempotent is sent again only while it surely has not
run. Answers of plain services are read whole before their first byte goes
to the client, so that one that breaks off can be tried elsewhere; streams
are passed on event by event and, where that is allowed, go on at another
upstream after the last event that was passed on.
"""

import enum
import random
import typing

import trio

from camphorhook_common import logs
from camphorhook_daemon.domain.routing import choice as choices
from camphorhook_daemon.domain.routing import events
from camphorhook_daemon.domain.routing import relaying
from camphorhook_daemon.domain.routing import selection
from camphorhook_daemon.domain.routing import table as tables
from camphorhook_daemon.ports import upstreams as ports

MOST_SENDS = 6  # bounds the loop where every upstream rejects a request
PATIENCE_OBJECTIVES = 3.0  # latency objectives after which another is tried
PATIENCE_SHARE = 0.4  # of the time left; the rest is for the next attempt
BUSY_SECONDS = 0.4  # in which a full service has usually made room
BLIND_REASON = "the key's account is not confirmed"
BLIND_SECONDS = 1.0  # in which a lost leader is usually replaced
SERVER_ERROR = 500


class Request(typing.NamedTuple):
    """A client's request that may be forwarded.

    Attributes:
        request: the client's id of this attempt.
        method: HTTP method.
        target: path and query.
        headers: pairs to pass on.
        body: the whole body.
        route: the Route.
        key: the client's key; empty on a public route.
        account: name of the client account; empty on a public route.
        priority: 0 is the most urgent.
        parts: (id, tokens) of the parts of its prompt.
        resume_after: id of the last event that the client has; or empty.
        received_at: seconds.
        give_up_at: seconds; the client's deadline or the route's timeout.
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
    give_up_at: float


class Verdict(typing.NamedTuple):
    """What an upstream's answer says besides its body.

    Attributes:
        has_run: False when the upstream says that it did not run it.
        is_other: another upstream has taken the address.
        load: (running, waiting) requests, or None.
    """

    has_run: bool
    is_other: bool
    load: tuple[int, int] | None


class Next(enum.Enum):
    """What comes after an attempt that did not fail for good."""

    ANSWERED = "answered"
    AGAIN = "again"


class Failure(typing.NamedTuple):
    """Why a request got no answer of an upstream.

    Attributes:
        status: 503 says that it has not run and never will; 502 and 504
            promise nothing.
        reason: one sentence.
        retry_after: seconds; 0 for no advice.
    """

    status: int
    reason: str
    retry_after: float = 0.0


class _Progress:
    """What was sent to a client so far."""

    def __init__(self, resume_after):
        self.has_started = False
        self.position = relaying.Position(resume_after)
        self.sends = 0
        self.runs = 0
        self.excluded = set()
        self.kept_answer = None


class _Unread:
    """Tokens of a prompt that an upstream has probably yet to read."""

    def __init__(self, loads, upstream, request, choice):
        self._loads = loads
        self._upstream = upstream
        tokens = sum(count for _, count in request.parts)
        if choice.was_held or choice.source is not None:
            tokens = request.parts[-1][1]
        self._tokens = tokens
        loads.begin(upstream, tokens)

    def settle(self):
        """Take the tokens back, as the prompt was read or given up."""
        self._loads.note_read(self._upstream, self._tokens)
        self._tokens = 0


class StreamBroken(Exception):
    """A stream that has begun can't be brought to its end."""


class Forwarder:
    """Chooses upstreams for requests and relays the answers.

    Attributes:
        changed: set when own loads or placements changed.
    """

    def __init__(self, selector, pool, protocol, rules, counts, now):
        """Create a forwarder.

        Args:
            selector: the selection.Selector of upstreams.
            pool: opens requests: `open(target, call)` gives an answer with
                `head` and `read_piece`.
            protocol: writes and reads what the platform's messages say:
                `make_headers`, `read_verdict`, `pick_response_headers`.
            rules: answers what is in force: `get_table`, `is_current`,
                `make_retry_budget`.
            counts: takes metrics: `add` and `observe`.
            now: returns seconds.
        """
        self._selector = selector
        self._loads = selector.loads
        self._outcomes = selector.outcomes
        self._pool = pool
        self._protocol = protocol
        self._rules = rules
        self._counts = counts
        self._now = now
        self._budgets = {}
        self.changed = trio.Event()

    def _get_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._rules.make_retry_budget()
        return budget

    async def forward(self, request, reply):
        """Serve a request.

        Args:
            request: the Request.
            reply: takes the answer: `start`, `send_piece`, `finish`,
                `send_whole`.

        Returns:
            A Failure when nothing was sent to the client; else None.

        Raises:
            StreamBroken: the client's connection must break off.
        """
        service = tables.choose_service(request.route, random.random())
        budget = self._get_budget(service)
        budget.note_request(self._now())
        progress = _Progress(request.resume_after)
        while True:
            failure = await self._attempt(
                request, service, budget, progress, reply
            )
            if failure is Next.ANSWERED:
                return None
            if isinstance(failure, Failure):
                break
        if progress.has_started:
            raise StreamBroken(failure.reason)
        if progress.kept_answer is not None:
            status, headers, body = progress.kept_answer
            await reply.send_whole(status, headers, body)
            return None
        if progress.runs and failure.status == 503:
            failure = Failure(502, failure.reason)
        return failure

    async def _attempt(self, request, service, budget, progress, reply):
        """Send a request once.

        Returns:
            A Next, or a Failure when the request can't be served.
        """
        now = self._now()
        if now >= request.give_up_at:
            return Failure(504, "no upstream answered in time")
        if not self._is_allowed(request):
            return Failure(503, BLIND_REASON, BLIND_SECONDS)
        if progress.sends:
            if progress.sends >= MOST_SENDS:
                return Failure(503, "every upstream rejects", BUSY_SECONDS)
            if progress.runs >= max(1, request.route.attempts):
                return Failure(502, "the attempts are used up")
            if not budget.spend(now, self._selector.count_instances()):
                self._log(request, "no retry left in the budget", "warning")
                return Failure(503, "upstreams are busy", BUSY_SECONDS)
        choice = self._selector.choose(
            request, service, progress.excluded, now
        )
        if isinstance(choice, selection.Refusal):
            return Failure(503, choice.reason, BUSY_SECONDS)
        target = choice.upstream
        self._log(
            request,
            "sent to an upstream",
            peer=target.name,
            inputs={
                "load": round(choice.load, 1),
                "mean": round(choice.mean, 1),
                "rank": choice.rank,
                "part": choices.find_shared_part(request.parts),
                "held": choice.was_held,
                "source": choice.source.name if choice.source else "",
                "route": request.route.name,
                "attempt": progress.sends + 1,
                "sequence": target.sequence,
                "left_ms": int((request.give_up_at - now) * 1000),
            },
        )
        progress.sends += 1
        unread = _Unread(self._loads, target.name, request, choice)
        self.changed.set()
        try:
            await self._selector.wait_until_read(request, choice, now)
            if not self._is_allowed(request):
                return Failure(503, BLIND_REASON, BLIND_SECONDS)
            return await self._exchange(
                request, choice, progress, reply, unread
            )
        except ports.AttemptError as error:
            belief = self._selector.beliefs[target.name]
            return self._take_failure(request, progress, belief, error)
        finally:
            unread.settle()
            self._loads.end(target.name)
            self.changed.set()

    def _is_allowed(self, request):
        """Tell whether the client's key surely holds at this moment."""
        if not request.key:
            return True
        if not self._rules.is_current():
            return False
        return self._rules.get_table().find_account(request.key) is not None

    def _take_failure(self, request, progress, belief, error):
        """Learn from a failed attempt; return what comes next."""
        self._outcomes.note(error.peer, False)
        self._counts.add("attempts_total", outcome=error.step)
        if error.connection_broken or not error.sent:
            belief.note_break(self._now(), is_down=not error.sent)
        progress.excluded.add(error.peer)
        self._pool.forget(error.peer)
        self._log(
            request,
            f"attempt failed: {error.message}",
            "warning",
            peer=error.peer,
        )
        if not error.sent:
            progress.sends -= 1
            if len(progress.excluded) >= MOST_SENDS:
                return Failure(503, "no upstream can be reached", 0.5)
            return Next.AGAIN
        progress.runs += 1
        if request.route.is_idempotent:
            return Next.AGAIN
        return Failure(502, error.message)

    async def _exchange(self, request, choice, progress, reply, unread):
        """Send a request to an upstream and relay its answer."""
        target = choice.upstream
        call = self._make_call(request, choice, progress)
        belief = self._selector.beliefs[target.name]
        async with self._pool.open(target, call) as answer:
            unread.settle()
            self._selector.note_read(request, target.name)
            self._counts.observe(
                "first_byte_seconds",
                self._now() - request.received_at,
                route=request.route.name,
            )
            verdict = self._protocol.read_verdict(answer.head)
            if verdict.load is not None:
                belief.note_report(*verdict.load, self._now())
            if not verdict.has_run:
                await _read_whole(answer)
                return self._take_rejection(request, target, verdict, progress)
            status = answer.head.status
            if status < 300 and request.route.is_stream:
                await self._relay_stream(request, answer, progress, reply)
            else:
                with trio.move_on_at(request.give_up_at) as scope:
                    body = await _read_whole(answer)
                if scope.cancelled_caught:
                    raise ports.AttemptError(
                        "the answer did not end in time",
                        step="read answer",
                        peer=target.name,
                        sent=True,
                    )
        if status < 300 and request.route.is_stream:
            self._note_success(target.name)
            return Next.ANSWERED
        return await self._answer_whole(request, answer, body, progress, reply)

    async def _answer_whole(self, request, answer, body, progress, reply):
        """Pass on an answer that was read whole, or keep it for later."""
        head = answer.head
        headers = self._protocol.pick_response_headers(head)
        progress.runs += 1
        if head.status >= SERVER_ERROR:
            # It stays a candidate: it holds the prompt now, and whether it
            # fails more than others shows in its belief.
            self._outcomes.note(answer.upstream, False)
            self._counts.add("attempts_total", outcome="server error")
            self._log(request, f"the upstream answered {head.status}")
            if request.route.is_idempotent and not progress.has_started:
                progress.kept_answer = (head.status, headers, body)
                return Next.AGAIN
        else:
            self._note_success(answer.upstream)
        if progress.has_started:
            return Failure(502, f"the upstream answered {head.status}")
        await reply.send_whole(head.status, headers, body)
        self._log(
            request,
            f"answered {head.status} by the upstream",
            peer=answer.upstream,
            inputs={"ms": int((self._now() - request.received_at) * 1000)},
        )
        return Next.ANSWERED

    def _note_success(self, upstream):
        self._outcomes.note(upstream, True)
        self._counts.add("attempts_total", outcome="good")
        self._selector.beliefs[upstream].note_success()

    def _take_rejection(self, request, target, verdict, progress):
        """Learn from an upstream that did not run a request."""
        belief = self._selector.beliefs[target.name]
        self._log(
            request,
            "the upstream did not run it",
            peer=target.name,
            inputs={"other": verdict.is_other},
        )
        self._counts.add("attempts_total", outcome="not run")
        if verdict.is_other:
            belief.note_break(self._now(), is_down=True)
        progress.excluded.add(target.name)
        return Next.AGAIN

    def _make_call(self, request, choice, progress):
        now = self._now()
        left = request.give_up_at - now
        patience = left
        may_repeat = request.route.is_idempotent
        if may_repeat and progress.runs + 1 < request.route.attempts:
            patience = max(
                PATIENCE_OBJECTIVES * request.route.objective,
                PATIENCE_SHARE * left,
            )
        headers = self._protocol.make_headers(
            request,
            choice.upstream,
            left,
            progress.position.last_event,
            choice.source,
        )
        return ports.Call(
            request.method,
            request.target,
            headers,
            request.body,
            min(left, patience),
            request_id=request.request,
        )

    async def _relay_stream(self, request, answer, progress, reply):
        """Pass on a stream's events as they come."""
        if not progress.has_started:
            await reply.start(
                answer.head.status,
                self._protocol.pick_response_headers(answer.head),
            )
            progress.has_started = True
        progress.position.begin()
        pace = events.Pace(request.received_at, self._now)
        with trio.move_on_at(request.give_up_at):
            await self._relay_all(request, answer, progress, reply, pace)
            await reply.finish()
            self._log(
                request,
                "stream ended",
                peer=answer.upstream,
                inputs=pace.describe(),
            )
            return
        raise StreamBroken("the route's timeout or the deadline was reached")

    async def _relay_all(self, request, answer, progress, reply, pace):
        while True:
            try:
                await relaying.relay(answer, reply, progress.position, pace)
                return
            except relaying.StreamSilent as error:
                if request.route.can_resume:
                    raise ports.AttemptError(
                        "the stream fell silent",
                        step="read stream",
                        peer=answer.upstream,
                        sent=True,
                    ) from error

    def _log(self, request, text, level="info", **fields):
        logs.log(
            level,
            text,
            request=request.request,
            account=request.account,
            step="forward",
            **fields,
        )


async def _read_whole(answer):
    """Return the whole body of an answer."""
    pieces = []
    while piece := await answer.read_piece():
        pieces.append(piece)
    return b"".join(pieces)
