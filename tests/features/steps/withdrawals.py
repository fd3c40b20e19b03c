"""Step definitions for upstreams that leave or want a pause."""

import functools

import behave
import trio

from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.domain.routing import table as tables
from camphorhook_daemon.domain.routing import withdrawals
from camphorhook_daemon.platform import protocol
from camphorhook_daemon.ports import upstreams as ports
from tests.harness import routers

TIMEOUT_SECONDS = 10.0
PART = ("51ab0c", 100_000)  # its prefill takes longer than a scenario waits


@behave.given("{count:d} upstreams of a service that has {kind}")
def plan_router(context, count, kind):
    """Start a router in a trio loop of its own, driven step by step."""
    context.actions = []
    context.router_arguments = (count, kind == "engines")


def add_action(context, action):
    """Add an async function of the Router to what the scenario does."""
    context.actions.append(action)


def run_actions(context):
    """Run all actions of the scenario so far, in order."""

    async def run():
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                router = routers.Router(*context.router_arguments)
                await router.open(nursery)
                for action in context.actions:
                    await action(router)
                nursery.cancel_scope.cancel()

    trio.run(run)


def parse_answer(text):
    """Return status and header lines of an answer that a step describes."""
    status = int(text.split()[1])
    headers = "X-Not-Executed: 1\r\n" if "without a run" in text else ""
    return status, headers


@behave.given("upstream {number:d} answers with {answer} and {name}: {value}")
def script_answer(context, number, answer, name, value):
    async def script(router):
        upstream = router.upstreams[number - 1]
        upstream.status, upstream.headers = parse_answer(answer)
        upstream.headers += f"{name}: {value}\r\n"

    add_action(context, script)


@behave.given("every upstream answers with status {status:d}")
def script_status(context, status):
    async def script(router):
        for upstream in router.upstreams:
            upstream.status = status

    add_action(context, script)


@behave.when("requests are sent until upstream {number:d} has got one")
def send_until(context, number):
    async def send(router):
        while not router.upstreams[number - 1].requests:
            await router.send()

    add_action(context, send)


@behave.when("a request is sent")
def send_one(context):
    async def send(router):
        context.clients = [await router.send()]

    add_action(context, send)


@behave.when("{count:d} requests are sent at the same time")
def send_together(context, count):
    async def send(router):
        context.clients = await router.send_together(count)

    add_action(context, send)


@behave.when("{count:d} requests are sent one after the other")
def send_in_turn(context, count):
    async def send(router):
        context.clients = [await router.send() for _ in range(count)]

    add_action(context, send)


@behave.when("requests are sent for {seconds:g} seconds")
def send_for(context, seconds):
    async def send(router):
        context.clients = []
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            context.clients += await router.send_together(4)
            await trio.sleep(0.02)

    add_action(context, send)


def register_again(context, number, incarnations):
    async def register(router):
        upstream = router.upstreams[number - 1]
        upstream.incarnation += incarnations
        upstream.status, upstream.headers = 200, ""
        router.register()

    add_action(context, register)


@behave.when(
    "upstream {number:d} registers a new incarnation and answers normally"
)
def restart(context, number):
    register_again(context, number, 1)


@behave.when("upstream {number:d} answers normally and registers again")
def recover(context, number):
    register_again(context, number, 0)


@behave.when(
    "{count:d} upstreams want a pause of {seconds:d} second, one every second"
)
def pause_many(context, count, seconds):
    clock = iter(range(10 * count))
    context.withdrawals = withdrawals.Withdrawals(lambda: next(clock))
    for number in range(count):
        upstream = routers.ScriptedUpstream(number).register()
        context.withdrawals.record_pause(upstream, seconds)


@behave.then("at most {count:d} pauses are kept")
def check_pauses_kept(context, count):
    assert len(context.withdrawals._pauses) <= count


@behave.then("upstream {number:d} got {count:d} request")
@behave.then("upstream {number:d} got {count:d} requests")
def check_got(context, number, count):
    async def check(router):
        got = router.upstreams[number - 1].requests
        assert len(got) == count, got

    add_action(context, check)
    run_actions(context)


@behave.then("upstream {number:d} got more than {count:d} request")
def check_got_more(context, number, count):
    async def check(router):
        got = router.upstreams[number - 1].requests
        assert len(got) > count, got

    add_action(context, check)
    run_actions(context)


@behave.then("upstream {number:d} got at most {count:d} requests")
def check_got_few(context, number, count):
    async def check(router):
        got = router.upstreams[number - 1].requests
        assert len(got) <= count, len(got)

    add_action(context, check)
    run_actions(context)


@behave.then("each of the {count:d} requests was answered 200 by {name}")
def check_count_answered(context, count, name):
    assert len(context.clients) == count
    check_answered(context, name)


@behave.then("each of these requests was answered 200 by {name}")
def check_answered(context, name):
    bodies = {(one.status, one.body) for one in context.clients}
    assert bodies == {(200, name.replace(" ", "-").encode())}, bodies


@behave.then("each of these requests was refused within {seconds:g} seconds")
def check_refused(context, seconds):
    run_actions(context)
    for client in context.clients:
        assert client.status == 503, client.status
        assert client.seconds < seconds, client.seconds


@behave.then(
    "each got a Retry-After from {low:g} to {high:g} seconds, and {count:d} "
    "different ones"
)
def check_retry_after(context, low, high, count):
    found = {one.retry_after for one in context.clients}
    assert low <= min(found) and max(found) <= high, sorted(found)
    assert len(found) >= count, sorted(found)


