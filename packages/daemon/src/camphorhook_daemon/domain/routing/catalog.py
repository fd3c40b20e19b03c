"""The upstreams that an instance knows, merged from all replicas."""

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import versions

SECONDS_PER_MS = 0.001
COMPLETE_AFTER_SECONDS = 4.0  # a new replica then knows every upstream
WATCH_MS = 1500  # a fraction of the time after which a watcher is lost
REPLY_MARGIN_SECONDS = 0.8  # longer than a packet's retransmission takes
RETRY_SECONDS = 0.25


class _ReplicaView:
    """Registrations and watchers as one replica reported them."""

    def __init__(self):
        self.epoch = ""
        self.position = 0
        self.registrations = {}
        self.answered_at = self.asked_at = float("-inf")
        self.is_complete = False
        self.watchers = {}
        self.watchers_version = -1

    def update_watchers(self, reply):
        """Apply the list of watchers in a reply, or its changes."""
        if reply.is_full:
            self.watchers = {}
        self.watchers |= reply.watchers
        for name, failure_domain in reply.watchers.items():
            if not failure_domain:
                del self.watchers[name]
        self.watchers_version = reply.watchers_version


class UpstreamCatalog:
    """The upstreams known to an instance, merged from all replicas.

    Attributes:
        read_time: function that returns a time in seconds which goes on
            while the machine is suspended.
        registrations: newest wire.Registration by name, without upstreams
            that are gone.
        cold_until: time in seconds by name, on the clock of `now`.
        changed: event that is set and replaced at each change.
    """

    def __init__(self, now=trio.current_time, read_boottime=None, memory=None):
        """Create a catalog without upstreams.

        Args:
            now: function that returns the time in seconds.
            read_boottime: function that returns a time in seconds which goes
                on while the machine is suspended; by default, `now`.
            memory: the versions.VersionMemory; by default, that of the first
                start of a fleet.
        """
        self._now = now
        self.read_time = read_boottime or now
        self._views = {}
        self._tombstones = {}
        self._began_at = self.read_time()
        self.versions = memory or versions.VersionMemory(now, True)
        self.registrations = {}
        self.cold_until = {}
        self.changed = trio.Event()

    def get_view(self, replica):
        """Return the state up to which a replica's changes are known.

        Returns:
            (epoch, position, version of the list of watchers).
        """
        view = self._views.setdefault(replica, _ReplicaView())
        return view.epoch, view.position, view.watchers_version

    def apply_reply(self, replica, reply, asked_at=float("-inf")):
        """Apply the wire.UpstreamsReply of a replica.

        Args:
            replica: its name.
            reply: the wire.UpstreamsReply.
            asked_at: time in seconds of `read_time` when it was asked; the
                reply holds all changes from before it.
        """
        view = self._views.setdefault(replica, _ReplicaView())
        if reply.changed or reply.removed or reply.is_full:
            self._record_versions()
        if reply.is_full:
            view.registrations = {}
        view.epoch = reply.epoch
        view.position = reply.position
        view.answered_at = self.read_time()
        view.asked_at = max(view.asked_at, asked_at)
        is_complete = reply.age_ms * SECONDS_PER_MS > COMPLETE_AFTER_SECONDS
        has_completed = is_complete and not view.is_complete
        view.is_complete = is_complete
        if reply.watchers is not None:
            view.update_watchers(reply)
        for registration in reply.changed:
            if self._is_unusable(replica, registration):
                continue
            view.registrations[registration.name] = registration
            self._record_cold_time(registration)
            self.versions.record(registration)
        for name in reply.removed:
            view.registrations.pop(name, None)
        if reply.changed or reply.removed or reply.is_full or has_completed:
            self._merge()

    def _is_unusable(self, replica, registration):
        """Return whether an older replica took an invalid registration."""
        if registration.state == registry.GONE:
            return False
        fault = registry.find_fault(registration)
        if fault:
            logs.log(
                "warning",
                f"ignored an upstream: {fault}",
                step="watch upstreams",
                peer=replica,
            )
        return bool(fault)

    def _record_cold_time(self, registration):
        until = self._now() + registration.cold_ms * SECONDS_PER_MS
        if registration.cold_ms > 0:
            known = self.cold_until.get(registration.name, 0.0)
            self.cold_until[registration.name] = max(known, until)

    def _record_versions(self):
        """Note which versions the upstreams have that are not gone."""
        for view in self._views.values():
            for one in view.registrations.values():
                if one.state != registry.GONE:
                    self.versions.record(one)

    def find_sole_version(self, service):
        """Return the only version that a service has had lately, or None.

        It is also None while this instance can't know: no replica answers,
        some have not answered yet, or it has just started.
        """
        if self.measure_contact_age() > registry.WATCHER_TTL_SECONDS:
            return None
        if not self.versions.is_complete() or not self._has_all_lists():
            return None
        found = self.list_recent_versions(service)
        return found.pop() if len(found) == 1 else None

    def list_recent_versions(self, service):
        """Return the set of versions that a service has had lately."""
        found = self.versions.find(service)
        return found | {one.version for one in self.list_service(service)}

    def has_confirmed(self, limit):
        """Return whether changes of any replica up to a time are known.

        Args:
            limit: time in seconds.
        """
        return any(view.asked_at >= limit for view in self._views.values())

    def list_unconfirmed(self, limit, max_silence):
        """Return the replicas of which changes may not be known here.

        Replicas that don't answer count as lost, unless none does.

        Args:
            limit: time in seconds; changes from before it have to be known.
            max_silence: seconds after which a replica does not answer.

        Returns:
            Their names; None if no replica has ever answered.
        """
        now = self.read_time()
        heard = {
            name: view
            for name, view in self._views.items()
            if view.answered_at > float("-inf")
        }
        answering = {
            name: view
            for name, view in heard.items()
            if now - view.answered_at < max_silence
        }
        if not heard:
            return None
        return [
            name
            for name, view in (answering or heard).items()
            if view.asked_at < limit
        ]

    def _has_all_lists(self):
        """Return whether each replica has answered, or is probably lost."""
        age = self.read_time() - self._began_at
        return age > registry.WATCHER_TTL_SECONDS or all(
            view.answered_at > float("-inf") for view in self._views.values()
        )

    def answer_versions(self):
        """Return the wire.VersionsReply to wire.ReadVersions."""
        self._record_versions()
        return self.versions.answer()

    def list_replicas(self):
        """Return the names of the replicas that answer."""
        now = self.read_time()
        return [
            name
            for name, view in self._views.items()
            if now - view.answered_at < registry.WATCHER_TTL_SECONDS
        ]

    def _merge(self):
        self._record_versions()
        merged = {}
        for view in self._views.values():
            for name, registration in view.registrations.items():
                if registry.is_newer(registration, merged.get(name)):
                    merged[name] = registration
        if not self._has_complete_view():
            for name, known in self.registrations.items():
                if registry.is_newer(known, merged.get(name)):
                    merged[name] = known
        self._apply_tombstones(merged)
        by_endpoint = {}
        for registration in merged.values():
            endpoint = (registration.address, registration.port)
            other = by_endpoint.get(endpoint)
            if registration.state == registry.GONE:
                continue
            if other is None or registration.incarnation > other.incarnation:
                by_endpoint[endpoint] = registration
        self.registrations = {one.name: one for one in by_endpoint.values()}
        for name in list(self.cold_until):
            if name not in self.registrations:
                del self.cold_until[name]
        self.changed.set()
        self.changed = trio.Event()

    def _apply_tombstones(self, merged):
        """Keep upstreams that leave or are gone from coming back.

        The replica that knew of it may have restarted, while another one
        holds, or receives late, an older registration of that incarnation.

        Args:
            merged: newest wire.Registration by name; it is changed.
        """
        now = self._now()
        for name, (registration, seen_at) in list(self._tombstones.items()):
            if now - seen_at > registry.TOMBSTONE_SECONDS:
                del self._tombstones[name]
            elif name in merged and registry.is_newer(
                registration, merged[name]
            ):
                merged[name] = registration
        for name, registration in merged.items():
            known = self._tombstones.get(name)
            if registration.state == registry.LIVE:
                continue
            if known is None or known[0] != registration:
                self._tombstones[name] = (registration, now)

    def _has_complete_view(self):
        """Return whether a reachable replica knows every upstream.

        A replica that has just started has not yet received the
        registrations of all upstreams; until then no upstream is removed
        because it lacks them.
        """
        now = self.read_time()
        return any(
            view.is_complete
            and now - view.answered_at < registry.WATCHER_TTL_SECONDS
            for view in self._views.values()
        )

    def has_registered(self, name, incarnation):
        """Return whether an incarnation is certainly still registering."""
        known = self.registrations.get(name)
        same = known is not None and known.incarnation == incarnation
        return (
            same and known.state == registry.LIVE and self._has_complete_view()
        )

    def measure_contact_age(self):
        """Return the seconds since a replica last answered."""
        answered_at = [view.answered_at for view in self._views.values()]
        return self.read_time() - max(answered_at, default=float("-inf"))

    def map_instances(self):
        """Return the instances that watch a reachable replica.

        Returns:
            Failure domain by name.
        """
        now = self.read_time()
        found = {}
        for view in self._views.values():
            if now - view.answered_at < registry.WATCHER_TTL_SECONDS:
                found.update(view.watchers)
        return found

    def count_instances(self):
        """Return the number of instances that share the upstreams, or 1."""
        counts = [len(view.watchers) for view in self._views.values()]
        return max(counts, default=1) or 1

    def list_service(self, service):
        """Return the registrations of a service's upstreams."""
        return [
            one
            for one in self.registrations.values()
            if one.service == service
        ]


