"""Exchange of upstream records, usages and crashes between instances.

Each neighbour has a task of its own. State changes are sent at once. Loads
are sent to one neighbour after the other, at intervals that grow with the
size of the messages, so that the exchange stays within its share of the
bandwidth for control traffic.
"""

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing

SECONDS_PER_MS = 0.001
MAX_NEIGHBOURS = 8
BYTES_PER_SECOND = 700
BATCH_DELAY_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 1.0
PUSH_TIMEOUT_SECONDS = 0.25
SYNC_TIMEOUT_SECONDS = 5.0
MESSAGE_OVERHEAD_BYTES = 200


def choose_neighbours(settings):
    """Return the names of the instances to exchange state with.

    These are all instances in a small fleet. In a larger one they are
    chosen by hash, most of them from the own failure domain and a few from
    others.
    """
    names = {peer.name: 1.0 for peer in settings.peers}
    if len(names) <= MAX_NEIGHBOURS:
        return sorted(names)
    near = {
        peer.name: 1.0
        for peer in settings.peers
        if peer.failure_domain == settings.failure_domain
    }
    far = {name: 1.0 for name in names if name not in near}
    chosen = hashing.rank(settings.name, near)[: MAX_NEIGHBOURS - 3]
    rest = MAX_NEIGHBOURS - len(chosen)
    return sorted(chosen + hashing.rank(settings.name, far)[:rest])


class _NeighbourCursor:
    """How much of the local state a neighbour has received.

    Attributes:
        upstreams: cursor of the last upstream records sent.
        crashes: cursor of the last news about crashes sent.
        incarnation: clock stamp of the neighbour's start; 0 if unknown.
        due: event that triggers the next exchange.
    """

    def __init__(self):
        self.upstreams = 0
        self.crashes = 0
        self.incarnation = 0
        self.due = trio.Event()

    def reset_if_restarted(self, incarnation):
        """Reset the cursors if the neighbour has restarted.

        Args:
            incarnation: clock stamp of the neighbour's start.

        Returns:
            Whether it has restarted, or is heard for the first time.
        """
        if incarnation == self.incarnation:
            return False
        self.incarnation = incarnation
        self.upstreams = 0
        self.crashes = 0
        self.due.set()
        return True


