"""Compares the fleet with baseline policies under one seeded workload.

Usage:
    measure [--seed=N] [--seconds=N] [--chats=N] [--policy=NAME] [--out=FILE]

Options:
    --seed=N       Seed of the workload [default: 1].
    --seconds=N    Duration of a run [default: 24].
    --chats=N      Number of chats in a run [default: 110].
    --policy=NAME  Run only this policy; `fleet` is the router fleet itself.
    --out=FILE     JSON file for the results; the plot has the same name
                   [default: docs/measurements.json].

The fleet of examples/peachtree runs as real processes: 8 instances in 3
failure domains, 9 engines. Chats with heavy-tailed pauses run through the
fleet, and then, for each baseline, directly to restarted engines. One engine
is killed at a third of the run and restarted, cold, at half of it; another is
stopped by SIGTERM at two thirds. In a further run of the fleet no engine
fails, but a failure domain is taken out at a third of the run and brought
back at two thirds.
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
from tools import policies
from tools import readings
from tools import workload

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
MAX_ATTEMPTS = 20
WARM_UP_CHATS = 150
EXCLUDED_DOMAIN = "atl-b"
FLEET = "fleet"


class TurnResult(typing.NamedTuple):
    """The result of a turn as its caller sees it.

    Attributes:
        at: time in seconds from the start of the run at which it was due.
        first_seconds: seconds from then to the first token; None without
            any token.
        refusals: number of attempts that were refused or failed.
        is_complete: whether the answer is complete.
    """

    at: float
    first_seconds: float | None
    refusals: int
    is_complete: bool


class Run:
    """A run of the workload under a policy.

    Attributes:
        served: results of the turns that have ended.
        samples: pairs of (seconds since the start, engines' load by name).
    """

    def __init__(self, fleet, policy, turns, seed):
        self._fleet = fleet
        self._policy = policy
        self._turns = turns
        self._rng = random.Random(seed)
        self._pool = None
        self._ports = {
            one.name: one.port for one in fleet.plan.upstreams if one.models
        }
        self.served = []
        self.samples = []

    def _choose(self, turn):
        """Return (address, name of the engine); None as name for the fleet."""
        if self._policy is None:
            instance = self._rng.choice(self._fleet.plan.instances)
            return instance.callers, None
        name = self._policy.choose(turn)
        return f"127.0.0.1:{self._ports[name]}", name

    async def run(self, seconds, actions):
        """Run all turns and call functions at their times.

        Args:
            seconds: for which loads are sampled.
            actions: pairs of (seconds since the start, function).
        """
        self._pool = httpcore.AsyncConnectionPool(max_connections=None)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sample, start, seconds)
            for at, action in actions:
                nursery.start_soon(_call_at, start + at, action)
            async with trio.open_nursery() as turns:
                for turn in self._turns:
                    await trio.sleep_until(start + turn.at)
                    turns.start_soon(self._serve, turn, start)
        await self._pool.aclose()

    async def _serve(self, turn, start):
        due = trio.current_time()
        refusals = 0
        first = None
        is_complete = False
        for _ in range(MAX_ATTEMPTS):
            address, name = self._choose(turn)
            if name:
                self._policy.loads[name] += 1
            try:
                first, is_complete = await self._send(turn, address)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                is_complete = False
                if name:
                    self._policy.alive.discard(name)
            finally:
                if name:
                    self._policy.loads[name] -= 1
            if is_complete:
                if name:
                    self._policy.record_served(turn, name)
                break
            refusals += 1
            await trio.sleep(RETRY_SECONDS)
        waited = None if first is None else first - due
        self.served.append(
            TurnResult(due - start, waited, refusals, is_complete)
        )

    async def _send(self, turn, address):
        """Send a turn once; return (time of the first token, is complete)."""
        body = {
            "model": "stringmind",
            "messages": turn.messages,
            "max_tokens": workload.TURN_TOKENS,
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
        # A shared pool searches all its connections for each request, and
        # the measurement would include this time of the client.
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
        """Read the loads of all engines at regular intervals."""
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
    """Runs policies one after another, each on restarted engines."""

    def __init__(self, fleet, seed, chats, seconds):
        self._fleet = fleet
        self._seed = seed
        self._seconds = seconds
        self._turns = workload.plan_turns(
            seed, chats=chats, accounts=ACCOUNTS, turns=TURNS, seconds=seconds
        )
        self._engines = [
            one.name for one in fleet.plan.upstreams if one.models
        ]
        self._saved_counts = {}

    def _restart_engines(self):
        """Restart all engines with empty caches and warm them up."""
        for name in self._engines:
            if self._fleet.processes[name].is_running():
                self._fleet.kill(name)
        for name in self._engines:
            self._fleet.start_upstream(name, *ENGINE_OPTIONS)
        self._fleet.wait_upstreams()
        trio.run(self._warm_up)
        self._saved_counts = {name: [0, 0] for name in self._engines}
        self._before = {name: self._read(name) for name in self._engines}

    async def _warm_up(self):
        """Run enough chats through the fleet that all engines become warm."""
        turns = workload.plan_turns(
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
        """Return the timed crash, restart and graceful stop of engines."""
        crashed, left = self._engines[1], self._engines[5]
        third = self._seconds / 3

        def crash():
            self._save_counts(crashed)
            self._fleet.kill(crashed)
            if policy is not None:
                policy.record_cache_lost(crashed)

        def restart():
            self._fleet.start_upstream(crashed, *ENGINE_OPTIONS)
            if policy is not None:
                policy.alive.add(crashed)

        def leave():
            self._save_counts(left)
            self._fleet.processes[left].send_signal(signal.SIGTERM)
            if policy is not None:
                policy.alive.discard(left)
                policy.record_cache_lost(left)

        return [
            (third, crash),
            (self._seconds / 2, restart),
            (2 * third, leave),
        ]

    def _save_counts(self, name):
        """Save the counts of an engine whose process is about to end."""
        now = self._read(name)
        before = self._before[name]
        self._saved_counts[name] = [
            one - other for one, other in zip(now, before)
        ]
        self._before[name] = [0, 0, 0]

    def _plan_domain_exclusion(self):
        change = self._fleet.client.change_row

        def set_state(state):
            change("failure_domains", EXCLUDED_DOMAIN, {"state": state})

        third = self._seconds / 3
        return [
            (third, lambda: set_state("out")),
            (2 * third, lambda: set_state("in")),
        ]

    def run_policy(self, name, *, exclude_domain=False):
        """Run a policy and return its results.

        Args:
            name: of the baseline policy, or FLEET.
            exclude_domain: whether to take a failure domain out and bring it
                back, instead of failing engines.
        """
        self._restart_engines()
        policy = None
        if name != FLEET:
            policy = policies.BASELINES[name](self._engines, self._seed)
        actions = self._plan_churn(policy)
        if exclude_domain:
            actions = self._plan_domain_exclusion()
        control = self._read_control()
        run = Run(self._fleet, policy, self._turns, self._seed)
        trio.run(run.run, self._seconds, actions)
        figures = self._summarize(run)
        if policy is None:
            figures["control_bytes"] = self._rate_control(control)
        if exclude_domain:
            figures["windows"] = self._summarize_windows(run)
        return figures

    def _read_control(self):
        return {
            one.name: readings.read_control_bytes(one.operators)
            for one in self._fleet.plan.instances
        }

    def _rate_control(self, before):
        """Return the control traffic by instance and the highest, in B/s."""
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
                    [*self._saved_counts[name], 0][:3],
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
            "lost": sum(not one.is_complete for one in run.served),
            "collapses": collapses,
        }

    def _summarize_windows(self, run):
        """Return the results before, during and after the exclusion."""
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
                "lost": sum(not one.is_complete for one in inside),
            }
        return windows


def summarize(values):
    """Return the p50, p95 and p99 of values; None without any value."""
    if not values:
        return {"p50": None, "p95": None, "p99": None}
    points = numpy.percentile(values, (50, 95, 99))
    return dict(zip(("p50", "p95", "p99"), (float(one) for one in points)))


def summarize_skew(samples):
    """Return the mean and p95 of the ratio of highest to mean load.

    Only samples with a mean of at least one active request count.
    """
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


def print_table(results):
    """Print the results as a table."""
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
    """Plot the cache reuse and the time to first token of each policy."""
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
    """Run the policies, and print, write and plot the results."""
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
            moved = experiment.run_policy(FLEET, exclude_domain=True)
            results["fleet, domain moves"] = moved
    finally:
        fleet.close()
    print_table(results)
    path = pathlib.Path(arguments["--out"])
    path.write_text(json.dumps(results, indent=1) + "\n")
    plot(results, path.with_suffix(".png"))


if __name__ == "__main__":
    main()
