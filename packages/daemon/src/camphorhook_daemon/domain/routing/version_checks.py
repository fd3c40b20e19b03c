"""Whether what an instance knows of versions still holds.

A stream that is taken up may go on only at the version that began it. An
instance that was cut off or suspended may know too little of the versions that
a service has, and of the version that an upstream has by now.
"""

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_daemon.domain.routing import announced_versions
from camphorhook_daemon.domain.routing import catalog as catalogs
from camphorhook_daemon.domain import state as states

REFRESH_TIMEOUT_SECONDS = 0.3  # many round trips within a region
# Longer than a watch takes; a replica that is silent for longer may be lost.
MAX_SILENCE_SECONDS = 2.5


class VersionChecks:
    """Checks the versions of services and upstreams with replicas."""

    def __init__(self, instance, configuration, confirm, catalog, transport):
        """Create the object.

        Args:
            instance: (name, failure domain) of this instance.
            configuration: the Configuration.
            confirm: async function that returns whether each change accepted
                before its call is in force.
            catalog: the UpstreamCatalog.
            transport: a Transport.
        """
        self._instance = instance
        self._configuration = configuration
        self._confirm = confirm
        self._catalog = catalog
        self._transport = transport
        self._lock = trio.Lock()

    async def find_sole(self, service):
        """Return the only version that may have begun a service's stream.

        Returns:
            The version; None if there are several, or if that can't be told.
        """
        if not self._list_announced(service):
            # Only replicas of older builds heard from its upstreams.
            return self._catalog.find_sole_version(service)
        if not await self._confirm():
            return None
        found = self._list_announced(service)
        found |= self._catalog.list_recent_versions(service)
        return found.pop() if len(found) == 1 else None

    def has_several(self, service):
        """Return whether a service has had more than one version lately."""
        found = self._list_announced(service)
        found = found or self._catalog.list_recent_versions(service)
        return len(found) > 1

    def _list_announced(self, service):
        rows = self._configuration.list_rows(states.VERSIONS_TABLE)
        return announced_versions.list_versions(
            {name: cells for name, (_, cells) in rows.items()}, service
        )

    def is_in_step(self):
        """Return whether any replica has told what changed lately.

        If none has, this instance may have been cut off or suspended.
        """
        limit = self._catalog.read_time() - MAX_SILENCE_SECONDS
        return self._catalog.has_confirmed(limit)

    async def refresh(self):
        """Ask all replicas for registrations that changed.

        Returns:
            Whether each replica has answered that was heard within
            MAX_SILENCE_SECONDS, and any at all.
        """
        limit = self._catalog.read_time()
        async with self._lock:
            peers = self._catalog.list_unconfirmed(limit, MAX_SILENCE_SECONDS)
            if peers is None:
                return False
            async with trio.open_nursery() as nursery:
                for peer in peers:
                    nursery.start_soon(self._ask, peer)
            return not self._catalog.list_unconfirmed(
                limit, MAX_SILENCE_SECONDS
            )

    async def _ask(self, peer):
        request = catalogs.make_watch(self._instance, peer, self._catalog, 0)
        asked_at = self._catalog.read_time()
        try:
            reply = await self._transport.call(
                peer, request, REFRESH_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            logs.log("info", error.format(), step="check versions", peer=peer)
            return
        self._catalog.apply_reply(peer, reply, asked_at)
