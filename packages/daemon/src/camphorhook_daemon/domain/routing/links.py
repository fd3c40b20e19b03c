"""Whether the links of this instance to upstreams work.

An instance that hears from no upstream may have lost its own links, or the
upstreams may be down. It decides from its own attempts, from what other
instances heard of the same upstreams, and from a few probes. While it is cut
off, requests go by way of other instances; see `gateways`.
"""

import contextlib
import math
import typing

import trio

from camphorhook_common import logs
from camphorhook_daemon.domain import hashing

CHECK_INTERVAL_SECONDS = 0.1  # between two judgements of the links
# A check that comes later than this shows that the process did not run.
MAX_CHECK_GAP_SECONDS = 0.5
SILENCE_SECONDS = 0.5  # without any byte from an upstream that owes an answer
QUIET_SECONDS = 0.03  # without any byte, after a connection has failed
# Without an answer to anything sent since, while bytes still arrive: engines
# may take long for a first event.
ONE_WAY_SECONDS = 1.2
MIN_INQUIRY_SECONDS = 0.2  # between two inquiries of the same suspicion
MAX_INQUIRY_SECONDS = 2.0  # while all upstreams are down, for example
MIN_REFUSED = 2  # upstreams that take no new connection, while others answer
MAX_ASKED = 16  # upstreams about which other instances are asked
MAX_SUSPECTED = 8  # of these, those to which requests were sent
PROBES = 3  # upstreams that one inquiry probes
PROBE_TIMEOUT_SECONDS = 0.4
HEAL_INTERVAL_SECONDS = 0.5  # between two probes of an instance cut off
HEAL_ANSWERS = 2  # upstreams that must answer before links are used again
# In which requests return to the direct links, each with a new connection.
RETURN_SECONDS = 2.0
# For which upstreams must be suspected, without a sign of life from any of
# them anywhere, until requests are refused; sound ones may be silent for a
# second.
OUTAGE_SECONDS = 1.0
OUTAGE_PROBES = 6  # upstreams that must have left a probe unanswered by then
HOLD_SECONDS = 2.0  # longest delay of a report of a failure
MAX_HELD = 1000  # reports of failures; more are dropped


class View(typing.NamedTuple):
    """What this instance observed of one upstream, as times in seconds.

    Attributes:
        heard_at: when bytes last arrived from it.
        answered_at: when the latest request that it answered was sent.
        failed_at: when a connection to it last failed.
        waits: when each request was sent that it has not answered.
        connected_at: when it last answered on a new connection.
        refused_at: when a new connection to it last failed before any answer.
    """

    heard_at: float = -math.inf
    answered_at: float = -math.inf
    failed_at: float = -math.inf
    waits: tuple[float, ...] = ()
    connected_at: float = -math.inf
    refused_at: float = -math.inf


class Report(typing.NamedTuple):
    """What another instance says of upstreams.

    Attributes:
        is_cut_off: it reaches none itself.
        heard_at: by upstream, when bytes last arrived there, in seconds of
            this instance's clock.
    """

    is_cut_off: bool
    heard_at: dict[str, float]


def find_suspicion(views, now):
    """Return the upstreams that fail while no upstream shows a sign of life.

    Args:
        views: View by upstream.
        now: current time in seconds.

    Returns:
        By upstream, the time in seconds after which a sign of life would
        show that the link failed. Where an upstream was heard, answered a
        later request, or took a new connection since, others that fail in
        the same way are at fault themselves.
    """
    heard_at = max((one.heard_at for one in views.values()), default=-math.inf)
    answered_at = max(
        (one.answered_at for one in views.values()), default=-math.inf
    )
    connected_at = max(
        (one.connected_at for one in views.values()), default=-math.inf
    )
    refused = {
        name: one.refused_at
        for name, one in views.items()
        if one.refused_at > connected_at
    }
    found = refused if len(refused) >= MIN_REFUSED else {}
    for name, view in views.items():
        since = max(min(view.waits, default=math.inf), heard_at)
        unanswered = [one for one in view.waits if one > answered_at]
        if now - since >= SILENCE_SECONDS:
            found[name] = since
        elif view.failed_at > heard_at and now - heard_at >= QUIET_SECONDS:
            found[name] = view.failed_at
        elif unanswered and now - min(unanswered) >= ONE_WAY_SECONDS:
            found[name] = min(unanswered)
    return found


def is_own_fault(suspicion, reports):
    """Return whether the links of this instance failed, not the upstreams.

    At least half of the upstreams that this instance suspects must have been
    heard since by an instance that is not cut off.

    Args:
        suspicion: what `find_suspicion` returned, not empty.
        reports: Reports of other instances.
    """
    return 2 * len(_list_heard(suspicion, reports)) >= len(suspicion)


