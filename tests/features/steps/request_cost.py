"""Step definitions for the cost of requests and the speed of upstreams."""

import collections
import contextlib
import math
import random
import types

import behave
import msgspec
import trio

from camphorhook_common import log_limits
from camphorhook_common import logs
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import choice
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import loads as fleet_loads
from camphorhook_daemon.domain.routing import speeds
from camphorhook_daemon.platform import protocol
from camphorhook_daemon import platform_composition
from tests.features.steps import placing
from tests.harness import routers
from tools.emulator import clocks
from tools.emulator import plans
from tools.emulator import trials


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
    work = costs.Estimate(0.0, 40.0).compute_work()
    context.loads[name] = choice.Load(requests, requests * work)
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
        choice.Forecast(context.slowdowns, costs.Estimate(0.0, 40.0)),
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


@behave.when(
    "{count:d} random {kind:w} requests are placed without and with speeds "
    "elsewhere"
)
def place_without(context, count, kind):
    """Place requests by a selector that knows speeds of other services."""
    draws = random.Random(7)

    async def play():
        router = routers.Router(20, kind == "engine")
        selector = router.selector
        router.catalog.registrations.update(
            (one.name, one.register()) for one in router.upstreams
        )

        def place(number):
            request = types.SimpleNamespace(
                request=f"r{number}",
                parts=(("part", 9000), ("own", 300)),
                route=router.route,
                hint=costs.Hint(100.0),
            )
            now = trio.current_time()
            return selector.choose(request, routers.SERVICE, (), now)

        context.pairs = []
        for number in range(count):
            for one in router.upstreams:
                load = (draws.randrange(80), draws.randrange(30000))
                selector.loads.set_reported(one.name, {one.name: load})
            before = place(number)
            selector.speeds.record("elsewhere", 2.5, trio.current_time())
            context.pairs.append((before, place(number)))
            selector.speeds.retain(set())

    clocks.run_simulated(1, play)


@behave.then("the choices are the same, and none has an estimate")
def check_pairs(context):
    for before, after in context.pairs:
        assert before == after, (before, after)
        assert after.estimate is None and not after.describe_forecast()


@behave.when(
    "{count:d} requests need {low:g} to {high:g} tokens, with hints that are "
    "{hints}"
)
def learn_outputs(context, count, low, high, hints):
    draws = random.Random(3)
    context.costs = costs.Costs()
    context.errors = []
    for number in range(count):
        actual = math.exp(draws.uniform(math.log(low), math.log(high)))
        hint = {
            "missing": None,
            "exact": actual,
            "four times too high": 4 * actual,
            "unrelated": math.exp(draws.uniform(0.0, 9.0)),
            "always one million": 1e6,
        }[hints]
        hint = costs.Hint(hint)
        if number >= count // 2:
            estimate = context.costs.estimate_output("route", hint)
            context.errors.append(abs(math.log(estimate / actual)))
        context.costs.record_output("route", hint, actual)


@behave.when("an answer has {tokens:g} tokens instead")
def add_outlier(context, tokens):
    context.costs.record_output("route", costs.Hint(), tokens)


