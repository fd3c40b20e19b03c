"""Step definitions for crowds of clients that exceed the limits."""

import os
import pathlib

import behave

from tests.features.steps import platform as platform_steps
from tests.harness import crowds
from tests.harness import platforms
from tests.harness import processes

KEY = platform_steps.KEY
LIMITS = {"IdleTimeoutMs": 60_000}  # unfinished requests stay meanwhile
ANSWER_SECONDS = 60.0  # a guard against hangs, not a measure
BYTES_PER_MB = 1_000_000
PATHS = {"entry": "POST /safe/a", "replica": "PUT /-/instances/crowd"}


@behave.given(
    "a platform whose machines have {megabytes:d} MB and {most:d} descriptors"
)
def start_small_platform(context, megabytes, most, server_module=None):
    context.machine = (megabytes * BYTES_PER_MB, most)
    context.platform = platform = platforms.Platform(
        pathlib.Path(context.folder), context.slot
    )
    context.add_cleanup(platform.close)
    platform.server_module = server_module or platform.server_module
    limits = {"MemoryMb": megabytes, "MaxFds": most}
    for name in ("replica-1", "replica-2", "replica-3", "entry-1"):
        platform.start(name, limits=limits)
    platform.start_server("server-1", "plain")
    platform.start_server("server-2", "engine")
    platform_steps.put_document(context, 1, limits=LIMITS)
    for target in ("/safe/a", "/tokens/stream?events=1"):
        wait_answer(context, "entry-1", target)


def wait_answer(context, entry, target="/safe/a"):
    """Wait until an ordinary request is answered 200."""
    processes.wait_until(
        lambda: context.platform.request(entry, target, KEY).status == 200,
        ANSWER_SECONDS,
        f"{target} at {entry}",
    )


@behave.when("{count:d} clients send {kind} to {name:Word} and stay connected")
def play_crowd(context, count, kind, name):
    role = name.partition("-")[0]
    port = {
        "entry": platforms.FRONTEND_PORT,
        "replica": platforms.CONTROL_PORT,
    }[role]
    head = (
        f"{PATHS[role]} HTTP/1.1\r\nHost: h.example\r\n"
        f"Authorization: Bearer {KEY}\r\nX-Request-Id: crowd\r\n"
        "X-Deadline-Ms: 60000\r\n"
    )
    address = (context.platform.find_address(name), port)
    crowd = crowds.Crowd(address, kind, head.encode())
    assert count == crowd.count
    context.add_cleanup(crowd.close)
    crowd.play()
    context.descriptors = count_descriptors(context, name)


def count_descriptors(context, name):
    """Return the number of descriptors that a process has open."""
    process = context.platform.running[name]
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@behave.then(
    "{name:Word} runs, and its memory and descriptors stayed in bounds"
)
def check_bounds(context, name):
    process = context.platform.running[name]
    assert process.is_running(), process.read_log()[-2000:]
    most_bytes, most_descriptors = context.machine
    peak = crowds.read_peak_bytes(process.pid)
    print(f"peak {peak / BYTES_PER_MB:.1f} MB, {context.descriptors} open")
    assert peak <= most_bytes, peak
    assert context.descriptors <= most_descriptors, context.descriptors


@behave.then("an ordinary request to {name:Word} is answered 200")
def check_ordinary(context, name):
    wait_answer(context, name)


@behave.then("{name:Word} answers an operator's request with 200")
def check_operator(context, name):
    number = int(name.rpartition("-")[2])
    processes.wait_until(
        lambda: context.platform.call_control(
            "GET", "/-/config", replicas=(number,)
        ).status
        == 200,
        ANSWER_SECONDS,
        f"/-/config at {name}",
    )