class Exchanger:
    """Exchanges this instance's state with its neighbours.

    Attributes:
        stopping_peers: names of the instances that are shutting down.
        is_stopping: this instance is shutting down.
    """

    def __init__(
        self, settings, transport, directory, evidence, limits, clock
    ):
        self._incarnation = clock.stamp()
        self._settings = settings
        self._transport = transport
        self._directory = directory
        self._evidence = evidence
        self._limits = limits
        self._cursors = {
            name: _NeighbourCursor() for name in choose_neighbours(settings)
        }
        self._last_size = 0
        self._started_at = trio.current_time()
        self._has_synced = False
        self.stopping_peers = set()
        self.is_stopping = False

    def has_synced(self):
        """Return whether a neighbour has sent this instance its whole state.

        Also True from SYNC_TIMEOUT_SECONDS after the start on, since there
        may be no neighbour that can be reached.
        """
        waited = trio.current_time() - self._started_at
        return self._has_synced or waited > SYNC_TIMEOUT_SECONDS

    async def run(self):
        """Exchange state with all neighbours until cancelled."""
        async with trio.open_nursery() as nursery:
            for name, cursor in self._cursors.items():
                nursery.start_soon(self._run_neighbour, name, cursor)
                nursery.start_soon(self._expedite_state_changes, cursor)
            nursery.start_soon(self._schedule_exchanges)

    async def _schedule_exchanges(self):
        """Trigger an exchange with one neighbour at a time, for the loads."""
        while True:
            for cursor in list(self._cursors.values()):
                min_pause = self._settings.timing.exchange_ms * SECONDS_PER_MS
                pause = max(min_pause, self._last_size / BYTES_PER_SECOND)
                await trio.sleep(pause)
                cursor.due.set()
            if not self._cursors:
                await trio.sleep_forever()

    async def _expedite_state_changes(self, cursor):
        """Trigger an exchange with a neighbour whenever a state changes."""
        while True:
            first = self._directory.state_changed
            second = self._evidence.state_changed
            third = self._limits.state_changed
            async with trio.open_nursery() as nursery:
                for event in (first, second, third):
                    nursery.start_soon(_wait_and_cancel, event, nursery)
            cursor.due.set()

    async def _run_neighbour(self, name, cursor):
        cursor.due.set()
        while True:
            await cursor.due.wait()
            await trio.sleep(BATCH_DELAY_SECONDS)
            cursor.due = trio.Event()
            await self._exchange_with(name, cursor)

    async def _exchange_with(self, name, cursor):
        upstreams, packed, upstream_cursor = self._directory.collect_changes(
            name, cursor.upstreams
        )
        usages = self._limits.collect_usages()
        message = wire.Exchange(
            self._settings.name,
            self._incarnation,
            self.has_synced() and not cursor.upstreams,
            [one.drop_version() for one in upstreams],
            packed,
            usages,
            [(one.name, one.incarnation, one.version) for one in upstreams],
            self.is_stopping,
        )
        known_incarnation = cursor.incarnation
        try:
            _, body = wire.encode(message)
            self._last_size = len(body) + MESSAGE_OVERHEAD_BYTES
            reply = await self._transport.call(
                name, message, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return
        except errors.ProtocolError as error:
            logs.log("error", error.format(), step="exchange", peer=name)
            return
        cursor.reset_if_restarted(reply.incarnation)
        if known_incarnation == cursor.incarnation:
            cursor.upstreams = upstream_cursor
        await self._send_crash_news(name, cursor)

    async def _send_crash_news(self, name, cursor):
        """Send news about crashes, which older builds refuse."""
        incarnation = cursor.incarnation
        news, news_cursor = self._evidence.collect_changes(
            self._settings.name, cursor.crashes
        )
        if news is not None:
            try:
                await self._transport.call(name, news, CALL_TIMEOUT_SECONDS)
            except errors.UnreachableError as error:
                logs.log("info", error.format(), step="send crash news")
                return
        if incarnation == cursor.incarnation:
            cursor.crashes = news_cursor

    async def push_now(self):
        """Exchange with all neighbours now; wait up to PUSH_TIMEOUT_SECONDS.

        Used if the other instances must know of a change before the next
        request reaches them.
        """
        with trio.move_on_after(PUSH_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for name, cursor in self._cursors.items():
                    nursery.start_soon(self._exchange_with, name, cursor)

    def receive(self, message):
        """Merge a received Exchange and return the ExchangeReply."""
        cursor = self._cursors.get(message.sender)
        if cursor is not None:
            cursor.reset_if_restarted(message.incarnation)
        versions = _read_versions(message.versions)
        for record in message.upstreams:
            version = versions.get((record.name, record.incarnation), "")
            self._directory.merge(
                record._replace(version=version), message.sender
            )
        self._directory.merge_loads(message.loads, message.sender)
        for usage in message.usages:
            self._limits.merge(usage)
        if message.is_full:
            self._has_synced = True
            self._directory.mark_synced()
        if message.stopping:
            self.stopping_peers.add(message.sender)
        else:
            self.stopping_peers.discard(message.sender)
        return wire.ExchangeReply(self._incarnation)


def _read_versions(entries):
    """Return version by (name, incarnation); leave out entries of old builds.

    Args:
        entries: the `versions` of a wire.Exchange.
    """
    return {
        (entry[0], entry[1]): entry[2]
        for entry in entries
        if [type(field) for field in entry] == [str, int, str]
    }


async def _wait_and_cancel(event, nursery):
    await event.wait()
    nursery.cancel_scope.cancel()
