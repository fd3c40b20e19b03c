"""Per-instance shares of the fleet's retry budgets.

Each instance knows approximately how many instances there are and limits
itself to its share, so that the total stays within the budget without any
coordination per request.
"""

import collections

USABLE_SHARE = 0.8  # instances may disagree on how many share a limit


class RetryBudget:
    """Limits the retries that are sent to a service."""

    def __init__(self, ratio, slack, window):
        """Create a budget.

        Args:
            ratio: retries allowed per request within the window.
            slack: additional retries that the whole fleet may send within
                a window.
            window: length of the sliding window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests = collections.deque()
        self._retries = collections.deque()

    def record_request(self, now):
        """Count a client request at `now`, in seconds."""
        self._requests.append(now)
        self._evict_expired(now)

    def spend(self, now, instances):
        """Consume one retry; return False when the share is exhausted."""
        self._evict_expired(now)
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / instances
        if len(self._retries) + 1 > USABLE_SHARE * allowed:
            return False
        self._retries.append(now)
        return True

    def _evict_expired(self, now):
        for timestamps in (self._requests, self._retries):
            while timestamps and timestamps[0] <= now - self._window:
                timestamps.popleft()
