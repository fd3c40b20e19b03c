"""Packed form of a summary: 10 bytes of load and outcomes per upstream.

An upstream is identified by 32 bits of a hash of its name. A summary is sent
to every member of a group several times per second, so the format is compact
to limit the traffic.
"""

import functools
import struct
import typing

import xxhash

_ENTRY = struct.Struct(">IHHBB")
PREFILL_UNIT_TOKENS = 64  # tokens that an engine prefills in a millisecond
_MAX_UINT16, _MAX_UINT8 = 0xFFFF, 0xFF


class UpstreamTotals(typing.NamedTuple):
    """Load and outcomes of an upstream, summed over several instances.

    Attributes:
        in_flight: number of requests in flight.
        pending_prefill_tokens: prompt tokens probably not yet prefilled.
        successes: requests that succeeded since the last summary.
        failures: requests that failed since the last summary.
    """

    in_flight: int = 0
    pending_prefill_tokens: int = 0
    successes: int = 0
    failures: int = 0


@functools.lru_cache(maxsize=4096)
def compute_fingerprint(name):
    """Return the 32-bit hash that identifies an upstream."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF


def pack(sums):
    """Pack UpstreamTotals by name into bytes; leave out all-zero ones.

    Values outside the range of their field are moved to its end.
    """
    return b"".join(
        _ENTRY.pack(
            compute_fingerprint(name),
            _limit(one.in_flight, _MAX_UINT16),
            _limit(
                one.pending_prefill_tokens // PREFILL_UNIT_TOKENS, _MAX_UINT16
            ),
            _limit(one.successes, _MAX_UINT8),
            _limit(one.failures, _MAX_UINT8),
        )
        for name, one in sums.items()
        if any(one)
    )


def _limit(number, most):
    return max(0, min(number, most))


def unpack(packed, names):
    """Return UpstreamTotals by name; leave out unknown upstreams.

    Args:
        packed: bytes from `pack`.
        names: names of the known upstreams.

    Raises:
        struct.error: the length is not a multiple of an entry's.
    """
    known = {compute_fingerprint(name): name for name in names}
    found = {}
    for (
        fingerprint,
        in_flight,
        pending_tokens,
        successes,
        failures,
    ) in _ENTRY.iter_unpack(packed):
        name = known.get(fingerprint)
        if name is not None:
            found[name] = UpstreamTotals(
                in_flight,
                pending_tokens * PREFILL_UNIT_TOKENS,
                successes,
                failures,
            )
    return found
