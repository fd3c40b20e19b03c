"""Operators' orders for failure domains, none of which takes effect late."""

import time
import uuid

import trio

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_daemon.domain import state as states

# From the acceptance of the connection; callers go to another replica after
# a second without an answer.
TIMEOUT_SECONDS = 0.85
MAX_DELAY_SECONDS = 0.5  # from the acceptance to the complete order


class Orders:
    """Carries out orders that a replica receives."""

    def __init__(self, name, replica, submitter):
        """Create the object.

        Args:
            name: name of this instance.
            replica: the local Replica.
            submitter: the Submitter that sends commands to the leader.
        """
        self._name = name
        self._replica = replica
        self._submitter = submitter

    async def set_domain(self, caller, domain, state):
        """Take a failure domain out of service, or back.

        An order takes effect only over the state as it was when it arrived,
        so that none that comes late undoes one that was acknowledged since.

        Args:
            caller: the exchanges.Exchange of the order; its connection
                carries no other.
            domain: the failure domain.
            state: `out` or `in`.

        Raises:
            errors.UnreachableError: the order came late or is overtaken, its
                caller has left, or there was no outcome in time.
        """
        command = commands.SetCells(
            f"{self._name}/{uuid.uuid4().hex}",
            states.DOMAINS_TABLE,
            domain,
            # Read before anything is awaited.
            self._replica.state.get_version(states.DOMAINS_TABLE, domain),
            {"state": state},
            time.time(),
        )
        _check_age(caller)
        outcome = await self._submitter.submit(
            command,
            _measure_time_left(caller),
            lambda: (
                _measure_time_left(caller) > 0 and not caller.has_client_left()
            ),
        )
        if outcome.code != "done":
            raise errors.UnreachableError(
                f"another order came first: {outcome.detail}",
                step="set failure domain",
            )
        logs.log(
            "info",
            f"failure domain {domain} is {state}",
            operation=command.operation,
            step="set failure domain",
            inputs={"index": outcome.index, "code": outcome.code},
        )
        # Otherwise the caller's next order here would be overtaken.
        with trio.move_on_after(_measure_time_left(caller)):
            await self._replica.wait_until_applied(outcome.index)


def _check_age(caller):
    """Check that an order came with its connection.

    Raises:
        errors.UnreachableError: it was held back on its way, so that its
            caller has probably sent it to another replica.
    """
    age = caller.measure_age()
    if age > MAX_DELAY_SECONDS:
        raise errors.UnreachableError(
            f"the order came {age:.3f} s after its connection, over "
            f"{MAX_DELAY_SECONDS:g} s",
            step="set failure domain",
        )


def _measure_time_left(caller):
    """Return the seconds for which the caller of an order still waits."""
    return max(0.0, TIMEOUT_SECONDS - caller.measure_age())
