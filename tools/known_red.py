"""Runs all tests; tolerates the failures that KNOWN-RED.txt lists.

Usage:
    known_red [--workers=N] [FEATURE...]

Options:
    --workers=N  Feature files to run at the same time [default: 3].

Each feature file runs in a process of its own, with its own ports. Those
tagged @alone measure rates; they run after the others, one at a time. The
listed scenarios are printed. The exit code is 0 if no other scenario failed;
the last lines name each one that did, its step and why it failed.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import typing

import docopt

from tests.harness import slots

FEATURES = pathlib.Path("tests/features")
KNOWN_FAILURES_FILE = pathlib.Path("KNOWN-RED.txt")
FEATURE_TIMEOUT_SECONDS = 800
PASSED = "passed"
HOOK_ERROR = "HOOK-ERROR"  # begins behave's line on a failed hook
MAX_REASON_CHARACTERS = 400


class Result(typing.NamedTuple):
    """Result of a scenario.

    Attributes:
        name: its feature file and its name.
        status: behave's word for it, `passed` if all is well.
        reason: the step that failed and its error, on one line, or empty.
    """

    name: str
    status: str
    reason: str = ""


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
    """Run a feature file; return its Results and its output.

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
    results = list(read_report(report, path, output))
    if not results:
        results = [Result(f"{path.name}: (did not run)", "failed")]
    return [_explain(one, output) for one in results], output


def _explain(result, output):
    """Return a Result that failed outside its steps, with a reason."""
    if result.status == PASSED or result.reason:
        return result
    lines = output.strip().splitlines()
    hooks = [line for line in lines if line.startswith(HOOK_ERROR)]
    reason = "".join((hooks or lines)[-1:])
    return result._replace(reason=reason[:MAX_REASON_CHARACTERS])


def read_report(report, path, output):
    """Yield the Result of each scenario in a JSON report of behave.

    Args:
        report: path of the report.
        path: of the feature file.
        output: what behave printed in its plain format.
    """
    if not report.exists() or not report.read_text().strip():
        return
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            # The name of a row of unnamed examples ends with a space.
            name = f"{path.name}: {element['name']}".strip()
            status = element.get("status", "failed")
            yield Result(name, status, _find_reason(element, output))


def _find_reason(element, output):
    """Return the failed step of a scenario in a report, and its error."""
    for step in element.get("steps", []):
        result = step.get("result", {"status": "undefined"})
        if result["status"] in (PASSED, "skipped"):
            continue
        message = result.get("error_message")
        if message:
            error = message.strip().partition("\n")[0]
        else:
            # The report has no traceback. It ends with the error.
            printed = output.partition(element["name"])[2]
            block = printed.partition(step["name"])[2].partition("\n\n")[0]
            error = "".join(block.strip().splitlines()[1:][-1:])
        reason = f"{step['name']}: {error or result['status']}"
        return reason[:MAX_REASON_CHARACTERS]
    return ""


def is_alone(path):
    """Return whether no other feature may run beside one."""
    tags = path.read_text().partition("Feature:")[0]
    return "@alone" in tags.split()


def run_all(paths, workers):
    """Run feature files in parallel; return their Results."""
    run_one = slots.allocate_slots(run_feature, range(workers))
    found = []
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for results, output in pool.map(run_one, paths):
            for one in results:
                print(f"{one.status:8} {one.name}", flush=True)
            if any(one.status != PASSED for one in results):
                print(output, flush=True)
            found += results
    return found


def report_results(results, known):
    """Print the summary of a run; return whether it is as expected.

    Args:
        results: the Results of all scenarios that ran.
        known: names of the scenarios that may fail.
    """
    statuses = {one.name: one.status for one in results}
    for name in known:
        print(f"known red: {name}: {statuses.get(name, 'not run')}")
    failed = [one for one in results if one.status != PASSED]
    unknown = [one for one in failed if one.name not in known]
    print(f"known red {len(failed) - len(unknown)}")
    for one in unknown:
        print(f"failed, not listed: {one.name}: {one.reason}")
    print(f"{len(results) - len(failed)} passed, {len(unknown)} failed")
    return bool(results) and not unknown


def main():
    """Run the tests and exit with status 0 or 1."""
    arguments = docopt.docopt(__doc__)
    paths = [pathlib.Path(name) for name in arguments["FEATURE"]]
    paths = paths or sorted(FEATURES.glob("*.feature"))
    alone = [path for path in paths if is_alone(path)]
    others = [path for path in paths if path not in alone]
    results = run_all(others, int(arguments["--workers"]))
    results += run_all(alone, 1)
    sys.exit(0 if report_results(results, read_known()) else 1)


if __name__ == "__main__":
    main()
