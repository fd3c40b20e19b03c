"""Detects engines that became cold unannounced, by their token latency.

A cold engine generates tokens much more slowly than others of its service.
The time between tokens depends little on the prompt, so the mean of each
stream is compared with the average of the service.
"""

import collections

import trio

SLOW_FACTOR = 3.0
SLOW_STREAMS = 3
WEIGHT_OF_NEW = 0.1
FEWEST_TOKENS = 8
REST_SECONDS = 30.0


class TempoBook:
    """Tracks token latency by service and slow streams in a row by engine."""

    def __init__(self):
        self._usual = {}
        self._slow = collections.Counter()
        self._rests_until = {}

    def note(self, record, tokens, seconds):
        """Record a stream; return whether its engine has become cold.

        Args:
            record: the engine's wire.Upstream.
            tokens: number of tokens after the first one.
            seconds: time from the first token to the last.
        """
        if tokens < FEWEST_TOKENS:
            return False
        if not self._is_slow(record.service, seconds / tokens):
            self._slow.pop(record.name, None)
            return False
        self._slow[record.name] += 1
        now = trio.current_time()
        if self._slow[record.name] < SLOW_STREAMS:
            return False
        if now < self._rests_until.get(record.name, 0.0):
            return False
        del self._slow[record.name]
        self._rests_until[record.name] = now + REST_SECONDS
        return True

    def _is_slow(self, service, gap):
        """Compare a latency with the service's average and update that."""
        usual = self._usual.setdefault(service, gap)
        if gap > SLOW_FACTOR * usual:
            return True
        if gap < usual / SLOW_FACTOR:
            # The average so far came from a cold engine.
            usual = gap
        self._usual[service] = usual + WEIGHT_OF_NEW * (gap - usual)
        return False
