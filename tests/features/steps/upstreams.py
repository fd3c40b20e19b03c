"""Step definitions for answers of upstreams at the own interface."""

import collections
import types

import behave
import trio

from camphorhook_daemon.adapters import upstreams
from camphorhook_daemon.domain import answers
from camphorhook_daemon.ports import upstreams as ports
from tests.features.steps import endings
from tests.standins import broken_answers
from tests.standins import resets

DOCUMENT = b'{"id": "chat", "choices": [{"message": {"content": "whole"}}]}'
TEXT = "one\u2028line"  # U+2028 ends no line of an event
EVENT = f"id: 1\ndata: {TEXT}\n\n".encode()
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(DOCUMENT)
ANSWERS = {
    "a document": LENGTH + b"\r\n" + DOCUMENT,
    "a document without length": b"\r\n" + DOCUMENT,
    "a part without length": b"\r\n" + DOCUMENT[:30],
    "a document that is reset": b"\r\n" + DOCUMENT,
    "a part with the whole's length": LENGTH + b"\r\n" + DOCUMENT[:30],
    "a document without end": b"\r\n",
    "three events": b"\r\n" + EVENT * 3,
    "three events with CRLF": b"\r\n" + EVENT.replace(b"\n", b"\r\n") * 3,
    "three events and a part": b"\r\n" + EVENT * 3 + EVENT[:9],
    "an event without end": b"\r\ndata: ",
    "an event that is no text": b"\r\ndata: \xff\xfe\n\n",
}
BLOCK = b" " * 65536
TIMEOUT_SECONDS = 20.0


async def _serve(stream, what):
    """Answer one request and close the connection."""
    async with stream:
        await endings.read_fields(stream)
        try:
            await stream.send_all(OK + ANSWERS[what])
            while "without end" in what:
                await stream.send_all(BLOCK)
        except trio.BrokenResourceError:
            return
        if "reset" in what:
            await trio.sleep(endings.RESET_DELAY_SECONDS)
            resets.set_reset_on_close(stream)


def _run_attempt(context, attempt, serve=None):
    """Run an async function of (client, record, call); keep its result.

    Args:
        context: behave's context.
        attempt: the function.
        serve: async function of a stream that serves a connection; by
            default, it sends the answer that the scenario names.
    """
    serve = serve or (lambda stream: _serve(stream, context.what))

    async def run():
        async with trio.open_nursery() as nursery:
            opened = await nursery.start(trio.serve_tcp, serve, 0)
            port = opened[0].socket.getsockname()[1]
            record = types.SimpleNamespace(
                name="engine", address="127.0.0.1", port=port
            )
            client = upstreams.HttpUpstreamClient()
            call = ports.Call("GET", "/", [], b"", 5.0)
            with trio.fail_after(TIMEOUT_SECONDS):
                context.outcome = await attempt(client, record, call)
            await client.close()
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.given("an engine that answers a chat with {what}")
def set_answer(context, what):
    context.what = what


@behave.when("a chat that is not streamed is sent to it")
def fetch_answer(context):
    async def attempt(client, record, call):
        try:
            answer = await client.fetch(record, call)
            answers.check_completion(answer, record.name)
        except ports.AttemptError:
            return "broken"
        assert answer.body == DOCUMENT, answer.body
        return "whole"

    _run_attempt(context, attempt)


@behave.when("a chat that is streamed is sent to it")
def read_stream(context):
    async def attempt(client, record, call):
        count = 0
        try:
            async with client.stream(record, call) as (_, _, events):
                async for event in events:
                    assert (event.id, event.data) == ("1", TEXT), event
                    count += 1
        except ports.AttemptError:
            return "broken", count
        return "ended", count

    _run_attempt(context, attempt)


@behave.then("the attempt is {seen:Word}")
def check_seen(context, seen):
    assert context.outcome == seen, context.outcome


@behave.then("the attempt is {seen:Word}, after {count:d} events")
def check_seen_events(context, seen, count):
    assert context.outcome == (seen, count), context.outcome


@behave.given(
    "an engine that answers uploads with {framing} and ends with {ending}"
)
def set_early_answer(context, framing, ending):
    context.early = (framing, ending)


@behave.when("{count:d} uploads are sent to it")
def send_uploads(context, count):
    framing, ending = context.early

    async def serve(stream):
        async with stream:
            await broken_answers.read_head(stream)
            data = broken_answers.make_answer(framing, DOCUMENT)
            await broken_answers.answer_early(stream, data, ending)

    async def attempt(client, record, call):
        upload = b"u" * broken_answers.UPLOAD_BYTES
        call = call._replace(method="POST", body=upload)
        outcomes = collections.Counter()
        for _ in range(count):
            try:
                answer = await client.fetch(record, call)
                assert answer.body == DOCUMENT, answer.body
                outcomes["whole"] += 1
            except ports.AttemptError as error:
                assert error.sent
                outcomes["broken"] += 1
        return outcomes

    _run_attempt(context, attempt, serve)


@behave.then("all attempts are {seen:Word}")
def check_all_seen(context, seen):
    assert list(context.outcome) == [seen], context.outcome
