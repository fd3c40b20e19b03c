"""Bounds the memory of upstreams' answers that are held together.

Load: upstreams in trouble that send bytes until the connection is closed, in
answers to many requests at a time. Each step takes constant time.
"""


class Exhausted(Exception):
    """There is no memory left for more of an answer."""


class AnswerMemory:
    """The memory that answers share beyond what is free for each.

    Attributes:
        free_bytes: what each answer may take besides, so that no ordinary
            one fails while others use up the memory.
    """

    def __init__(self, most_bytes, free_bytes):
        """Create a memory that nothing is held in.

        Args:
            most_bytes: what all answers may take beyond free_bytes each.
            free_bytes: see the attribute.
        """
        self.free_bytes = free_bytes
        self._left = most_bytes

    def open(self):
        """Return the HeldAnswer of an answer of which nothing is held yet.

        It must be closed once the answer is not held any more.
        """
        return HeldAnswer(self)

    def take(self, size):
        """Take bytes from what is left; a negative size gives them back.

        Raises:
            Exhausted: fewer are left.
        """
        if size > self._left:
            raise Exhausted("the memory for large answers is used up")
        self._left -= size


class HeldAnswer:
    """The part of an answer that is held in memory."""

    def __init__(self, memory):
        self._memory = memory
        self._size = 0
        self._shared = 0

    def add(self, size):
        """Count more bytes of the answer.

        Raises:
            Exhausted: there is no memory for them.
        """
        shared = max(0, self._size + size - self._memory.free_bytes)
        self._memory.take(shared - self._shared)
        self._size += size
        self._shared = shared

    def close(self):
        """Count nothing of the answer any more."""
        self._memory.take(-self._shared)
        self._size = self._shared = 0
