"""Relays answers of upstreams to clients.

An answer that breaks off after its first byte was sent to the client must not
look complete there.
"""

import trio

from camphorhook_common import logs
from camphorhook_daemon.domain.routing import bodies
from camphorhook_daemon.domain.routing import events
from camphorhook_daemon.domain.routing import stream_relay
from camphorhook_daemon.ports import upstreams as ports

CLIENT_ERROR = 400  # the first status of errors
SERVER_ERROR = 500


class StreamBroken(Exception):
    """An answer that has been started cannot be completed."""


class AnswerRelay:
    """Relays streams, and answers that are too large to be held in memory.

    Its methods take the attempts.Request, the answer of an upstream, the
    request's progress over all attempts, and the reply to the client.
    """

    def __init__(self, protocol, now):
        """Create a relay.

        Args:
            protocol: picks the headers to pass on: `pick_response_headers`.
            now: function that returns the time in seconds.
        """
        self._protocol = protocol
        self._now = now

    async def read_body(self, request, answer, progress, reply):
        """Return a whole body, or None after a large one was relayed.

        Raises:
            ports.AttemptError: the answer is incomplete, does not end in
                time, or is large and can't be relayed.
        """
        with trio.move_on_at(request.deadline):
            body, is_whole = await bodies.read_start(answer)
            if is_whole:
                return body
            await self._relay_large(request, answer, body, progress, reply)
            return None
        raise ports.AttemptError(
            "the answer did not end in time",
            step="read answer",
            peer=answer.upstream,
            sent=True,
        )

    async def _relay_large(self, request, answer, body, progress, reply):
        """Relay a large answer, of which `body` was read; it can't be retried.

        Raises:
            ports.AttemptError: it is a failure, or can't follow what the
                client has; or its body is incomplete.
        """
        head = answer.head
        if progress.has_started or head.status >= SERVER_ERROR:
            raise ports.AttemptError(
                f"the body of the answer {head.status} exceeds "
                f"{bodies.MAX_BUFFERED_BYTES} bytes",
                step="read answer",
                peer=answer.upstream,
                sent=True,
            )
        progress.has_started = True
        progress.can_retry = False
        headers = self._protocol.pick_response_headers(head)
        await reply.start(head.status, headers, head.get_length())
        size = 0
        while body:
            size += len(body)
            await reply.send_chunk(body)
            body = await answer.read_chunk()
        await reply.finish()
        log_step(
            request,
            f"relayed a large answer {head.status} of the upstream",
            peer=answer.upstream,
            inputs={"bytes": size},
        )

    async def relay_stream(
        self, request, answer, progress, reply, on_first=None
    ):
        """Relay the events of a stream as they arrive.

        Args:
            on_first: function to call as the first event arrives, or None.

        Returns:
            The mean seconds between events; None for too few.

        Raises:
            ports.AttemptError: the stream broke off; it may be resumed.
            StreamBroken: the deadline passed.
        """
        if not progress.has_started:
            await reply.start(
                answer.head.status,
                self._protocol.pick_response_headers(answer.head),
            )
            progress.has_started = True
        progress.position.begin()
        timing = events.StreamTiming(
            request.received_at, self._now, progress.count_output, on_first
        )
        with trio.move_on_at(request.deadline):
            await self._relay_all(request, answer, progress, reply, timing)
            await reply.finish()
            log_step(
                request,
                "stream ended",
                peer=answer.upstream,
                inputs={
                    "framing": answer.head.describe_framing(),
                    **timing.describe(),
                },
            )
            return timing.measure_pace()
        raise StreamBroken("the route's timeout or the deadline was reached")

    async def _relay_all(self, request, answer, progress, reply, timing):
        """Relay a stream to its end, or raise AttemptError to resume it.

        A silent stream that can't be resumed any more is read on: it may be
        slow, and the client decides how long it waits.
        """
        may_resume = (
            request.route.can_resume
            and progress.runs + 1 < request.route.attempts
        )
        while True:
            try:
                await stream_relay.relay(
                    answer, reply, progress.position, timing
                )
                return
            except stream_relay.StreamInvalid as error:
                raise ports.AttemptError(
                    f"{error} (framing: {answer.head.describe_framing()})",
                    step="read stream",
                    peer=answer.upstream,
                    sent=True,
                    connection_broken=True,
                ) from error
            except stream_relay.StreamSilent as error:
                if may_resume:
                    raise ports.AttemptError(
                        "the stream fell silent",
                        step="read stream",
                        peer=answer.upstream,
                        sent=True,
                    ) from error


def log_step(request, text, level="info", **fields):
    """Log a step of forwarding a request."""
    logs.log(
        level,
        text,
        request=request.request,
        account=request.account,
        step="forward",
        **fields,
    )
