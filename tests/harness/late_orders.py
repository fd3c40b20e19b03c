"""Operators' orders that are held back and arrive after newer ones."""

import contextlib
import json
import socket
import time

from tests.harness import platforms

OPERATOR_WAIT_SECONDS = 1.0  # then the same order goes to the next replica
ORDER_SECONDS = 4.0  # within which an order must be acknowledged
PAUSE_SECONDS = 0.05  # between two tries
METHODS = {"evacuate": "POST", "take back": "DELETE"}
OTHER = {"evacuate": "take back", "take back": "evacuate"}


def connect(platform, replica):
    """Return a connection to the control API of a replica."""
    address = (platform.find_address(replica), platforms.CONTROL_PORT)
    return socket.create_connection(address, OPERATOR_WAIT_SECONDS)


def make_order(order, domain):
    """Return the bytes of an order for a failure domain."""
    path = f"/-/evacuations/{domain}"
    return f"{METHODS[order]} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode()


def send(platform, replica, order, domain):
    """Send an order once; return the status, 0 without an answer in 1 s."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        with connect(platform, replica) as link:
            link.sendall(make_order(order, domain))
            return int(link.recv(65536).split()[1])
    return 0


def insist(platform, replicas, order, domain):
    """Send an order to one replica after the other until it is acknowledged.

    Returns:
        The statuses of all tries.
    """
    statuses = []
    end = time.monotonic() + ORDER_SECONDS
    while time.monotonic() < end:
        replica = replicas[len(statuses) % len(replicas)]
        statuses.append(send(platform, replica, order, domain))
        if statuses[-1] == 200:
            return statuses
        time.sleep(PAUSE_SECONDS)
    raise TimeoutError(f"{order} {domain}: answers {statuses}")


def list_lines(platform, name, step):
    """Return the log lines of a process for a step, as dictionaries."""
    lines = []
    for line in platform.running[name].read_log().splitlines():
        with contextlib.suppress(ValueError):
            lines.append(json.loads(line))
    return [line for line in lines if line.get("step") == step]


def list_out(platform, entry):
    """Return the failure domains that an entry instance takes for out."""
    lines = list_lines(platform, entry, "take up failure domains")
    return lines[-1]["inputs"]["out"] if lines else []
