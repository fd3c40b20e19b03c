"""The configuration in force on this instance, kept fresh by a watch.

An instance moves only to higher indexes. After a start it takes its first
state only once the leader has confirmed that it is current, so that a
restart can't take it back to an older one.
"""

import types

import trio

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import tables
from camphorhook_common import wire
from camphorhook_daemon.domain import documents
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain import state as states

MS = 0.001
FRESH_SECONDS = 5.0
CALL_SLACK_SECONDS = 1.5
RETRY_SECONDS = 0.15
AVOID_SECONDS = 2.0  # for a replica that failed at once; above an election
AVOID_RATIO = 30.0  # times what its failure took, as nothing is heard then
_DEFAULTS = {
    table: types.MappingProxyType(tables.default_row(table))
    for table in tables.TABLES
}


class Configuration:
    """The tables in force and how fresh they are.

    Attributes:
        index: index in force; -1 before the first state.
        watched_index: where changes must lead on from; -1 when only the
            whole state will do.
        leader: name of the log's leader as far as known.
        replicas: names of the replicas, as a replica told.
        confirmed_at: seconds on the clock of `now`; whatever was accepted
            before is in force here.
    """

    def __init__(self, now=trio.current_time):
        self.index = -1
        self.watched_index = -1
        self.leader = ""
        self.replicas = ()
        self.changed = trio.Event()
        self._tables = {table: {} for table in tables.TABLES}
        self._document = None
        self._fresh_at = float("-inf")
        self._now = now
        self.confirmed_at = float("-inf")

    def measure_confirmed_age(self):
        """Return seconds since the state in force was surely the newest."""
        return self._now() - self.confirmed_at

    def get_document(self):
        """Return (version, raw document) in force, or None."""
        return self._document

    def adopt(self, reply, confirmed_at=float("-inf")):
        """Take in a WatchReply; return whether anything changed.

        Replies older than what is in force are ignored.

        Args:
            reply: the WatchReply.
            confirmed_at: when a watch that asked for a confirmed state was
                sent, on the clock of `now`.
        """
        if reply.leader:
            self.leader = reply.leader
        if reply.replicas:
            self.replicas = reply.replicas
        if reply.index < self.index:
            return False
        try:
            self._adopt_document(reply.changes)
        except errors.ProtocolError as error:
            logs.log("warning", error.format(), step="adopt document")
            self.watched_index = -1
            return False
        if reply.age_ms >= 0:
            fresh_at = trio.current_time() - reply.age_ms * MS
            self._fresh_at = max(self._fresh_at, fresh_at)
        moved = reply.index > self.index
        if reply.whole:
            self._tables = {table: {} for table in tables.TABLES}
        for change in reply.changes:
            self._put(change)
        self.index = self.watched_index = reply.index
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if reply.changes or reply.whole:
            self.changed.set()
            self.changed = trio.Event()
        return moved

    def _adopt_document(self, changes):
        """Take up the newest routing document among changes, if any."""
        place = (states.DOCUMENTS, states.ROUTING_DOCUMENT)
        cells = [
            change.cells
            for change in changes
            if (change.table, change.row) == place and change.cells
        ]
        if cells:
            self._document = documents.read_cells(cells[-1], self._document)

    def _put(self, change):
        rows = self._tables.setdefault(change.table, {})
        if change.cells is None:
            rows.pop(change.row, None)
        else:
            rows[change.row] = (change.version, change.cells)

    def is_fresh(self):
        """Tell whether a leader confirmed this state a moment ago."""
        return trio.current_time() - self._fresh_at < FRESH_SECONDS

    def get_row(self, table, row):
        """Return a row's cells, or None."""
        stored = self._tables.get(table, {}).get(row)
        return stored[1] if stored else None

    def get_or_default(self, table, row):
        """Return a row's cells, or the defaults when there is no row."""
        return self.get_row(table, row) or _DEFAULTS[table]

    def list_rows(self, table):
        """Return {row: (version, cells)} of a table."""
        return dict(self._tables.get(table, {}))

    def is_domain_out(self, failure_domain):
        """Tell whether operators took the failure domain out."""
        row = self.get_or_default("failure_domains", failure_domain)
        return row["state"] == "out"


