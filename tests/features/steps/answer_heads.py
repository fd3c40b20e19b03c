"""Step definitions for connections that end within an answer's head."""

import collections

import behave
import trio

from tests.features.steps import connections
from tests.features.steps import endings
from tests.harness import routers
from tests.standins import broken_answers
from tests.standins import resets

EVENTS = 3
LAST_BYTE_HEADER = "x-last-byte"  # after which the first head ends
WHOLE = 10**6  # bytes, more than any head
RESET_DELAY_SECONDS = 0.002  # for the bytes to be read before the reset
FRAMINGS = {
    "a length": "Content-Length: {size}\r\n",
    "chunks": "Transfer-Encoding: chunked\r\n",
    "neither length nor chunks": "",
}


class BreakingUpstream(routers.ScriptedUpstream):
    """An upstream whose first answer to each request ends within its head.

    Attributes:
        framing: what marks the end of a body, as the steps name it.
        has_id: whether answers repeat the request's id.
        answered: ids of requests that any upstream has answered.
    """

    def __init__(self, number, framing, has_id, answered):
        super().__init__(number)
        self.framing = framing
        self.has_id = has_id
        self.answered = answered

    def make_head(self, request):
        """Return the head of the answer to a request."""
        line = f"X-Request-Id: {request}\r\n" if self.has_id else ""
        framing = FRAMINGS[self.framing].format(size=len(make_body()))
        return (
            f"HTTP/1.1 200 OK\r\n{line}X-Response-Seal: seal\r\n"
            f"Content-Type: text/event-stream\r\n{framing}\r\n"
        ).encode()

    async def serve(self, stream):
        """Answer the requests of one connection, until a head breaks off."""
        async with stream:
            while True:
                try:
                    fields = await broken_answers.read_head(stream)
                except EOFError:
                    return
                request = fields["x-request-id"]
                last = int(fields[LAST_BYTE_HEADER])
                self.requests.append(request)
                head, body = self.make_head(request), make_body()
                if self.framing == "chunks":
                    body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
                is_first = request not in self.answered
                self.answered.add(request)
                if is_first and last < len(head):
                    await stream.send_all(head[:last])
                    if last % 4 > 1:
                        await trio.sleep(RESET_DELAY_SECONDS)
                        resets.set_reset_on_close(stream)
                    return
                await stream.send_all(head + body)
                if not FRAMINGS[self.framing]:
                    return


def make_body():
    """Return the whole body of every answer."""
    return connections.make_events(1, EVENTS)


async def _request(port, request, last):
    """Send a request; return (status, body, whether it is complete)."""
    more = f"{LAST_BYTE_HEADER}: {last}\r\n"
    return await endings.exchange(port, request=request, more=more)


@behave.given("2 upstreams whose answers have {framing} and an id: {has_id}")
def set_upstreams(context, framing, has_id):
    context.answered = set()
    context.upstreams = [
        BreakingUpstream(number, framing, has_id == "yes", context.answered)
        for number in (1, 2)
    ]


@behave.when(
    "clients send {kind} requests, and each head ends after another byte"
)
def send_requests(context, kind):
    context.outcomes = []

    async def run():
        async with trio.open_nursery() as nursery:
            router = routers.Router(2, True)
            router.upstreams = context.upstreams
            router.route = router.route._replace(
                is_stream=kind in ("stream", "resumable"),
                is_idempotent=kind in ("safe", "resumable"),
                can_resume=kind == "resumable",
                attempts=3,
            )
            await router.open(nursery)
            port = await router.listen(nursery)
            size = len(context.upstreams[0].make_head("r000"))
            for last in range(size):
                if last % 2 and context.upstreams[0].has_id:
                    # Its connection is kept for the next request.
                    await _request(port, f"w{last:03}", WHOLE)
                else:
                    router.pool.close_idle()
                context.outcomes.append(
                    await _request(port, f"r{last:03}", last)
                )
                router.selector.forgive()
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("each gets the whole answer of another upstream, or an error")
def check_outcomes(context):
    counts = collections.Counter()
    for last, (status, body, is_complete) in enumerate(context.outcomes):
        counts[status, is_complete] += 1
        if status == 200 and is_complete:
            assert body == make_body(), (last, body)
        else:
            assert status in (200, 502), (last, status, body)
    print(dict(counts))


@behave.then("at most {times:d} upstreams got each request")
def check_times(context, times):
    got = collections.Counter(
        request for one in context.upstreams for request in one.requests
    )
    assert max(got.values()) <= times, got.most_common(3)
