"""Shares of fleet-wide budgets that one instance may spend alone.

Each instance knows roughly how many there are and keeps to its share, so
that the sum stays within the budget without a message a request. These
budgets answer load that the fleet itself would add: retries while upstreams
fail, and requests to upstreams that have just started.
"""

import collections

from camphorhook_daemon.domain import hashing

SHARE_USED = 0.8  # of a budget, as instances may differ on their number


class RetryBudget:
    """Bounds arrivals at a service beyond the first of each request."""

    def __init__(self, ratio, slack, window):
        """Create a budget.

        Args:
            ratio: retries allowed for each request of the window.
            slack: retries allowed in a window besides, by the whole fleet.
            window: seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests = collections.deque()
        self._retries = collections.deque()

    def note_request(self, now):
        """Count a client's request."""
        self._requests.append(now)
        self._forget(now)

    def spend(self, now, instances):
        """Take one retry; return False when the share is used up."""
        self._forget(now)
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / instances
        if len(self._retries) + 1 > SHARE_USED * allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now):
        for moments in (self._requests, self._retries):
            while moments and moments[0] <= now - self._window:
                moments.popleft()


class ColdAllowance:
    """Bounds requests a second to cold upstreams.

    Each instance begins at a moment of its own in the interval, so that not
    all of them send their first request at once.
    """

    def __init__(self, name):
        """Create an allowance.

        Args:
            name: the instance; decides where in the interval it begins.
        """
        self._name = name
        self._next_at = {}

    def is_open(self, upstream, rate, instances, now):
        """Tell whether the next request may be taken now.

        Args:
            upstream: name of the upstream.
            rate: requests a second that it bears from the whole fleet.
            instances: how many share the rate.
            now: seconds.
        """
        if upstream not in self._next_at:
            phase = hashing.hash_to_fraction(upstream, self._name)
            interval = _find_interval(rate, instances)
            self._next_at[upstream] = now + phase * interval
        return self._next_at[upstream] <= now

    def spend(self, upstream, rate, instances, now):
        """Take one request; return False when none may be taken now."""
        if not self.is_open(upstream, rate, instances, now):
            return False
        self._next_at[upstream] = now + _find_interval(rate, instances)
        return True


def _find_interval(rate, instances):
    """Return seconds between two requests of one instance."""
    return instances / (SHARE_USED * rate)
