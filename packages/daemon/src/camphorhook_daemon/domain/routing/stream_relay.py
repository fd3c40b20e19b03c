"""Relays the events of a stream to a client as they arrive."""

import trio

from camphorhook_common import numerals
from camphorhook_daemon.domain.routing import events

EVENT_SILENCE_SECONDS = 2.0  # clients disconnect after the same time


class StreamSilent(Exception):
    """The upstream has sent no event for EVENT_SILENCE_SECONDS."""


class StreamInvalid(Exception):
    """The upstream's answer is no stream, or not the rest of this one."""


class Position:
    """Position of a client in a stream, across the upstreams that serve it.

    Attributes:
        last_event: id of the last event relayed; empty for none.
    """

    def __init__(self, last_event=""):
        self.last_event = last_event
        self._buffer = b""
        self._skips_known = True
        self._requires_ids = False

    def begin(self):
        """Prepare for the answer of another upstream."""
        self._buffer = b""
        self._skips_known = True
        last_event = numerals.parse_unsigned(self.last_event)
        self._requires_ids = last_event is not None

    def feed(self, piece):
        """Add bytes of the answer; return the complete events to relay.

        Raises:
            StreamInvalid: an event exceeds events.MAX_EVENT_BYTES, or one of
                an answer that takes up the stream has no id.
        """
        whole, self._buffer = events.split_events(
            self._buffer + piece, len(self._buffer)
        )
        if len(self._buffer) > events.MAX_EVENT_BYTES:
            raise StreamInvalid(
                f"an event exceeds {events.MAX_EVENT_BYTES} bytes"
            )
        if self._requires_ids and events.lacks_id(whole):
            raise StreamInvalid("the stream goes on with an event without id")
        if whole and self._skips_known:
            whole = events.drop_known_events(whole, self.last_event)
            self._skips_known = not whole
        if whole:
            self.last_event = events.find_last_id(whole, self.last_event)
        return whole

    def flush(self):
        """Return the incomplete rest after the end of the answer."""
        rest, self._buffer = self._buffer, b""
        return rest


async def relay(answer, reply, position, timing):
    """Relay events until the answer ends.

    Args:
        answer: answer of the upstream, with `read_chunk`.
        reply: answer to the client, with `send_chunk`.
        position: the Position; it may be used again after StreamSilent.
        timing: an events.StreamTiming.

    Raises:
        StreamSilent: the upstream sent no event for EVENT_SILENCE_SECONDS.
            Comments and parts of an event are none.
        StreamInvalid: the answer ended inside an event, one exceeds
            events.MAX_EVENT_BYTES, or one of an answer that takes up the
            stream has no id. The partial event is not relayed.
    """
    left = EVENT_SILENCE_SECONDS
    with trio.CancelScope() as silence:
        while True:
            silence.deadline = trio.current_time() + left
            piece = await answer.read_chunk()
            left = silence.deadline - trio.current_time()
            # The time a slow client takes does not count as silence.
            silence.deadline = float("inf")
            if not piece:
                break
            whole = position.feed(piece)
            if events.has_event(whole):
                left = EVENT_SILENCE_SECONDS
            if whole:
                timing.record_arrival(whole)
                await reply.send_chunk(whole)
                timing.record_sent()
        rest = position.flush()
        timing.record_rest(len(rest))
        if events.is_event_part(rest):
            raise StreamInvalid(
                "the stream ended inside an event, "
                f"{len(rest)} bytes after the last complete one"
            )
        if rest:
            await reply.send_chunk(rest)
        return
    raise StreamSilent
