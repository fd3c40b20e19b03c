"""Detects engines that became cold unannounced, by their token latency.

A cold engine generates tokens much more slowly than others of its service.
The time between tokens depends little on the prompt, so the mean of each
stream is compared with the average of the service.
"""

import collections

import trio

SLOW_FACTOR = 3.0
MIN_SLOW_STREAMS = 3
SMOOTHING_FACTOR = 0.1
MIN_TOKENS = 8
COOLDOWN_SECONDS = 30.0


class TokenLatencyMonitor:
    """Tracks token latency by service and slow streams in a row by engine."""

    def __init__(self):
        self._averages = {}
        self._slow_streams = collections.Counter()
        self._cooldown_until = {}

    def record_stream(self, record, tokens, seconds):
        """Record a stream; return whether its engine has become cold.

        Args:
            record: the engine's wire.Upstream.
            tokens: number of tokens after the first one.
            seconds: time from the first token to the last.
        """
        if tokens < MIN_TOKENS:
            return False
        if not self._is_slow(record.service, seconds / tokens):
            self._slow_streams.pop(record.name, None)
            return False
        self._slow_streams[record.name] += 1
        now = trio.current_time()
        if self._slow_streams[record.name] < MIN_SLOW_STREAMS:
            return False
        if now < self._cooldown_until.get(record.name, 0.0):
            return False
        del self._slow_streams[record.name]
        self._cooldown_until[record.name] = now + COOLDOWN_SECONDS
        return True

    def _is_slow(self, service, latency):
        """Compare a latency with the service's average and update that."""
        average = self._averages.setdefault(service, latency)
        if latency > SLOW_FACTOR * average:
            return True
        if latency < average / SLOW_FACTOR:
            # The average so far came from a cold engine.
            average = latency
        self._averages[service] = average + SMOOTHING_FACTOR * (
            latency - average
        )
        return False
