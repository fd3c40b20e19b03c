"""Step definitions for messages that can't be encoded or applied."""

import time
import types

import behave
import trio

from camphorhook_common import clock
from camphorhook_common import errors
from camphorhook_common import settings
from camphorhook_common import wire
from camphorhook_daemon.adapters import notices as exchanges
from camphorhook_daemon.adapters import peers
from camphorhook_daemon.domain.routing import publishing
from camphorhook_daemon import platform_composition
from camphorhook_daemon.ports import notices
from tests.features.steps import dissemination

TOO_LARGE = 2**64
PORT = 30370
TIMEOUT_SECONDS = 5.0
TIMING = platform_composition.LINK_TIMING
NAMES = ("first", "second")


def find_endpoint(context, name):
    """Return the settings.Endpoint of an instance of the scenario."""
    address = f"127.0.{context.slot + 10}.91"
    return settings.Endpoint(address, PORT + NAMES.index(name))


def make_notice(sender, requests):
    """Return a notice of so many requests on an upstream."""
    return wire.Notice(
        sender, [wire.UpstreamLoad("upstream", requests, 0)], [], []
    )


@behave.given("two instances that exchange notices, of which the first {does}")
def set_fault(context, does):
    context.does = does


@behave.when("the first one publishes again and again")
def publish_notices(context):
    first, second = (
        dissemination.Instance(name, time.monotonic) for name in NAMES
    )
    sender, reader = (
        exchanges.NoticeExchange(
            name,
            find_endpoint(context, name),
            lambda one: find_endpoint(context, one),
            TIMING,
        )
        for name in NAMES
    )
    context.received = []
    faults = [context.does] * 3
    disseminator = first.disseminator
    forwarder = types.SimpleNamespace(changed=trio.Event())

    def is_faulty(does):
        return does in faults and faults.pop()

    def make():
        if is_faulty("fails to make three of them"):
            raise RuntimeError("a fault of the test")
        if is_faulty("makes three that can't be encoded"):
            return make_notice("first", TOO_LARGE)
        return make_notice("first", 5)

    def apply(message):
        if is_faulty("makes three that the second fails on"):
            raise RuntimeError("a fault of the test")
        context.received.append(message)

    async def run():
        disseminator.make_notice = make
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.receive, apply)
            nursery.start_soon(
                publishing.publish_notices,
                forwarder,
                disseminator,
                lambda: dict.fromkeys(NAMES, "zone"),
                sender,
            )
            with trio.fail_after(TIMEOUT_SECONDS):
                while faults or not context.received:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    try:
        sender.open()
        reader.open()
        reader.follow(notices.NOTICE, NAMES)
        trio.run(run)
    finally:
        sender.close()
        reader.close()


@behave.then("the second one gets the notices that follow")
def check_received(context):
    assert context.received[0] == make_notice("first", 5), context.received


@behave.when("a relay fails to make one of its summaries")
def publish_summaries(context):
    made = []
    published = []

    def make():
        made.append(1)
        if len(made) == 1:
            raise RuntimeError("a fault of the test")
        return [wire.Summary("first", "zone", "group", 1, b"", [])]

    disseminator = types.SimpleNamespace(
        compute_summary_interval=lambda: 0.01,
        plan=types.SimpleNamespace(is_relay=True),
        make_summaries=make,
    )
    exchange = types.SimpleNamespace(
        publish=lambda topic, message: published.append(message)
    )

    async def run():
        with trio.move_on_after(0.2):
            await publishing.publish_summaries(disseminator, exchange)

    trio.run(run)
    context.received = published


@behave.then("it publishes the next ones")
def check_published(context):
    assert context.received


@behave.when("the first calls the second, and {what} can't be encoded")
def call(context, what):
    transports = [
        peers.PeerTransport(
            name,
            find_endpoint(context, name),
            peers.NullSecurity(),
            clock.HybridClock(time.time),
            types.SimpleNamespace(count_control=lambda *_: None),
            TIMING,
            lambda one: find_endpoint(context, one),
        )
        for name in NAMES
    ]

    async def answer(message):
        is_faulty = what == "the reply" and message.term == 1
        return wire.TimeoutNowReply(TOO_LARGE if is_faulty else message.term)

    async def run():
        first, second = transports
        async with trio.open_nursery() as nursery:
            for transport in transports:
                transport.open(answer)
                nursery.start_soon(transport.run)
            term = TOO_LARGE if what == "the message" else 1
            try:
                await first.call("second", wire.TimeoutNow(term), 2.0)
                context.error = None
            except errors.UnreachableError as error:
                context.error = error
            context.reply = await first.call("second", wire.TimeoutNow(2), 2.0)
            nursery.cancel_scope.cancel()

    try:
        trio.run(run)
    finally:
        for transport in transports:
            transport.close()


@behave.then("the call fails as if it had not arrived, and the next succeeds")
def check_call(context):
    assert "can't be encoded" in context.error.message, context.error
    assert context.reply == wire.TimeoutNowReply(2), context.reply
