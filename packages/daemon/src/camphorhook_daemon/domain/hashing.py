"""Weighted rendezvous hashing.

Source: Thaler and Ravishankar, 1998; weights after Schindelhauer and
Schomaker, 2005. Every instance ranks candidates the same way without any
shared state, and a candidate that leaves moves only its own keys.
"""

import math

import xxhash

_RANGE = 2.0**64


def score(key, name, weight=1.0):
    """Return the score of a candidate for a key; the highest wins.

    Args:
        key: what is placed, as text.
        name: the candidate.
        weight: share of keys, relative to other candidates.
    """
    return -weight / math.log(find_fraction(key, name))


def find_fraction(key, name):
    """Return a number between 0 and 1 that looks drawn by lot."""
    number = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
    return (number + 0.5) / _RANGE


def rank(key, weights):
    """Return candidates from first to last choice for a key.

    Args:
        key: what is placed, as text.
        weights: weight by candidate; weights of 0 are left out.
    """
    scored = [
        (score(key, name, weight), name)
        for name, weight in weights.items()
        if weight > 0
    ]
    scored.sort(reverse=True)
    return [name for _, name in scored]
