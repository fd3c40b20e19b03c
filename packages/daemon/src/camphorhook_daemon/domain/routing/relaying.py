"""Passes a stream's events on to a client as they come."""

import trio

from camphorhook_daemon.domain.routing import events

EVENT_SILENCE_SECONDS = 2.0  # between events; clients leave after as long


class StreamSilent(Exception):
    """The upstream has sent nothing for too long."""


class Position:
    """How far a client has a stream, over all upstreams that serve it.

    Attributes:
        last_event: id of the last event passed on; empty for none.
    """

    def __init__(self, last_event=""):
        self.last_event = last_event
        self._buffer = b""
        self._skips_known = True

    def begin(self):
        """Expect the answer of another upstream."""
        self._buffer = b""
        self._skips_known = True

    def take(self, piece):
        """Take in bytes; return the whole events to be passed on."""
        whole, self._buffer = events.split_events(self._buffer + piece)
        if whole and self._skips_known:
            whole = events.drop_known_events(whole, self.last_event)
            self._skips_known = not whole
        if whole:
            self.last_event = events.find_last_id(whole, self.last_event)
        return whole

    def take_rest(self):
        """Return what is left when the answer has ended."""
        rest, self._buffer = self._buffer, b""
        return rest


async def relay(answer, reply, position, pace):
    """Pass events on until the answer ends.

    Args:
        answer: the upstream's, with `read_piece`.
        reply: the client's, with `send_piece`.
        position: the Position; after StreamSilent it may be used again.
        pace: an events.Pace.

    Raises:
        StreamSilent: no event came for EVENT_SILENCE_SECONDS.
    """
    with trio.CancelScope() as silence:
        while True:
            silence.deadline = trio.current_time() + EVENT_SILENCE_SECONDS
            piece = await answer.read_piece()
            # A client that takes its events slowly is no silence.
            silence.deadline = float("inf")
            if not piece:
                break
            whole = position.take(piece)
            if whole:
                pace.note_arrival()
                await reply.send_piece(whole)
                pace.note_sent()
        rest = position.take_rest()
        if rest:
            await reply.send_piece(rest)
        return
    raise StreamSilent
