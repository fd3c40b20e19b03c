"""Step definitions for rollouts."""

import json
import threading
import time
import types

import behave
import trio
import trio.testing

from camphorhook_common import wire
from camphorhook_daemon.domain import rollouts
from camphorhook_daemon.domain.routing import announced_versions
from camphorhook_daemon.domain.routing import rollout_evidence
from camphorhook_daemon.domain.routing import rollout_reports
from camphorhook_daemon.domain.routing import rollout_shares
from camphorhook_daemon.domain import state as states
from tests.features.steps import platform as platform_steps
from tests.harness import platforms
from tests.harness import processes
from tests.harness import rollouts as plays

BOUNDS = {"ExposureShare": 0.1, "ExposureSlack": 50, "RollbackMs": 5000}
SERVICE = "plain"
TARGET_SERVERS = ("server-11", "server-12", "server-13")
OLD_SERVERS = ("server-1", "server-2", "server-3")
OPTIONS = {
    "fail half": ("--failing=0.5",),
    "are slow": ("--lag=0.1",),
    "are sound": (),
}
SENDERS = 4
PAUSE_SECONDS = 0.03  # of each sender, between two requests
SETTLE_SECONDS = 0.5  # until all instances obey a row
STEP_SLACK_SECONDS = 1.0  # for the answer of a read
INVALID = (
    {"Service": "nothing", "Target": "v2", "DurationS": 5},
    {"Service": SERVICE, "Target": "", "DurationS": 5},
    {"Service": SERVICE, "DurationS": 5},
    {"Service": SERVICE, "Target": "v2"},
    {"Service": SERVICE, "Target": 2, "DurationS": 5},
    {"Service": SERVICE, "Target": "v2", "DurationS": 0},
    {"Service": SERVICE, "Target": "v2", "DurationS": -1},
    {"Service": SERVICE, "Target": "v2", "DurationS": 1e300},
    {"Service": SERVICE, "Target": "v2", "DurationS": "5"},
    {"Service": SERVICE, "Target": "v2", "DurationS": True},
    {"Service": SERVICE, "Target": "v2", "DurationS": None},
    {"Target": "v2", "DurationS": 5},
    [],
    None,
)


@behave.when(
    '{count:d} rollouts of 12 s at {rate:d} requests a second see "{history}"'
)
def play_rollouts(context, count, rate, history):
    context.results = [
        plays.Play(plays.HISTORIES[history], seed, rate).run()
        for seed in range(count)
    ]


@behave.then("each is {state} within its bounds")
def check_results(context, state):
    for seed, result in enumerate(context.results):
        assert state in (result.state, "any"), (seed, result)
        assert not result.find_fault(), (seed, result, result.find_fault())
        limit = plays.SHARE * result.sent + plays.SLACK
        # A good version may turn bad later.
        assert result.to_target <= limit, (seed, result)


class _Configuration:
    """Rows and the time since their confirmation, set by a scenario."""

    def __init__(self, rollout, age):
        self.age = age
        self.index = 1
        self.set_rollout(rollout)

    def set_rollout(self, rollout):
        self.changed = object()
        self._rollouts = {SERVICE: (1, rollouts.make_cells(rollout))}

    def measure_confirmed_age(self):
        return self.age

    def list_rows(self, table):
        if table == states.ROLLOUTS_TABLE:
            return self._rollouts
        return {
            announced_versions.make_row(SERVICE, version): (
                1,
                {"service": SERVICE, "version": version},
            )
            for version in ("v1", "v2")
        }


def _make_rollout(state):
    rollout = rollouts.begin(None, {"v1", "v2"}, "v2", 12.0, 0.1, 0.0)
    ends = {
        "running": lambda one: one,
        "completed": rollouts.complete,
        "rolled_back": lambda one: rollouts.roll_back(one, "bad"),
    }
    return ends[state](rollout)


def _make_upstream(version):
    return types.SimpleNamespace(
        name=f"server-{version}", service=SERVICE, version=version
    )


