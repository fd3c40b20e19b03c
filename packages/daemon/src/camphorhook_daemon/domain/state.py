"""The replicated state machine: configuration tables, claims, outcomes.

`State.apply` is deterministic: it reads no clock, and takes the time from
the commands.
"""

import collections
import functools
import heapq
import typing

import msgspec

from camphorhook_common import commands
from camphorhook_common import deltas
from camphorhook_common import logs
from camphorhook_common import tables
from camphorhook_common import wire
from camphorhook_daemon.domain import documents

MAX_KEPT_CHANGES = 4096
MAX_KEPT_OPERATIONS = 100000
OPERATION_RETENTION_SECONDS = 24 * 3600
ABANDONED_CLAIM_RETENTION_SECONDS = 3600.0
ANY_VERSION = -1
DOCUMENTS_TABLE = "documents"
DOMAINS_TABLE = "failure_domains"
DEPARTURES_TABLE = "upstream_departures"
VERSIONS_TABLE = "upstream_versions"
ROLLOUTS_TABLE = "rollouts"
# Only replicas read these; watchers are not told of changes.
_REPLICAS_TABLES = frozenset({DEPARTURES_TABLE})
ROUTING_DOCUMENT_ROW = "routing"


class StoredRow(typing.NamedTuple):
    """A row with its version, the log index of its last change."""

    version: int
    cells: tables.Row


class ClaimRecord(typing.NamedTuple):
    """A claimed request and, once settled, its outcome.

    Attributes:
        digest: of the request; empty if the claim was abandoned before it
            was applied.
        attempt: id of the attempt that holds the claim.
        instance: name of the instance that runs the attempt.
        state: running, finished, oversized, unknown or abandoned.
        overdue_at: seconds since the epoch after which the outcome of a
            running attempt is taken as unknown.
        expires_at: seconds since the epoch at which the claim is deleted.
        status: HTTP status of the answer; 0 without one.
        content_type: media type of the answer.
        body: body of the answer.
    """

    digest: str
    attempt: str
    instance: str
    state: str
    overdue_at: float
    expires_at: float
    status: int
    content_type: str
    body: bytes


class StoredOperation(typing.NamedTuple):
    """The outcome of an operator's change, and when it was applied.

    Attributes:
        outcome: the Outcome, returned again when the change is resent.
        at: seconds since the epoch.
    """

    outcome: commands.Outcome
    at: float


class _Snapshot(typing.NamedTuple):
    """The contents of a snapshot."""

    index: int
    time: float
    tables: dict[str, dict[str, StoredRow]]
    operations: dict[str, StoredOperation]
    claims: list[tuple[str, str, ClaimRecord]]


