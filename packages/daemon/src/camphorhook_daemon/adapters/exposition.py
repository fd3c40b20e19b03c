"""Serves an instance's metrics, and where a request would go now.

Metrics are in the Prometheus text format, the other answers in JSON.
"""

import msgspec

METRICS_PATH = "/metrics"
PLACEMENT_PATH = "/placement"
CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricsApp:
    """Answers operators' requests that change nothing."""

    def __init__(self, metrics, preview=None):
        """Create an application.

        Args:
            metrics: the metrics.Metrics to serve.
            preview: function of (host, path, parts, request id) that returns
                a placement_preview.preview; None if there is none.
        """
        self._metrics = metrics
        self._preview = preview

    async def handle(self, exchange):
        """Answer one request."""
        path, _, query = exchange.target.partition("?")
        if path == METRICS_PATH:
            body = self._metrics.render().encode()
            headers = [("content-type", CONTENT_TYPE)]
            await exchange.send_answer(200, headers, body)
        elif path == PLACEMENT_PATH and self._preview is not None:
            # Most instances are never asked, and the module takes 0.6 MB.
            import urllib.parse

            fields = dict(urllib.parse.parse_qsl(query))
            shown = self._preview(
                fields.get("host", ""),
                fields.get("path", "/"),
                fields.get("parts", ""),
                fields.get("request", ""),
            )
            headers = [("content-type", "application/json")]
            await exchange.send_answer(
                200, headers, msgspec.json.encode(shown)
            )
        else:
            await exchange.send_answer(404, [], b"metrics are at /metrics\n")
