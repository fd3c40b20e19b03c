"""Decoding of JSON that comes from outside the fleet."""

import re
import typing

import msgspec

# The decoder and the encoder recurse; their limit depends on the caller's
# stack, so that what one instance reads another could not.
MAX_DEPTH = 128
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"?', re.DOTALL)
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


class DecodeError(ValueError):
    """The text is no JSON of the wanted type, or can't be read in full."""


def decode(data, type=typing.Any):
    """Return the value of a JSON text.

    Args:
        data: the text, as bytes or str.
        type: the type of the value, as msgspec takes it.

    Raises:
        DecodeError: the text is not valid, not of the type, has a number
            that is too large, or is nested deeper than MAX_DEPTH.
    """
    try:
        if isinstance(data, str):
            data = data.encode()
        if data.count(b"[") + data.count(b"{") > MAX_DEPTH:
            _check_depth(data)
        return msgspec.json.decode(data, type=type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise DecodeError(str(error)) from error


def _check_depth(data):
    """Raise DecodeError if the brackets outside strings nest too deeply."""
    depth = 0
    for byte in _STRING.sub(b"", data).translate(None, _NOT_BRACKETS):
        depth += 1 if byte in b"[{" else -1
        if depth > MAX_DEPTH:
            raise DecodeError(f"nested deeper than {MAX_DEPTH} levels")
