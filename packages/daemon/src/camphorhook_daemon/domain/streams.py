"""Buffers streamed answers, so that a disconnected client can resume them.

The owner of a response keeps its events for RETENTION_SECONDS after its end.
Each event's id also carries the engine, the engine's stream and the engine's
event number, so that any instance can continue from the engine itself if the
owner is gone. This needs no shared state about chats.
"""

import hashlib
import hmac
import typing
import uuid

import trio

from camphorhook_common import wire
from camphorhook_daemon.domain import answer_memory

RETENTION_SECONDS = 60.0
# An event's data is held twice, as an event and as a part of the whole text.
DATA_COPIES = 2
EVENT_OVERHEAD_BYTES = 256  # of an event's id and objects
# Of each stream, and what all streams share beyond that. An answer of 6,000
# tokens, in events of 200 bytes, takes no more than the first.
FREE_STREAM_BYTES = 4 * 1024 * 1024
MAX_SHARED_BYTES = 256 * 1024 * 1024
RESUME_POINT_SEPARATOR = "~"
TAG_BYTES = 8
TAG_KEY_BYTES = 64
RESPONSE_PREFIX = "chatcmpl-"


class ResumePoint(typing.NamedTuple):
    """Where a stream can be resumed.

    Attributes:
        number: number of events that the client has received.
        upstream: name of the engine that generated the last of them.
        stream: the engine's id of the stream.
        sequence: the engine's number of that event.
    """

    number: int
    upstream: str
    stream: str
    sequence: int


def format_resume_point(point):
    """Return the event id that encodes a ResumePoint."""
    return RESUME_POINT_SEPARATOR.join(str(part) for part in point)


def parse_resume_point(text):
    """Return the ResumePoint that an event id encodes.

    Raises:
        ValueError: the text is not such an event id.
    """
    number, upstream, stream, sequence = text.split(RESUME_POINT_SEPARATOR)
    return ResumePoint(int(number), upstream, stream, int(sequence))


def make_engine_stream_id(request_id, attempt, key_hash):
    """Return the engine's id of an attempt's stream.

    It ends with a tag keyed with the account's key hash, so that any
    instance can verify the stream's account on its own.

    Args:
        request_id: id of the request.
        attempt: number of the attempt.
        key_hash: the client account's key_hash.
    """
    head = f"{request_id}-{attempt}"
    return f"{head}-{_make_tag(head, key_hash)}"


def is_own_engine_stream(stream_id, key_hash):
    """Tell whether an engine's stream belongs to a key hash's account."""
    head, _, tag = stream_id.rpartition("-")
    return hmac.compare_digest(tag, _make_tag(head, key_hash))


def _make_tag(head, key_hash):
    key = key_hash.encode()[:TAG_KEY_BYTES]
    return hashlib.blake2b(
        head.encode(), key=key, digest_size=TAG_BYTES
    ).hexdigest()


def make_response_id(instance):
    """Return a unique response id that contains the owner's name."""
    return f"{RESPONSE_PREFIX}{instance}-{uuid.uuid4().hex}"


def find_owner(response_id):
    """Return the owner named in a response id; empty if malformed."""
    rest = response_id.removeprefix(RESPONSE_PREFIX)
    if rest == response_id:
        return ""
    return rest.rpartition("-")[0]


class ResponseStream:
    """The events of one answer, written by one task and read by many.

    Attributes:
        response_id: id of the response.
        account: name of the client account it belongs to.
        last_number: number of the last event; the first event is number 1.
        finished: whether the stream has ended.
        failure: wire.RequestFailure if it ended early, else None.
        readers: number of readers that are attached.
        left_at: when the last reader detached, on trio's clock.
        ended_at: when the stream ended, on trio's clock; None before.
    """

    def __init__(self, response_id, account, memory, skipped=0):
        """Create a stream without events.

        Args:
            response_id: id of the response.
            account: name of the client account it belongs to.
            memory: the answer_memory.AnswerMemory that holds its events.
            skipped: number of events that the client has received already.
        """
        self._held = memory.open()
        self.response_id = response_id
        self.account = account
        self._skipped = skipped
        self._events = []
        self.finished = False
        self.failure = None
        self.readers = 0
        self.left_at = trio.current_time()
        self.ended_at = None
        self._changed = trio.Event()

    def _notify_readers(self):
        self._changed.set()
        self._changed = trio.Event()

    @property
    def last_number(self):
        """Number of the last event, counted from 1."""
        return self._skipped + len(self._events)

    def read_after(self, number):
        """Return the events after the one of the given number."""
        return self._events[number - self._skipped :]

    def append(self, event):
        """Append an event and notify the readers.

        Raises:
            answer_memory.Exhausted: there is no memory for it.
        """
        self._held.add(DATA_COPIES * len(event.data) + EVENT_OVERHEAD_BYTES)
        self._events.append(event)
        self._notify_readers()

    def finish(self, failure=None):
        """End the stream, with a wire.RequestFailure if it ends early."""
        if not self.finished:
            self.finished = True
            self.failure = failure
            self.ended_at = trio.current_time()
            self._notify_readers()

    def release(self):
        """Give back the memory; the stream must not be used any more."""
        self._held.close()

    def attach(self):
        """Register a reader."""
        self.readers += 1

    def detach(self):
        """Unregister a reader."""
        self.readers -= 1
        self.left_at = trio.current_time()

    def measure_detached_seconds(self):
        """Return the seconds since the last reader left; 0 with readers."""
        if self.readers:
            return 0.0
        return trio.current_time() - self.left_at

    async def wait_for_event_after(self, number):
        """Wait until there is an event after `number`, or the end."""
        while self.last_number <= number and not self.finished:
            await self._changed.wait()


class StreamStore:
    """The streams of the responses that this instance owns.

    Attributes:
        memory: the answer_memory.AnswerMemory of all streams.
    """

    def __init__(self):
        self.memory = answer_memory.AnswerMemory(
            MAX_SHARED_BYTES, FREE_STREAM_BYTES
        )
        self._streams = {}

    def add(self, stream):
        """Keep a stream until RETENTION_SECONDS after its end."""
        self._streams[stream.response_id] = stream

    def get(self, response_id, account):
        """Return a response's stream if the account owns it, else None."""
        stream = self._streams.get(response_id)
        if stream is None or stream.account != account:
            return None
        return stream

    def count_running(self):
        """Return the number of streams that have not ended."""
        return sum(not stream.finished for stream in self._streams.values())

    def evict_expired(self):
        """Drop streams that ended more than RETENTION_SECONDS ago."""
        limit = trio.current_time() - RETENTION_SECONDS
        for response_id, stream in list(self._streams.items()):
            if stream.ended_at is not None and stream.ended_at < limit:
                self._streams.pop(response_id).release()

    async def answer(self, message):
        """Return the reply to a ReadStream, after at most its wait_ms."""
        stream = self.get(message.response, message.account)
        if stream is None:
            return wire.StreamReply(False, [], True, None)
        stream.attach()
        try:
            with trio.move_on_after(message.wait_ms / 1000):
                await stream.wait_for_event_after(message.after)
        finally:
            stream.detach()
        events = stream.read_after(message.after)
        return wire.StreamReply(True, events, stream.finished, stream.failure)
