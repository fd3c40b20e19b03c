"""Weighted rendezvous hashing.

The algorithm follows Thaler and Ravishankar, 1998; the weights follow
Schindelhauer and Schomaker, 2005. Every instance ranks candidates in the
same order without shared state, and when a candidate leaves, only its own
keys move.
"""

import collections
import math

import xxhash

_RANGE = 2.0**64


def score(key, name, weight=1.0):
    """Return the score of a candidate for a key; the highest score wins.

    Args:
        key: text that identifies what is placed.
        name: name of the candidate.
        weight: share of keys, relative to other candidates.
    """
    return -weight / math.log(hash_to_fraction(key, name))


def hash_to_fraction(key, name):
    """Return a uniformly distributed hash between 0 and 1."""
    number = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
    return (number + 0.5) / _RANGE


def rank(key, weights):
    """Return candidates from first to last choice for a key.

    Args:
        key: text that identifies what is placed.
        weights: weight by candidate; those with a weight of 0 are left out.
    """
    scored = [
        (score(key, name, weight), name)
        for name, weight in weights.items()
        if weight > 0
    ]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def rank_evenly(key, names):
    """Return candidates of the same weight as `rank` does, in less time.

    The score grows with the hash, so that its logarithm is not needed.

    Args:
        key: text that identifies what is placed.
        names: the candidates' names.
    """
    digest = xxhash.xxh3_64_intdigest
    hashed = [(digest(f"{key}\0{name}".encode()), name) for name in names]
    hashed.sort(reverse=True)
    return [name for _, name in hashed]


def choose_spread(key, instances, count):
    """Return the names of some instances in different failure domains.

    As far as possible, no failure domain has two before each has one; within
    that, they are in rendezvous order: when instances come or go, few keys
    get others.

    Args:
        key: text that identifies what is placed.
        instances: failure domain by name.
        count: how many to return.
    """
    places = collections.Counter()
    order = []
    for position, name in enumerate(rank(key, dict.fromkeys(instances, 1.0))):
        domain = instances[name]
        order.append((places[domain], position, name))
        places[domain] += 1
    return [name for _, _, name in sorted(order)[:count]]
