"""The configuration in force on this instance, updated by a watch.

The index of the configuration never decreases. After a start, an instance
accepts its first state only from a replica whose leader has confirmed that
it is current, so that a restart can't bring back an older configuration.
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

SECONDS_PER_MS = 0.001
FRESH_SECONDS = 5.0
CALL_SLACK_SECONDS = 1.5
RETRY_SECONDS = 0.15
MIN_AVOID_SECONDS = 2.0  # longer than an election takes
AVOID_FACTOR = 30.0  # times the failed watch, during which no update arrives
_DEFAULTS = {
    table: types.MappingProxyType(tables.default_row(table))
    for table in tables.TABLES
}


class Configuration:
    """The tables in force, and when they were last known to be current.

    Attributes:
        index: log index of the state in force; -1 before the first one.
        watched_index: index that the next changes must follow; -1 if the
            next reply must hold the whole state.
        leader: name of the last known leader of the log; empty if unknown.
        replicas: names of the replicas that a replica reported last.
        changed: event that is set, and replaced by a new one, after rows
            changed.
        confirmed_at: seconds on the clock of `now`; every change accepted
            before this time is in force here.
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
        """Return the seconds since this state was known to be current."""
        return self._now() - self.confirmed_at

    def get_document(self):
        """Return (version, raw document) of the document in force, or None."""
        return self._document

    def apply_reply(self, reply, confirmed_at=float("-inf")):
        """Apply a WatchReply; return whether the index advanced.

        A reply with a lower index than the one in force changes no row. A
        document delta that can't be applied makes the next watch ask for
        the whole state.

        Args:
            reply: the WatchReply.
            confirmed_at: seconds on the clock of `now` at which the watch
                was sent, if it asked for a confirmed state.
        """
        if reply.leader:
            self.leader = reply.leader
        if reply.replicas:
            self.replicas = reply.replicas
        if reply.index < self.index:
            return False
        try:
            self._apply_document(reply.changes)
        except errors.ProtocolError as error:
            logs.log("warning", error.format(), step="adopt document")
            self.watched_index = -1
            return False
        if reply.age_ms >= 0:
            fresh_at = trio.current_time() - reply.age_ms * SECONDS_PER_MS
            self._fresh_at = max(self._fresh_at, fresh_at)
        advanced = reply.index > self.index
        if reply.is_full:
            self._tables = {table: {} for table in tables.TABLES}
        for change in reply.changes:
            self._apply_change(change)
        self.index = self.watched_index = reply.index
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if reply.changes or reply.is_full:
            self.changed.set()
            self.changed = trio.Event()
        return advanced

    async def wait_for_change(self, index):
        """Return once the change at an index, and all before, are in force."""
        while self.index < index:
            await self.changed.wait()

    def _apply_document(self, changes):
        """Apply the latest routing document among the changes, if any.

        Raises:
            errors.ProtocolError: it can't be unpacked, or is a delta to
                another document.
        """
        place = (states.DOCUMENTS_TABLE, states.ROUTING_DOCUMENT_ROW)
        cells = [
            change.cells
            for change in changes
            if (change.table, change.row) == place and change.cells
        ]
        if cells:
            self._document = documents.read_cells(cells[-1], self._document)

    def _apply_change(self, change):
        rows = self._tables.setdefault(change.table, {})
        if change.cells is None:
            rows.pop(change.row, None)
        else:
            rows[change.row] = (change.version, change.cells)

    def is_fresh(self):
        """Return whether the replica was recently in contact with a leader.

        Recently means less than FRESH_SECONDS ago.
        """
        return trio.current_time() - self._fresh_at < FRESH_SECONDS

    def get_row(self, table, row):
        """Return a row's cells, or None if there is no such row."""
        stored = self._tables.get(table, {}).get(row)
        return stored[1] if stored else None

    def get_or_default(self, table, row):
        """Return a row's cells, or the table's defaults without the row."""
        return self.get_row(table, row) or _DEFAULTS[table]

    def list_rows(self, table):
        """Return (version, cells) by row name for a table."""
        return dict(self._tables.get(table, {}))

    def is_domain_out(self, failure_domain):
        """Return whether operators have taken a failure domain out."""
        row = self.get_or_default("failure_domains", failure_domain)
        return row["state"] == "out"


