"""Checks that the soak test finds the defects of tests/soak/broken.py.

Usage:
    breaks [--jobs=N]
"""

import concurrent.futures
import pathlib
import sys

import docopt

from tests.harness import processes
from tests.harness import slots
from tests.soak import __main__ as soak
from tests.soak import broken
from tests.soak import schedules

_Fault = schedules.Fault


def _load(name):
    return schedules.load(soak.REGRESSIONS / f"{name}.jsonl")


_SERVER_KILLS = [
    _Fault(1.0 + 0.7 * n, "kill", schedules.SERVERS[n % 3], 0.3)
    for n in range(12)
]
_DOCUMENTS = [_Fault(1.0 + 4.0 * n, "document", "", 0.0) for n in range(3)]
# The checker that must find each defect, and faults that expose it.
CASES = {
    "send again": ("check_once", _SERVER_KILLS),
    "refuse what ran": ("check_refusals", _SERVER_KILLS),
    "cut answers": ("check_own", _DOCUMENTS),
    "deliver parts": (
        "check_own",
        [_Fault(1.0, "garble", name, 6.0) for name in schedules.SERVERS[3:]],
    ),
    "take up late": ("check_documents", _DOCUMENTS),
    "keep keys": ("check_keys", _DOCUMENTS),
    "forget leaving servers": (
        "check_departures",
        [_Fault(1.0, "terminate", "server-1", 0.5)],
    ),
    "forget leaving": (
        "check_leaving",
        [_Fault(1.0, "terminate", "server-1", 0.5)],
    ),
    "forget pauses": (
        "check_pauses",
        # All of a service, as one that rejects alone is left to the others.
        [_Fault(1.0, "reject", name, 4.0) for name in schedules.SERVERS[:3]],
    ),
    "use leaving domains": (
        "check_evacuations",
        [_Fault(1.0, "evacuate", "zone-a", 9.0)],
    ),
    "late orders": ("check_evacuations", _load("late-orders-cut-off")),
    "late orders of frozen replicas": (
        "check_evacuations",
        _load("late-orders-frozen"),
    ),
    "late orders on links": ("check_evacuations", _load("late-orders-held")),
    "keep leavers": (
        "check_recovery",
        _load("voters-after-replacement-short"),
    ),
    "crowd cold": (
        "check_cold",
        # The only remaining server, which is cold, gets all requests.
        [
            _Fault(1.0, "kill", "server-2", 8.0),
            _Fault(1.1, "kill", "server-3", 8.0),
            _Fault(2.0, "kill", "server-1", 0.2),
        ],
    ),
    "forget limits": (
        "check_limits",
        [_Fault(1.0, "limit", "server-1", 12.0)],
    ),
    "mix versions": (
        "check_versions",
        [
            _Fault(1.0 + 1.5 * n, "kill", f"server-{5 + n % 2}", 0.3)
            for n in range(8)
        ],
    ),
    "exceed places": (
        "check_falls",
        [_Fault(1.0, "brittle", name, 24.0) for name in schedules.SERVERS[:3]],
    ),
    "ignore cuts": (
        "check_partitions",
        [_Fault(1.0, "upstream links", "entry-1", 14.0, "silent")],
    ),
    "forget crashes": (
        "check_crashes",
        [
            _Fault(1.0, "crash request", "", 12.0),
            _Fault(1.5, "crash part", "", 12.0),
        ],
    ),
    "blame bystanders": (
        "check_blame",
        [
            _Fault(1.0, "crash request", "", 12.0),
            _Fault(1.5, "crash part", "", 12.0),
        ],
    ),
    "write nothing": (
        "check_recovery",
        [*_DOCUMENTS, _Fault(10.0, "kill all", "", 0.5)],
    ),
}


def _run_case(case, slot):
    checker, faults = CASES[case]
    # A case of a defect that others have as well adds words to its name.
    name = max((one for one in broken.BREAKS if case.startswith(one)), key=len)
    program = processes.run_module("tests.soak.broken", name, "--platform")
    folder = pathlib.Path("run/soak") / f"broken-{case.replace(' ', '-')}"
    violations, _ = soak.run(faults, folder, slot, 1, program)
    return checker in violations, violations


def main():
    """Run all cases; exit with code 1 if a defect was not found."""
    jobs = int(docopt.docopt(__doc__)["--jobs"] or 2)
    numbers = range(soak.FIRST_SLOT, soak.FIRST_SLOT + jobs)
    play = slots.allocate_slots(_run_case, numbers)
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = zip(CASES, pool.map(play, CASES), strict=True)
        for case, (is_found, violations) in results:
            missed += not is_found
            checker = CASES[case][0]
            print(f"{case}: {checker} {'finds it' if is_found else 'MISSED'}")
            if not is_found:
                print(violations)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
