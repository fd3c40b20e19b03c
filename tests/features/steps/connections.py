"""Step definitions for connections, with scripted peers on loopback."""

import contextlib
import struct

import behave
import trio
from trio import testing

from camphorhook_common import settings as settings_module
from camphorhook_daemon.adapters import client_guard
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.adapters import listeners
from camphorhook_daemon.domain.routing import events
from camphorhook_daemon.domain.routing import stream_relay
from camphorhook_daemon.ports import upstreams as ports
from tests.harness import routers

LIMITS = listeners.Limits(1000, 100, 0.3, 0.6)
TIMEOUT_SECONDS = 5.0
UNREAD_SECONDS = 0.3
UNREAD_ANSWER = b"x" * 16_000_000  # above what sockets buffer
PIPELINED_BYTES = 40_000  # more than is read ahead; fits the socket's buffer
HTTP = b"HTTP/1.1 "


class Target:
    """The name and the address of a scripted upstream."""

    def __init__(self, port):
        self.name = "upstream"
        self.address = "127.0.0.1"
        self.port = port


def make_answer(number, extra=b"", body=None):
    """Return a valid answer to request `number`."""
    body = body if body is not None else b"body %d" % number
    return (
        HTTP
        + b"200 OK\r\nX-Request-Id: %d\r\n" % number
        + extra
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


OPEN_HEAD = HTTP + b"200 OK\r\nX-Request-Id: 1\r\n"
MALFORMED_ANSWERS = {
    "an answer cut off": OPEN_HEAD + b"Content-Length: 9\r\n\r\nhalf",
    "a chunked answer cut off": OPEN_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    "no HTTP": b"\x00\x01\x02 garbage\r\n\r\n",
    "an immediate close": b"",
}


async def serve_script(stream, script, count):
    """Answer the requests of one connection according to a script.

    Args:
        stream: the connection.
        script: how the first request is answered, as the step names it.
        count: list to which each received request is appended.
    """
    while True:
        data = b""
        while b"\r\n\r\n" not in data:
            piece = await stream.receive_some()
            if not piece:
                return
            data += piece
        count.append(data)
        number = len(count)
        if number > 1:
            late = make_answer(1) if script == "a second answer late" else b""
            await stream.send_all(late + make_answer(number))
            continue
        if script in MALFORMED_ANSWERS:
            await stream.send_all(MALFORMED_ANSWERS[script])
            return
        if script == "an answer without length":
            await stream.send_all(OPEN_HEAD + b"\r\nbody 1")
            return
        if script == "an answer reset without length":
            await stream.send_all(OPEN_HEAD + b"\r\nbody 1")
            await trio.sleep(0.1)
            stream.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SO_LINGER
            return
        extra = b""
        if script == "a Connection: close header":
            extra = b"Connection: close\r\n"
        answer = make_answer(1, extra)
        if script == "a second answer at once":
            answer += make_answer(1)
        if script == "bytes after the answer":
            answer += b"leftover"
        await stream.send_all(answer)
        if script == "a close while idle":
            return


async def fetch(pool, target, number, body):
    """Return `complete`, or `broken` where the attempt failed."""
    call = ports.Call(
        "POST",
        "/",
        [("x-request-id", str(number))],
        body,
        2.0,
        request_id=str(number),
    )
    data = b""
    try:
        async with pool.open(target, call) as answer:
            while piece := await answer.read_chunk():
                data += piece
    except ports.AttemptError as error:
        assert error.sent
        return "broken"
    assert data == b"body %d" % number, data
    return "complete"


@behave.given("an upstream that answers with {script}")
def set_script(context, script):
    context.script = script


@behave.when("two requests are sent to it one after the other")
def send_two(context):
    script = context.script
    body = b"x" * 4_000_000 if script == "an answer before the body" else b"x"

    async def run():
        pool = connection_pool.ConnectionPool()
        count = []

        async def serve(stream):
            async with stream:
                await serve_script(stream, script, count)

        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                opened = await nursery.start(trio.serve_tcp, serve, 0)
                port = opened[0].socket.getsockname()[1]
                target = Target(port)
                first = await fetch(pool, target, 1, body)
                await trio.sleep(0.05)
                second = await fetch(pool, target, 2, b"x")
                nursery.cancel_scope.cancel()
        context.results = (first, second, pool.opened)

    trio.run(run)


@behave.then("the first gives {first} and the second gives {second}")
def check_results(context, first, second):
    assert context.results[:2] == (first, second), context.results


@behave.then("it was connected to {count:d} times")
def check_connections(context, count):
    assert context.results[2] == count, context.results


GOOD_REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
CLIENT_BYTES = {
    "a valid request": GOOD_REQUEST,
    "a chunked body": b"POST /a HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    "two requests at once": GOOD_REQUEST + GOOD_REQUEST,
    "a head of 2000 bytes": b"GET / HTTP/1.1\r\nHost: h\r\nX: "
    + b"x" * 2000
    + b"\r\n\r\n",
    "a body of 200 bytes": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 200\r\n\r\n" + b"x" * 200,
    "a length of 200 bytes": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 200\r\n\r\n",
    "two lengths": b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
    b"Content-Length: 3\r\n\r\nabc",
    "a bad chunk": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
    "no HTTP": b"\x16\x03\x01 hello\r\n\r\n",
    "half a head, then nothing": b"GET / HTTP/1.1\r\nHo",
    "half a body, then nothing": GOOD_REQUEST[:-1],
    "a body that ends early": GOOD_REQUEST[:-1],
    "nothing": b"",
    "a slow request": b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n",
    "an unread request": b"GET /unread HTTP/1.1\r\nHost: h\r\n\r\n",
    "a brief request": b"GET /brief HTTP/1.1\r\nHost: h\r\n\r\n",
}
HANDLING_SECONDS = {
    "/slow": 1.0,
    "/brief": 0.02,
    "/unread": 0.0,
}  # by path


class Server:
    """A Listener that counts the requests it handles."""

    def __init__(self, checks_body=True, headers=()):
        self._checks_body = checks_body
        self._headers = headers
        self.handled = 0
        self.cancelled_at = None
        self.listener = None
        self.port = 0

    async def handle(self, exchange):
        """Answer a request, after the delay that belongs to its path."""
        self.handled += 1
        if exchange.target in HANDLING_SECONDS:
            try:
                await trio.sleep(HANDLING_SECONDS[exchange.target])
                if exchange.target == "/unread":
                    await exchange.send_answer(200, [], UNREAD_ANSWER)
            except trio.Cancelled:
                self.cancelled_at = trio.current_time()
                raise
        elif self._checks_body:
            assert exchange.body == b"ab", exchange.body
        await exchange.send_answer(200, self._headers, b"done")

    async def start(self, nursery):
        """Listen on a free port."""
        with trio.socket.socket() as probe:
            await probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.listener = listeners.Listener(
            settings_module.Endpoint("127.0.0.1", self.port),
            self.handle,
            lambda: LIMITS,
            lambda: False,
            client_guard.ClientGuard(unread_seconds=UNREAD_SECONDS),
        )
        await nursery.start(self.listener.run)

    async def connect(self, sent):
        """Return a connection after sending bytes on it."""
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        if sent:
            await stream.send_all(sent)
        return stream


def run_with_server(context, act, seconds=TIMEOUT_SECONDS, **options):
    """Run an async function on a Server; keep its result as the outcome.

    Args:
        context: behave's context.
        act: async function that takes the Server.
        seconds: time limit of the whole run.
        **options: arguments of the Server.
    """

    async def run():
        with trio.fail_after(seconds):
            async with trio.open_nursery() as nursery:
                server = Server(**options)
                await server.start(nursery)
                context.outcome = await act(server)
                nursery.cancel_scope.cancel()

    trio.run(run)


async def read_all(stream):
    """Return the bytes received until the connection ends or 1.5 s pass."""
    data = b""
    try:
        with trio.move_on_after(1.5):
            while piece := await stream.receive_some():
                data += piece
    except trio.BrokenResourceError:
        return data
    return data


@behave.given(
    "a server that accepts heads of 1000 bytes and bodies of 100 bytes"
)
def reset_outcome(context):
    context.outcome = None


@behave.when("the client sends the raw bytes of: {what}")
def send_bytes(context, what):
    async def act(server):
        stream = await server.connect(CLIENT_BYTES[what])
        if what in ("a body that ends early", "nothing"):
            await stream.send_eof()
        data = await read_all(stream)
        words = data.split(b" ")
        status = words[1].decode() if len(words) > 1 else "none"
        return status, server.handled

    run_with_server(context, act)


@behave.then("it gets status {status} and {count:d} requests are handled")
def check_status(context, status, count):
    assert context.outcome == (status, count), context.outcome


@behave.when("a client sends a slow request and disconnects")
def send_and_leave(context):
    async def act(server):
        stream = await server.connect(CLIENT_BYTES["a slow request"])
        while not server.handled:
            await trio.sleep(0.01)
        left_at = trio.current_time()
        await stream.aclose()
        while server.cancelled_at is None:
            await trio.sleep(0.01)
        return server.cancelled_at - left_at

    run_with_server(context, act)


@behave.when("a client pipelines more than is read ahead and disconnects")
def pipeline_and_leave(context):
    async def act(server):
        stream = await server.connect(CLIENT_BYTES["a slow request"])
        with trio.move_on_after(0.2):
            await stream.send_all(b"x" * PIPELINED_BYTES)
        left_at = trio.current_time()
        await stream.aclose()
        while server.cancelled_at is None:
            await trio.sleep(0.01)
        return server.cancelled_at - left_at

    run_with_server(context, act)


@behave.when("a client does not read a large answer")
def leave_unread(context):
    async def act(server):
        stream = await server.connect(CLIENT_BYTES["an unread request"])
        began = trio.current_time()
        while server.cancelled_at is None:
            await trio.sleep(0.01)
        await stream.aclose()
        assert server.cancelled_at - began >= UNREAD_SECONDS
        return server.cancelled_at - began

    run_with_server(context, act)


@behave.then("the request is cancelled within {seconds:f} seconds")
def check_cancelled(context, seconds):
    assert context.outcome < seconds, context.outcome


@behave.when("it closes with an idle connection and a slow request open")
def close_server(context):
    async def act(server):
        idle = await server.connect(b"")
        slow = await server.connect(CLIENT_BYTES["a slow request"])
        while not server.handled:
            await trio.sleep(0.01)
        server.listener.close()
        idle_end = await read_all(idle)
        answer = await slow.receive_some()
        try:
            await server.connect(b"")
        except OSError:
            return idle_end, answer[:12], "refused"
        return idle_end, answer[:12], "accepted"

    run_with_server(context, act)


@behave.then(
    "the idle connection ends, the request gets its answer, and no new "
    "connection is accepted"
)
def check_closed(context):
    assert context.outcome == (b"", b"HTTP/1.1 200", "refused")


@behave.when("{count:d} servers stop just as a request arrives")
def stop_at_request(context, count):
    async def act(server):
        stream = await server.connect(b"")
        await trio.sleep(0.01)
        # Sending makes both tasks runnable; trio picks one at random.
        await stream.send_all(CLIENT_BYTES["a brief request"])
        await listeners.drain([server.listener])
        return stream

    context.outcomes = []
    for _ in range(count):
        run_stopping(context, act)


def run_stopping(context, act):
    """Stop a server gracefully; record what the client received."""

    async def run():
        async with trio.open_nursery() as outer:
            async with trio.open_nursery() as nursery:
                server = Server()
                await server.start(nursery)
                stream = await act(server)
                nursery.cancel_scope.cancel()
            data = await read_all(stream)
            context.outcomes.append((server.handled, data[:12]))
            outer.cancel_scope.cancel()

    trio.run(run)


@behave.then("each request that was handled got its answer")
def check_stopped(context):
    handled = [one for one in context.outcomes if one[0]]
    assert handled, context.outcomes
    for _, data in handled:
        assert data == b"HTTP/1.1 200", context.outcomes


def make_events(first, last):
    """Return events with the ids from first to last."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1)
    )


@behave.then("events split at any byte are put together again in order")
def check_split(context):
    data = make_events(1, 3)
    for cut in range(len(data) + 1):
        whole, rest = events.split_events(data[:cut])
        assert not whole or whole.endswith(b"\n\n"), whole
        more, left = events.split_events(rest + data[cut:])
        assert whole + more == data and not left, cut


@behave.then("a resumed stream leaves out events up to the last one relayed")
def check_resumed(context):
    kept = events.drop_known_events(make_events(2, 5), "3")
    assert kept == make_events(4, 5), kept
    assert events.find_last_id(kept, "") == "5"


class ScriptedStream:
    """An upstream's stream and its client, with pauses in seconds.

    The pause before each piece is the same, or an entry of a list.
    """

    def __init__(self, pieces, pause=0.0, send_pause=0.0):
        self._pieces = list(pieces)
        is_list = isinstance(pause, list)
        self._pauses = list(pause) if is_list else [pause] * len(pieces)
        self._send_pause = send_pause
        self.sent = b""

    async def read_chunk(self):
        """Return the next piece; None in the script is a pause of 60 s."""
        await trio.sleep(self._pauses.pop(0))
        piece = self._pieces.pop(0)
        if piece is None:
            await trio.sleep(60.0)
        return piece

    async def send_chunk(self, data):
        """Record events that are sent to the client."""
        await trio.sleep(self._send_pause)
        self.sent += data


def relay_script(script, position=None):
    """Relay a script; return (seconds, whether the upstream was silent)."""
    position = position or stream_relay.Position()

    async def run():
        timing = events.StreamTiming(0.0, trio.current_time)
        began = trio.current_time()
        is_silent = False
        try:
            await stream_relay.relay(script, script, position, timing)
        except stream_relay.StreamSilent:
            is_silent = True
        return trio.current_time() - began, is_silent

    return trio.run(run, clock=testing.MockClock(autojump_threshold=0))


@behave.when(
    "an upstream sends two events and then nothing, on a simulated clock"
)
def relay_silent_upstream(context):
    pieces = [make_events(1, 1), make_events(2, 2), None]
    context.outcome = relay_script(ScriptedStream(pieces, 1.5))


TRICKLES = {
    "a comment": b": ping\n\n",
    "a byte of an event": b"i",
    "an empty line": b"\n\n",
}


@behave.when(
    "an upstream sends two events and then {what} every {pause:g} seconds"
)
def relay_trickling_upstream(context, what, pause):
    pieces = [make_events(1, 1), make_events(2, 2)] + [TRICKLES[what]] * 9
    pauses = [1.5, 1.5] + [pause] * 9
    context.outcome = relay_script(ScriptedStream(pieces, pauses))


@behave.then("the silence is detected after {seconds:g} seconds")
def check_silence(context, seconds):
    # Each of the two events takes 1.5 s; the silence follows them.
    assert context.outcome == (2 * 1.5 + seconds, True), context.outcome


@behave.when("a client takes {seconds:g} seconds for each of two events")
def relay_to_slow_client(context, seconds):
    pieces = [make_events(1, 1), make_events(2, 2), b""]
    context.script = ScriptedStream(pieces, send_pause=seconds)
    context.outcome = relay_script(context.script)


@behave.then("the client receives both events")
def check_slow(context):
    assert context.outcome == (60.0, False), context.outcome
    assert context.script.sent == make_events(1, 2)


@behave.then(
    "after a silence a partly relayed event continues where it was cut"
)
def check_split_event(context):
    position = stream_relay.Position()
    first, second = make_events(1, 1), make_events(2, 2)
    script = ScriptedStream([first + second[:5], None])
    assert relay_script(script, position)[1]
    rest = ScriptedStream([second[5:], b""])
    relay_script(rest, position)
    assert script.sent + rest.sent == first + second, rest.sent


class ScriptedStreams:
    """A pool whose upstreams answer with six events, slowly or not at all.

    Attributes:
        upstreams: names of the upstreams that were asked, in order.
    """

    def __init__(self, pause, stalls):
        self._pause = pause
        self._stalls = stalls
        self.upstreams = []
        self.heard_at = {}

    def close_idle_to(self, upstream):
        """Do nothing: there are no connections."""

    @contextlib.asynccontextmanager
    async def open(self, target, call):
        """Yield a ScriptedAnswer that follows the last event sent."""
        self.upstreams.append(target.name)
        last = int(dict(call.headers).get("last-event-id", "0"))
        stalls = self._stalls and len(self.upstreams) == 1
        yield ScriptedAnswer(target.name, last, self._pause, stalls)


class ScriptedAnswer:
    """An answer with the events that follow a given one."""

    def __init__(self, upstream, last, pause, stalls):
        self.upstream = upstream
        self.is_first_use = True
        self.head = connection_pool.Head(200, [])
        self._next = last + 1
        self._pause = pause
        self._due = trio.current_time() + pause
        self._stalls = stalls

    async def read_chunk(self):
        """Return the next event; only comments after a stall."""
        await trio.sleep_until(self._due)  # it may be cancelled and repeated
        self._due += self._pause
        if self._stalls and self._next > 2:
            return b": waiting\n\n"
        if self._next > 6:
            return b""
        self._next += 1
        return make_events(self._next - 1, self._next - 1)


class StreamClient(routers.Client):
    """Receives a stream."""

    async def start(self, status, _headers):
        """Receive the head."""
        self.status = status

    async def send_chunk(self, data):
        """Receive events."""
        self.body += data

    async def finish(self):
        """Note the complete end."""
        self.is_complete = True


@behave.when(
    "a stream's upstreams send an event every {pause:g} seconds, {behavior}"
)
def relay_scripted_stream(context, pause, behavior):
    context.pool = ScriptedStreams(pause, "stalls" in behavior)
    context.client = StreamClient()

    async def run():
        router = routers.Router(3, True, context.pool)
        router.route = router.route._replace(
            is_stream=True, can_resume=True, timeout=30.0
        )
        router.register()
        await router.send(context.client)

    trio.run(run, clock=testing.MockClock(autojump_threshold=0))


@behave.then("the client gets all 6 events in order, from {count:d} upstreams")
def check_scripted_stream(context, count):
    body = context.client.body.replace(b": waiting\n\n", b"")
    assert body == make_events(1, 6), body
    assert context.client.is_complete
    asked = context.pool.upstreams
    assert len(asked) == len(set(asked)) == count, asked
