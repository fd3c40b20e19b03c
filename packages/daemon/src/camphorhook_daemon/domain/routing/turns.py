"""Turns that a holder keeps for refused requests until they return.

The load that it is made for: one account that sends ten times its usual rate
for seconds, whose refusals must not put off those of other accounts.
"""

import bisect
import collections
import math
import typing

# For one service; 2 s of refusals at 1.3 times 400 requests a second are 240,
# an account at ten times its rate has some 1,500 in 5 s.
MAX_TURNS = 3000
EARLY_SECONDS = 0.05  # by which a client may return before its time
# After it, a client that returns has probably changed its request.
OTHER_SECONDS = 0.1
# Later, a client has probably given up; its turn holds up others.
KEPT_SECONDS = 2.0
RETURN_WEIGHT = 0.05  # of the last turn in the share of clients that return
_LAST_ACCOUNT = "\U0010ffff"  # sorts after all names


class Turn(typing.NamedTuple):
    """The place in the order that a refused request keeps.

    Attributes:
        due_at: time in seconds when its client was told to return.
        priority: 0 is the most urgent.
        tag: its tag; see waiting.py.
        account: name of the client account.
        request: digest of the request; 0 if it has none.
    """

    due_at: float
    priority: int
    tag: float
    account: str
    request: int


class Turns:
    """The turns kept for one service.

    Attributes:
        return_share: share of the clients that return in time, as of late.
    """

    def __init__(self):
        """Create an empty record."""
        self._by_due = []
        self._by_order = []
        self._by_account = collections.defaultdict(list)
        self.return_share = 1.0

    def __len__(self):
        return len(self._by_due)

    def add(self, turn):
        """Keep a Turn, if there is room for it.

        Returns:
            Whether it is kept.
        """
        if len(self._by_due) >= MAX_TURNS:
            return False
        bisect.insort(self._by_due, turn)
        bisect.insort(self._by_order, turn[1:])
        bisect.insort(self._by_account[turn.account], turn)
        return True

    def find(self, demand, now):
        """Return the Turn that a request may use now, or None.

        It is its own, or one of its account that was not used in time.

        Args:
            demand: the request's waiting.Demand.
            now: current time in seconds.
        """
        other = None
        for turn in self._by_account.get(demand.account, ()):
            if turn.due_at - EARLY_SECONDS > now:
                break
            if turn.priority != demand.priority:
                continue
            if turn.request == demand.request:
                return turn
            if other is None and turn.due_at + OTHER_SECONDS < now:
                other = turn
        return other

    def use(self, turn):
        """Drop a Turn whose client has returned."""
        self._drop(turn)
        self.return_share += RETURN_WEIGHT * (1 - self.return_share)

    def expire(self, now):
        """Drop and return the Turns whose clients did not return."""
        expired = []
        while self._by_due and self._by_due[0].due_at + KEPT_SECONDS < now:
            turn = self._by_due[0]
            self._drop(turn)
            self.return_share -= RETURN_WEIGHT * self.return_share
            expired.append(turn)
        return expired

    def _drop(self, turn):
        _remove(self._by_due, turn)
        _remove(self._by_order, turn[1:])
        own = self._by_account[turn.account]
        _remove(own, turn)
        if not own:
            del self._by_account[turn.account]

    def count_before(self, priority, tag):
        """Return how many turns come before a request, at any time."""
        # Of equal tags, those that are kept already come before.
        last = (priority, tag, _LAST_ACCOUNT)
        return bisect.bisect_right(self._by_order, last)

    def find_lowest_tag(self):
        """Return the lowest tag of all turns; inf if there is none."""
        lowest = math.inf
        position = 0
        while position < len(self._by_order):
            priority, tag = self._by_order[position][:2]
            lowest = min(lowest, tag)
            position = bisect.bisect_left(self._by_order, (priority + 1,))
        return lowest

    def count_due(self, priority, tag, start, end):
        """Return how many turns due in a time come before a request."""
        first = bisect.bisect_left(self._by_due, (start,))
        last = bisect.bisect_right(self._by_due, (end,))
        return sum(
            turn[1:3] <= (priority, tag) for turn in self._by_due[first:last]
        )


def _remove(ordered, one):
    del ordered[bisect.bisect_left(ordered, one)]
