"""Schedules of faults: drawn from a seed, kept as JSON, shortened."""

import json
import random
import typing

SECONDS = 20.0  # of faults; the start and the recovery come on top
REPLICA_GAP_SECONDS = 5.0  # until a replica that was back has caught up
ENTRIES = ("entry-1", "entry-2", "entry-3")
REPLICAS = ("replica-1", "replica-2", "replica-3")
SERVERS = tuple(f"server-{number}" for number in range(1, 7))
DOMAINS = ("zone-a", "zone-b", "zone-c")
LINK_FAULTS = ("cut", "silent", "one_way", "delay")
# Kind, targets, weight, shortest and longest duration in seconds.
KINDS = (
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
    ("document", ("",), 6, 0.0, 0.0),
    ("two documents", ("",), 2, 0.0, 0.0),
    ("evacuate", DOMAINS, 2, 1.0, 5.0),
)


class Fault(typing.NamedTuple):
    """One injected fault, or one order of the operator.

    Attributes:
        at: seconds after the schedule's start.
        kind: what is done.
        target: process, failure domain, or nothing.
        seconds: until it is undone.
        detail: fault of a link.
    """

    at: float
    kind: str
    target: str
    seconds: float
    detail: str = ""


def draw(seed, seconds=SECONDS):
    """Return the Faults of a seed, in order of time.

    Faults come in series and overlap, but for two rules: a process has one
    at a time, and so do the replicas together, which tolerate one loss.
    """
    chance = random.Random(seed)
    weights = [kind[2] for kind in KINDS]
    busy_until = {}
    drawn = []
    at = 0.5
    while at < seconds:
        kind, targets, _, low, high = chance.choices(KINDS, weights)[0]
        target = chance.choice(targets)
        fault = Fault(
            round(at, 2),
            kind,
            target,
            round(chance.uniform(low, high), 2),
            chance.choice(LINK_FAULTS) if kind == "link" else "",
        )
        group = "replicas" if target in REPLICAS else target or kind
        if busy_until.get(group, 0.0) <= at:
            drawn.append(fault)
            gap = REPLICA_GAP_SECONDS if group == "replicas" else 0.5
            busy_until[group] = at + fault.seconds + gap
        # Short gaps make series; a long one now and then lets things heal.
        at += chance.choice((0.05, 0.2, 0.4, 0.8, 2.0))
    if chance.random() < 0.3:
        drawn.append(Fault(seconds + 1.0, "kill all", "", 1.0))
    return drawn


def shorten(faults, fails):
    """Return a shorter list of faults that still fails.

    Args:
        faults: Faults that failed.
        fails: tells whether a list of Faults fails.
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
    """Write faults to a file, one a line."""
    lines = [json.dumps(fault._asdict()) for fault in faults]
    path.write_text("\n".join(lines) + "\n")


def load(path):
    """Return the faults of a file."""
    lines = path.read_text().splitlines()
    return [Fault(**json.loads(line)) for line in lines if line]