class WatchServer:
    """Answers watches on a replica.

    Requests for a confirmed state share rounds to the leader: a round
    answers every request that came before it began.
    """

    def __init__(self, replica, transport, now=trio.current_time):
        self._replica = replica
        self._transport = transport
        self._now = now
        self._round = trio.Lock()
        self._began_at = float("-inf")
        self._confirmed_index = -1

    async def answer(self, request):
        """Answer a Watch, waiting for a change up to its wait_ms."""
        state = self._replica.state
        if request.confirm and not await self.wait_until_current():
            raise errors.UnreachableError(
                "no leader confirms the state", step="watch"
            )
        with trio.move_on_after(request.wait_ms * MS):
            while not self._has_news(request.index):
                await self._replica.applied.wait()
        whole, changes = state.list_changes(request.index)
        if state.index < request.index:
            whole, changes = False, []
        if not whole:
            changes = _shorten(changes, state, request.index)
        age = self._replica.measure_age()
        age_ms = -1 if age is None else int(age / MS)
        return wire.WatchReply(
            state.index,
            whole,
            changes,
            age_ms,
            self._replica.leader,
            self._replica.list_members(),
        )

    def _has_news(self, index):
        whole, changes = self._replica.state.list_changes(index)
        return bool(whole or changes)

    async def wait_until_current(self):
        """Wait until the state holds all that was acknowledged before.

        Returns:
            False when no leader confirms it in time.
        """
        asked_at = self._now()
        async with self._round:
            if self._began_at < asked_at:
                began_at = self._now()
                index = await self._ask_index()
                self._began_at, self._confirmed_index = began_at, index
            index = self._confirmed_index
        if index < 0:
            return False
        with trio.move_on_after(1.0):
            while self._replica.state.index < index:
                await self._replica.applied.wait()
        return self._replica.state.index >= index

    async def _ask_index(self):
        """Return the leader's confirmed index, or -1."""
        index = await self._replica.confirm_index()
        leader = self._replica.leader
        if index >= 0 or not leader or leader == self._replica.name:
            return index
        try:
            question = wire.ConfirmIndex("")
            reply = await self._transport.call(leader, question, 1.0)
        except errors.UnreachableError as error:
            logs.log("debug", error.format(), step="confirm", peer=leader)
            return -1
        return reply.index


def _shorten(changes, state, index):
    """Return changes with the routing document as what changed in it.

    Args:
        changes: wire.Changes after an index.
        state: the State.
        index: that the reader knows.
    """
    found = [one for one in changes if one.table == states.DOCUMENTS]
    if not found:
        return changes
    cells = state.documents.make_cells(index) or found[-1].cells
    rest = [one for one in changes if one.table != states.DOCUMENTS]
    return [*rest, found[-1]._replace(cells=cells)]


