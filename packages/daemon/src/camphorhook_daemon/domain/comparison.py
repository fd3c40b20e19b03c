"""Keeps what instances know equal after losses and restarts.

News about crashes and limits of upstreams is pushed as it comes. An instance
that has just started, or that was cut off, has missed some of it, so each one
also compares its records with those of another instance from time to time.
"""

import itertools

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_daemon.domain import hashing

PARTNERS = 3  # instances to compare with; bounds the connections of each
COMPARISON_SECONDS = 3.0  # between two comparisons
# The longest interval while comparisons transfer records that are known
# already; each doubles it. Full records of two instances may stay different.
MAX_COMPARISON_SECONDS = 30.0
RETRY_SECONDS = 0.1  # after a partner did not answer
REPLY_TIMEOUT_SECONDS = 0.4


def choose_partners(name, instances):
    """Return the names of the instances that one compares its records with.

    Args:
        name: name of the instance.
        instances: names of the instances alive.
    """
    others = {one: 1.0 for one in instances if one != name}
    return hashing.rank(name, others)[:PARTNERS]


async def follow(name, records, map_instances, transport):
    """Compare records with other instances until cancelled.

    Args:
        name: name of this instance.
        records: its records, with `make_comparison` and `merge`, as
            crash_evidence.CrashEvidence has them.
        map_instances: function that returns the failure domain by name of
            the instances alive.
        transport: a Transport.
    """
    wait = COMPARISON_SECONDS
    for turn in itertools.count():
        partners = choose_partners(name, map_instances())
        is_useless = None
        if partners:
            partner = partners[turn % len(partners)]
            is_useless = await _compare(name, records, partner, transport)
        if is_useless is None:
            await trio.sleep(RETRY_SECONDS)
            continue
        longer = min(2 * wait, MAX_COMPARISON_SECONDS)
        wait = longer if is_useless else COMPARISON_SECONDS
        await trio.sleep(wait)


async def _compare(name, records, other, transport):
    """Merge what another instance knows.

    Returns:
        Whether the reply held nothing new; None if there was none.
    """
    request = records.make_comparison(name)
    try:
        reply = await transport.call(other, request, REPLY_TIMEOUT_SECONDS)
    except errors.UnreachableError as error:
        logs.log("info", error.format(), step="compare records")
        return None
    return not reply.is_empty() and not records.merge(reply, False)
