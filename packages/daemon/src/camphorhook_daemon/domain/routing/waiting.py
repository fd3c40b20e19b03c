"""The order in which requests wait for a place, and which ones are refused.

The loads that it is made for: 1.3 times as many requests as there are places
for, during seconds; one account that sends ten times its usual rate; requests
of two priorities; service times that grow 2.5 times longer for .6 s.

A more urgent request goes first. Among equally urgent ones, those that can
still meet their target time go before late ones, which get the remaining
places and at least one grant of LATE_TURN. Within these, accounts have equal
shares by start-time fair queueing: each request gets a tag, the number of
rounds in which all accounts that wait are served once, and the lowest tag goes
first. A request that is refused keeps its tag for when it is told to return.
"""

import heapq
import math
import typing

import trio

from camphorhook_daemon.domain.routing import turns as kept_turns

MAX_WAITING = 500  # requests at one holder
MAX_ACCOUNTS = 1000  # whose shares are known; others have the usual share
# Late requests that were admitted must end; their targets are lost already.
LATE_TURN = 8
# Of the time until a request is late: service times vary.
ON_TIME_SHARE = 0.5
RATE_SECONDS = 0.5  # in which the grants to each priority are measured
MAX_RATES = 8  # priorities whose grants are measured; the last has the rest
MIN_ROOM = 0.02  # share of the places, so that a time remains finite
# Share of the places for requests that were told to return, so that new ones
# are not refused in their favour.
TURN_SHARE = 0.25
MAX_RETRY_SECONDS = 30.0
RETRY_SPREAD = 0.5  # of the longest time, over clients that are told it
RETRY_STEPS = 1024


class Demand(typing.NamedTuple):
    """What a request that needs a place asks for.

    Attributes:
        priority: 0 is the most urgent.
        account: name of the client account; None if the sender is of a build
            that does not tell it. Such requests keep the order of arrival.
        target_at: time in seconds by which it should be answered; inf if
            unknown.
        request: digest of the request; 0 if it has none.
    """

    priority: int
    account: str | None = None
    target_at: float = math.inf
    request: int = 0


class Pace(typing.NamedTuple):
    """How fast places become free.

    Attributes:
        hold_seconds: mean time for which a place is taken.
        places: number of places that may serve the request.
    """

    hold_seconds: float
    places: int

    def measure_step(self):
        """Return the mean seconds between two places that become free."""
        return self.hold_seconds / max(1, self.places)


class Outlook(typing.NamedTuple):
    """When a request can expect a place.

    Attributes:
        seconds: time until then.
        is_late: whether it will miss its target time.
    """

    seconds: float
    is_late: bool


class Waiter:
    """A request that waits for a place.

    Attributes:
        message: the message that asks for it.
        demand: the Demand.
        upstream: upstream with a place for it; empty until then.
        is_done: whether it waits no longer.
        ended: set when it was granted a place or was released.
    """

    def __init__(self, message, demand):
        """Create a waiter without a place."""
        self.message = message
        self.demand = demand
        self.upstream = ""
        self.is_done = False
        self.ended = trio.Event()


class _Rates:
    """Grants per second, decayed, by priority."""

    def __init__(self):
        self._known = {}

    def record(self, priority, now):
        """Record a grant."""
        rate = self.measure(priority, now) + 1 / RATE_SECONDS
        self._known[min(priority, MAX_RATES - 1)] = rate, now

    def measure(self, priority, now):
        """Return the grants per second to requests of a priority."""
        key = min(priority, MAX_RATES - 1)
        rate, at = self._known.get(key, (0.0, now))
        return rate * math.exp((at - now) / RATE_SECONDS)

    def sum_before(self, priority, now):
        """Return the grants per second to more urgent requests."""
        last = min(priority, MAX_RATES - 1)
        return sum(self.measure(key, now) for key in self._known if key < last)


