"""Reads what upstreams say of themselves."""

import msgspec

from camphorhook_common import errors
from camphorhook_common import numerals
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import registry

_STATES = {"ready": registry.LIVE, "draining": registry.LEAVING}
LARGEST_PORT = 65535


class _Body(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    sequence: int
    slots: int = 1
    cold_remaining_ms: float = 0
    born: int = msgspec.field(name="born", default=0)


class _End(msgspec.Struct, rename="pascal"):
    born: int = msgspec.field(name="born", default=0)


class RegistrationError(errors.CamphorhookError):
    """What was sent names no upstream; the message says why."""


def _refuse(text):
    return RegistrationError(text, step="read registration")


def read(name, body):
    """Return the wire.Registration that an upstream sent.

    Args:
        name: the upstream's id.
        body: the JSON body.

    Raises:
        RegistrationError: it is not one of an upstream.
    """
    try:
        one = msgspec.json.decode(body, type=_Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _refuse(str(error)) from error
    address, _, text = one.address.rpartition(":")
    port = numerals.read_whole(text)
    if not address or port is None or port > LARGEST_PORT:
        raise _refuse(f"{one.address!r} is no address with a port")
    if one.state not in _STATES:
        raise _refuse(f"unknown state {one.state!r}")
    return wire.Registration(
        name,
        one.service,
        one.zone,
        address,
        port,
        one.born,
        one.sequence,
        _STATES[one.state],
        one.slots,
        int(one.cold_remaining_ms),
    )


def read_end(body):
    """Return the incarnation that a farewell names; 0 if it names none."""
    try:
        return msgspec.json.decode(body, type=_End).born if body else 0
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _refuse(str(error)) from error