def _choose_earliest(suspicion, count):
    """Return those upstreams of a suspicion that failed first."""
    earliest = sorted(suspicion, key=suspicion.get)[:count]
    return {name: suspicion[name] for name in earliest}


def _list_heard(suspicion, reports):
    """Return the upstreams that others heard since they are suspected."""
    return [
        name
        for name, since in suspicion.items()
        if any(
            not one.is_cut_off and one.heard_at.get(name, -math.inf) > since
            for one in reports
        )
    ]


class Wait:
    """A request that is sent to an upstream, until its answer has ended.

    Attributes:
        is_withdrawn: it was cancelled, as the links have failed.
        is_sent: a byte of it may have been sent.
    """

    def __init__(self, upstream, began_at, may_withdraw):
        self.upstream = upstream
        self.began_at = began_at
        self.is_answered = False
        self.is_sent = False
        self._may_withdraw = may_withdraw
        self.scope = trio.CancelScope()
        self.is_withdrawn = False

    def withdraw(self):
        """Cancel it, unless it may have been sent and must not run twice."""
        if not self.is_sent or self._may_withdraw():
            self.is_withdrawn = True
            self.scope.cancel()


class _Link:
    """What is known of the link to one upstream; see View."""

    def __init__(self):
        self.answered_at = -math.inf
        self.failed_at = -math.inf
        self.connected_at = -math.inf
        self.refused_at = -math.inf
        self.waits = set()


