"""How many requests each upstream failed of late, over all instances.

One instance sees too few outcomes to tell a failing upstream from chance,
and once it leaves an upstream alone it sees none at all. So instances tell
each other their outcomes, and all of them fade.
"""

import collections
import math

from camphorhook_common import wire

FADE_SECONDS = 4.0  # an outcome's weight falls to 1/e within it
LEAST_FAILURES = 3.0  # faded failures below which nothing is concluded
PRIOR_GOOD = 2.0  # good outcomes assumed of an upstream without any


class _Tally:
    """Faded counts of one upstream."""

    def __init__(self):
        self.good = 0.0
        self.bad = 0.0
        self.at = 0.0

    def fade(self, now):
        """Reduce the counts to their weight at this time."""
        factor = math.exp(-max(0.0, now - self.at) / FADE_SECONDS)
        self.good *= factor
        self.bad *= factor
        self.at = now


class Outcomes:
    """Good and bad outcomes by upstream, own and told ones."""

    def __init__(self, now):
        """Create an empty record.

        Args:
            now: returns seconds.
        """
        self._now = now
        self._tallies = collections.defaultdict(_Tally)
        self._untold = {}

    def note(self, upstream, is_good):
        """Count an own outcome, to be told to others."""
        good, bad = self._untold.get(upstream, (0, 0))
        good, bad = good + is_good, bad + (not is_good)
        self._untold[upstream] = (good, bad)
        self._add(upstream, int(is_good), int(not is_good))

    def adopt(self, told):
        """Count the wire.UpstreamOutcomes that another instance told."""
        for one in told:
            self._add(one.upstream, one.good, one.bad)

    def take_untold(self):
        """Return own outcomes as wire.UpstreamOutcomes, once."""
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
        """Return (good, bad) outcomes of an upstream, faded."""
        tally = self._tallies.get(upstream)
        if tally is None:
            return 0.0, 0.0
        tally.fade(self._now())
        return tally.good, tally.bad

    def find_share(self, upstream):
        """Return the share of failures; 0 where they are too few."""
        tally = self._tallies.get(upstream)
        if tally is None or tally.bad < LEAST_FAILURES:
            # Fading would only make it less; most upstreams end here.
            return 0.0
        good, bad = self.count(upstream)
        if bad < LEAST_FAILURES:
            return 0.0
        return bad / (good + bad + PRIOR_GOOD)
