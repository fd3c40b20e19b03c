"""Estimates the load of upstreams from delayed reports and own requests."""

import collections
import math
import typing

import trio

REPORT_LAG_SECONDS = 0.5
FIRST_DURATION_SECONDS = 5.0
WEIGHT_OF_NEW = 0.05


class _Reading(typing.NamedTuple):
    """A load report as it was when it arrived.

    Attributes:
        incarnation: of the upstream that reported.
        sequence: number of the report within the incarnation.
        others: reported requests in flight, without this instance's own.
        at: time of arrival on trio's clock, in seconds.
    """

    incarnation: int
    sequence: int
    others: int
    at: float


class LoadBook:
    """Estimates the number of requests in flight on each upstream.

    The instance's own requests are known exactly. Those of other instances
    are known from the last report, which is less accurate the older it is:
    after a few mean request durations, all requests that it counted have
    ended, and the mean over all upstreams is the better estimate. The
    report's difference from that mean therefore decays exponentially with
    its age, with the mean request duration as time constant.
    """

    def __init__(self):
        self._own = collections.Counter()
        self._keys = collections.Counter()
        self._readings = {}
        self._duration = FIRST_DURATION_SECONDS

    def start(self, name, key):
        """Count a request that this instance starts.

        Args:
            name: name of the upstream.
            key: key that the request was placed by.
        """
        self._own[name] += 1
        self._keys[name, key] += 1

    def finish(self, name, key, seconds):
        """Count the end of a request.

        Args:
            name: name of the upstream.
            key: key that the request was placed by.
            seconds: how long it ran; None if it never started.
        """
        _decrement(self._own, name)
        _decrement(self._keys, (name, key))
        if seconds is not None:
            self._duration += WEIGHT_OF_NEW * (seconds - self._duration)

    def total_own(self):
        """Return the number of own requests in flight on all upstreams."""
        return sum(self._own.values())

    def count_key(self, name, key):
        """Return the number of own requests for a key on an upstream."""
        return self._keys[name, key]

    def _read(self, record):
        """Return the _Reading of an upstream's last report, updating it."""
        reading = self._readings.get(record.name)
        version = (record.incarnation, record.sequence)
        if reading is None or reading[:2] != version:
            others = max(0, record.active - self._own[record.name])
            reading = _Reading(*version, others, trio.current_time())
            self._readings[record.name] = reading
        return reading

    def estimate_all(self, records):
        """Return the estimated requests in flight by upstream name.

        Args:
            records: wire.Upstream of all upstreams that share the load.
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
