"""Places at upstreams that all instances share.

Two instances, the holders, grant one half each of the places that the
upstreams of a service have (granting.py), and the others ask them before each
request. What waits does so at a holder, by priority and order of arrival, and
no longer than it can be expected to be served within; the rest is refused at
once. Where the service is ordered, accounts and target times count as well
(waiting.py).
"""

import itertools
import math
import random
import typing

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import granting

SECONDS_PER_MS = 0.001
REPLY_TIMEOUT_SECONDS = 0.15  # beyond the time that a request may wait
SILENCE_SECONDS = 0.5  # for which a holder that did not answer is not asked
HEARD_SECONDS = 0.3  # after its last answer a holder may have been lost
RELEASE_TIMEOUT_SECONDS = 0.5  # later, the lease ends by itself
LEASE_MARGIN_SECONDS = 1.0  # after the deadline of a request
WAIT_SHARE = 0.35  # of the time left; messages and the upstream need the rest
WAIT_OBJECTIVES = 2.0  # longest wait in latency objectives
# Of that wait at the first holder: it may have no free place for long while
# the other one has some.
FIRST_WAIT_SHARE = 0.5
# An ordered wait goes on after the target time, to serve the request late.
ORDERED_WAIT_SHARE = 0.6  # of the time left; the upstream may be slow
# Of an ordered wait at the first holder: the order at the second one does not
# know how long a request has waited already.
ORDERED_FIRST_SHARE = 0.75
# A holder of an older build does not answer ordered questions. Shorter than a
# process takes to be replaced by one and to be a holder again.
ORDER_HEARD_SECONDS = 1.0
ORDER_KNOWN_SECONDS = 30.0  # after the last answer; then it is asked again
# Each inquiry leaves a line in the log of an older build.
INQUIRY_SECONDS = 60.0
NUMBER_BITS = 48  # of the random first number of a process's questions


class Place(typing.NamedTuple):
    """The right to have one request at an upstream.

    Attributes:
        upstream: name of the upstream.
        holder: name of the instance that granted it.
        number: number that identifies it, with the instance that asked.
    """

    upstream: str
    holder: str
    number: int


class NoPlace(typing.NamedTuple):
    """No place is free in time.

    Attributes:
        seconds: time after which one is likely to be free; inf for never.
        is_known: whether a holder said so; otherwise it gave no answer.
    """

    seconds: float
    is_known: bool = True


_NO_HOLDER = NoPlace(granting.NO_HOLDER_SECONDS, False)


class Client(typing.NamedTuple):
    """Whose request needs a place.

    Attributes:
        account: name of the client account; empty on a public route.
        digest: digest of the request, by which a client that was refused is
            known when it returns; it has another request id then.
        spent: seconds since the request was received.
    """

    account: str
    digest: int
    spent: float


_NO_CLIENT = Client("", 0, 0.0)


class _Question(typing.NamedTuple):
    """What a request needs a place for.

    Attributes:
        service: name of the service.
        upstreams: wire.Registrations to choose from, the best first.
        priority: 0 is the most urgent.
        left: seconds until the request's deadline.
        client: the Client; None if the order does not depend on it.
        target_at: time in seconds by which it should be answered.
    """

    service: str
    upstreams: list
    priority: int
    left: float
    client: Client | None
    target_at: float


