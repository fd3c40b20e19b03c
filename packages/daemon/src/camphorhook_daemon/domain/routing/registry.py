"""Registrations of upstreams: those heard by a replica, and their union.

A replica holds what upstreams told it. Every instance watches all replicas
and merges what they hold. An upstream exists while one replica hears it; it
is gone for good once it said so. The incarnation, and then the sequence,
tell which of two registrations is the newer one.
"""

import typing
import uuid

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire

MS = 0.001
LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
_RANK = {LIVE: 0, LEAVING: 1, GONE: 2}
TOMBSTONE_SECONDS = 60.0  # above the longest delay of a late registration
RECENT_SECONDS = 5.0  # a watcher that was not heard for so long has left
MISSED_BEATS = 3.4  # heartbeats missed until an upstream counts as lost
SETTLE_SECONDS = 4.0  # a replica has heard every upstream so long after start
WATCH_MS = 1500  # a fraction of the time after which a watcher has left
REPLY_SECONDS = 0.8  # for a reply that is due; above a packet sent again
RETRY_SECONDS = 0.25
GATHER_SECONDS = 0.0005  # for each watcher: the time it takes to answer them


def is_newer(one, other):
    """Tell whether a registration replaces another of the same name.

    Within an incarnation an upstream only ever moves from live towards
    gone, so that a late duplicate can't bring it back.
    """
    if other is None or one.incarnation != other.incarnation:
        return other is None or one.incarnation > other.incarnation
    if _RANK[one.state] != _RANK[other.state]:
        return _RANK[one.state] > _RANK[other.state]
    return one.sequence > other.sequence


def _is_same(one, other):
    """Tell whether two registrations differ in their sequence only."""
    return one._replace(sequence=0, cold_ms=0) == other._replace(
        sequence=0, cold_ms=0
    )


class _Held(typing.NamedTuple):
    """A registration as heard; `position` counts changes."""

    registration: wire.Registration
    heard_at: float
    position: int


class Registry:
    """What one replica heard from upstreams.

    Attributes:
        changed: set and replaced when watchers have something to fetch.
    """

    def __init__(self, heartbeat_seconds, recorder, now=trio.current_time):
        """Create an empty registry.

        Args:
            heartbeat_seconds: between an upstream's registrations.
            recorder: the Recorder of the time line.
            now: returns seconds.
        """
        self._ttl = heartbeat_seconds * MISSED_BEATS
        self._recorder = recorder
        self._now = now
        self._epoch = uuid.uuid4().hex[:12]
        self._began_at = now()
        self._held = {}
        self._removed = {}
        self._position = 1
        self._watchers = {}
        self._watchers_seen = {}
        self._watchers_version = 0
        self.changed = trio.Event()

    def hear(self, registration):
        """Take in a registration; return whether it was the newest."""
        name = registration.name
        held = self._held.get(name)
        known = held.registration if held else None
        if known is not None and not is_newer(registration, known):
            return False
        if self._is_displaced(registration):
            return False
        position = held.position if held else 0
        if known is None or not _is_same(registration, known):
            position = self._move()
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
        self._removed.pop(name, None)
        self._held[name] = _Held(registration, self._now(), position)
        return True

    def _is_displaced(self, registration):
        """Tell whether a newer upstream has the same address."""
        place = (registration.address, registration.port)
        for held in self._held.values():
            other = held.registration
            if (other.address, other.port) != place:
                continue
            if other.name != registration.name and other.state != GONE:
                if other.incarnation > registration.incarnation:
                    return True
        return False

    def retire(self, name, incarnation):
        """Take in that an upstream has ended.

        Args:
            name: the upstream.
            incarnation: the one that ended; 0 when it isn't known.
        """
        held = self._held.get(name)
        known = held.registration if held else None
        if known is None:
            known = wire.Registration(
                name, "", "", "", 0, incarnation, 0, GONE, 0, 0
            )
        if incarnation and known.incarnation > incarnation:
            return
        self.hear(
            known._replace(
                state=GONE, incarnation=incarnation or known.incarnation
            )
        )

    def _move(self):
        self._position += 1
        self.changed.set()
        self.changed = trio.Event()
        return self._position

    def drop_lost(self):
        """Drop upstreams that have been silent for too long."""
        now = self._now()
        for name, held in list(self._held.items()):
            is_gone = held.registration.state == GONE
            kept = TOMBSTONE_SECONDS if is_gone else self._ttl
            if now - held.heard_at > kept:
                del self._held[name]
                self._removed[name] = self._move()
                logs.log("info", "upstream is silent", step="drop", peer=name)

    def list_addresses(self):
        """Return the names of the upstreams held."""
        return list(self._held)

    async def answer(self, request):
        """Answer WatchUpstreams, waiting for a change up to its wait_ms."""
        self._note_watcher(request.sender, request.failure_domain)
        if request.epoch == self._epoch:
            with trio.move_on_after(request.wait_ms * MS):
                while self._position <= request.after:
                    await self.changed.wait()
                # Changes often come together; one reply carries them all.
                await trio.sleep(GATHER_SECONDS * len(self._watchers))
        whole = request.epoch != self._epoch
        after = -1 if whole else request.after
        now = self._now()
        changed = [
            _age(held, now)
            for held in self._held.values()
            if held.position > after
        ]
        removed = [
            name
            for name, position in self._removed.items()
            if position > after and not whole
        ]
        self._drop_watchers(now)
        is_known = request.known_watchers_version == self._watchers_version
        return wire.UpstreamsReply(
            self._epoch,
            self._position,
            whole,
            changed,
            removed,
            int((now - self._began_at) / MS),
            None if is_known and not whole else dict(self._watchers),
            self._watchers_version,
        )

    def _note_watcher(self, name, failure_domain):
        self._watchers_seen[name] = self._now()
        if name not in self._watchers:
            self._watchers[name] = failure_domain
            self._watchers_version += 1

    def _drop_watchers(self, now):
        for name, seen_at in list(self._watchers_seen.items()):
            if now - seen_at > RECENT_SECONDS:
                del self._watchers_seen[name]
                del self._watchers[name]
                self._watchers_version += 1


