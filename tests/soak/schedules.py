"""Draws schedules of faults from a seed, shortens and stores them."""

import json
import os
import random
import typing

DEFAULT_SECONDS = 30.0  # without the start and the recovery
REPLICA_GAP_SECONDS = 5.0  # until a restarted replica has caught up
# Multiple of the usual number of entry instances, servers and callers.
SCALE = int(os.environ.get("CAMPHORHOOK_SOAK_SCALE", "1"))
ENTRIES = tuple(f"entry-{number}" for number in range(1, 3 * SCALE + 1))
REPLICAS = ("replica-1", "replica-2", "replica-3")
SERVERS = tuple(f"server-{number}" for number in range(1, 6 * SCALE + 1))
SERVICES = ("plain", "plain", "plain", "other", "engine", "engine")
# The operator's links to the replicas.
CONTROLS = ("control-1", "control-2", "control-3")
LEADER = "leader"  # whichever replica it is
DOMAINS = ("zone-a", "zone-b", "zone-c")
LINK_FAULTS = ("cut", "silent", "one_way", "delay")
PARTITIONS = ("cut", "silent", "refuse")
# Orders or answers that are lost, or held back until the fault ends.
ORDER_FAULTS = (
    "half_answers",
    "half_answers",
    "no_answers",
    "one_way",
    "silent",
)
PEER_FAULTS = ("cut", "silent")
INVALID = (
    "unknown service",
    "same route",
    "no weight",
    "no time",
    "shared key",
    "cut off",
)
MOST_PAUSE_OUT, MOST_PAUSE_IN = 1.5, 0.6  # seconds between quick orders
LEAST_HOLD, MOST_HOLD = 6.5, 8.5  # seconds that the last evacuation lasts
# Seconds; a copy is late if it comes after the next order.
LEAST_FREEZE, USUAL_FREEZE, MOST_FREEZE = 0.6, 2.4, 3.5
CATCH_UP_SECONDS = 4.0  # after which a new replica's predecessor may go
HOLDS = (
    ("pause", ""),
    ("replica links", "silent"),
    ("operator link", "one_way"),
)
LEADER_SHARE, FIRST_SHARE = 0.1, 0.9  # of the replicas that have an order
MIXED_SHARE = 0.2  # of schedules that begin with the older build
UPGRADE_SECONDS = 1.0
AFTER_REPLACEMENT = (0.3, 2.0, 6.0)  # seconds until all lose power
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
    ("pause", (LEADER,), 1, 0.6, 3.5),
    ("kill", (LEADER,), 1, 0.2, 3.0),
    ("replica links", (*REPLICAS, LEADER), 2, 0.6, 5.0),
    ("operator link", CONTROLS, 6, 0.6, 5.0),
    ("replace", REPLICAS, 2, CATCH_UP_SECONDS, CATCH_UP_SECONDS + 2.0),
    ("lose replica", REPLICAS, 2, 0.5, 3.0),
    ("document", ("",), 6, 0.0, 0.0),
    ("invalid document", ("",), 3, 0.0, 0.0),
    ("document again", ("",), 2, 0.0, 0.0),
    ("two documents", ("",), 2, 0.0, 0.0),
    ("evacuate", DOMAINS, 2, 1.0, 5.0),
    ("evacuate again", DOMAINS, 18, 0.0, 0.0),
)


