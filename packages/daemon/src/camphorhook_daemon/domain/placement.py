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
        same_key: requests for the same key that this instance runs on it.
        capacity: requests it can run at once.
    """

    name: str
    weight: float
    load: float
    same_key: int
    capacity: int


def _share_bound(total, candidate, weights, load_bound):
    """Return the bounded share of a total that a candidate may have."""
    share = (total + 1) * candidate.weight / weights
    return math.ceil(load_bound * share)


def _share_own(total, candidate, weights, load_bound, lot):
    """Return the part of a hot key that one instance may run on a candidate.

    Rounding up everywhere would add one request for each instance, and all
    of them on the key's first candidate; by lot the sum keeps the bound.

    Args:
        total: this instance's requests of the key.
        candidate: the Candidate.
        weights: sum of all candidates' weights.
        load_bound: multiple of the mean load.
        lot: number from 0 to 1 that belongs to instance and candidate.
    """
    share = (total + 1) * candidate.weight / weights
    return max(1, math.floor(load_bound * share + lot))


def order_candidates(key, candidates, load_bound, instance):
    """Return names of upstreams with room, from first to last choice.

    The bound holds twice: for the estimated load of the whole fleet, and
    for this instance's own requests of the same key. Reports lag, so while
    a key is hot all instances would follow the same late reports to the
    same upstream; each keeping the bound for its own requests keeps it for
    their sum.

    Args:
        key: the chat.
        candidates: upstreams that may take it.
        load_bound: multiple of the mean load, above 1.
        instance: name of the instance that asks.
    """
    by_name = {one.name: one for one in candidates}
    weights = sum(one.weight for one in candidates)
    load = sum(one.load for one in candidates)
    same_key = sum(one.same_key for one in candidates)
    chosen, rounded_down = [], []
    for name in hashing.rank(key, {n: c.weight for n, c in by_name.items()}):
        one = by_name[name]
        limit = _share_bound(load, one, weights, load_bound)
        if one.load >= min(limit, one.capacity):
            continue
        if one.same_key >= _share_bound(same_key, one, weights, load_bound):
            continue
        lot = hashing.find_fraction(f"{instance}/{key}", name)
        most = _share_own(same_key, one, weights, load_bound, lot)
        fits = one.same_key < most
        (chosen if fits else rounded_down).append(name)
    # Where the lots leave no room at all, rounding up still finds some.
    return chosen + rounded_down
