"""Where streams began, so that they go on there at whichever instance.

What two software versions of a service write doesn't fit together. Before the
first event of a stream that may be resumed is passed on, the instance tells
three keepers, in different failure domains, which service and version wrote
it. An instance at which a client takes the stream up asks the keepers. Only a
few instances are keepers, so that each one needs connections to those. Two
replicas get the origins as well, some at a time, in case all entry instances
are killed at once. While a service has several versions, the first event
waits until a replica has the origin on its disk: all instances and replicas
may be killed at any moment, and then nothing else tells the version.
"""

import collections
import typing

import trio
import xxhash

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing

SECONDS_PER_MS = 0.001
KEEPERS = 3
# Instances that are asked: the keepers may have changed since.
ASKED = 2 * KEEPERS
MAX_POOL_SIZE = 16  # instances of which the keepers are chosen
STORE_WAIT_SECONDS = 0.05  # by which a first event may be delayed
STORE_TIMEOUT_SECONDS = 1.0  # for a new connection
FIND_TIMEOUT_SECONDS = 0.25  # many round trips within a region
MARGIN_SECONDS = 5.0  # after the client's deadline
MAX_SECONDS = 120.0  # for which an origin is kept
MAX_ORIGINS = 10_000  # 4 MB; the oldest are dropped
MAX_REPLICA_ORIGINS = 40_000  # a replica keeps those of the whole fleet
REPLICAS = 2  # that keep an origin, so that one may be lost
# Between two messages to replicas, which a fleet of any size must bear.
BATCH_SECONDS = 0.05
BATCH_SECONDS_PER_INSTANCE = 0.002
# The same while first events wait, and the longest that they do.
SHORT_BATCH_SECONDS = 0.01
SYNC_WAIT_SECONDS = 0.2
MAX_BATCHES = 4  # on their way at once; a replica may have just been lost


class Origin(typing.NamedTuple):
    """The service and the software version that began a stream."""

    service: str
    version: str


class _Batch:
    """Origins that are sent to replicas in one message.

    Attributes:
        found: (key, milliseconds to keep it) of streams by Origin.
        must_sync: whether first events wait until a disk has them.
        is_stored: set once a replica has them, on its disk if they must be.
    """

    def __init__(self):
        self.found = {}
        self.must_sync = False
        self.is_stored = trio.Event()


class _Kept(typing.NamedTuple):
    """An Origin, None if there were two, and until when it is kept."""

    origin: Origin | None
    expires_at: float


def make_key(account, request):
    """Return the number by which a stream's origin is kept.

    Args:
        account: name of the client account.
        request: id of the request that brought the stream's first event.
    """
    return xxhash.xxh3_64_intdigest(f"{account}\0{request}".encode())