def make_watch(instance, replica, catalog, wait_ms):
    """Return the wire.WatchUpstreams that an instance sends to a replica.

    Args:
        instance: (name, failure domain) of the instance.
        replica: name of the replica.
        catalog: the UpstreamCatalog.
        wait_ms: longest time to wait for a change, in milliseconds.
    """
    view = catalog.get_view(replica)
    return wire.WatchUpstreams(*instance, *view, wait_ms, True, True)


async def follow_replica(instance, replica, catalog, transport):
    """Apply the changes of one replica to an UpstreamCatalog, until cancelled.

    Args:
        instance: (name, failure domain) of this instance.
        replica: name of the replica to watch.
        catalog: the UpstreamCatalog.
        transport: a Transport.
    """
    is_connected = None
    while True:
        request = make_watch(instance, replica, catalog, WATCH_MS)
        asked_at = catalog.read_time()
        try:
            reply = await transport.call(
                replica,
                request,
                WATCH_MS * SECONDS_PER_MS + REPLY_MARGIN_SECONDS,
            )
        except errors.UnreachableError as error:
            if is_connected is not False:
                logs.log(
                    "warning",
                    f"lost a replica: {error.message}",
                    step="watch upstreams",
                    peer=replica,
                )
            is_connected = False
            await trio.sleep(RETRY_SECONDS)
            continue
        if not is_connected:
            logs.log(
                "info",
                "watches a replica",
                step="watch upstreams",
                peer=replica,
            )
        is_connected = True
        catalog.apply_reply(replica, reply, asked_at)
