"""Slots: numbers that select disjoint ports for concurrent test runs."""

import functools
import queue


def allocate_slots(function, numbers):
    """Return a function that is called with a slot not in use elsewhere.

    Args:
        function: function that takes the slot as its last argument.
        numbers: available slots; a call blocks while all are in use.
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
