"""Measures the fleet against baselines with one seeded workload.

Usage:
    measure [--seed=N] [--seconds=N] [--chats=N] [--policy=NAME] [--out=FILE]

Options:
    --seed=N       Seed of the workload [default: 1].
    --seconds=N    Length of one run [default: 24].
    --chats=N      Chats of one run [default: 110].
    --policy=NAME  Only this policy; `fleet` is today's design.
    --out=FILE     JSON file for the results; the plot goes beside it
                   [default: docs/measurements.json].

Peachtree's fleet runs as real processes: 8 instances in 3 failure domains,
9 engines. Returning chats with heavy-tailed pauses run through the fleet,
and then by each baseline straight to fresh engines. One engine is killed at
a third of the run and starts again cold at half of it; another leaves by
SIGTERM at two thirds. The fleet also runs without churn while a failure
domain is taken out at a third of the run and brought back at two thirds.
"""

import json
import pathlib
import random
import signal
import statistics
import typing

import docopt
import httpcore
import matplotlib
import numpy
import tabulate
import trio

from tests.harness import callers
from tests.harness import fleet as fleets
from tests.harness import plans
from tools import loads
from tools import policies
from tools import readings

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

EXAMPLE = pathlib.Path("examples/peachtree")
ENGINE_OPTIONS = (
    "--step-ms",
    20,
    "--prefill-ms",
    6,
    "--cache-blocks",
    1500,
) + ("--capacity", 16, "--cold-limit", 3, "--warm-after", 8)
ACCOUNTS = 10
TURNS = 7
SAMPLE_SECONDS = 0.1
RETRY_SECONDS = 0.5
MOST_TRIES = 20
WARM_UP_CHATS = 150
OUT_DOMAIN = "atl-b"
FLEET = "fleet"


class Served(typing.NamedTuple):
    """One turn as its caller saw it.

    Attributes:
        at: seconds after the start at which it was due.
        first_seconds: until the first token; None when there was none.
        refusals: times it was refused or failed before it was served.
        whole: it was answered whole.
    """

    at: float
    first_seconds: float | None
    refusals: int
    whole: bool


