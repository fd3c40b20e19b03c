"""Instances by way of which requests go while the own links fail.

A request that can't be sent from here goes to another instance that reaches
upstreams, its gateway, which sends it as one of its own; it never goes to a
third one. Each instance asks a few others, in an order of its own that
spreads over failure domains, so that no instance becomes the gateway of all
and connections between instances stay few.
"""

import contextlib
import math
import typing

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import links as link_states

SECONDS_PER_MS = 0.001
ASKED = 4  # instances that are asked at the same time
ASK_TIMEOUT_SECONDS = 0.25  # many round trips within a region
ASK_INTERVAL_SECONDS = 0.5  # while gateways are in use
# For which an instance that gave no answer, or is cut off, is not asked.
AVOID_SECONDS = 2.0
MISSES = 2  # questions without an answer until a gateway counts as lost


class Gateway(typing.NamedTuple):
    """Name and address of an instance that passes requests on."""

    name: str
    address: str
    port: int


class Outcome(typing.NamedTuple):
    """What a gateway says beside the answer of an upstream.

    Attributes:
        is_refusal: the answer is the gateway's own, and no upstream's.
        is_cut_off: the gateway reaches no upstream either and sent nothing.
        version: software version of the upstream that answered.
        retry_after: seconds after which the client may return; 0 if unknown.
        is_unclear: what the gateway says can't be told from what the upstream
            says, so the request may have run.
    """

    is_refusal: bool
    is_cut_off: bool
    version: str
    retry_after: float
    is_unclear: bool = False


UNCLEAR = Outcome(False, False, "", 0.0, True)


class _Candidate:
    """What an instance said last, and what is sent by way of it."""

    def __init__(self):
        self.active = 0
        self.sent = 0
        self.misses = 0
        self.is_usable = False
        self.waits = set()


