"""What the instances together have on each upstream.

Every instance tells the others, at each change, what it has in flight. So
each knows the fleet's load within milliseconds, where an upstream's own
reports are late and say nothing of prompts that are yet to be read.
"""

import collections

from camphorhook_common import wire

FRESH_SECONDS = 1.2  # three notices; an older one says too little
QUIET_SECONDS = 0.4  # longest time between two notices
INTERVAL_SECONDS = 0.01  # shortest time between two notices
INTERVAL_INSTANCE_SECONDS = 0.003  # more per instance: bounds what one reads


class _Own:
    """Own requests on one upstream."""

    def __init__(self):
        self.in_flight = 0
        self.unread_tokens = 0


class FleetLoads:
    """Own requests in flight and those that other instances told of."""

    def __init__(self, name, now):
        """Create a record without requests.

        Args:
            name: the own name.
            now: returns seconds.
        """
        self._name = name
        self._now = now
        self._own = collections.defaultdict(_Own)
        self._others = {}
        self._totals = {}

    def begin(self, upstream, unread_tokens):
        """Count a request that is being sent."""
        own = self._own[upstream]
        own.in_flight += 1
        own.unread_tokens += unread_tokens

    def note_read(self, upstream, unread_tokens):
        """Take back the tokens of a prompt that was read, or given up."""
        self._own[upstream].unread_tokens -= unread_tokens

    def end(self, upstream):
        """Take back a request that has ended."""
        own = self._own[upstream]
        own.in_flight -= 1
        if not own.in_flight and not own.unread_tokens:
            del self._own[upstream]

    def get_own(self, upstream):
        """Return own requests on an upstream."""
        own = self._own.get(upstream)
        return own.in_flight if own else 0

    def make_notice(self, placements, outcomes):
        """Return the Notice that tells others of the own requests."""
        loads = [
            wire.UpstreamLoad(name, own.in_flight, own.unread_tokens)
            for name, own in self._own.items()
        ]
        return wire.Notice(self._name, loads, placements, outcomes)

    def adopt(self, notice):
        """Take in another instance's Notice."""
        if notice.sender == self._name:
            return
        loads = {one.upstream: one for one in notice.loads}
        self._others[notice.sender] = (self._now(), loads)

    def count_heard(self):
        """Return how many other instances told of their load just now."""
        now = self._now()
        for sender, (told_at, _) in list(self._others.items()):
            if now - told_at > FRESH_SECONDS:
                del self._others[sender]
        return len(self._others)

    def sum_load(self, upstream):
        """Return (requests, unread tokens) of all instances heard."""
        own = self._own.get(upstream)
        in_flight = own.in_flight if own else 0
        unread = own.unread_tokens if own else 0
        for _, loads in self._others.values():
            told = loads.get(upstream)
            if told is not None:
                in_flight += told.in_flight
                unread += told.unread_tokens
        return in_flight, unread
