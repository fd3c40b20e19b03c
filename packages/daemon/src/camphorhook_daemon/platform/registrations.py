"""Reads the registrations and deregistrations of upstreams."""

import socket
import typing

import msgspec

from camphorhook_common import errors
from camphorhook_common import numerals
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import registry

_STATES = {"ready": registry.LIVE, "draining": registry.LEAVING}
LARGEST_PORT = 65535
MOST_COLD_MS = 3_600_000  # an hour; a longer cold time is an error
# JSON numbers are exact up to this; larger ones would not fit into messages.
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_ColdMs = typing.Annotated[float, msgspec.Meta(le=MOST_COLD_MS)]


class _Body(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    sequence: _Count
    slots: _Count = 1
    cold_remaining_ms: _ColdMs = 0
    born: _Count = msgspec.field(name="born", default=0)


class _End(msgspec.Struct, rename="pascal"):
    born: _Count = msgspec.field(name="born", default=0)


class RegistrationError(errors.CamphorhookError):
    """The registration or deregistration is invalid; the message says why."""


def _refuse(text):
    return RegistrationError(text, step="read registration")


def read(name, body):
    """Return the wire.Registration that an upstream sent.

    Args:
        name: the upstream's name.
        body: the registration, in JSON.

    Raises:
        RegistrationError: the registration is invalid.
    """
    try:
        one = msgspec.json.decode(body, type=_Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _refuse(str(error)) from error
    address, port = _read_address(one.address)
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
        max(0, int(one.cold_remaining_ms)),
    )


def _read_address(text):
    """Return (IPv4 address, port)."""
    address, _, digits = text.rpartition(":")
    port = numerals.read_whole(digits)
    try:
        socket.inet_pton(socket.AF_INET, address)
    except (OSError, ValueError) as error:
        raise _refuse(f"{text!r} is no IPv4 address and port") from error
    if not port or port > LARGEST_PORT:
        raise _refuse(f"{text!r} has no port from 1 to {LARGEST_PORT}")
    return address, port


def read_end(body):
    """Return the incarnation that a deregistration names; 0 for none.

    Raises:
        RegistrationError: the body is neither empty nor valid.
    """
    try:
        return msgspec.json.decode(body, type=_End).born if body else 0
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _refuse(str(error)) from error
