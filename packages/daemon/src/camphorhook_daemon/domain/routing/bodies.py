"""Reads bodies of upstreams' answers with bounded memory and time.

An upstream in trouble may send bytes until the connection is closed.
"""

import contextlib

import trio

from camphorhook_daemon.ports import upstreams as ports

# An instance of 300 MB holds bodies of hundreds of requests at once.
MAX_BUFFERED_BYTES = 256 * 1024
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_SECONDS = 0.2  # longer than a small body takes within a region


async def read_start(answer, most=MAX_BUFFERED_BYTES):
    """Return (the body, True), or (its first bytes, False) if it is large.

    Args:
        answer: answer of an upstream, with `read_chunk`.
        most: bytes of a body that is returned whole; a large one is
            returned up to the part that exceeds them.

    Raises:
        ports.AttemptError: the body is incomplete.
    """
    pieces = []
    size = 0
    while size <= most:
        piece = await answer.read_chunk()
        if not piece:
            return b"".join(pieces), True
        pieces.append(piece)
        size += len(piece)
    return b"".join(pieces), False


async def discard(answer):
    """Read a small body to its end, so that its connection can be reused.

    What is left of another body is not read; its connection is then closed.
    """
    size = 0
    with (
        trio.move_on_after(DISCARD_SECONDS),
        contextlib.suppress(ports.AttemptError),
    ):
        while size <= MAX_DISCARDED_BYTES:
            piece = await answer.read_chunk()
            if not piece:
                return
            size += len(piece)
