"""Where streams began, kept on the disk of a replica.

Origins in memory are lost if all entry instances and replicas are killed at
the same moment.
"""

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire

SYNC_INTERVAL_SECONDS = 0.2  # five syncs a second for the whole fleet
# While instances wait for a sync; the log uses the same disk.
SHORT_INTERVAL_SECONDS = 0.02
SYNC_TIMEOUT_SECONDS = 1.0  # instances don't wait for a disk that hangs
MAX_PENDING = 10_000  # messages, while the disk hangs or is full
RETRY_SECONDS = 1.0  # after a write that failed


class DurableOrigins:
    """The StreamOrigins of a replica, stored a little later."""

    def __init__(self, origins, store, now=trio.current_time):
        """Create the object with the origins that were stored before.

        Args:
            origins: the stream_origins.StreamOrigins.
            store: an origin_store.OriginStore.
            now: function that returns the time in seconds.

        Raises:
            errors.StorageError: the stored origins can't be read.
        """
        self._origins = origins
        self._store = store
        self._now = now
        self._pending = []
        self._has_pending = trio.Event()
        self._waiting = []
        self._has_waiting = trio.Event()
        self.store = origins.store
        self.answer = origins.answer
        self.count = origins.count
        # It is not known how old they are; each is kept for its whole time.
        for message in store.load():
            origins.store_all(message)

    def store_all(self, message):
        """Keep the origins in a wire.StoreOrigins; return wire.OriginReply."""
        if len(self._pending) < MAX_PENDING:
            self._pending.append(message)
            self._has_pending.set()
        return self._origins.store_all(message)

    async def sync_all(self, message):
        """Keep the origins in a wire.SyncOrigins; return wire.OriginReply.

        It returns once they are on the disk.

        Raises:
            errors.UnreachableError: they were not stored in time.
        """
        reply = self.store_all(wire.StoreOrigins(message.groups))
        is_stored = trio.Event()
        self._waiting.append(is_stored)
        self._has_waiting.set()
        with trio.move_on_after(SYNC_TIMEOUT_SECONDS):
            await is_stored.wait()
        if not is_stored.is_set():
            raise errors.UnreachableError(
                f"origins were not on the disk within "
                f"{SYNC_TIMEOUT_SECONDS:g} s",
                step="store origins",
            )
        return reply

    async def run(self):
        """Store what was kept, until cancelled.

        Origins that can't be stored are kept, up to MAX_PENDING messages,
        and stored later.
        """
        while True:
            await self._has_pending.wait()
            with trio.move_on_after(SYNC_INTERVAL_SECONDS):
                await self._has_waiting.wait()
                await trio.sleep(SHORT_INTERVAL_SECONDS)
            messages, self._pending = self._pending, []
            self._has_pending = trio.Event()
            waiting, self._waiting = self._waiting, []
            self._has_waiting = trio.Event()
            try:
                await trio.to_thread.run_sync(
                    self._store.append, messages, self._now()
                )
                for is_stored in waiting:
                    is_stored.set()
            except errors.StorageError as error:
                logs.log("warning", error.format(), step="store origins")
                kept = [*messages, *self._pending]
                self._pending = kept[:MAX_PENDING]
                self._has_pending.set()
                await trio.sleep(RETRY_SECONDS)
