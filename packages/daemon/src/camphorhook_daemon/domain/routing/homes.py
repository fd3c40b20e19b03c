"""Which engines probably hold a prompt's shared part in their cache.

Rendezvous hashing alone moves prompts whenever engines come and go. So
instances tell each other, through the replicas, where they placed prompts
with a long shared part; the next request with that part goes there as long
as the engine isn't crowded.
"""

import collections

from camphorhook_common import wire

MOST_PARTS = 4096  # bounds memory to under 2 MB
MOST_HOLDERS = 3  # engines remembered for one part
HOLD_SECONDS = 30.0  # a part that nobody used for so long has often yielded
LEAST_TOKENS = 300  # shorter parts are read again faster than told about
MOST_TOLD = 256  # placements carried by one message
BOARD_LENGTH = 2048


class HomeBook:
    """Placements of shared parts, own ones and those that others told."""

    def __init__(self):
        self._holders = collections.OrderedDict()
        self._untold = collections.deque(maxlen=MOST_TOLD)

    def note(self, part, tokens, upstream, now):
        """Take note of an own placement, to be told to others."""
        if tokens < LEAST_TOKENS:
            return
        self._put(part, upstream, now)
        self._untold.append(wire.Placement(part, upstream))

    def adopt(self, placements, now):
        """Take in placements that others told."""
        for placement in placements:
            self._put(placement.part, placement.upstream, now)

    def take_untold(self):
        """Return the own placements that were not told yet."""
        untold = list(self._untold)
        self._untold.clear()
        return untold

    def tell_again(self, placements):
        """Take back placements whose message was lost."""
        self._untold.extendleft(reversed(placements))

    def _put(self, part, upstream, now):
        holders = self._holders.setdefault(part, {})
        self._holders.move_to_end(part)
        holders[upstream] = now
        if len(holders) > MOST_HOLDERS:
            del holders[min(holders, key=holders.get)]
        while len(self._holders) > MOST_PARTS:
            self._holders.popitem(last=False)

    def find(self, part, now):
        """Return the upstreams that used a part of late, newest first."""
        holders = self._holders.get(part, {})
        recent = [
            (at, name)
            for name, at in holders.items()
            if now - at < HOLD_SECONDS
        ]
        recent.sort(reverse=True)
        return [name for _, name in recent]


class Board:
    """Placements that a replica passes on between instances."""

    def __init__(self):
        self._entries = collections.deque(maxlen=BOARD_LENGTH)
        self.position = 0

    def post(self, sender, placements):
        """Add the placements of an instance."""
        for placement in placements:
            self.position += 1
            self._entries.append((self.position, sender, placement))

    def read(self, sender, after):
        """Return placements of others that came after a position."""
        found = []
        for position, author, placement in reversed(self._entries):
            if position <= after or len(found) >= MOST_TOLD:
                break
            if author != sender:
                found.append(placement)
        found.reverse()
        return found