class Run:
    """One run of the workload under one policy."""

    def __init__(self, fleet, policy, turns, seed):
        self._fleet = fleet
        self._policy = policy
        self._turns = turns
        self._chance = random.Random(seed)
        self._pool = None
        self._ports = {
            one.name: one.port for one in fleet.plan.upstreams if one.models
        }
        self.served = []
        self.samples = []

    def _choose(self, turn):
        """Return (address, name of the engine or None)."""
        if self._policy is None:
            instance = self._chance.choice(self._fleet.plan.instances)
            return instance.callers, None
        name = self._policy.choose(turn)
        return f"127.0.0.1:{self._ports[name]}", name

    async def run(self, seconds, happenings):
        """Run all turns; happenings are pairs of (seconds, function)."""
        self._pool = httpcore.AsyncConnectionPool(max_connections=None)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sample, start, seconds)
            for at, happening in happenings:
                nursery.start_soon(_call_at, start + at, happening)
            async with trio.open_nursery() as turns:
                for turn in self._turns:
                    await trio.sleep_until(start + turn.at)
                    turns.start_soon(self._serve, turn, start)
        await self._pool.aclose()

    async def _serve(self, turn, start):
        due = trio.current_time()
        refusals = 0
        first = None
        whole = False
        for _ in range(MOST_TRIES):
            address, name = self._choose(turn)
            if name:
                self._policy.loads[name] += 1
            try:
                first, whole = await self._send(turn, address)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                whole = False
                if name:
                    self._policy.alive.discard(name)
            finally:
                if name:
                    self._policy.loads[name] -= 1
            if whole:
                if name:
                    self._policy.note_served(turn, name)
                break
            refusals += 1
            await trio.sleep(RETRY_SECONDS)
        waited = None if first is None else first - due
        self.served.append(Served(due - start, waited, refusals, whole))

    async def _send(self, turn, address):
        """Send a turn; return (time of the first token, whole)."""
        body = {
            "model": "stringmind",
            "messages": turn.messages,
            "max_tokens": loads.TURN_TOKENS,
            "stream": True,
        }
        number = turn.account + 1
        key = self._fleet.plan.account_key
        key = key if number == 1 else f"{key}-{number}"
        headers = {
            "authorization": f"Bearer {key}",
            "x-chat-id": f"chat-{turn.chat}",
            "x-request-id": f"direct-{turn.chat}-{turn.at}",
        }
        first = None
        ended = False
        # A pool of its own: a shared one looks through all connections
        # for each request, which would measure the client.
        async with httpcore.AsyncConnectionPool() as pool:
            async with pool.stream(
                "POST",
                f"http://{address}/v1/chat/completions",
                headers=headers,
                content=json.dumps(body).encode(),
            ) as response:
                async for piece in response.aiter_stream():
                    if response.status == 200 and first is None:
                        if b'"content"' in piece:
                            first = trio.current_time()
                    ended = ended or b"[DONE]" in piece
        return first, response.status == 200 and ended

    async def _sample(self, start, seconds):
        """Sample the engines' true loads."""
        while trio.current_time() < start + seconds:
            found = {}
            async with trio.open_nursery() as nursery:
                for name, port in self._ports.items():
                    nursery.start_soon(self._read_load, name, port, found)
            self.samples.append((trio.current_time() - start, found))
            await trio.sleep(SAMPLE_SECONDS)

    async def _read_load(self, name, port, found):
        try:
            response = await self._pool.request(
                "GET", f"http://127.0.0.1:{port}/stats"
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        found[name] = json.loads(response.content)


async def _call_at(moment, function):
    await trio.sleep_until(moment)
    await trio.to_thread.run_sync(function)


class Experiment:
    """Runs policies one after the other on fresh engines."""

    def __init__(self, fleet, seed, chats, seconds):
        self._fleet = fleet
        self._seed = seed
        self._seconds = seconds
        self._turns = loads.plan_turns(
            seed, chats=chats, accounts=ACCOUNTS, turns=TURNS, seconds=seconds
        )
        self._engines = [
            one.name for one in fleet.plan.upstreams if one.models
        ]
        self._lost_counts = {}

    def _restart_engines(self):
        """Give every run engines with empty caches, warmed up alike."""
        for name in self._engines:
            if self._fleet.processes[name].is_running():
                self._fleet.kill(name)
        for name in self._engines:
            self._fleet.start_upstream(name, *ENGINE_OPTIONS)
        self._fleet.wait_upstreams()
        trio.run(self._warm_up)
        self._lost_counts = {name: [0, 0] for name in self._engines}
        self._before = {name: self._read(name) for name in self._engines}

    async def _warm_up(self):
        """Complete enough chats through the fleet that all are warm."""
        turns = loads.plan_turns(
            self._seed + 1,
            chats=WARM_UP_CHATS,
            accounts=ACCOUNTS,
            turns=2,
            seconds=8,
        )
        run = Run(self._fleet, None, turns, self._seed)
        await run.run(1, [])

    def _read(self, name):
        port = next(
            one.port for one in self._fleet.plan.upstreams if one.name == name
        )
        try:
            stats = callers.send("GET", f"127.0.0.1:{port}", "/stats").json()
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return [0, 0, 0]
        return [
            stats.get("blocks", 0),
            stats.get("cached_blocks", 0),
            stats.get("collapses", 0),
        ]

    def _plan_churn(self, policy):
        """Return happenings: a crash with a return, and a leave."""
        crashed, left = self._engines[1], self._engines[5]
        third = self._seconds / 3

        def crash():
            self._keep_counts(crashed)
            self._fleet.kill(crashed)
            if policy is not None:
                policy.note_lost(crashed)

        def come_back():
            self._fleet.start_upstream(crashed, *ENGINE_OPTIONS)
            if policy is not None:
                policy.alive.add(crashed)

        def leave():
            self._keep_counts(left)
            self._fleet.processes[left].send_signal(signal.SIGTERM)
            if policy is not None:
                policy.alive.discard(left)
                policy.note_lost(left)

        return [
            (third, crash),
            (self._seconds / 2, come_back),
            (2 * third, leave),
        ]

    def _keep_counts(self, name):
        """Keep what an engine counted so far, as its process ends."""
        now = self._read(name)
        before = self._before[name]
        self._lost_counts[name] = [
            one - other for one, other in zip(now, before)
        ]
        self._before[name] = [0, 0, 0]

    def _plan_domain_move(self):
        change = self._fleet.client.change_row

        def set_state(state):
            change("failure_domains", OUT_DOMAIN, {"state": state})

        third = self._seconds / 3
        return [
            (third, lambda: set_state("out")),
            (2 * third, lambda: set_state("in")),
        ]

    def run_policy(self, name, *, move=False):
        """Run one policy and return its figures."""
        self._restart_engines()
        policy = None
        if name != FLEET:
            policy = policies.BASELINES[name](self._engines, self._seed)
        happenings = self._plan_churn(policy)
        if move:
            happenings = self._plan_domain_move()
        control = self._read_control()
        run = Run(self._fleet, policy, self._turns, self._seed)
        trio.run(run.run, self._seconds, happenings)
        figures = self._summarize(run)
        if policy is None:
            figures["control_bytes"] = self._rate_control(control)
        if move:
            figures["windows"] = self._summarize_windows(run)
        return figures

    def _read_control(self):
        return {
            one.name: readings.read_control_bytes(one.operators)
            for one in self._fleet.plan.instances
        }

    def _rate_control(self, before):
        """Return the highest control traffic of an instance, B/s."""
        after = self._read_control()
        rates = {
            name: (sum(after[name].values()) - sum(before[name].values()))
            / self._seconds
            for name in after
        }
        return {"highest": max(rates.values()), "by_instance": rates}

    def _summarize(self, run):
        blocks = cached = collapses = 0
        for name in self._engines:
            counts = [
                now - before + lost
                for now, before, lost in zip(
                    self._read(name),
                    self._before[name],
                    [*self._lost_counts[name], 0][:3],
                )
            ]
            blocks += max(0, counts[0])
            cached += max(0, counts[1])
            collapses += max(0, counts[2])
        firsts = [
            one.first_seconds
            for one in run.served
            if one.first_seconds is not None
        ]
        return {
            "turns": len(run.served),
            "reuse": cached / max(1, blocks),
            "skew": summarize_skew(run.samples),
            "first_token": summarize(firsts),
            "refusals": sum(one.refusals for one in run.served),
            "lost": sum(not one.whole for one in run.served),
            "collapses": collapses,
        }

    def _summarize_windows(self, run):
        """Return figures before, during and after the move."""
        third = self._seconds / 3
        windows = {}
        for number, name in enumerate(("before", "out", "back")):
            inside = [
                one
                for one in run.served
                if number * third <= one.at < (number + 1) * third
            ]
            firsts = [
                one.first_seconds
                for one in inside
                if one.first_seconds is not None
            ]
            windows[name] = {
                "turns": len(inside),
                "first_token": summarize(firsts),
                "refusals": sum(one.refusals for one in inside),
                "lost": sum(not one.whole for one in inside),
            }
        return windows


def summarize(values):
    """Return p50, p95 and p99 of values."""
    if not values:
        return {"p50": None, "p95": None, "p99": None}
    points = numpy.percentile(values, (50, 95, 99))
    return dict(zip(("p50", "p95", "p99"), (float(one) for one in points)))


def summarize_skew(samples):
    """Return the mean and p95 of max/mean of loads, where load is real."""
    ratios = []
    for _, found in samples:
        active = [stats["active"] for stats in found.values()]
        if sum(active) >= len(active):
            ratios.append(max(active) * len(active) / sum(active))
    if not ratios:
        return {"mean": None, "p95": None}
    return {
        "mean": statistics.mean(ratios),
        "p95": float(numpy.percentile(ratios, 95)),
    }


def show(results):
    """Print the table of results."""
    oracle = results.get("oracle", {}).get("reuse")
    rows = []
    for name, one in results.items():
        ratio = one["reuse"] / oracle if oracle else None
        rows.append(
            [
                name,
                one["turns"],
                one["reuse"],
                ratio,
                one["skew"]["mean"],
                one["skew"]["p95"],
                one["first_token"]["p50"],
                one["first_token"]["p95"],
                one["first_token"]["p99"],
                one["refusals"],
                one["lost"],
                one["collapses"],
            ]
        )
    headers = ["policy", "turns", "reuse", "of oracle", "skew", "skew p95"]
    headers += ["first p50", "p95", "p99", "refusals", "lost", "fell over"]
    print(tabulate.tabulate(rows, headers=headers, floatfmt=".3f"))


def plot(results, path):
    """Draw cache reuse and first token of each policy."""
    names = list(results)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    left.barh(names, [results[name]["reuse"] for name in names])
    left.set_xlabel("share of prompt blocks found in cache")
    firsts = [results[name]["first_token"]["p95"] or 0 for name in names]
    right.barh(names, firsts)
    right.set_xlabel("first token, 95th percentile, seconds")
    right.set_yticklabels([])
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main():
    """Run every policy and write the results."""
    arguments = docopt.docopt(__doc__)
    plan = plans.load_plan(EXAMPLE / "fleet.ini")
    fleet = fleets.Fleet(
        plan, pathlib.Path("run", plan.name), settings_folder=EXAMPLE
    )
    results = {}
    try:
        fleet.start_instances()
        fleet.wait_ready()
        fleet.load_tables(EXAMPLE)
        fleet.start_upstreams(*ENGINE_OPTIONS)
        fleet.wait_upstreams()
        experiment = Experiment(
            fleet,
            int(arguments["--seed"]),
            int(arguments["--chats"]),
            float(arguments["--seconds"]),
        )
        wanted = [arguments["--policy"]]
        if not arguments["--policy"]:
            wanted = [FLEET, *policies.BASELINES]
        for name in wanted:
            results[name] = experiment.run_policy(name)
            print(f"{name} done", flush=True)
        if FLEET in wanted:
            moved = experiment.run_policy(FLEET, move=True)
            results["fleet, domain moves"] = moved
    finally:
        fleet.close()
    show(results)
    path = pathlib.Path(arguments["--out"])
    path.write_text(json.dumps(results, indent=1) + "\n")
    plot(results, path.with_suffix(".png"))


if __name__ == "__main__":
    main()
