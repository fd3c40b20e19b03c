"""Step definitions for the summary of a run of all tests."""

import os
import pathlib
import shutil
import subprocess
import sys

import behave

STEPS = {
    "fails an assertion": "the count is 7",
    "meets an error": "the key is left",
    "has no such step": "there is no such step",
    "fails before it runs": "it holds",
}
DEFINITIONS = """
import behave

@behave.given("the count is 7")
def check_count(context):
    assert False, "7 of 9"

@behave.given("the key is left")
def find_key(context):
    return {}["left"]

@behave.given("it holds")
def hold(context):
    return
"""
FAILING_HOOK = """
def before_feature(context, feature):
    raise TimeoutError("not ready")
"""
SCENARIO = "sample.feature: One"
FAILED = "failed, not listed:"


@behave.given("a feature file with a scenario that {fails}")
def write_feature(context, fails):
    context.project = project = pathlib.Path(context.folder, "sample")
    shutil.rmtree(project, ignore_errors=True)
    (project / "steps").mkdir(parents=True)
    (project / "sample.feature").write_text(
        f"Feature: Sample\n  Scenario: One\n    Given {STEPS[fails]}\n"
    )
    (project / "steps" / "sample.py").write_text(DEFINITIONS)
    if fails == "fails before it runs":
        (project / "environment.py").write_text(FAILING_HOOK)


@behave.when("the tests are run with {which} scenario listed")
def run_tests(context, which):
    listed = SCENARIO if which == "that" else "other.feature: Two"
    (context.project / "KNOWN-RED.txt").write_text(f"test: {listed}\n")
    command = [sys.executable, "-m", "tools.known_red", "sample.feature"]
    context.done = subprocess.run(
        command,
        cwd=context.project,
        env={**os.environ, "PYTHONPATH": os.getcwd()},
        capture_output=True,
        text=True,
    )


@behave.then(
    "the run fails, and one of its last {count:d} lines names the scenario "
    'and "{reason}"'
)
def check_named(context, count, reason):
    lines = context.done.stdout.splitlines()[-count:]
    found = [line for line in lines if line.startswith(FAILED)]
    assert context.done.returncode == 1, context.done
    assert len(found) == 1, context.done.stdout
    assert found[0].startswith(f"{FAILED} sample.feature: "), found
    assert reason in found[0], found
    assert lines[-1] == "0 passed, 1 failed", lines


@behave.then(
    "the run passes, and its last {count:d} lines name no scenario as failed"
)
def check_passed(context, count):
    lines = context.done.stdout.splitlines()[-count:]
    assert context.done.returncode == 0, context.done
    assert not any(line.startswith(FAILED) for line in lines), lines
    assert lines[-1] == "0 passed, 0 failed", lines