class WatchServer:
    """Answers watches on a replica.

    Concurrent requests for a confirmed state share one round trip to the
    leader: it answers every request that arrived before it began.
    """

    def __init__(self, replica, transport, now=trio.current_time):
        self._replica = replica
        self._transport = transport
        self._now = now
        self._is_closed = False
        self._confirmation_lock = trio.Lock()
        self._round_started_at = float("-inf")
        self._confirmed_index = -1

    def close(self):
        """Answer all watches at once, so that watchers change the replica.

        Otherwise they would wait for a replica that has stopped until their
        calls time out.
        """
        self._is_closed = True
        self._replica.notify_applied()

    async def answer(self, request):
        """Return the WatchReply to a Watch.

        Waits for a change, for up to the request's wait_ms. The reply names
        no contact with a leader after `close`.

        Raises:
            errors.UnreachableError: the request asks for a confirmed state,
                and no leader confirmed one in time; or the replica's disk
                is full.
        """
        state = self._replica.state
        self._check_room()
        if request.confirm and not await self.wait_until_current():
            raise errors.UnreachableError(
                "no leader confirmed that the state is current", step="watch"
            )
        with trio.move_on_after(request.wait_ms * SECONDS_PER_MS):
            while not (self._is_closed or self._has_changes(request.index)):
                await self._replica.applied.wait()
                self._check_room()
        whole, changes = state.list_changes(request.index)
        if state.index < request.index:
            whole, changes = False, []
        if not whole:
            changes = _replace_document_with_delta(
                changes, state, request.index
            )
        age = self._replica.measure_contact_age()
        if self._is_closed:
            age = None
        age_ms = -1 if age is None else int(age / SECONDS_PER_MS)
        return wire.WatchReply(
            state.index,
            whole,
            changes,
            age_ms,
            self._replica.leader,
            self._replica.list_members(),
        )

    def _check_room(self):
        """Raise UnreachableError if changes can't be stored here."""
        if self._replica.lacks_room:
            raise errors.UnreachableError(
                "the replica's disk is full", step="watch"
            )

    def _has_changes(self, index):
        whole, changes = self._replica.state.list_changes(index)
        return bool(whole or changes)

    async def wait_until_current(self):
        """Wait until the state holds every change acknowledged so far.

        Returns:
            False if no leader confirmed it, or if this replica did not
            reach the confirmed index within 1 s.
        """
        asked_at = self._now()
        async with self._confirmation_lock:
            if self._round_started_at < asked_at:
                started_at = self._now()
                index = await self._fetch_confirmed_index()
                self._round_started_at, self._confirmed_index = (
                    started_at,
                    index,
                )
            index = self._confirmed_index
        if index < 0:
            return False
        with trio.move_on_after(1.0):
            await self._replica.wait_until_applied(index)
        return self._replica.state.index >= index

    async def _fetch_confirmed_index(self):
        """Return the index that the leader confirms, or -1 without one."""
        index = await self._replica.confirm_index()
        leader = self._replica.leader
        if index >= 0 or not leader or leader == self._replica.name:
            return index
        try:
            request = wire.ConfirmIndex("")
            reply = await self._transport.call(leader, request, 1.0)
        except errors.UnreachableError as error:
            logs.log("debug", error.format(), step="confirm", peer=leader)
            return -1
        return reply.index


