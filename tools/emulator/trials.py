"""Runs plans on a simulated clock and summarizes the callers' results."""

import collections
import contextlib
import importlib
import logging
import math
import random
import typing

import numpy
import trio

from tools.emulator import clocks
from tools.emulator import fleet as fleets
from tools.emulator import load as loads
from tools.emulator import plans
from tools.emulator import policies
from tools.emulator import servers

SETTLE_SECONDS = 1.0  # until all instances know each other
CONTACT_SECONDS = 3.0  # after which a cut must not be noticed any more
END_SECONDS = 3.0  # before its end, as later ones may be served after it
# Of a server whose machine others use too.
SPELL_SECONDS = 0.6
SPELL_SHARE = 0.15
ROUTING_PACKAGE = "camphorhook_daemon.domain.routing"


class KindResult(typing.NamedTuple):
    """Results of a kind of request.

    Attributes:
        asked: number of requests.
        in_aim: share of the requests that met the latency objectives.
        late: share of the requests that were answered, but missed one.
        refused: share of the requests that were refused (HTTP 503).
        failed: share of the requests that failed in other ways.
        p50, p99: percentiles of the seconds to the first event.
        worth: worth of the answers, as a share of what answers in time to
            all requests would be worth.
        slowest_refusal: longest time in seconds that a refused attempt took.
    """

    asked: int
    in_aim: float
    late: float
    refused: float
    failed: float
    p50: float
    p99: float
    worth: float
    slowest_refusal: float


class Result(typing.NamedTuple):
    """Results of a trial.

    Attributes:
        kinds: results by name of the kind of request.
        worth: worth of all answers, as a share of what answers in time to
            all requests would be worth.
        reuse: share of the prompt tokens that engines had cached or copied.
        sends: requests that reached servers per request of a caller.
        crashes: number of crashes of cold servers by overload.
        request_crashes: number of crashes that requests caused.
        limit_excess: requests by which the limits that servers named were
            exceeded, each in its worst window.
        mixed_streams: answers that several software versions wrote.
        notices: messages per second that an instance received.
        seconds: `worth` of the requests sent in each second of the load.
        cut_served: share of the first attempts that were served at
            instances cut off from all servers, CONTACT_SECONDS and more
            after the cut; 1 if there were none.
        others_served: the same, at the other instances at that time.
        most_by_one: highest share of the requests handed over that went to
            one instance; 0 if there were none.
        falls: number of times that a brittle server fell over.
        turned_away: requests that servers turned away for want of room.
    """

    kinds: dict[str, KindResult]
    worth: float
    reuse: float
    sends: float
    crashes: int
    request_crashes: int
    limit_excess: float
    mixed_streams: int
    notices: float
    seconds: list[float]
    cut_served: float = 1.0
    others_served: float = 1.0
    most_by_one: float = 0.0
    falls: int = 0
    turned_away: int = 0


@contextlib.contextmanager
def override_constants(settings):
    """Override constants of the routing modules within a `with` block.

    Args:
        settings: values by `module.CONSTANT`.

    Raises:
        ModuleNotFoundError: there is no such module.
        AttributeError: the module has no such constant.
    """
    before = []
    try:
        for place, value in settings.items():
            name, _, constant = place.rpartition(".")
            module = importlib.import_module(f"{ROUTING_PACKAGE}.{name}")
            before.append((module, constant, getattr(module, constant)))
            setattr(module, constant, value)
        yield
    finally:
        for module, constant, value in reversed(before):
            setattr(module, constant, value)


def run(plan, seed, policy="product", settings=None):
    """Simulate a plan once and return its Result.

    Args:
        plan: the plans.Plan.
        seed: of all random choices.
        policy: a name of policies.POLICIES.
        settings: values of constants to override, by `module.CONSTANT`.
    """
    logging.disable(logging.CRITICAL)
    random.seed(seed)
    try:
        with override_constants(settings or {}):
            return clocks.run_simulated(
                seed, _run_trial, plan, seed, policies.POLICIES[policy]
            )
    finally:
        logging.disable(logging.NOTSET)


async def _run_trial(plan, seed, policy):
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(plan, policy)
        fleet.start(nursery)
        await trio.sleep(SETTLE_SECONDS)
        load = loads.LoadGenerator(plan, fleet, seed)
        for fault in plan.troubles:
            nursery.start_soon(_inject_fault, fault, fleet, load, seed)
        async with trio.open_nursery() as requests:
            await load.run(requests)
        nursery.cancel_scope.cancel()
    return summarize(plan, fleet, load.outcomes)


async def _inject_fault(fault, fleet, load, seed):
    """Inject a fault at its time and end it after its duration."""
    rng = random.Random(f"{seed} {fault}")
    await trio.sleep(fault.at)
    if fault.kind == "burst":
        load.rate_factor *= fault.times
        await trio.sleep(fault.for_s)
        load.rate_factor /= fault.times
        return
    if fault.kind == "crash part":
        await load.send_crashing(fault.service, fault.times, fault.for_s)
        return
    if fault.kind == "deaf":
        names = [one.name for one in fleet.instances]
        chosen = set(rng.sample(names, math.ceil(fault.share * len(names))))
        fleet.bus.isolated |= chosen
        await trio.sleep(fault.for_s)
        fleet.bus.isolated -= chosen
        return
    if fault.kind in ("cut", "cut domain"):
        await _cut_links(fault, fleet, rng)
        return
    found = [
        one for one in fleet.servers.values() if one.spec.name == fault.service
    ]
    if fault.kind == "spells":
        async with trio.open_nursery() as nursery:
            for server in found:
                nursery.start_soon(_slow_in_turn, server, fault, rng.random())
        return
    chosen = rng.sample(found, math.ceil(fault.share * len(found)))
    if fault.kind == "slow":
        for server in chosen:
            server.slowdown *= fault.times
        await trio.sleep(fault.for_s)
        for server in chosen:
            server.slowdown = server.base_slowdown
        return
    if fault.kind == "brittle":
        for server in chosen:
            server.brittle = int(fault.times)
        await trio.sleep(fault.for_s)
        for server in chosen:
            server.brittle = None
        return
    if fault.kind == "limit":
        for server in chosen:
            server.start_limit(fault.times)
        await trio.sleep(fault.for_s)
        for server in chosen:
            server.end_limit()
        return
    async with trio.open_nursery() as nursery:
        for server in chosen:
            nursery.start_soon(fleet.crash, server, fault.for_s)