class Watcher:
    """Keeps the Configuration up to date from a replica."""

    def __init__(self, settings, configuration, transport, recorder, now=None):
        """Create a watcher.

        Args:
            settings: the instance's Settings.
            configuration: the Configuration to keep up to date.
            transport: a Transport.
            recorder: the Recorder of the time line.
            now: the configuration's clock; given, every watch asks for a
                confirmed state, so that its age is known.
        """
        self._now = now
        self._settings = settings
        self._configuration = configuration
        self._transport = transport
        self._recorder = recorder
        self._failures = {}

    def choose_replica(self, now):
        """Return this instance, a replica near by, or any other.

        Among others each instance has an order of its own, so that all
        replicas get about as many watchers. While all are avoided, the one
        whose failure is the longest ago comes next: how long a failure took
        says nothing of it where this instance itself stood still.
        """
        domains = {
            peer.name: peer.failure_domain for peer in self._settings.peers
        }
        own = self._settings.name

        def rank(name):
            place = 2
            if name == own:
                place = 0
            elif domains.get(name) == self._settings.failure_domain:
                place = 1
            failed_at, until = self._failures.get(name, (now, now))
            fraction = hashing.hash_to_fraction(own, name)
            if until > now:
                return 1, failed_at, fraction
            return 0, place, fraction

        known = self._settings.list_replicas()
        return min({*known, *self._configuration.replicas}, key=rank)

    async def run(self):
        """Watch until cancelled, changing replicas on failures."""
        while True:
            asked_at = trio.current_time()
            replica = self.choose_replica(asked_at)
            try:
                stale = not await self._watch_once(replica)
            except errors.UnreachableError:
                stale = True
                await trio.sleep(RETRY_SECONDS)
            if stale:
                self.note_failure(replica, asked_at, trio.current_time())
            else:
                self._failures.pop(replica, None)

    def note_failure(self, replica, asked_at, now):
        """Avoid a replica for a while, after a watch in vain.

        Args:
            replica: its name.
            asked_at: seconds, when the watch began.
            now: seconds.
        """
        avoid = AVOID_SECONDS
        # At the start nothing is missed by asking in vain, and the replica
        # near by may be about to start too.
        if self._configuration.index >= 0:
            avoid = max(avoid, AVOID_RATIO * (now - asked_at))
        self._failures[replica] = (now, now + avoid)

    async def _watch_once(self, replica):
        """Watch once; return whether the replica is in touch."""
        configuration = self._configuration
        wait = self._settings.timing.watch_ms
        first = configuration.watched_index < 0
        confirm = first or self._now is not None
        request = wire.Watch(
            configuration.watched_index, 0 if first else wait, confirm
        )
        timeout = wait * MS + CALL_SLACK_SECONDS
        sent_at = self._now() if self._now else float("-inf")
        reply = await self._transport.call(replica, request, timeout)
        if configuration.adopt(reply, sent_at) and reply.changes:
            detail = f"index {configuration.index}"
            self._recorder.record("configuration.in_force", detail=detail)
        age = reply.age_ms * MS
        return reply.age_ms >= 0 and age < FRESH_SECONDS


class Submitter:
    """Hands commands to the log's leader, wherever it is."""

    def __init__(self, settings, configuration, transport):
        self._settings = settings
        self._configuration = configuration
        self._transport = transport

    @property
    def _replicas(self):
        known = self._settings.list_replicas()
        more = [
            name for name in self._configuration.replicas if name not in known
        ]
        return known + more

    async def submit(self, command, timeout):
        """Commit a command and return its Outcome.

        The command must be idempotent: it is sent again after a lost
        reply, within the timeout.

        Raises:
            errors.UnreachableError: no quorum answered in time; the
                command may still be committed.
        """
        kind, data = commands.encode(command)
        message = wire.Submit(kind, data)
        candidates = [self._configuration.leader or self._replicas[0]]
        with trio.move_on_after(timeout):
            while True:
                for replica in candidates:
                    outcome = await self._try(replica, message, timeout / 2)
                    if outcome is not None:
                        return outcome
                known = self._configuration.leader
                others = [name for name in self._replicas if name != known]
                candidates = ([known] if known else []) + others
                await trio.sleep(RETRY_SECONDS / 3)
        raise errors.UnreachableError(
            "no quorum of replicas answered", step="submit"
        )

    async def _try(self, replica, message, timeout):
        try:
            reply = await self._transport.call(replica, message, timeout)
        except errors.UnreachableError:
            if self._configuration.leader == replica:
                self._configuration.leader = ""
            return None
        if reply.leader:
            self._configuration.leader = reply.leader
        return reply.outcome

    async def read_claim(self, account, key, timeout):
        """Return the Outcome that the leader knows for a key.

        Raises:
            errors.UnreachableError: no leader answered in time.
        """
        message = wire.ReadClaim(account, key)
        with trio.move_on_after(timeout):
            while True:
                for replica in self._replicas:
                    try:
                        outcome = await self._transport.call(
                            replica, message, timeout / 2
                        )
                    except errors.UnreachableError:
                        continue
                    if outcome.code != "not_leader":
                        return outcome
                await trio.sleep(RETRY_SECONDS)
        raise errors.UnreachableError(
            "no quorum of replicas answered", step="read claim"
        )
