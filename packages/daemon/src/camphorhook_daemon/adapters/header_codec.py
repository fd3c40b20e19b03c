"""Converts HTTP headers between text and the bytes that h11 uses."""


def decode_headers(pairs):
    """Return (name, value) pairs of bytes as pairs of text.

    Latin-1 maps every byte to one character, so any header value can be
    forwarded unchanged.
    """
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in pairs
    ]


def encode_headers(pairs):
    """Return (name, value) pairs of text as bytes.

    h11 encodes text as ASCII, which other characters would make fail.
    """
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in pairs
    ]
