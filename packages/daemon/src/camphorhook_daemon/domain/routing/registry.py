"""Registrations of upstreams on each replica.

A replica keeps the registrations that upstreams sent to it. Every instance
watches all replicas and merges their registrations; see `catalog`. An upstream
is known as long as one replica receives its registrations; once it has
deregistered, that incarnation does not come back. Of two registrations, the
one with the higher incarnation is newer; within an incarnation the state
decides, and then the sequence.
"""

import typing
import uuid

import trio

from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import versions

SECONDS_PER_MS = 0.001
LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
_RANK = {LIVE: 0, LEAVING: 1, GONE: 2}
MAX_TEXT_CHARACTERS = 255
LAST_LATIN_1 = "\xff"
MAX_CAPACITY = 65535  # each request takes a connection to one port
TOMBSTONE_SECONDS = 60.0  # longer than a registration can be delayed
WATCHER_TTL_SECONDS = 5.0  # watchers and replicas silent for longer are lost
MISSED_HEARTBEATS = 3.4  # heartbeat intervals until a silent upstream is lost
BATCH_SECONDS_PER_WATCHER = 0.0005  # time to answer one watcher
# By which the end of an upstream's cold time seems to move as registrations
# take differently long.
COLD_TOLERANCE_SECONDS = 0.05


def find_fault(registration):
    """Return why a registration names no upstream to use, or "".

    Its texts are sent in headers and written to logs; the capacity divides
    loads.
    """
    for field in ("name", "service", "failure_domain", "version"):
        text = getattr(registration, field)
        if len(text) > MAX_TEXT_CHARACTERS:
            return f"{field} has {len(text)} characters"
        if not text.isprintable() or text != text.strip():
            return f"{field} has characters that no header can hold"
        if not text and field != "version":
            return f"{field} is empty"
        # Documents name services, and may do so in any script.
        if field != "service" and max(text, default="") > LAST_LATIN_1:
            return f"{field} has characters beyond Latin-1"
    if not 1 <= registration.capacity <= MAX_CAPACITY:
        return f"{registration.capacity} places are not 1 to {MAX_CAPACITY}"
    return ""


def is_newer(one, other):
    """Return whether a registration replaces another of the same name.

    Within an incarnation, the state only changes from live to leaving to
    gone, so that a delayed duplicate cannot bring an upstream back.
    """
    if other is None or one.incarnation != other.incarnation:
        return other is None or one.incarnation > other.incarnation
    if _RANK[one.state] != _RANK[other.state]:
        return _RANK[one.state] > _RANK[other.state]
    return one.sequence > other.sequence


def _is_same(one, other):
    """Return whether only sequence and cold time differ."""
    return one._replace(sequence=0, cold_ms=0) == other._replace(
        sequence=0, cold_ms=0
    )


class _Entry(typing.NamedTuple):
    """A registration received by a replica.

    Attributes:
        registration: the wire.Registration.
        received_at: time of receipt in seconds.
        position: number of the change in which it last changed.
        cold_until: end of the cold time that watchers were told, in seconds.
    """

    registration: wire.Registration
    received_at: float
    position: int
    cold_until: float


class _Watchers:
    """The instances that watch a replica, and how their list changed.

    Attributes:
        domains: failure domain by name.
        version: number of changes so far.
    """

    def __init__(self):
        self.domains = {}
        self.version = 0
        self._seen_at = {}
        self._changes = {}
        self._removed_at = {}
        self._forgotten_version = 0

    def record(self, name, failure_domain, now):
        """Record a watch of an instance at `now`, in seconds."""
        self._seen_at[name] = now
        if name not in self.domains:
            self.domains[name] = failure_domain
            self._removed_at.pop(name, None)
            self._record_change(name)

    def evict_expired(self, now):
        """Remove instances and tombstones that have expired."""
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at > WATCHER_TTL_SECONDS:
                del self._seen_at[name], self.domains[name]
                self._removed_at[name] = now
                self._record_change(name)
        for name, removed_at in list(self._removed_at.items()):
            if now - removed_at > TOMBSTONE_SECONDS:
                del self._removed_at[name]
                forgotten = self._changes.pop(name)
                self._forgotten_version = max(
                    self._forgotten_version, forgotten
                )

    def _record_change(self, name):
        self.version += 1
        self._changes[name] = self.version

    def has_changes(self, version):
        """Return whether all changes after a version are still known."""
        return version >= self._forgotten_version

    def list_changes(self, version):
        """Return the changes after a version.

        Returns:
            Failure domain by name; it is empty for an instance that is gone.
        """
        return {
            name: self.domains.get(name, "")
            for name, changed in self._changes.items()
            if changed > version
        }


