"""Bearer keys, their hashes, and digests of request bodies."""

import hashlib
import secrets

HASH_PREFIX = "sha256:"
KEY_PREFIX = "chk-"
KEY_BYTES = 24


def make_key():
    """Return a new random bearer key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key):
    """Return the hash under which a bearer key is stored.

    A fast hash without salt is sufficient, as keys carry 192 random bits.
    """
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def digest_body(body):
    """Return a digest of a request body, as 32 hexadecimal characters."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()
