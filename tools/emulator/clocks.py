"""Runs trio programs deterministically on a simulated clock."""

import random
from unittest import mock

import trio
from trio import testing


def run_simulated(seed, function, *arguments):
    """Run an async function on a simulated clock and return its result.

    The clock jumps to the next deadline as soon as all tasks wait. The order
    in which tasks are scheduled depends on the seed alone.

    Args:
        seed: of the scheduler's random order.
        function: the async function.
        *arguments: its arguments, given by place.
    """
    scheduler = trio._core._run
    with (
        mock.patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(scheduler, "_r", random.Random(seed)),
    ):
        clock = testing.MockClock(autojump_threshold=0)
        return trio.run(function, *arguments, clock=clock)
