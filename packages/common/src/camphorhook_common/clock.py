"""Hybrid logical clock, which orders events across processes.

A stamp is one integer: the wall clock in milliseconds, shifted left by 16
bits, plus a logical counter. See Kulkarni et al., "Logical Physical Clocks",
2014.
"""

import time

COUNTER_BITS = 16


def read_boottime():
    """Return the seconds since boot, including time spent suspended.

    Leases are timed with it, because a monotonic clock stops during suspend.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HybridClock:
    """Issues stamps that increase along every chain of messages.

    A process that observes the stamp of a received message issues only
    larger ones afterwards.
    """

    def __init__(self, read_wall=time.time):
        """Create a clock.

        Args:
            read_wall: function that returns seconds since the Unix epoch.
        """
        self._read_wall = read_wall
        self._last = 0

    def stamp(self):
        """Return a stamp larger than all that were issued or observed."""
        wall = int(self._read_wall() * 1000) << COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def observe(self, stamp):
        """Advance the clock to a stamp received from another process."""
        self._last = max(self._last, stamp)


def convert_to_seconds(stamp):
    """Return the wall-clock part of a stamp, in seconds since the epoch."""
    return (stamp >> COUNTER_BITS) / 1000
