"""An instance's links with scripted probes, on a simulated clock."""

import types

import trio
from trio import testing

from camphorhook_daemon.domain.routing import links
from tests.harness import routers

UPSTREAMS = 6
FAILURE_INTERVAL_SECONDS = 0.3  # between two requests to an upstream


class LinkCheck:
    """Links that judge for some seconds at a time.

    Attributes:
        failing: number of upstreams that requests are sent to and fail.
        is_any_answering: the upstreams without requests answer probes.
        probed: names of the upstreams that were probed, in order.
        links: the links.Links, while they run.
        heard: numbers of the upstreams that another instance hears.
        steps: functions and seconds to wait, in order.
    """

    def __init__(self, failing, is_any_answering):
        self.failing = failing
        self.is_any_answering = is_any_answering
        self.heard = ()
        self.steps = []
        self.probed = []
        self.links = None
        self._upstreams = [
            routers.ScriptedUpstream(number).register()
            for number in range(1, UPSTREAMS + 1)
        ]

    def run(self):
        """Take all steps; return the links.Links."""
        return trio.run(
            self._run, clock=testing.MockClock(autojump_threshold=0)
        )

    def ask(self):
        """Ask the instance when it heard each upstream."""
        self.links.note_question([one.name for one in self._upstreams])

    async def _probe(self, upstream, seconds):
        number = self._upstreams.index(upstream)
        self.probed.append(upstream.name)
        if self.is_any_answering and number >= self.failing:
            return True
        await trio.sleep(seconds)
        return False

    async def _ask(self, names):
        heard = {self._upstreams[number].name for number in self.heard}
        now = trio.current_time()
        return [
            links.Report(False, {one: now for one in names if one in heard})
        ]

    async def _run(self):
        pool = types.SimpleNamespace(heard_at={}, close_idle=lambda: None)
        self.links = found = links.Links(
            pool,
            lambda: self._upstreams,
            self._probe,
            self._ask,
            trio.current_time,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(found.run)
            nursery.start_soon(self._fail, found)
            for step in self.steps:
                if callable(step):
                    step()
                else:
                    await trio.sleep(step)
            nursery.cancel_scope.cancel()
        return found

    async def _fail(self, found):
        while True:
            for upstream in self._upstreams[: self.failing]:
                found.record_failure(upstream.name, True)
            await trio.sleep(FAILURE_INTERVAL_SECONDS)
