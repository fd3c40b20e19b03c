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

MOST_PARTS = 4096  # bounds memory to under 2 MB
MOST_HOLDERS = 3  # engines remembered for one part
HOLD_SECONDS = 40.0  # a part that nobody used for so long has often yielded
RETELL_SECONDS = 8.0  # a fifth of it; a use is told again once so long ago
READ_TOKENS = 64_000  # of a prompt that an engine reads in a second, about
LEAST_TOKENS = 64  # shorter parts are read again faster than told about
MOST_UNTOLD = 256  # placements carried by one notice
MOST_LISTED = 1024  # placements told to an instance that starts: 40 kB
LEARN_SECONDS = 1.0  # wait for one instance's list
LEARN_RETRY_SECONDS = 0.2


async def learn(name, book, map_instances, transport):
    """Take over the placements that another instance knows, once.

    Args:
        name: the own name.
        book: the own HomeBook.
        map_instances: returns failure domains by name of instances.
        transport: a Transport.
    """
    asked = set()
    while True:
        names = [one for one in map_instances() if one not in asked]
        for other in names:
            if other == name:
                continue
            asked.add(other)
            try:
                reply = await transport.call(
                    other, wire.ReadPlacements(name), LEARN_SECONDS
                )
            except errors.UnreachableError as error:
                logs.log("info", error.format(), step="learn homes")
                continue
            book.adopt(reply.placements, trio.current_time())
            logs.log(
                "info",
                f"learned {len(reply.placements)} placements",
                step="learn homes",
                peer=other,
            )
            return
        await trio.sleep(LEARN_RETRY_SECONDS)


class _Use:
    """When an upstream was last known to use a part, and told to do so.

    Attributes:
        placed_at: when it got the part for the first time.
        read: set once it surely has read it.
    """

    def __init__(self, now):
        self.used_at = float("-inf")
        self.told_at = float("-inf")
        self.placed_at = now
        self.read = trio.Event()


class HomeBook:
    """Placements of shared parts, own ones and those that others told."""

    def __init__(self):
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
        if use is None or use.read.is_set():
            return
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
