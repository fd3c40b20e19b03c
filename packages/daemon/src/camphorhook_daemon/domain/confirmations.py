"""Reads of the configuration that a leader confirms at once."""

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire

TIMEOUT_SECONDS = 0.3  # many round trips within a region
TRIES = 2  # the first replica may have just ended


class Confirmations:
    """Confirms the configuration of an instance; reads shared by callers."""

    def __init__(self, configuration, watcher, transport, now):
        """Create the object.

        Args:
            configuration: the Configuration.
            watcher: the Watcher, which chooses the replica to ask.
            transport: a Transport.
            now: the configuration's clock, in seconds.
        """
        self._configuration = configuration
        self._watcher = watcher
        self._transport = transport
        self._now = now
        self._lock = trio.Lock()

    async def confirm(self):
        """Return whether each change accepted before the call is in force."""
        asked_at = self._now()
        for _ in range(TRIES):
            async with self._lock:
                if self._configuration.confirmed_at < asked_at:
                    await self._read()
            if self._configuration.confirmed_at >= asked_at:
                return True
        return False

    async def _read(self):
        sent_at, began_at = self._now(), trio.current_time()
        peer = self._watcher.choose_replica(began_at)
        request = wire.Watch(self._configuration.watched_index, 0, True)
        try:
            reply = await self._transport.call(peer, request, TIMEOUT_SECONDS)
        except errors.UnreachableError as error:
            logs.log("info", error.format(), step="confirm", peer=peer)
            self._watcher.record_failure(peer, began_at, trio.current_time())
            return
        self._configuration.apply_reply(reply, sent_at)
