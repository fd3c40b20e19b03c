"""Reads memory, processor time and control bytes of running instances."""

import os
import re
import threading
import time
import typing

from tests.harness import callers

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SAMPLE_SECONDS = 0.05
_CONTROL = re.compile(
    r"^control_bytes_total\{(?P<labels>[^}]*)\} (?P<value>\S+)$"
)
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class ProcessReading(typing.NamedTuple):
    """Resource usage of a process: resident memory and processor time."""

    memory_bytes: int
    cpu_seconds: float


def read_process(pid):
    """Return the ProcessReading of a process.

    Args:
        pid: id of the process.

    Raises:
        OSError: the process does not exist.
    """
    with open(f"/proc/{pid}/statm") as file:
        memory = int(file.read().split()[1]) * PAGE_BYTES
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return ProcessReading(memory, cpu)


def read_control_bytes(address):
    """Return the control traffic of an instance, {(kind, direction): bytes}.

    Args:
        address: of the instance's port for operators.
    """
    text = callers.send("GET", address, "/metrics").body.decode()
    counts = {}
    for line in text.splitlines():
        found = _CONTROL.match(line)
        if found:
            labels = dict(_LABEL.findall(found["labels"]))
            key = (labels["kind"], labels["direction"])
            counts[key] = float(found["value"])
    return counts


def run_streams(fleet, name, count, tokens):
    """Run concurrent streams; return (peak memory, tokens received).

    The peak is that of the instance's resident memory in bytes, sampled.

    Args:
        fleet: the Fleet.
        name: of the instance that serves the streams.
        count: number of streams.
        tokens: tokens of each stream.
    """
    address = fleet.plan.find_instance(name).callers
    received = []

    def stream(number):
        body = callers.make_chat(f"stream {number}", tokens=tokens)
        reply = callers.stream_chat(address, fleet.plan.account_key, body)
        received.append(len(reply.text.split()))

    threads = [
        threading.Thread(target=stream, args=(number,))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    pid = fleet.processes[name].pid
    peak = 0
    while any(thread.is_alive() for thread in threads):
        peak = max(peak, read_process(pid).memory_bytes)
        time.sleep(SAMPLE_SECONDS)
    return peak, sum(received)
