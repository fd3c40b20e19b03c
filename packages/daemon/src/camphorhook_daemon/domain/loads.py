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
        self._keys = collections.Counter()
        self._readings = {}

    def start(self, name, key):
        """Count a request of this instance for a key on an upstream."""
        self._own[name] += 1
        self._keys[name, key] += 1

    def finish(self, name, key):
        """Count the end of a request of this instance."""
        _decrement(self._own, name)
        _decrement(self._keys, (name, key))

    def total_own(self):
        """Return this instance's requests in flight on all upstreams."""
        return sum(self._own.values())

    def count_key(self, name, key):
        """Return this instance's requests for a key on an upstream."""
        return self._keys[name, key]

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


def _decrement(counter, key):
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
