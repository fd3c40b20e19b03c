"""Hashes of what requests may have in common when they crash upstreams."""

import xxhash

MAX_PARTS = 16  # of one prompt


def hash_request(account, method, target, body):
    """Return the digest of a request, the first of its traits.

    Args:
        account: name of the client account.
        method: HTTP method.
        target: path and query.
        body: the complete body.
    """
    head = f"{account}\0{method}\0{target}\0".encode()
    return xxhash.xxh3_64_intdigest(head + body)


def hash_parts(parts):
    """Return the traits of a prompt's shared parts, given their ids.

    Of a long prompt the first and the last parts count.
    """
    if len(parts) > MAX_PARTS:
        parts = (*parts[: MAX_PARTS // 2], *parts[-MAX_PARTS // 2 :])
    return tuple(
        xxhash.xxh3_64_intdigest(b"part\0" + part.encode()) for part in parts
    )
