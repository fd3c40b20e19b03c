"""How loaded each upstream is, from lagged reports and own requests."""

import collections
import math
import typing

import trio

REPORT_LAG_SECONDS = 0.5
FIRST_DURATION_SECONDS = 5.0
WEIGHT_OF_NEW = 0.05


class _Reading(typing.NamedTuple):
    """A report, and how many own requests ran when it arrived."""

    incarnation: int
    sequence: int
    others: int
    at: float


class LoadBook:
    """Estimates requests in flight on each upstream.

    Own requests are known exactly. What others run there is known from the
    last report, which tells less the older it is: after a few times the
    usual duration of a request all that ran then has ended, and the mean of
    all upstreams is the better guess. So the report's difference from the
    mean decays with its age over that duration.
    """

    def __init__(self):
        self._own = collections.Counter()
        self._keys = collections.Counter()
        self._readings = {}
        self._duration = FIRST_DURATION_SECONDS

    def start(self, name, key):
        """Count a request of this instance for a key on an upstream."""
        self._own[name] += 1
        self._keys[name, key] += 1

    def finish(self, name, key, seconds):
        """Count the end of a request.

        Args:
            name: the upstream.
            key: the key it was for.
            seconds: how long it ran; None if it never started.
        """
        _decrement(self._own, name)
        _decrement(self._keys, (name, key))
        if seconds is not None:
            self._duration += WEIGHT_OF_NEW * (seconds - self._duration)

    def total_own(self):
        """Return this instance's requests in flight on all upstreams."""
        return sum(self._own.values())

    def count_key(self, name, key):
        """Return this instance's requests for a key on an upstream."""
        return self._keys[name, key]

    def _read(self, record):
        """Return the _Reading of an upstream's last report."""
        reading = self._readings.get(record.name)
        version = (record.incarnation, record.sequence)
        if reading is None or reading[:2] != version:
            others = max(0, record.active - self._own[record.name])
            reading = _Reading(*version, others, trio.current_time())
            self._readings[record.name] = reading
        return reading

    def estimate_all(self, records):
        """Return the estimated requests in flight by upstream.

        Args:
            records: wire.Upstream of all among which load is shared.
        """
        readings = {record.name: self._read(record) for record in records}
        total = sum(reading.others for reading in readings.values())
        mean = total / max(1, len(readings))
        now = trio.current_time()
        loads = {}
        for name, reading in readings.items():
            age = now - reading.at + REPORT_LAG_SECONDS
            trust = math.exp(-age / max(self._duration, 1e-3))
            others = mean + (reading.others - mean) * trust
            loads[name] = self._own[name] + others
        return loads


def _decrement(counter, key):
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
