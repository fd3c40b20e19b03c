"""Baseline policies that measurements compare the fleet with.

They run in the measuring process and send to the engines directly. Each
knows the engines' true state in so far as its rule needs it, without the
lag that instances have, so they are at their best here.
"""

import random

import xxhash

VIRTUAL_NODES = 100


class Policy:
    """Chooses an engine for a turn.

    Attributes:
        loads: requests in flight by engine, kept by the caller.
        alive: engines that can be reached, kept by the caller.
    """

    def __init__(self, engines, seed):
        self.engines = list(engines)
        self.alive = set(self.engines)
        self.loads = dict.fromkeys(self.engines, 0)
        self._chance = random.Random(seed)

    def list_alive(self):
        """Return reachable engines in a fixed order."""
        return [name for name in self.engines if name in self.alive]

    def choose(self, turn):
        """Return the engine for a loads.Turn."""
        raise NotImplementedError

    def note_served(self, turn, name):
        """Take note that an engine has served a turn."""

    def note_lost(self, name):
        """Take note that an engine lost its cache."""


class RandomPolicy(Policy):
    """Any engine."""

    def choose(self, turn):
        """Return an engine at random."""
        return self._chance.choice(self.list_alive())


class RoundRobin(Policy):
    """Each engine in turn."""

    def __init__(self, engines, seed):
        super().__init__(engines, seed)
        self._next = 0

    def choose(self, turn):
        """Return the next engine."""
        alive = self.list_alive()
        self._next += 1
        return alive[self._next % len(alive)]


class LeastLoad(Policy):
    """The engine with the fewest requests in flight."""

    def choose(self, turn):
        """Return the least loaded engine; ties by chance."""
        alive = self.list_alive()
        self._chance.shuffle(alive)
        return min(alive, key=self.loads.get)


class ConsistentHash(Policy):
    """A hash ring without a bound on load."""

    def __init__(self, engines, seed):
        super().__init__(engines, seed)
        self._ring = sorted(
            (self._hash(f"{name}#{number}"), name)
            for name in self.engines
            for number in range(VIRTUAL_NODES)
        )

    def _hash(self, text):
        return xxhash.xxh3_64_intdigest(text.encode())

    def choose(self, turn):
        """Return the first reachable engine after the chat's point."""
        point = self._hash(f"{turn.account}/{turn.chat}")
        after = [name for place, name in self._ring if place > point]
        before = [name for place, name in self._ring if place <= point]
        return next(one for one in after + before if one in self.alive)


class Oracle(Policy):
    """Knows where each chat's cache is and every true load.

    It goes to the engine that served the chat last, and places new chats
    on the least loaded one. It is the ceiling for cache reuse.
    """

    def __init__(self, engines, seed):
        super().__init__(engines, seed)
        self._homes = {}

    def choose(self, turn):
        """Return the chat's engine, else the least loaded."""
        home = self._homes.get(turn.chat)
        if home in self.alive:
            return home
        return min(self.list_alive(), key=self.loads.get)

    def note_served(self, turn, name):
        """Remember the chat's engine."""
        self._homes[turn.chat] = name

    def note_lost(self, name):
        """Forget chats whose cache is gone."""
        for chat, home in list(self._homes.items()):
            if home == name:
                del self._homes[chat]


BASELINES = {
    "random": RandomPolicy,
    "round robin": RoundRobin,
    "least load": LeastLoad,
    "consistent hashing": ConsistentHash,
    "oracle": Oracle,
}
