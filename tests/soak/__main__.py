"""Runs the soak test: the programs under seeded faults.

Usage:
    soak [--first=N] [--seeds=N] [--jobs=N] [--seconds=S] [--break=NAME]
         [--build=COMMIT] [--folder=PATH]
    soak --schedule=FILE [--shorten] [--break=NAME] [--build=COMMIT]
         [--folder=PATH]
    soak --regressions [--jobs=N] [--build=COMMIT] [--folder=PATH]

Options:
    --first=N        First seed; random if not given.
    --seeds=N        Number of seeds [default: 1].
    --jobs=N         Number of concurrent runs [default: 2].
    --seconds=S      Length of a schedule in seconds [default: 30].
    --schedule=FILE  Inject the faults of a schedule file.
    --shorten        Search for a shorter schedule that still fails.
    --regressions    Run each schedule of tests/soak/regressions.
    --break=NAME     Use a daemon with a defect; see tests/soak/broken.py.
    --build=COMMIT   Use the daemon of an earlier commit.
    --folder=PATH    Folder of logs and schedules [default: run/soak].

The folder of a run that violates a guarantee is kept, with its schedule, its
logs and the violations. The exit code is 1 if there is such a run.
"""

import collections
import concurrent.futures
import contextlib
import json
import pathlib
import random
import shutil
import sys
import time

import docopt

from tests.harness import processes
from tests.harness import slots
from tests.soak import checkers
from tests.soak import histories
from tests.soak import injector as injectors
from tests.soak import load as loads
from tests.soak import operators
from tests.soak import schedules
from tests.soak import world as worlds

FIRST_SLOT = 40  # above the slots of the feature tests
REGRESSIONS = pathlib.Path("tests/soak/regressions")
RECOVERY_TIMEOUT_SECONDS = 20.0  # tells a late recovery from none
OBSERVE_SECONDS = 3.0  # for requests to each failure domain that is in
LEAST_OBSERVE_SECONDS = 0.5


def play(faults, folder, slot, seed, program=None):
    """Inject faults into new processes and return the History.

    Args:
        faults: list of schedules.Fault in order of time.
        folder: folder for settings, data and logs; its contents are deleted.
        slot: number that selects addresses not used by other runs.
        seed: seed of the random choices of callers and proxy.
        program: command line of the daemon; None runs the installed one.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    schedules.save(faults, folder / "schedule.jsonl")
    old = [fault.target for fault in faults if fault.kind == "old build"]
    world = worlds.World(folder, slot, seed, program, old)
    injector = injectors.Injector(world, seed)
    reader = operators.Reader(world.list_replicas, injector.find_body)
    load = loads.Load(world, seed, injector.find_version)
    try:
        world.start()
        load.start()
        reader.start()
        try:
            injector.play(faults, load)
            final_state = _observe_end(world, injector.last_order_at)
        finally:
            load.stop()
            reader.stop()
    finally:
        world.close()
    return histories.History(
        load.answers,
        injector.operator.requests,
        injector.fault_periods,
        world.platform.list_effects(),
        world.platform.list_departures(),
        world.platform.list_notices(),
        world.platform.list_falls(),
        final_state,
        reader.readings,
    )


def _observe_end(world, last_order_at):
    """Return the FinalState; requests then show which domains are in."""
    started_at = time.monotonic()
    recovered = world.wait_recovered(RECOVERY_TIMEOUT_SECONDS)
    versions = world.wait_versions(started_at)
    settled_at = last_order_at + checkers.EVACUATE_SECONDS
    time.sleep(max(0.0, settled_at - time.time()))
    observed_from = time.time()
    time.sleep(LEAST_OBSERVE_SECONDS)
    with contextlib.suppress(TimeoutError):
        processes.wait_until(
            lambda: _count_used(world, observed_from)
            == len(schedules.DOMAINS),
            OBSERVE_SECONDS - LEAST_OBSERVE_SECONDS,
        )
    return histories.FinalState(recovered, versions, observed_from)


def _write_records(path, records):
    lines = [json.dumps(one._asdict()) for one in records]
    path.write_text("\n".join(lines) + "\n")


def _count_used(world, since):
    """Return how many failure domains got requests since a time."""
    effects = world.platform.list_effects()
    return len({one["zone"] for one in effects if one["at"] >= since})


def run(faults, folder, slot, seed, program=None):
    """Inject faults, check the history and return (violations, counts)."""
    try:
        history = play(faults, folder, slot, seed, program)
    except (TimeoutError, injectors.InjectorError) as error:
        violations = {"start": [str(error)]}
        return violations, collections.Counter(start=1)
    violations = checkers.check(history)
    counts = collections.Counter(fault.kind for fault in faults)
    counts["answers"] = len(history.answers)
    counts["served"] = sum(one.status == 200 for one in history.answers)
    counts["acknowledged"] = sum(
        one.acknowledged_at is not None for one in history.operator_requests
    )
    counts["orders"] = len(history.operator_requests)
    counts["readings"] = len(history.readings)
    if violations:
        (folder / "found.json").write_text(json.dumps(violations, indent=1))
        _write_records(folder / "orders.jsonl", history.operator_requests)
        _write_records(folder / "faults.jsonl", history.fault_periods)
    else:
        shutil.rmtree(folder)
    return violations, counts


def _list_runs(arguments):
    """Return (name, seed, faults) of each run."""
    if arguments["--schedule"]:
        paths = [pathlib.Path(arguments["--schedule"])]
    elif arguments["--regressions"]:
        paths = sorted(REGRESSIONS.glob("*.jsonl"))
    else:
        first = arguments["--first"]
        first = random.randrange(10**6) if first is None else int(first)
        seconds = float(arguments["--seconds"])
        seeds = range(first, first + int(arguments["--seeds"]))
        return [(str(n), n, schedules.draw(n, seconds)) for n in seeds]
    return [(path.stem, 0, schedules.load(path)) for path in paths]


def main():
    """Run the soak test with the options of the command line."""
    arguments = docopt.docopt(__doc__)
    program = None
    if arguments["--build"]:
        program = worlds.find_program(arguments["--build"])
    if arguments["--break"]:
        program = processes.run_module(
            "tests.soak.broken", arguments["--break"], "--platform"
        )
    runs = _list_runs(arguments)
    jobs = int(arguments["--jobs"])
    top = pathlib.Path(arguments["--folder"])
    started_at = time.monotonic()

    def run_one(name, seed, faults, slot):
        return name, *run(faults, top / name, slot, seed, program)

    run_one = slots.allocate_slots(
        run_one, range(FIRST_SLOT, FIRST_SLOT + jobs)
    )
    totals, failed_runs = collections.Counter(), {}
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        futures = [pool.submit(run_one, *one) for one in runs]
        for future in concurrent.futures.as_completed(futures):
            name, violations, counts = future.result()
            totals += counts
            if violations:
                failed_runs[name] = violations
            print(
                f"{name}: {json.dumps(violations) if violations else 'passed'}"
            )
            sys.stdout.flush()
    if arguments["--shorten"] and failed_runs:
        name, seed, faults = runs[0]
        shorter = schedules.shorten(
            faults, lambda one: run_one(name, seed, one)[1]
        )
        schedules.save(shorter, top / f"{name}.short.jsonl")
        print(f"shortened to {len(shorter)} of {len(faults)} faults")
    minutes = (time.monotonic() - started_at) / 60
    print(
        f"{len(runs)} runs, {minutes:.1f} minutes, {len(failed_runs)} failed"
    )
    print(json.dumps(totals))
    sys.exit(1 if failed_runs else 0)


if __name__ == "__main__":
    main()
