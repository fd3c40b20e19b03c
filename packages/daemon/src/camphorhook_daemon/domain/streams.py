"""Streamed answers, kept so that a dropped caller can take them up again.

The owner of a response buffers its events until a while after the end. Each
event's id also carries the engine, the engine's stream and the engine's
event number, so that any instance can go on from the engine itself when the
owner is gone; no state about chats is shared for this.
"""

import hashlib
import hmac
import typing
import uuid

import trio

from camphorhook_common import wire

KEEP_SECONDS = 60.0
POINT_SEPARATOR = "~"
TAG_BYTES = 8
TAG_KEY_BYTES = 64
RESPONSE_PREFIX = "chatcmpl-"


class Point(typing.NamedTuple):
    """Where a stream can be taken up.

    Attributes:
        number: events the caller has had.
        upstream: engine that made the last of them.
        stream: the engine's id of the stream.
        sequence: the engine's number of that event.
    """

    number: int
    upstream: str
    stream: str
    sequence: int


def format_point(point):
    """Return a Point as an event id."""
    return POINT_SEPARATOR.join(str(part) for part in point)


def parse_point(text):
    """Return the Point of an event id; ValueError if it is none."""
    number, upstream, stream, sequence = text.split(POINT_SEPARATOR)
    return Point(int(number), upstream, stream, int(sequence))


def name_engine_stream(request, attempt, key_hash):
    """Return the engine's id of an attempt's stream.

    It ends with a tag that only the account's key hash gives, so that any
    instance can check whose stream it is without asking anybody.

    Args:
        request: the request's id.
        attempt: number of the attempt.
        key_hash: the client account's key_hash.
    """
    head = f"{request}-{attempt}"
    return f"{head}-{_make_tag(head, key_hash)}"


def is_own_engine_stream(name, key_hash):
    """Tell whether an engine's stream belongs to the account."""
    head, _, tag = name.rpartition("-")
    return hmac.compare_digest(tag, _make_tag(head, key_hash))


def _make_tag(head, key_hash):
    key = key_hash.encode()[:TAG_KEY_BYTES]
    return hashlib.blake2b(
        head.encode(), key=key, digest_size=TAG_BYTES
    ).hexdigest()


def make_response_id(instance):
    """Return a fresh response id that names its owner."""
    return f"{RESPONSE_PREFIX}{instance}-{uuid.uuid4().hex}"


def find_owner(response):
    """Return the instance that owns a response id; empty if malformed."""
    rest = response.removeprefix(RESPONSE_PREFIX)
    if rest == response:
        return ""
    return rest.rpartition("-")[0]


class ResponseStream:
    """The events of one answer, written by one task, read by any.

    Attributes:
        response: its id.
        account: the client account it belongs to.
        count: number of the last event; the first event is number 1.
        finished: no event follows.
        failure: why it ended early, if it did.
        readers: callers that read it now.
    """

    def __init__(self, response, account, skipped=0):
        """Create a stream.

        Args:
            response: its id.
            account: the client account it belongs to.
            skipped: events that the caller has had already.
        """
        self.response = response
        self.account = account
        self._skipped = skipped
        self._events = []
        self.finished = False
        self.failure = None
        self.readers = 0
        self.left_at = trio.current_time()
        self.ended_at = None
        self._grown = trio.Event()

    def _announce(self):
        self._grown.set()
        self._grown = trio.Event()

    @property
    def count(self):
        """Number of the last event."""
        return self._skipped + len(self._events)

    def read_after(self, number):
        """Return the events that follow a number."""
        return self._events[number - self._skipped :]

    def append(self, event):
        """Add an event."""
        self._events.append(event)
        self._announce()

    def finish(self, failure=None):
        """End the stream, with the reason if it ends early."""
        if not self.finished:
            self.finished = True
            self.failure = failure
            self.ended_at = trio.current_time()
            self._announce()

    def attach(self):
        """Count a reader."""
        self.readers += 1

    def detach(self):
        """Count a reader's end."""
        self.readers -= 1
        self.left_at = trio.current_time()

    def measure_absence(self):
        """Return seconds for which nobody has been reading."""
        if self.readers:
            return 0.0
        return trio.current_time() - self.left_at

    async def wait_beyond(self, number):
        """Wait until there are more events than `number`, or the end."""
        while self.count <= number and not self.finished:
            await self._grown.wait()


class StreamBook:
    """The responses that this instance owns."""

    def __init__(self):
        self._streams = {}

    def add(self, stream):
        """Keep a stream until a while after its end."""
        self._streams[stream.response] = stream

    def get(self, response, account):
        """Return an account's stream, or None."""
        stream = self._streams.get(response)
        if stream is None or stream.account != account:
            return None
        return stream

    def count_running(self):
        """Return streams that have not ended."""
        return sum(not stream.finished for stream in self._streams.values())

    def forget_old(self):
        """Drop streams that ended a while ago."""
        limit = trio.current_time() - KEEP_SECONDS
        for response, stream in list(self._streams.items()):
            if stream.ended_at is not None and stream.ended_at < limit:
                del self._streams[response]

    async def answer(self, message):
        """Answer ReadStream, waiting for news up to its wait_ms."""
        stream = self.get(message.response, message.account)
        if stream is None:
            return wire.StreamReply(False, [], True, None)
        stream.attach()
        try:
            with trio.move_on_after(message.wait_ms / 1000):
                await stream.wait_beyond(message.after)
        finally:
            stream.detach()
        events = stream.read_after(message.after)
        return wire.StreamReply(True, events, stream.finished, stream.failure)
