"""Step definitions for answers that come while the request is being sent."""

import collections

import behave
import trio

from tests.features.steps import connections
from tests.features.steps import endings
from tests.harness import routers
from tests.harness import ways
from tests.standins import broken_answers

UPLOAD = b"u" * broken_answers.UPLOAD_BYTES
PART = b"the begin of an answer that does not go on"
EVENTS = 3
BY_FAILING_INSTANCE = "by way of an instance that fails so"


class EarlyUpstream(routers.ScriptedUpstream):
    """An upstream that answers as soon as it has read a request's head.

    Attributes:
        framing: what marks the end of the body, as the steps name it.
        ending: how the connection ends, as the steps name it.
        body: what it sends of the body.
    """

    def __init__(self, number, framing, ending, body):
        super().__init__(number)
        self.framing = framing
        self.ending = ending
        self.body = body

    async def serve(self, stream):
        """Answer one request."""
        async with stream:
            try:
                fields = await broken_answers.read_head(stream)
            except EOFError:
                return
            self.requests.append(fields["x-request-id"])
            headers = f"X-Request-Id: {self.requests[-1]}\r\n"
            data = broken_answers.make_answer(self.framing, self.body, headers)
            await broken_answers.answer_early(stream, data, self.ending)


@behave.given(
    "upstreams that answer uploads with {framing} and end with {ending}"
)
def set_upstreams(context, framing, ending):
    context.framing = framing
    context.ending = ending


@behave.when("clients send {count:d} uploads as {kind} requests, {way}")
def send_uploads(context, count, kind, way):
    is_stream = kind == "stream"
    body = connections.make_events(1, EVENTS) if is_stream else PART
    context.body = body
    context.kind = kind
    context.outcomes = []
    context.attempts = collections.Counter()
    context.upstreams = [
        EarlyUpstream(number, context.framing, context.ending, body)
        for number in (1, 2)
    ]

    async def run():
        async with trio.open_nursery() as nursery:
            if way == BY_FAILING_INSTANCE:
                await routers.start_upstreams(nursery, context.upstreams)
                port = context.upstreams[0].port
                port = await ways.open_front(nursery, port, kind)
            else:
                port = await ways.open_way(
                    nursery, context.upstreams, kind, way, context.attempts
                )
            for number in range(count):
                outcome = await endings.exchange(
                    port, request=f"r{number}", upload=UPLOAD
                )
                context.outcomes.append(outcome)
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("no client gets a part as a whole answer, and each is answered")
def check_broken(context):
    counts = collections.Counter(
        (status, len(body), is_complete)
        for status, body, is_complete in context.outcomes
    )
    print(dict(counts))
    for status, _, is_complete in context.outcomes:
        # A refusal as not run would be false.
        expected = (502, True)
        if context.kind == "stream":
            expected = ((200, False), expected)
        else:
            expected = (expected,)
        assert (status, is_complete) in expected, counts


@behave.then("each attempt counts once, as a failure of its upstream")
def check_counted(context):
    asked = sum(len(one.requests) for one in context.upstreams)
    counted = sum(context.attempts.values())
    print(dict(context.attempts))
    assert counted == asked and not context.attempts["good"], asked


@behave.then("no booking reached more than one upstream")
def check_once(context):
    got = collections.Counter(
        request for one in context.upstreams for request in one.requests
    )
    assert context.kind != "booking" or max(got.values()) == 1, got


@behave.then("each client gets the answer, which is whole")
def check_whole(context):
    for outcome in context.outcomes:
        assert outcome == (200, context.body, True), outcome
