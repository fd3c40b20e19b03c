"""Which engines probably hold a prompt's shared part in their cache.

Rendezvous hashing alone moves prompts whenever engines come and go, and
knows nothing of load. So instances tell each other where they placed prompts
with a long shared part; the next request with that part goes there.
"""

import collections

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.ports import upstreams as ports

MOST_PARTS = 4096  # bounds memory to under 2 MB
MOST_HOLDERS = 3  # engines remembered for one part
HOLD_SECONDS = 40.0  # a part that nobody used for so long has often yielded
RETELL_SECONDS = 8.0  # a fifth of it; a use is told again once so long ago
READ_TOKENS = 64_000  # of a prompt that an engine reads in a second, about
LEAST_TOKENS = 64  # shorter parts are read again faster than told about
MOST_UNTOLD = 256  # placements carried by one notice
MOST_LISTED = 1024  # placements told to an instance that starts: 40 kB
MOST_HELD = 128  # parts learned of one engine; half of what a notice carries
STOCK_SECONDS = 4.0  # in which all engines have been heard after a restart
LEARN_SECONDS = 1.0  # wait for one instance's list
LEARN_RETRY_SECONDS = 0.2


async def learn(name, book, map_instances, transport):
    """Take over the placements that another instance knows, once.

    Args:
        name: the own name.
        book: the own HomeBook.
        map_instances: returns failure domains by name of instances.
        transport: a Transport.

    Returns:
        False when all others have been asked and none was informed, as
        after a restart of all.
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
                    other, wire.ReadPlacements(name), LEARN_SECONDS
                )
            except errors.UnreachableError as error:
                logs.log("info", error.format(), step="learn homes")
                continue
            book.adopt(reply.placements, trio.current_time())
            if not reply.is_informed:
                continue
            book.is_informed = True
            logs.log(
                "info",
                f"learned {len(reply.placements)} placements",
                step="learn homes",
                peer=other,
            )
            return True
        await trio.sleep(LEARN_RETRY_SECONDS)


async def take_stock(name, book, list_engines, map_instances, fetch):
    """Learn from the engines themselves which parts they hold.

    Each engine is asked by one instance, which tells the others.

    Args:
        name: the own name.
        book: the own HomeBook.
        list_engines: returns wire.Registrations of engines.
        map_instances: returns failure domains by name of instances.
        fetch: async function of a Registration that returns (part, tokens)
            pairs; it raises AttemptError.
    """
    asked = set()
    with trio.move_on_after(STOCK_SECONDS):
        while True:
            instances = dict.fromkeys(map_instances(), 1.0)
            for engine in list_engines():
                if engine.name in asked:
                    continue
                asked.add(engine.name)
                if hashing.rank(engine.name, instances)[:1] == [name]:
                    await _ask_engine(engine, book, fetch)
            await trio.sleep(LEARN_RETRY_SECONDS)
    book.is_informed = True


async def _ask_engine(engine, book, fetch):
    try:
        parts = await fetch(engine)
    except ports.AttemptError as error:
        logs.log("info", error.format(), step="take stock")
        return
    largest = sorted(parts, key=lambda part: part[1])[-MOST_HELD:]
    for part, tokens in largest:
        book.note(part, tokens, engine.name, trio.current_time())
        book.note_read(part, engine.name)
    logs.log(
        "info",
        f"learned {len(largest)} parts",
        step="take stock",
        peer=engine.name,
    )


class _Use:
    """When an upstream was last known to use a part, and told to do so.

    Attributes:
        placed_at: when it got the part for the first time.
        is_read: it surely has read it.
        read: set when it has; None while nobody waits for that.
    """

    __slots__ = ("used_at", "told_at", "placed_at", "is_read", "read")

    def __init__(self, now):
        self.used_at = float("-inf")
        self.told_at = float("-inf")
        self.placed_at = now
        self.is_read = False
        self.read = None


class HomeBook:
    """Placements of shared parts, own ones and those that others told.

    Attributes:
        is_informed: it holds more than what came since its own start.
    """

    def __init__(self):
        self.is_informed = False
        self._holders = collections.OrderedDict()
        self._untold = collections.deque(maxlen=MOST_UNTOLD)

    def note(self, part, tokens, upstream, now):
        """Take note of an own placement, to be told to others."""
        if tokens < LEAST_TOKENS:
            return
        use = self._put(part, upstream, now)
        if now - use.told_at >= RETELL_SECONDS:
            use.told_at = now
            self._untold.append(wire.Placement(part, upstream))

    def adopt(self, placements, now):
        """Take in placements that others told."""
        for placement in placements:
            use = self._put(placement.part, placement.upstream, now)
            use.told_at = now

    def take_untold(self):
        """Return the own placements that were not told yet."""
        untold = list(self._untold)
        self._untold.clear()
        return untold

    def _put(self, part, upstream, now):
        holders = self._holders.setdefault(part, {})
        self._holders.move_to_end(part)
        use = holders.get(upstream)
        if use is None or now - use.used_at > HOLD_SECONDS:
            use = holders[upstream] = _Use(now)
        use.used_at = now
        if len(holders) > MOST_HOLDERS:
            del holders[min(holders, key=lambda one: holders[one].used_at)]
        while len(self._holders) > MOST_PARTS:
            self._holders.popitem(last=False)
        return use

    def list_recent(self):
        """Return the newest placements, the oldest of them first."""
        found = [
            (use.used_at, wire.Placement(part, name))
            for part, holders in self._holders.items()
            for name, use in holders.items()
        ]
        found.sort(key=lambda entry: entry[0])
        return [placement for _, placement in found[-MOST_LISTED:]]

    def note_read(self, part, upstream):
        """Take note that an upstream has read a part."""
        use = self._holders.get(part, {}).get(upstream)
        if use is not None:
            use.is_read = True
            if use.read is not None:
                use.read.set()

    async def wait_until_read(self, part, tokens, upstream, longest):
        """Wait while an upstream is probably still reading a part.

        A prompt that comes meanwhile would have it read the part twice, and
        both would be answered later than one after the other.

        Args:
            part: id of the part.
            tokens: of the part.
            upstream: that the prompt goes to.
            longest: seconds.
        """
        use = self._holders.get(part, {}).get(upstream)
        if use is None or use.is_read:
            return
        if use.read is None:
            use.read = trio.Event()
        ends_at = use.placed_at + tokens / READ_TOKENS
        deadline = min(ends_at, trio.current_time() + longest)
        with trio.move_on_at(deadline):
            await use.read.wait()

    def find(self, part, now):
        """Return the upstreams that used a part of late."""
        holders = self._holders.get(part, {})
        return [
            name
            for name, use in holders.items()
            if now - use.used_at < HOLD_SECONDS
        ]
