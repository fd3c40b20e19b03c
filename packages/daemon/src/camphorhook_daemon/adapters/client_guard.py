"""What all listeners of a process share to bound what clients cost."""

import os

import trio

from camphorhook_common import logs
from camphorhook_daemon.domain import connection_memory

LOG_INTERVAL_SECONDS = 1.0  # between two lines on the same reason
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
DEFAULT_UNREAD_SECONDS = 15.0  # as the default of the longest idle time


class ClientGuard:
    """The memory, the turns and the refusals of clients.

    Attributes:
        memory: the ConnectionMemory.
        turns: a lock that a connection takes before it decodes many small
            pieces, so that others wait for one batch only.
        unread_seconds: longest time for which a client may read nothing of
            an answer that waits for it.
    """

    def __init__(self, bounds=None, counts=None, unread_seconds=None):
        """Create the object.

        Args:
            bounds: the connection_memory.Bounds; None for no bounds.
            counts: the metrics.Metrics of the process; None if there is none.
            unread_seconds: see above; None for the default.
        """
        self.memory = connection_memory.ConnectionMemory(
            bounds or connection_memory.Bounds(), trio.current_time
        )
        self.turns = trio.Lock()
        self.unread_seconds = unread_seconds or DEFAULT_UNREAD_SECONDS
        self._counts = counts
        self._unlogged = {}
        self._logged_at = {}
        if counts is not None:
            watch = counts.register_gauge
            watch("client_connections", self.memory.count)
            watch("client_memory_bytes", lambda: self.memory.held)

    async def take_turn(self):
        """Wait until the connections that asked before have had a turn."""
        async with self.turns:
            await trio.lowlevel.checkpoint()

    def record(self, status, reason):
        """Count a refusal, and log it once in LOG_INTERVAL_SECONDS.

        Args:
            status: status of the answer, or 0 if the connection was closed
                without one.
            reason: text that says why.
        """
        if self._counts is not None:
            self._counts.add(
                "client_refusals_total", status=status, reason=reason
            )
        key = (status, reason)
        self._unlogged[key] = self._unlogged.get(key, 0) + 1
        now = trio.current_time()
        last = self._logged_at.get(key)
        if last is not None and now - last < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[key] = now
        logs.log(
            "warning",
            f"clients refused or closed: {reason}",
            step="refuse client",
            inputs={
                "status": status,
                "count": self._unlogged.pop(key),
                "connections": self.memory.count(),
                "held_bytes": self.memory.held,
            },
        )


def measure_resident_bytes():
    """Return the resident size of this process."""
    with open("/proc/self/statm") as sizes:
        return int(sizes.read().split()[1]) * PAGE_BYTES
