"""Finds engines that turned cold without notice, by their tempo.

A cold engine gives tokens much more slowly than others of its service. The
time between tokens depends little on the prompt, so a stream's mean is
compared with the service's usual one.
"""

import collections

import trio

SLOW_FACTOR = 3.0
SLOW_STREAMS = 3
WEIGHT_OF_NEW = 0.1
FEWEST_TOKENS = 8
REST_SECONDS = 30.0


class TempoBook:
    """The usual time between tokens, and slow streams in a row."""

    def __init__(self):
        self._usual = {}
        self._slow = collections.Counter()
        self._rests_until = {}

    def note(self, record, tokens, seconds):
        """Take note of a stream; return whether the engine turned cold.

        Args:
            record: the engine's wire.Upstream.
            tokens: tokens after the first one.
            seconds: from the first token to the last.
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
        """Compare a gap with the service's usual one, and learn from it."""
        usual = self._usual.setdefault(service, gap)
        if gap > SLOW_FACTOR * usual:
            return True
        if gap < usual / SLOW_FACTOR:
            # What was taken for usual came from a cold engine.
            usual = gap
        self._usual[service] = usual + WEIGHT_OF_NEW * (gap - usual)
        return False
