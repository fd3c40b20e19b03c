"""Step definitions for the cost of requests and the speed of upstreams."""

import contextlib
import types

import behave
import trio

from camphorhook_common import log_limits
from camphorhook_common import logs
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.platform import protocol
from camphorhook_daemon import platform_composition
from tests.harness import routers
from tools.emulator import clocks


def read_load(context, text):
    """Read a load header; count the lines that are logged."""
    head = connection_pool.Head(200, [("x-server-load", text)])
    log, logs.log = logs.log, lambda *a, **k: context.lines.append(a)
    try:
        return protocol.read_head_info(head)
    finally:
        logs.log = log


@behave.when("an answer has the load header {text}")
def read_one(context, text):
    context.lines = []
    protocol._load_log = log_limits.LimitedLog()
    context.head_info = read_load(context, text)


@behave.then(
    "the load read is {load}, the slowdown {slowdown}, with {lines:d} lines"
)
def check_load(context, load, slowdown, lines):
    info = context.head_info
    found = "none" if info.load is None else "{},{}".format(*info.load)
    assert found == load, info
    found = "none" if info.slowdown is None else f"{info.slowdown:g}"
    assert found == slowdown, info
    assert len(context.lines) == lines, context.lines


@behave.when(
    "{count:d} answers within {seconds:g} seconds have the load header {text}"
)
def read_many(context, count, seconds, text):
    context.lines = []
    times = iter(seconds * number / count for number in range(count))
    protocol._load_log = log_limits.LimitedLog(lambda: next(times))
    for _ in range(count):
        read_load(context, text)


@behave.then("{lines:d} line is logged")
def check_lines(context, lines):
    assert len(context.lines) == lines, context.lines


async def read_nothing():
    """Return the end of a body."""
    return b""


class HealthPool:
    """A pool whose upstreams answer with a load header."""

    def __init__(self, text):
        self._text = text

    @contextlib.asynccontextmanager
    async def open(self, target, call):
        """Yield an answer without a body."""
        yield types.SimpleNamespace(
            head=connection_pool.Head(200, [("x-server-load", self._text)]),
            read_chunk=read_nothing,
        )


@behave.given("an entry instance with {count:d} upstreams")
def set_count(context, count):
    context.count = count


@behave.when(
    "upstream {number:d} answers a health check with the load header {text}"
)
def answer_health(context, number, text):
    async def play():
        router = routers.Router(context.count, False)
        components = types.SimpleNamespace(
            rules=router.rules,
            pool=HealthPool(text),
            forwarder=router.forwarder,
        )
        upstream = router.upstreams[number - 1].register()
        await platform_composition.Components.probe(components, upstream, 1.0)
        health = router.selector.health[upstream.name]
        context.reported = health.estimate_reported(trio.current_time())

    clocks.run_simulated(1, play)


@behave.then("its reported load is {load:g}")
def check_reported(context, load):
    assert context.reported == load, context.reported
