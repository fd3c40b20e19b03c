"""Limits the log lines about events that occur in large numbers."""

import time

from camphorhook_common import logs

INTERVAL_SECONDS = 10.0  # six lines a minute tell enough about one cause


class LimitedLog:
    """Writes at most one log line per interval about one kind of event."""

    def __init__(self, now=time.monotonic):
        """Create a log that has written no line.

        Args:
            now: function that returns the time in seconds.
        """
        self._now = now
        self._next_at = float("-inf")
        self._omitted = 0

    def log(self, level, message, **fields):
        """Write a log line, or count it as omitted.

        The line says how many were omitted since the one before.

        Args:
            level: see `logs.log`.
            message: text of the line.
            **fields: see `logs.log`.
        """
        now = self._now()
        if now < self._next_at:
            self._omitted += 1
            return
        self._next_at = now + INTERVAL_SECONDS
        omitted, self._omitted = self._omitted, 0
        logs.log(level, f"{message} ({omitted} more before)", **fields)
