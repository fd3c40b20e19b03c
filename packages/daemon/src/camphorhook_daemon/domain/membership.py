"""Which upstreams exist, as told by their announcements.

An upstream announces itself to entry instances of its failure domain; the
instances pass on what they heard. The record with the higher (incarnation,
sequence) wins. An upstream counts as gone on an instance once that instance
has heard of no newer announcement, directly or through others, for its TTL:
one instance's bad link takes an upstream out for nobody else.
"""

import struct
import typing

import msgspec
import trio
import xxhash

from camphorhook_common import errors
from camphorhook_common import wire

MS = 0.001
LOWEST_TTL_MS = 500
HIGHEST_TTL_MS = 120000
FORGET_SECONDS = 600.0
FLAP_WINDOW_SECONDS = 60.0
FLAP_LIMIT = 3
_LOAD = struct.Struct(">IHH")
_SEQUENCE_MASK = 0xFFFF


class Announcement(typing.NamedTuple):
    """What an upstream posts; see `wire.Upstream` for the fields."""

    name: str
    failure_domain: str
    service: str
    address: str
    port: int
    incarnation: int
    sequence: int
    ttl_ms: int
    models: tuple[str, ...] = ()
    state: typing.Literal["live", "leaving"] = "live"
    active: int = 0
    capacity: int = 1
    features: tuple[str, ...] = ()


def is_same_spell(first, second):
    """Tell whether two records are of one incarnation and cold spell."""
    return (
        first.incarnation == second.incarnation
        and first.cold_spell == second.cold_spell
    )


def _merge_warmth(known, record):
    """Return `known` with the later cold spell, or all that found it warm."""
    if record.cold_spell > known.cold_spell:
        return known._replace(
            cold_spell=record.cold_spell, warm=tuple(record.warm)
        )
    if record.cold_spell < known.cold_spell:
        return known
    return known._replace(warm=tuple(sorted({*known.warm, *record.warm})))


class _Entry:
    """An upstream's record and what this instance knows besides."""

    def __init__(self, record, now):
        self.record = record
        self.heard_at = now
        self.changed = 0
        self.load_changed = 0
        self.starts = []
        self.source = ""
        self.is_known_from_start = False


def _fingerprint(record):
    """Return the short id of an upstream's incarnation in packed loads."""
    return xxhash.xxh32_intdigest(
        f"{record.name}/{record.incarnation}".encode()
    )


def parse_announcement(body, failure_domain):
    """Return the Announcement in a posted JSON body.

    Args:
        body: JSON text as bytes.
        failure_domain: the failure domain of this instance.

    Raises:
        errors.ProtocolError: says what is wrong with it.
    """
    try:
        fields = msgspec.json.decode(body, type=dict)
        announcement = msgspec.convert(
            _order_fields(fields), Announcement, strict=True
        )
    except (msgspec.MsgspecError, KeyError) as error:
        raise errors.ProtocolError(
            f"the announcement is wrong: {error}", step="announce"
        ) from error
    if announcement.failure_domain != failure_domain:
        raise errors.ProtocolError(
            f"announce to instances of {announcement.failure_domain}; this "
            f"one is in {failure_domain}",
            step="announce",
            peer=announcement.name,
        )
    if not LOWEST_TTL_MS <= announcement.ttl_ms <= HIGHEST_TTL_MS:
        raise errors.ProtocolError(
            f"give a ttl_ms from {LOWEST_TTL_MS} to {HIGHEST_TTL_MS}",
            step="announce",
            peer=announcement.name,
        )
    return announcement


def _order_fields(fields):
    """Return a JSON object's fields in the order of Announcement."""
    defaults = Announcement._field_defaults
    ordered = []
    for name in Announcement._fields:
        if name not in fields and name not in defaults:
            raise KeyError(f"missing field {name}")
        ordered.append(fields.get(name, defaults.get(name)))
    return ordered