@behave.given("a rollout of v2 that is {state}, confirmed {age:g} s ago")
def make_shares(context, state, age):
    context.configuration = _Configuration(_make_rollout(state), age)
    context.shares = rollout_shares.VersionShares(
        types.SimpleNamespace(exposure_share=0.1, rollback_seconds=5.0),
        context.configuration,
        lambda: 0.0,
    )


@behave.when("the rollout is {state:Word}")
def change_rollout(context, state):
    context.configuration.set_rollout(_make_rollout(state))


def _split(context, request="one", version=None, versions=("v1", "v2")):
    candidates = [
        _make_upstream(one) for one in versions if version in (None, one)
    ]
    return [
        [one.version for one in group]
        for group in context.shares.split(
            SERVICE, candidates, request, version, False
        )
    ]


@behave.then("{part:g} of the requests may go to v2, and {old:g} to v1")
def check_parts(context, part, old):
    firsts = [_split(context, str(n))[0] for n in range(4000)]
    found = sum("v2" in one for one in firsts) / len(firsts)
    assert abs(found - part) < 0.02, found
    found = sum("v1" in one for one in firsts) / len(firsts)
    assert abs(found - old) < 0.02, found
    obstacle = context.shares.find_obstacle(_make_upstream("v2"))
    assert bool(obstacle) == (part == 0), obstacle


@behave.then("a stream of v1 and one of v2 go on at their versions")
def check_streams(context):
    for version in ("v1", "v2"):
        assert _split(context, "one", version) == [[version]]


@behave.then("a stream of v2 can't go on")
def check_no_stream(context):
    assert _split(context, "one", "v2") == [[]]


@behave.then("an upstream of v3 gets no request")
def check_unknown(context):
    for number in range(200):
        groups = _split(context, str(number), None, ("v1", "v2", "v3"))
        assert not any("v3" in group for group in groups), groups


@behave.when(
    "{target:Word} is rolled out after {last}, with {versions} in the log"
)
def begin_after(context, target, last, versions):
    before = None
    if last != "nothing":
        before = _make_rollout(last.partition(" ")[2])
    context.begun = rollouts.begin(
        before, set(versions.split()), target, 12.0, 0.1, 0.0
    )


@behave.then("it is {state:Word}, and denies {denied}")
def check_begun(context, state, denied):
    assert context.begun.state == state, context.begun
    found = " ".join(context.begun.denied) or "nothing"
    assert found == denied, context.begun


class _Leaders:
    """Two leaders' sums, the second one of which leads in the end."""

    def __init__(self):
        self.sums = {
            name: rollout_evidence.Sums(0.0) for name in ("one", "two")
        }
        self.sizes = {"one": [], "two": []}
        self.leader = "one"

    async def call(self, peer, report, _timeout):
        if peer != self.leader:
            return wire.ReportReply(self.leader)
        self.sums[peer].apply(report)
        self.sizes[peer].append(len(report.counts))
        return wire.ReportReply(peer, self.sums[peer].name)


@behave.when("an instance that reports to a leader is told of another one")
def report_to_two(context):
    context.leaders = trio.run(
        _play_reports, clock=trio.testing.MockClock(autojump_threshold=0)
    )


async def _play_reports():
    rollout = _make_rollout("running")
    own = rollout_shares.OwnEvidence(rollout, 0.0)
    leaders = _Leaders()
    reporter = rollout_reports.Reporter(
        "entry-1",
        types.SimpleNamespace(list_running=lambda: {SERVICE: own}),
        types.SimpleNamespace(
            count_instances=lambda: 2, list_service=lambda _: []
        ),
        types.SimpleNamespace(leader="one"),
        leaders,
        trio.current_time,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reporter.run)
        for leader in ("one", "two"):
            leaders.leader = leader
            for route in ("chat", "search"):
                own.recorder.record_sent(route, "server-1", True)
            await trio.sleep(3.0)
            own.recorder.record_sent("chat", "server-1", True)
            await trio.sleep(0.6)
        nursery.cancel_scope.cancel()
    return leaders


