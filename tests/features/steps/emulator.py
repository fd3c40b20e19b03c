"""Step definitions for the emulator of servers, links and callers."""

import pathlib

import behave
import msgspec
import trio

from camphorhook_daemon.domain.routing import choice
from tools.emulator import clocks
from tools.emulator import plans
from tools.emulator import servers
from tools.emulator import trials

PLANS = pathlib.Path("tools/emulator/examples")


def read_plan(name, seconds=4.0):
    """Return an example plan with the given seconds of load."""
    plan = plans.read(PLANS / f"{name}.toml")
    return msgspec.structs.replace(plan, seconds=float(seconds))


@behave.when(
    'the plan "{name}" is run twice for {seconds:d} seconds with seed {seed:d}'
)
def run_plan_twice(context, name, seconds, seed):
    plan = read_plan(name, seconds)
    context.results = [trials.run(plan, seed) for _ in range(2)]


@behave.then("both trials gave the same results")
def check_same(context):
    first, second = context.results
    assert first == second, (first, second)


@behave.then("each kind's shares add up to 1")
def check_shares(context):
    for one in context.results[0].kinds.values():
        total = one.in_aim + one.late + one.refused + one.failed
        assert one.asked and abs(total - 1) < 1e-9, one


@behave.then("no server got a request that no caller sent")
def check_sends(context):
    # A request that its caller sends again counts twice.
    for one in context.results:
        assert 0.9 < one.sends < 1.2, one.sends


@behave.when('the plan "{name}" is run with choice.LOAD_BOUND at {value:g}')
def run_plan_with_constant(context, name, value):
    context.before = choice.LOAD_BOUND
    settings = {"choice.LOAD_BOUND": value}
    trials.run(read_plan(name, 1.0), 1, settings=settings)


@behave.then("choice.LOAD_BOUND is as before")
def check_constant(context):
    assert choice.LOAD_BOUND == context.before


@behave.then("an unknown constant is refused")
def check_unknown(context):
    try:
        with trials.override_constants({"choice.NO_SUCH": 1}):
            raise AssertionError("the constant was accepted")
    except AttributeError as error:
        assert "NO_SUCH" in str(error)


@behave.given("an engine that prefills {tokens:d} tokens per millisecond")
def make_engine(context, tokens):
    context.spec = plans.Service(
        "engine",
        servers=1,
        slots=4,
        is_engine=True,
        read_tokens=tokens,
        memory_tokens=8000,
    )


@behave.when(
    "a prompt of {tokens:d} tokens is sent three times, and again once evicted"
)
def read_prompts(context, tokens):
    async def play():
        engine = servers.make_server(context.spec, 0, 1)
        waits = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.run)
            for part in ("a", "a", "a", "b", "c", "a"):
                job = servers.Job(((part, tokens),), 1, 0)
                began = trio.current_time()
                engine.submit(job)
                await job.events.receive()
                waits.append(trio.current_time() - began)
            nursery.cancel_scope.cancel()
        return waits

    context.waits = clocks.run_simulated(1, play)
    context.tokens = tokens


@behave.then("only the first and the last of them prefill it")
def check_reads(context):
    reading = context.tokens / context.spec.read_tokens * plans.SECONDS_PER_MS
    was_read = [wait >= reading for wait in context.waits]
    assert was_read == [True, False, False, True, True, True], context.waits


@behave.when(
    'the plan "{name}" is run for {seconds:d} seconds with seed {seed:d}'
)
def run_plan(context, name, seconds, seed):
    context.results = [trials.run(read_plan(name, seconds), seed)]


@behave.then("at least {share:g} of the total worth is earned")
def check_worth(context, share):
    assert context.results[0].worth >= share, context.results[0]


@behave.then("no kind has less than {share:g} of its worth")
def check_kinds(context, share):
    kinds = context.results[0].kinds
    assert min(one.worth for one in kinds.values()) >= share, kinds


@behave.then("every refusal came within {seconds:g} seconds")
def check_refusals(context, seconds):
    kinds = context.results[0].kinds
    slowest = max(one.slowest_refusal for one in kinds.values())
    assert slowest <= seconds, kinds


@behave.when(
    'the plan "{name}" with a crashing part twice a second is run for '
    "{seconds:d} seconds with seed {seed:d}"
)
def run_crashing(context, name, seconds, seed):
    plan = read_plan(name, seconds)
    service = next(one.name for one in plan.services if one.is_engine)
    trouble = plans.Trouble("crash part", 2.0, seconds - 2.0, service)
    plan = msgspec.structs.replace(plan, troubles=(*plan.troubles, trouble))
    context.results = [trials.run(plan, seed)]