def _replace_document_with_delta(changes, state, index):
    """Return changes with the routing document replaced by a delta.

    Only the latest document is kept. It stays whole if there is no delta
    from the reader's document.

    Args:
        changes: the wire.Changes after an index.
        state: the State.
        index: the index that the reader holds.
    """
    found = [one for one in changes if one.table == states.DOCUMENTS_TABLE]
    if not found:
        return changes
    cells = state.documents.make_delta_cells(index) or found[-1].cells
    rest = [one for one in changes if one.table != states.DOCUMENTS_TABLE]
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
            now: the configuration's clock. If given, every watch asks for a
                confirmed state, so that its age is known.
        """
        self._now = now
        self._settings = settings
        self._configuration = configuration
        self._transport = transport
        self._recorder = recorder
        self._failures = {}

    def choose_replica(self, now):
        """Return the name of the replica to watch.

        Prefers this instance, then replicas of the own failure domain, then
        the others, and avoids replicas that failed recently. Each instance
        orders replicas of equal preference by a hash of its own, so that
        watchers spread evenly. If all replicas are avoided, the one that
        failed the longest ago is chosen, whatever its time of avoidance:
        that time grows with the duration of the failed watch, which is long
        also if this instance itself was suspended.

        Args:
            now: seconds.
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
        """Watch until cancelled, and change the replica after a failure."""
        while True:
            asked_at = trio.current_time()
            replica = self.choose_replica(asked_at)
            try:
                failed = not await self._watch_once(replica)
            except errors.UnreachableError:
                failed = True
                await trio.sleep(RETRY_SECONDS)
            if failed:
                self.record_failure(replica, asked_at, trio.current_time())
            else:
                self._failures.pop(replica, None)

    def record_failure(self, replica, asked_at, now):
        """Avoid a replica for a while after a failed watch.

        Args:
            replica: its name.
            asked_at: seconds, when the watch began.
            now: seconds.
        """
        avoid = MIN_AVOID_SECONDS
        # Before the first state, a failed watch delays no update, and the
        # preferred replica may be about to start as well.
        if self._configuration.index >= 0:
            avoid = max(avoid, AVOID_FACTOR * (now - asked_at))
        self._failures[replica] = (now, now + avoid)

    async def _watch_once(self, replica):
        """Watch once; return whether the replica has contact with a leader.

        Raises:
            errors.UnreachableError: the replica did not answer in time, or
                could not confirm its state.
        """
        configuration = self._configuration
        wait = self._settings.timing.watch_ms
        first = configuration.watched_index < 0
        confirm = first or self._now is not None
        request = wire.Watch(
            configuration.watched_index, 0 if first else wait, confirm
        )
        timeout = wait * SECONDS_PER_MS + CALL_SLACK_SECONDS
        sent_at = self._now() if self._now else float("-inf")
        reply = await self._transport.call(replica, request, timeout)
        if configuration.apply_reply(reply, sent_at) and reply.changes:
            detail = f"index {configuration.index}"
            self._recorder.record("configuration.in_force", detail=detail)
        age = reply.age_ms * SECONDS_PER_MS
        return reply.age_ms >= 0 and age < FRESH_SECONDS


class Submitter:
    """Submits commands to the log's leader, on whichever replica it is."""

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

    async def submit(self, command, timeout, is_wanted=lambda: True):
        """Submit a command and return its Outcome.

        The command must be idempotent: it is sent again, within the
        timeout, if no reply arrives.

        Args:
            command: one of the types in `commands`.
            timeout: seconds.
            is_wanted: function that returns whether anyone still waits for
                the outcome; asked before each time the command is sent.

        Raises:
            errors.UnreachableError: no outcome arrived in time, or it is no
                longer wanted; the command may still be committed.
        """
        kind, data = commands.encode(command)
        message = wire.Submit(kind, data)
        candidates = [self._configuration.leader or self._replicas[0]]
        with trio.move_on_after(timeout):
            while True:
                for replica in candidates:
                    if not is_wanted():
                        raise errors.UnreachableError(
                            "nobody waits for the outcome any more",
                            step="submit",
                        )
                    outcome = await self._submit_to(
                        replica, message, timeout / 2
                    )
                    if outcome is not None:
                        return outcome
                known = self._configuration.leader
                others = [name for name in self._replicas if name != known]
                candidates = ([known] if known else []) + others
                await trio.sleep(RETRY_SECONDS / 3)
        raise errors.UnreachableError(
            "no quorum of replicas answered in time", step="submit"
        )

    async def _submit_to(self, replica, message, timeout):
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
        """Return the Outcome that the leader holds for an idempotency key.

        Args:
            account: the client account.
            key: the idempotency key.
            timeout: seconds.

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
            "no leader answered in time", step="read claim"
        )
