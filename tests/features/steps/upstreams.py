"""Step definitions for answers of upstreams at the own interface."""

import collections
import tracemalloc
import types

import behave
import msgspec
import trio
from trio import testing

from camphorhook_daemon.adapters import upstreams
from camphorhook_daemon.domain import answers
from camphorhook_daemon.domain import streams
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
PAUSE_SECONDS = 0.01
LONG_PIECE = "w" * 65536
ENDLESS_EVENTS = 500  # to each stream; 32 MB of text
ORDINARY_EVENTS = 6000
ORDINARY_IN_TURN = 20  # so that they end after the memory is used up
LONGER_EVENTS = 300  # 20 MB of text
BYTES_PER_MIB = 1024 * 1024


async def _serve(stream, what):
    """Answer one request and close the connection."""
    async with stream:
        await broken_answers.read_head(stream)
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


@behave.given("engines that answer with {what}, without end")
def set_endless(context, what):
    context.what = what


@behave.when("{count:d} chats that are {how} are sent to them at a time")
def send_endless(context, count, how):
    ordinary = context.ordinary = []

    async def serve(stream):
        async with stream:
            fields = await broken_answers.read_head(stream)
            if "x-ordinary" in fields:
                await stream.send_all(OK + ANSWERS["a document"])
            else:
                await broken_answers.send_without_end(stream, context.what)

    async def read(client, record, call):
        if how == "streamed":
            async with client.stream(record, call) as (_, _, events):
                async for _ in events or ():
                    continue
        else:
            await client.fetch(record, call)

    async def attempt(client, record, call):
        broken = 0

        async def send():
            nonlocal broken
            try:
                await read(client, record, call)
            except ports.AttemptError:
                broken += 1

        async def send_ordinary():
            sound = call._replace(headers=[("x-ordinary", "1")])
            while True:
                ordinary.append((await client.fetch(record, sound)).body)
                await trio.sleep(PAUSE_SECONDS)

        tracemalloc.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_ordinary)
            async with trio.open_nursery() as endless:
                for _ in range(count):
                    endless.start_soon(send)
            nursery.cancel_scope.cancel()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return broken == count, peak

    _run_attempt(context, attempt, serve)


@behave.then("no chat is answered, and at most {megabytes:d} MiB were in use")
def check_memory(context, megabytes):
    all_broken, peak = context.outcome
    print(f"peak {peak / BYTES_PER_MIB:.1f} MiB")
    assert all_broken and peak <= megabytes * BYTES_PER_MIB, context.outcome


@behave.then("ordinary chats meanwhile get their whole answers")
def check_ordinary(context):
    assert context.ordinary and set(context.ordinary) == {DOCUMENT}


class StreamedChat:
    """A streamed chat at an instance, without its connections.

    Attributes:
        stream: the ResponseStream.
        sequence: number of the engine's last event.
    """

    def __init__(self, store, name):
        self.stream = streams.ResponseStream(name, "account", store.memory)
        store.add(self.stream)
        self.sequence = 0
        self._progress = answers.Progress()
        self._reader = answers.EngineStreamReader(
            self.stream, self._progress, "engine", name, wants_usage=False
        )

    def process(self, content):
        """Process an event with a piece of text."""
        self.sequence += 1
        choice = {"delta": {"content": content}}
        data = msgspec.json.encode({"choices": [choice]}).decode()
        self._reader.process(ports.ServerEvent(str(self.sequence), data))


@behave.when("{count:d} engines send events without end to streamed chats")
def stream_without_end(context, count):
    async def run():
        store = streams.StreamStore()
        ordinary = StreamedChat(store, "ordinary")
        sending = {StreamedChat(store, f"chat-{n}") for n in range(count)}
        tracemalloc.start()
        for _ in range(ENDLESS_EVENTS):
            for _ in range(ORDINARY_IN_TURN):
                if ordinary.sequence < ORDINARY_EVENTS:
                    ordinary.process("w123 ")
            for chat in list(sending):
                try:
                    chat.process(LONG_PIECE)
                except ports.AttemptError:
                    chat.stream.finish()
                    sending.remove(chat)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        context.outcome = (not sending, peak)
        context.ordinary = ordinary
        # Streams that have ended are forgotten after a while.
        await trio.sleep(streams.RETENTION_SECONDS + 1.0)
        store.evict_expired()
        context.longer = StreamedChat(store, "longer")
        for _ in range(LONGER_EVENTS):
            context.longer.process(LONG_PIECE)

    trio.run(run, clock=testing.MockClock(autojump_threshold=0))


@behave.then(
    "all these streams break off, and at most {megabytes:d} MiB were in use"
)
def check_streams_bounded(context, megabytes):
    check_memory(context, megabytes)


@behave.then("a chat of {count:d} tokens that is streamed meanwhile is whole")
def check_ordinary_stream(context, count):
    assert context.ordinary.stream.last_number == count == ORDINARY_EVENTS


@behave.then("once those streams are forgotten, a longer one is whole")
def check_longer_stream(context):
    assert context.longer.stream.last_number == LONGER_EVENTS


@behave.when('a request for "{path}" with the header value "{value}" is sent')
def send_odd_request(context, path, value):
    received = []

    async def serve(stream):
        async with stream:
            received.append(await stream.receive_some())
            await stream.send_all(OK + ANSWERS["a document"])

    async def attempt(client, record, call):
        headers = [("idempotency-key", value)]
        await client.fetch(record, call._replace(path=path, headers=headers))
        return received[0].decode("latin-1")

    _run_attempt(context, attempt, serve)


@behave.then('the upstream gets the target "{target}" and "{value}"')
def check_odd_request(context, target, value):
    head = context.outcome
    assert head.startswith(f"GET {target} HTTP/1.1\r\n"), head
    assert f"idempotency-key: {value}\r\n" in head, head
