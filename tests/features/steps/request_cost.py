"""Step definitions for the cost of requests and the speed of upstreams."""

import collections
import contextlib
import random
import types

import behave
import trio

from camphorhook_common import log_limits
from camphorhook_common import logs
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.domain.routing import choice
from camphorhook_daemon.domain.routing import speeds
from camphorhook_daemon.platform import protocol
from camphorhook_daemon import platform_composition
from tests.features.steps import placing
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


@behave.given(
    "upstream {number:d} has {requests:d} requests and a slowdown of "
    "{slowdown:g}"
)
def set_state(context, number, requests, slowdown):
    name = f"engine-{number}"
    context.loads[name] = choice.Load(requests)
    context.slowdowns = getattr(context, "slowdowns", {})
    context.slowdowns[name] = slowdown


@behave.when("a plain request is placed by expected end")
def place_plain(context):
    chosen = choice.choose_plain(
        choice.Demand("request", ()),
        context.upstreams,
        dict.fromkeys(context.loads, 0.0),
        context.loads,
        "zone-9",
        context.slowdowns,
    )
    context.chosen = chosen.upstream.name


@behave.then("it goes to engine {first:d} or {second:d}")
def check_either(context, first, second):
    assert context.chosen in (f"engine-{first}", f"engine-{second}")


@behave.given(
    "upstream 1 reported a slowdown of {slowdown:g} {age:g} seconds ago"
)
def report_speed(context, slowdown, age):
    context.speeds = speeds.Speeds()
    context.speeds.record("engine-1", slowdown, 100.0)
    context.now = 100.0 + age


@behave.then("its slowdown counts as {least:g} to {most:g}")
def check_speed(context, least, most):
    found = context.speeds.estimate("engine-1", context.now)
    assert least - 1e-6 <= found <= most + 1e-6, found


@behave.when("only upstreams 2 and 3 are registered")
def retain_speeds(context):
    context.speeds.retain({"engine-2", "engine-3"})


@behave.then("no speed is known")
def check_no_speed(context):
    assert not context.speeds.are_reported(["engine-1"], context.now)


@behave.then(
    "{work:g} ms of work at an upstream with a slowdown of {slowdown:g} lose "
    "{delay:g} ms"
)
def check_delay(context, work, slowdown, delay):
    found = speeds.estimate_delay(work, slowdown)
    assert abs(found - delay) < 1e-6, found


@behave.then(
    "{count:d} random {kind:w} requests are placed alike with and without "
    "speeds"
)
def compare_choices(context, count, kind):
    draws = random.Random(7)
    health = collections.defaultdict(choice.UpstreamHealth)
    for number in range(count):
        upstreams = [placing.make_upstream(n) for n in range(20)]
        names = [one.name for one in upstreams]
        loads = {
            name: choice.Load(draws.randrange(80), draws.randrange(30000))
            for name in names
        }
        demand = choice.Demand(f"r{number}", (("part", 9000), ("own", 300)))

        def place(slowdowns):
            if kind == "plain":
                rates = {name: 0.1 for name in names}
                return choice.choose_plain(
                    demand, upstreams, rates, loads, "zone-1", slowdowns
                )
            mean = choice.find_mean(loads, health, 0.0)
            return choice.choose_engine(
                demand, upstreams, loads, names[:4], mean, (), slowdowns
            )

        assert place(None) == place(dict.fromkeys(names, 1.0)), number