class Line:
    """The requests that wait for places of one service at one holder."""

    def __init__(self, now, numbers):
        """Create an empty line.

        Args:
            now: function that returns the time in seconds.
            numbers: iterator of increasing numbers, one for each request.
        """
        self._now = now
        self._numbers = numbers
        # Heaps of (priority, tag, number, Waiter).
        self._on_time = []
        self._late = []
        self._length = 0
        self._virtual = 0.0
        self._finishes = {}
        self._turns = kept_turns.Turns()
        self._rates = _Rates()
        self._on_time_rates = _Rates()
        self._passed = 0

    def __len__(self):
        return self._length

    def count_known(self):
        """Return the number of turns kept, and of accounts known."""
        return len(self._turns), len(self._finishes)

    # --- estimates -------------------------------------------------------

    def estimate(self, demand, pace):
        """Return the Outlook of a request that would wait from now on.

        Args:
            demand: its Demand.
            pace: the Pace.
        """
        step = pace.measure_step()
        if demand.account is None:
            return Outlook((self._length + 1) * step, False)
        now = self._now()
        self._expire_turns(now)
        turn = self._find_turn(demand, now)
        tag = turn.tag if turn else self._find_tag(demand)
        ahead = self._count_ahead(self._on_time, demand.priority, tag)
        ahead += self._count_ahead(self._late, demand.priority, -math.inf)
        slack = demand.target_at - now - pace.hold_seconds
        due = self._turns.count_due(
            demand.priority,
            tag,
            now - kept_turns.EARLY_SECONDS,
            now + max(0.0, slack),
        )
        ahead += self._turns.return_share * due
        room = self._measure_room(demand.priority, step, now)
        seconds = (ahead + 1) * step / room
        if self._late:
            seconds *= LATE_TURN / (LATE_TURN - 1)
        if seconds <= ON_TIME_SHARE * slack:
            return Outlook(seconds, False)
        late = self._count_ahead(self._late, demand.priority, tag) + 1
        left = self._measure_late_room(demand.priority, step, now)
        seconds = (ahead + late / left) * step / room
        return Outlook(min(MAX_RETRY_SECONDS, seconds), True)

    def _count_ahead(self, heap, priority, tag):
        """Return how many requests of a heap go before a new one."""
        return sum(
            entry[:2] <= (priority, tag) and not entry[3].is_done
            for entry in heap
        )

    def _measure_room(self, priority, step, now):
        """Return the share of the places that more urgent requests leave."""
        taken = self._rates.sum_before(priority, now) * step
        return max(MIN_ROOM, 1 - taken)

    def _measure_late_room(self, priority, step, now):
        """Return the share of its priority's places for late requests."""
        own = self._on_time_rates.measure(priority, now)
        room = self._measure_room(priority, step, now)
        return max(1 / LATE_TURN, 1 - own * step / room)

    # --- tags ------------------------------------------------------------

    def _find_tag(self, demand):
        if demand.account is None:
            return self._virtual
        finish = self._finishes.get(demand.account, self._virtual)
        return max(self._virtual, finish)

    def _claim_tag(self, demand):
        """Return the tag of a request, and count it for its account."""
        tag = self._find_tag(demand)
        if demand.account is None:
            return tag
        if len(self._finishes) >= MAX_ACCOUNTS:
            self._forget_idle()
        is_known = demand.account in self._finishes
        if is_known or len(self._finishes) < MAX_ACCOUNTS:
            self._finishes[demand.account] = tag + 1
        return tag

    def _refund(self, account):
        """Take back what a request that was not served counted."""
        if account in self._finishes:
            self._finishes[account] -= 1

    def _forget_idle(self):
        """Forget accounts whose requests have all been served."""
        if not self._length and not self._turns:
            self._finishes.clear()
        self._finishes = {
            account: finish
            for account, finish in self._finishes.items()
            if finish > self._virtual
        }

    # --- waiting ---------------------------------------------------------

    def add(self, waiter, is_late):
        """Add a Waiter.

        Args:
            waiter: the Waiter.
            is_late: whether it will miss its target time.
        """
        demand = waiter.demand
        turn = self._find_turn(demand, self._now())
        if turn:
            self._turns.use(turn)
            tag = turn.tag
        else:
            tag = self._claim_tag(demand)
        entry = demand.priority, tag, next(self._numbers), waiter
        heapq.heappush(self._late if is_late else self._on_time, entry)
        self._length += 1

    def remove(self, waiter):
        """End the wait of a Waiter; does nothing if it has ended."""
        if waiter.is_done:
            return
        waiter.is_done = True
        self._length -= 1
        self._refund(waiter.demand.account)
        if len(self._on_time) + len(self._late) > 2 * MAX_WAITING:
            self._on_time = [one for one in self._on_time if _waits(one)]
            self._late = [one for one in self._late if _waits(one)]
            heapq.heapify(self._on_time)
            heapq.heapify(self._late)

    def release(self, key):
        """End the wait for the question of a (sender, number)."""
        for entry in self._on_time + self._late:
            waiter = entry[3]
            asked = waiter.message
            if (asked.sender, asked.number) == key:
                self.remove(waiter)
                waiter.ended.set()

    def record_grant(self, demand):
        """Record a place that was granted without a wait."""
        turn = self._find_turn(demand, self._now())
        if turn:
            self._turns.use(turn)
        self._record(demand, True)

    def _record(self, demand, is_on_time):
        now = self._now()
        self._rates.record(demand.priority, now)
        if is_on_time:
            self._on_time_rates.record(demand.priority, now)

    def serve_first(self, take, hold_seconds):
        """Grant a free place to the first request that can use it.

        Args:
            take: function that takes a place for a message and returns its
                upstream, or "".
            hold_seconds: mean time for which a place is taken.

        Returns:
            Whether one was granted.
        """
        unserved = []
        failed = set()
        is_granted = False
        while (found := self._pop(hold_seconds)) is not None:
            heap, entry = found
            waiter = entry[3]
            candidates = frozenset(waiter.message.candidates)
            if candidates not in failed:
                waiter.upstream = take(waiter.message)
            if waiter.upstream:
                self._end(entry, heap is self._on_time)
                is_granted = True
                break
            failed.add(candidates)
            unserved.append(found)
        for heap, entry in unserved:
            heapq.heappush(heap, entry)
        if not self._length and not self._turns:
            self._finishes.clear()
        return is_granted

    def _end(self, entry, is_on_time):
        """Record that a request got a place."""
        _, tag, _, waiter = entry
        waiter.is_done = True
        waiter.ended.set()
        self._length -= 1
        demand = waiter.demand
        if demand.account is None:
            # So that accounts that are known get their share beside it.
            tag = self._virtual + 1 / (len(self._finishes) + 1)
        # Requests with a turn come later than their tags. If the others'
        # tags were higher by then, they would all go before them.
        tag = min(tag, self._turns.find_lowest_tag())
        self._virtual = max(self._virtual, tag)
        if not is_on_time:
            self._passed = 0
        elif self._late:
            self._passed += 1
        self._record(demand, is_on_time)

    def _pop(self, hold_seconds):
        """Return (heap, entry) of the request that goes first, or None."""
        late_at = self._now() + hold_seconds
        while self._on_time:
            waiter = self._on_time[0][3]
            if waiter.is_done:
                heapq.heappop(self._on_time)
            elif waiter.demand.target_at < late_at:
                heapq.heappush(self._late, heapq.heappop(self._on_time))
            else:
                break
        while self._late and self._late[0][3].is_done:
            heapq.heappop(self._late)
        heap = self._on_time
        if self._late:
            priority = self._late[0][0]
            first = heap[0][0] if heap else math.inf
            has_turn = self._passed >= LATE_TURN - 1
            if priority < first or (priority == first and has_turn):
                heap = self._late
        return (heap, heapq.heappop(heap)) if heap else None

    # --- refusals --------------------------------------------------------

    def refuse(self, demand, pace):
        """Return the seconds after which a refused request is to return.

        It keeps its turn for then.

        Args:
            demand: its Demand.
            pace: the Pace.
        """
        now = self._now()
        step = pace.measure_step()
        outlook = self.estimate(demand, pace)
        tag = self._find_tag(demand)
        ahead = self._turns.return_share * self._turns.count_before(
            demand.priority, tag
        )
        waiting = self._count_ahead(self._on_time, demand.priority, tag)
        room = self._measure_room(demand.priority, step, now)
        seconds = (waiting + (ahead + 1) / TURN_SHARE) * step / room
        if outlook.seconds < seconds and not outlook.is_late:
            seconds = outlook.seconds
        if seconds > MAX_RETRY_SECONDS:
            # Too far ahead to keep a turn; only the spread matters.
            fraction = demand.request % RETRY_STEPS / RETRY_STEPS
            return MAX_RETRY_SECONDS * (1 - RETRY_SPREAD * fraction)
        turn = kept_turns.Turn(
            now + seconds,
            demand.priority,
            tag,
            demand.account,
            demand.request,
        )
        if self._turns.add(turn):
            self._claim_tag(demand)
        return seconds

    def _find_turn(self, demand, now):
        """Return the earliest Turn that a request may use now, or None."""
        return self._turns.find(demand, now)

    def _expire_turns(self, now):
        """Forget the turns of clients that did not return."""
        for turn in self._turns.expire(now):
            self._refund(turn.account)

    def evict(self):
        """Forget turns that have expired, and idle accounts."""
        self._expire_turns(self._now())
        self._forget_idle()


def _waits(entry):
    return not entry[3].is_done
