"""The upstreams of the fleet, known from their announcements.

An upstream announces itself to entry instances of its failure domain, and
the instances exchange the records among themselves. The record with the
higher (incarnation, sequence) wins. An upstream's record expires on an
instance when no newer announcement has reached that instance, directly or
through others, for its TTL. A bad link between one instance and an upstream
thus does not remove the upstream for the others.
"""

import struct
import typing

import msgspec
import trio
import xxhash

from camphorhook_common import errors
from camphorhook_common import jsontext
from camphorhook_common import wire

SECONDS_PER_MS = 0.001
MIN_TTL_MS = 500
MAX_TTL_MS = 120000
RETENTION_SECONDS = 600.0
FLAP_WINDOW_SECONDS = 60.0
FLAP_LIMIT = 3
_LOAD_FORMAT = struct.Struct(">IHH")
_SEQUENCE_MASK = 0xFFFF
# Whole numbers that fit into messages, without a sign.
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]


class Announcement(typing.NamedTuple):
    """An announcement that an upstream posts; its fields: `wire.Upstream`."""

    name: str
    failure_domain: str
    service: str
    address: str
    port: _Port
    incarnation: _Count
    sequence: _Count
    ttl_ms: _Count
    models: tuple[str, ...] = ()
    state: typing.Literal["live", "leaving"] = "live"
    active: _Count = 0
    capacity: _Count = 1
    features: tuple[str, ...] = ()
    version: str = ""


def is_same_cold_spell(first, second):
    """Return whether two records share their incarnation and cold spell."""
    return (
        first.incarnation == second.incarnation
        and first.cold_spell == second.cold_spell
    )


def _merge_warm_state(known, record):
    """Return `known` with the later cold spell of the two records.

    Within the same cold spell, the permit holders that found the upstream
    warm are combined.
    """
    if record.cold_spell > known.cold_spell:
        return known._replace(
            cold_spell=record.cold_spell, warm=tuple(record.warm)
        )
    if record.cold_spell < known.cold_spell:
        return known
    return known._replace(warm=tuple(sorted({*known.warm, *record.warm})))


class _Entry:
    """An upstream's record, with data local to this instance.

    Attributes:
        record: the wire.Upstream.
        refreshed_at: seconds, when the last newer announcement arrived.
        changed: cursor of the last change in more than the load.
        load_changed: cursor of the last change in the load.
        join_times: seconds of the recent joins, restarts and returns.
        source: instance that sent the last change; empty if it came from
            the upstream or this instance.
        is_known_from_start: as `Directory.is_known_from_start` returns.
    """

    def __init__(self, record, now):
        self.record = record
        self.refreshed_at = now
        self.changed = 0
        self.load_changed = 0
        self.join_times = []
        self.source = ""
        self.is_known_from_start = False


def _fingerprint(record):
    """Return the 32-bit id of an upstream's incarnation in packed loads."""
    return xxhash.xxh32_intdigest(
        f"{record.name}/{record.incarnation}".encode()
    )


def parse_announcement(body, failure_domain):
    """Return the Announcement in a posted JSON body.

    Args:
        body: JSON text as bytes.
        failure_domain: the failure domain of this instance.

    Raises:
        errors.ProtocolError: the body is malformed, the upstream belongs to
            another failure domain, or its ttl_ms is out of range.
    """
    try:
        fields = jsontext.decode(body, dict)
        announcement = msgspec.convert(
            _order_fields(fields), Announcement, strict=True
        )
    except (jsontext.DecodeError, msgspec.MsgspecError, KeyError) as error:
        raise errors.ProtocolError(
            f"malformed announcement: {error}", step="announce"
        ) from error
    if announcement.failure_domain != failure_domain:
        raise errors.ProtocolError(
            f"the announcement is for {announcement.failure_domain}, but "
            f"this instance is in {failure_domain}",
            step="announce",
            peer=announcement.name,
        )
    if not MIN_TTL_MS <= announcement.ttl_ms <= MAX_TTL_MS:
        raise errors.ProtocolError(
            f"ttl_ms must be from {MIN_TTL_MS} to {MAX_TTL_MS}",
            step="announce",
            peer=announcement.name,
        )
    return announcement