class Registry:
    """Registrations that one replica received from upstreams.

    Attributes:
        changed: event that is set and replaced at each change that watchers
            have to fetch.
    """

    def __init__(
        self,
        heartbeat_seconds,
        recorder,
        now=trio.current_time,
        is_first=False,
    ):
        """Create an empty registry.

        Args:
            heartbeat_seconds: interval of an upstream's registrations.
            recorder: the Recorder of the time line.
            now: function that returns the time in seconds.
            is_first: whether the whole fleet starts for the first time.
        """
        self.versions = versions.VersionMemory(now, is_first)
        self._ttl = heartbeat_seconds * MISSED_HEARTBEATS
        self._recorder = recorder
        self._now = now
        self._epoch = uuid.uuid4().hex[:12]
        self._began_at = now()
        self._entries = {}
        self._removed = {}
        self._departed = {}
        self._position = 1
        self._watchers = _Watchers()
        self.changed = trio.Event()

    def register(self, registration):
        """Store a registration; return False if a newer one supersedes it."""
        name = registration.name
        entry = self._entries.get(name)
        known = entry.registration if entry else None
        if known is not None and not is_newer(registration, known):
            return False
        departed, _ = self._departed.get(name, (None, 0.0))
        if departed is not None and is_newer(departed, registration):
            return False
        if registration.state != LIVE:
            self._departed[name] = registration, self._now()
        if self._is_displaced(registration):
            return False
        now = self._now()
        cold_until = now + registration.cold_ms * SECONDS_PER_MS
        if entry is None or not _is_same(registration, known):
            self._log_registration(registration)
            position = self._advance_position()
        elif _extends_cold_time(entry, registration, cold_until):
            logs.log(
                "info",
                f"upstream is cold for another {registration.cold_ms} ms",
                step="register",
                peer=name,
                inputs={"sequence": registration.sequence},
            )
            position = self._advance_position()
        else:
            position, cold_until = entry.position, entry.cold_until
        self._removed.pop(name, None)
        self.versions.record(registration)
        self._entries[name] = _Entry(registration, now, position, cold_until)
        return True

    def _log_registration(self, registration):
        name = registration.name
        self._recorder.record("upstream." + registration.state, peer=name)
        logs.log(
            "info",
            f"upstream is {registration.state}",
            step="register",
            peer=name,
            inputs={
                "address": f"{registration.address}:{registration.port}",
                "incarnation": registration.incarnation,
                "sequence": registration.sequence,
            },
        )

    def _is_displaced(self, registration):
        """Return whether a newer upstream uses the same address."""
        endpoint = (registration.address, registration.port)
        for entry in self._entries.values():
            other = entry.registration
            if (other.address, other.port) != endpoint:
                continue
            if other.name != registration.name and other.state != GONE:
                if other.incarnation > registration.incarnation:
                    return True
        return False

    def deregister(self, name, incarnation):
        """Mark an upstream as gone.

        Args:
            name: name of the upstream.
            incarnation: incarnation that has ended; 0 if unknown.
        """
        entry = self._entries.get(name)
        known = entry.registration if entry else None
        if known is None:
            known = wire.Registration(
                name, "", "", "", 0, incarnation, 0, GONE, 0, 0
            )
        if incarnation and known.incarnation > incarnation:
            return
        self.register(
            known._replace(
                state=GONE, incarnation=incarnation or known.incarnation
            )
        )

    def record_departure(self, registration):
        """Apply a departure that another replica may have been told of.

        Registrations from before it are refused even if the upstream is not
        known here any more.
        """
        known, _ = self._departed.get(registration.name, (None, 0.0))
        if is_newer(registration, known):
            self._departed[registration.name] = registration, self._now()
            self.register(registration)

    def get(self, name):
        """Return the latest registration of an upstream, or None."""
        entry = self._entries.get(name)
        return entry.registration if entry else None

    def _advance_position(self):
        self._position += 1
        self.changed.set()
        self.changed = trio.Event()
        return self._position

    def evict_expired(self):
        """Remove expired registrations and tombstones."""
        now = self._now()
        for name, entry in list(self._entries.items()):
            is_gone = entry.registration.state == GONE
            kept = TOMBSTONE_SECONDS if is_gone else self._ttl
            if now - entry.received_at > kept:
                del self._entries[name]
                self._removed[name] = self._advance_position()
                logs.log("info", "upstream is silent", step="drop", peer=name)

        for name, (_, seen_at) in list(self._departed.items()):
            if now - seen_at > TOMBSTONE_SECONDS:
                del self._departed[name]

    def answer_versions(self):
        """Return the wire.VersionsReply to wire.ReadVersions."""
        for entry in self._entries.values():
            if entry.registration.state != GONE:
                self.versions.record(entry.registration)
        return self.versions.answer()

    def list_names(self):
        """Return the names of the upstreams, tombstones included."""
        return list(self._entries)

    async def answer(self, request):
        """Return the reply to WatchUpstreams.

        It is delayed by at most `wait_ms` until there is a change.
        """
        self._watchers.record(
            request.sender, request.failure_domain, self._now()
        )
        if request.epoch == self._epoch:
            with trio.move_on_after(request.wait_ms * SECONDS_PER_MS):
                while self._position <= request.after:
                    await self.changed.wait()
                # Changes often come together; one reply covers them all.
                await trio.sleep(
                    BATCH_SECONDS_PER_WATCHER * len(self._watchers.domains)
                )
        watchers = self._watchers
        watchers.evict_expired(self._now())
        known_version = request.known_watchers_version
        whole = request.epoch != self._epoch or (
            request.reads_changes and not watchers.has_changes(known_version)
        )
        after = -1 if whole else request.after
        now = self._now()
        changed = [
            _count_down_cold_time(entry, now)
            for entry in self._entries.values()
            if entry.position > after
        ]
        if not request.reads_versions:
            changed = [one.drop_version() for one in changed]
        removed = [
            name
            for name, position in self._removed.items()
            if position > after and not whole
        ]
        if whole:
            listed = watchers.domains
        elif known_version == watchers.version:
            listed = None
        elif request.reads_changes:
            listed = watchers.list_changes(known_version)
        else:
            listed = watchers.domains
        return wire.UpstreamsReply(
            self._epoch,
            self._position,
            whole,
            changed,
            removed,
            int((now - self._began_at) / SECONDS_PER_MS),
            None if listed is None else dict(listed),
            watchers.version,
        )


def _extends_cold_time(entry, registration, cold_until):
    """Return whether an upstream is cold for longer than watchers know.

    An upstream may become cold at any time, without a new start.
    """
    end = entry.cold_until + COLD_TOLERANCE_SECONDS
    return registration.cold_ms > 0 and cold_until > end


def _count_down_cold_time(entry, now):
    """Return a registration with its cold time reduced by its age."""
    registration = entry.registration
    passed = int((now - entry.received_at) / SECONDS_PER_MS)
    return registration._replace(cold_ms=max(0, registration.cold_ms - passed))
