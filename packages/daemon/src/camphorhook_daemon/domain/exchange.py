"""Passing on upstreams, usages and suspects among instances.

One task for each neighbour. Changes of state go at once; loads go by turns,
one neighbour for each turn, and the turns slow down as messages grow so
that the exchange keeps to its part of the control budget.
"""

import trio

from camphorhook_common import errors
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing

MS = 0.001
NEIGHBOURS = 8
BYTES_PER_SECOND = 700
URGENT_GAP_SECONDS = 0.02
CALL_SECONDS = 1.0
PUSH_SECONDS = 0.25
MEET_SECONDS = 5.0
MESSAGE_OVERHEAD_BYTES = 200


def choose_neighbours(settings):
    """Return names of the instances to exchange with.

    All of them in a small fleet. In a larger one, most from the own
    failure domain and a few from others, chosen by hash.
    """
    names = {peer.name: 1.0 for peer in settings.peers}
    if len(names) <= NEIGHBOURS:
        return sorted(names)
    near = {
        peer.name: 1.0
        for peer in settings.peers
        if peer.failure_domain == settings.failure_domain
    }
    far = {name: 1.0 for name in names if name not in near}
    chosen = hashing.rank(settings.name, near)[: NEIGHBOURS - 3]
    rest = NEIGHBOURS - len(chosen)
    return sorted(chosen + hashing.rank(settings.name, far)[:rest])


class _Cursor:
    """How far a neighbour was told."""

    def __init__(self):
        self.upstreams = 0
        self.suspects = 0
        self.incarnation = 0
        self.turn = trio.Event()

    def meet(self, incarnation):
        """Start over with a neighbour that has started anew."""
        if incarnation == self.incarnation:
            return False
        self.incarnation = incarnation
        self.upstreams = 0
        self.suspects = 0
        self.turn.set()
        return True


class Exchanger:
    """Exchanges what instances know."""

    def __init__(
        self, settings, transport, directory, suspects, limits, clock
    ):
        self._incarnation = clock.stamp()
        self._settings = settings
        self._transport = transport
        self._directory = directory
        self._suspects = suspects
        self._limits = limits
        self._cursors = {
            name: _Cursor() for name in choose_neighbours(settings)
        }
        self._last_size = 0
        self._started_at = trio.current_time()
        self._has_met = False
        self.stopping_peers = set()
        self.is_stopping = False

    def has_met(self):
        """Tell whether a neighbour told this instance all it knows.

        After a while it counts as met all the same, since there may be no
        neighbour to be reached.
        """
        waited = trio.current_time() - self._started_at
        return self._has_met or waited > MEET_SECONDS

    async def run(self):
        """Exchange with all neighbours until cancelled."""
        async with trio.open_nursery() as nursery:
            for name, cursor in self._cursors.items():
                nursery.start_soon(self._serve_neighbour, name, cursor)
                nursery.start_soon(self._watch_urgent, cursor)
            nursery.start_soon(self._give_turns)

    async def _give_turns(self):
        """Let one neighbour at a time have the loads."""
        while True:
            for cursor in list(self._cursors.values()):
                least = self._settings.timing.exchange_ms * MS
                pause = max(least, self._last_size / BYTES_PER_SECOND)
                await trio.sleep(pause)
                cursor.turn.set()
            if not self._cursors:
                await trio.sleep_forever()

    async def _watch_urgent(self, cursor):
        """Give a neighbour a turn at once when states changed."""
        while True:
            first = self._directory.urgent
            second = self._suspects.state_changed
            async with trio.open_nursery() as nursery:
                for event in (first, second):
                    nursery.start_soon(_wait_and_cancel, event, nursery)
            cursor.turn.set()

    async def _serve_neighbour(self, name, cursor):
        cursor.turn.set()
        while True:
            await cursor.turn.wait()
            await trio.sleep(URGENT_GAP_SECONDS)
            cursor.turn = trio.Event()
            await self._exchange_with(name, cursor)

    async def _exchange_with(self, name, cursor):
        upstreams, packed, upstream_cursor = self._directory.collect_changes(
            name, cursor.upstreams
        )
        suspects, suspect_cursor = self._suspects.collect_changes(
            cursor.suspects
        )
        usages = self._limits.collect_usages()
        message = wire.Exchange(
            self._settings.name,
            self._incarnation,
            self.has_met() and not cursor.upstreams,
            upstreams,
            packed,
            usages,
            suspects,
            self.is_stopping,
        )
        met = cursor.incarnation
        _, body = wire.encode(message)
        self._last_size = len(body) + MESSAGE_OVERHEAD_BYTES
        try:
            reply = await self._transport.call(name, message, CALL_SECONDS)
        except errors.UnreachableError:
            return
        if cursor.meet(reply.incarnation) or met != cursor.incarnation:
            return
        cursor.upstreams = upstream_cursor
        cursor.suspects = suspect_cursor

    async def push_now(self):
        """Tell all neighbours at once; wait for them, but not for long.

        Used when the next request must find the others informed.
        """
        with trio.move_on_after(PUSH_SECONDS):
            async with trio.open_nursery() as nursery:
                for name, cursor in self._cursors.items():
                    nursery.start_soon(self._exchange_with, name, cursor)

    def receive(self, message):
        """Answer an Exchange."""
        cursor = self._cursors.get(message.sender)
        if cursor is not None:
            cursor.meet(message.incarnation)
        for record in message.upstreams:
            self._directory.merge(record, message.sender)
        self._directory.merge_loads(message.loads, message.sender)
        for usage in message.usages:
            self._limits.merge(usage)
        for suspect in message.suspects:
            self._suspects.merge(suspect)
        if message.whole:
            self._has_met = True
            self._directory.note_met()
        if message.stopping:
            self.stopping_peers.add(message.sender)
        else:
            self.stopping_peers.discard(message.sender)
        return wire.ExchangeReply(self._incarnation)


async def _wait_and_cancel(event, nursery):
    await event.wait()
    nursery.cancel_scope.cancel()