@behave.then("the second leader knows as many requests as the first one")
def check_sums(context):
    found = {
        name: sums.measure_exposure().to_target
        for name, sums in context.leaders.sums.items()
    }
    assert found == {"one": 3, "two": 6}, found


@behave.then("the last report to each held only what had changed")
def check_sizes(context):
    for name, sizes in context.leaders.sizes.items():
        assert sizes[0] == 2 and 1 in sizes[-2:], (name, sizes)
        assert 0 in sizes, (name, sizes)


@behave.when(
    "a leader whose clock is {offset:g} s off takes up a rollout of 12 s"
)
def lead_with_offset(context, offset):
    context.ended_at = trio.run(
        _play_clock, offset, clock=trio.testing.MockClock()
    )


async def _play_clock(offset):
    """Return the seconds until a leader without requests ends a rollout."""
    state = states.State()
    rollout = rollouts.begin(None, {"v1"}, "v2", 12.0, 0.1, 1e9)
    rows = state.tables
    rows[states.ROLLOUTS_TABLE][SERVICE] = states.StoredRow(
        1, rollouts.make_cells(rollout)
    )
    rows[states.VERSIONS_TABLE][announced_versions.make_row(SERVICE, "v2")] = (
        states.StoredRow(1, {"service": SERVICE, "version": "v2"})
    )
    now = [0.0]

    async def submit(command):
        rows[states.ROLLOUTS_TABLE][SERVICE] = states.StoredRow(
            2, command.cells
        )
        return wire.SubmitReply("applied", "one", None)

    leader = rollouts.Rollouts(
        "one",
        types.SimpleNamespace(role="leader", state=state, submit=submit),
        types.SimpleNamespace(exposure_share=0.1, exposure_slack=50.0),
        lambda: now[0],
        lambda: 1e9 + offset + now[0],
    )
    while leader.list_rollouts()[SERVICE][1].state == rollouts.RUNNING:
        await leader.step()
        now[0] += 0.1
    return now[0]


@behave.then("it completes after {least:g} to {most:g} s")
def check_end(context, least, most):
    assert least <= context.ended_at <= most, context.ended_at


@behave.given("a platform with rollouts")
def start_platform(context):
    platform_steps.start_platform(context, 3, 2, 5, BOUNDS)


def _command(service, target, seconds):
    return {"Service": service, "Target": target, "DurationS": seconds}


def _post(context, command, **options):
    return context.platform.call_control(
        "POST", "/-/rollouts", json.dumps(command).encode(), **options
    )


def _read(context, service=SERVICE):
    answer = context.platform.call_control("GET", f"/-/rollouts/{service}")
    return json.loads(answer.body) if answer.status == 200 else {}


def _begin(context, service, seconds):
    context.began_at = time.time()
    command = _command(service, "v2", seconds)
    answer = _post(context, command)
    assert answer.status == 200, (answer.status, answer.body)


def _send_until(context, stop):
    """Send requests from some threads until an event is set."""
    platform = context.platform
    context.statuses = statuses = []

    def run(number):
        entry = platform_steps.ENTRIES[number % 2]
        while not stop.is_set():
            statuses.append(
                platform.request(
                    entry, "/safe/roll", platform_steps.KEY
                ).status
            )
            time.sleep(PAUSE_SECONDS)

    threads = [threading.Thread(target=run, args=(n,)) for n in range(SENDERS)]
    for thread in threads:
        thread.start()

    def end():
        stop.set()
        for thread in threads:
            thread.join()

    context.add_cleanup(end)


@behave.when(
    'v2 of "{service}" is rolled out in {seconds:g} s, with servers that '
    "{how}"
)
def roll_out(context, service, seconds, how):
    _send_until(context, threading.Event())
    _begin(context, service, seconds)
    for number, name in enumerate(TARGET_SERVERS):
        context.platform.start_server(
            name,
            service,
            platforms.DOMAINS[number],
            "--version=v2",
            *OPTIONS[how],
        )


