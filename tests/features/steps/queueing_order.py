"""Step definitions for the order in which requests wait for places."""

import collections
import itertools
import random
import time
import types

import behave

from camphorhook_daemon.domain.routing import turns
from camphorhook_daemon.domain.routing import waiting
from tests.harness import scarce_places

ROOM = scarce_places.ROOM
KINDS = {
    "equal service times": {},
    "heavy-tailed service times": {"is_heavy": True},
    "upstreams are slow in turn": {"is_slow": True},
    "a holder lost after 2": {"lost_at": 2.0},
}
PACE = waiting.Pace(0.045, 9)


def make_sources(count, rate, priority=0):
    """Return Sources of accounts that send a rate in requests a second."""
    return [
        scarce_places.Source(f"account-{priority}-{n}", priority, rate / count)
        for n in range(count)
    ]


@behave.given(
    "a load of {load:g} of the room by {count:d} accounts for {seconds:d} "
    "seconds, {kind}"
)
def prepare(context, load, count, seconds, kind):
    context.sources = make_sources(count, load * ROOM)
    context.seconds = seconds
    context.options = KINDS[kind]


@behave.given(
    "{count:d} accounts at a tenth of the room each, and one at the whole "
    "room, for {seconds:d} seconds"
)
def prepare_busy(context, count, seconds):
    busy = scarce_places.Source("busy", 0, ROOM)
    context.sources = [*make_sources(count, count * ROOM / 10), busy]
    context.seconds = seconds
    context.options = {}


@behave.given(
    "urgent requests for half of the room and others for {share:g} of it, for "
    "{seconds:d} seconds"
)
def prepare_priorities(context, share, seconds):
    context.sources = make_sources(4, ROOM / 2)
    context.sources += make_sources(4, share * ROOM, 1)
    context.seconds = seconds
    context.options = {}


def play(context, seed, is_ordered, **options):
    """Play the load of a scenario and print what became of it."""
    played = scarce_places.Play(
        seed, context.sources, context.seconds, is_ordered, **options
    ).run()
    ended = collections.Counter(
        (one.source.priority, one.is_return, one.kind)
        for one in played.outcomes
    )
    print(f"ordered: {is_ordered}", sorted(ended.items()))
    return played


@behave.when(
    "it is played in the order of arrival and in the new order, with seed "
    "{seed:d}"
)
def play_both(context, seed):
    context.before = play(context, seed, False, **context.options)
    context.play = play(context, seed, True, **context.options)


@behave.when(
    "refused clients return when told, with {an} request, with seed {n:d}"
)
def play_returns(context, an, n):
    context.play = play(
        context,
        n,
        True,
        returns=True,
        renames=an == "another",
        **context.options,
    )


@behave.when(
    "{old:d} of the holders and {share:g} of the senders are of older builds"
)
def play_builds(context, old, share):
    context.play = play(context, 10, 1 - share, are_old=old)


def measure(played, kind="in time", **which):
    """Return the share of tries that ended in one way."""
    return played.count(kind, **which) / played.count("", **which)


@behave.then("at least {share:g} of the first tries are served in time")
def check_share(context, share):
    assert measure(context.play) >= share, measure(context.play)


@behave.then(
    "at least {share:g} of the first tries are served in time, and more than "
    "before"
)
def check_gain(context, share):
    check_share(context, share)
    assert measure(context.play) > measure(context.before)


@behave.then(
    "at least {share:g} of the first tries are served in time, and as many as "
    "before"
)
def check_equal(context, share):
    check_share(context, share)
    assert measure(context.play) >= measure(context.before) - 0.01


@behave.then(
    "no more than {share:g} are refused after a wait, and none misses its "
    "deadline"
)
def check_at_once(context, share):
    found = measure(context.play, "refused after a wait")
    assert found <= share, found
    assert not context.play.count("missed")


@behave.then("no account is served in time less than half as often as another")
def check_accounts(context):
    shares = [
        measure(context.play, account=one.account) for one in context.sources
    ]
    assert min(shares) >= max(shares) / 2, shares


@behave.then("no upstream ever has more requests than places")
@behave.then("no upstream has more granted requests than places")
def check_room(context):
    assert not context.play.exceeded, context.play.exceeded


