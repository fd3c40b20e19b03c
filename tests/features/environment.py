"""Starts one fleet for each feature and repairs it after each scenario."""

import os
import pathlib
import signal
import sys

import behave

from tests.harness import fleet as fleets
from tests.harness import plans

BASE_PORT = 20000
SLOT_PORTS = 700
TIMING = {"heartbeat_ms": 200, "election_ms": 1000, "exchange_ms": 300}


def parse_word(text):
    """Return a word of a step unchanged."""
    return text


parse_word.pattern = r"[\w.:-]+"
behave.register_type(Word=parse_word)


def make_plan(slot):
    """Return the plan of the test fleet: 6 instances, 9 upstreams."""
    base = BASE_PORT + slot * SLOT_PORTS
    instances = []
    upstreams = []
    for number, letter in enumerate("abc"):
        domain = f"zone-{letter}"
        for place in (1, 2):
            roles = "entry, replica" if place == 1 else "entry"
            port = base + 4 * len(instances)
            instances.append(
                plans.InstancePlan(f"{letter}{place}", domain, roles, port)
            )
        for place in (1, 2):
            upstreams.append(
                plans.UpstreamPlan(
                    f"engine-{letter}{place}",
                    domain,
                    "stringmind",
                    "stringmind",
                    base + 100 + 10 * number + place,
                )
            )
        upstreams.append(
            plans.UpstreamPlan(
                f"desk-{letter}", domain, "desk", "", base + 150 + number
            )
        )
    return plans.FleetPlan(
        f"test-{slot}",
        tuple(instances),
        tuple(upstreams),
        "chk-test-account",
        "chk-test-operator",
        base + 300,
    )


def before_all(context):
    """Read the slot that the runner gave; it determines the ports."""
    context.slot = int(os.environ.get("CAMPHORHOOK_TEST_SLOT", "0"))
    signal.signal(signal.SIGTERM, _end)


def _end(_number, _frame):
    """Exit by an exception, so that no process is left running."""
    sys.exit(1)


def before_feature(context, feature):
    """Start the fleet, unless the feature is tagged no_fleet."""
    context.fleet = None
    context.folder = pathlib.Path("run", f"test-{context.slot}").resolve()
    context.folder.mkdir(parents=True, exist_ok=True)
    if "no_fleet" in feature.tags:
        return
    plan = make_plan(context.slot)
    extra = {"limits": {"detached_seconds": 6}}
    if "default_timing" not in feature.tags:
        extra["timing"] = TIMING
    context.fleet = fleets.Fleet(
        plan, context.folder, proxied=True, extra=extra
    )
    context.engine_options = []
    try:
        context.fleet.start_instances()
        context.fleet.wait_ready()
        context.fleet.load_tables("tests/features/tables")
        context.fleet.start_upstreams()
        context.fleet.wait_upstreams()
    except BaseException:
        context.fleet.close()
        raise


def before_scenario(context, scenario):
    """Discard the replies of earlier scenarios."""
    context.replies = []


def after_scenario(context, scenario):
    """Remove all faults and restart the processes that ended."""
    if context.fleet is not None:
        context.fleet.restore()


def after_feature(context, feature):
    """End all processes."""
    if context.fleet is not None:
        context.fleet.close()
