"""How fast each upstream is now, by its own reports and their age.

Upstreams share their machines with others and slow down for about 600 ms at a
time, 0.15 of the time. An instance hears from each of up to 93 upstreams a few
times a second or less, so most values that it knows are old.
"""

import math
import typing

USUAL = 1.0
# A third of a slow period, so that an old value moves no more requests than
# the rest of the period is likely to justify.
DECAY_SECONDS = 0.2
# After which an upstream without a new value reports none any more; its
# software may have been replaced.
REPORTING_SECONDS = 60.0
# Of a slow period that is noticed at any time, half is left on average.
REMAINING_SLOW_MS = 300.0


class _Report(typing.NamedTuple):
    """A slowdown that an upstream reported, and the time in seconds."""

    slowdown: float
    at: float


class Speeds:
    """The slowdowns that upstreams reported to this instance.

    A slowdown is the factor of the time that work takes; 1 as usual.
    """

    def __init__(self):
        self._reports = {}

    def record(self, upstream, slowdown, now):
        """Record what an answer of an upstream says of its speed.

        Args:
            upstream: name of the upstream.
            slowdown: the factor, above 0.
            now: current time in seconds.
        """
        self._reports[upstream] = _Report(slowdown, now)

    def estimate(self, upstream, now):
        """Return the slowdown of an upstream, decayed to the usual by age."""
        report = self._reports.get(upstream)
        if report is None:
            return USUAL
        weight = math.exp(-(now - report.at) / DECAY_SECONDS)
        return USUAL + (report.slowdown - USUAL) * weight

    def are_reported(self, upstreams, now):
        """Return whether any upstream reported its speed recently.

        Args:
            upstreams: names of the upstreams of a service.
            now: current time in seconds.
        """
        oldest = now - REPORTING_SECONDS
        return any(
            name in self._reports and self._reports[name].at >= oldest
            for name in upstreams
        )

    def retain(self, upstreams):
        """Forget all other upstreams."""
        for name in self._reports.keys() - upstreams:
            del self._reports[name]


def estimate_delay(work, slowdown, work_per_ms=1.0):
    """Return the work that fits into the time which a slowdown costs.

    A slowdown lasts for REMAINING_SLOW_MS on average: longer work loses no
    more time than the part of these that the upstream is behind.

    Args:
        work: what is to be done, in any unit.
        slowdown: factor of the time that work takes.
        work_per_ms: work done in a millisecond at the usual speed.
    """
    most = REMAINING_SLOW_MS * work_per_ms * (1 - 1 / slowdown)
    return min(work * (slowdown - 1), most)
