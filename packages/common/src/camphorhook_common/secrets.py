"""Bearer keys and their hashes, and digests of requests."""

import hashlib
import secrets

HASH_PREFIX = "sha256:"
KEY_PREFIX = "chk-"
KEY_BYTES = 24


def make_key():
    """Return a fresh random bearer key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key):
    """Return the hash under which a bearer key is kept.

    Keys carry 192 random bits, so a plain hash is enough.
    """
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def digest_body(body):
    """Return the digest that identifies a request body (32 characters)."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
