"""Reads commands for rollouts, and writes what is told of them."""

import math
import typing
import urllib.parse

import msgspec

from camphorhook_common import errors
from camphorhook_common import jsontext
from camphorhook_daemon.domain import rollout_orders
from camphorhook_daemon.domain.routing import registry

MAX_DURATION_SECONDS = 7 * 86400.0  # longer ones are mistakes


class _Command(msgspec.Struct, rename="pascal"):
    service: str
    target: str
    duration_s: typing.Annotated[float, msgspec.Meta(gt=0)]


class CommandError(errors.CamphorhookError):
    """The command is invalid; the message says why."""


def _make_error(text):
    return CommandError(text, step="read rollout")


def read(body):
    """Return the rollout_orders.Command of a body in JSON.

    Raises:
        CommandError: it is invalid.
    """
    try:
        command = jsontext.decode(body, _Command)
    except jsontext.DecodeError as error:
        raise _make_error(str(error)) from error
    if not command.service:
        raise _make_error("the service is empty")
    target = command.target
    if (
        not target
        or len(target) > registry.MAX_TEXT_CHARACTERS
        or not target.isprintable()
        or target != target.strip()
        or max(target) > registry.LAST_LATIN_1
    ):
        raise _make_error("the target is no version that upstreams can have")
    duration = command.duration_s
    if not math.isfinite(duration) or duration > MAX_DURATION_SECONDS:
        raise _make_error(
            f"the duration of {duration:g} s is over "
            f"{MAX_DURATION_SECONDS:g} s"
        )
    return rollout_orders.Command(command.service, target, float(duration))


def check_service(command, services):
    """Check that the service of a command exists.

    Args:
        command: the rollout_orders.Command.
        services: names of the configured services.

    Raises:
        CommandError: it is unknown.
    """
    if command.service not in services:
        raise _make_error(f"service {command.service[:80]!r} is unknown")


def read_service(text):
    """Return the name of the service in a path."""
    return urllib.parse.unquote(text)


def make_state(rollout):
    """Return the fields that tell the state of a rollouts.Rollout."""
    return {"State": rollout.state, "Target": rollout.target}