@behave.when(
    'the plan "{name}" with engines that take {rate:g} requests a second is '
    "run for {seconds:d} seconds with seed {seed:d}"
)
def run_limited(context, name, rate, seconds, seed):
    plan = read_plan(name, seconds)
    service = next(one.name for one in plan.services if one.is_engine)
    trouble = plans.Trouble("limit", 2.0, seconds - 2.0, service, 0.5, rate)
    plan = msgspec.structs.replace(plan, troubles=(trouble,))
    context.results = [trials.run(plan, seed)]


@behave.when(
    'the plan "{name}" with engines of {count:d} versions that crash is run '
    "for {seconds:d} seconds with seed {seed:d}"
)
def run_versions(context, name, count, seconds, seed):
    plan = read_plan(name, seconds)
    service = next(one.name for one in plan.services if one.is_engine)
    troubles = tuple(
        plans.Trouble("crash", float(at), 0.5, service, 0.25)
        for at in range(2, seconds - 1, 3)
    )
    kinds = [
        msgspec.structs.replace(one, resumable=one.events > 0)
        for one in plan.kinds
    ]
    plan = msgspec.structs.replace(plan, kinds=kinds, troubles=troubles)
    context.results = [
        trials.run(set_versions(plan, versions), seed)
        for versions in (count, 1)
    ]


def set_versions(plan, count):
    """Return a plan whose engines have a number of versions."""
    services = [
        msgspec.structs.replace(one, versions=count) if one.is_engine else one
        for one in plan.services
    ]
    return msgspec.structs.replace(plan, services=services)


@behave.then(
    "at least {share:g} of the worth of engines of one version is earned"
)
def check_worth_of_one(context, share):
    found, of_one = (one.worth for one in context.results)
    assert found >= share * of_one, (found, of_one)


@behave.then("no stream holds events of two versions")
def check_mixed(context):
    assert context.results[0].mixed_streams == 0, context.results[0]


@behave.then("no limit is exceeded")
def check_limits(context):
    assert context.results[0].limit_excess == 0, context.results[0]


@behave.then("prompts crashed at least {low:d} and at most {high:d} servers")
def check_request_crashes(context, low, high):
    result = context.results[0]
    assert low <= result.request_crashes <= high, result


@behave.when(
    'the plan "{name}" with {instances:d} instances runs for {seconds:d} '
    "seconds while {cut} is cut off"
)
def run_plan_with_cut(context, name, instances, seconds, cut):
    kind = {"a third": "cut", "a failure domain": "cut domain"}[cut]
    fault = plans.Trouble(kind, 2.0, seconds - 2.0, share=0.33)
    plan = msgspec.structs.replace(
        read_plan(name, seconds), instances=instances, troubles=(fault,)
    )
    context.results = [trials.run(plan, 1)]


@behave.then(
    "first tries at the instances cut off are served at least {share:g} "
    "times as often as at the others"
)
def check_first_tries(context, share):
    (result,) = context.results
    found = result.cut_served, result.others_served
    print(found, result.most_by_one)
    assert found[1] > 0.5 and found[0] >= share * found[1], found


@behave.then("no instance got more than {most:g} of the requests handed over")
def check_spread(context, most):
    (result,) = context.results
    assert 0 < result.most_by_one <= most, result.most_by_one


@behave.when(
    'the plan "{name}" with {instances:d} instances and servers of {slots:d} '
    "slots, brittle from {most:d} on, gets {rate:d} requests for them a second"
)
def run_plan_with_brittle(context, name, instances, slots, most, rate):
    plan = read_plan(name, 14)
    services = [
        (
            one
            if one.is_engine
            else msgspec.structs.replace(
                one, slots=slots, queue=2, work_ms=250.0
            )
        )
        for one in plan.services
    ]
    plain = next(one.name for one in services if not one.is_engine)
    kinds = [
        (
            msgspec.structs.replace(one, per_s=float(rate), deadline_ms=2500.0)
            if one.service == plain
            else msgspec.structs.replace(one, per_s=one.per_s / 10)
        )
        for one in plan.kinds
    ]
    fault = plans.Trouble("brittle", 4.0, 20.0, plain, 1.0, float(most))
    plan = msgspec.structs.replace(
        plan,
        instances=instances,
        services=services,
        kinds=kinds,
        troubles=(fault,),
    )
    context.kind = next(one.name for one in kinds if one.service == plain)
    context.results = [trials.run(plan, 1)]


@behave.then("no more than {most:d} servers fall over")
def check_falls(context, most):
    (result,) = context.results
    print(result.falls, result.turned_away, result.kinds[context.kind])
    assert result.falls <= most, result.falls


@behave.then("at least {share:g} of these requests are served")
def check_kind_served(context, share):
    kind = context.results[0].kinds[context.kind]
    assert kind.in_aim + kind.late >= share, kind