class StreamOrigins:
    """The origins that this instance keeps, and those of other keepers."""

    def __init__(
        self,
        name,
        map_instances,
        transport,
        now,
        list_replicas=lambda: (),
        most=MAX_ORIGINS,
    ):
        """Create the records of an instance that keeps none.

        Args:
            name: name of this instance.
            map_instances: function that returns the failure domain by name
                of the instances alive.
            transport: a Transport.
            now: function that returns the time in seconds.
            list_replicas: function that returns the names of replicas that
                answer.
            most: number of origins to keep.
        """
        self._list_replicas = list_replicas
        self._most = most
        self._batch = _Batch()
        self._has_batch = trio.Event()
        self._must_sync = trio.Event()
        self._batches = trio.Semaphore(MAX_BATCHES)
        self._name = name
        self._map_instances = map_instances
        self._transport = transport
        self._now = now
        self._kept = collections.OrderedDict()
        self._instances = {}
        self._pool = {}
        self._nursery = None

    async def run(self):
        """Send to keepers what `record` is given, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                await self._has_batch.wait()
                instances = len(self._map_instances())
                with trio.move_on_after(
                    BATCH_SECONDS + BATCH_SECONDS_PER_INSTANCE * instances
                ):
                    await self._must_sync.wait()
                    await trio.sleep(SHORT_BATCH_SECONDS)
                await self._batches.acquire()
                batch, self._batch = self._batch, _Batch()
                self._has_batch = trio.Event()
                self._must_sync = trio.Event()
                self._nursery.start_soon(self._send_batch, batch)

    async def _send_batch(self, batch):
        """Send origins to replicas until two of them have them."""
        groups = [
            wire.OriginGroup(
                *origin,
                max(keep_ms for _, keep_ms in found),
                [key for key, _ in found],
            )
            for origin, found in batch.found.items()
        ]
        weights = dict.fromkeys(self._list_replicas(), 1.0)
        names = iter(hashing.rank(self._name, weights))

        async def send():
            for name in names:
                if await self._send_groups(name, groups, batch.must_sync):
                    batch.is_stored.set()
                    return

        try:
            async with trio.open_nursery() as nursery:
                for _ in range(REPLICAS):
                    nursery.start_soon(send)
        finally:
            self._batches.release()

    async def _send_groups(self, name, groups, must_sync):
        """Send wire.OriginGroups to a replica; return whether it has them."""
        if must_sync:
            message = wire.SyncOrigins(groups)
            reply = await self._call(name, message, FIND_TIMEOUT_SECONDS)
            if reply is not None:
                return True
            # It may be of an older build, which keeps them all the same.
        message = wire.StoreOrigins(groups)
        reply = await self._call(name, message, FIND_TIMEOUT_SECONDS)
        return reply is not None

    def _choose_keepers(self, key, count):
        """Return the names of the other instances that keep an origin."""
        instances = self._map_instances()
        if instances != self._instances:
            self._instances = dict(instances)
            names = hashing.choose_spread("", instances, MAX_POOL_SIZE)
            self._pool = {name: instances[name] for name in names}
        chosen = hashing.choose_spread(f"{key:x}", self._pool, count)
        return [name for name in chosen if name != self._name]

    def count(self):
        """Return the number of origins kept here."""
        return len(self._kept)

    # --- keeping ---------------------------------------------------------

    def store(self, message):
        """Keep the origin in a wire.StoreOrigin; return the wire.OriginReply.

        A second, different origin of the same stream makes it unknown.
        """
        origin = Origin(message.service, message.version)
        now = self._now()
        self._evict_expired(now)
        known = self._kept.pop(message.key, None)
        if known is not None and known.expires_at > now:
            if known.origin != origin:
                origin = None
        seconds = min(MAX_SECONDS, message.keep_ms * SECONDS_PER_MS)
        self._kept[message.key] = _Kept(origin, now + seconds)
        return wire.OriginReply(origin is not None, *(origin or ("", "")))

    def store_all(self, message):
        """Keep the origins in a wire.StoreOrigins; return wire.OriginReply."""
        for group in message.groups:
            service, version, keep_ms, keys = group
            for key in keys:
                self.store(wire.StoreOrigin(key, service, version, keep_ms))
        return wire.OriginReply(False, "", "")

    def _evict_expired(self, now):
        while self._kept:
            oldest = next(iter(self._kept))
            is_expired = self._kept[oldest].expires_at <= now
            if not is_expired and len(self._kept) < self._most:
                return
            del self._kept[oldest]

    def answer(self, message):
        """Return the wire.OriginReply to a wire.FindOrigin."""
        known = self._kept.get(message.key)
        if known is None or known.expires_at <= self._now():
            return wire.OriginReply(False, "", "")
        return wire.OriginReply(
            known.origin is not None, *(known.origin or ("", ""))
        )

    # --- asking ----------------------------------------------------------

    async def record(self, key, origin, seconds, must_sync=False):
        """Tell the keepers where a stream began; wait until one has it.

        Args:
            key: as `make_key` returns it.
            origin: the Origin.
            seconds: for how long the client may take the stream up.
            must_sync: whether to wait until a replica has it on its disk.
        """
        keep_ms = int((seconds + MARGIN_SECONDS) / SECONDS_PER_MS)
        message = wire.StoreOrigin(key, *origin, keep_ms)
        self.store(message)
        batch = self._batch
        batch.found.setdefault(origin, []).append((key, keep_ms))
        self._has_batch.set()
        if must_sync:
            batch.must_sync = True
            self._must_sync.set()
        keepers = self._choose_keepers(key, KEEPERS)
        is_stored = trio.Event()
        for name in keepers:
            self._nursery.start_soon(self._tell, name, message, is_stored)
        if keepers:
            with trio.move_on_after(STORE_WAIT_SECONDS):
                await is_stored.wait()
        if must_sync:
            with trio.move_on_after(SYNC_WAIT_SECONDS):
                await batch.is_stored.wait()

    async def _tell(self, name, message, is_stored):
        reply = await self._call(name, message, STORE_TIMEOUT_SECONDS)
        if reply is not None:
            is_stored.set()

    async def find(self, key):
        """Return the Origin of a stream, or None if it is not known.

        Args:
            key: as `make_key` returns it.
        """
        message = wire.FindOrigin(key)
        reply = self.answer(message)
        if not reply.is_known:
            reply = await self._ask(self._choose_keepers(key, ASKED), message)
        if reply is None:
            reply = await self._ask(self._list_replicas(), message)
        if reply is None:
            return None
        return Origin(reply.service, reply.version)

    async def _ask(self, names, message):
        """Return the first wire.OriginReply that knows an origin, or None."""
        found = []

        async def ask(name):
            reply = await self._call(name, message, FIND_TIMEOUT_SECONDS)
            if reply is not None and reply.is_known:
                found.append(reply)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(ask, name)
        return found[0] if found else None

    async def _call(self, name, message, seconds):
        try:
            return await self._transport.call(name, message, seconds)
        except errors.UnreachableError as error:
            logs.log("info", error.format(), step="keep origins")
            return None
