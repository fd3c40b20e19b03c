"""Metrics through OpenTelemetry, exported in the Prometheus text format."""

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as api_metrics
from opentelemetry.sdk import metrics
from opentelemetry.sdk import resources
import prometheus_client

_LATENCY_BOUNDS = (0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 3.0, 10.0)


class Meter:
    """The metrics of one instance.

    Attributes:
        control_bytes: bytes of control messages on the wire, by (kind,
            direction).
    """

    def __init__(self, settings):
        """Create the instruments, labelled with the instance's Settings."""
        resource = resources.Resource.create(
            {
                "service.name": "camphorhook",
                "service.instance.id": settings.name,
                "failure_domain": settings.failure_domain,
            }
        )
        provider = metrics.MeterProvider(
            resource=resource,
            metric_readers=[prometheus.PrometheusMetricReader()],
        )
        meter = provider.get_meter("camphorhook")
        self.control_bytes = {}
        self._control = meter.create_counter("control.bytes", unit="By")
        self._refusals = meter.create_counter("requests.refused")
        self._requests = meter.create_counter("requests.finished")
        self._attempts = meter.create_counter("attempts")
        self._first_token = meter.create_histogram(
            "first_token.seconds",
            unit="s",
            explicit_bucket_boundaries_advisory=_LATENCY_BOUNDS,
        )
        self._meter = meter

    def count_control(self, kind, direction, size):
        """Count the bytes of a control message.

        Control messages are those between instances, and announcements of
        upstreams.

        Args:
            kind: a key of wire.KINDS, or announcement.
            direction: sent or received.
            size: bytes on the wire.
        """
        key = (kind, direction)
        self.control_bytes[key] = self.control_bytes.get(key, 0) + size
        self._control.add(size, {"kind": kind, "direction": direction})

    def count_refusal(self, code):
        """Count a request that was refused or failed, by its error code."""
        self._refusals.add(1, {"code": code})

    def count_request(self, service):
        """Count an answered request to a service."""
        self._requests.add(1, {"service": service})

    def count_attempt(self, outcome):
        """Count an attempt to send a request to an upstream."""
        self._attempts.add(1, {"outcome": outcome})

    def record_first_token(self, seconds):
        """Record the seconds from a request's start to its first event."""
        self._first_token.record(seconds)

    def register_gauge(self, name, read):
        """Register a gauge.

        Args:
            name: name of the gauge.
            read: function without arguments that returns the value; called
                whenever metrics are read.
        """

        def observe(_options):
            return [api_metrics.Observation(read())]

        self._meter.create_observable_gauge(name, callbacks=[observe])

    def render(self):
        """Return all metrics, in bytes of the text exposition format."""
        return prometheus_client.generate_latest()
