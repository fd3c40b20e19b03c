"""Request targets of HTTP."""

FIRST_VISIBLE, LAST_VISIBLE = 0x21, 0x7E  # of ASCII, without the blank


def encode_path(path):
    """Return any path, perhaps with a query, as a valid request target.

    All but visible ASCII is percent-encoded, in UTF-8, and a slash put before
    a path that begins with none.

    Args:
        path: text without lone surrogates.
    """
    target = "".join(
        chr(byte) if FIRST_VISIBLE <= byte <= LAST_VISIBLE else f"%{byte:02X}"
        for byte in path.encode()
    )
    return target if target.startswith("/") else f"/{target}"