class Fault(typing.NamedTuple):
    """One injected fault or operator request.

    Attributes:
        at: seconds from the start of the schedule to the fault.
        kind: kind of the fault, one of FAULT_KINDS or `kill all`.
        target: name of the process or failure domain; may be empty.
        seconds: duration until the fault is undone.
        detail: fault of a `link`, one of LINK_FAULTS, or of an instance's
            `upstream links`, one of PARTITIONS; of an `operator link`, one of
            ORDER_FAULTS; of `replica links`, one of PEER_FAULTS; of an
            `invalid document`, one of INVALID; of `evacuate again`, the
            seconds between its orders, and the replica that gets the last
            quick return first.
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
    choices = {
        "link": LINK_FAULTS,
        "upstream links": PARTITIONS,
        "operator link": ORDER_FAULTS,
        "replica links": PEER_FAULTS,
        "invalid document": INVALID,
    }
    return rng.choice(choices[kind]) if kind in choices else ""


def _draw_orders(fault, rng):
    """Return an `evacuate again` with its times, and the last quick return.

    Orders alternate, evacuate and return; the last evacuation lasts.
    """
    pauses = []
    for _ in range(rng.choice((1, 1, 2, 3))):
        pauses.append(round(rng.uniform(0.1, MOST_PAUSE_OUT), 2))
        pauses.append(round(rng.uniform(0.0, MOST_PAUSE_IN), 2))
    pauses.append(round(rng.uniform(LEAST_HOLD, MOST_HOLD), 2))
    detail = " ".join(map(str, pauses))
    seconds = round(sum(pauses), 2)
    return_at = round(fault.at + sum(pauses[:-2]) - 0.05, 2)
    return fault._replace(seconds=seconds, detail=detail), return_at


def _draw_hold(at, busy_until, rng):
    """Return a fault that holds back an order, and the replica it goes to.

    The operator's link holds it if the replicas may not have a fault.
    """
    seconds = rng.triangular(LEAST_FREEZE, MOST_FREEZE, USUAL_FREEZE)
    seconds = round(seconds, 2)
    number = rng.randrange(len(REPLICAS))
    is_leader = rng.random() < LEADER_SHARE
    kind, detail = rng.choice(HOLDS)
    if kind == "operator link" or busy_until.get("replicas", 0.0) > at:
        hold = Fault(at, "operator link", CONTROLS[number], seconds, "one_way")
        return hold, REPLICAS[number]
    target = LEADER if is_leader else REPLICAS[number]
    busy_until["replicas"] = at + seconds + REPLICA_GAP_SECONDS
    return Fault(at, kind, target, seconds, detail), target


def _draw_upgrades(rng):
    """Return faults that begin with the older build and end with the new one.

    Replicas have no other faults in such a schedule, as the older build does
    not keep all promises then.
    """
    names = rng.sample(REPLICAS, 3) + rng.sample(ENTRIES, len(ENTRIES))
    old = names[: rng.randint(1, len(names))]
    faults = [Fault(0.0, "old build", name, 0.0) for name in old]
    at = 2.0
    for name in old:
        faults.append(Fault(at, "upgrade", name, UPGRADE_SECONDS))
        at += UPGRADE_SECONDS
        at += REPLICA_GAP_SECONDS if name in REPLICAS else 1.0
    return faults


def _may_be_mixed(kind, targets):
    """Return whether a fault may occur while the older build runs."""
    is_replica = LEADER in targets or set(REPLICAS) & set(targets)
    return not is_replica and kind not in ("evacuate again", "operator link")


def _draw_end(busy_until, seconds, rng):
    """Return the last faults: those that strike all processes at once."""
    turn = rng.random()
    at = seconds + 1.0
    ends = []
    if rng.random() < 0.5:
        ends.append(
            Fault(seconds, "evacuate for good", rng.choice(DOMAINS), 0.0)
        )
    if turn < 0.25:
        ends.append(Fault(at, "kill all", "", 1.0))
    elif turn < 0.45:
        at = max(at, busy_until.get("replicas", 0.0))
        ends.append(Fault(at, "power and disk", rng.choice(REPLICAS), 0.0))
    elif turn < 0.7:
        at = max(
            seconds,
            *(busy_until.get(one, 0.0) for one in ("replicas", *ENTRIES)),
        )
        old, lost = rng.sample(REPLICAS, 2)
        gap = rng.choice(AFTER_REPLACEMENT)
        ends.append(Fault(at, "replace", old, CATCH_UP_SECONDS + 0.5))
        at += CATCH_UP_SECONDS + 0.5 + gap
        ends.append(Fault(round(at, 2), "power and disk", lost, gap))
    return ends


def draw(seed, seconds=DEFAULT_SECONDS):
    """Return the list of Faults that a seed determines, in order of time.

    Faults occur in bursts and overlap, with two exceptions: a process has one
    fault at a time, and so has the group of replicas, which tolerates the loss
    of one. A replica that is replaced as planned is no loss, and the next one
    may have a fault shortly after.
    """
    rng = random.Random(seed)
    is_mixed = rng.random() < MIXED_SHARE
    faults = _draw_upgrades(rng) if is_mixed else []
    weights = [
        0 if is_mixed and not _may_be_mixed(kind[0], kind[1]) else kind[2]
        for kind in FAULT_KINDS
    ]
    busy_until = {
        fault.target: fault.at + 2.0
        for fault in faults
        if fault.kind == "upgrade"
    }
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
        is_replica = target in REPLICAS or target == LEADER
        group = "replicas" if is_replica else target or kind
        if busy_until.get(group, 0.0) <= at:
            gap = REPLICA_GAP_SECONDS if is_replica else 0.5
            if kind == "replace":
                gap = rng.choice(AFTER_REPLACEMENT)  # as it is no loss
            if kind == "evacuate again":
                fault, return_at = _draw_orders(fault, rng)
                hold, place = _draw_hold(return_at, busy_until, rng)
                faults.append(hold)
                if rng.random() < FIRST_SHARE:
                    detail = f"{fault.detail} replica {place}"
                    fault = fault._replace(detail=detail)
            faults.append(fault)
            busy_until[group] = at + fault.seconds + gap
        # Short gaps make bursts; an occasional long one allows recovery.
        at += rng.choice((0.05, 0.2, 0.4, 0.8, 2.0))
    if not is_mixed:
        faults += _draw_end(busy_until, seconds, rng)
    return sorted(faults, key=lambda fault: fault.at)


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
