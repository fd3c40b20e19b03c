"""Serves an instance's metrics in the Prometheus text format."""

PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricsApp:
    """Answers requests for metrics."""

    def __init__(self, metrics):
        """Create an application that serves a metrics.Metrics."""
        self._metrics = metrics

    async def handle(self, exchange):
        """Answer one request."""
        if exchange.target.partition("?")[0] != PATH:
            await exchange.send_answer(404, [], b"metrics are at /metrics\n")
            return
        body = self._metrics.render().encode()
        headers = [("content-type", CONTENT_TYPE)]
        await exchange.send_answer(200, headers, body)