@behave.then("half of the later estimates are wrong by at most {factor:g}")
def check_errors(context, factor):
    median = sorted(context.errors)[len(context.errors) // 2]
    assert median <= math.log(factor), math.exp(median)


@behave.then("the next estimate is {least:g} to {most:g} tokens")
def check_estimate(context, least, most):
    found = context.costs.estimate_output("route", costs.Hint())
    assert least <= found <= most, found


@behave.then("a request that accepts {most:g} tokens counts {most_too:g}")
def check_most(context, most, most_too):
    hint = costs.Hint(None, most)
    assert context.costs.estimate_output("route", hint) == most_too


@behave.when("the route is removed")
def retain_costs(context):
    context.costs.retain([])


@behave.when("a client sends the hint {length} and the usage {usage}")
def read_hint(context, length, usage):
    context.hint = protocol.read_hint(length, usage)


@behave.then("the hint is {output} of at most {most}")
def check_hint(context, output, most):
    found = context.hint.output
    found = "none" if found is None else f"{found:g}"
    assert (found, f"{context.hint.most_output:g}") == (output, most)


@behave.given(
    "a prompt of {shared:d} and {own:d} tokens, for {output:d} tokens, is "
    "sent to an engine that holds the {shared_too:d}"
)
def begin_work(context, shared, own, output, shared_too):
    context.fleet_loads = fleet_loads.FleetLoads("here", lambda: 0.0)
    request = types.SimpleNamespace(parts=(("s", shared), ("o", own)))
    held = choice.Choice(None, 0.0, 0.0, 0, is_cached=True)
    held = held._replace(estimate=costs.Estimate(output, 0.0))
    context.progress = attempts.Progress("")
    context.progress.work = attempts.PendingWork(
        context.fleet_loads, "engine", request, held, shared + own
    )


@behave.when("{what} of it arrived")
def continue_work(context, what):
    work = context.progress.work
    if what == "the first byte":
        work.release_prefill()
    elif what == "the end":
        work.release()
    else:
        for number in range(int(what.split()[0])):
            context.progress.count_output(b"id: %d\ndata: x\n\n" % number)


@behave.then("the engine's remaining work is {tokens:d} prompt tokens")
def check_work(context, tokens):
    assert context.fleet_loads.sum_load("engine") == (1, tokens)


@behave.given("{count:d} idle engines, and engine {number:d} holds the part")
def make_idle(context, count, number):
    placing.make_engines(context, count, 0)
    context.slowdowns = dict.fromkeys(context.loads, 1.0)
    placing.hold_part(context, number, 0)


@behave.given("engine {number:d} has {tokens:d} tokens of remaining work")
def set_work(context, number, tokens):
    context.loads[f"engine-{number}"] = choice.Load(1, tokens)


@behave.given("engine {number:d} reports a slowdown of {slowdown:g}")
def set_slowdown(context, number, slowdown):
    context.slowdowns[f"engine-{number}"] = slowdown


def place_prompt(context, part, shared, output):
    """Return the Choice for a prompt by its expected end."""
    return choice.choose_engine(
        choice.Demand("request", ((part, shared), ("own", 100))),
        context.upstreams,
        context.loads,
        context.holders.get(part, []),
        choice.find_mean(context.loads, context.health, 0.0),
        (),
        choice.Forecast(context.slowdowns, costs.Estimate(output, 0.0)),
    )


@behave.when(
    "a prompt with a shared part of {shared:d} tokens is placed for "
    "{output:d} tokens"
)
def place_one(context, shared, output):
    chosen = place_prompt(context, placing.PART, shared, output)
    context.is_cached = chosen.is_cached


@behave.then("it is {verdict} to the holder")
def check_holder(context, verdict):
    assert context.is_cached == (verdict == "sent"), context.is_cached


@behave.when(
    "{count:d} prompts with parts of their own are placed at the same time"
)
def place_herd(context, count):
    chosen = [
        place_prompt(context, f"part-{number}", 700, 300).upstream.name
        for number in range(count)
    ]
    context.counts = collections.Counter(chosen)


@behave.then("no engine gets more than {share:g} of them")
def check_herd(context, share):
    most = max(context.counts.values()) / sum(context.counts.values())
    assert most <= share, context.counts


@behave.then(
    "{count:d} sets of up to {most:d} upstreams are ranked evenly as by equal "
    "weights"
)
def check_ranks(context, count, most):
    for number in range(count):
        names = [f"engine-{n}" for n in range(1 + number % most)]
        weights = dict.fromkeys(names, 1.0)
        key = f"part-{number}"
        found = hashing.rank_evenly(key, names)
        assert found == hashing.rank(key, weights), key


@behave.when(
    "8 engines and 3 plain upstreams run for {seconds:g} seconds with seed "
    "{seed:d}, and hints are wrong by {error:g}"
)
def compare_policies(context, seconds, seed, error):
    plan = plans.read("tools/emulator/examples/uneven.toml")
    replace = msgspec.structs.replace
    plan = replace(
        plan,
        instances=4,
        seconds=seconds,
        services=[
            replace(one, servers=8) if one.is_engine else one
            for one in plan.services
        ],
        kinds=[
            # A third of the rate, as half of the engines are near their limit.
            replace(
                one,
                per_s=one.per_s / 3 if one.events else one.per_s,
                hint_error=error,
            )
            for one in plan.kinds
        ],
        troubles=tuple(
            replace(one, at=min(one.at, 2.0)) for one in plan.troubles
        ),
    )
    context.results = {
        name: trials.run(plan, seed, name)
        for name in ("product", "without speed", "least", "two choices")
    }
    for name, one in context.results.items():
        shares = {kind: round(r.in_aim, 3) for kind, r in one.kinds.items()}
        print(name, round(one.worth, 3), shares)


@behave.then("callers earn at least {share:g} of what they do {policy}")
def check_worth(context, share, policy):
    policy = {"without speeds": "without speed"}.get(
        policy, policy.removeprefix("with ")
    )
    found = context.results["product"].worth
    assert found >= share * context.results[policy].worth, policy
