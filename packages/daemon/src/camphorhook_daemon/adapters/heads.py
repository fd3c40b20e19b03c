"""Headers of messages as text, and as bytes for h11."""


def decode_headers(pairs):
    """Return pairs of text for pairs of bytes.

    Every byte stands for one character, so that whatever a peer sent can
    be passed on as it came.
    """
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in pairs
    ]


def encode_headers(pairs):
    """Return pairs of bytes for pairs of text, as h11 takes ASCII only."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in pairs
    ]
