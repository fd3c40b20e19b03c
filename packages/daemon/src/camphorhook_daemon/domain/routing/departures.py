"""Departures of upstreams, kept in the replicated log.

Registrations are held in the memory of the replicas that received them. A
departure that was acknowledged must outlive these: a registration that was
delayed would otherwise bring the upstream back.
"""

import time
import uuid

import trio

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain import state as states

SUBMIT_SECONDS = 0.8  # upstreams ask the next replica after 1 s
EVICTION_INTERVAL_SECONDS = 5.0  # a fraction of the time they are kept


def _read(cells):
    """Return the wire.Registration that the cells of a row hold."""
    fields = wire.Registration._fields
    return wire.Registration(**{one: cells[one] for one in fields})


def _covers(stored, registration):
    """Return whether a stored departure makes another one superfluous."""
    return stored is not None and not registry.is_newer(
        registration._replace(sequence=0), stored._replace(sequence=0)
    )


class Departures:
    """The departures in the log, as one replica knows them."""

    def __init__(
        self, name, local_replica, local_registry, submitter, now=None
    ):
        """Create the object.

        Args:
            name: name of this instance.
            local_replica: the local Replica.
            local_registry: the Registry to which departures are reported.
            submitter: the Submitter that sends commands to the leader.
            now: function that returns the time in seconds.
        """
        self._name = name
        self._replica = local_replica
        self._registry = local_registry
        self._submitter = submitter
        self._now = now or trio.current_time
        self._seen = {}

    @property
    def _rows(self):
        return self._replica.state.tables[states.DEPARTURES_TABLE]

    async def store(self, registration):
        """Return once a departure is on the disks of a majority.

        Args:
            registration: the wire.Registration; nothing is done for an
                upstream that does not leave.

        Raises:
            errors.UnreachableError: no majority stored it in time.
        """
        if registration is None or registration.state == registry.LIVE:
            return
        name = registration.name
        with trio.move_on_after(SUBMIT_SECONDS):
            while True:
                row = self._rows.get(name)
                if row and _covers(_read(row.cells), registration):
                    return
                outcome = await self._submitter.submit(
                    self._make_command(registration, row), SUBMIT_SECONDS
                )
                await self._replica.wait_until_applied(outcome.index)
        raise errors.UnreachableError(
            f"the departure of {name} was not stored within "
            f"{SUBMIT_SECONDS:g} s",
            step="store departure",
            peer=name,
        )

    def _make_command(self, registration, row):
        return commands.SetCells(
            f"{self._name}/{uuid.uuid4().hex}",
            states.DEPARTURES_TABLE,
            registration.name,
            row.version if row else 0,
            registration._asdict(),
            time.time(),
        )

    async def follow(self):
        """Report each departure in the log to the registry; never returns."""
        while True:
            applied = self._replica.applied
            for name, row in self._rows.items():
                version, _ = self._seen.get(name, (0, 0.0))
                if row.version != version:
                    self._seen[name] = (row.version, self._now())
                    self._registry.record_departure(_read(row.cells))
            for name in self._seen.keys() - self._rows.keys():
                del self._seen[name]
            await applied.wait()

    async def evict_expired(self):
        """Remove old departures from the log while this replica leads.

        Runs until cancelled.
        """
        while True:
            await trio.sleep(EVICTION_INTERVAL_SECONDS)
            for name, (version, seen_at) in list(self._seen.items()):
                if self._replica.role != "leader":
                    break
                if self._now() - seen_at > registry.TOMBSTONE_SECONDS:
                    await self._remove(name, version)

    async def _remove(self, name, version):
        command = commands.RemoveRow(
            f"{self._name}/{uuid.uuid4().hex}",
            states.DEPARTURES_TABLE,
            name,
            version,
            time.time(),
        )
        reply = await self._replica.submit(command)
        logs.log("debug", f"removal is {reply.code}", step="evict", peer=name)
