"""Step definitions for replicas that are replaced, planned and unplanned."""

import pathlib
import random
import signal
import threading
import time

import behave

from tests.features.steps import platform as platform_steps
from tests.harness import platforms
from tests.harness import processes

POWER_SECONDS = 0.5  # without power, before the replicas start again
OPERATOR_INTERVAL_SECONDS = 0.1
SUCCESSOR_SECONDS = 4.0  # after which a successor has to bear a loss


@behave.given(
    "{count:d} replicas of a platform that hold document {version:d}"
)
def start_replicas(context, count, version):
    folder = pathlib.Path(context.folder)
    context.platform = platforms.Platform(folder, context.slot)
    context.add_cleanup(context.platform.close)
    for number in range(1, count + 1):
        context.platform.start(f"replica-{number}")
    context.stopped = {}
    context.successor = ""
    platform_steps.put_document(context, version)


def list_numbers(context):
    """Return the numbers of the replicas that run and don't stop."""
    names = context.platform.running.keys() - context.stopped.keys()
    return sorted(int(name.rpartition("-")[2]) for name in names)


def choose(context, which):
    """Return the names of the replicas that a text means.

    Args:
        context: behave's.
        which: `the leader`, `a follower`, `both followers` or a name.
    """
    running = [f"replica-{number}" for number in list_numbers(context)]
    leader = platform_steps.find_leader(context)
    followers = [
        name for name in running if name not in (leader, context.successor)
    ]
    chosen = {
        "the leader": [leader],
        "a follower": followers[-1:],
        "both followers": followers,
    }
    return chosen.get(which, [which])


def stop(context, names):
    """Send SIGTERM to replicas without waiting for them."""
    for name in names:
        context.stopped[name] = time.monotonic()
        context.platform.running[name].send_signal(signal.SIGTERM)


@behave.when(
    "{name:w}-{number:d} starts {ahead:g} seconds ahead of SIGTERM to {old}"
)
def replace(context, name, number, ahead, old):
    context.successor = f"{name}-{number}"
    context.platform.start(context.successor, first=False)
    time.sleep(ahead)
    stop(context, choose(context, old))


@behave.when("a follower is lost for good and {successor:Word} starts")
def lose_for_good(context, successor):
    (name,) = choose(context, "a follower")
    context.successor = successor
    context.platform.kill(name)
    context.platform.lose_disk(name)
    context.platform.start(successor, first=False)


@behave.when(
    "{after:g} seconds later all others lose power and {victim} its disk"
)
def lose_power(context, after, victim):
    time.sleep(after)
    (victim,) = choose(context, victim)
    names = [f"replica-{number}" for number in list_numbers(context)]
    for name in names:
        context.platform.kill(name)
    context.platform.lose_disk(victim)
    time.sleep(POWER_SECONDS)
    for name in names:
        context.platform.start(name, first=False)


def wait_read_back(context, version, seconds):
    """Wait until each replica that is left reads back a document."""
    end = time.monotonic() + seconds
    for number in list_numbers(context):
        processes.wait_until(
            lambda n=number: platform_steps.read_version(context, n)
            >= version,
            end - time.monotonic(),
            f"document {version} at replica-{number}",
        )


@behave.then("within {seconds:d} seconds document {version:d} is read back")
def check_read_back(context, seconds, version):
    wait_read_back(context, version, seconds)


@behave.then(
    "document {version:d} is acknowledged by the replicas that are left"
)
def check_acknowledged(context, version):
    body = platforms.make_document(version)
    numbers = list_numbers(context)
    processes.wait_until(
        lambda: context.platform.call_control(
            "PUT", "/-/config", body, numbers
        ).status
        == 200,
        5.0,
        f"acknowledgement of document {version}",
    )


@behave.then(
    "the stopped replicas exited by themselves within {seconds:d} seconds"
)
def check_exits(context, seconds):
    for name, at in context.stopped.items():
        left = max(0.0, at + seconds - time.monotonic())
        assert context.platform.running[name].wait_exit(left) == 0, name


class Operator(threading.Thread):
    """Sends documents of rising versions and loses half of the answers.

    Attributes:
        acknowledged: highest version whose answer arrived.
    """

    def __init__(self, context):
        super().__init__(daemon=True)
        self._context = context
        self._rng = random.Random(39)
        self._has_ended = threading.Event()
        self.acknowledged = 0

    def run(self):
        """Send documents until stopped."""
        version = 20
        while not self._has_ended.wait(OPERATOR_INTERVAL_SECONDS):
            version += 1
            numbers = list_numbers(self._context)
            if not numbers:
                continue
            number = self._rng.choice(numbers)
            address = self._context.platform.find_address(f"replica-{number}")
            answer = platforms.call(
                "PUT",
                f"http://{address}:{platforms.CONTROL_PORT}/-/config",
                platforms.make_document(version),
                timeout=self._rng.choice((0.001, 1.0)),
            )
            if answer.status == 200:
                self.acknowledged = version

    def end(self):
        """Stop sending and wait for the last answer."""
        self._has_ended.set()
        self.join()


@behave.when("operators send documents and lose half of the answers")
def start_operator(context):
    context.operator = Operator(context)
    context.add_cleanup(context.operator.end)
    context.operator.start()


@behave.when("{count:d} replicas are replaced one after the other")
def replace_in_row(context, count):
    for number in range(4, 4 + count):
        oldest = list_numbers(context)[0]
        seeds = [oldest + 1, oldest + 2, number]
        context.platform.seeds = [
            context.platform.find_address(f"replica-{seed}") for seed in seeds
        ]
        replace(
            context, "replica", number, SUCCESSOR_SECONDS, f"replica-{oldest}"
        )
        if number < 3 + count:
            check_exits(context, 8)


@behave.then(
    "within {seconds:d} seconds the last acknowledged document is read back"
)
def check_last(context, seconds):
    context.operator.end()
    assert context.operator.acknowledged > 20
    wait_read_back(context, context.operator.acknowledged, seconds)


@behave.when("a follower gets SIGTERM {after:g} seconds after document 10")
def stop_one(context, after):
    time.sleep(after)
    (context.restarted,) = choose(context, "a follower")
    stop(context, [context.restarted])


@behave.then("it exits within {seconds:g} seconds and reports: {text}")
def check_exit(context, seconds, text):
    process = context.platform.running.pop(context.restarted)
    at = context.stopped.pop(context.restarted)
    assert process.wait_exit(at + seconds - time.monotonic()) == 0
    assert text in process.read_log(), process.read_log()


@behave.when("this replica is started again")
def start_again(context):
    context.platform.start(context.restarted, first=False)


@behave.when("a follower is killed")
def kill_follower(context):
    (name,) = choose(context, "a follower")
    context.platform.kill(name)


@behave.when("{name:Word} is killed at once and its disk is lost")
def kill_successor(context, name):
    context.platform.kill(name)
    context.platform.lose_disk(name)