class Directory:
    """All upstreams this instance knows of.

    Attributes:
        urgent: set and replaced when something other than a load changed.
        moved: set and replaced when any upstream's load or state changed.
    """

    def __init__(self, recorder):
        self._recorder = recorder
        self._entries = {}
        self._by_fingerprint = {}
        self._counter = 0
        self._has_met = False
        self.urgent = trio.Event()
        self.moved = trio.Event()

    def _notify(self, record, event):
        peer = f"{record.name}/{record.incarnation}"
        self._recorder.record(f"upstream.{event}", peer=peer)

    def announce(self, announcement):
        """Take in an announcement heard directly."""
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
        """Take in a record; older ones change nothing but `warm`.

        Args:
            record: a wire.Upstream.
            source: name of the instance it came from; empty if direct.
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
            merged = _merge_warmth(known, record)
            if merged != known:
                entry.record = known = merged
                self._mark_changed(entry, source)
            record = record._replace(
                cold_spell=known.cold_spell, warm=known.warm
            )
        if theirs <= ours:
            return
        returned = now - entry.heard_at > known.ttl_ms * MS
        entry.heard_at = now
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
            entry.is_known_from_start = self._has_met
        if event in ("joined", "restarted", "returned"):
            entry.starts.append(trio.current_time())
        self._mark_changed(entry, source)
        self._notify(record, event)

    def _mark_changed(self, entry, source):
        self._counter += 1
        entry.changed = self._counter
        entry.source = source
        self.urgent.set()
        self.urgent = trio.Event()
        self._mark_moved()

    def _update_load(self, entry, record, source):
        self._counter += 1
        entry.record = record
        entry.load_changed = self._counter
        entry.source = source
        self._mark_moved()

    def _mark_moved(self):
        self.moved.set()
        self.moved = trio.Event()

    def merge_loads(self, packed, source):
        """Take in packed loads; unknown incarnations are passed over."""
        for fingerprint, low, active in _LOAD.iter_unpack(packed):
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                continue
            known = entry.record
            ahead = (low - known.sequence) & _SEQUENCE_MASK
            if not 0 < ahead < _SEQUENCE_MASK // 2:
                continue
            sequence = known.sequence + ahead
            record = known._replace(sequence=sequence, active=active)
            self.merge(record, source)

    def collect_changes(self, peer, since):
        """Return (records, packed loads, cursor) changed after a cursor.

        Args:
            peer: who gets them; what came from there is left out.
            since: cursor of the last call for the peer; 0 at first.
        """
        records = []
        loads = []
        for entry in self._entries.values():
            # A peer that started anew has forgotten also what it told.
            if entry.source == peer and since:
                continue
            if entry.changed > since:
                records.append(entry.record)
            elif entry.load_changed > since:
                record = entry.record
                loads.append(
                    _LOAD.pack(
                        _fingerprint(record),
                        record.sequence & _SEQUENCE_MASK,
                        min(record.active, 0xFFFF),
                    )
                )
        return records, b"".join(loads), self._counter

    def note_warm(self, record, holder):
        """Note that a permit holder found an upstream warm.

        Args:
            record: the upstream as it was when the holder judged.
            holder: name of the holder.
        """
        entry = self._entries.get(record.name)
        if entry is None or not is_same_spell(entry.record, record):
            return
        if holder not in entry.record.warm:
            warm = tuple(sorted({*entry.record.warm, holder}))
            entry.record = entry.record._replace(warm=warm)
            self._mark_changed(entry, "")

    def note_cold(self, record):
        """Note that a warm upstream has turned cold without notice."""
        entry = self._entries.get(record.name)
        if entry is None or not is_same_spell(entry.record, record):
            return
        if entry.record.warm:
            spell = record.cold_spell + 1
            entry.record = entry.record._replace(cold_spell=spell, warm=())
            self._mark_changed(entry, "")
            self._notify(entry.record, "turned_cold")

    def is_heard(self, name):
        """Tell whether the upstream's last announcement still holds."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        silent = trio.current_time() - entry.heard_at
        return silent <= entry.record.ttl_ms * MS

    def is_known_from_start(self, name):
        """Tell whether this instance has known an incarnation all along.

        One that is new to an instance which neighbours had told all they
        know is new to the fleet.
        """
        return self._entries[name].is_known_from_start

    def note_met(self):
        """Note that a neighbour has told all that it knows."""
        self._has_met = True

    def is_flapping(self, name):
        """Tell whether the upstream joined too often a short while ago."""
        entry = self._entries[name]
        since = trio.current_time() - FLAP_WINDOW_SECONDS
        entry.starts = [start for start in entry.starts if start > since]
        return len(entry.starts) > FLAP_LIMIT

    def get(self, name):
        """Return the record of an upstream, or None."""
        entry = self._entries.get(name)
        return entry.record if entry else None

    def list_live(self):
        """Return the records of upstreams that may get new work."""
        return [
            entry.record
            for name, entry in self._entries.items()
            if entry.record.state == "live" and self.is_heard(name)
        ]

    def list_known(self):
        """Return the records of all upstreams, gone ones included."""
        return [entry.record for entry in self._entries.values()]

    async def run(self, interval=0.5):
        """Note expiries until cancelled; interval in seconds."""
        heard = set()
        while True:
            await trio.sleep(interval)
            now = {name for name in self._entries if self.is_heard(name)}
            for name in heard - now:
                self._notify(self._entries[name].record, "expired")
                self._mark_moved()
            heard = now
            self._forget_old()

    def _forget_old(self):
        limit = trio.current_time() - FORGET_SECONDS
        for name, entry in list(self._entries.items()):
            if entry.heard_at < limit:
                self._by_fingerprint.pop(_fingerprint(entry.record), None)
                del self._entries[name]
