"""Versions of services, in the log before an upstream of them is used.

An instance that was out of touch does not know of upstreams that joined
meanwhile. A read of the configuration that the leader confirms tells it every
version that may have begun a stream.
"""

import time

import trio

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import versions
from camphorhook_daemon.domain import state as states

SUBMIT_SECONDS = 0.8  # upstreams ask the next replica after 1 s
POLL_SECONDS = 10.0  # between two polls of the replicas by the leader
POLL_TIMEOUT_SECONDS = 1.0
# Since a version was last seen by a replica that answers.
RETENTION_SECONDS = versions.MEMORY_SECONDS + 3 * POLL_SECONDS


def make_row(service, version):
    """Return the name of a version's row; no two versions share one."""
    return f"{service}\n{version}"


def list_versions(rows, service):
    """Return the set of a service's versions in the log.

    Args:
        rows: cells by row name of the table.
        service: name of the service.
    """
    return {
        cells["version"]
        for cells in rows.values()
        if cells["service"] == service
    }


class AnnouncedVersions:
    """The versions in the log, as one replica knows them."""

    def __init__(
        self, name, local_replica, submitter, transport, now=trio.current_time
    ):
        """Create the object.

        Args:
            name: name of this instance.
            local_replica: the local Replica.
            submitter: the Submitter that sends commands to the leader.
            transport: a Transport.
            now: function that returns the time in seconds.
        """
        self._name = name
        self._replica = local_replica
        self._submitter = submitter
        self._transport = transport
        self._now = now
        self._lock = trio.Lock()
        self._seen_at = {}

    @property
    def _rows(self):
        return self._replica.state.tables[states.VERSIONS_TABLE]

    async def store(self, registration):
        """Return once the version of an upstream is in the log.

        Args:
            registration: the wire.Registration; nothing is done for an
                upstream that leaves.

        Raises:
            errors.UnreachableError: no majority stored it in time.
        """
        service, version = registration.service, registration.version
        row = make_row(service, version)
        if registration.state != registry.LIVE or row in self._rows:
            return
        # Upstreams of a new version come at the same time.
        async with self._lock:
            if row in self._rows:
                return
            command = commands.SetCells(
                f"{self._name}/{row}/{time.time()}",
                states.VERSIONS_TABLE,
                row,
                0,
                {"service": service, "version": version},
                time.time(),
            )
            outcome = await self._submitter.submit(command, SUBMIT_SECONDS)
        logs.log(
            "info",
            f"version {version!r} of {service} is in the log",
            step="register",
            inputs={"index": outcome.index, "code": outcome.code},
        )

    async def evict_unseen(self):
        """Remove versions that no replica sees while this one leads.

        Runs until cancelled.
        """
        while True:
            await trio.sleep(POLL_SECONDS)
            if self._replica.role != "leader":
                self._seen_at = {}
                continue
            await self._poll()
            now = self._now()
            for name, row in list(self._rows.items()):
                seen_at = self._seen_at.setdefault(name, now)
                if now - seen_at > RETENTION_SECONDS:
                    await self._remove(name, row.version)
            for name in self._seen_at.keys() - self._rows.keys():
                del self._seen_at[name]

    async def _poll(self):
        """Ask all replicas which versions they have seen lately."""
        async with trio.open_nursery() as nursery:
            for peer in self._replica.list_members():
                nursery.start_soon(self._ask, peer)

    async def _ask(self, peer):
        try:
            reply = await self._transport.call(
                peer, wire.ReadVersions(), POLL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            logs.log("debug", error.format(), step="evict", peer=peer)
            return
        now = self._now()
        for service, version, age_ms in reply.versions:
            row = make_row(service, version)
            seen_at = now - age_ms * registry.SECONDS_PER_MS
            self._seen_at[row] = max(seen_at, self._seen_at.get(row, seen_at))

    async def _remove(self, name, version):
        command = commands.RemoveRow(
            f"{self._name}/{name}/{time.time()}",
            states.VERSIONS_TABLE,
            name,
            version,
            time.time(),
        )
        reply = await self._replica.submit(command)
        logs.log(
            "info", f"version {name} is forgotten: {reply.code}", step="evict"
        )
