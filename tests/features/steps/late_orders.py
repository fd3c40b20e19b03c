"""Step definitions for operators' orders that come late."""

import itertools
import time

import behave

from camphorhook_common import commands
from camphorhook_common import deltas
from camphorhook_daemon.domain import state as states
from tests.features.steps import platform as platform_steps
from tests.harness import held_submits
from tests.harness import late_orders
from tests.harness import platforms
from tests.harness import processes
from tests.harness import replicas

ENTRIES = ("entry-1", "entry-2")
REPLICAS = ("replica-1", "replica-2", "replica-3")
SETTLE_SECONDS = 0.4  # for a late order to be taken up where it can be
REQUESTS = 6  # at each entry instance, to see where they go


def is_last_in_force(context, last, domain):
    """Return whether all entry instances obey the last order."""
    platform = context.platform
    is_out = last == "evacuate"
    for entry in ENTRIES:
        if (domain in late_orders.list_out(platform, entry)) != is_out:
            return False
    server = f"server-{platforms.DOMAINS.index(domain) + 1} ".encode()
    answers = [
        platform.request(entry, "/safe/late", platform_steps.KEY)
        for entry in ENTRIES
        for _ in range(REQUESTS)
    ]
    return not is_out or not any(
        one.body.startswith(server) for one in answers
    )


def play_all(context, hold, release):
    """Hold each order for each domain back while it is resent and undone.

    Args:
        context: the scenario's context, which gets the `failures` and the
            `late_statuses`.
        hold: function of (order, domain) that sends an order that is held
            back; it returns the replica and what `release` takes.
        release: function that lets the order arrive, and returns the status
            of its answer.
    """
    context.failures, context.late_statuses = [], []
    platform = context.platform
    for domain, late in itertools.product(
        platforms.DOMAINS, late_orders.METHODS
    ):
        last = late_orders.OTHER[late]
        late_orders.insist(platform, REPLICAS, last, domain)
        held_by, handle = hold(late, domain)
        first, second = (name for name in REPLICAS if name != held_by)
        late_orders.insist(platform, (first, second), late, domain)
        late_orders.insist(platform, (second, first), last, domain)
        context.late_statuses.append(release(handle))
        time.sleep(SETTLE_SECONDS)
        if not is_last_in_force(context, last, domain):
            context.failures.append(f"{last} {domain} was undone")
        late_orders.insist(platform, REPLICAS, "take back", domain)


def freeze_and_play(context, choose):
    platform = context.platform

    def hold(order, domain):
        name = choose(platform_steps.find_leader(context))
        platform.pause(name)
        late_orders.send(platform, name, order, domain)
        return name, name

    def release(name):
        platform.resume(name)
        return 0

    play_all(context, hold, release)


@behave.when(
    "each order for each failure domain is left at a frozen follower, resent "
    "and undone"
)
def freeze_follower(context):
    freeze_and_play(
        context,
        lambda leader: next(one for one in REPLICAS if one != leader),
    )


@behave.when(
    "each order for each failure domain is left at the frozen leader, resent "
    "and undone"
)
def freeze_leader(context):
    freeze_and_play(context, lambda leader: leader)


@behave.when(
    "each order for each failure domain arrives {seconds:f} seconds late, "
    "resent and undone before"
)
def hold_on_link(context, seconds):
    def hold(order, domain):
        link = late_orders.connect(context.platform, "replica-1")
        time.sleep(seconds)
        return "replica-1", (link, order, domain)

    def release(held):
        link, order, domain = held
        with link:
            link.sendall(late_orders.make_order(order, domain))
            return int(link.recv(65536).split()[1])

    play_all(context, hold, release)


@behave.then("after each the last acknowledged order is in force everywhere")
def check_in_force(context):
    assert not context.failures, context.failures


@behave.then("each late order is answered {status:d}")
def check_late(context, status):
    assert set(context.late_statuses) == {status}, context.late_statuses


@behave.when("{domain} is taken out by way of {replica}")
def take_out(context, domain, replica):
    late_orders.insist(context.platform, [replica], "evacuate", domain)


@behave.when(
    "zone-b is out and {count:d} callers of the reverse order leave a paused "
    "replica"
)
def leave_paused(context, count):
    platform = context.platform
    late_orders.insist(platform, REPLICAS, "evacuate", "zone-b")
    platform.pause("replica-2")
    for _ in range(count):
        with late_orders.connect(platform, "replica-2") as link:
            link.sendall(late_orders.make_order("take back", "zone-b"))
    platform.resume("replica-2")
    time.sleep(SETTLE_SECONDS)


@behave.then("no replica has taken zone-b back")
def check_not_back(context):
    for name in REPLICAS:
        lines = late_orders.list_lines(context.platform, name, "apply change")
        assert [one["inputs"]["state"] for one in lines] == ["out"], lines