@behave.then("each of them reached 2 different upstreams")
def check_different(context):
    async def check(router):
        for number in range(1, 21):
            reached = [
                one.name
                for one in router.upstreams
                if f"request-{number}" in one.requests
            ]
            assert len(reached) == 2, (number, reached)

    add_action(context, check)
    run_actions(context)


@behave.when("a request waits for a prefill on its engine, {event}")
def wait_for_prefill(context, event):
    async def run(router):
        # The prompt counts as being prefilled on one of the engines.
        now = trio.current_time()
        chosen, context.other = router.upstreams
        chosen.failure_domain = "zone-b"
        router.register()
        router.cache_index.record_placement(*PART, chosen.name, now)
        context.chosen = chosen
        context.clients = [routers.Client()]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(router.send, context.clients[0], PART)
            await trio.sleep(0.05)
            if "leaves" in event:
                router.withdrawals.record_departure(chosen.register())
            elif "pause" in event:
                router.withdrawals.record_pause(chosen.register(), 30.0)
            elif "evacuated" in event:
                router.excluded_domains = {chosen.failure_domain}
            else:
                table = router.table
                router.table = tables.RoutingTable(
                    2, [], table.services.values(), table.limits, {}
                )

    add_action(context, run)
    run_actions(context)


@behave.when("a request waits for a {what}, as its upstream is evacuated")
def evacuate_chosen(context, what):
    async def run(router):
        by_name = {one.name: one for one in router.upstreams}
        for number, one in enumerate(router.upstreams):
            one.failure_domain = f"zone-{number}"
        router.register()
        forwarder = router.forwarder
        is_connection = what == "connection"
        holder = forwarder._pool if is_connection else forwarder._selector
        name = "_acquire" if is_connection else "acquire"
        acquire = getattr(holder, name)

        async def evacuate(first, *others):
            result = await acquire(first, *others)
            if not router.excluded_domains:
                target = first if is_connection else result.choice.upstream
                context.chosen = by_name.pop(target.name)
                (context.other,) = by_name.values()
                router.excluded_domains = {target.failure_domain}
            return result

        setattr(holder, name, evacuate)
        context.clients = [await router.send()]

    add_action(context, run)
    run_actions(context)


@behave.then("the request goes to the other engine and takes no retry")
def check_moved(context):
    assert not context.chosen.requests, context.chosen.requests
    assert len(context.other.requests) == 1, context.other.requests
    check_answered(context, context.other.name)


@behave.then("the request is answered 503 and reaches no upstream")
def check_not_sent(context):
    assert [one.status for one in context.clients] == [503]
    assert not context.chosen.requests + context.other.requests


@behave.given("an upstream that accepts connections")
def plan_upstream(context):
    context.received = []


@behave.when("a request is withdrawn while its connection is made")
def withdraw_in_connect(context):
    async def serve(stream):
        async with stream:
            context.received.append(await stream.receive_some())

    async def run():
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                opened = await nursery.start(
                    functools.partial(trio.serve_tcp, host="127.0.0.1"),
                    serve,
                    0,
                )
                upstream = routers.ScriptedUpstream(1)
                upstream.port = opened[0].socket.getsockname()[1]
                call = ports.Call(
                    "GET", "/", [], b"", 2.0, find_obstacle=lambda: "pause"
                )
                pool = connection_pool.ConnectionPool()
                try:
                    async with pool.open(upstream.register(), call):
                        raise AssertionError("the request was sent")
                except ports.SendWithheld as error:
                    context.error = error
                await trio.sleep(0.05)
                context.connections = pool.count_open(upstream.name)
                nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("it is not sent, and the upstream read nothing")
def check_withheld(context):
    assert context.error.message == "pause"
    assert context.received == [b""], context.received
    assert context.connections == 0


@behave.when("an answer of status {status:d} has {name}: {value}")
def read_header(context, status, name, value):
    head = connection_pool.Head(status, [(name, value)])
    context.logged = []
    log, logs.log = logs.log, lambda *a, **k: context.logged.append(a)
    try:
        context.head_info = protocol.read_head_info(head)
    finally:
        logs.log = log


@behave.then("it is read as {reading}, with {lines:d} lines in the log")
def check_reading(context, reading, lines):
    info = context.head_info
    seconds = float(reading[6:]) if reading.startswith("pause") else 0.0
    assert info.pause == seconds, info
    assert info.is_leaving == (reading == "leaving"), info
    assert len(context.logged) == lines, context.logged


@behave.when("one of them learns that an engine leaves")
def learn_departure(context):
    fleet = context.simulated_fleet
    context.departing = routers.ScriptedUpstream(1)
    instance = list(fleet.instances.values())[-1]
    instance.withdrawals.record_departure(context.departing.register())


@behave.then(
    "each of them takes that incarnation for leaving, and no later one"
)
def check_departure(context):
    upstream = context.departing
    for instance in context.simulated_fleet.instances.values():
        assert instance.withdrawals.is_leaving(upstream.register())
        later = upstream.register()._replace(incarnation=2)
        assert not instance.withdrawals.is_leaving(later)


@behave.then("no instance read more than {count:d} messages on departures")
def check_departure_reads(context, count):
    for instance in context.simulated_fleet.instances.values():
        reads = instance.news_reads[wire.Departures]
        assert reads <= count, reads
