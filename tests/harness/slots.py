"""Slots: numbers that keep ports of things that run side by side apart."""

import functools
import queue


def lend(function, numbers):
    """Return a function that runs with a slot of its own.

    Args:
        function: takes the slot as its last argument.
        numbers: the slots; a call waits while all are lent.
    """
    free = queue.Queue()
    for number in numbers:
        free.put(number)

    @functools.wraps(function)
    def run(*arguments):
        slot = free.get()
        try:
            return function(*arguments, slot)
        finally:
            free.put(slot)

    return run
