"""Server-sent events as bytes: whole ones, their ids, their pace."""

from camphorhook_common import numerals


class Pace:
    """How a stream's events came and went, in seconds."""

    def __init__(self, received_at, now):
        self._received_at = received_at
        self._now = now
        self._last = None
        self._first = 0.0
        self._pause = 0.0
        self._send = 0.0
        self._events = 0

    def note_arrival(self):
        """Take note that events came from the upstream."""
        now = self._now()
        if self._last is None:
            self._first = now - self._received_at
        else:
            self._pause = max(self._pause, now - self._last)
        self._events += 1
        self._last = now

    def note_sent(self):
        """Take note that they were taken by the client's connection."""
        self._send = max(self._send, self._now() - self._last)

    def describe(self):
        """Return the figures of a log line, in milliseconds."""
        return {
            "first_ms": int(self._first * 1000),
            "pause_ms": int(self._pause * 1000),
            "send_ms": int(self._send * 1000),
            "pieces": self._events,
        }


def split_events(data):
    """Return (complete events, the beginning of the next one)."""
    end = max(data.rfind(b"\n\n") + 2, data.rfind(b"\r\n\r\n") + 4)
    if end < 4 and not data.startswith(b"\n\n"):
        end = 0
    return data[:end], data[end:]


def _read_id(block):
    for line in block.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""


def _split_blocks(data):
    normal = data.replace(b"\r\n", b"\n")
    return [block for block in normal.split(b"\n\n") if block]


def find_last_id(data, default):
    """Return the id of the last event that has one."""
    for block in reversed(_split_blocks(data)):
        event_id = _read_id(block)
        if event_id:
            return event_id
    return default


def drop_known_events(data, last):
    """Return complete events without those up to an id.

    Args:
        data: complete events.
        last: id of the last event that the client has; empty for none.
    """
    known = numerals.parse_unsigned(last)
    if known is None:
        return data
    kept = []
    for block in _split_blocks(data):
        number = numerals.parse_unsigned(_read_id(block))
        if number is not None and number <= known:
            continue
        kept.append(block + b"\n\n")
    return b"".join(kept)
