"""Draws schedules of faults from a seed, shortens and stores them."""

import json
import os
import random
import typing

DEFAULT_SECONDS = 20.0  # without the start and the recovery
REPLICA_GAP_SECONDS = 5.0  # until a restarted replica has caught up
# Multiple of the usual number of entry instances, servers and callers.
SCALE = int(os.environ.get("CAMPHORHOOK_SOAK_SCALE", "1"))
ENTRIES = tuple(f"entry-{number}" for number in range(1, 3 * SCALE + 1))
REPLICAS = ("replica-1", "replica-2", "replica-3")
SERVERS = tuple(f"server-{number}" for number in range(1, 6 * SCALE + 1))
SERVICES = ("plain", "plain", "plain", "other", "engine", "engine")
DOMAINS = ("zone-a", "zone-b", "zone-c")
LINK_FAULTS = ("cut", "silent", "one_way", "delay")
PARTITIONS = ("cut", "silent", "refuse")
# Kind, targets, weight, minimum and maximum duration in seconds.
FAULT_KINDS = (
    ("kill", ENTRIES, 2, 0.2, 3.0),
    ("pause", ENTRIES, 3, 0.3, 5.0),
    ("terminate", ENTRIES, 3, 0.0, 2.0),
    ("reload", ENTRIES + REPLICAS, 1, 0.0, 0.0),
    ("link", ENTRIES, 2, 0.3, 3.0),
    ("kill", REPLICAS, 3, 0.2, 3.0),
    ("pause", REPLICAS, 3, 0.3, 4.0),
    ("terminate", REPLICAS, 2, 0.2, 2.0),
    ("lose disk", REPLICAS, 1, 0.2, 2.0),
    ("torn write", REPLICAS, 1, 0.2, 1.0),
    ("full disk", REPLICAS, 1, 0.5, 2.0),
    ("kill", SERVERS, 3, 0.2, 3.0),
    ("pause", SERVERS, 2, 0.3, 4.0),
    ("terminate", SERVERS, 3, 0.5, 3.0),
    ("link", SERVERS, 4, 0.3, 4.0),
    ("reject", SERVERS, 3, 0.5, 3.0),
    ("limit", SERVERS, 4, 4.0, 12.0),
    ("brittle", SERVERS, 3, 4.0, 12.0),
    ("upstream links", ENTRIES, 4, 5.0, 10.0),
    ("garble", SERVERS, 3, 0.5, 4.0),
    ("crash request", ("",), 2, 3.0, 8.0),
    ("crash part", ("",), 2, 3.0, 8.0),
    ("document", ("",), 6, 0.0, 0.0),
    ("two documents", ("",), 2, 0.0, 0.0),
    ("evacuate", DOMAINS, 2, 1.0, 5.0),
)


class Fault(typing.NamedTuple):
    """One injected fault or operator request.

    Attributes:
        at: seconds from the start of the schedule to the fault.
        kind: kind of the fault, one of FAULT_KINDS or `kill all`.
        target: name of the process or failure domain; may be empty.
        seconds: duration until the fault is undone.
        detail: fault of a `link`, one of LINK_FAULTS, or of an instance's
            `upstream links`, one of PARTITIONS.
    """

    at: float
    kind: str
    target: str
    seconds: float
    detail: str = ""


def find_service(server):
    """Return the service of a server."""
    return SERVICES[SERVERS.index(server) % len(SERVICES)]


def _draw_detail(kind, rng):
    if kind == "link":
        return rng.choice(LINK_FAULTS)
    return rng.choice(PARTITIONS) if kind == "upstream links" else ""


def draw(seed, seconds=DEFAULT_SECONDS):
    """Return the list of Faults that a seed determines, in order of time.

    Faults occur in bursts and overlap, with two exceptions: a process has one
    fault at a time, and so has the group of replicas, which tolerates the loss
    of one.
    """
    rng = random.Random(seed)
    weights = [kind[2] for kind in FAULT_KINDS]
    busy_until = {}
    faults = []
    at = 0.5
    while at < seconds:
        kind, targets, _, low, high = rng.choices(FAULT_KINDS, weights)[0]
        target = rng.choice(targets)
        fault = Fault(
            round(at, 2),
            kind,
            target,
            round(rng.uniform(low, high), 2),
            _draw_detail(kind, rng),
        )
        group = "replicas" if target in REPLICAS else target or kind
        if busy_until.get(group, 0.0) <= at:
            faults.append(fault)
            gap = REPLICA_GAP_SECONDS if group == "replicas" else 0.5
            busy_until[group] = at + fault.seconds + gap
        # Short gaps make bursts; an occasional long one allows recovery.
        at += rng.choice((0.05, 0.2, 0.4, 0.8, 2.0))
    if rng.random() < 0.3:
        faults.append(Fault(seconds + 1.0, "kill all", "", 1.0))
    return faults


def shorten(faults, fails):
    """Return a shorter list of faults that still fails.

    Args:
        faults: list of Faults that fails.
        fails: function that returns whether a list of Faults fails.
    """
    size = max(1, len(faults) // 2)
    while size >= 1:
        start = 0
        while start < len(faults):
            shorter = faults[:start] + faults[start + size :]
            if shorter and fails(shorter):
                faults = shorter
            else:
                start += size
        size //= 2
    return faults


def save(faults, path):
    """Write faults to a file as JSON lines."""
    lines = [json.dumps(fault._asdict()) for fault in faults]
    path.write_text("\n".join(lines) + "\n")


def load(path):
    """Return the list of Faults of a file."""
    lines = path.read_text().splitlines()
    return [Fault(**json.loads(line)) for line in lines if line]
