"""Derives the bounds of all connections from the size of a machine."""

import math
import typing

from camphorhook_daemon.domain import connection_memory

USABLE_SHARE = 0.9  # of the memory; the rest is for the system
# Of the memory, for what the process comes to know: the configuration, the
# log, upstreams, other instances, and requests to upstreams.
GROWTH_SHARE = 0.2
# Resident bytes of a counted byte: holes that the allocator can't return.
ALLOCATOR_FACTOR = 1.5
# One body of 4 MB, twice, and its head, within the share of large requests;
# less would refuse it without load.
MIN_MEMORY_BYTES = 14_000_000
# Files, peers, and connections from and to other instances.
RESERVED_DESCRIPTORS = 128
MAX_RESERVED_SHARE = 0.25
# A client's connection and that to the upstream which serves it.
DESCRIPTORS_OF_CLIENT = 2


class MachineLimits(typing.NamedTuple):
    """What the settings say of a machine; 0 stands for what they leave out.

    Attributes:
        memory_bytes: memory of the machine.
        descriptors: file descriptors that the process may open.
        client_memory_bytes: memory for clients, in place of a calculated one.
        client_connections: number of connections, likewise.
        unread_seconds: longest time for which a client may read nothing of
            an answer that waits for it.
    """

    memory_bytes: float = 0
    descriptors: float = 0
    client_memory_bytes: float = 0
    client_connections: float = 0
    unread_seconds: float = 0


def calculate_bounds(machine, own_bytes):
    """Return the connection_memory.Bounds of a process.

    Without the machine's size there is no bound.

    Args:
        machine: the MachineLimits.
        own_bytes: resident size of the process without any client.
    """
    memory = connections = math.inf
    if machine.memory_bytes > 0:
        share = USABLE_SHARE - GROWTH_SHARE
        memory = share * machine.memory_bytes - own_bytes
        memory = max(MIN_MEMORY_BYTES, memory / ALLOCATOR_FACTOR)
    if machine.client_memory_bytes > 0:
        memory = machine.client_memory_bytes
    if machine.descriptors > 0:
        reserved = min(
            RESERVED_DESCRIPTORS, MAX_RESERVED_SHARE * machine.descriptors
        )
        connections = (machine.descriptors - reserved) // DESCRIPTORS_OF_CLIENT
    if machine.client_connections > 0:
        connections = machine.client_connections
    return connection_memory.Bounds(memory, connections)
