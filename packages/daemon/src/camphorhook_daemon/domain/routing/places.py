"""Places at upstreams that all instances share.

Two instances, the holders, grant one half each of the places that the
upstreams of a service have, and the others ask them before each request. What
waits does so at a holder, by priority and order of arrival, and no longer
than it can be expected to be served within; the rest is refused at once.
"""

import heapq
import itertools
import math
import random
import typing

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing

SECONDS_PER_MS = 0.001
REPLY_TIMEOUT_SECONDS = 0.15  # beyond the time that a request may wait
SILENCE_SECONDS = 0.5  # for which a holder that did not answer is not asked
HEARD_SECONDS = 0.3  # after its last answer a holder may have been lost
NO_HOLDER_SECONDS = 0.3  # until instances agree on the holders again
RELEASE_TIMEOUT_SECONDS = 0.5  # later, the lease ends by itself
LEASE_MARGIN_SECONDS = 1.0  # after the deadline of a request
# Upstreams that are not brittle bear it if a place is granted again while a
# slow request still has it, so that a lost instance keeps none for long.
MIN_LEASE_SECONDS = 1.0
LEASE_HOLDS = 4.0  # mean times of a place until it counts as free
WAIT_SHARE = 0.35  # of the time left; messages and the upstream need the rest
WAIT_OBJECTIVES = 2.0  # longest wait in latency objectives
# Of that wait at the first holder: it may have no free place for long while
# the other one has some.
FIRST_WAIT_SHARE = 0.5
# Of that time: what waits beyond it would often be refused in the end.
ADMITTED_SHARE = 0.75
MAX_WAITING = 500  # requests at one holder
# At first, requests that were sent without a place occupy upstreams, which
# only the instances' notices tell.
SETTLE_SECONDS = 1.0
SETTLE_INTERVAL_SECONDS = 0.05  # longer than a notice takes
SERVE_INTERVAL_SECONDS = 0.05  # in which a waiting request looks again
FIRST_HOLD_SECONDS = 0.1  # assumed until a place has been released
NUMBER_BITS = 48  # of the random first number of a process's questions
HOLD_WEIGHT = 0.1  # of the last request in the mean time of a place


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


_NO_HOLDER = NoPlace(NO_HOLDER_SECONDS, False)


class _Question(typing.NamedTuple):
    """What a request needs a place for.

    Attributes:
        service: name of the service.
        upstreams: wire.Registrations to choose from, the best first.
        priority: 0 is the most urgent.
        left: seconds until the request's deadline.
    """

    service: str
    upstreams: list
    priority: int
    left: float


class _Waiter:
    """A request that waits for a place."""

    def __init__(self, message):
        self.message = message
        self.upstream = ""
        self.is_done = False
        self.ended = trio.Event()


class _Pool:
    """The places of one service that this instance grants."""

    def __init__(self):
        self.used = {}
        self.waiting = []
        self.hold_seconds = FIRST_HOLD_SECONDS
        self.leases = {}
        self.settles_at = 0.0
        self.asked_at = float("-inf")

    def count_waiting(self):
        """Return the number of requests that wait."""
        self.waiting = [one for one in self.waiting if not one[2].is_done]
        heapq.heapify(self.waiting)
        return len(self.waiting)


