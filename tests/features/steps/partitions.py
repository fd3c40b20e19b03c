"""Step definitions for instances that lose their links to upstreams."""

import pathlib
import time

import behave

from tests.harness import partitions

CONTACT_SECONDS = 3.0  # after which a cut must not be noticed any more
SETTLE_SECONDS = 1.0
SHARE = 0.9  # of the service at other instances
REFUSALS = (408, 421, 429, 503)  # guarantee that the request has not run


@behave.given(
    "{count:d} entry instances that reach 6 upstreams through a proxy"
)
def start_platform(context, count):
    context.world = partitions.Partitions(
        pathlib.Path(context.folder), context.slot, count
    )
    context.add_cleanup(context.world.close)
    context.world.start()
    context.world.platform.effects.write_text("")


@behave.when(
    "the links of {count:d} instances to all upstreams are {fault} for "
    "{seconds:g} seconds"
)
def cut_links(context, count, fault, seconds):
    world = context.world
    context.cut = world.entries[:count]
    context.others = world.entries[count:]
    world.start_load()
    time.sleep(SETTLE_SECONDS)
    world.set_links(context.cut, fault)
    context.cut_at = time.time()
    time.sleep(seconds)
    context.healed_at = time.time()
    world.set_links(context.cut, "none")
    time.sleep(SETTLE_SECONDS)
    world.stop_load()


@behave.then("they serve first tries nine tenths as often as the others")
def check_served(context):
    begin = context.cut_at + CONTACT_SECONDS
    # What is sent later may be served by the links that work again.
    end = context.healed_at - partitions.DEADLINE_SECONDS
    served, sent = context.world.measure_share(context.cut, begin, end)
    others = context.world.measure_share(context.others, begin, end)
    text = f"{served} of {sent}, the others {others[0]} of {others[1]}"
    print(text)
    assert sent and others[0] > 0.9 * others[1], text
    assert served / sent >= SHARE * others[0] / others[1], text


@behave.then("no unsafe request ran twice")
def check_once(context):
    runs = context.world.count_runs()
    for _, target, request, *_ in context.world.answers:
        if target.startswith("/unsafe/"):
            assert runs[request] <= 1, (request, runs[request])


@behave.then("no request that was refused ran")
def check_refusals(context):
    runs = context.world.count_runs()
    for _, _, request, _, _, answer in context.world.answers:
        if answer.status in REFUSALS:
            assert not runs[request], (request, answer.status)
