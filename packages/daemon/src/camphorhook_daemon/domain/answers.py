"""Combines the event streams of several engines into one answer.

Events of an engine are numbered. Duplicates are dropped, a gap or an event
of another request is an error, and an answer is complete only after a finish
reason and the end marker.
"""

import msgspec
import trio

from camphorhook_common import jsontext
from camphorhook_common import wire
from camphorhook_daemon.domain import answer_memory
from camphorhook_daemon.domain import streams
from camphorhook_daemon.ports import upstreams as ports

DONE = "[DONE]"


def check_completion(answer, upstream):
    """Check that an answer that is not streamed is a whole document.

    An answer without a length may have been cut off without a sign in HTTP.

    Args:
        answer: the ports.Answer.
        upstream: name of the engine that it came from.

    Raises:
        ports.AttemptError: it succeeds and is no complete JSON object.
    """
    if answer.status != 200:
        return
    try:
        jsontext.decode(answer.body, dict)
    except jsontext.DecodeError as error:
        raise ports.AttemptError(
            "the answer is no complete JSON object, "
            f"got {len(answer.body)} bytes: {error}",
            step="read",
            peer=upstream,
            sent=True,
        ) from error


class Progress:
    """What was received of one answer, over all attempts.

    Attributes:
        excluded: names of upstreams that failed.
        attempts: number of attempts made.
        sent: whether any attempt may have reached an upstream.
        text: the answer's text so far.
        tokens: number of events with text so far, counted as tokens.
        has_role: whether the role of the message was received.
        has_finish: whether a finish reason was received.
        usage_tokens: total tokens as the last engine counted them.
        last_failure: description of the last failure.
        version: software version of the engine that began the answer; None
            before its first event.
        is_too_large: whether there was no memory for more of it.
    """

    def __init__(self):
        self.excluded = set()
        self.attempts = 0
        self.sent = False
        self.text = ""
        self.tokens = 0
        self.has_role = False
        self.has_finish = False
        self.usage_tokens = 0
        self.last_failure = "no upstream answered"
        self.version = None
        self.is_too_large = False


class EngineStreamReader:
    """Converts one engine's events into the client's events.

    Attributes:
        progress: the request's Progress.
        sequence: number of the last event processed, as the engine counts.
        is_done: whether the end marker came after a finish reason.
        tokens: number of tokens received after the first one.
        first_token_at: when the first token came, on trio's clock; 0 before.
        last_token_at: when the last token came, on trio's clock; 0 before.
    """

    def __init__(
        self,
        stream,
        progress,
        upstream,
        stream_id,
        *,
        wants_usage,
        sequence=0,
        version="",
    ):
        """Create a reader of one engine's stream.

        Args:
            stream: the ResponseStream to write to.
            progress: the request's Progress.
            upstream: name of the engine.
            stream_id: the engine's id of its stream.
            wants_usage: whether to pass on the event with the usage.
            sequence: number of the engine's last event that is known.
            version: software version of the engine.
        """
        self.progress = progress
        self.sequence = sequence
        self.is_done = False
        self.tokens = 0
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self._stream = stream
        self._upstream = upstream
        self._version = version
        self._stream_id = stream_id
        self._wants_usage = wants_usage

    def _make_error(self, message):
        return ports.AttemptError(
            message, step="read", peer=self._upstream, sent=True
        )

    def process(self, event):
        """Process an event; duplicates are dropped.

        Raises:
            ports.AttemptError: the event is invalid, or one is missing.
        """
        number = self._read_number(event)
        if number <= self.sequence:
            return
        if number != self.sequence + 1:
            raise self._make_error(f"event {self.sequence + 1} is missing")
        self.sequence = number
        if event.data == DONE:
            self._process_end()
            return
        try:
            chunk = jsontext.decode(event.data, dict)
        except jsontext.DecodeError as error:
            raise self._make_error(
                f"an event is no JSON object: {error}"
            ) from error
        self._process_chunk(chunk)

    def _read_number(self, event):
        if not event.id:
            return self.sequence + 1
        try:
            return int(event.id)
        except ValueError as error:
            raise self._make_error(
                f"event id {event.id!r} is not a number"
            ) from error

    def _process_end(self):
        if not self.progress.has_finish:
            raise self._make_error("the stream ended without a finish reason")
        self.is_done = True
        self._append(DONE)

    def _process_chunk(self, chunk):
        if "error" in chunk:
            raise self._make_error(
                f"the engine reported an error: {chunk['error']}"
            )
        if chunk.get("id") not in (None, self._stream_id):
            raise self._make_error("an event belongs to another request")
        usage = chunk.get("usage")
        choices = chunk.get("choices") or []
        if usage:
            self._process_usage(usage)
            if not choices and not self._wants_usage:
                return
        if choices and self._apply_choice(choices[0]):
            return
        chunk["id"] = self._stream.response_id
        self._append(msgspec.json.encode(chunk).decode())

    def _process_usage(self, usage):
        """Count tokens of earlier attempts as completion tokens.

        The last engine received them as part of its prompt.
        """
        progress = self.progress
        earlier = progress.tokens - self._get_completion_tokens(usage)
        if earlier > 0:
            usage["completion_tokens"] += earlier
            usage["prompt_tokens"] = usage.get("prompt_tokens", 0) - earlier
        progress.usage_tokens = usage.get("total_tokens", 0)

    def _get_completion_tokens(self, usage):
        return usage.get("completion_tokens", 0)

    def _apply_choice(self, choice):
        """Process a choice; return whether it merely repeats the role."""
        progress = self.progress
        delta = choice.get("delta") or {}
        if choice.get("finish_reason"):
            progress.has_finish = True
        content = delta.get("content")
        if content:
            progress.text += content
            progress.tokens += 1
            self._record_token_time()
        if "role" in delta:
            repeated = progress.has_role
            progress.has_role = True
            if repeated and not content:
                return True
            if repeated:
                del delta["role"]
        return False

    def _record_token_time(self):
        self.last_token_at = trio.current_time()
        if self.first_token_at:
            self.tokens += 1
        else:
            self.first_token_at = self.last_token_at

    def _append(self, data):
        self.progress.version = self._version
        stream = self._stream
        point = streams.ResumePoint(
            stream.last_number + 1,
            self._upstream,
            self._stream_id,
            self.sequence,
        )
        event = wire.StreamEvent(streams.format_resume_point(point), data)
        try:
            stream.append(event)
        except answer_memory.Exhausted as error:
            self.progress.is_too_large = True
            raise self._make_error(str(error)) from error