def _age(held, now):
    """Return a registration with its cold time counted down to now."""
    registration = held.registration
    passed = int((now - held.heard_at) / MS)
    return registration._replace(cold_ms=max(0, registration.cold_ms - passed))


class _View:
    """What one replica told of upstreams."""

    def __init__(self):
        self.epoch = ""
        self.position = 0
        self.registrations = {}
        self.answered_at = float("-inf")
        self.is_settled = False
        self.watchers = {}
        self.watchers_version = -1


class Roll:
    """The upstreams as all replicas together know them.

    Attributes:
        registrations: newest wire.Registration by name, those gone left out.
        cold_until: by name, seconds on the clock of `now`.
        changed: set and replaced at each change.
    """

    def __init__(self, now=trio.current_time):
        self._now = now
        self._views = {}
        self.registrations = {}
        self.cold_until = {}
        self.changed = trio.Event()

    def get_view(self, replica):
        """Return what is known of a replica's view.

        Returns:
            (epoch, position, version of the watchers) that its changes
            follow.
        """
        view = self._views.setdefault(replica, _View())
        return view.epoch, view.position, view.watchers_version

    def adopt(self, replica, reply):
        """Take in a replica's UpstreamsReply."""
        view = self._views.setdefault(replica, _View())
        if reply.is_full:
            view.registrations = {}
        view.epoch = reply.epoch
        view.position = reply.position
        view.answered_at = self._now()
        is_settled = reply.age_ms * MS > SETTLE_SECONDS
        has_settled = is_settled and not view.is_settled
        view.is_settled = is_settled
        if reply.watchers is not None:
            view.watchers = reply.watchers
            view.watchers_version = reply.watchers_version
        for registration in reply.changed:
            view.registrations[registration.name] = registration
            self._note_cold(registration)
        for name in reply.removed:
            view.registrations.pop(name, None)
        if reply.changed or reply.removed or reply.is_full or has_settled:
            self._merge()

    def _note_cold(self, registration):
        until = self._now() + registration.cold_ms * MS
        if registration.cold_ms > 0:
            known = self.cold_until.get(registration.name, 0.0)
            self.cold_until[registration.name] = max(known, until)

    def _merge(self):
        merged = {}
        for view in self._views.values():
            for name, registration in view.registrations.items():
                if is_newer(registration, merged.get(name)):
                    merged[name] = registration
        if not self._may_forget():
            for name, known in self.registrations.items():
                if is_newer(known, merged.get(name)):
                    merged[name] = known
        places = {}
        for registration in merged.values():
            place = (registration.address, registration.port)
            other = places.get(place)
            if registration.state == GONE:
                continue
            if other is None or registration.incarnation > other.incarnation:
                places[place] = registration
        self.registrations = {one.name: one for one in places.values()}
        for name in list(self.cold_until):
            if name not in self.registrations:
                del self.cold_until[name]
        self.changed.set()
        self.changed = trio.Event()

    def _may_forget(self):
        """Tell whether some replica in touch has heard all there is.

        A replica that just started has not heard every upstream yet.
        """
        now = self._now()
        return any(
            view.is_settled and now - view.answered_at < RECENT_SECONDS
            for view in self._views.values()
        )

    def map_instances(self):
        """Return instances that watch a replica in touch.

        Returns:
            Failure domain by name.
        """
        now = self._now()
        found = {}
        for view in self._views.values():
            if now - view.answered_at < RECENT_SECONDS:
                found.update(view.watchers)
        return found

    def count_instances(self):
        """Return how many instances share the upstreams; 1 at the least."""
        counts = [len(view.watchers) for view in self._views.values()]
        return max(counts, default=1) or 1

    def list_service(self, service):
        """Return the registrations of a service's upstreams."""
        return [
            one
            for one in self.registrations.values()
            if one.service == service
        ]


async def follow_replica(place, replica, roll, transport):
    """Keep a Roll up to date with one replica until cancelled.

    Args:
        place: (name, failure domain) of this instance.
        replica: the replica to watch.
        roll: the Roll.
        transport: a Transport.
    """
    in_touch = None
    while True:
        view = roll.get_view(replica)
        request = wire.WatchUpstreams(*place, *view, WATCH_MS)
        try:
            reply = await transport.call(
                replica, request, WATCH_MS * MS + REPLY_SECONDS
            )
        except errors.UnreachableError as error:
            if in_touch is not False:
                logs.log(
                    "warning",
                    f"lost a replica: {error.message}",
                    step="watch upstreams",
                    peer=replica,
                )
            in_touch = False
            await trio.sleep(RETRY_SECONDS)
            continue
        if not in_touch:
            logs.log(
                "info",
                "watches a replica",
                step="watch upstreams",
                peer=replica,
            )
        in_touch = True
        roll.adopt(replica, reply)
