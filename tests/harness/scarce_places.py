"""Loads on too few places, played on a simulated clock."""

import collections
import random
import typing

import trio
from trio import testing
import xxhash

from camphorhook_daemon.domain.routing import places
from tests.harness import place_holders

# A plain service as the users have it: 400 requests a second.
UPSTREAMS = 3
PLACES = 6
WORK_SECONDS = 0.045
OBJECTIVE_SECONDS = 0.208
DEADLINE_SECONDS = 1.558
ROOM = UPSTREAMS * PLACES / WORK_SECONDS
SENDERS = 4
DELAY_SECONDS = 0.001
SLOW_FACTOR = 2.5
SLOW_SECONDS = 0.6
SLOW_INTERVAL_SECONDS = 4.0
MAX_WORK_SECONDS = 0.9  # below the shortest lease
AT_ONCE_SECONDS = 0.05
RETURN_SPREAD_SECONDS = 0.02  # a client's clock and way back


class Source(typing.NamedTuple):
    """Requests of one account.

    Attributes:
        account: its name.
        priority: 0 is the most urgent.
        rate: requests per second while the load lasts.
    """

    account: str
    priority: int
    rate: float


class Outcome(typing.NamedTuple):
    """What became of a try.

    Attributes:
        source: the Source.
        kind: in time, late, missed, refused at once, refused after a wait.
        told: seconds after which a refused client was told to return.
        is_return: whether it came back after a refusal.
        ended_at: time in seconds.
    """

    source: Source
    kind: str
    told: float
    is_return: bool
    ended_at: float


class Play:
    """One load, played once.

    Attributes:
        outcomes: the Outcomes of all tries.
        exceeded: number of times that an upstream had too many requests.
        most_waiting: most requests that waited at both holders.
    """

    def __init__(self, seed, sources, seconds, is_ordered, **options):
        """Create a play that has not begun.

        Args:
            seed: seed of arrivals and service times.
            sources: the Sources.
            seconds: how long the load lasts.
            is_ordered: whether the new order is on; a share of the senders
                if it is a number.
            **options: `returns`: refused clients come back when told;
                `renames`: with another request; `is_heavy`: service times are
                heavy-tailed; `is_slow`: upstreams are slow in turn;
                `lost_at`: seconds after which a holder is lost; `are_old`:
                number of holders of older builds.
        """
        self._seed = seed
        self._random = random.Random(seed)
        self._sources = sources
        self._seconds = seconds
        self._is_ordered = is_ordered
        self._options = options
        self._held = collections.Counter()
        self._upstreams = place_holders.make_upstreams(UPSTREAMS, PLACES)
        self.outcomes = []
        self.exceeded = 0
        self.most_waiting = 0
        self.holders = {}

    def run(self):
        """Play the load to its end; return self."""
        trio.run(self._play, clock=testing.MockClock(autojump_threshold=0))
        return self

    async def _play(self):
        self.holders = holders = place_holders.make_holders(2)
        senders = [
            place_holders.Holder(f"sender-{number}", holders)
            for number in range(SENDERS)
        ]
        for number, holder in enumerate(holders.values()):
            holder.is_old = number < self._options.get("are_old", 0)
        async with trio.open_nursery() as nursery:
            for number, one in enumerate((*senders, *holders.values())):
                one.is_ordered = number < self._is_ordered * SENDERS
                one.delay_seconds = DELAY_SECONDS
                nursery.start_soon(one.places.run)
            await trio.sleep(0.01)
            nursery.start_soon(self._watch, list(holders.values()))
            async with trio.open_nursery() as requests:
                for source in self._sources:
                    requests.start_soon(
                        self._send_all, requests, source, senders
                    )
            nursery.cancel_scope.cancel()

    async def _watch(self, holders):
        began_at = trio.current_time()
        while True:
            await trio.sleep(0.05)
            waiting = sum(one.places.count_waiting() for one in holders)
            self.most_waiting = max(self.most_waiting, waiting)
            lost_at = self._options.get("lost_at")
            if lost_at and trio.current_time() - began_at > lost_at:
                holders[0].is_silent = True

    async def _send_all(self, nursery, source, senders):
        ends_at = trio.current_time() + self._seconds
        # The same load is played whatever becomes of the requests.
        rng = random.Random(f"{self._seed} {source.account}")
        while True:
            await trio.sleep(rng.expovariate(source.rate))
            if trio.current_time() > ends_at:
                return
            chosen = rng.choices(senders, k=2)
            work = WORK_SECONDS
            if self._options.get("is_heavy"):
                # A Pareto distribution with a mean of 1, no finite variance.
                work *= rng.paretovariate(1.8) * 0.8 / 1.8
            nursery.start_soon(self._send, source, chosen, work, rng.random())

    async def _send(self, source, senders, work, fraction):
        request = f"{source.account} {fraction}"
        outcome = await self._try(source, request, senders[0], work, False)
        if outcome.told and self._options.get("returns"):
            spread = RETURN_SPREAD_SECONDS * fraction
            await trio.sleep(round(outcome.told, 2) + spread)
            if self._options.get("renames"):
                request += " again"
            await self._try(source, request, senders[1], work, True)

    async def _try(self, source, request, sender, work, is_return):
        began_at = trio.current_time()
        upstreams = list(self._upstreams)
        self._random.shuffle(upstreams)
        found = await sender.places.acquire(
            place_holders.SERVICE,
            upstreams,
            source.priority,
            OBJECTIVE_SECONDS,
            DEADLINE_SECONDS,
            places.Client(
                source.account, xxhash.xxh3_64_intdigest(request.encode()), 0.0
            ),
        )
        told = 0.0
        if isinstance(found, places.Place):
            self._held[found.upstream] += 1
            self.exceeded += self._held[found.upstream] > PLACES
            await self._work(found.upstream, work)
            self._held[found.upstream] -= 1
            sender.places.release(place_holders.SERVICE, found)
        elif not found.is_known:
            # Upstreams bear a few too many until there is a holder.
            await self._work(upstreams[0].name, work)
        passed = trio.current_time() - began_at
        if isinstance(found, places.NoPlace) and found.is_known:
            told = found.seconds
            was_quick = passed <= AT_ONCE_SECONDS
            kind = "refused at once" if was_quick else "refused after a wait"
        elif passed <= OBJECTIVE_SECONDS:
            kind = "in time"
        else:
            kind = "late" if passed <= DEADLINE_SECONDS else "missed"
        outcome = Outcome(source, kind, told, is_return, trio.current_time())
        self.outcomes.append(outcome)
        return outcome

    async def _work(self, upstream, work):
        if self._options.get("is_slow"):
            number = [one.name for one in self._upstreams].index(upstream)
            phase = trio.current_time() + number * 1.3
            if phase % SLOW_INTERVAL_SECONDS < SLOW_SECONDS:
                work *= SLOW_FACTOR
        await trio.sleep(min(work, MAX_WORK_SECONDS))

    def count(self, kind, account=None, priority=None, is_return=False):
        """Return the number of tries that ended in one way."""
        return sum(
            one.kind.startswith(kind)
            and one.is_return == is_return
            and account in (None, one.source.account)
            and priority in (None, one.source.priority)
            for one in self.outcomes
        )
