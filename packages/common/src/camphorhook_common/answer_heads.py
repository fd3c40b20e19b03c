"""Checks of the heads of HTTP/1.1 answers that h11 does not make.

h11 joins a line that begins with a blank to the line before, although it may
be a field of its own that says where the body ends. It also reads other major
versions, and control bytes in the reason phrase.
"""

import re

_STATUS_LINE = re.compile(
    rb"HTTP/1\.[0-9] [0-9]{3}(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n"
)
_CONTINUATION = re.compile(rb"\n[ \t]")
_SHOWN_BYTES = 80  # of a status line in an error


class HeadError(ValueError):
    """The head of an answer is not valid HTTP/1.1."""


def check_head(head):
    """Raise an error if the head of an answer is not valid.

    Args:
        head: its bytes, from the status line to the empty line.

    Raises:
        HeadError: the status line is invalid, or a line begins with a blank.
    """
    if not _STATUS_LINE.match(head):
        line = head.partition(b"\n")[0][:_SHOWN_BYTES]
        raise HeadError(f"illegal status line: {line!r}")
    if _CONTINUATION.search(head):
        raise HeadError("a line of the head begins with a blank")
