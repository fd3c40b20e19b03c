"""Parsing of server-sent events, and timing of their delivery."""

import re

from camphorhook_common import numerals

# Two line ends; the group is atomic, so that a CRLF counts as one of them.
_EVENT_END = re.compile(rb"(?>\r\n|\r|\n){2}")
_MAX_EVENT_END_BYTES = 4
MIN_PACED_EVENTS = 4  # fewer say little of a server's speed
MAX_EVENT_BYTES = 256 * 1024  # held in memory until an event is complete


class StreamTiming:
    """Measures when the events of a stream arrive and are sent.

    Times are in seconds.
    """

    def __init__(self, received_at, now, count_output=None, on_first=None):
        """Create a record without events.

        Args:
            received_at: time of receipt of the request in seconds.
            now: function that returns the time in seconds.
            count_output: called with complete events as they arrive.
            on_first: function to call as the first event arrives, or None.
        """
        self._count_output = count_output
        self._on_first = on_first
        self._received_at = received_at
        self._now = now
        self._last = None
        self._first = 0.0
        self._first_at = 0.0
        self._pause = 0.0
        self._send = 0.0
        self._events = 0
        self._rest_bytes = 0

    def record_arrival(self, data):
        """Record the arrival of complete events from the upstream."""
        if self._count_output is not None:
            self._count_output(data)
        now = self._now()
        if self._last is None:
            self._first = now - self._received_at
            self._first_at = now
            if self._on_first is not None:
                self._on_first()
        else:
            self._pause = max(self._pause, now - self._last)
        self._events += 1
        self._last = now

    def record_sent(self):
        """Record that the client's connection has taken these events."""
        self._send = max(self._send, self._now() - self._last)

    def record_rest(self, size):
        """Record the bytes after the last complete event of an answer."""
        self._rest_bytes = size

    def measure_pace(self):
        """Return the mean time between events; None for fewer than 4."""
        if self._events < MIN_PACED_EVENTS:
            return None
        return (self._last - self._first_at) / (self._events - 1)

    def describe(self):
        """Return the figures for a log line; times are in milliseconds."""
        return {
            "first_ms": int(self._first * 1000),
            "pause_ms": int(self._pause * 1000),
            "send_ms": int(self._send * 1000),
            "pieces": self._events,
            "rest_bytes": self._rest_bytes,
        }


def split_events(data, searched=0):
    """Return (complete events, start of an incomplete one) as bytes.

    Args:
        data: bytes of a stream.
        searched: number of first bytes that hold no complete event.
    """
    end = 0
    begin = max(0, searched - _MAX_EVENT_END_BYTES + 1)
    for match in _EVENT_END.finditer(data, begin):
        end = match.end()
    return data[:end], data[end:]


def is_event_part(data):
    """Return whether an incomplete block is more than comments."""
    return any(
        line and not line.startswith(b":") for line in data.splitlines()
    )


def has_event(data):
    """Return whether complete blocks contain an event, not just comments."""
    return any(
        line.startswith((b"data:", b"id:")) for line in data.splitlines()
    )


def count_events(data):
    """Return the number of events among complete blocks."""
    return sum(has_event(block) for block in split_blocks(data))


def _read_id(block):
    for line in block.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""


def lacks_id(data):
    """Return whether a block that is more than comments has no numeric id."""
    return any(
        is_event_part(block)
        and numerals.parse_unsigned(_read_id(block)) is None
        for block in split_blocks(data)
    )


def split_blocks(data):
    """Return the blocks of complete events, without the ends of events."""
    return [block for block in _EVENT_END.split(data) if block]


def find_last_id(data, default):
    """Return the id of the last event that has one, else the default."""
    for block in reversed(split_blocks(data)):
        event_id = _read_id(block)
        if event_id:
            return event_id
    return default


def drop_known_events(data, last):
    """Return the events that follow a given id.

    Events without a numeric id are kept; if `last` is not a number, all are.

    Args:
        data: complete events as bytes.
        last: id of the last event that the client has received, or empty.
    """
    known = numerals.parse_unsigned(last)
    if known is None:
        return data
    kept = []
    for block in split_blocks(data):
        number = numerals.parse_unsigned(_read_id(block))
        if number is not None and number <= known:
            continue
        kept.append(block + b"\n\n")
    return b"".join(kept)
