"""Index of the engines that probably have a prompt part cached.

Rendezvous hashing alone would move prompts whenever engines come and go, and
ignores load. Therefore instances publish to which engine they sent prompts
with a long shared part, and later requests with that part go there.
"""

import collections

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.ports import upstreams as ports

MAX_PARTS = 4096  # bounds memory to under 2 MB
MAX_HOLDERS = 3  # engines kept for one part
CACHE_TTL_SECONDS = 40.0  # engines often evict parts unused for so long
REPUBLISH_SECONDS = 8.0  # a fifth of it; interval of publishing a part in use
PREFILL_TOKENS_PER_SECOND = 64_000  # approximate prefill rate of an engine
MIN_PART_TOKENS = 64  # prefilling fewer takes less time than publishing
MAX_UNPUBLISHED = 256  # placements in one notice
MAX_LISTED = 1024  # placements sent to a starting instance: 40 kB
MAX_PARTS_PER_ENGINE = 128  # parts loaded from one engine; half of a notice
ENGINE_LOAD_SECONDS = 4.0  # all engines register within it after a restart
REPLY_TIMEOUT_SECONDS = 1.0  # timeout for the placements of one instance
POLL_SECONDS = 0.2


async def load_from_instances(name, index, map_instances, transport):
    """Load the placements that another instance knows.

    The other instances are asked in turn until one of them is synced
    itself. Unreachable instances are skipped.

    Args:
        name: name of this instance.
        index: CacheIndex of this instance.
        map_instances: function that returns the failure domain by name of
            the instances alive.
        transport: a Transport.

    Returns:
        False if all others have been asked and none was synced, as after a
        restart of the whole fleet.
    """
    asked = set()
    while True:
        others = [one for one in map_instances() if one != name]
        names = [one for one in others if one not in asked]
        if asked and not names:
            return False
        for other in names:
            asked.add(other)
            try:
                reply = await transport.call(
                    other, wire.ReadPlacements(name), REPLY_TIMEOUT_SECONDS
                )
            except errors.UnreachableError as error:
                logs.log("info", error.format(), step="learn homes")
                continue
            index.merge_placements(reply.placements, trio.current_time())
            if not reply.is_synced:
                continue
            index.is_synced = True
            logs.log(
                "info",
                f"loaded {len(reply.placements)} placements from an instance",
                step="learn homes",
                peer=other,
            )
            return True
        await trio.sleep(POLL_SECONDS)


async def load_from_engines(name, index, list_engines, map_instances, fetch):
    """Load from the engines themselves which parts they have cached.

    Each engine is asked by one instance, which publishes the result to the
    others. Engines that fail to answer are skipped.

    Args:
        name: name of this instance.
        index: CacheIndex of this instance.
        list_engines: function that returns wire.Registrations of engines.
        map_instances: function that returns the failure domain by name of
            the instances alive.
        fetch: async function that returns (part, tokens) pairs for a
            Registration, or raises AttemptError or SendWithheld.
    """
    asked = set()
    with trio.move_on_after(ENGINE_LOAD_SECONDS):
        while True:
            instances = dict.fromkeys(map_instances(), 1.0)
            for engine in list_engines():
                if engine.name in asked:
                    continue
                asked.add(engine.name)
                if hashing.rank(engine.name, instances)[:1] == [name]:
                    await _ask_engine(engine, index, fetch)
            await trio.sleep(POLL_SECONDS)
    index.is_synced = True


async def _ask_engine(engine, index, fetch):
    try:
        parts = await fetch(engine)
    except (ports.AttemptError, ports.SendWithheld) as error:
        logs.log("info", error.format(), step="take stock")
        return
    largest = sorted(parts, key=lambda part: part[1])[-MAX_PARTS_PER_ENGINE:]
    for part, tokens in largest:
        index.record_placement(part, tokens, engine.name, trio.current_time())
        index.mark_prefilled(part, engine.name)
    logs.log(
        "info",
        f"learned {len(largest)} parts",
        step="take stock",
        peer=engine.name,
    )


