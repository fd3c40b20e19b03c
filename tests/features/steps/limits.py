"""Step definitions for the limits of accounts, on a simulated clock."""

import random
import types

import behave
import trio
from trio import testing

from camphorhook_common import clock as clocks
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain import exchange
from camphorhook_daemon.domain import limits
from camphorhook_daemon.domain import verdicts

ACCOUNT = "account"
RUN_SECONDS = 0.15
CALL_SECONDS = 0.005


class NothingToShare:
    """A directory without any record."""

    def __init__(self):
        self.state_changed = trio.Event()

    def collect_changes(self, *_cursor):
        """Return no records and the cursor 0."""
        return [], [], 0

    def merge_loads(self, loads, sender):
        """Ignore loads."""

    def mark_synced(self):
        """Do nothing."""


class Instance:
    """The limits of one instance, and its exchange with the others."""

    def __init__(self, name, names, seconds, transport, evidence=None):
        clock = clocks.HybridClock()
        peers = [
            types.SimpleNamespace(name=one, failure_domain="zone-a")
            for one in names
            if one != name
        ]
        settings = types.SimpleNamespace(
            name=name,
            peers=peers,
            failure_domain="zone-a",
            timing=types.SimpleNamespace(exchange_ms=1000 * seconds),
        )
        self.limits = limits.AccountLimits(name, len(names), clock)
        self.exchanger = exchange.Exchanger(
            settings,
            transport,
            NothingToShare(),
            evidence
            or crash_evidence.CrashEvidence(
                verdicts.ISOLATED_LIMIT, trio.current_time
            ),
            self.limits,
            clock,
        )


class Network:
    """Delivers the messages between instances after a delay."""

    def __init__(self):
        self.instances = {}

    async def call(self, peer, message, timeout):
        """Deliver a message and return its reply."""
        await trio.sleep(CALL_SECONDS)
        return self.instances[peer].exchanger.receive(message)


@behave.given(
    "{count:d} instances that exchange usages every {seconds:g} seconds"
)
def plan_instances(context, count, seconds):
    context.instances = count
    context.exchange_seconds = seconds


@behave.given(
    "an account with {rate:d} requests per second and {concurrency:d} at a "
    "time"
)
def plan_account(context, rate, concurrency):
    context.row = {
        "requests_per_second": rate,
        "concurrency": concurrency,
        "tokens_per_minute": 10**6,
    }


async def send_request(instance, row, at, admitted):
    """Admit a request at its time, run it, and count it."""
    await trio.sleep(at)
    if instance.limits.admit(ACCOUNT, row) is None:
        admitted.append(instance)
        await trio.sleep(RUN_SECONDS)
        instance.limits.release(ACCOUNT, 1)


def play(context, count, seconds, targets):
    """Send requests to some of the instances; return those admitted."""
    rng = random.Random(context.instances + count)
    admitted = []

    async def run():
        network = Network()
        names = [f"instance-{n}" for n in range(context.instances)]
        for name in names:
            network.instances[name] = Instance(
                name, names, context.exchange_seconds, network
            )
        async with trio.open_nursery() as nursery:
            for instance in network.instances.values():
                nursery.start_soon(instance.exchanger.run)
            await trio.sleep(3.0)
            async with trio.open_nursery() as requests:
                for name in names[:targets]:
                    for _ in range(count):
                        requests.start_soon(
                            send_request,
                            network.instances[name],
                            context.row,
                            rng.uniform(0, seconds),
                            admitted,
                        )
            nursery.cancel_scope.cancel()

    trio.run(run, clock=testing.MockClock(autojump_threshold=0))
    return admitted


@behave.when(
    "{count:d} requests reach each of them within {seconds:g} seconds"
)
def surge(context, count, seconds):
    context.admitted = play(context, count, seconds, context.instances)


@behave.when("{count:d} requests reach one of them within {seconds:g} seconds")
def send_to_one(context, count, seconds):
    context.admitted = play(context, count, seconds, 1)


@behave.then("the fleet admits at most {most:d} of them")
def check_most(context, most):
    assert len(context.admitted) <= most, len(context.admitted)


@behave.then("the fleet admits at least {least:d} of them")
def check_least(context, least):
    assert len(context.admitted) >= least, len(context.admitted)
