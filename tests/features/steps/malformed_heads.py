"""Step definitions for answers whose heads are not valid HTTP."""

import collections
import contextlib
import itertools
import json
import types

import behave
import trio

from camphorhook import api_client
from camphorhook_common import errors
from camphorhook_daemon.adapters import upstreams
from camphorhook_daemon import platform_composition
from camphorhook_daemon.ports import upstreams as ports
from tests.features.steps import connections
from tests.features.steps import endings
from tests.harness import routers
from tests.harness import ways
from tests.standins import broken_answers

EVENTS = connections.make_events(1, 3)
STATUS = b'{"instances": []}'
PROBE_SECONDS = 2.0
TIMEOUT_SECONDS = 5.0
SEAL = b"X-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"


class RawUpstream(routers.ScriptedUpstream):
    """An upstream that sends the same bytes for each request.

    Attributes:
        make_answer: function of further header lines that returns the bytes.
    """

    def __init__(self, number, make_answer):
        super().__init__(number)
        self.make_answer = make_answer

    async def serve(self, stream):
        """Answer one request and close the connection."""
        async with stream:
            try:
                fields = await broken_answers.read_head(stream)
            except EOFError:
                return
            request = fields.get("x-request-id", "")
            self.requests.append(request)
            headers = f"X-Request-Id: {request}\r\n".encode()
            await stream.send_all(self.make_answer(headers + SEAL))


def _decode_escapes(text):
    """Return the bytes of a text with escapes, as feature files hold it."""
    return text.encode().decode("unicode-escape").encode("latin-1")


def _make_sound_answer(status_line, headers, body):
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return status_line + b"\r\n" + headers + length + body


@behave.given("upstreams that answer with {what}")
def set_malformed(context, what):
    assert what in broken_answers.MALFORMED_HEADS, what

    def make_answer(headers, body=EVENTS):
        return broken_answers.make_malformed_answer(what, body, headers)

    context.make_answer = make_answer


@behave.given("upstreams whose status line is {line}")
def set_status_line(context, line):
    def make_answer(headers, body=EVENTS):
        return _make_sound_answer(_decode_escapes(line), headers, body)

    context.make_answer = make_answer


@behave.given("upstreams whose answers follow the interim answer {head}")
def set_interim(context, head):
    def make_answer(headers, body=EVENTS):
        interim = _decode_escapes(head) + b"\r\n\r\n"
        return interim + _make_sound_answer(b"HTTP/1.1 200 OK", headers, body)

    context.make_answer = make_answer


@behave.when("clients send a request of each kind on each way")
def send_requests(context):
    context.outcomes = {}
    context.asked = collections.Counter()

    async def run(kind, way):
        scripted = [RawUpstream(n, context.make_answer) for n in (1, 2)]
        async with trio.open_nursery() as nursery:
            port = await ways.open_way(
                nursery, scripted, kind, way, collections.Counter()
            )
            outcome = await endings.exchange(port)
            nursery.cancel_scope.cancel()
        context.outcomes[kind, way] = outcome
        context.asked[kind] += sum(len(one.requests) for one in scripted)

    for kind, way in itertools.product(ways.KINDS, ways.WAYS):
        trio.run(run, kind, way)


@behave.then("each is answered 502, and no booking reached two upstreams")
def check_refused(context):
    _check_outcomes(context, dict.fromkeys(ways.KINDS, (502, True)))


@behave.then(
    "streams are cut off, the others answered 502, and no booking reached two "
    "upstreams"
)
def check_cut_off(context):
    expected = dict.fromkeys(ways.KINDS, (502, True))
    _check_outcomes(context, {**expected, "stream": (200, False)})


def _check_outcomes(context, expected):
    """Check (status, whether the answer is complete) by kind of request."""
    for (kind, way), (status, body, is_complete) in context.outcomes.items():
        got = (status, is_complete)
        assert got == expected[kind], (kind, way, got, body)
    assert context.asked["booking"] == len(ways.WAYS), context.asked


@behave.then("each gets the whole answer")
def check_whole(context):
    for sent, outcome in context.outcomes.items():
        assert outcome == (200, EVENTS, True), (sent, outcome)


@behave.then("a probe of an upstream finds no answer")
def check_probe(context):
    async def run():
        upstream = RawUpstream(1, context.make_answer)
        router = ways.make_router([upstream], "repeatable")
        composition = types.SimpleNamespace(
            rules=router.rules, pool=router.pool, forwarder=router.forwarder
        )
        async with trio.open_nursery() as nursery:
            await router.open(nursery)
            found = await platform_composition.Components.probe(
                composition, upstream.register(), PROBE_SECONDS
            )
            nursery.cancel_scope.cancel()
        assert upstream.requests and not found

    trio.run(run)


async def _fetch(client, upstream):
    """Return the body that the client for chats and services fetches."""
    call = ports.Call("GET", "/", [], b"", TIMEOUT_SECONDS)
    return (await client.fetch(upstream, call)).body


async def _read_events(client, upstream):
    """Return the data of the events that the same client reads."""
    call = ports.Call("GET", "/", [], b"", TIMEOUT_SECONDS)
    async with client.stream(upstream, call) as (_, _, events):
        return [event.data async for event in events]


def _run_client(context, read):
    """Return what a function of (client, upstream) reads; None for no answer.

    It is run with an HttpUpstreamClient and an upstream of the scenario.
    """

    async def run():
        upstream = RawUpstream(1, context.make_answer)
        client = upstreams.HttpUpstreamClient()
        found = None
        async with trio.open_nursery() as nursery:
            await routers.start_upstreams(nursery, [upstream])
            with trio.fail_after(TIMEOUT_SECONDS):
                with contextlib.suppress(ports.AttemptError):
                    found = await read(client, upstream.register())
            nursery.cancel_scope.cancel()
        await client.close()
        assert upstream.requests
        return found

    return trio.run(run)


@behave.then("the client for chats and services takes it for no answer")
def check_client(context):
    for read in (_fetch, _read_events):
        found = _run_client(context, read)
        assert found is None, (read, found)


@behave.then("so does the client for chats and services")
def check_client_whole(context):
    assert _run_client(context, _fetch) == EVENTS
    assert len(_run_client(context, _read_events)) == 3


def _read_status(context):
    """Return the status that the operators' client reads; None for none."""

    def read(address):
        client = api_client.Client([address], "")
        try:
            return client.read("/status")
        except errors.UnreachableError:
            return None

    async def run():
        upstream = RawUpstream(
            1, lambda headers: context.make_answer(headers, STATUS)
        )
        async with trio.open_nursery() as nursery:
            await routers.start_upstreams(nursery, [upstream])
            address = f"127.0.0.1:{upstream.port}"
            found = await trio.to_thread.run_sync(read, address)
            nursery.cancel_scope.cancel()
        assert upstream.requests
        return found

    return trio.run(run)


@behave.then("the operators' client takes it for no answer")
def check_operators_client(context):
    found = _read_status(context)
    assert found is None, found


@behave.then("so does the operators' client")
def check_operators_client_whole(context):
    assert _read_status(context) == json.loads(STATUS)
