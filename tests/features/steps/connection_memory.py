"""Step definitions for the memory of connections, without a network."""

import math
import random

import behave

from camphorhook_daemon.domain import connection_memory
from camphorhook_daemon.domain import machine_limits

KB = 1000
OWN_BYTES = 33_000_000
PHASES = connection_memory.Phase
SLOW = 2 * connection_memory.SLOW_SECONDS


class Connections:
    """Named connections on a clock that the test sets."""

    def __init__(self, **bounds):
        self.time = 0.0
        self.closed = []
        self.accounts = {}
        self.memory = connection_memory.ConnectionMemory(
            connection_memory.Bounds(**bounds), lambda: self.time
        )

    def open(self, name, kind="read"):
        """Open a connection that reads a request; return its account."""
        account = self.memory.open(
            lambda reason: self.closed.append(name), kind == "internal"
        )
        self.accounts[name] = account
        if account is not None and kind not in ("idle", "unused"):
            account.enter(PHASES.READING)
        if account is not None and kind in ("served", "internal"):
            account.enter(PHASES.SERVING)
        if kind == "idle":
            account.enter(PHASES.READING)
            account.enter(PHASES.IDLE)
        return account

    def hold(self, name, size):
        """Charge bytes; return whether there was room for them."""
        account = self.accounts.get(name) or self.open(name)
        try:
            account.charge(size)
        except connection_memory.Exhausted:
            return False
        return True


@behave.given("memory of {size:d} kB for connections")
def set_memory(context, size):
    context.connections = Connections(memory_bytes=size * KB)


@behave.given("room for {count:d} connections")
def set_room(context, count):
    context.connections = Connections(connections=count)


@behave.when(
    '"{first}" holds {size:d} kB for {age:g} s and "{second}" '
    "{other_size:d} kB for {other_age:g} s"
)
def hold_two(context, first, size, age, second, other_size, other_age):
    connections = context.connections
    now = max(age, other_age)
    rows = ((first, size, age), (second, other_size, other_age))
    for name, most, seconds in sorted(rows, key=lambda row: -row[2]):
        connections.time = now - seconds
        assert connections.hold(name, most * KB)
    connections.time = now


@behave.when('"{name}" holds {size:d} kB for {age:g} s as one that is {kind}')
def hold_kind(context, name, size, age, kind):
    context.connections.open(name, kind)
    # Its bytes were charged before there was a bound.
    bounds = context.connections.memory.bounds
    context.connections.memory.bounds = connection_memory.Bounds()
    assert context.connections.hold(name, size * KB)
    context.connections.memory.bounds = bounds
    context.connections.time += age


@behave.then('"{name}" may hold {size:d} kB, and "{other}" is closed for it')
def check_closed_for(context, name, size, other):
    assert context.connections.hold(name, size * KB)
    assert context.connections.closed == [other], context.connections.closed


@behave.then('"{name}" may hold {size:d} kB, and nothing is closed for it')
def check_room(context, name, size):
    assert context.connections.hold(name, size * KB)
    assert context.connections.closed == [], context.connections.closed


@behave.then('"{name}" may not hold {size:d} kB, and nothing is closed')
@behave.then('"{name}" may not hold {size:d} kB more, and nothing is closed')
def check_no_room(context, name, size):
    assert not context.connections.hold(name, size * KB)
    assert context.connections.closed == [], context.connections.closed


@behave.when("they are {first}, {second} and {third}")
def open_three(context, first, second, third):
    connections = context.connections
    kinds = (first, second, third)
    for number, kind in enumerate(kinds):
        if kind == "slow":
            connections.open(f"{number} {kind}", kind)
    connections.time += SLOW
    for number, kind in enumerate(kinds):
        if kind != "slow":
            connections.open(f"{number} {kind}", kind)


@behave.then("a new one is accepted, and {kind} is closed for it")
def check_accepted(context, kind):
    assert context.connections.open("last") is not None
    closed = [name.split()[1] for name in context.connections.closed]
    assert closed == [kind], context.connections.closed


@behave.then("a new one is refused")
def check_refused(context):
    assert context.connections.open("last") is None
    assert context.connections.closed == []


@behave.then(
    "{count:d} random sequences keep the sum within the bound and end with 0"
)
def check_random(context, count):
    for seed in range(count):
        run_random(random.Random(seed))


def run_random(draw):
    """Play random steps on connections, and check the sum after each."""
    connections = Connections(memory_bytes=500 * KB, connections=8)
    memory = connections.memory
    for number in range(200):
        connections.time += draw.random()
        name = str(draw.randrange(12))
        account = connections.accounts.get(name)
        if account is None:
            connections.open(name, draw.choice(("read", "served", "internal")))
        elif name in connections.closed or draw.random() < 0.1:
            account.close()
            del connections.accounts[name]
            while name in connections.closed:
                connections.closed.remove(name)
        elif draw.random() < 0.7:
            connections.hold(name, draw.randrange(60 * KB))
        else:
            account.enter(draw.choice(list(PHASES)[:4]))
        held = sum(one.held for one in connections.accounts.values() if one)
        assert memory.held == held <= 500 * KB, (memory.held, held, number)
    for account in connections.accounts.values():
        if account is not None:
            account.close()
    assert memory.held == 0 and memory.count() == 0


@behave.then(
    "a machine of {size:d} MB and {most:d} descriptors gives {room:g} MB and "
    "{count:g} connections"
)
def check_bounds(context, size, most, room, count):
    machine = machine_limits.MachineLimits(size * KB * KB, most)
    bounds = machine_limits.calculate_bounds(machine, OWN_BYTES)
    megabytes = bounds.memory_bytes / KB / KB
    assert math.isclose(megabytes, room, abs_tol=0.1) or megabytes == room
    assert bounds.connections == count, bounds
