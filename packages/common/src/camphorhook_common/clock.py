"""Hybrid logical clock: orders events across processes.

A stamp is one integer: wall-clock milliseconds shifted left by 16 bits plus
a counter. Source: Kulkarni and others, "Logical Physical Clocks", 2014.
"""

import time

COUNTER_BITS = 16


def read_boottime():
    """Return seconds of a clock that runs while the machine is suspended.

    Leases are counted on it: a monotonic clock stands still meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HybridClock:
    """Issues stamps that grow along every chain of messages."""

    def __init__(self, read_wall=time.time):
        """Create a clock.

        Args:
            read_wall: returns seconds since the Unix epoch.
        """
        self._read_wall = read_wall
        self._last = 0

    def stamp(self):
        """Return a stamp larger than every one issued or observed."""
        wall = int(self._read_wall() * 1000) << COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def observe(self, stamp):
        """Take in a stamp received from another process."""
        self._last = max(self._last, stamp)


def convert_to_seconds(stamp):
    """Return the wall-clock part of a stamp in seconds since the epoch."""
    return (stamp >> COUNTER_BITS) / 1000
