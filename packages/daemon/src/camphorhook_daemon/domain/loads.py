"""How loaded each upstream is, from lagged reports and own requests."""

import collections
import typing


class _Reading(typing.NamedTuple):
    """A report, and how many own requests ran when it arrived."""

    incarnation: int
    sequence: int
    active: int
    own: int


class LoadBook:
    """Estimates requests in flight on each upstream.

    An upstream's report lags, so what this instance has started less what
    it has finished since the report arrived is added.
    """

    def __init__(self):
        self._own = collections.Counter()
        self._readings = {}

    def start(self, name):
        """Count a request of this instance on an upstream."""
        self._own[name] += 1

    def finish(self, name):
        """Count the end of a request of this instance."""
        self._own[name] -= 1
        if not self._own[name]:
            del self._own[name]

    def count_own(self, name):
        """Return this instance's requests in flight on an upstream."""
        return self._own[name]

    def total_own(self):
        """Return this instance's requests in flight on all upstreams."""
        return sum(self._own.values())

    def estimate(self, record):
        """Return the estimated requests in flight on an upstream.

        Args:
            record: its wire.Upstream.
        """
        own = self._own[record.name]
        reading = self._readings.get(record.name)
        version = (record.incarnation, record.sequence)
        if reading is None or reading[:2] != version:
            reading = _Reading(*version, record.active, own)
            self._readings[record.name] = reading
        return max(own, reading.active + own - reading.own, 0)
