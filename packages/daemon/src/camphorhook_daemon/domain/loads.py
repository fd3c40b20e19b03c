"""Estimates the load of upstreams from delayed reports and own requests."""

import collections
import math
import typing

import trio

REPORT_LAG_SECONDS = 0.5
INITIAL_DURATION_SECONDS = 5.0
SMOOTHING_FACTOR = 0.05


class _LoadReport(typing.NamedTuple):
    """A load report as it was when it arrived.

    Attributes:
        incarnation: of the upstream that reported.
        sequence: number of the report within the incarnation.
        other_requests: reported requests in flight, less the own ones.
        received_at: time of arrival on trio's clock, in seconds.
    """

    incarnation: int
    sequence: int
    other_requests: int
    received_at: float


class LoadEstimator:
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
        self._own_by_key = collections.Counter()
        self._reports = {}
        self._mean_duration = INITIAL_DURATION_SECONDS

    def start(self, name, key):
        """Count a request that this instance starts.

        Args:
            name: name of the upstream.
            key: key that the request was placed by.
        """
        self._own[name] += 1
        self._own_by_key[name, key] += 1

    def finish(self, name, key, seconds):
        """Count the end of a request.

        Args:
            name: name of the upstream.
            key: key that the request was placed by.
            seconds: how long it ran; None if it never started.
        """
        _decrement(self._own, name)
        _decrement(self._own_by_key, (name, key))
        if seconds is not None:
            self._mean_duration += SMOOTHING_FACTOR * (
                seconds - self._mean_duration
            )

    def count_in_flight(self):
        """Return the number of own requests in flight on all upstreams."""
        return sum(self._own.values())

    def count_for_key(self, name, key):
        """Return the number of own requests for a key on an upstream."""
        return self._own_by_key[name, key]

    def _update_report(self, record):
        """Return the _LoadReport of an upstream's last report, updating it."""
        report = self._reports.get(record.name)
        version = (record.incarnation, record.sequence)
        if report is None or report[:2] != version:
            other_requests = max(0, record.active - self._own[record.name])
            report = _LoadReport(*version, other_requests, trio.current_time())
            self._reports[record.name] = report
        return report

    def estimate_all(self, records):
        """Return the estimated requests in flight by upstream name.

        Args:
            records: wire.Upstream of all upstreams that share the load.
        """
        reports = {
            record.name: self._update_report(record) for record in records
        }
        total = sum(report.other_requests for report in reports.values())
        mean = total / max(1, len(reports))
        now = trio.current_time()
        loads = {}
        for name, report in reports.items():
            age = now - report.received_at + REPORT_LAG_SECONDS
            weight = math.exp(-age / max(self._mean_duration, 1e-3))
            other_requests = mean + (report.other_requests - mean) * weight
            loads[name] = self._own[name] + other_requests
        return loads


def _decrement(counter, key):
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
