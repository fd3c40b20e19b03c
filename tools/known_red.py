"""Runs all tests; tolerates the failures that KNOWN-RED.txt lists.

Usage:
    known_red [--workers=N] [FEATURE...]

Options:
    --workers=N  Feature files to run at the same time [default: 3].

Each feature file runs in a process of its own, with its own ports. Those
tagged @alone measure rates; they run after the others, one at a time. The
listed scenarios are printed. The exit code is 0 if no other scenario failed.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys

import docopt

from tests.harness import slots

FEATURES = pathlib.Path("tests/features")
KNOWN_FAILURES_FILE = pathlib.Path("KNOWN-RED.txt")
FEATURE_TIMEOUT_SECONDS = 800


def read_known():
    """Return the scenarios in the `test:` lines of KNOWN-RED.txt."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    prefix = "test:"
    return [
        line[len(prefix) :].strip()
        for line in lines
        if line.startswith(prefix)
    ]


def run_feature(path, slot):
    """Run a feature file; return ([(scenario, status)], output).

    A file without results counts as one failed scenario.

    Args:
        path: of the feature file.
        slot: number that selects the ports of the run.

    Raises:
        subprocess.TimeoutExpired: the run took too long.
    """
    report = pathlib.Path("run") / f"{path.stem}.report.json"
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-summary"]
    command += ["--format", "json", "--outfile", str(report)]
    command += ["--format", "plain", "--no-capture", str(path)]
    environment = {**os.environ, "CAMPHORHOOK_TEST_SLOT": str(slot)}
    done = subprocess.run(
        command,
        env=environment,
        capture_output=True,
        text=True,
        timeout=FEATURE_TIMEOUT_SECONDS,
    )
    output = done.stdout + done.stderr
    results = list(read_report(report, path))
    if not results:
        results = [(f"{path.name}: (did not run)", "failed")]
    return results, output


def read_report(report, path):
    """Yield (name, status) of each scenario in a JSON report of behave."""
    if not report.exists() or not report.read_text().strip():
        return
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            # The name of a row of unnamed examples ends with a space.
            name = f"{path.name}: {element['name']}".strip()
            yield name, element.get("status", "failed")


def is_alone(path):
    """Return whether no other feature may run beside one."""
    tags = path.read_text().partition("Feature:")[0]
    return "@alone" in tags.split()


def run_all(paths, workers):
    """Run feature files in parallel; return statuses by scenario."""
    run_one = slots.allocate_slots(run_feature, range(workers))
    statuses = {}
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for results, output in pool.map(run_one, paths):
            failed = [name for name, status in results if status != "passed"]
            for name, status in results:
                print(f"{status:8} {name}", flush=True)
                statuses[name] = status
            if failed:
                print(output, flush=True)
    return statuses


def main():
    """Run the tests and exit with status 0 or 1."""
    arguments = docopt.docopt(__doc__)
    paths = [pathlib.Path(name) for name in arguments["FEATURE"]]
    paths = paths or sorted(FEATURES.glob("*.feature"))
    alone = [path for path in paths if is_alone(path)]
    others = [path for path in paths if path not in alone]
    statuses = run_all(others, int(arguments["--workers"]))
    statuses |= run_all(alone, 1)
    known = read_known()
    failed = [name for name, one in statuses.items() if one != "passed"]
    unknown = [name for name in failed if name not in known]
    for name in known:
        state = statuses.get(name, "not run")
        print(f"known red: {name}: {state}")
    passed = len(statuses) - len(failed)
    print(f"known red {len(failed) - len(unknown)}")
    print(f"{passed} passed, {len(unknown)} failed")
    sys.exit(1 if unknown or not statuses else 0)


if __name__ == "__main__":
    main()
