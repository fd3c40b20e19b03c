"""Whole numbers in text that comes from outside."""

MOST_DIGITS = 18  # fits 64 bits; longer numbers mean nothing here


def read_whole(text):
    """Return the whole number of up to 18 ASCII digits, or None.

    `str.isdigit` also takes characters that `int` refuses, such as a
    superscript two, and `int` refuses thousands of digits.
    """
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > MOST_DIGITS:
        return None
    return int(text)