class Gateways:
    """Chooses the gateways of this instance, and answers those who ask.

    Attributes:
        links: the links.Links of this instance, set after both are created,
            as they need each other.
    """

    def __init__(
        self, name, map_instances, locate, transport, count_active, now
    ):
        """Create the state of an instance that has asked nobody.

        Args:
            name: name of this instance.
            map_instances: function that returns the failure domain by name
                of the instances alive.
            locate: function that returns the settings.Endpoint at which an
                instance takes requests of others.
            transport: a Transport.
            count_active: function that returns the number of requests in
                flight at this instance.
            now: function that returns the time in seconds.
        """
        self._name = name
        self._map_instances = map_instances
        self._locate = locate
        self._transport = transport
        self._count_active = count_active
        self._now = now
        self._candidates = {}
        self._avoid_until = {}
        self._asked_at = -math.inf
        self._used_at = -math.inf
        self._asked_upstreams = []
        self.links = None

    # --- questions -----------------------------------------------------------

    def answer(self, message, heard_at):
        """Return the wire.ContactsReply to wire.ReadContacts.

        Args:
            message: the wire.ReadContacts.
            heard_at: time in seconds by upstream at which bytes last arrived.
        """
        self.links.note_question(message.upstreams)
        now = self._now()
        ages = {
            name: int((now - heard_at[name]) / SECONDS_PER_MS)
            for name in message.upstreams
            if name in heard_at
        }
        is_cut_off = self.links.is_cut_off or self.links.is_outage
        return wire.ContactsReply(is_cut_off, self._count_active(), ages)

    async def ask(self, upstreams):
        """Ask other instances about upstreams; return links.Reports.

        Args:
            upstreams: names of upstreams.
        """
        self._asked_at = self._now()
        self._asked_upstreams = upstreams[: link_states.MAX_ASKED]
        reports = []

        async def ask_one(name):
            message = wire.ReadContacts(self._name, self._asked_upstreams)
            try:
                reply = await self._transport.call(
                    name, message, ASK_TIMEOUT_SECONDS
                )
            except errors.UnreachableError as error:
                self._record_miss(name, error)
                return
            reports.append(self._record_reply(name, reply))

        async with trio.open_nursery() as nursery:
            for name in self._choose_asked():
                nursery.start_soon(ask_one, name)
        return reports

    def _choose_asked(self):
        """Return the names of instances to ask: those in use, and others."""
        now = self._now()
        instances = dict(self._map_instances())
        instances.pop(self._name, None)
        self._avoid_until = {
            name: until
            for name, until in self._avoid_until.items()
            if until > now
        }
        for name, known in list(self._candidates.items()):
            if name not in instances and not known.sent:
                del self._candidates[name]
        usable = [name for name in self._list_usable() if name in instances]
        others = {
            name: domain
            for name, domain in instances.items()
            if name not in self._avoid_until and name not in usable
        }
        # If all others are avoided and none is usable, they are asked again.
        others = others or (not usable and instances) or {}
        missing = max(0, ASKED - len(usable))
        return usable + hashing.choose_spread(self._name, others, missing)

    def _record_miss(self, name, error):
        logs.log("info", error.format(), step="ask instances")
        self._avoid_until[name] = self._now() + AVOID_SECONDS
        known = self._candidates.setdefault(name, _Candidate())
        known.misses += 1
        known.is_usable = False
        if known.misses >= MISSES:
            for wait in list(known.waits):
                wait.withdraw()

    def _record_reply(self, name, reply):
        now = self._now()
        known = self._candidates.setdefault(name, _Candidate())
        known.misses = 0
        known.active = reply.active
        known.is_usable = not reply.is_cut_off
        if reply.is_cut_off:
            self._avoid_until[name] = now + AVOID_SECONDS
        heard_at = {
            upstream: now - age * SECONDS_PER_MS
            for upstream, age in reply.ages_ms.items()
        }
        return link_states.Report(reply.is_cut_off, heard_at)

    async def run(self):
        """Ask again while gateways are in use, until cancelled."""
        while True:
            await trio.sleep(ASK_INTERVAL_SECONDS)
            is_used = self._now() - self._used_at < 2 * ASK_INTERVAL_SECONDS
            if is_used or (self.links.is_cut_off and self._candidates):
                await self.ask(self._asked_upstreams)

    # --- choice --------------------------------------------------------------

    def _list_usable(self):
        return [
            name for name, known in self._candidates.items() if known.is_usable
        ]

    async def choose(self, excluded):
        """Return the Gateway for one request, or None if there is none.

        It is the one with the fewest requests, of its own and of this
        instance.

        Args:
            excluded: names of instances to leave out.
        """
        self._used_at = self._now()
        if self._now() - self._asked_at > 2 * ASK_INTERVAL_SECONDS:
            await self.ask(self._asked_upstreams)
        usable = [one for one in self._list_usable() if one not in excluded]
        if not usable:
            return None

        def measure_load(name):
            known = self._candidates[name]
            return known.active + known.sent, hashing.score(self._name, name)

        name = min(usable, key=measure_load)
        endpoint = self._locate(name)
        return Gateway(name, endpoint.address, endpoint.port)

    @contextlib.contextmanager
    def watch(self, gateway, may_withdraw):
        """Count a request by way of a Gateway; yield its links.Wait.

        The block is cancelled if the gateway is lost, and `may_withdraw()`
        is true or no byte was sent.
        """
        known = self._candidates.setdefault(gateway.name, _Candidate())
        wait = link_states.Wait(gateway.name, self._now(), may_withdraw)
        known.sent += 1
        known.waits.add(wait)
        try:
            with wait.scope:
                yield wait
        finally:
            known.sent -= 1
            known.waits.discard(wait)

    def record_failure(self, name):
        """Use an instance no more until it answers a question again."""
        known = self._candidates.get(name)
        if known is not None:
            known.is_usable = False
        self._avoid_until[name] = self._now() + AVOID_SECONDS
