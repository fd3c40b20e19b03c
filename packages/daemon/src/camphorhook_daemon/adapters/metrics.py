"""Counters, gauges and latency histograms in the Prometheus text format.

OpenTelemetry's SDK and exporter, which write the same format, would raise
an instance's memory use by half.
"""

import collections

BUCKET_BOUNDS_SECONDS = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
    15.0,
)
MAX_SERIES = 500  # per counter; further label sets are counted as "other"
PREFIX = "camphorhook_"


class Metrics:
    """The metrics of one process."""

    def __init__(self):
        self._counters = collections.defaultdict(collections.Counter)
        self._histograms = {}
        self._gauges = {}
        self._gauge_sets = []

    def add(self, name, amount=1, **labels):
        """Add an amount to a counter.

        Args:
            name: name of the counter, without PREFIX.
            amount: what to add.
            **labels: labels of the series.
        """
        series = self._counters[name]
        key = tuple(sorted(labels.items()))
        if key not in series and len(series) >= MAX_SERIES:
            key = (("other", "yes"),)
        series[key] += amount

    def observe(self, name, seconds, **labels):
        """Record a duration in a histogram.

        Args:
            name: name of the histogram, without PREFIX.
            seconds: the duration.
            **labels: labels of the series.
        """
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            buckets = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
            histogram = self._histograms[key] = [buckets, 0.0]
        bucket = sum(seconds > bound for bound in BUCKET_BOUNDS_SECONDS)
        histogram[0][bucket] += 1
        histogram[1] += seconds

    def register_gauge(self, name, read):
        """Register a gauge.

        Args:
            name: name of the gauge, without PREFIX.
            read: function without arguments that returns the value; called
                whenever metrics are rendered, and cut to a whole number.
        """
        self._gauges[name] = read

    def register_gauges(self, prefix, label, read):
        """Register gauges with one label each.

        Args:
            prefix: start of the gauges' names, without PREFIX.
            label: name of the label.
            read: function without arguments that returns, by the rest of a
                gauge's name, {value of the label: number}.
        """
        self._gauge_sets.append((prefix, label, read))

    def count_control(self, kind, direction, size):
        """Count the bytes of a message between instances.

        Args:
            kind: a key of wire.KINDS.
            direction: sent or received.
            size: bytes on the wire.
        """
        self.add("control_bytes_total", size, kind=kind, direction=direction)

    def render(self):
        """Return all metrics as text in the exposition format."""
        lines = []
        for name, series in sorted(self._counters.items()):
            lines.append(f"# TYPE {PREFIX}{name} counter")
            for key, value in sorted(series.items()):
                lines.append(f"{PREFIX}{name}{_format_labels(key)} {value}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE {PREFIX}{name} gauge")
            lines.append(f"{PREFIX}{name} {int(read())}")
        for prefix, label, read in self._gauge_sets:
            for rest, numbers in sorted(read().items()):
                name = f"{PREFIX}{prefix}_{rest}"
                lines.append(f"# TYPE {name} gauge")
                for value, number in sorted(numbers.items()):
                    key = _format_labels(((label, value),))
                    lines.append(f"{name}{key} {number:g}")
        for (name, key), (buckets, total) in sorted(self._histograms.items()):
            lines += _render_histogram(name, key, buckets, total)
        return "\n".join(lines) + "\n"


def _render_histogram(name, key, buckets, total):
    lines = [f"# TYPE {PREFIX}{name} histogram"]
    count = 0
    for bound, number in zip((*BUCKET_BOUNDS_SECONDS, "+Inf"), buckets):
        count += number
        labels = _format_labels((*key, ("le", bound)))
        lines.append(f"{PREFIX}{name}_bucket{labels} {count}")
    labels = _format_labels(key)
    lines.append(f"{PREFIX}{name}_sum{labels} {total:.6f}")
    lines.append(f"{PREFIX}{name}_count{labels} {count}")
    return lines


# Characters of a label's value that the format has escaped.
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


def _format_labels(key):
    if not key:
        return ""
    labels = (
        f'{name}="{str(value).translate(_ESCAPES)}"' for name, value in key
    )
    return "{" + ",".join(labels) + "}"