@behave.then(
    "at least {share:g} of the tries of each other account are served in time"
)
def check_others(context, share):
    for one in context.sources[:-1]:
        found = measure(context.play, account=one.account)
        assert found >= share, (one, found)


@behave.then(
    "the busy account is served what is left: at least {share:g} of its tries"
)
def check_busy(context, share):
    found = measure(context.play, account="busy")
    found += measure(context.play, "late", account="busy")
    assert found >= share, found


@behave.then("at least {share:g} of the urgent tries are served in time")
def check_urgent(context, share):
    found = measure(context.play, priority=0)
    assert found >= share, found


@behave.then(
    "at least {share:g} of the others are served in time, and more than before"
)
def check_less_urgent(context, share):
    found = measure(context.play, priority=1)
    assert found >= share, found
    assert found > measure(context.before, priority=1)


@behave.then("at least {share:g} of those that returned are served in time")
def check_returned(context, share):
    count = context.play.count("", is_return=True)
    found = measure(context.play, is_return=True)
    print(f"{count} returned, {found:.3f} in time")
    assert count > 50 and found >= share, (count, found)


@behave.then("at least {share:g} of those that returned are served")
def check_returned_served(context, share):
    found = measure(context.play, "in time", is_return=True)
    found += measure(context.play, "late", is_return=True)
    print(f"{found:.3f} of those that returned were served")
    assert found >= share, found


@behave.then(
    "no {seconds:g} seconds have more than {most:d} of the times to return"
)
def check_spread(context, seconds, most):
    found = collections.Counter(
        int((one.ended_at + one.told) / seconds)
        for one in context.play.outcomes
        if one.told and not one.is_return
    )
    print(f"at most {max(found.values())}")
    assert max(found.values()) <= most, found.most_common(3)


@behave.then(
    "each sender has sent at most {most:d} messages that a holder does not "
    "read"
)
def check_dropped(context, most):
    dropped = sum(one.dropped for one in context.play.holders.values())
    # The holders ask each other as well, when they send requests.
    assert dropped <= most * scarce_places.SENDERS, dropped


class Queue:
    """A waiting.Line on a clock that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.line = waiting.Line(lambda: self.now, itertools.count())

    def add(self, number, demand):
        """Let a request wait; return its Waiter."""
        message = types.SimpleNamespace(
            sender="a", number=number, candidates=()
        )
        waiter = waiting.Waiter(message, demand)
        self.line.add(waiter, False)
        return waiter


@behave.when("{count:d} requests of older builds wait, some of which give up")
def wait_in_order(context, count):
    rng = random.Random(11)
    queue = Queue()
    context.expected = []
    context.served = []

    def take(message):
        context.served.append(message.number)
        return "server"

    for number in range(count):
        priority = rng.randrange(3)
        waiter = queue.add(number, waiting.Demand(priority))
        if rng.random() < 0.2:
            queue.line.remove(waiter)
        else:
            context.expected.append((priority, number))
    while queue.line:
        assert queue.line.serve_first(take, 0.045)


@behave.then("they are served by priority, then in the order of arrival")
def check_order(context):
    expected = [number for _, number in sorted(context.expected)]
    assert context.served == expected


@behave.when("requests of {count:d} accounts are refused and never return")
def refuse_many(context, count):
    context.queue = Queue()
    line = context.queue.line
    for number in range(count):
        demand = waiting.Demand(0, f"account-{number}", 0.1, number + 1)
        line.refuse(demand, PACE)
    began_at = time.process_time()
    for _ in range(100):
        line.estimate(waiting.Demand(0, "account", 0.2, 1), PACE)
    context.seconds = (time.process_time() - began_at) / 100


@behave.then("at most {kept:d} turns and {accounts:d} accounts are known")
def check_bounds(context, kept, accounts):
    known = context.queue.line.count_known()
    print(known)
    assert kept == turns.MAX_TURNS and accounts == waiting.MAX_ACCOUNTS
    assert known[0] <= kept and known[1] <= accounts, known


@behave.then("none is known after {seconds:d} seconds")
def check_forgotten(context, seconds):
    context.queue.now += seconds
    context.queue.line.evict()
    assert context.queue.line.count_known() == (0, 0)


@behave.then(
    "an estimate with all of them took less than 1 ms of processor time"
)
def check_cost(context):
    print(f"{context.seconds * 1e6:.0f} us")
    assert context.seconds < 0.001, context.seconds