class Places:
    """Acquires places from holders, and grants those this instance holds."""

    def __init__(self, name, holders, pressure, count_load, transport, now):
        """Create the places of an instance that has granted none.

        Args:
            name: name of this instance.
            holders: the rate_permits.Holders, asked by name of the service.
            pressure: the pressure.Pressure.
            count_load: function that returns how many requests all instances
                have at an upstream, by its name.
            transport: a Transport.
            now: function that returns the time in seconds.
        """
        self._name = name
        self._count_load = count_load
        self._holders = holders
        self._transport = transport
        self._now = now
        self._pools = {}
        self._silent_until = {}
        self._heard_at = {}
        # A process that starts again must not use the numbers of before.
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS))
        self._nursery = None
        self.pressure = pressure

    async def run(self):
        """Send releases to holders until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await trio.sleep_forever()

    # --- asking ----------------------------------------------------------

    async def acquire(self, service, upstreams, priority, objective, left):
        """Return a Place, or a NoPlace.

        Args:
            service: name of the service.
            upstreams: wire.Registrations to choose from, the best first.
            priority: 0 is the most urgent.
            objective: target latency of the request in seconds.
            left: seconds until its deadline.
        """
        self._holders.refresh()
        question = _Question(service, upstreams, priority, left)
        longest = min(WAIT_SHARE * left, WAIT_OBJECTIVES * objective)
        asked_at = self._now()
        holders = self._list_holders(service)
        # While a holder is lost its places stay empty for seconds, which only
        # brittle upstreams need.
        must_have_place = self.pressure.is_brittle(service)
        is_complete = len(holders) == len(self._holders.find(service, ""))
        waits_at = self._choose_waiting(holders)
        denials = {}
        for holder in holders:
            may_wait = must_have_place or is_complete
            wait = 0.0
            if holder == waits_at and may_wait:
                wait = FIRST_WAIT_SHARE * longest
            found = await self._ask(holder, question, wait)
            if isinstance(found, Place):
                if denials and self._now() - asked_at > SERVE_INTERVAL_SECONDS:
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
        nearest = NoPlace(min(denials.values()))
        denials.pop(waits_at, None)
        found = await self._wait_in_turn(question, denials, asked_at + longest)
        return found or nearest

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
                wait *= FIRST_WAIT_SHARE
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

    async def _ask(self, holder, question, wait):
        """Ask a holder; return a Place or a NoPlace.

        Args:
            holder: name of the holder.
            question: the _Question.
            wait: longest time in seconds to wait for a place.
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
            self.handle_release(message)
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
        """Return the wire.PlaceReply to a wire.AcquirePlace."""
        self._holders.refresh()
        if self._holders.find_position(message.service, "") is None:
            wait_ms = int(NO_HOLDER_SECONDS / SECONDS_PER_MS)
            return wire.PlaceReply("", wait_ms, False)
        # Of an upstream with one place, one of the holders grants none.
        if not self._count_all_places(message):
            return wire.PlaceReply("", 0, True, False)
        pool = self._pools.setdefault(message.service, _Pool())
        self._settle(pool)
        self._serve(message.service, pool)
        if not pool.count_waiting():
            upstream = self._take(pool, message)
            if upstream:
                return wire.PlaceReply(upstream, 0)
        expected = self._estimate_wait(pool, message)
        wait = message.wait_ms * SECONDS_PER_MS
        is_late = expected > ADMITTED_SHARE * wait
        if is_late or len(pool.waiting) >= MAX_WAITING:
            return wire.PlaceReply("", int(expected / SECONDS_PER_MS) + 1)
        waiter = _Waiter(message)
        entry = message.priority, next(self._numbers), waiter
        heapq.heappush(pool.waiting, entry)
        try:
            with trio.move_on_after(wait):
                while not waiter.ended.is_set():
                    with trio.move_on_after(SERVE_INTERVAL_SECONDS):
                        await waiter.ended.wait()
                    self._serve(message.service, pool)
        finally:
            waiter.is_done = True
        if waiter.upstream:
            return wire.PlaceReply(waiter.upstream, 0)
        expected = self._estimate_wait(pool, message)
        return wire.PlaceReply("", int(expected / SECONDS_PER_MS) + 1)

    def _settle(self, pool):
        """Begin to watch the load, if no place was asked for of late."""
        now = self._now()
        is_new = now - pool.asked_at > SETTLE_SECONDS and not pool.leases
        pool.asked_at = now
        if is_new:
            pool.settles_at = now + SETTLE_SECONDS

    def _serve(self, service, pool):
        """Grant the free places of which no release tells."""
        self._evict(service, pool)
        while self._serve_waiting(pool):
            continue

    def _is_occupied(self, pool, candidate):
        """Return whether requests without a place may fill an upstream."""
        now = self._now()
        if now >= pool.settles_at:
            return False
        recent = sum(
            upstream == candidate.name
            and now - granted_at < SETTLE_INTERVAL_SECONDS
            for upstream, granted_at, _ in pool.leases.values()
        )
        # The other holder may grant as many meanwhile.
        load = self._count_load(candidate.name) + 2 * recent
        return load >= candidate.places

    def _count_places(self, service, candidate):
        """Return how many places of an upstream this instance grants."""
        found = self._holders.find_position(service, "")
        if found is None:
            return 0
        position, count = found
        # Odd places of different upstreams go to different holders.
        turn = int(hashing.hash_to_fraction("place", candidate.name) * count)
        position = (position + turn) % count
        return (max(1, candidate.places) + count - 1 - position) // count

    def _count_all_places(self, message):
        """Return how many places of its candidates are granted here."""
        return sum(
            self._count_places(message.service, one)
            for one in message.candidates
        )

    def _take(self, pool, message):
        """Take a place for a message; return its upstream, or ""."""
        best, best_share = "", 1.0
        for candidate in message.candidates:
            places = self._count_places(message.service, candidate)
            used = pool.used.get(candidate.name, 0)
            if used >= places or self._is_occupied(pool, candidate):
                continue
            if used / places < best_share:
                best, best_share = candidate.name, used / places
        if best:
            now = self._now()
            pool.used[best] = pool.used.get(best, 0) + 1
            expires_at = now + self._measure_lease(pool, message)
            key = message.sender, message.number
            pool.leases[key] = best, now, expires_at
        return best

    def _measure_lease(self, pool, message):
        """Return the seconds after which a place counts as free."""
        lease = message.lease_ms * SECONDS_PER_MS
        if self.pressure.is_brittle(message.service):
            return lease
        usual = LEASE_HOLDS * pool.hold_seconds
        return min(lease, max(MIN_LEASE_SECONDS, usual))

    def _estimate_wait(self, pool, message):
        """Return the seconds after which a place is likely to be free."""
        places = self._count_all_places(message)
        ahead = len(pool.waiting) + 1
        return ahead * pool.hold_seconds / max(1, places)

    def handle_release(self, message):
        """Free the place of a wire.ReleasePlace; return a wire.PlaceReply.

        It may come before the request that it releases has got one.
        """
        pool = self._pools.get(message.service)
        if pool is not None:
            key = message.sender, message.number
            for _, _, waiter in pool.waiting:
                asked = waiter.message
                if (asked.sender, asked.number) == key:
                    waiter.is_done = True
                    waiter.ended.set()
            lease = pool.leases.pop(key, None)
            if lease is not None:
                self._free(pool, lease)
        return wire.PlaceReply("", 0)

    def _free(self, pool, lease):
        upstream, granted_at, _ = lease
        held = self._now() - granted_at
        pool.hold_seconds += HOLD_WEIGHT * (held - pool.hold_seconds)
        self._give_up(pool, upstream)

    def _give_up(self, pool, upstream):
        """Count a place as free, and grant it to what waits."""
        pool.used[upstream] -= 1
        if not pool.used[upstream]:
            del pool.used[upstream]
        self._serve_waiting(pool)

    def _serve_waiting(self, pool):
        """Grant a free place to the first request that can use it.

        Returns:
            Whether one was granted.
        """
        unserved = []
        is_granted = False
        while pool.waiting:
            entry = heapq.heappop(pool.waiting)
            waiter = entry[2]
            if waiter.is_done:
                continue
            waiter.upstream = self._take(pool, waiter.message)
            if waiter.upstream:
                waiter.is_done = is_granted = True
                waiter.ended.set()
                break
            unserved.append(entry)
        for entry in unserved:
            heapq.heappush(pool.waiting, entry)
        return is_granted

    def _evict(self, service, pool):
        """Free places whose holder was lost without a release."""
        now = self._now()
        for key, (upstream, _, expires_at) in list(pool.leases.items()):
            if expires_at <= now:
                del pool.leases[key]
                logs.log(
                    "info",
                    "a place was not released in time",
                    step="grant place",
                    peer=key[0],
                    inputs={"service": service, "upstream": upstream},
                )
                self._give_up(pool, upstream)

    def retain(self, services):
        """Forget services that are gone, and free what was not released."""
        self._holders.refresh()
        self._holders.retain(services)
        self.pressure.retain(services)
        now = self._now()
        for service, pool in list(self._pools.items()):
            self._evict(service, pool)
            if service not in services and not pool.leases:
                del self._pools[service]
        self._silent_until = {
            name: until
            for name, until in self._silent_until.items()
            if until > now
        }
        self._heard_at = {
            name: at
            for name, at in self._heard_at.items()
            if now - at < HEARD_SECONDS
        }
