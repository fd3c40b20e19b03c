"""Parsing of numbers and addresses in untrusted text."""

import socket

MAX_DIGITS = 18  # fits in 64 bits; no valid value is longer
MAX_PORT = 65535


def parse_unsigned(text):
    """Return the unsigned integer in a text, or None if it holds none.

    Accepts up to 18 ASCII digits and surrounding white space. `str.isdigit`
    also accepts characters that `int` rejects, such as a superscript two,
    and `int` rejects texts with thousands of digits.
    """
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def parse_number(text, most):
    """Return the number from 0 to `most` in a text, or None."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= most else None


def parse_endpoint(text):
    """Return the IPv4 address and the port from 1 in a text, or None."""
    address, _, digits = text.rpartition(":")
    port = parse_unsigned(digits)
    try:
        socket.inet_pton(socket.AF_INET, address)
    except (OSError, ValueError):
        return None
    return (address, port) if port and port <= MAX_PORT else None
