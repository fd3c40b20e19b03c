"""Reads the registrations and deregistrations of upstreams."""

import typing

import msgspec

from camphorhook_common import errors
from camphorhook_common import jsontext
from camphorhook_common import numerals
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import registry

_STATES = {"ready": registry.LIVE, "draining": registry.LEAVING}
MAX_QUOTED = 80  # characters of an invalid value in an error
MAX_COLD_MS = 3_600_000  # an hour; a longer cold time is an error
# JSON numbers are exact up to this; larger ones would not fit into messages.
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_ColdMs = typing.Annotated[float, msgspec.Meta(le=MAX_COLD_MS)]


class _Registration(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    sequence: _Count
    version: str = ""
    slots: _Count = 1
    cold_remaining_ms: _ColdMs = 0
    born: _Count = msgspec.field(name="born", default=0)


class _Deregistration(msgspec.Struct, rename="pascal"):
    born: _Count = msgspec.field(name="born", default=0)


class RegistrationError(errors.CamphorhookError):
    """The registration or deregistration is invalid; the message says why."""


def _make_error(text):
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
        registration = jsontext.decode(body, _Registration)
    except jsontext.DecodeError as error:
        raise _make_error(str(error)) from error
    endpoint = numerals.parse_endpoint(registration.address)
    if endpoint is None:
        address = registration.address[:MAX_QUOTED]
        raise _make_error(f"{address!r} is no IPv4 address and port")
    if registration.state not in _STATES:
        raise _make_error(f"unknown state {registration.state[:MAX_QUOTED]!r}")
    found = wire.Registration(
        name,
        registration.service,
        registration.zone,
        *endpoint,
        registration.born,
        registration.sequence,
        _STATES[registration.state],
        registration.slots,
        max(0, int(registration.cold_remaining_ms)),
        registration.version,
    )
    fault = registry.find_fault(found)
    if fault:
        raise _make_error(fault)
    return found


def read_deregistration(body):
    """Return the incarnation that a deregistration names; 0 for none.

    Raises:
        RegistrationError: the body is neither empty nor valid.
    """
    try:
        return jsontext.decode(body, _Deregistration).born if body else 0
    except jsontext.DecodeError as error:
        raise _make_error(str(error)) from error