class State:
    """The state machine of the replicated log.

    Attributes:
        index: index of the last applied entry.
        time: latest time of any applied command, in seconds since the epoch.
        tables: StoredRow by row name, by table.
        operations: StoredOperation by operation id, oldest first.
        claims: ClaimRecord by (account, key).
        documents: the documents.DocumentHistory.
    """

    def __init__(self):
        self.index = 0
        self.time = 0.0
        self.tables = collections.defaultdict(dict)
        self.operations = collections.OrderedDict()
        self.claims = {}
        self.documents = documents.DocumentHistory()
        self._expiries = []
        self._changes = collections.deque(maxlen=MAX_KEPT_CHANGES)
        self._changes_complete_after = 0

    def apply(self, entry):
        """Apply a log entry and return its Outcome."""
        command = commands.decode(entry.kind, entry.data)
        self.index = entry.index
        self.time = max(self.time, command.at)
        self._expire_claims()
        return _apply_command(command, self)

    def _expire_claims(self):
        while self._expiries and self._expiries[0][0] <= self.time:
            _, account, key = heapq.heappop(self._expiries)
            record = self.claims.get((account, key))
            if record is not None and record.expires_at <= self.time:
                del self.claims[account, key]

    def put_claim(self, account, key, record):
        """Store a claim and schedule its expiry.

        Args:
            account: the client account.
            key: the idempotency key.
            record: the ClaimRecord.
        """
        self.claims[account, key] = record
        heapq.heappush(self._expiries, (record.expires_at, account, key))

    def get_version(self, table, row):
        """Return the version of a row; 0 if it does not exist."""
        stored = self.tables[table].get(row)
        return stored.version if stored else 0

    def put_row(self, table, row, cells):
        """Store or remove a row and return its new version.

        Args:
            table: name of the table.
            row: name of the row.
            cells: its cells; None removes the row.
        """
        if cells is None:
            self.tables[table].pop(row, None)
        else:
            self.tables[table][row] = StoredRow(self.index, cells)
        if table in _REPLICAS_TABLES:
            return self.index
        change = wire.Change(table, row, self.index, cells)
        if len(self._changes) == MAX_KEPT_CHANGES:
            self._changes_complete_after = self._changes[0].version
        self._changes.append(change)
        return self.index

    def store_outcome(self, operation, outcome):
        """Store an operation's outcome and delete the oldest ones.

        Outcomes are kept for OPERATION_RETENTION_SECONDS, and no more than
        MAX_KEPT_OPERATIONS of them.
        """
        self.operations[operation] = StoredOperation(outcome, self.time)
        while self.operations:
            oldest = next(iter(self.operations.values()))
            age = self.time - oldest.at
            if (
                len(self.operations) <= MAX_KEPT_OPERATIONS
                and age < OPERATION_RETENTION_SECONDS
            ):
                break
            self.operations.popitem(last=False)

    def list_changes(self, after):
        """Return (whole, changes) since an index.

        Args:
            after: the index; for -1, or one that the kept changes do not
                reach back to, the whole tables are returned.

        Returns:
            Whether the changes are the whole tables, and the wire.Changes
            in the order of their versions (of the tables if whole).
        """
        if after < self._changes_complete_after:
            return True, [
                wire.Change(table, name, row.version, row.cells)
                for table, rows in self.tables.items()
                if table not in _REPLICAS_TABLES
                for name, row in rows.items()
            ]
        newer = []
        for change in reversed(self._changes):
            if change.version <= after:
                break
            newer.append(change)
        newer.reverse()
        return False, newer

    def list_domains_out(self):
        """Return the failure domains that are out, sorted."""
        return sorted(
            name
            for name, row in self.tables[DOMAINS_TABLE].items()
            if row.cells.get("state") == "out"
        )

    def dump(self):
        """Return the state as the bytes of a snapshot."""
        claims = [
            (account, key, record)
            for (account, key), record in self.claims.items()
        ]
        snapshot = _Snapshot(
            self.index,
            self.time,
            dict(self.tables),
            dict(self.operations),
            claims,
        )
        return msgspec.msgpack.encode(snapshot)

    def load(self, data):
        """Replace the state by the bytes of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self.index = snapshot.index
        self.time = snapshot.time
        self.tables = collections.defaultdict(dict, snapshot.tables)
        self.operations = collections.OrderedDict(snapshot.operations)
        self.claims = {}
        self.documents = documents.DocumentHistory()
        row = self.tables[DOCUMENTS_TABLE].get(ROUTING_DOCUMENT_ROW)
        if row is not None:
            raw = deltas.unpack(row.cells["body"])
            self.documents.add(row.version, row.cells["version"], raw)
        self._expiries = []
        self._changes.clear()
        self._changes_complete_after = snapshot.index
        for account, key, record in snapshot.claims:
            self.put_claim(account, key, record)


@functools.singledispatch
def _apply_command(command, state):
    raise TypeError(type(command))


def _change_row(command, state, cells):
    """Apply a compare-and-set to a row; store and return the Outcome.

    An operation that was already applied gets its first Outcome again.
    """
    known = state.operations.get(command.operation)
    if known is not None:
        return known.outcome
    stored = state.tables[command.table].get(command.row)
    exists = stored is not None
    version = version_before = state.get_version(command.table, command.row)
    if command.expected_version not in (ANY_VERSION, version):
        detail = f"row {command.row} is at version {version}"
        outcome = commands.Outcome("conflict", state.index, version, detail)
    elif cells is None and not exists:
        detail = f"row {command.row} does not exist"
        outcome = commands.Outcome("refused", state.index, 0, detail)
    else:
        if cells is not None and exists:
            cells = {**stored.cells, **cells}
        version = state.put_row(command.table, command.row, cells)
        outcome = commands.Outcome("done", state.index, version)
    state.store_outcome(command.operation, outcome)
    if command.table == DOMAINS_TABLE:
        _log_domain_change(command, cells, version_before, outcome)
    return outcome


def _log_domain_change(command, cells, version_before, outcome):
    """Log what a change of a failure domain did on this replica."""
    if outcome.code == "done":
        text = f"failure domain {command.row} is set"
    else:
        text = f"failure domain {command.row} stays: {outcome.detail}"
    logs.log(
        "info",
        text,
        operation=command.operation,
        step="apply change",
        inputs={
            "index": outcome.index,
            "version_before": version_before,
            "expected": command.expected_version,
            "code": outcome.code,
            "state": cells.get("state") if cells else "removed",
        },
    )


@_apply_command.register
def _(command: commands.SetCells, state):
    return _change_row(command, state, command.cells)


@_apply_command.register
def _(command: commands.RemoveRow, state):
    return _change_row(command, state, None)


@_apply_command.register
def _(command: commands.ImportDocument, state):
    last = state.documents.get_latest()
    if last is not None and command.version <= last.version:
        return commands.Outcome("kept", state.index, version=last.version)
    body = command.body
    if command.base:
        if last is None or last.version != command.base:
            # Another document was applied since the delta was made; the
            # sender then submits the whole document.
            return commands.Outcome("stale", state.index)
        raw = deltas.apply(last.raw, body)
        body = deltas.pack(raw)
    else:
        raw = deltas.unpack(body)
    cells = {"version": command.version, "body": body}
    index = state.put_row(DOCUMENTS_TABLE, ROUTING_DOCUMENT_ROW, cells)
    state.documents.add(index, command.version, raw)
    return commands.Outcome("done", state.index, version=command.version)


@_apply_command.register
def _(command: commands.ClaimAttempt, state):
    record = state.claims.get((command.account, command.key))
    if record is not None and record.state == "abandoned":
        if record.attempt == command.attempt:
            return commands.Outcome("abandoned", state.index)
        record = None
    if record is None:
        record = ClaimRecord(
            command.digest,
            command.attempt,
            command.instance,
            "running",
            command.at + command.attempt_timeout,
            command.at + command.retention,
            0,
            "",
            b"",
        )
        state.put_claim(command.account, command.key, record)
        return commands.Outcome("done", state.index)
    if record.attempt == command.attempt and record.state == "running":
        return commands.Outcome("done", state.index)
    return describe_claim(record, command.digest, state.time, state.index)


def describe_claim(record, digest, now, index):
    """Return the Outcome for a repeated request, given the first one's claim.

    Args:
        record: the ClaimRecord of the first request; not an abandoned one.
        digest: of the repeated request; empty if only its key is known.
        now: seconds since the epoch.
        index: index of the state.
    """
    if digest and record.digest != digest:
        return commands.Outcome("mismatch", index)
    if record.state == "finished":
        return commands.Outcome(
            "replay",
            index,
            status=record.status,
            content_type=record.content_type,
            body=record.body,
        )
    if record.state == "oversized":
        return commands.Outcome("oversized", index, status=record.status)
    code = record.state
    if code == "running" and now > record.overdue_at:
        code = "unknown"
    return commands.Outcome(code, index, detail=record.instance)


@_apply_command.register
def _(command: commands.SettleAttempt, state):
    record = state.claims.get((command.account, command.key))
    if record is None and command.state == "abandoned":
        # The claim may still be in transit; this record keeps it from
        # being granted when it arrives.
        record = ClaimRecord(
            "",
            command.attempt,
            "",
            "running",
            command.at,
            command.at + ABANDONED_CLAIM_RETENTION_SECONDS,
            0,
            "",
            b"",
        )
        state.put_claim(command.account, command.key, record)
    if record is None or record.attempt != command.attempt:
        return commands.Outcome(
            "refused", state.index, detail="no such attempt"
        )
    if record.state in ("finished", "oversized", "abandoned"):
        return commands.Outcome("done", state.index)
    settled = record._replace(
        state=command.state,
        status=command.status,
        content_type=command.content_type,
        body=command.body,
    )
    state.claims[command.account, command.key] = settled
    return commands.Outcome("done", state.index)


@_apply_command.register
def _(command: commands.IssueFencingToken, state):
    return commands.Outcome("done", state.index)


@_apply_command.register
def _(command: commands.SetVoters, state):
    return commands.Outcome("done", state.index)


@_apply_command.register
def _(command: commands.BeginTerm, state):
    return commands.Outcome("done", state.index)
