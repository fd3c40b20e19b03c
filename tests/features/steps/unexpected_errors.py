"""Step definitions for unexpected errors of the instance's own code."""

import collections
import unittest.mock

import behave
import trio

from camphorhook_daemon.domain.routing import table as tables
from camphorhook_daemon.platform import entry
from tests.features.steps import endings
from tests.harness import routers
from tests.harness import ways

TIMEOUT_SECONDS = 10.0


def fail(*_arguments, **_options):
    """Raise an error that no caller expects."""
    raise RuntimeError("a fault of the test")


def make_failure(router, what):
    """Return a context manager in which a step of an instance fails."""
    patch = unittest.mock.patch.object
    if what == "encoding a header for the upstream":
        account = tables.Account("高", None, "高")
        return unittest.mock.patch.dict(router.table._accounts, key=account)
    elsewhere = router.forwarder._elsewhere
    owner, name = {
        "choosing the upstream": (router.selector, "choose"),
        "writing headers for the upstream": (
            router.forwarder._protocol,
            "make_headers",
        ),
        "writing headers for another instance": (
            elsewhere._protocol,
            "make_headers",
        ),
        "reading the request": (entry, "read_arrival"),
        "recording that the answer has begun": (router.counts, "observe"),
    }[what]
    return patch(owner, name, fail)


@behave.given("an instance in which {what} fails")
def set_step(context, what):
    context.what = what


@behave.when("a client sends a booking")
def send_booking(context):
    context.attempts = collections.Counter()
    context.upstreams = [routers.ScriptedUpstream(n) for n in (1, 2)]

    def count(name, outcome="", **_attributes):
        if name == "attempts_total":
            context.attempts[outcome] += 1

    async def run():
        async with trio.open_nursery() as nursery:
            router = ways.make_router(context.upstreams, "booking")
            router.counts.add = count
            await router.open(nursery)
            if "another instance" in context.what:
                router.use_gateway(1)
            port = await router.listen(nursery)
            with trio.fail_after(TIMEOUT_SECONDS):
                with make_failure(router, context.what):
                    context.answer = await endings.exchange(port)
                context.reached = count_requests(context)
                context.failures = +context.attempts
                if "another instance" in context.what:
                    router.gateways.links.may_send = lambda request: True
                context.next_answer = await endings.exchange(port)
            nursery.cancel_scope.cancel()

    trio.run(run)


def count_requests(context):
    """Return how many requests reached the upstreams."""
    return sum(len(one.requests) for one in context.upstreams)


@behave.then(
    "it is answered {status:d}, and {count:d} bookings reached an upstream"
)
def check_answer(context, status, count):
    assert context.answer[0] == status, context.answer
    assert context.answer[2], context.answer
    assert context.reached == count, context.reached


@behave.then("no upstream is taken to have failed")
def check_upstreams(context):
    assert not context.failures, context.failures


@behave.when("that works again and the client sends another booking")
def send_again(context):
    context.answer = context.next_answer


@behave.then("it is answered 200")
def check_next_answer(context):
    assert context.answer[0] == 200, context.answer
