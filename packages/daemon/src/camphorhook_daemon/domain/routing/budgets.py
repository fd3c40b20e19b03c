"""Per-instance shares of fleet-wide rate limits.

Each instance knows approximately how many instances there are and limits
itself to its share, so that the total stays within the limit without any
coordination per request. The limits apply to load that the fleet itself would
amplify: retries while upstreams fail, and requests to upstreams that have
just started.
"""

import collections

from camphorhook_daemon.domain import hashing

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


class ColdStartLimiter:
    """Limits the request rate to upstreams that have just started.

    Each instance starts at a different offset within the interval, so that
    the instances do not all send their first request at the same time.
    """

    def __init__(self, name):
        """Create a limiter without any upstream.

        Args:
            name: name of this instance, which determines its offset.
        """
        self._name = name
        self._next_at = {}

    def is_allowed(self, upstream, rate, instances, now):
        """Return whether a request may be sent to an upstream now.

        Args:
            upstream: name of the upstream.
            rate: requests per second that the upstream can take from the
                whole fleet while it is cold.
            instances: number of instances that share the rate.
            now: current time in seconds.
        """
        if upstream not in self._next_at:
            phase = hashing.hash_to_fraction(upstream, self._name)
            interval = _find_interval(rate, instances)
            self._next_at[upstream] = now + phase * interval
        return self._next_at[upstream] <= now

    def spend(self, upstream, rate, instances, now):
        """Consume one request; return False when none is allowed now."""
        if not self.is_allowed(upstream, rate, instances, now):
            return False
        self._next_at[upstream] = now + _find_interval(rate, instances)
        return True


def _find_interval(rate, instances):
    """Return the seconds between two requests of one instance."""
    return instances / (USABLE_SHARE * rate)
