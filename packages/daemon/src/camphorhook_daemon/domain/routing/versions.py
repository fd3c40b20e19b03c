"""Which software versions a service has had lately.

A stream that a client takes up without naming its first request may go on
only where no other version can have begun it. Instances and replicas remember
the versions that they saw; one that has just started asks others, since
upstreams of an older version may have left before.
"""

import math

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing

SECONDS_PER_MS = 0.001
MEMORY_SECONDS = 60.0  # longer than a stream may last
ASKED = 3  # instances that are asked at the same time
ASK_TIMEOUT_SECONDS = 0.3
MIN_ASK_SECONDS = 0.2  # between two rounds of questions
MAX_ASK_SECONDS = 5.0


class VersionMemory:
    """The versions seen within the last MEMORY_SECONDS."""

    def __init__(self, now, is_first=False):
        """Create a memory without versions.

        Args:
            now: function that returns the time in seconds.
            is_first: whether the whole fleet starts for the first time, so
                that no version was there before.
        """
        self._now = now
        self._seen_at = {}
        self._since = -math.inf if is_first else now()

    def record(self, registration):
        """Record that an upstream is there, or has just left.

        Args:
            registration: its wire.Registration.
        """
        if registration.service:
            place = registration.service, registration.version
            self._seen_at[place] = self._now()

    def find(self, service):
        """Return the set of versions that a service has had lately."""
        self._evict()
        return {version for name, version in self._seen_at if name == service}

    def _evict(self):
        limit = self._now() - MEMORY_SECONDS
        for place in [one for one, at in self._seen_at.items() if at < limit]:
            del self._seen_at[place]

    def is_complete(self):
        """Return whether no version of that time can be missing."""
        return self._now() - self._since >= MEMORY_SECONDS

    def answer(self):
        """Return the wire.VersionsReply to wire.ReadVersions."""
        self._evict()
        now = self._now()
        return wire.VersionsReply(
            self.is_complete(),
            [
                wire.SeenVersion(*place, int((now - at) / SECONDS_PER_MS))
                for place, at in self._seen_at.items()
            ],
        )

    def adopt(self, replies):
        """Add what others remember, who together remember all.

        Args:
            replies: wire.VersionsReplies that are complete.
        """
        now = self._now()
        for reply in replies:
            for service, version, age_ms in reply.versions:
                place, at = (service, version), now - age_ms * SECONDS_PER_MS
                self._seen_at[place] = max(self._seen_at.get(place, at), at)
        self._since = min(self._since, now - MEMORY_SECONDS)


async def learn(name, memory, map_instances, list_replicas, transport):
    """Fill the memory of an entry instance that has just started.

    One other instance with a complete memory is enough. Otherwise all
    replicas must have one, as each hears from some upstreams only.

    Args:
        name: name of this instance.
        memory: its VersionMemory.
        map_instances: function that returns the failure domain by name of
            the entry instances alive.
        list_replicas: function that returns the names of all replicas.
        transport: a Transport.
    """
    wait = MIN_ASK_SECONDS
    while not memory.is_complete():
        await trio.sleep(wait)
        wait = min(2 * wait, MAX_ASK_SECONDS)
        others = dict(map_instances())
        others.pop(name, None)
        peers = hashing.choose_spread(name, others, ASKED)
        complete = await _ask(peers, transport)
        if not complete:
            replicas = list_replicas()
            complete = await _ask(replicas, transport)
            if not complete or len(complete) < len(replicas):
                continue
        memory.adopt(complete)
        logs.log(
            "info",
            "knows the versions that upstreams had lately",
            step="learn versions",
            inputs={"replies": len(complete)},
        )


async def _ask(names, transport):
    """Return the complete wire.VersionsReplies of some instances."""
    replies = []

    async def ask(name):
        try:
            reply = await transport.call(
                name, wire.ReadVersions(), ASK_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            logs.log("info", error.format(), step="learn versions")
            return
        if reply.is_complete:
            replies.append(reply)

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(ask, name)
    return replies
