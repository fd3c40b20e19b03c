"""Recent failure rate of each upstream, over all instances.

One instance sees too few outcomes to distinguish a failing upstream from
chance, and none at all once it avoids an upstream. Therefore instances publish
their outcomes to each other. The counts decay exponentially.
"""

import collections
import math

from camphorhook_common import wire

DECAY_SECONDS = 4.0  # the weight of an outcome falls to 1/e within it
MIN_FAILURES = 3.0  # decayed failures below which the rate counts as 0
PRIOR_SUCCESSES = 2.0  # successes assumed of every upstream


class _DecayingCounts:
    """Decaying counts of one upstream."""

    def __init__(self):
        self.successes = 0.0
        self.failures = 0.0
        self.at = 0.0

    def decay(self, now):
        """Reduce the counts to their weight at `now`, in seconds."""
        factor = math.exp(-max(0.0, now - self.at) / DECAY_SECONDS)
        self.successes *= factor
        self.failures *= factor
        self.at = now


class Outcomes:
    """Successes and failures by upstream, of this and other instances."""

    def __init__(self, now):
        """Create an empty record.

        Args:
            now: function that returns the time in seconds.
        """
        self._now = now
        self._counts = collections.defaultdict(_DecayingCounts)
        self._unpublished = {}

    def record(self, upstream, is_success):
        """Count an outcome seen by this instance, to be published."""
        successes, failures = self._unpublished.get(upstream, (0, 0))
        successes, failures = successes + is_success, failures + (
            not is_success
        )
        self._unpublished[upstream] = (successes, failures)
        self._add(upstream, int(is_success), int(not is_success))

    def merge(self, outcomes):
        """Count wire.UpstreamOutcomes that another instance published."""
        for one in outcomes:
            self._add(one.upstream, one.successes, one.failures)

    def drain_unpublished(self):
        """Return wire.UpstreamOutcomes to publish, and clear them."""
        outcomes = [
            wire.UpstreamOutcomes(name, successes, failures)
            for name, (successes, failures) in self._unpublished.items()
        ]
        self._unpublished = {}
        return outcomes

    def _add(self, upstream, successes, failures):
        counts = self._counts[upstream]
        counts.decay(self._now())
        counts.successes += successes
        counts.failures += failures

    def count(self, upstream):
        """Return decayed (successes, failures) of an upstream."""
        counts = self._counts.get(upstream)
        if counts is None:
            return 0.0, 0.0
        counts.decay(self._now())
        return counts.successes, counts.failures

    def estimate_failure_rate(self, upstream):
        """Return the failure rate of an upstream; 0 for too few failures."""
        counts = self._counts.get(upstream)
        if counts is None or counts.failures < MIN_FAILURES:
            # Decay would only reduce it; most upstreams end here.
            return 0.0
        successes, failures = self.count(upstream)
        if failures < MIN_FAILURES:
            return 0.0
        return failures / (successes + failures + PRIOR_SUCCESSES)