@behave.when(
    "zone-b is taken out and back {count:d} times, at another replica each "
    "time"
)
def alternate(context, count):
    context.seconds = []
    for number in range(2 * count):
        order = ("evacuate", "take back")[number % 2]
        replicas_asked = [REPLICAS[(number + one) % 3] for one in range(3)]
        began_at = time.monotonic()
        late_orders.insist(context.platform, replicas_asked, order, "zone-b")
        context.seconds.append(time.monotonic() - began_at)


@behave.then("each order is acknowledged within {seconds:g} second")
def check_seconds(context, seconds):
    print(f"longest {max(context.seconds):.3f} s")
    assert max(context.seconds) < seconds, context.seconds


@behave.then("an order that is sent again is acknowledged again")
def check_again(context):
    for name in REPLICAS:
        late_orders.insist(context.platform, [name], "evacuate", "zone-b")


@behave.then("every replica logs who asked, and the version before")
def check_replica_logs(context):
    for name in REPLICAS:
        (line,) = processes.wait_until(
            lambda one=name: late_orders.list_lines(
                context.platform, one, "apply change"
            )
        )
        assert line["message"] == "failure domain zone-b is set", line
        asked_by = line["operation"].partition("/")[0]
        address = context.platform.find_address("replica-2")
        assert asked_by == address, (asked_by, address)
        assert line["inputs"]["version_before"] == 0, line
        assert line["inputs"]["state"] == "out", line
        context.index = line["inputs"]["index"]


@behave.then("every entry instance logs that it obeys")
def check_entry_logs(context):
    for entry in ENTRIES:
        (line,) = processes.wait_until(
            lambda one=entry: late_orders.list_lines(
                context.platform, one, "take up failure domains"
            )
        )
        assert line["inputs"]["out"] == ["zone-b"], line
        assert line["inputs"]["index"] >= context.index, line


@behave.when(
    "an order to {order}, given up after {seconds:f} s and undone, reaches "
    "the leader late, and {event}"
)
def hold_submit(context, order, seconds, event):
    context.held, context.states = replicas.run_repeatably(
        held_submits.SEED, held_submits.play, order, seconds, event
    )
    context.late = order


@behave.when(
    "a leader with a slow disk gets a command that is given up at once"
)
def give_up(context):
    context.rows = replicas.run_repeatably(
        held_submits.SEED, held_submits.leave_queue
    )


@behave.then("it writes only the command before")
def check_given_up(context):
    assert context.rows == {"kept"}, context.rows


@behave.then("the last acknowledged order is in force at every replica")
def check_states(context):
    assert context.held, "no message was held back"
    last = "in" if context.late == "evacuate" else "out"
    assert context.states == [last] * 3, context.states


def make_document(version):
    body = platforms.make_document(version)
    return commands.ImportDocument(version, deltas.pack(body), 1.0)


def set_weight(operation, expected, weight):
    return commands.SetCells(
        operation, "upstreams", "row", expected, {"weight": weight}, 1.0
    )


def settle(state):
    return commands.SettleAttempt("a", "key", "t", state, 200, "", b"x", 1.0)


CLAIM = commands.ClaimAttempt("a", "key", "d", "t", "entry-1", 3600, 10, 1.0)
LATE_WRITES = {
    "a document after a newer one": [
        make_document(1),
        make_document(2),
        make_document(1),
    ],
    "a row change after a newer one": [
        set_weight("op-1", states.ANY_VERSION, 1),
        set_weight("op-2", states.ANY_VERSION, 2),
        set_weight("op-1", states.ANY_VERSION, 1),
    ],
    "a new row after its removal": [
        set_weight("op-1", 0, 1),
        commands.RemoveRow("op-2", "upstreams", "row", 1, 1.0),
        set_weight("op-1", 0, 1),
    ],
    "a claim after its abandonment": [settle("abandoned"), CLAIM],
    "a settlement after a later one": [
        CLAIM,
        settle("finished"),
        settle("unknown"),
    ],
}


@behave.when("the state gets a late copy of {write}")
def apply_late(context, write):
    state = states.State()
    context.contents = []
    for index, command in enumerate(LATE_WRITES[write], 1):
        state.apply(commands.Entry(index, 1, *commands.encode(command)))
        context.contents.append(
            (
                {name: dict(rows) for name, rows in state.tables.items()},
                dict(state.claims),
                state.documents.get_latest(),
            )
        )


@behave.then("rows, claims and documents stay as they are")
def check_unchanged(context):
    first, before, after = [None, *context.contents][-3:]
    assert after == before, (before, after)
    assert before != first, "the write before the copy had no effect"
