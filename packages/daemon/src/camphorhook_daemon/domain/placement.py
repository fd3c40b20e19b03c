"""Orders upstreams by weighted rendezvous hashing with bounded load.

The bound follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
with Bounded Loads", 2016: a candidate takes at most a fixed multiple of its
share of the total load. The excess goes to the key's next choice, so that a
hot key spreads over the same upstreams on every instance.
"""

import math
import typing

from camphorhook_daemon.domain import hashing


class Candidate(typing.NamedTuple):
    """An upstream that is eligible for a request.

    Attributes:
        name: name of the upstream.
        weight: its share of keys, relative to other candidates.
        load: estimated requests in flight, from all instances.
        same_key: this instance's requests in flight for the same key.
        capacity: number of requests it can run at once.
    """

    name: str
    weight: float
    load: float
    same_key: int
    capacity: int


def _compute_bound(total, candidate, weights, load_bound):
    """Return how many requests of a total a candidate may have."""
    share = (total + 1) * candidate.weight / weights
    return math.ceil(load_bound * share)


def _compute_own_bound(total, candidate, weights, load_bound, offset):
    """Return how many requests of a key an instance may run on a candidate.

    Rounding up on every instance would add one request per instance, all of
    them on the key's first candidate. Stochastic rounding, with an offset
    that is hashed, keeps the sum over all instances within the bound.

    Args:
        total: this instance's requests for the key.
        candidate: the Candidate.
        weights: sum of all candidates' weights.
        load_bound: multiple of the mean load.
        offset: number between 0 and 1, fixed for an instance and candidate.
    """
    share = (total + 1) * candidate.weight / weights
    return max(1, math.floor(load_bound * share + offset))


def order_candidates(key, candidates, load_bound, instance):
    """Return names of upstreams with capacity, from first to last choice.

    The bound is applied twice: to the estimated load of the whole fleet,
    and to this instance's own requests for the same key. Reports are
    delayed, so while a key is hot all instances would follow the same
    outdated reports to the same upstream. As each instance keeps its own
    requests within the bound, their sum stays within it too.

    Args:
        key: key for placement, such as the chat.
        candidates: the Candidate of each eligible upstream.
        load_bound: multiple of the mean load, above 1.
        instance: name of the instance that places the request.
    """
    by_name = {candidate.name: candidate for candidate in candidates}
    weights = sum(candidate.weight for candidate in candidates)
    load = sum(candidate.load for candidate in candidates)
    same_key = sum(candidate.same_key for candidate in candidates)
    chosen, rounded_down = [], []
    for name in hashing.rank(key, {n: c.weight for n, c in by_name.items()}):
        candidate = by_name[name]
        limit = _compute_bound(load, candidate, weights, load_bound)
        if candidate.load >= min(limit, candidate.capacity):
            continue
        if candidate.same_key >= _compute_bound(
            same_key, candidate, weights, load_bound
        ):
            continue
        offset = hashing.hash_to_fraction(f"{instance}/{key}", name)
        own_bound = _compute_own_bound(
            same_key, candidate, weights, load_bound, offset
        )
        fits = candidate.same_key < own_bound
        (chosen if fits else rounded_down).append(name)
    # Rounding down may leave no upstream; rounding up still finds one.
    return chosen + rounded_down