def _order_fields(fields):
    """Return a JSON object's values in the field order of Announcement.

    Raises:
        KeyError: a field without a default is missing.
    """
    defaults = Announcement._field_defaults
    ordered = []
    for name in Announcement._fields:
        if name not in fields and name not in defaults:
            raise KeyError(f"missing field {name}")
        ordered.append(fields.get(name, defaults.get(name)))
    return ordered


class Directory:
    """All upstreams that this instance knows.

    Attributes:
        state_changed: event that is set, and replaced by a new one, when a
            record changed in more than its load.
        updated: event that is set, and replaced by a new one, when any
            record changed or expired.
    """

    def __init__(self, recorder):
        self._recorder = recorder
        self._entries = {}
        self._by_fingerprint = {}
        self._counter = 0
        self._has_synced = False
        self.state_changed = trio.Event()
        self.updated = trio.Event()

    def _record_event(self, record, event):
        peer = f"{record.name}/{record.incarnation}"
        self._recorder.record(f"upstream.{event}", peer=peer)

    def add_announcement(self, announcement):
        """Add an announcement that the upstream sent to this instance."""
        record = wire.Upstream(
            cold_spell=0,
            warm=(),
            **{
                field: getattr(announcement, field)
                for field in Announcement._fields
            },
        )
        self.merge(record, "")

    def merge(self, record, source):
        """Merge a record into the directory.

        A record that is not newer than the known one changes nothing but
        the cold spell and `warm`.

        Args:
            record: a wire.Upstream.
            source: name of the instance that sent it; empty if the upstream
                itself did.
        """
        now = trio.current_time()
        entry = self._entries.get(record.name)
        if entry is None:
            entry = self._entries[record.name] = _Entry(record, now)
            self._replace(entry, record, source, "joined")
            return
        known = entry.record
        ours = (known.incarnation, known.sequence)
        theirs = (record.incarnation, record.sequence)
        if known.incarnation == record.incarnation:
            merged = _merge_warm_state(known, record)
            if merged != known:
                entry.record = known = merged
                self._mark_changed(entry, source)
            record = record._replace(
                cold_spell=known.cold_spell,
                warm=known.warm,
                # Older builds pass records on without it.
                version=record.version or known.version,
            )
        if theirs <= ours:
            return
        returned = now - entry.refreshed_at > known.ttl_ms * SECONDS_PER_MS
        entry.refreshed_at = now
        if record.incarnation != known.incarnation:
            self._replace(entry, record, source, "restarted")
        elif record.state != known.state or returned:
            event = "returned" if returned else record.state
            self._replace(entry, record, source, event)
        elif record._replace(sequence=0, active=0) != known._replace(
            sequence=0, active=0
        ):
            self._replace(entry, record, source, "changed")
        else:
            self._update_load(entry, record, source)

    def _replace(self, entry, record, source, event):
        self._by_fingerprint.pop(_fingerprint(entry.record), None)
        entry.record = record
        self._by_fingerprint[_fingerprint(record)] = entry
        if event in ("joined", "restarted"):
            entry.is_known_from_start = self._has_synced
        if event in ("joined", "restarted", "returned"):
            entry.join_times.append(trio.current_time())
        self._mark_changed(entry, source)
        self._record_event(record, event)

    def _mark_changed(self, entry, source):
        self._counter += 1
        entry.changed = self._counter
        entry.source = source
        self.state_changed.set()
        self.state_changed = trio.Event()
        self._notify_updated()

    def _update_load(self, entry, record, source):
        self._counter += 1
        entry.record = record
        entry.load_changed = self._counter
        entry.source = source
        self._notify_updated()

    def _notify_updated(self):
        self.updated.set()
        self.updated = trio.Event()

    def merge_loads(self, packed, source):
        """Merge packed loads, ignoring unknown incarnations.

        Args:
            packed: the loads, as `collect_changes` packs them.
            source: name of the instance that sent them.
        """
        for fingerprint, sequence_low, active in _LOAD_FORMAT.iter_unpack(
            packed
        ):
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                continue
            known = entry.record
            ahead = (sequence_low - known.sequence) & _SEQUENCE_MASK
            if not 0 < ahead < _SEQUENCE_MASK // 2:
                continue
            sequence = known.sequence + ahead
            record = known._replace(sequence=sequence, active=active)
            self.merge(record, source)

    def collect_changes(self, peer, since):
        """Return (records, packed loads, cursor) of changes since a cursor.

        Args:
            peer: name of the instance to send them to; changes that came
                from it are left out.
            since: cursor of the last exchange with the peer; 0 for all.
        """
        records = []
        loads = []
        for entry in self._entries.values():
            # A peer that restarted has lost the changes that it sent, too.
            if entry.source == peer and since:
                continue
            if entry.changed > since:
                records.append(entry.record)
            elif entry.load_changed > since:
                record = entry.record
                loads.append(
                    _LOAD_FORMAT.pack(
                        _fingerprint(record),
                        record.sequence & _SEQUENCE_MASK,
                        min(record.active, 0xFFFF),
                    )
                )
        return records, b"".join(loads), self._counter

    def mark_warm(self, record, holder):
        """Record that a permit holder found an upstream warm.

        Does nothing if the upstream has restarted or turned cold since.

        Args:
            record: the upstream's record that the holder used.
            holder: name of the holder.
        """
        entry = self._entries.get(record.name)
        if entry is None or not is_same_cold_spell(entry.record, record):
            return
        if holder not in entry.record.warm:
            warm = tuple(sorted({*entry.record.warm, holder}))
            entry.record = entry.record._replace(warm=warm)
            self._mark_changed(entry, "")

    def mark_cold(self, record):
        """Start a new cold spell of a warm upstream.

        Does nothing if the upstream has restarted or turned cold since.

        Args:
            record: the upstream's record when it was found to be cold.
        """
        entry = self._entries.get(record.name)
        if entry is None or not is_same_cold_spell(entry.record, record):
            return
        if entry.record.warm:
            spell = record.cold_spell + 1
            entry.record = entry.record._replace(cold_spell=spell, warm=())
            self._mark_changed(entry, "")
            self._record_event(entry.record, "turned_cold")

    def is_announced(self, name):
        """Return whether the upstream's last announcement is still valid."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        silent = trio.current_time() - entry.refreshed_at
        return silent <= entry.record.ttl_ms * SECONDS_PER_MS

    def is_known_from_start(self, name):
        """Return whether this instance knew the incarnation from its start.

        An incarnation that is new to an instance that was already in sync
        with a neighbour is new to the whole fleet.
        """
        return self._entries[name].is_known_from_start

    def mark_synced(self):
        """Record that a neighbour has sent all records it knows."""
        self._has_synced = True

    def is_flapping(self, name):
        """Return whether the upstream joined too often recently.

        That is more than FLAP_LIMIT times within FLAP_WINDOW_SECONDS.
        """
        entry = self._entries[name]
        since = trio.current_time() - FLAP_WINDOW_SECONDS
        entry.join_times = [
            start for start in entry.join_times if start > since
        ]
        return len(entry.join_times) > FLAP_LIMIT

    def get(self, name):
        """Return the record of an upstream, or None if it is unknown."""
        entry = self._entries.get(name)
        return entry.record if entry else None

    def list_live(self):
        """Return the records of upstreams that may be sent new requests."""
        return [
            entry.record
            for name, entry in self._entries.items()
            if entry.record.state == "live" and self.is_announced(name)
        ]

    def list_known(self):
        """Return the records of all upstreams, including expired ones."""
        return [entry.record for entry in self._entries.values()]

    async def run(self, interval=0.5):
        """Record expired upstreams and delete old ones until cancelled.

        Args:
            interval: seconds between two checks.
        """
        announced = set()
        while True:
            await trio.sleep(interval)
            now = {name for name in self._entries if self.is_announced(name)}
            for name in announced - now:
                self._record_event(self._entries[name].record, "expired")
                self._notify_updated()
            announced = now
            self._evict_expired()

    def _evict_expired(self):
        limit = trio.current_time() - RETENTION_SECONDS
        for name, entry in list(self._entries.items()):
            if entry.refreshed_at < limit:
                self._by_fingerprint.pop(_fingerprint(entry.record), None)
                del self._entries[name]
