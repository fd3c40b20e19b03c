"""Converts HTTP headers between text and the bytes that h11 uses."""

import binascii
import itertools
import re

LAST_LATIN_1 = "\xff"
OWN_PREFIX = "camphorhook-"  # of the names of headers that instances set
_WORD_START, _WORD_END = "=?utf-8?B?", "?="  # RFC 2047
# What h11 refuses in a value; recipients drop blanks at its ends.
_REFUSED = re.compile(r"[\0\n\v\f\r]|\A[ \t]|[ \t]\Z")

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


def read_sent(text):
    """Return how a text is read that a client sends in a header.

    What Latin-1 can't hold, clients send in UTF-8.
    """
    if max(text, default="") <= LAST_LATIN_1:
        return text
    return text.encode().decode("latin-1")


def can_hold(text):
    """Return whether a header's value can be a text as it is, in Latin-1."""
    return max(text, default="") <= LAST_LATIN_1 and not _REFUSED.search(text)


def encode_word(text, language=""):
    """Return any text as an encoded word, which a header's value can hold.

    It is the text's UTF-8 in base64 (RFC 2047), in one word of any length.

    Args:
        text: the text, without lone surrogates.
        language: language tag to add (RFC 2231, 5); empty for none.
    """
    start = _WORD_START
    if language:
        start = start.replace("?B?", f"*{language}?B?")
    data = binascii.b2a_base64(text.encode(), newline=False)
    return f"{start}{data.decode()}{_WORD_END}"


def encode_text(text):
    """Return a header's value that `decode_text` turns into a text.

    Args:
        text: the text, without lone surrogates.
    """
    is_word = text.startswith(_WORD_START)
    return text if can_hold(text) and not is_word else encode_word(text)


def decode_text(value):
    """Return the text of a value of `encode_text`, any other one unchanged."""
    if not (value.startswith(_WORD_START) and value.endswith(_WORD_END)):
        return value
    data = value[len(_WORD_START) : -len(_WORD_END)]
    try:
        return binascii.a2b_base64(data).decode()
    except ValueError:
        return value


def encode_distinctly(texts):
    """Return header values by text, different ones for different texts.

    A text that a header can hold is its own value. Any other one becomes an
    encoded word. If that is itself one of the texts, the word gets a language
    tag for private use: x-2, x-3, and so on.

    Args:
        texts: the texts, without lone surrogates; their order is of no
            consequence.
    """
    values = {text: text for text in texts if can_hold(text)}
    for text in set(texts) - values.keys():
        word = encode_word(text)
        numbers = itertools.count(2)
        while word in texts:
            word = encode_word(text, f"x-{next(numbers)}")
        values[text] = word
    return values
