"""Step definitions for numbers of tokens that clients claim."""

import concurrent.futures
import types

import behave
import hypothesis
from hypothesis import strategies
import trio

from camphorhook_common import wire
from camphorhook_daemon.adapters import handover
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import choice as choices
from camphorhook_daemon.domain.routing import loads as fleet_loads
from camphorhook_daemon.domain.routing import table as tables
from tests.features.steps import dissemination
from tests.harness import builds
from tests.harness import processes
from tests.harness import routers

HIGHEST = 10**18 - 1
UPSTREAM = "upstream"
ENTRIES = ("entry-1", "entry-2")
TIMEOUT_SECONDS = 20.0


@behave.when(
    "each entry instance gets {count:d} prompts at once, of {parts:d} x 18 "
    "digits"
)
def send_prompts(context, count, parts, entries=ENTRIES):
    prompt = ",".join(f"{n + 1:08x}:{HIGHEST}" for n in range(parts))

    def send(entry):
        return context.platform.request(
            entry,
            "/safe/slow",
            "key-1",
            headers={"X-Prompt-Prefix": prompt},
        ).status

    with concurrent.futures.ThreadPoolExecutor(2 * count) as pool:
        context.statuses = list(pool.map(send, entries * count))


@behave.given("{entry:Word} runs the build {commit:Word}")
def replace_entry(context, entry, commit):
    context.platform.kill(entry)
    program = builds.find_program(commit)
    context.platform.start(entry, first=False, program=program)
    processes.wait_until(
        lambda: context.platform.request(entry, "/safe/a", "key-1").status
        == 200,
        what=f"an answer at {entry}",
    )


@behave.when("{count:d} prompts of 18 digits reach {entry:Word} at once")
def send_prompts_to_one(context, count, entry):
    send_prompts(context, count, 1, (entry,))


@behave.then("each of them is answered 200")
def check_statuses(context):
    assert set(context.statuses) == {200}, context.statuses


def draw_requests():
    """Return a strategy for (prefix header, has shared parts, is engine)."""
    tokens = strategies.one_of(
        strategies.integers(-5, 10**20).map(str),
        strategies.sampled_from(("", "nan", "1e9", str(HIGHEST), "9" * 5000)),
    )
    entry = strategies.tuples(strategies.sampled_from("abc"), tokens)
    prefix = strategies.lists(entry, max_size=20).map(
        lambda entries: ",".join(":".join(one) for one in entries)
    )
    return strategies.tuples(
        prefix, strategies.booleans(), strategies.booleans()
    )


@behave.then(
    "the load of {count:d} drawn sequences of requests can be published, and "
    "none is left behind"
)
def check_drawn_loads(context, count):
    engine = tables.Service("s", "/", 9, 0.0, True, 64, 2**63 - 1)

    @hypothesis.settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis.example([(f"a:{HIGHEST}", False, True)] * 60)
    @hypothesis.given(strategies.lists(draw_requests(), max_size=60))
    def check(requests):
        loads = fleet_loads.FleetLoads("here", lambda: 0.0)
        works = []
        for prefix, has_shared, is_engine in requests:
            parts = handover.read_parts(prefix)
            spec = engine._replace(is_engine=is_engine)
            has_shared = has_shared and bool(parts)
            choice = choices.Choice(None, 0.0, 0.0, 0, has_shared)
            request = types.SimpleNamespace(parts=parts)
            works.append(
                attempts.PendingWork(
                    loads, UPSTREAM, request, choice, spec.longest_prompt
                )
            )
        reported = [
            wire.UpstreamLoad(name, *load)
            for name, load in loads.list_own().items()
        ]
        wire.encode(wire.Notice("here", reported, [], []))
        for work in works:
            work.release_prefill()
            work.release()
            loads.end(UPSTREAM)
        assert loads.sum_load(UPSTREAM) == (0, 0)
        assert not loads.list_own()

    check()


@behave.given(
    "3 engines, on one of which a prompt of {tokens:d} tokens is running"
)
def begin_prompt(context, tokens):
    context.tokens = tokens


@behave.when("{count:d} other prompts are sent one after the other")
def send_others(context, count):
    async def run():
        async with trio.open_nursery() as nursery:
            router = routers.Router(3, True)
            await router.open(nursery)
            engines = router.upstreams
            engines[0].run_seconds = TIMEOUT_SECONDS
            own = ((f"own-{context.tokens}", context.tokens),)
            router.selector.withdrawals.is_leaving = (
                lambda one: one.name != engines[0].name
            )
            client = routers.Client()
            nursery.start_soon(
                lambda: router.send(client, ("claimed", 100), parts=own)
            )
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert engines[0].requests, "the prompt is not running"
            engines[0].run_seconds = 0.0
            engines[0].requests.clear()
            del router.selector.withdrawals.is_leaving
            for number in range(count):
                await router.send(part=(f"part-{number}", 5000))
            context.counts = [len(one.requests) for one in engines]
            nursery.cancel_scope.cancel()

    with_timeout(run)


def with_timeout(run):
    """Run an async function; fail if it takes longer than TIMEOUT_SECONDS."""

    async def limit():
        with trio.fail_after(TIMEOUT_SECONDS):
            await run()

    trio.run(limit)


@behave.then("each engine gets at least {least:d} of them")
def check_counts(context, least):
    print(context.counts)
    assert min(context.counts) >= least, context.counts


@behave.when(
    "an instance reports 3 requests and {tokens:d} tokens on an upstream"
)
def report_load(context, tokens):
    here = dissemination.Instance("here", lambda: 1.0)
    here.disseminator.update_instances({"here": "a", "other": "b"})
    load = wire.UpstreamLoad(UPSTREAM, 3, tokens)
    notice = wire.Notice("other", [load], [], [])
    here.disseminator.apply_notice(wire.decode(*wire.encode(notice)))
    context.load = here.loads.sum_load(UPSTREAM)


@behave.then("3 requests and {tokens:d} tokens are counted there")
def check_load(context, tokens):
    assert context.load == (3, tokens), context.load