async def _slow_in_turn(server, fault, start):
    """Slow a server down again and again, from a random time on."""
    end = trio.current_time() + fault.for_s
    usual = SPELL_SECONDS * (1 / SPELL_SHARE - 1)
    rng = random.Random(f"{server.name} {start}")
    await trio.sleep(start * usual)
    while trio.current_time() < end:
        server.slowdown = server.base_slowdown * fault.times
        await trio.sleep(SPELL_SECONDS)
        server.slowdown = server.base_slowdown
        await trio.sleep(usual * rng.uniform(0.5, 1.5))


async def _cut_links(fault, fleet, rng):
    """Cut instances off from all servers for some seconds."""
    found = fleet.instances
    if fault.kind == "cut domain":
        chosen = [one for one in found if one.domain == found[0].domain]
    else:
        chosen = rng.sample(found, math.ceil(fault.share * len(found)))
    for instance in chosen:
        instance.was_cut = True
        instance.pool.cut()
    await trio.sleep(fault.for_s)
    for instance in chosen:
        instance.pool.heal()


def compute_worth(kind, outcome):
    """Return the worth of an Outcome to its caller."""
    if outcome.status != 200:
        return 0.0
    is_late = outcome.first_event_seconds > kind.aim_ms * plans.SECONDS_PER_MS
    is_late = (
        is_late
        or outcome.max_pause_seconds > kind.pause_ms * plans.SECONDS_PER_MS
    )
    return kind.late_worth if is_late else kind.worth


def summarize(plan, fleet, outcomes):
    """Return the Result of a trial from the Outcomes of its requests."""
    by_kind = collections.defaultdict(list)
    for outcome in outcomes:
        by_kind[outcome.kind].append(outcome)
    kinds = {}
    owed = earned = 0.0
    seconds = numpy.zeros((2, math.ceil(plan.seconds) + 1))
    for kind in plan.kinds:
        found = by_kind[kind.name]
        kinds[kind.name] = _summarize_kind(kind, found)
        for one in found:
            worth = compute_worth(kind, one)
            owed += kind.worth
            earned += worth
            seconds[0, int(one.sent_at)] += kind.worth
            seconds[1, int(one.sent_at)] += worth
    engines = [
        one
        for one in fleet.servers.values()
        if isinstance(one, servers.Engine)
    ]
    asked = sum(one.prompt_tokens for one in engines)
    reused = sum(one.reused_tokens for one in engines)
    shares = seconds[1] / numpy.maximum(seconds[0], 1e-9)
    return Result(
        kinds,
        earned / max(owed, 1e-9),
        reused / max(asked, 1),
        sum(fleet.arrivals.values()) / max(1, len(outcomes)),
        sum(one.crashes for one in fleet.servers.values()),
        sum(one.request_crashes for one in fleet.servers.values()),
        sum(
            period.count_excess()
            for one in fleet.servers.values()
            for period in one.limit_periods
        ),
        sum(one.versions > 1 for one in outcomes),
        fleet.bus.delivered_messages / len(fleet.instances) / plan.seconds,
        [round(float(one), 4) for one in shares[:-1]],
        *_measure_first_tries(plan, fleet, outcomes),
        _measure_most_by_one(fleet),
        sum(one.falls for one in fleet.servers.values()),
        sum(one.turned_away for one in fleet.servers.values()),
    )


def _measure_first_tries(plan, fleet, outcomes):
    """Return Result.cut_served and Result.others_served."""
    cut = {one.name for one in fleet.instances if one.was_cut}
    found = {True: [], False: []}
    for fault in plan.troubles:
        if fault.kind not in ("cut", "cut domain"):
            continue
        begin, end = fault.at + CONTACT_SECONDS, fault.at + fault.for_s
        for one in outcomes:
            if begin <= one.sent_at < end - END_SECONDS:
                found[one.instance in cut].append(one.is_first_served)
    return [
        sum(found[is_cut]) / len(found[is_cut]) if found[is_cut] else 1.0
        for is_cut in (True, False)
    ]


def _measure_most_by_one(fleet):
    """Return Result.most_by_one."""
    counts = collections.Counter()
    for instance in fleet.instances:
        counts.update(instance.gateway_pool.handed_over)
    return max(counts.values(), default=0) / max(1, sum(counts.values()))


def _summarize_kind(kind, found):
    count = max(1, len(found))
    firsts = [
        one.first_event_seconds for one in found if one.status == 200
    ] or [math.inf]
    p50, p99 = numpy.percentile(firsts, (50, 99))
    in_aim = sum(compute_worth(kind, one) == kind.worth for one in found)
    served = sum(one.status == 200 for one in found)
    refused = sum(one.status == 503 for one in found)
    worth = sum(compute_worth(kind, one) for one in found)
    return KindResult(
        len(found),
        in_aim / count,
        (served - in_aim) / count,
        refused / count,
        (len(found) - served - refused) / count,
        float(p50),
        float(p99),
        worth / (count * kind.worth),
        max(
            (one.last_attempt_seconds for one in found if one.status == 503),
            default=0.0,
        ),
    )
