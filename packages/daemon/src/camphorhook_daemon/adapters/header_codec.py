"""Converts HTTP headers between text and the bytes that h11 uses."""

# Headers of one connection (RFC 9110, 7.6.1) and of the body's framing.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def list_hop_by_hop(headers):
    """Return the names of the headers that concern one connection only.

    These include the names that Connection headers list.

    Args:
        headers: (name, value) pairs; names are in lower case.
    """
    options = set(_HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name == "connection":
            options.update(word.strip().lower() for word in value.split(","))
    return options


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
