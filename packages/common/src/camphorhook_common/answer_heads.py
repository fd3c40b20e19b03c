"""Checks of the heads of HTTP/1.1 answers that h11 does not make.

h11 unfolds lines that begin with white space (obsolete line folding), although
such a line may be a field of its own that says where the body ends. It also
reads other major versions, and control bytes in the reason phrase.
"""

import re

_STATUS_LINE = re.compile(
    rb"HTTP/1\.[0-9] [0-9]{3}(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n"
)
_INFORMATIONAL = re.compile(rb"HTTP/1\.[0-9] 1")
_FOLDED_LINE = re.compile(rb"\n[ \t]")
_END = re.compile(rb"\n\r?\n")
_MAX_END_BYTES = 3  # that _END matches
_SHOWN_BYTES = 80  # of a status line in an error


class HeadError(ValueError):
    """The head of an answer is not valid HTTP/1.1."""


def check_head(head):
    """Raise an error if the head of an answer is not valid.

    Args:
        head: its bytes, from the status line to the empty line.

    Raises:
        HeadError: the status line is invalid, or a line is folded.
    """
    if not _STATUS_LINE.match(head):
        line = head.partition(b"\n")[0].rstrip(b"\r")[:_SHOWN_BYTES]
        raise HeadError(f"illegal status line: {line!r}")
    if _FOLDED_LINE.search(head):
        raise HeadError("folded line in the head")


class HeadFinder:
    """Finds the heads in the bytes of a connection, and checks them.

    It is for clients of an HTTP library that shows no bytes of a head. What is
    held of an unfinished head is bounded by the library, which reads it too.
    """

    def __init__(self):
        self._head = None

    def expect_answer(self):
        """Treat the next bytes as the begin of an answer's head."""
        self._head = bytearray()

    def feed(self, data):
        """Check each head that ends within received bytes.

        Raises:
            HeadError: a head is not valid.
        """
        if self._head is None:
            return
        begin = max(0, len(self._head) - _MAX_END_BYTES + 1)
        self._head += data
        while end := _END.search(self._head, begin):
            head = bytes(self._head[: end.end()])
            check_head(head)
            if not _INFORMATIONAL.match(head):
                self._head = None
                return
            del self._head[: end.end()]
            begin = 0
