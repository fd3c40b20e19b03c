"""Operators' commands for rollouts, none of which takes effect late."""

import math
import time
import typing

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_daemon.domain import orders
from camphorhook_daemon.domain import rollouts
from camphorhook_daemon.domain.routing import announced_versions
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain import state as states

# Callers repeat a command for at most 5 s; it may have ended meanwhile.
REPEAT_SECONDS = 6.0
MAX_QUOTED = 80  # characters of an unknown name in an error
MAX_DURATION_SECONDS = 7 * 86400.0  # longer ones are mistakes


class CommandError(errors.CamphorhookError):
    """The command is invalid; the message says why."""


def _make_error(text):
    return CommandError(text, step="read rollout")


class Command(typing.NamedTuple):
    """A command to roll out a version.

    Attributes:
        service: name of the service.
        target: version to move to.
        duration: seconds until the deadline.
    """

    service: str
    target: str
    duration: float

    def check(self):
        """Check what can be told without the configuration.

        Raises:
            CommandError: the command is invalid.
        """
        target = self.target
        if (
            not target
            or len(target) > registry.MAX_TEXT_CHARACTERS
            or not target.isprintable()
            or target != target.strip()
            or max(target) > registry.LAST_LATIN_1
        ):
            raise _make_error("the target is no version that upstreams have")
        if not (
            math.isfinite(self.duration)
            and 0 < self.duration <= MAX_DURATION_SECONDS
        ):
            raise _make_error(
                f"the duration of {self.duration:g} s is not over 0 s and up "
                f"to {MAX_DURATION_SECONDS:g} s"
            )


def is_repeated(command, rollout, now):
    """Return whether a command is the one that began a rollout.

    Args:
        command: the Command.
        rollout: the service's last Rollout, or None.
        now: wall clock, in seconds since the epoch.
    """
    if rollout is None:
        return False
    if (rollout.target, rollout.duration) != command[1:]:
        return False
    is_recent = abs(now - rollout.began_at) < REPEAT_SECONDS
    return rollout.state == rollouts.RUNNING or is_recent


class RolloutOrders:
    """Carries out commands that a replica receives."""

    def __init__(self, settings, replica, domain_orders, confirm):
        """Create the object.

        Args:
            settings: settings with `exposure_share`.
            replica: the local Replica.
            domain_orders: the orders.Orders, which submits changes.
            confirm: async function that returns whether a leader confirmed
                the local state.
        """
        self._settings = settings
        self._replica = replica
        self._orders = domain_orders
        self._confirm = confirm

    def is_enabled(self):
        """Return whether rollouts are in use here."""
        return self._settings.exposure_share is not None

    def _find(self, service):
        """Return the Rollout of a service in the local state, or None."""
        rows = self._replica.state.tables[states.ROLLOUTS_TABLE]
        row = rows.get(service)
        return rollouts.read_cells(row.cells) if row else None

    async def read(self, service):
        """Return the Rollout of a service, or None if it has none.

        Raises:
            errors.UnreachableError: no leader confirmed the state.
        """
        await self._check_current()
        return self._find(service)

    async def begin(self, caller, command, read_services):
        """Begin a rollout.

        It takes effect only over the row as it was when the command arrived.

        Args:
            caller: the listeners.Exchange of the command; its connection
                carries no other.
            command: the Command.
            read_services: async function that returns the names of the
                configured services, as a leader confirms them.

        Returns:
            Whether the rollout has begun, by this command or an earlier copy
            of it; False if another one is running.

        Raises:
            CommandError: the service is unknown.
            errors.UnreachableError: the command came late or is overtaken,
                its caller has left, or there was no outcome in time.
        """
        # Read before anything is awaited.
        version = self._replica.state.get_version(
            states.ROLLOUTS_TABLE, command.service
        )
        orders.check_age(caller)
        with trio.move_on_after(orders.measure_time_left(caller)):
            # A read that is confirmed covers the rows as well.
            if command.service not in await read_services():
                raise _make_error(
                    f"service {command.service[:MAX_QUOTED]!r} is unknown"
                )
            return await self._begin(caller, command, version)
        raise errors.UnreachableError(
            "no leader confirmed the state in time", step="begin rollout"
        )

    async def _begin(self, caller, command, version):
        last = self._find(command.service)
        now = time.time()
        if is_repeated(command, last, now):
            return True
        if last is not None and last.state == rollouts.RUNNING:
            return False
        rows = self._replica.state.tables[states.VERSIONS_TABLE]
        found = rollouts.begin(
            last,
            announced_versions.list_versions(
                {name: row.cells for name, row in rows.items()},
                command.service,
            ),
            command.target,
            command.duration,
            self._settings.exposure_share,
            now,
        )
        outcome = await self._orders.submit(
            caller,
            (states.ROLLOUTS_TABLE, command.service),
            version,
            rollouts.make_cells(found),
            "begin rollout",
        )
        logs.log(
            "info",
            f"rollout of {command.service} to {command.target!r} begins",
            step="begin rollout",
            inputs={
                "index": outcome.index,
                "duration_s": command.duration,
                "share": found.share,
                "before": found.before,
                "denied": found.denied,
            },
        )
        return True

    async def _check_current(self):
        if not await self._confirm():
            raise errors.UnreachableError(
                "no leader confirms the state: "
                f"{self._replica.describe_outage()}",
                step="read rollout",
            )
