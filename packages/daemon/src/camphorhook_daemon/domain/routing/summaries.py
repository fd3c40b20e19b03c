"""The packed form of a summary: upstreams' loads and outcomes in 10 bytes.

An upstream is named by 32 bits of a hash of its name. A summary goes to every
member of a group several times a second, so its size bounds the link.
"""

import functools
import struct
import typing

import xxhash

_ENTRY = struct.Struct(">IHHBB")
UNREAD_STEP = 64  # tokens; read in a millisecond
_MOST_SHORT, _MOST_BYTE = 0xFFFF, 0xFF


class Sum(typing.NamedTuple):
    """What several instances have on an upstream, and had of it.

    Attributes:
        in_flight: requests.
        unread_tokens: tokens of prompts that it probably has yet to read.
        good: requests that went well since the last summary.
        bad: requests that failed since the last summary.
    """

    in_flight: int = 0
    unread_tokens: int = 0
    good: int = 0
    bad: int = 0


@functools.lru_cache(maxsize=4096)
def find_fingerprint(name):
    """Return the 32 bits that name an upstream."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF


def pack(sums):
    """Return Sums by name as bytes; those of nothing are left out."""
    return b"".join(
        _ENTRY.pack(
            find_fingerprint(name),
            min(one.in_flight, _MOST_SHORT),
            min(max(0, one.unread_tokens) // UNREAD_STEP, _MOST_SHORT),
            min(one.good, _MOST_BYTE),
            min(one.bad, _MOST_BYTE),
        )
        for name, one in sums.items()
        if any(one)
    )


def unpack(packed, names):
    """Return Sums by name; upstreams that aren't known are left out.

    Args:
        packed: bytes of `pack`.
        names: names of the known upstreams.

    Raises:
        struct.error: it has no whole number of entries.
    """
    known = {find_fingerprint(name): name for name in names}
    found = {}
    for fingerprint, in_flight, unread, good, bad in _ENTRY.iter_unpack(
        packed
    ):
        name = known.get(fingerprint)
        if name is not None:
            found[name] = Sum(in_flight, unread * UNREAD_STEP, good, bad)
    return found
