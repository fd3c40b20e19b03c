"""Runs trio programs on a simulated clock, the same way each time."""

import random
from unittest import mock

import trio
from trio import testing


def run_simulated(seed, function, *arguments):
    """Run an async function with a clock that jumps; return its result.

    Tasks are scheduled in an order that follows from the seed alone.
    """
    scheduler = trio._core._run
    with (
        mock.patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(scheduler, "_r", random.Random(seed)),
    ):
        clock = testing.MockClock(autojump_threshold=0)
        return trio.run(function, *arguments, clock=clock)
