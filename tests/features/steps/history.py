"""Step definitions for mixed runs, whose calls are checked afterwards."""

import random
import threading
import time
import typing

import behave
import httpcore

from tests.features.steps import durable_log
from tests.features.steps import faults
from tests.harness import callers

CALLERS = 4
KEYS = 400
PAUSE_SECONDS = 0.08
FAULT_PAUSE_SECONDS = 1.5
MAX_FAULT_SECONDS = 3.0


class Call(typing.NamedTuple):
    """One booking that was sent; status 0 when its answer was lost."""

    key: str
    status: int
    disposition: str
    body: bytes


class BookingThread(threading.Thread):
    """Sends bookings with random keys that all threads share."""

    def __init__(self, context, seed, until):
        super().__init__()
        self._context = context
        self._chance = random.Random(seed)
        self._until = until
        self.calls = []

    def run(self):
        """Send bookings until the time is over."""
        instances = self._context.fleet.plan.instances
        prefix = self._context.history_prefix
        while time.monotonic() < self._until:
            key = f"{prefix}-{self._chance.randrange(KEYS)}"
            instance = self._chance.choice(instances)
            self.calls.append(self._book(key, instance))
            time.sleep(self._chance.random() * PAUSE_SECONDS)

    def _book(self, key, instance):
        try:
            reply = callers.send(
                "POST",
                instance.callers,
                "/services/desk/bookings",
                key=self._context.fleet.plan.account_key,
                body={"what": key, "delay": 0.05},
                headers={"idempotency-key": key},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return Call(key, 0, "", b"")
        return Call(key, reply.status, reply.disposition, reply.body)


class ChangeThread(threading.Thread):
    """Sets cells until the time is over."""

    def __init__(self, operator, until):
        super().__init__()
        self._operator = operator
        self._until = until

    def run(self):
        """Change rows one after the other."""
        while time.monotonic() < self._until:
            self._operator.change()
            time.sleep(PAUSE_SECONDS)


def _inject_faults(context, chance, until):
    """Kill, freeze and cut off instances at random until a time."""
    fleet = context.fleet
    names = [one.name for one in fleet.plan.instances]
    while time.monotonic() < until:
        time.sleep(chance.random() * FAULT_PAUSE_SECONDS)
        what = chance.randrange(4)
        name = chance.choice(names)
        lasting = chance.random() * MAX_FAULT_SECONDS
        if what == 0:
            fleet.kill(name)
            time.sleep(lasting / 2)
            fleet.restart(name)
        elif what == 1:
            fleet.pause(name)
            time.sleep(lasting)
            fleet.resume(name)
        elif what == 2:
            faults.cut_domain(
                context, chance.choice(fleet.plan.list_domains())
            )
            time.sleep(lasting)
            faults.heal(context)
        else:
            faults.cut_outgoing(context, name)
            time.sleep(lasting)
            faults.heal(context)


@behave.when(
    "callers book and operators change cells for {seconds:d} seconds under "
    "faults of seed {seed:d}"
)
def run_mixed(context, seconds, seed):
    print(f"seed {seed}")
    chance = random.Random(seed)
    context.history_prefix = f"mixed-{seed}"
    until = time.monotonic() + seconds
    operator = durable_log.get_operator(context)
    booking_threads = [
        BookingThread(context, chance.random(), until) for _ in range(CALLERS)
    ]
    workers = [*booking_threads, ChangeThread(operator, until)]
    for worker in workers:
        worker.start()
    _inject_faults(context, chance, until)
    for worker in workers:
        worker.join()
    context.calls = [call for one in booking_threads for call in one.calls]


@behave.when("the network heals and everything runs again")
def restore_fleet(context):
    context.fleet.restore()
    statuses = [call.status for call in context.calls]
    print({one: statuses.count(one) for one in sorted(set(statuses))})


def _count_effects(context):
    counts = {}
    for effect in context.fleet.read_effects():
        if effect["key"].startswith(context.history_prefix):
            counts[effect["key"]] = counts.get(effect["key"], 0) + 1
    return counts


@behave.then("no booking took effect twice")
def check_once(context):
    counts = _count_effects(context)
    assert counts, "no booking took effect at all"
    twice = [key for key, count in counts.items() if count > 1]
    assert not twice, twice


@behave.then(
    "every booking that was answered took effect once, with one answer"
)
def check_answered(context):
    counts = _count_effects(context)
    bodies = {}
    for call in context.calls:
        if call.status == 201:
            bodies.setdefault(call.key, set()).add(call.body)
    assert bodies, "no booking was answered"
    for key, answers in bodies.items():
        assert counts.get(key) == 1, (key, counts.get(key))
        assert len(answers) == 1, (key, answers)


@behave.then(
    "every booking that was only ever refused as not-run had no effect"
)
def check_not_run(context):
    counts = _count_effects(context)
    dispositions = {}
    for call in context.calls:
        dispositions.setdefault(call.key, set()).add(call.disposition)
    for key, seen in dispositions.items():
        if seen == {"not-run"}:
            assert key not in counts, key