@behave.when("the leader is killed after {seconds:g} s")
def kill_leader(context, seconds):
    time.sleep(max(0.0, context.began_at + seconds - time.time()))
    platform = context.platform
    for name in [one for one in platform.running if "replica" in one]:
        address = platform.find_address(name)
        url = f"http://{address}:9464/metrics"
        if b"log_leads 1" in platforms.call("GET", url).body:
            platform.kill(name)
            return
    raise AssertionError("no replica leads")


@behave.then("the rollout is {state} within {seconds:g} s")
def wait_for_state(context, state, seconds):
    left = context.began_at + seconds - time.time()
    processes.wait_until(
        lambda: _read(context).get("State") == state,
        left + STEP_SLACK_SECONDS,
        f"state {state}",
    )
    context.ended_at = time.time()
    found = context.ended_at - context.began_at
    assert found < seconds, found


def _list_runs(context, after=0.0, before=float("inf")):
    return [
        one
        for one in context.platform.list_effects()
        if after < one["at"] < before and one["service"] == SERVICE
    ]


@behave.then("the servers of v2 got few requests, and none afterwards")
def check_exposure(context):
    time.sleep(3 * SETTLE_SECONDS)
    runs = _list_runs(context, context.began_at)
    exposed = [one for one in runs if one["version"] == "v2"]
    assert exposed, "no request went to v2"
    assert len(exposed) <= 0.1 * len(runs) + 50, (len(exposed), len(runs))
    last = max(one["at"] for one in exposed) - context.ended_at
    assert last < SETTLE_SECONDS, last
    assert set(context.statuses) == {200}, set(context.statuses)


@behave.then("only the servers of v2 get requests afterwards")
def check_moved(context):
    for name in OLD_SERVERS:
        context.platform.kill(name)
    time.sleep(3 * SETTLE_SECONDS)
    runs = _list_runs(context, context.ended_at + SETTLE_SECONDS)
    assert runs, "no request was run"
    assert {one["version"] for one in runs} == {"v2"}
    assert set(context.statuses) == {200}, set(context.statuses)


@behave.when(
    'v2 of "{service}" is rolled out in {seconds:g} s, and all processes are '
    "killed"
)
def roll_out_and_kill(context, service, seconds):
    _begin(context, service, seconds)
    platform = context.platform
    for name in [one for one in platform.running if "server" not in one]:
        platform.kill(name)


@behave.then("the rollout is {state} after they have started again")
def check_after_restart(context, state):
    platform = context.platform
    for number in (1, 2, 3):
        platform.start(f"replica-{number}", first=False)
    for entry in platform_steps.ENTRIES:
        platform.start(entry, first=False)
    processes.wait_until(lambda: _read(context), what="a confirmed state")
    found = _read(context)
    assert found == {"State": state, "Target": "v2"}, found


@behave.then("invalid commands are answered 400 and change nothing")
def check_invalid(context):
    for command in INVALID:
        status = _post(context, command).status
        assert status == 400, (command, status)
    for body in (
        b"",
        b"{",
        b'{"Service":"plain","Target":"v2","DurationS":1e',
    ):
        answer = context.platform.call_control("POST", "/-/rollouts", body)
        assert answer.status == 400, (body, answer.status)
    assert _get_status(context) == 404


def _get_status(context):
    return context.platform.call_control(
        "GET", f"/-/rollouts/{SERVICE}"
    ).status


@behave.then(
    "a repeated command is answered 200, and one with another target 409"
)
def check_repeated(context):
    for replicas in ((1,), (2,), (3,), (1,)):
        command = _command(SERVICE, "v2", 60)
        answer = _post(context, command, replicas=replicas)
        assert answer.status == 200, (replicas, answer.status)
        other = _command(SERVICE, "v3", 60)
        status = _post(context, other, replicas=replicas).status
        assert status == 409, (replicas, status)
        assert _read(context) == {"State": "running", "Target": "v2"}


@behave.then("commands and questions for rollouts are answered 404")
def check_absent(context):
    assert _post(context, _command(SERVICE, "v2", 5)).status == 404
    assert _get_status(context) == 404
