"""Step definitions for errors of the upstream that takes up a stream."""

import behave
import trio

from tests.features.steps import connections
from tests.features.steps import endings
from tests.harness import routers
from tests.standins import broken_answers

SECRET = b"the-error-itself"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
LINES = {200: b"200 OK", 204: b"204 No Content"}
TIMEOUT_SECONDS = 3.0
FRAMINGS = ("chunks", "neither length nor chunks", "a length")


def make_error(shape, request):
    """Return the bytes of an answer, as the steps name it."""
    echo = b"X-Request-Id: %b\r\n" % request.encode()

    def make(status, more=b"", body=SECRET):
        line = LINES.get(status, b"%d Error" % status)
        length = b"Content-Length: %d\r\n" % len(body)
        head = b"HTTP/1.1 %b\r\n" % line + echo + more
        return head + (b"" if CHUNKED in more else length) + b"\r\n" + body

    def make_chunked(body):
        return make(200, EVENT_STREAM + CHUNKED, body)

    whole = b"HTTP/1.1 500 Error\r\n\r\n" + SECRET
    return {
        "500": lambda: make(500),
        "500 with an event": lambda: make(500, EVENT_STREAM, b"data: x\n\n"),
        "503, not run": lambda: make(503, b"X-Not-Executed: 1\r\n"),
        "503": lambda: make(503),
        "421": lambda: make(421),
        "400": lambda: make(400),
        "200 in JSON": lambda: make(
            200, b"Content-Type: application/json\r\n", b'{"error":1}'
        ),
        "200 in plain text": lambda: make(
            200, b"Content-Type: text/plain\r\n"
        ),
        "204": lambda: b"HTTP/1.1 204 No Content\r\n" + echo + b"\r\n",
        "a head that breaks off": lambda: make(500)[:30],
        "a head in the body": lambda: make(200, EVENT_STREAM, whole),
        "a head in a chunk": lambda: make_chunked(
            b"%x\r\n%b\r\n0\r\n\r\n" % (len(whole), whole)
        ),
        "broken chunks": lambda: make_chunked(b"zz\r\n" + SECRET),
        "an event of type error": lambda: make(
            200, EVENT_STREAM, b"event: error\ndata: " + SECRET + b"\n\n"
        ),
        "no length": lambda: b"HTTP/1.1 500 Error\r\n"
        + echo
        + b"\r\n"
        + SECRET,
        "two errors": lambda: make(500) + make(503),
        "an error without id": lambda: whole,
        "no HTTP": lambda: SECRET,
        "nothing": lambda: b"",
    }[shape]()


class FailingUpstream(endings.StreamUpstream):
    """An upstream whose stream breaks off, and that takes up none.

    Attributes:
        shape: how it answers a request that takes up a stream.
    """

    def __init__(self, number, framing, shape):
        super().__init__(
            number, framing, "inside an event", "text/event-stream"
        )
        self.shape = shape

    async def serve(self, stream):
        """Answer one request and close the connection."""
        async with stream:
            fields = await broken_answers.read_head(stream)
            request = fields["x-request-id"]
            self.requests.append(request)
            if "last-event-id" in fields:
                await stream.send_all(make_error(self.shape, request))
                return
            body = connections.make_events(1, endings.EVENTS_BEFORE_END)
            await self._send(
                stream, request, body + endings.RESTS[self.ending]
            )


@behave.given("upstreams that take up a stream with the error: {shape}")
def set_shape(context, shape):
    context.shape = shape


@behave.when("clients request streams that may be resumed, in each framing")
def request_streams(context):
    context.outcomes = []

    async def run(framing, version):
        async with trio.open_nursery() as nursery:
            router = routers.Router(2, True)
            router.upstreams = [
                FailingUpstream(number, framing, context.shape)
                for number in (1, 2)
            ]
            router.route = router.route._replace(
                is_stream=True, can_resume=True, timeout=TIMEOUT_SECONDS
            )
            await router.open(nursery)
            port = await router.listen(nursery)
            outcome = await endings.exchange(port, version, TIMEOUT_SECONDS)
            asked = sum(len(one.requests) for one in router.upstreams)
            context.outcomes.append((framing, version, asked, *outcome))
            nursery.cancel_scope.cancel()

    for framing in FRAMINGS:
        for version in ("1.1", "1.0"):
            trio.run(run, framing, version)


@behave.then(
    "each gets the events 1 to 3, nothing of the error, and is cut off"
)
def check_cut_off(context):
    events = connections.make_events(1, endings.EVENTS_BEFORE_END)
    for outcome in context.outcomes:
        _, _, asked, status, body, is_complete = outcome
        assert asked >= 2, outcome
        assert (status, body) == (200, events), outcome
        assert not is_complete, outcome