class _CacheEntry:
    """State of one part on one upstream.

    Attributes:
        used_at: time of the last known use in seconds.
        told_at: time in seconds when the placement was last published, here
            or by another instance.
        placed_at: time in seconds when the upstream first got the part.
        is_read: the upstream has certainly prefilled the part.
        read: event that is set then; None while no request waits for it.
    """

    __slots__ = ("used_at", "told_at", "placed_at", "is_read", "read")

    def __init__(self, now):
        self.used_at = float("-inf")
        self.told_at = float("-inf")
        self.placed_at = now
        self.is_read = False
        self.read = None


class CacheIndex:
    """Placements of shared parts by this instance and by others.

    Attributes:
        is_synced: the index contains placements from before the start of
            this instance, not only those that it has seen since.
    """

    def __init__(self):
        self.is_synced = False
        self._holders = collections.OrderedDict()
        self._unpublished = collections.deque(maxlen=MAX_UNPUBLISHED)

    def record_placement(self, part, tokens, upstream, now):
        """Record a placement by this instance, to be published."""
        if tokens < MIN_PART_TOKENS:
            return
        entry = self._put(part, upstream, now)
        if now - entry.told_at >= REPUBLISH_SECONDS:
            entry.told_at = now
            self._unpublished.append(wire.Placement(part, upstream))

    def merge_placements(self, placements, now):
        """Add placements that other instances published."""
        for placement in placements:
            entry = self._put(placement.part, placement.upstream, now)
            entry.told_at = now

    def drain_unpublished(self):
        """Return the placements to publish, and clear the list."""
        unpublished = list(self._unpublished)
        self._unpublished.clear()
        return unpublished

    def _put(self, part, upstream, now):
        holders = self._holders.setdefault(part, {})
        self._holders.move_to_end(part)
        entry = holders.get(upstream)
        if entry is None or now - entry.used_at > CACHE_TTL_SECONDS:
            entry = holders[upstream] = _CacheEntry(now)
        entry.used_at = now
        if len(holders) > MAX_HOLDERS:
            del holders[min(holders, key=lambda one: holders[one].used_at)]
        while len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)
        return entry

    def list_recent(self):
        """Return the most recent placements, oldest first."""
        found = [
            (entry.used_at, wire.Placement(part, name))
            for part, holders in self._holders.items()
            for name, entry in holders.items()
        ]
        found.sort(key=lambda entry: entry[0])
        return [placement for _, placement in found[-MAX_LISTED:]]

    def mark_prefilled(self, part, upstream):
        """Mark a part as prefilled by an upstream; wake waiting requests."""
        entry = self._holders.get(part, {}).get(upstream)
        if entry is not None:
            entry.is_read = True
            if entry.read is not None:
                entry.read.set()

    async def wait_for_prefill(self, part, tokens, upstream, longest):
        """Wait while an upstream is probably still prefilling a part.

        A prompt that is sent meanwhile would make the upstream prefill the
        part twice, and both requests would be answered later than one after
        the other.

        Args:
            part: id of the part.
            tokens: number of tokens of the part.
            upstream: name of the upstream that the prompt goes to.
            longest: longest time to wait in seconds.
        """
        entry = self._holders.get(part, {}).get(upstream)
        if entry is None or entry.is_read:
            return
        if entry.read is None:
            entry.read = trio.Event()
        ends_at = entry.placed_at + tokens / PREFILL_TOKENS_PER_SECOND
        deadline = min(ends_at, trio.current_time() + longest)
        with trio.move_on_at(deadline):
            await entry.read.wait()

    def find_holders(self, part, now):
        """Return the names of the upstreams that used a part recently."""
        holders = self._holders.get(part, {})
        return [
            name
            for name, entry in holders.items()
            if now - entry.used_at < CACHE_TTL_SECONDS
        ]
