"""Step definitions for upstreams that limit their requests per second."""

import math

import behave
import trio

from camphorhook_common import wire
from camphorhook_daemon.domain.routing import upstream_limits
from tests.features.steps import withdrawals
from tests.harness import permit_fleets
from tests.harness import routers

UPSTREAM = routers.ScriptedUpstream(1)


@behave.when("the instance has run for {seconds:g} seconds")
def wait(context, seconds):
    async def sleep(_router):
        await trio.sleep(seconds)

    withdrawals.add_action(context, sleep)


@behave.given(
    "upstream {number:d} runs {capacity:d} request at once, for {seconds:g} "
    "seconds"
)
def slow_down(context, number, capacity, seconds):
    async def slow(router):
        upstream = router.upstreams[number - 1]
        upstream.capacity = capacity
        upstream.run_seconds = seconds
        router.register()

    withdrawals.add_action(context, slow)


def find_most(times, seconds):
    """Return the largest number of times within any window of a length."""
    times = sorted(times)
    most = begin = 0
    for end, at in enumerate(times):
        while times[begin] <= at - seconds:
            begin += 1
        most = max(most, end - begin + 1)
    return most


@behave.when(
    "the instance is cut off from the replicas for {seconds:g} seconds"
)
def cut_off(context, seconds):
    async def cut(router):
        router.is_cut_off = True
        await trio.sleep(seconds)

    withdrawals.add_action(context, cut)


@behave.then(
    "upstream {number:d} got at least {least:d} requests, at most {most:d} "
    "within any {seconds:g} seconds"
)
def check_arrivals(context, number, least, most, seconds):
    async def check(router):
        arrivals = router.upstreams[number - 1].arrivals
        found = find_most(arrivals, seconds)
        assert least <= len(arrivals) and found <= most, (arrivals, found)

    withdrawals.add_action(context, check)
    withdrawals.run_actions(context)


@behave.then("each of these requests was answered by an upstream")
def check_answered(context):
    if "clients" not in context:
        withdrawals.run_actions(context)
    statuses = {client.status for client in context.clients}
    assert statuses == {200}, statuses


@behave.then(
    "upstream {number:d} got from {least:d} to {most:d} of the last "
    "{count:d} requests"
)
def check_share(context, number, least, most, count):
    withdrawals.run_actions(context)
    assert len(context.clients) == count
    name = f"upstream-{number}".encode()
    got = sum(client.body == name for client in context.clients)
    assert least <= got <= most, got


@behave.when("an answer of status {status:d} names {value} in Server-Limit")
def read_limit(context, status, value):
    withdrawals.read_header(context, status, "server-limit", value)


@behave.then("a limit of {limit} is read, with {lines:d} lines in the log")
def check_limit(context, limit, lines):
    expected = None if limit == "unknown" else float(limit)
    assert context.head_info.limit == expected, context.head_info
    assert len(context.logged) == lines, context.logged


@behave.given("an upstream named a limit of {rate:g} to an instance")
def name_limit(context, rate):
    context.time = 10.0
    context.limits = upstream_limits.UpstreamLimits(lambda: context.time)
    context.limits.record(UPSTREAM.register(), rate, 9.0)
    context.incarnation = UPSTREAM.incarnation


@behave.when("an answer without a limit arrives to a request sent {when}")
def hear_no_limit(context, when):
    sent_at = 9.5 if when == "before" else 10.5
    context.time = 11.0
    context.limits.record(UPSTREAM.register(), math.inf, sent_at)


@behave.when("the upstream starts again")
def start_again(context):
    context.incarnation += 1


@behave.then("the upstream takes {rate} requests a second")
def check_rate(context, rate):
    expected = math.inf if rate == "any number of" else float(rate)
    found = context.limits.find_rate(UPSTREAM.name, context.incarnation)
    assert found == expected, found


@behave.when(
    "one of them hears that an engine takes {rate:g} requests a second"
)
def hear_limit(context, rate):
    fleet = context.simulated_fleet
    first = list(fleet.instances.values())[0]
    first.limits.record(UPSTREAM.register(), rate, fleet.time)


@behave.when("another one hears that it names no limit any more")
def hear_end(context):
    fleet = context.simulated_fleet
    last = list(fleet.instances.values())[-1]
    last.limits.record(UPSTREAM.register(), math.inf, fleet.time)


@behave.then("each of them knows that it takes {rate}")
def check_known(context, rate):
    expected = math.inf if rate == "any number" else float(rate.split()[0])
    for instance in context.simulated_fleet.instances.values():
        found = instance.limits.find_rate(UPSTREAM.name, UPSTREAM.incarnation)
        assert found == expected, (instance.name, found)


@behave.then("no instance read more than {count:d} bytes on limits")
def check_bytes(context, count):
    instances = context.simulated_fleet.instances.values()
    most = max(instance.news_bytes[wire.LimitNews] for instance in instances)
    assert most <= count, most


@behave.given("{count:d} instances that want {rate:g} requests a second each")
def plan_fleet(context, count, rate):
    context.permit_fleet = permit_fleets.Fleet(count, rate)


@behave.when(
    "an upstream that takes {rate:g} a second is used for {seconds:d} seconds"
)
def use_upstream(context, rate, seconds):
    context.permit_fleet.run(rate, seconds)


@behave.when(
    "an upstream that takes {rate:g} a second is used for {seconds:d} seconds,"
    " while {event}"
)
def use_upstream_while(context, rate, seconds, event):
    context.permit_fleet.run(rate, seconds, permit_fleets.EVENTS[event])


@behave.then("it got at most {most:d} requests within any {window:g} seconds")
def check_most(context, most, window):
    found = find_most(context.permit_fleet.arrivals, window)
    assert found <= most, found


@behave.then("it got at least {share:d}% of what it takes")
def check_least(context, share):
    fleet = context.permit_fleet
    found = len(fleet.arrivals) / fleet.allowed
    assert found >= share / 100, found


@behave.when(
    "one of them looks up the holders of {count:d} upstreams, and one is left"
)
def look_up_holders(context, count):
    instance = next(iter(context.permit_fleet.instances.values()))
    instance.permits.retain(())  # it knows the other instances from here on
    for number in range(count):
        upstream = routers.ScriptedUpstream(number).register()
        instance.permits.find_denial(upstream)
    instance.permits.retain({upstream.name})
    context.holders = instance.permits._holders


@behave.then("it keeps the holders of {count:d} upstream")
def check_holders(context, count):
    assert len(context.holders._found) == count, len(context.holders._found)
