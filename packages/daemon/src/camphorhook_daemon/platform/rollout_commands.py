"""Reads commands for rollouts, and writes what is told of them."""

import msgspec

from camphorhook_common import jsontext


class _Command(msgspec.Struct, rename="pascal"):
    service: str
    target: str
    duration_s: float


def read(body):
    """Return the service, version and seconds of a command in JSON.

    Raises:
        jsontext.DecodeError: it is invalid.
    """
    return msgspec.structs.astuple(jsontext.decode(body, _Command))


def make_state(state, target):
    """Return the fields that tell the state of a rollout."""
    return {"State": state, "Target": target}
