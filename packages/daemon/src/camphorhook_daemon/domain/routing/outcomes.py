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
PRIOR_GOOD = 2.0  # successes assumed of every upstream


class _Tally:
    """Decaying counts of one upstream."""

    def __init__(self):
        self.good = 0.0
        self.bad = 0.0
        self.at = 0.0

    def fade(self, now):
        """Reduce the counts to their weight at `now`, in seconds."""
        factor = math.exp(-max(0.0, now - self.at) / DECAY_SECONDS)
        self.good *= factor
        self.bad *= factor
        self.at = now


class Outcomes:
    """Successes and failures by upstream, of this and other instances."""

    def __init__(self, now):
        """Create an empty record.

        Args:
            now: function that returns the time in seconds.
        """
        self._now = now
        self._tallies = collections.defaultdict(_Tally)
        self._untold = {}

    def note(self, upstream, is_good):
        """Count an outcome seen by this instance, to be published."""
        good, bad = self._untold.get(upstream, (0, 0))
        good, bad = good + is_good, bad + (not is_good)
        self._untold[upstream] = (good, bad)
        self._add(upstream, int(is_good), int(not is_good))

    def adopt(self, told):
        """Count wire.UpstreamOutcomes that another instance published."""
        for one in told:
            self._add(one.upstream, one.good, one.bad)

    def take_untold(self):
        """Return wire.UpstreamOutcomes to publish, and clear them."""
        told = [
            wire.UpstreamOutcomes(name, good, bad)
            for name, (good, bad) in self._untold.items()
        ]
        self._untold = {}
        return told

    def _add(self, upstream, good, bad):
        tally = self._tallies[upstream]
        tally.fade(self._now())
        tally.good += good
        tally.bad += bad

    def count(self, upstream):
        """Return decayed (successes, failures) of an upstream."""
        tally = self._tallies.get(upstream)
        if tally is None:
            return 0.0, 0.0
        tally.fade(self._now())
        return tally.good, tally.bad

    def find_share(self, upstream):
        """Return the failure rate of an upstream; 0 for too few failures."""
        tally = self._tallies.get(upstream)
        if tally is None or tally.bad < MIN_FAILURES:
            # Decay would only reduce it; most upstreams end here.
            return 0.0
        good, bad = self.count(upstream)
        if bad < MIN_FAILURES:
            return 0.0
        return bad / (good + bad + PRIOR_GOOD)