class Places:
    """Acquires places from holders, and grants those this instance holds."""

    def __init__(
        self,
        name,
        holders,
        pressure,
        count_load,
        transport,
        now,
        is_ordered,
        counts,
    ):
        """Create the places of an instance that has granted none.

        Args:
            name: name of this instance.
            holders: the rate_permits.Holders, asked by name of the service.
            pressure: the pressure.Pressure.
            count_load: function that returns how many requests all instances
                have at an upstream, by its name.
            transport: a Transport.
            now: function that returns the time in seconds.
            is_ordered: function that returns whether accounts and target
                times count for a service, by its name.
            counts: metrics: `add`.
        """
        self._name = name
        self._is_ordered = is_ordered
        self._counts = counts
        self._holders = holders
        self._transport = transport
        self._now = now
        self._silent_until = {}
        self._heard_at = {}
        self._order_heard_at = {}
        self._inquired_at = {}
        # A process that starts again must not use the numbers of before.
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS))
        self._grants = granting.Grants(
            holders, pressure, count_load, now, self._numbers
        )
        self._nursery = None
        self.pressure = pressure

    async def run(self):
        """Send releases to holders until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await trio.sleep_forever()

    # --- asking ----------------------------------------------------------

    async def acquire(
        self,
        service,
        upstreams,
        priority,
        objective,
        left,
        client=_NO_CLIENT,
    ):
        """Return a Place, or a NoPlace.

        Args:
            service: name of the service.
            upstreams: wire.Registrations to choose from, the best first.
            priority: 0 is the most urgent.
            objective: target latency of the request in seconds.
            left: seconds until its deadline.
            client: the Client.
        """
        self._holders.refresh()
        is_ordered = self._is_ordered(service)
        target_at = self._now() + objective - client.spent
        question = _Question(
            service,
            upstreams,
            priority,
            left,
            client if is_ordered else None,
            target_at,
        )
        longest = min(WAIT_SHARE * left, WAIT_OBJECTIVES * objective)
        if is_ordered:
            longest = ORDERED_WAIT_SHARE * left
        found = await self._seek(question, longest)
        if isinstance(found, NoPlace):
            reason = "no place in time" if found.is_known else "no holder"
            self._counts.add("places_refused_total", reason=reason)
        return found

    async def _seek(self, question, longest):
        """Return a Place or a NoPlace.

        Args:
            question: the _Question.
            longest: seconds for which the request may wait.
        """
        service = question.service
        asked_at = self._now()
        holders = self._list_holders(service)
        # While a holder is lost its places stay empty for seconds, which only
        # brittle upstreams need.
        must_have_place = self.pressure.is_brittle(service)
        is_complete = len(holders) == len(self._holders.find(service, ""))
        waits_at = ""
        if question.client is None:
            waits_at = self._choose_waiting(holders)
        denials = {}
        for holder in holders:
            may_wait = must_have_place or is_complete
            wait = 0.0
            if holder == waits_at and may_wait:
                wait = FIRST_WAIT_SHARE * longest
            found = await self._ask(holder, question, wait)
            if isinstance(found, Place):
                if (
                    denials
                    and self._now() - asked_at
                    > granting.SERVE_INTERVAL_SECONDS
                ):
                    self.pressure.record_full(service)
                return found
            is_complete &= found.is_known
            if found.is_known and found.seconds < math.inf:
                denials[holder] = found.seconds
        if not denials:
            return _NO_HOLDER
        self.pressure.record_full(service)
        if not (must_have_place or is_complete):
            return _NO_HOLDER
        nearest = min(denials, key=denials.get)
        refusal = NoPlace(denials[nearest])
        denials.pop(waits_at, None)
        found = await self._wait_in_turn(question, denials, asked_at + longest)
        if found is None and self._reads_order(nearest, question):
            found = await self._ask(nearest, question, 0.0, is_last=True)
            if isinstance(found, NoPlace) and not found.is_known:
                found = None
        return found or refusal

    async def _wait_in_turn(self, question, denials, until):
        """Return a Place for which a request had to wait, or None.

        Args:
            question: the _Question.
            denials: by holder, the seconds after which it expects a place.
            until: time in seconds until which the request may wait.
        """
        holders = sorted(denials, key=denials.get)
        for holder in holders:
            wait = until - self._now()
            if denials[holder] > wait:
                continue
            if holder != holders[-1]:
                is_ordered = question.client is not None
                wait *= (FIRST_WAIT_SHARE, ORDERED_FIRST_SHARE)[is_ordered]
            found = await self._ask(holder, question, wait)
            if isinstance(found, Place):
                return found
        return None

    def _choose_waiting(self, holders):
        """Return the holder at which the first question may wait, or "".

        It is the last one that is asked. One that is not known to answer is
        asked without waiting first, as it may have been lost.
        """
        if not holders:
            return ""
        heard_at = self._heard_at.get(holders[-1], -math.inf)
        is_heard = self._now() - heard_at < HEARD_SECONDS
        return holders[-1] if is_heard else ""

    def _list_holders(self, service):
        """Return the holders that answer, in turn a different one first."""
        now = self._now()
        found = [
            one
            for one in self._holders.find(service, "")
            if self._silent_until.get(one, 0.0) <= now
        ]
        if found and next(self._numbers) % 2:
            found = found[1:] + found[:1]
        return found

    def _reads_order(self, holder, question):
        """Return whether a holder is to order a question by all it says."""
        if question.client is None:
            return False
        heard_at = self._order_heard_at.get(holder, -math.inf)
        if self._now() - heard_at < ORDER_KNOWN_SECONDS:
            return True
        inquired_at = self._inquired_at.get(holder, -math.inf)
        if self._now() - inquired_at >= INQUIRY_SECONDS and self._nursery:
            self._inquired_at[holder] = self._now()
            self._nursery.start_soon(self._inquire, holder)
        return False

    async def _inquire(self, holder):
        """Find out whether a holder reads ordered questions."""
        message = wire.AcquireOrderedPlace(self._name, 0, "", [], 0, 0, 0)
        try:
            await self._transport.call(
                holder, message, RELEASE_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            logs.log("info", error.format(), step="inquire about order")
            return
        self._order_heard_at[holder] = self._now()
        self._inquired_at.pop(holder, None)

    async def _ask(self, holder, question, wait, is_last=False):
        """Ask a holder; return a Place or a NoPlace.

        Args:
            holder: name of the holder.
            question: the _Question.
            wait: longest time in seconds to wait for a place.
            is_last: whether a refusal is passed on to the client.
        """
        if not self._reads_order(holder, question):
            return await self._ask_once(holder, question, wait, None)
        heard_at = self._order_heard_at[holder]
        found = await self._ask_once(holder, question, wait, is_last)
        if found is not _NO_HOLDER:
            self._order_heard_at[holder] = self._now()
            return found
        self._order_heard_at.pop(holder, None)
        if self._now() - heard_at < wait + ORDER_HEARD_SECONDS or is_last:
            return found
        # An older build may have replaced it.
        found = await self._ask_once(holder, question, wait, None)
        if found is not _NO_HOLDER:
            self._silent_until.pop(holder, None)
        return found

    async def _ask_once(self, holder, question, wait, is_last):
        """Ask a holder in one form; return a Place or a NoPlace.

        Args:
            holder: name of the holder.
            question: the _Question.
            wait: longest time in seconds to wait for a place.
            is_last: as in _ask; None for the form that older builds read.
        """
        number = next(self._numbers)
        service = question.service
        message = wire.AcquirePlace(
            self._name,
            number,
            service,
            [
                wire.PlaceCandidate(one.name, one.capacity)
                for one in question.upstreams
            ],
            question.priority,
            int(wait / SECONDS_PER_MS),
            int((question.left + LEASE_MARGIN_SECONDS) / SECONDS_PER_MS),
        )
        if is_last is not None:
            target = max(0.0, question.target_at - self._now())
            message = wire.AcquireOrderedPlace(
                *message,
                question.client.account,
                int(target / SECONDS_PER_MS),
                is_last,
                question.client.digest,
            )
        reply = None
        try:
            reply = await self._transport.call(
                holder, message, wait + REPLY_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            logs.log("info", error.format(), step="acquire place")
            self._silent_until[holder] = self._now() + SILENCE_SECONDS
            return _NO_HOLDER
        finally:
            if reply is None:
                # A grant may be on its way to a request that was given up.
                self._send_release(service, holder, number)
        self._heard_at[holder] = self._now()
        if reply.upstream:
            return Place(reply.upstream, holder, number)
        seconds = reply.retry_ms * SECONDS_PER_MS
        if not reply.is_granting:
            seconds = math.inf
        return NoPlace(seconds, reply.is_holder)

    def release(self, service, place):
        """Give a Place back."""
        self._send_release(service, place.holder, place.number)

    def _send_release(self, service, holder, number):
        message = wire.ReleasePlace(self._name, number, service)
        if holder == self._name:
            self._grants.handle_release(message)
        elif self._nursery is not None:
            self._nursery.start_soon(self._tell, holder, message)

    async def _tell(self, holder, message):
        try:
            await self._transport.call(
                holder, message, RELEASE_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            logs.log("info", error.format(), step="release place")

    # --- granting --------------------------------------------------------

    async def grant(self, message):
        """Return the wire.PlaceReply to a question for a place."""
        return await self._grants.grant(message)

    def handle_release(self, message):
        """Free the place of a wire.ReleasePlace; return a wire.PlaceReply."""
        return self._grants.handle_release(message)

    def retain(self, services):
        """Forget services that are gone, and free what was not released."""
        self._holders.refresh()
        self._holders.retain(services)
        self.pressure.retain(services)
        self._grants.retain(services)
        now = self._now()
        self._silent_until = {
            name: until
            for name, until in self._silent_until.items()
            if until > now
        }
        self._heard_at = _keep_since(self._heard_at, now - HEARD_SECONDS)
        self._order_heard_at = _keep_since(
            self._order_heard_at, now - ORDER_KNOWN_SECONDS
        )
        self._inquired_at = _keep_since(
            self._inquired_at, now - INQUIRY_SECONDS
        )

    def count_waiting(self):
        """Return the number of requests that wait here for a place."""
        return self._grants.count_waiting()


def _keep_since(times, start):
    """Return the entries of a mapping of times that are after a start."""
    return {name: at for name, at in times.items() if at > start}