class Links:
    """The state of an instance's links to upstreams.

    Attributes:
        is_cut_off: the links fail; nothing may be sent on them but probes.
        is_outage: no instance is known that reaches an upstream.
        on_heal: function that is called when the links work again.
    """

    def __init__(self, pool, list_upstreams, probe, ask, now):
        """Create the state of links that work.

        Args:
            pool: connection pool; `heard_at` has the time in seconds of the
                last bytes by upstream, `close_idle` closes idle connections.
            list_upstreams: function that returns the wire.Registrations of
                the upstreams that may be probed.
            probe: async function of a wire.Registration and a timeout in
                seconds, which returns whether the upstream answered.
            ask: async function of upstreams' names, which returns Reports.
            now: function that returns the time in seconds.
        """
        self._pool = pool
        self._list_upstreams = list_upstreams
        self._probe = probe
        self._ask = ask
        self._now = now
        self._links = {}
        self._held = []
        self._answered = set()
        self._checked_at = None
        self._has_failed = trio.Event()
        self._inquire_at = 0.0
        self._inquiry_seconds = MIN_INQUIRY_SECONDS
        self._healed_at = -math.inf
        self._probes = 0
        self._unanswered = {}
        self._suspected_at = None
        self._questioned = []
        self._outage = {}
        self.is_cut_off = False
        self.is_outage = False
        self.on_heal = lambda: None

    # --- observations ------------------------------------------------------

    @contextlib.contextmanager
    def watch(self, upstream, may_withdraw):
        """Observe a request until its answer ends; yield its Wait.

        The block is cancelled if the links fail, and `may_withdraw()` is
        true or no byte was sent.

        Args:
            upstream: name of the upstream.
            may_withdraw: function that returns whether the request may be
                sent again.
        """
        link = self._links.setdefault(upstream, _Link())
        wait = Wait(upstream, self._now(), may_withdraw)
        link.waits.add(wait)
        try:
            with wait.scope:
                yield wait
        finally:
            link.waits.discard(wait)

    def record_answer(self, wait, is_first_use):
        """Record that the answer to a request has begun.

        Args:
            wait: the Wait.
            is_first_use: whether its connection is a new one.
        """
        wait.is_answered = True
        self._record_answer(wait.upstream, wait.began_at, is_first_use)
        if not self.is_cut_off:
            self._release()

    def _record_answer(self, upstream, sent_at, is_first_use):
        link = self._links.setdefault(upstream, _Link())
        link.answered_at = max(link.answered_at, sent_at)
        link.failed_at = -math.inf
        if is_first_use:
            link.connected_at = self._now()

    def record_failure(self, upstream, is_first_use):
        """Record that a connection to an upstream broke or failed.

        Args:
            upstream: name of the upstream.
            is_first_use: whether it was a new one.
        """
        link = self._links.setdefault(upstream, _Link())
        link.failed_at = self._now()
        if is_first_use:
            link.refused_at = link.failed_at
        self._has_failed.set()

    def report(self, tell, retract):
        """Record what can be told, or was told, of a failed upstream.

        Args:
            tell: function to call once any upstream shows a sign of life.
            retract: function to call if the links turn out to be at fault.
        """
        if not self.is_cut_off and len(self._held) < MAX_HELD:
            self._held.append((self._now(), tell, retract))

    def _release(self):
        """Tell what was held back before the last sign of life."""
        heard_at = max(self._pool.heard_at.values(), default=-math.inf)
        limit = max(heard_at, self._now() - HOLD_SECONDS)
        while self._held and self._held[0][0] <= limit:
            self._held.pop(0)[1]()

    def _view(self):
        return {
            name: View(
                self._pool.heard_at.get(name, -math.inf),
                link.answered_at,
                link.failed_at,
                tuple(
                    one.began_at for one in link.waits if not one.is_answered
                ),
                link.connected_at,
                link.refused_at,
            )
            for name, link in self._links.items()
        }

    def _find_suspicion(self):
        return find_suspicion(self._view(), self._now())

    # --- decisions -----------------------------------------------------------

    def may_send(self, request):
        """Return whether a request may be sent to upstreams directly.

        After a cut, requests return to the direct links over some seconds.

        Args:
            request: id of the request.
        """
        if self.is_cut_off or self.is_outage:
            return False
        share = (self._now() - self._healed_at) / RETURN_SECONDS
        return share >= 1 or hashing.hash_to_fraction("heal", request) < share

    async def run(self):
        """Check the links until cancelled."""
        while True:
            with trio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._has_failed.wait()
                # Any byte that arrives meanwhile settles the matter.
                await trio.sleep(QUIET_SECONDS)
            self._has_failed = trio.Event()
            await self.check()

    async def check(self):
        """Judge the links once, or probe them if this instance is cut off."""
        now = self._now()
        if self._checked_at is not None:
            if now - self._checked_at > MAX_CHECK_GAP_SECONDS:
                self._forgive(now)
        self._checked_at = now
        if self.is_cut_off:
            if now >= self._inquire_at:
                self._inquire_at = now + HEAL_INTERVAL_SECONDS
                await self._try_links()
            self._checked_at = self._now()
            return
        if self.is_outage:
            if now >= self._inquire_at:
                self._inquire_at = now + HEAL_INTERVAL_SECONDS
                await self._check_outage()
            self._checked_at = self._now()
            return
        suspicion = self._find_suspicion()
        self._release()
        if not suspicion:
            self._inquiry_seconds = MIN_INQUIRY_SECONDS
            self._suspected_at = None
            self._forget()
        elif now >= self._inquire_at:
            self._questioned = []
            if self._suspected_at is None:
                self._suspected_at = now
                self._unanswered.clear()
            await self._inquire(suspicion)
            self._inquire_at = self._now() + self._inquiry_seconds
            self._inquiry_seconds = min(
                2 * self._inquiry_seconds, MAX_INQUIRY_SECONDS
            )
        if self._questioned:
            await self._probe_questioned()
        self._checked_at = self._now()

    def note_question(self, names):
        """Note that another instance has asked when upstreams were heard.

        Those not heard lately are probed: in a large or quiet fleet others
        may have no requests at the upstreams in doubt.
        """
        if not (self.is_cut_off or self.is_outage):
            self._questioned = list(names)

    async def _probe_questioned(self):
        """Probe some upstreams that are in doubt elsewhere."""
        limit = self._now() - SILENCE_SECONDS
        names = {
            name
            for name in self._questioned
            if self._pool.heard_at.get(name, -math.inf) < limit
        }
        self._questioned = []
        found = [one for one in self._list_upstreams() if one.name in names]
        async with trio.open_nursery() as nursery:
            for upstream in self._take_turns(sorted(found), PROBES):
                nursery.start_soon(self._probe_one, upstream)

    def _forgive(self, now):
        """Count no time in which this process did not run."""
        self._suspected_at = None
        for link in self._links.values():
            link.failed_at = link.refused_at = -math.inf
            for wait in link.waits:
                if not wait.is_answered:
                    wait.began_at = now

    def _forget(self):
        """Forget upstreams that are gone."""
        known = {one.name for one in self._list_upstreams()}
        for name, link in list(self._links.items()):
            if name not in known and not link.waits:
                del self._links[name]

    async def _inquire(self, suspicion):
        """Ask other instances and probe upstreams; act on what that shows."""
        suspicion = _choose_earliest(suspicion, MAX_SUSPECTED)
        doubted = self._add_probed(suspicion)
        reports = await self._ask_and_probe(doubted)
        if not self._find_suspicion():
            return
        if any(is_own_fault(one, reports) for one in (suspicion, doubted)):
            self._begin_cut(doubted, reports)
        elif self._is_outage(doubted, reports):
            self._begin_outage(suspicion)

    def _add_probed(self, suspicion):
        """Return a suspicion and what left a probe unanswered.

        An instance that has just started may have sent to few upstreams, and
        just to such as are down.
        """
        missing = MAX_ASKED - len(suspicion)
        return _choose_earliest(self._unanswered, missing) | suspicion

    async def _ask_and_probe(self, suspicion):
        """Return the Reports of other instances on suspected upstreams."""
        reports = []

        async def ask():
            reports.extend(await self._ask(list(suspicion)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            for upstream in self._choose_probes(PROBES):
                nursery.start_soon(self._probe_one, upstream)
        return reports

    def _begin_cut(self, suspicion, reports):
        """Send nothing more on the links, and withdraw what waits there."""
        self.is_cut_off = True
        held, self._held = self._held, []
        for _, _, retract in held:
            retract()
        self._answered = set()
        self._inquire_at = self._now() + HEAL_INTERVAL_SECONDS
        waits = self._list_lost()
        logs.log(
            "warning",
            "this instance reaches no upstream; others do",
            step="check links",
            inputs={
                "upstreams": len(suspicion),
                "silent_ms": int(
                    1000 * (self._now() - min(suspicion.values()))
                ),
                "reports": len(reports),
                "waiting": len(waits),
            },
        )
        self._pool.close_idle()
        for wait in waits:
            wait.withdraw()

    # --- outages -------------------------------------------------------------

    def _is_outage(self, suspicion, reports):
        """Return whether nobody has heard from any upstream for some time."""
        needed = max(1, min(OUTAGE_PROBES, len(self._list_upstreams())))
        return (
            len(self._unanswered) >= needed
            and self._now() - self._suspected_at >= OUTAGE_SECONDS
            and not _list_heard(suspicion, reports)
        )

    def _begin_outage(self, suspicion):
        """Refuse requests until an upstream is heard, here or elsewhere."""
        self.is_outage = True
        self._outage = suspicion
        self._inquire_at = self._now() + HEAL_INTERVAL_SECONDS
        logs.log(
            "warning",
            "no instance reaches an upstream; requests are refused",
            step="check links",
            inputs={"upstreams": len(suspicion)},
        )

    async def _check_outage(self):
        """Look for a sign of life from an upstream, here or elsewhere."""
        began_at = self._now()
        suspicion = self._add_probed(self._outage)
        reports = await self._ask_and_probe(suspicion)
        heard_at = max(self._pool.heard_at.values(), default=-math.inf)
        is_heard = not self._unanswered or heard_at > began_at
        heard_elsewhere = _list_heard(suspicion, reports)
        if not is_heard and not heard_elsewhere:
            return
        self.is_outage = False
        self._unanswered.clear()
        logs.log(
            "info",
            "an upstream is reached again",
            step="check links",
            inputs={"here": is_heard, "elsewhere": len(heard_elsewhere)},
        )
        if not is_heard:
            self._begin_cut(suspicion, reports)

    def _list_lost(self):
        """Return the Waits to which no answer comes on the present links."""
        now = self._now()
        return [
            wait
            for name, link in self._links.items()
            for wait in link.waits
            if now - self._pool.heard_at.get(name, -math.inf)
            >= SILENCE_SECONDS
            or not wait.is_answered
            and now - wait.began_at >= ONE_WAY_SECONDS
        ]

    def _choose_probes(self, count):
        """Return some upstreams to probe, others than the last time."""
        known = sorted(self._list_upstreams())
        fresh = [one for one in known if one.name not in self._unanswered]
        return self._take_turns(fresh or known, count)

    def _take_turns(self, upstreams, count):
        """Return some upstreams of a list, others than the last time."""
        if not upstreams:
            return []
        first = self._probes % len(upstreams)
        self._probes += count
        return (upstreams[first:] + upstreams[:first])[:count]

    async def _probe_one(self, upstream):
        sent_at = self._now()
        self._unanswered.setdefault(upstream.name, sent_at)
        if await self._probe(upstream, PROBE_TIMEOUT_SECONDS):
            self._unanswered.clear()
            self._record_answer(upstream.name, sent_at, True)
            if self.is_cut_off:
                self._record_heal(upstream.name)

    async def _try_links(self):
        for upstream in self._choose_probes(1):
            await self._probe_one(upstream)

    def _record_heal(self, upstream):
        """Use the links again once enough upstreams have answered."""
        self._answered.add(upstream)
        self._inquire_at = self._now()
        needed = min(HEAL_ANSWERS, len(self._list_upstreams()))
        if len(self._answered) < needed:
            return
        self.is_cut_off = False
        self._healed_at = self._now()
        for link in self._links.values():
            link.failed_at = link.refused_at = -math.inf
        self.on_heal()
        logs.log(
            "info",
            "this instance reaches upstreams again",
            step="check links",
            inputs={"answered": len(self._answered)},
        )
