"""Instances that share places, on a simulated clock."""

import trio

from camphorhook_common import errors
from camphorhook_common import wire
from camphorhook_daemon.adapters import metrics
from camphorhook_daemon.domain.routing import places
from camphorhook_daemon.domain.routing import pressure
from tests.harness import routers

SERVICE = "plain"
PRIORITY = 0


class Holder:
    """An instance that grants places, and sends requests of its own.

    Attributes:
        places: its places.Places.
        is_silent: it answers no message.
        is_ordered: its questions tell accounts and target times.
        is_old: it is of a build that does not read such questions.
        delay_seconds: time that a message takes.
        dropped: number of messages that it could not read.
        counts: its metrics.
    """

    def __init__(self, name, holders):
        self.name = name
        self.is_silent = False
        self.is_ordered = False
        self.is_old = False
        self.delay_seconds = 0.0
        self.dropped = 0
        self.counts = metrics.Metrics()
        self._holders = holders
        self.places = places.Places(
            name,
            self,
            pressure.Pressure(trio.current_time),
            lambda upstream: 0,
            self,
            trio.current_time,
            lambda service: self.is_ordered,
            self.counts,
        )

    def refresh(self):
        """Note which instances came and went."""

    def retain(self, _services):
        """Forget the holders of all other services."""

    def find(self, _service, _failure_domain):
        """Return the names of the holders."""
        return list(self._holders)

    def find_position(self, _service, _failure_domain):
        """Return (position, number) of the holders."""
        return list(self._holders).index(self.name), len(self._holders)

    async def call(self, peer, message, timeout):
        """Send a message to a holder."""
        other = self._holders[peer]
        with trio.move_on_after(timeout):
            if self.delay_seconds:
                await trio.sleep(self.delay_seconds)
            if other.is_silent:
                await trio.sleep_forever()
            if other.is_old and isinstance(message, wire.AcquireOrderedPlace):
                other.dropped += 1
                await trio.sleep_forever()
            if hasattr(message, "candidates"):
                return await other.places.grant(message)
            return other.places.handle_release(message)
        raise errors.UnreachableError("no reply", step="call", peer=peer)

    def record_brittle(self):
        """Record that the upstreams are brittle."""
        self.places.pressure.record_brittle(SERVICE)

    async def acquire(self, upstreams, objective, left):
        """Ask for a place for a request; return the Place or NoPlace."""
        return await self.places.acquire(
            SERVICE, upstreams, PRIORITY, objective, left
        )

    async def send(self, upstreams, run_seconds, objective, left):
        """Send a request if it gets a place; return the Place or NoPlace."""
        found = await self.acquire(upstreams, objective, left)
        if isinstance(found, places.Place):
            await trio.sleep(run_seconds)
            self.places.release(SERVICE, found)
        return found


def make_holders(count):
    """Return Holder by name of instances that know each other."""
    holders = {}
    for number in range(count):
        name = f"instance-{number}"
        holders[name] = Holder(name, holders)
    return holders


async def find_granter(holders, upstreams):
    """Return the name of a holder that grants a place now."""
    some = next(iter(holders.values()))
    found = await some.send(upstreams, 0.0, 1.0, 1.0)
    return found.holder


def make_upstreams(count, capacity):
    """Return wire.Registrations of upstreams with a number of places."""
    return [
        routers.ScriptedUpstream(number)
        .register()
        ._replace(capacity=capacity, service=SERVICE)
        for number in range(count)
    ]
