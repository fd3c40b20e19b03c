"""Where a request runs: weighted rendezvous hashing with bounded load.

Source for the bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent
Hashing with Bounded Loads", 2016: a candidate takes no more than a set
multiple of its share of the total load; what is over goes to the next
choice of the same key, so that a hot key spreads the same way everywhere.
"""

import math
import typing

from camphorhook_daemon.domain import hashing


class Candidate(typing.NamedTuple):
    """An upstream that may take the request.

    Attributes:
        name: the upstream.
        weight: its share of keys.
        load: estimated requests in flight.
        capacity: requests it can run at once.
    """

    name: str
    weight: float
    load: int
    capacity: int


def bound_load(candidate, candidates, load_bound):
    """Return the most requests in flight that a candidate may have.

    Args:
        candidate: one of the candidates.
        candidates: all upstreams among which the load is shared.
        load_bound: multiple of the mean, above 1.
    """
    total = sum(other.load for other in candidates) + 1
    weights = sum(other.weight for other in candidates)
    share = total * candidate.weight / weights
    return min(math.ceil(load_bound * share), candidate.capacity)


def order_candidates(key, candidates, load_bound):
    """Return names of upstreams with room, from first to last choice.

    Args:
        key: the chat.
        candidates: upstreams that may take it.
        load_bound: multiple of the mean load, above 1.
    """
    weights = {one.name: one.weight for one in candidates}
    by_name = {one.name: one for one in candidates}
    chosen = []
    for name in hashing.rank(key, weights):
        candidate = by_name[name]
        limit = bound_load(candidate, candidates, load_bound)
        if candidate.load < limit:
            chosen.append(name)
    return chosen
