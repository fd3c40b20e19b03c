"""Baseline policies that the fleet is compared with in measurements.

They run in the measuring process, which sends to the engines directly. Each
sees the current state of the engines as far as it needs it, without the
delay with which instances learn it; this favors the baselines.
"""

import random

import xxhash

VIRTUAL_NODES = 100


class Policy:
    """Base class of the policies, which choose an engine for each turn.

    Attributes:
        engines: names of all engines.
        alive: names of the reachable engines; the caller updates it.
        loads: requests in flight by engine; the caller updates it.
    """

    def __init__(self, engines, seed):
        self.engines = list(engines)
        self.alive = set(self.engines)
        self.loads = dict.fromkeys(self.engines, 0)
        self._rng = random.Random(seed)

    def list_alive(self):
        """Return the names of the reachable engines in a fixed order."""
        return [name for name in self.engines if name in self.alive]

    def choose(self, turn):
        """Return the name of the engine for a Turn."""
        raise NotImplementedError

    def record_served(self, turn, name):
        """Record that an engine has served a turn."""

    def record_cache_lost(self, name):
        """Record that an engine has lost its cache."""


class RandomPolicy(Policy):
    """Chooses an engine at random."""

    def choose(self, turn):
        """Return an engine at random."""
        return self._rng.choice(self.list_alive())


class RoundRobin(Policy):
    """Chooses the engines in rotation."""

    def __init__(self, engines, seed):
        super().__init__(engines, seed)
        self._next = 0

    def choose(self, turn):
        """Return the next engine."""
        alive = self.list_alive()
        self._next += 1
        return alive[self._next % len(alive)]


class LeastLoad(Policy):
    """Chooses the engine with the fewest requests in flight."""

    def choose(self, turn):
        """Return the least loaded engine; break ties at random."""
        alive = self.list_alive()
        self._rng.shuffle(alive)
        return min(alive, key=self.loads.get)


class ConsistentHash(Policy):
    """Chooses by consistent hashing, without a bound on load."""

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
        """Return the first reachable engine after the chat on the ring."""
        point = self._hash(f"{turn.account}/{turn.chat}")
        after = [name for place, name in self._ring if place > point]
        before = [name for place, name in self._ring if place <= point]
        return next(one for one in after + before if one in self.alive)


class Oracle(Policy):
    """Chooses with exact knowledge of the caches and the loads.

    It chooses the engine that served the chat last, and the least loaded one
    for new chats. It gives the upper bound of cache reuse.
    """

    def __init__(self, engines, seed):
        super().__init__(engines, seed)
        self._engines_by_chat = {}

    def choose(self, turn):
        """Return the chat's engine, or the least loaded one for a new chat."""
        home = self._engines_by_chat.get(turn.chat)
        if home in self.alive:
            return home
        return min(self.list_alive(), key=self.loads.get)

    def record_served(self, turn, name):
        """Record the engine that served the chat."""
        self._engines_by_chat[turn.chat] = name

    def record_cache_lost(self, name):
        """Discard the records of chats that the engine had cached."""
        for chat, home in list(self._engines_by_chat.items()):
            if home == name:
                del self._engines_by_chat[chat]


BASELINES = {
    "random": RandomPolicy,
    "round robin": RoundRobin,
    "least load": LeastLoad,
    "consistent hashing": ConsistentHash,
    "oracle": Oracle,
}
