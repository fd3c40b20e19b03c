"""The HTTP application that forwards requests, of clients or of instances."""

import trio

from camphorhook_common import logs
from camphorhook_daemon.domain.routing import answer_relay
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import intake

STOPPING_REASON = "the instance stops"
STOPPING_RETRY_SECONDS = 0.1  # another instance may take it at once
ERROR_REASON = "unexpected error of the instance"


class RequestApp:
    """Authorizes requests and forwards them to upstreams."""

    def __init__(self, protocol, forwarder, rules, counts, shutdown):
        """Create the application.

        Args:
            protocol: reads and writes headers: `read_arrival`,
                `make_progress`, `make_reply`, `list_refusal_headers`.
            forwarder: the forwarding.Forwarder.
            rules: the rules.Rules in force.
            counts: the metrics.Metrics of the instance.
            shutdown: the shutdowns.Shutdown of the instance.
        """
        self._shutdown = shutdown
        self._protocol = protocol
        self._counts = counts
        self._forwarder = forwarder
        self._rules = rules

    async def handle(self, exchange):
        """Answer one request.

        Args:
            exchange: the exchanges.Exchange.
        """
        try:
            arrival = self._protocol.read_arrival(exchange)
            progress = self._protocol.make_progress(exchange)
        except intake.Unreadable as error:
            failure = attempts.Failure(503, f"not sent: {error}")
            await self._refuse(exchange, "", failure)
            return
        try:
            await self._serve(exchange, arrival, progress)
        except Exception as error:
            if exchange.has_started:
                raise
            logs.log(
                "error",
                f"unexpected error before the answer: {error!r}",
                with_trace=True,
                request=arrival.request,
                step="serve",
            )
            failure = attempts.Failure(_find_status(progress), ERROR_REASON)
            await self._refuse(exchange, arrival.request, failure)

    async def _serve(self, exchange, arrival, progress):
        """Answer an intake.Arrival."""
        request = intake.authorize(arrival, self._rules)
        if isinstance(request, attempts.Failure):
            await self._refuse(exchange, arrival.request, request)
            return
        if not self._shutdown.can_finish(request.route.name, request.deadline):
            failure = attempts.Failure(
                503, STOPPING_REASON, STOPPING_RETRY_SECONDS
            )
            await self._refuse(exchange, arrival.request, failure)
            return
        with self._shutdown.track() as scope:
            await self._forward(exchange, arrival, request, progress)
        if scope.cancelled_caught and not exchange.has_started:
            # The connection of an answer that has begun is closed within it.
            failure = attempts.Failure(_find_status(progress), STOPPING_REASON)
            await self._refuse(exchange, arrival.request, failure)

    async def _forward(self, exchange, arrival, request, progress):
        reply = self._protocol.make_reply(exchange, progress)
        try:
            failure = await self._forwarder.forward(request, reply, progress)
        except answer_relay.StreamBroken as error:
            # The connection is closed in the middle of the answer, so that
            # the client can't take it for a complete one.
            logs.log(
                "warning",
                f"stream broken off: {error}",
                request=request.request,
                step="relay stream",
            )
            return
        if failure is not None:
            await self._refuse(exchange, arrival.request, failure)
            return
        self._shutdown.record_duration(
            request.route.name, trio.current_time() - arrival.received_at
        )

    async def _refuse(self, exchange, request, failure):
        self._counts.add("requests_refused_total", status=failure.status)
        logs.log(
            "info",
            f"answered {failure.status}: {failure.reason}",
            request=request,
            step="refuse",
            inputs={
                "version": self._rules.get_version(),
                "age_ms": self._rules.measure_age_ms(),
            },
        )
        headers = [
            ("content-type", "text/plain"),
            *self._protocol.list_refusal_headers(request, failure),
        ]
        if failure.retry_after:
            headers.append(("retry-after", f"{failure.retry_after:.2f}"))
        await exchange.send_answer(
            failure.status, headers, failure.reason.encode() + b"\n"
        )


def _find_status(progress):
    """Return the status of a request that was given up on.

    503 promises that no upstream has run the request or will; 502 does not.
    """
    return 502 if progress.sends or progress.runs else 503
