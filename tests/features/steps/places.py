"""Step definitions for places that instances share."""

import behave
import trio
from trio import testing

from camphorhook_daemon.domain.routing import places
from tests.harness import place_holders

OBJECTIVE_SECONDS = 0.5
LEFT_SECONDS = 2.5


@behave.given(
    "{count:d} instances that share 1 place at each of {upstreams:d} upstreams"
)
def prepare(context, count, upstreams):
    context.count = count
    context.upstreams = place_holders.make_upstreams(upstreams, 1)
    context.is_silent = False
    context.is_brittle = False
    context.slow_seconds = 0.0


@behave.given("the instance that grants none of the places is silent")
def silence(context):
    context.is_silent = True
    context.is_brittle = True  # others are sent without a place then


@behave.given("a request of {seconds:g} s has one of the places")
def occupy(context, seconds):
    context.slow_seconds = seconds


@behave.given("one of the instances was lost")
def lose_instance(context):
    context.is_silent = True


@behave.when(
    "{count:d} requests of {run:g} s are sent at once, {times:d} times, every "
    "{interval:g} s"
)
def send(context, count, run, times, interval):
    context.results = []

    async def send_one(holder):
        began_at = trio.current_time()
        found = await holder.send(
            context.upstreams, run, OBJECTIVE_SECONDS, LEFT_SECONDS
        )
        waited = trio.current_time() - began_at
        if isinstance(found, places.Place):
            waited -= run
        context.results.append((found, waited))

    async def play():
        holders = place_holders.make_holders(context.count)
        async with trio.open_nursery() as nursery:
            for holder in holders.values():
                nursery.start_soon(holder.places.run)
            await trio.sleep(0)  # until they can send releases
            granter = await place_holders.find_granter(
                holders, context.upstreams
            )
            if context.slow_seconds:
                holders[granter].record_brittle()  # the place is kept
                nursery.start_soon(
                    holders[granter].send,
                    context.upstreams,
                    context.slow_seconds,
                    OBJECTIVE_SECONDS,
                    LEFT_SECONDS,
                )
            if context.is_silent:
                for name, holder in holders.items():
                    holder.is_silent = name != granter
            if context.is_brittle:
                for holder in holders.values():
                    holder.record_brittle()
            senders = [one for one in holders.values() if not one.is_silent]
            async with trio.open_nursery() as requests:
                for _ in range(times):
                    for number in range(count):
                        requests.start_soon(
                            send_one, senders[number % len(senders)]
                        )
                    await trio.sleep(interval)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=testing.MockClock(autojump_threshold=0))


@behave.then("all of them are sent within {seconds:d} second")
def check(context, seconds):
    sent = [
        waited
        for found, waited in context.results
        if isinstance(found, places.Place) and waited < seconds
    ]
    print(f"{len(sent)} of {len(context.results)}")
    assert len(sent) == len(context.results), context.results


@behave.then(
    "each of them may be sent within {seconds:g} seconds, with a place or "
    "without"
)
def check_known_in_time(context, seconds):
    late = [
        (found, waited)
        for found, waited in context.results
        if waited > seconds
        or isinstance(found, places.NoPlace)
        and found.is_known
    ]
    assert not late, late


@behave.given(
    "{count:d} instances that share 1 place at each of {upstreams:d} "
    "upstreams, {kind}"
)
def prepare_kind(context, count, upstreams, kind):
    prepare(context, count, upstreams)
    context.is_brittle = kind == "brittle"


@behave.given(
    "{count:d} requests got places and were lost, {left:d} seconds before "
    "their deadline"
)
def lose_requests(context, count, left):
    context.lost = count, left


@behave.when("a request of {run:g} s is sent {seconds:g} seconds later")
def send_later(context, run, seconds):
    count, left = context.lost

    async def play():
        holders = place_holders.make_holders(context.count)
        sender = next(iter(holders.values()))
        for holder in holders.values():
            if context.is_brittle:
                holder.record_brittle()
        for _ in range(count):
            lost = await sender.acquire(
                context.upstreams, OBJECTIVE_SECONDS, left
            )
            assert isinstance(lost, places.Place), lost
        await trio.sleep(seconds)
        context.found = await sender.acquire(
            context.upstreams, OBJECTIVE_SECONDS, run
        )

    trio.run(play, clock=testing.MockClock(autojump_threshold=0))


@behave.then("{answer} place is found for it")
def check_found(context, answer):
    is_found = isinstance(context.found, places.Place)
    assert is_found == (answer == "a"), context.found
