"""Decoding of JSON that comes from outside the fleet."""

import json
import re
import typing

import msgspec

# The decoder and the encoder recurse; their limit depends on the caller's
# stack, so that what one instance reads another could not.
MAX_DEPTH = 128
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"?', re.DOTALL)
_SURROGATE = re.compile("[\ud800-\udfff]")
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
    except msgspec.ValidationError as error:
        raise DecodeError(str(error)) from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        path = _find_lone_surrogate(data)
        where = f"; lone surrogate - at `{path}`" if path else ""
        raise DecodeError(f"{error}{where}") from error


def _find_lone_surrogate(data):
    """Return the path of a text that has no UTF-8, as msgspec writes it.

    It is empty if there is none, or the JSON can't be read for another reason.
    """
    try:
        found = [("$", json.loads(data))]
    except (ValueError, RecursionError):
        return ""
    while found:
        path, value = found.pop()
        if isinstance(value, str) and _SURROGATE.search(value):
            return path
        if isinstance(value, dict):
            found += [(f"{path}.{key}", one) for key, one in value.items()]
        elif isinstance(value, list):
            found += [(f"{path}[{n}]", one) for n, one in enumerate(value)]
    return ""


def _check_depth(data):
    """Raise DecodeError if the brackets outside strings nest too deeply."""
    depth = 0
    for byte in _STRING.sub(b"", data).translate(None, _NOT_BRACKETS):
        depth += 1 if byte in b"[{" else -1
        if depth > MAX_DEPTH:
            raise DecodeError(f"nested deeper than {MAX_DEPTH} levels")
