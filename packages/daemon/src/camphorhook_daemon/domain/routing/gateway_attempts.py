"""Sends requests by way of other instances, and relays their answers."""

from camphorhook_daemon.domain.routing import answer_relay
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import bodies
from camphorhook_daemon.ports import upstreams as ports

MAX_REASON_BYTES = 1024
CUT_OFF_REASON = "this instance reaches no upstream"
CUT_OFF_RETRY_SECONDS = 1.0  # until another instance may reach them
UNCLEAR_REASON = "it is not clear whether an instance or an upstream answered"
OUTAGE_REASON = "no instance reaches an upstream"
# Attempts without a connection until a gateway gives a request back.
MAX_UNREACHED = 2


class GatewayAttempts:
    """Sends requests to gateways, which choose the upstream."""

    def __init__(self, gateways, pool, protocol, counts, now):
        """Create the sender.

        Args:
            gateways: the gateways.Gateways.
            pool: connection pool for connections to instances.
            protocol: reads and writes the headers between instances:
                `make_headers`, `read_outcome`, `pick_response_headers`.
            counts: metrics: `add`.
            now: function that returns the time in seconds.
        """
        self._gateways = gateways
        self._pool = pool
        self._protocol = protocol
        self._counts = counts
        self._now = now
        self._relay = answer_relay.AnswerRelay(protocol, now)
        self.links = gateways.links

    def is_needed(self, request, progress):
        """Return whether a request must go by way of another instance."""
        if progress.handed_over_to and progress.unreached >= MAX_UNREACHED:
            return True
        return not self.links.may_send(request.request)

    async def attempt(self, request, service, progress, reply, find_obstacle):
        """Send a request once by way of another instance.

        Args:
            request: the attempts.Request.
            service: name of the service.
            progress: the attempts.Progress.
            reply: the reply to the client.
            find_obstacle: function that returns why the request may not be
                sent any more, or "".

        Returns:
            An attempts.AttemptResult or Failure; None if the request must be
            sent directly, as the links work or no instance is left.
        """
        if self.links.is_outage:
            return attempts.Failure(
                503, OUTAGE_REASON, CUT_OFF_RETRY_SECONDS, True
            )
        is_cut_off = self.links.is_cut_off
        refusal = attempts.Failure(
            503, CUT_OFF_REASON, CUT_OFF_RETRY_SECONDS, True
        )
        if progress.handed_over_to:
            is_useless = progress.unreached >= MAX_UNREACHED
            return refusal if is_cut_off or is_useless else None
        gateway = await self._gateways.choose(progress.failed_gateways)
        if gateway is None:
            if not is_cut_off:
                return None
            self._counts.add("gateway_requests_total", outcome="none found")
            return refusal
        answer_relay.log_step(
            request,
            "sent by way of another instance",
            peer=gateway.name,
            inputs={
                "route": request.route.name,
                "service": service,
                "sends": progress.sends,
                "version": progress.version or "",
                "cut_off": is_cut_off,
            },
        )
        handover = progress.make_handover(service)
        progress.begin_attempt()
        try:
            with self._gateways.watch(
                gateway,
                lambda: request.route.is_idempotent and progress.can_retry,
            ) as wait:
                return await self._exchange(
                    request,
                    gateway,
                    handover,
                    progress,
                    reply,
                    wait,
                    find_obstacle,
                )
            raise ports.AttemptError(
                "the instance gave no answer",
                step="wait for instance",
                peer=gateway.name,
                sent=wait.is_sent,
            )
        except ports.SendWithheld as error:
            progress.sends -= 1
            return attempts.Failure(503, error.message, CUT_OFF_RETRY_SECONDS)
        except ports.AttemptError as error:
            return self._handle_failure(request, gateway, progress, error)
        except Exception:
            progress.abandon_attempt()
            raise

    def _handle_failure(self, request, gateway, progress, error):
        self._gateways.record_failure(gateway.name)
        progress.failed_gateways.add(gateway.name)
        self._pool.close_idle_to(gateway.name)
        self._counts.add("gateway_requests_total", outcome="failed")
        answer_relay.log_step(
            request,
            f"attempt by way of another instance failed: {error.message}",
            "warning",
            peer=gateway.name,
            inputs={"sent": error.sent},
        )
        if not error.sent:
            progress.sends -= 1
            return attempts.AttemptResult.RETRY
        return _end_run(request, progress, error.message)

    def _handle_unclear(self, request, gateway, progress):
        """Count an answer whose outcome is unclear as a run that failed.

        It says nothing about the gateway, which other requests go on to use.
        """
        progress.failed_gateways.add(gateway.name)
        self._counts.add("gateway_requests_total", outcome="unclear")
        answer_relay.log_step(
            request, UNCLEAR_REASON, "warning", peer=gateway.name
        )
        return _end_run(request, progress, UNCLEAR_REASON)

    async def _exchange(
        self, request, gateway, handover, progress, reply, wait, find_obstacle
    ):
        """Send a request to a gateway and relay its answer."""

        def check_before_sending():
            obstacle = find_obstacle()
            wait.is_sent = progress.is_sent = not obstacle
            return obstacle

        left = request.deadline - self._now()
        call = ports.Call(
            request.method,
            request.target,
            self._protocol.make_headers(
                request, left, progress.position.last_event, handover
            ),
            request.body,
            left,
            request_id=request.request,
            find_obstacle=check_before_sending,
        )
        async with self._pool.open(gateway, call) as answer:
            head = answer.head
            outcome = self._protocol.read_outcome(head)
            if outcome.is_unclear:
                return self._handle_unclear(request, gateway, progress)
            if outcome.is_refusal:
                body, _ = await bodies.read_start(answer, MAX_REASON_BYTES)
                return self._handle_refusal(
                    request, gateway, progress, head.status, outcome, body
                )
            if request.route.can_resume and progress.version is None:
                progress.version = outcome.version
            if request.route.is_stream and head.is_event_stream():
                await self._relay.relay_stream(
                    request, answer, progress, reply
                )
                return self._record_answer(request, gateway, head)
            body = await self._relay.read_body(
                request, answer, progress, reply
            )
        if body is not None:
            progress.runs += 1
            if progress.has_started:
                return attempts.Failure(
                    502, f"the upstream answered {head.status}"
                )
            headers = self._protocol.pick_response_headers(head)
            await reply.send_answer(head.status, headers, body)
        return self._record_answer(request, gateway, head)

    def _record_answer(self, request, gateway, head):
        self._counts.add("gateway_requests_total", outcome="answered")
        answer_relay.log_step(
            request,
            f"answered {head.status} by way of another instance",
            peer=gateway.name,
            inputs={"ms": int((self._now() - request.received_at) * 1000)},
        )
        return attempts.AttemptResult.ANSWERED

    def _handle_refusal(
        self, request, gateway, progress, status, outcome, body
    ):
        """Pass on a gateway's own answer, or try another gateway."""
        self._counts.add("gateway_requests_total", outcome="refused")
        answer_relay.log_step(
            request,
            f"refused {status} by another instance",
            peer=gateway.name,
            inputs={"cut_off": outcome.is_cut_off},
        )
        if outcome.is_cut_off:
            progress.sends -= 1
            progress.failed_gateways.add(gateway.name)
            self._gateways.record_failure(gateway.name)
            return attempts.AttemptResult.RETRY
        if status == 503:
            progress.sends -= 1
        else:
            progress.runs += 1
        reason = body.decode("utf-8", "replace").strip()
        return attempts.Failure(status, reason, outcome.retry_after)


def _end_run(request, progress, reason):
    """Return the result of an attempt that may have run and gave no answer.

    Args:
        request: the attempts.Request.
        progress: the attempts.Progress.
        reason: why, for the client.
    """
    progress.runs += 1
    if request.route.is_idempotent and progress.can_retry:
        return attempts.AttemptResult.RETRY
    return attempts.Failure(502, reason)
