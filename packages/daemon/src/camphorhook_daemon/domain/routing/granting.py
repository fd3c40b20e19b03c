"""The places at upstreams that this instance grants, as one of the holders.

Two instances, the holders, grant one half each of the places that the
upstreams of a service have. A place that is not released counts as free when
its lease ends.
"""

import functools

import trio

from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import waiting

SECONDS_PER_MS = 0.001
NO_HOLDER_SECONDS = 0.3  # until instances agree on the holders again
# Upstreams that are not brittle bear it if a place is granted again while a
# slow request still has it, so that a lost instance keeps none for long.
MIN_LEASE_SECONDS = 1.0
LEASE_HOLDS = 4.0  # mean times of a place until it counts as free
# Of the time that a request may wait: what waits beyond it would often be
# refused in the end.
ADMITTED_SHARE = 0.75
LATE_ADMITTED_SHARE = 0.33  # others may become late and go before them
# At first, requests that were sent without a place occupy upstreams, which
# only the instances' notices tell.
SETTLE_SECONDS = 1.0
SETTLE_INTERVAL_SECONDS = 0.05  # longer than a notice takes
SERVE_INTERVAL_SECONDS = 0.05  # in which a waiting request looks again
FIRST_HOLD_SECONDS = 0.1  # assumed until a place has been released
HOLD_WEIGHT = 0.1  # of the last request in the mean time of a place


class _Pool:
    """The places of one service that this instance grants."""

    def __init__(self, now, numbers):
        self.used = {}
        self.line = waiting.Line(now, numbers)
        self.hold_seconds = FIRST_HOLD_SECONDS
        self.leases = {}
        self.settles_at = 0.0
        self.asked_at = float("-inf")


class Grants:
    """Grants the places of the services that this instance holds."""

    def __init__(self, holders, pressure, count_load, now, numbers):
        """Create the record of an instance that has granted none.

        Args:
            holders: the rate_permits.Holders, asked by name of the service.
            pressure: the pressure.Pressure.
            count_load: function that returns how many requests all instances
                have at an upstream, by its name.
            now: function that returns the time in seconds.
            numbers: iterator of increasing numbers. The instance's own
                questions take theirs from it, and which holder they go to
                first depends on these.
        """
        self._numbers = numbers
        self._holders = holders
        self._pressure = pressure
        self._count_load = count_load
        self._now = now
        self._pools = {}

    async def grant(self, message):
        """Return the wire.PlaceReply to a question for a place.

        Args:
            message: a wire.AcquirePlace or wire.AcquireOrderedPlace.
        """
        self._holders.refresh()
        if self._holders.find_position(message.service, "") is None:
            wait_ms = int(NO_HOLDER_SECONDS / SECONDS_PER_MS)
            return wire.PlaceReply("", wait_ms, False)
        # Of an upstream with one place, one of the holders grants none.
        if not self._count_all_places(message):
            return wire.PlaceReply("", 0, True, False)
        pool = self._pools.setdefault(
            message.service, _Pool(self._now, self._numbers)
        )
        self._settle(pool)
        self._serve(message.service, pool)
        demand = _describe(message, self._now())
        if not pool.line:
            upstream = self._take(pool, message)
            if upstream:
                pool.line.record_grant(demand)
                return wire.PlaceReply(upstream, 0)
        pace = waiting.Pace(pool.hold_seconds, self._count_all_places(message))
        outlook = pool.line.estimate(demand, pace)
        wait = message.wait_ms * SECONDS_PER_MS
        share = LATE_ADMITTED_SHARE if outlook.is_late else ADMITTED_SHARE
        is_hopeless = outlook.seconds > share * wait
        if is_hopeless or len(pool.line) >= waiting.MAX_WAITING:
            return self._refuse(pool, message, demand)
        waiter = waiting.Waiter(message, demand)
        pool.line.add(waiter, outlook.is_late)
        try:
            with trio.move_on_after(wait):
                while not waiter.ended.is_set():
                    with trio.move_on_after(SERVE_INTERVAL_SECONDS):
                        await waiter.ended.wait()
                    self._serve(message.service, pool)
        finally:
            pool.line.remove(waiter)
        if waiter.upstream:
            return wire.PlaceReply(waiter.upstream, 0)
        return self._refuse(pool, message, demand)

    def _refuse(self, pool, message, demand):
        """Return the wire.PlaceReply to a request that gets no place."""
        pace = waiting.Pace(pool.hold_seconds, self._count_all_places(message))
        if _keeps_turn(message):
            seconds = pool.line.refuse(demand, pace)
        else:
            seconds = pool.line.estimate(demand, pace).seconds
        return wire.PlaceReply("", int(seconds / SECONDS_PER_MS) + 1)

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
        if self._pressure.is_brittle(message.service):
            return lease
        usual = LEASE_HOLDS * pool.hold_seconds
        return min(lease, max(MIN_LEASE_SECONDS, usual))

    def handle_release(self, message):
        """Free the place of a wire.ReleasePlace; return a wire.PlaceReply.

        It may come before the request that it releases has got one.
        """
        pool = self._pools.get(message.service)
        if pool is not None:
            key = message.sender, message.number
            pool.line.release(key)
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
        return pool.line.serve_first(
            functools.partial(self._take, pool), pool.hold_seconds
        )

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
        for service, pool in list(self._pools.items()):
            self._evict(service, pool)
            pool.line.evict()
            if service not in services and not pool.leases:
                del self._pools[service]

    def count_waiting(self):
        """Return the number of requests that wait here for a place."""
        return sum(len(pool.line) for pool in self._pools.values())


@functools.singledispatch
def _describe(message, _now):
    """Return the waiting.Demand of a message of an older build."""
    return waiting.Demand(message.priority)


@_describe.register
def _(message: wire.AcquireOrderedPlace, now):
    target_at = now + message.target_ms * SECONDS_PER_MS
    return waiting.Demand(
        message.priority, message.account, target_at, message.request
    )


def _keeps_turn(message):
    """Return whether a refusal is passed on to the client."""
    return isinstance(message, wire.AcquireOrderedPlace) and message.is_last
