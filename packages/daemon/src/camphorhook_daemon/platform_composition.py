"""The composition root of an instance on the platform."""

import random
import signal
import struct

import trio

from camphorhook_common import clock as clocks
from camphorhook_common import logs
from camphorhook_common import timeline
from camphorhook_common import wire
from camphorhook_daemon.adapters import client_guard
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.adapters import exposition
from camphorhook_daemon.adapters import handover
from camphorhook_daemon.adapters import journal
from camphorhook_daemon.adapters import listeners
from camphorhook_daemon.adapters import message_handler
from camphorhook_daemon.adapters import metrics
from camphorhook_daemon.adapters import notices
from camphorhook_daemon.adapters import origin_files
from camphorhook_daemon.adapters import peers
from camphorhook_daemon.adapters import request_app
from camphorhook_daemon.domain import comparison
from camphorhook_daemon.domain import configuration
from camphorhook_daemon.domain import confirmations
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain import joining
from camphorhook_daemon.domain import leaving
from camphorhook_daemon.domain import machine_limits
from camphorhook_daemon.domain import replica
from camphorhook_daemon.domain import rollouts
from camphorhook_daemon.domain.routing import announced_versions
from camphorhook_daemon.domain.routing import bodies
from camphorhook_daemon.domain.routing import cache_index
from camphorhook_daemon.domain.routing import catalog as catalogs
from camphorhook_daemon.domain.routing import departures
from camphorhook_daemon.domain.routing import dissemination
from camphorhook_daemon.domain.routing import durable_origins
from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.domain.routing import gateway_attempts
from camphorhook_daemon.domain.routing import gateways
from camphorhook_daemon.domain.routing import links
from camphorhook_daemon.domain.routing import loads
from camphorhook_daemon.domain.routing import outcomes
from camphorhook_daemon.domain.routing import placement_preview
from camphorhook_daemon.domain.routing import places
from camphorhook_daemon.domain.routing import pressure
from camphorhook_daemon.domain.routing import publishing
from camphorhook_daemon.domain.routing import rate_permits
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import rollout_reports
from camphorhook_daemon.domain.routing import rollout_shares
from camphorhook_daemon.domain.routing import rules
from camphorhook_daemon.domain.routing import selection
from camphorhook_daemon.domain.routing import stream_origins
from camphorhook_daemon.domain.routing import upstream_limits
from camphorhook_daemon.domain.routing import version_checks
from camphorhook_daemon.domain.routing import versions
from camphorhook_daemon.domain.routing import withdrawals
from camphorhook_daemon.domain import shutdowns
from camphorhook_daemon.domain import state
from camphorhook_daemon.domain import verdicts
from camphorhook_daemon.platform import control
from camphorhook_daemon.platform import documents
from camphorhook_daemon.platform import entry
from camphorhook_daemon.platform import protocol
from camphorhook_daemon.ports import upstreams as ports

# Dead connections are detected within the time of a lease, so that its
# holder can still reach the rest.
LINK_TIMING = peers.LinkTiming(700, 2000, 50, 400)
TASK_INTERVAL_SECONDS = 0.5
REPLICA_SCAN_SECONDS = 1.0
# Two readiness checks, one second apart, must fail before the drain begins.
SHUTDOWN_DELAY_SECONDS = 2.6
LAST_REPLIES_SECONDS = 0.05  # closing the sockets discards unsent messages
HELD_PARTS_TIMEOUT_SECONDS = 1.0  # for one engine
MAX_HANDOVER_BYTES = 4096  # of the headers of a request handed over
MAX_PROBE_BYTES = 64 * 1024  # of an answer to a probe
MAX_HELD_PARTS_BYTES = 4 * 1024 * 1024  # tens of thousands of parts


class _LocalReplicaView:
    """Members and leader of the log, as the local replica knows them.

    A Submitter takes it in place of a Configuration. The leader that a
    reply named is used while the replica knows none.
    """

    def __init__(self, local_replica):
        self._local_replica = local_replica
        self._leader_hint = ""

    @property
    def replicas(self):
        return self._local_replica.list_members()

    @property
    def leader(self):
        return self._local_replica.leader or self._leader_hint

    @leader.setter
    def leader(self, name):
        self._leader_hint = name


class Components:
    """The components of one instance, each built once.

    Attributes:
        settings: the platform's Settings.
        is_stopping: whether a graceful shutdown has begun; from then on,
            clients' connections are closed after their answer.
    """

    def __init__(self, settings, began_at):
        self.settings = settings
        self._began_at = began_at
        self.is_stopping = False
        self.shutdown = shutdowns.Shutdown()
        self.listeners = []
        clock = clocks.HybridClock()
        self.counts = metrics.Metrics()
        self.recorder = timeline.Recorder(settings.label, clock)
        bounds = machine_limits.calculate_bounds(
            settings.machine, client_guard.measure_resident_bytes()
        )
        self.guard = client_guard.ClientGuard(
            bounds, self.counts, settings.machine.unread_seconds
        )
        logs.log(
            "info",
            "bounds of all clients",
            step="start",
            inputs=bounds._asdict(),
        )
        self.transport = peers.PeerTransport(
            settings.name,
            settings.peers_listener,
            peers.NullSecurity(),
            clock,
            self.counts,
            LINK_TIMING,
            settings.locate,
        )
        self.replica = None
        self.watch_server = None
        self.registry = None
        self.forwarder = None
        self._listen(
            settings.metrics,
            exposition.MetricsApp(
                self.counts,
                self.preview_placement if settings.callers else None,
            ).handle,
            listeners.Limits,
        )

    def build_replica(self):
        """Build the components of a replica.

        They keep the log and the registrations and serve the control API.
        """
        settings = self.settings
        now = clocks.read_boottime
        founding = None
        if settings.founds and settings.name in settings.seeds:
            founding = journal.make_founding_checkpoint(
                settings.seeds, state.State().dump()
            )
        self.journal = journal.DiskJournal(
            settings.data_folder, settings.name, founding
        )
        self.replica = replica.Replica(
            settings,
            self.journal,
            state.State(),
            self.transport,
            self.recorder,
            random.Random(f"{settings.name}{self.journal.vote}"),
            now,
            settings.most_voters,
            self._began_at,
        )
        self.watch_server = configuration.WatchServer(
            self.replica, self.transport, now
        )
        self.submitter = configuration.Submitter(
            settings, _LocalReplicaView(self.replica), self.transport
        )
        self.registry = registry.Registry(
            settings.heartbeat_seconds,
            self.recorder,
            is_first=settings.founds,
        )
        self.announced_versions = announced_versions.AnnouncedVersions(
            settings.name, self.replica, self.submitter, self.transport
        )
        self.departures = departures.Departures(
            settings.name, self.replica, self.registry, self.submitter
        )
        self.origins = durable_origins.DurableOrigins(
            stream_origins.StreamOrigins(
                settings.name,
                dict,
                self.transport,
                trio.current_time,
                most=stream_origins.MAX_REPLICA_ORIGINS,
            ),
            origin_files.OriginFiles(
                settings.data_folder, stream_origins.MAX_SECONDS
            ),
        )
        watch = self.counts.register_gauge
        watch("log_term", lambda: self.replica.term)
        watch("log_commit", lambda: self.replica.commit_index)
        watch("log_leads", lambda: self.replica.role == "leader")
        watch("log_votes", lambda: self.replica.is_voter)
        watch("upstreams_heard", lambda: len(self.registry.list_names()))
        self.rollouts = rollouts.Rollouts(
            settings.name, self.replica, settings, now
        )
        if settings.exposure_share is not None:
            self.counts.register_gauges(
                "rollout", "service", self.rollouts.list_gauges
            )
        app = control.ControlApp(
            settings,
            self.registry,
            self.announced_versions,
            self.departures,
            self.replica,
            self.submitter,
            self.watch_server,
        )
        self._listen(settings.control, app.handle, listeners.Limits)

    def build_entry(self):
        """Build the components of an entry instance, which serves clients."""
        settings = self.settings
        now = clocks.read_boottime
        self.configuration = configuration.Configuration(now)
        self.watcher = configuration.Watcher(
            settings, self.configuration, self.transport, self.recorder, now
        )
        self.rules = rules.Rules(
            settings,
            self.configuration,
            documents.read,
            lambda: now() - self._began_at,
        )
        self.catalog = catalogs.UpstreamCatalog(
            trio.current_time,
            now,
            versions.VersionMemory(trio.current_time, settings.founds),
        )
        self.cache_index = cache_index.CacheIndex()
        self.loads = loads.FleetLoads(settings.name, trio.current_time)
        self.outcomes = outcomes.Outcomes(trio.current_time)
        self.withdrawals = withdrawals.Withdrawals(trio.current_time)
        self.limits = upstream_limits.UpstreamLimits(trio.current_time)
        self.evidence = crash_evidence.CrashEvidence(
            verdicts.SHARED_LIMIT, trio.current_time
        )
        self.pressure = pressure.Pressure(trio.current_time)
        self.dissemination = dissemination.Dissemination(
            settings.name,
            self.loads,
            self.cache_index,
            self.outcomes,
            self.withdrawals,
            self.limits,
            self.evidence,
            self.pressure,
            trio.current_time,
        )
        self.rate_permits = rate_permits.RatePermits(
            self._make_holders(),
            self.limits,
            self.transport,
            trio.current_time,
        )
        self.places = places.Places(
            settings.name,
            self._make_holders(),
            self.pressure,
            lambda name: self.loads.sum_load(name)[0],
            self.transport,
            trio.current_time,
            self.is_ordered,
            self.counts,
        )
        self.notices = notices.NoticeExchange(
            settings.name,
            settings.notices_listener,
            settings.locate_notices,
            LINK_TIMING,
        )
        self.origins = stream_origins.StreamOrigins(
            settings.name,
            self.catalog.map_instances,
            self.transport,
            trio.current_time,
            self.catalog.list_replicas,
        )
        self.pool = connection_pool.ConnectionPool()
        self.version_shares = rollout_shares.VersionShares(
            settings, self.configuration, now
        )
        self.rollout_reporter = rollout_reports.Reporter(
            settings.name,
            self.version_shares,
            self.catalog,
            self.configuration,
            self.transport,
            now,
        )
        self.selector = selection.Selector(
            self.catalog,
            self.cache_index,
            self.loads,
            self.outcomes,
            self.withdrawals,
            self.limits,
            self.rate_permits,
            self.places,
            self.rules,
            (settings.name, settings.failure_domain),
            self.version_shares,
        )
        self.gateways = gateways.Gateways(
            settings.name,
            self.catalog.map_instances,
            settings.locate_gateway,
            self.transport,
            self.count_active,
            trio.current_time,
        )
        self.links = self.gateways.links = links.Links(
            self.pool,
            self.list_probed,
            self.probe,
            self.gateways.ask,
            trio.current_time,
        )
        # Refusals of older instances don't repeat the request's id.
        self.gateway_pool = connection_pool.ConnectionPool(requires_id=False)
        self.version_checks = version_checks.VersionChecks(
            (settings.name, settings.failure_domain),
            self.configuration,
            confirmations.Confirmations(
                self.configuration, self.watcher, self.transport, now
            ).confirm,
            self.catalog,
            self.transport,
        )
        self.forwarder = forwarding.Forwarder(
            self.selector,
            self.origins,
            self.version_checks,
            self.evidence,
            self.pool,
            protocol,
            self.rules,
            self.counts,
            gateway_attempts.GatewayAttempts(
                self.gateways,
                self.gateway_pool,
                handover,
                self.counts,
                trio.current_time,
            ),
            trio.current_time,
        )
        app, gateway_app = (
            request_app.RequestApp(
                protocol_module,
                self.forwarder,
                self.rules,
                self.counts,
                self.shutdown,
            )
            for protocol_module in (entry, handover)
        )
        self._listen(
            settings.locate_gateway(settings.name),
            gateway_app.handle,
            self._read_gateway_limits,
            is_internal=True,
            refusal_headers=handover.REFUSAL_HEADERS,
        )
        watch = self.counts.register_gauge
        watch("document_version", self.rules.get_version)
        watch("document_age_ms", self.rules.measure_age_ms)
        watch("instances_heard", self.loads.count_reporting_instances)
        watch("upstreams_known", lambda: len(self.catalog.registrations))
        watch("connections_opened", lambda: self.pool.opened)
        watch("places_waiting", self.places.count_waiting)
        watch("requests_active", self.count_active)
        watch("links_cut_off", lambda: self.links.is_cut_off)
        self._listen(settings.callers, app.handle, self._read_limits)
        self._listen(
            settings.readiness,
            entry.ReadinessApp(self._is_ready).handle,
            listeners.Limits,
        )

    def list_known_replicas(self):
        """Return the names of all replicas that this instance knows."""
        known = self.settings.list_replicas()
        return sorted({*known, *self.configuration.replicas})

    def _make_holders(self):
        return rate_permits.Holders(
            self.settings.name,
            self.catalog.map_instances,
            self.catalog.measure_contact_age,
            trio.current_time,
        )

    def _listen(self, address, handle, read_limits, **options):
        self.listeners.append(
            listeners.Listener(
                address,
                handle,
                read_limits,
                lambda: self.is_stopping,
                self.guard,
                **options,
            )
        )

    def _read_limits(self):
        table = self.rules.get_table()
        if table is None:
            return listeners.Limits()
        return listeners.Limits(*table.limits)

    def _read_gateway_limits(self):
        """Return the limits of clients, with room for additional headers."""
        limits = self._read_limits()
        return limits._replace(
            header_bytes=2 * limits.header_bytes + MAX_HANDOVER_BYTES
        )

    def _is_ready(self):
        return not self.is_stopping and self.rules.is_current()

    def list_engines(self):
        """Return the wire.Registration of each known engine."""
        table = self.rules.get_table()
        services = table.services.values() if table else ()
        return [
            registration
            for service in services
            if service.is_engine
            for registration in self.catalog.list_service(service.name)
        ]

    def list_probed(self):
        """Return the wire.Registration of each upstream that is live."""
        return [
            one
            for one in self.catalog.registrations.values()
            if one.state == registry.LIVE
            and not self.withdrawals.is_leaving(one)
        ]

    def is_ordered(self, service):
        """Return whether accounts and target times order its scarce places.

        It takes a service whose upstreams tell their speed.
        """
        return self.selector.reports_speed(service, trio.current_time())

    def preview_placement(self, host, path, parts, request):
        """Return placement_preview.preview of a request.

        Args:
            host: host name.
            path: path without its query.
            parts: ID:TOKENS entries of its prompt, separated by commas.
            request: its id.
        """
        demand = placement_preview.Demand(
            request, host, path, handover.read_parts(parts)
        )
        return placement_preview.preview(
            demand, self.rules, self.selector, trio.current_time()
        )

    async def probe(self, upstream, seconds):
        """Return whether an upstream answers on a new connection.

        Args:
            upstream: its wire.Registration.
            seconds: longest time to wait.
        """
        table = self.rules.get_table()
        service = table.services.get(upstream.service) if table else None
        if service is None:
            return False
        path = service.health_path
        if service.is_engine:
            path = protocol.REPORT_PATH
        call = ports.Call("GET", path, [], b"", seconds, True)
        with trio.move_on_after(seconds):
            try:
                async with self.pool.open(upstream, call) as answer:
                    self.forwarder.record_load(
                        upstream, protocol.read_head_info(answer.head)
                    )
                    await bodies.read_start(answer, MAX_PROBE_BYTES)
                return True
            except (ports.AttemptError, ports.RequestUnsendable) as error:
                logs.log("info", error.format(), step="probe upstream")
        return False

    async def fetch_held_parts(self, engine):
        """Return the prompt parts that an engine caches.

        Args:
            engine: the engine's wire.Registration.

        Returns:
            (part, tokens) pairs: a part's id and its length in tokens.

        Raises:
            ports.AttemptError: the engine did not answer completely.
            ports.SendWithheld: the engine leaves, wants a pause, is limited
                or in a failure domain that is taken out of service.
        """
        call = ports.Call(
            "GET",
            protocol.HELD_PARTS_PATH,
            [],
            b"",
            HELD_PARTS_TIMEOUT_SECONDS,
            find_obstacle=lambda: self.selector.find_obstacle(
                engine, None, trio.current_time()
            ),
        )
        sent_at = trio.current_time()
        with trio.move_on_after(HELD_PARTS_TIMEOUT_SECONDS):
            async with self.pool.open(engine, call) as answer:
                head_info = protocol.read_head_info(answer.head)
                self.forwarder.record_load(engine, head_info)
                self.forwarder.record_statements(engine, head_info, sent_at)
                body, is_whole = await bodies.read_start(
                    answer, MAX_HELD_PARTS_BYTES
                )
                if is_whole:
                    return protocol.read_held_parts(body)
        raise ports.AttemptError(
            f"the list of parts did not end within {MAX_HELD_PARTS_BYTES} "
            f"bytes and {HELD_PARTS_TIMEOUT_SECONDS:g} s",
            step="take stock",
            peer=engine.name,
            sent=True,
        )

    def apply_message(self, message):
        """Apply a message that another instance published."""
        if isinstance(message, wire.Notice):
            self.dissemination.apply_notice(message)
            return
        if not isinstance(message, wire.Summary):
            if self.dissemination.apply_news(message):
                self.forwarder.changed.set()
            return
        try:
            self.dissemination.apply_summary(
                message, self.catalog.registrations
            )
        except struct.error as error:
            logs.log(
                "warning",
                f"dropped an invalid summary: {error}",
                step="adopt summary",
                peer=message.sender,
            )

    def evict_crashes(self):
        """Drop old crashes, and those of upstreams that still register."""
        self.evidence.retract_surviving(
            self.catalog.has_registered, self.settings.heartbeat_seconds
        )
        self.evidence.evict_expired()

    def evict_limits(self):
        """Forget the limits and permits of upstreams that are gone."""
        self.limits.retain(self.catalog.registrations)
        self.selector.speeds.retain(self.catalog.registrations.keys())
        self.pool.retain(self.catalog.registrations)
        self.gateway_pool.retain(self.catalog.map_instances())
        table = self.rules.get_table()
        self.places.retain(table.services if table else ())
        if table is not None:
            self.shutdown.retain(route.name for route in table.routes)
            self.selector.costs.retain(route.name for route in table.routes)
        self.rate_permits.retain(self.catalog.registrations)

    def count_active(self):
        """Return the number of requests in flight on all listeners."""
        return sum(listener.active for listener in self.listeners)


async def run(settings, began_at):
    """Run an instance until SIGTERM or SIGINT, then shut it down.

    SIGHUP reloads the settings file.

    Args:
        settings: the platform's ReloadableSettings.
        began_at: start of the process, in seconds of
            `clock.read_boottime`.
    """
    components = Components(settings, began_at)
    if settings.control is not None:
        components.build_replica()
    if settings.callers is not None:
        components.build_entry()
    components.transport.open(
        message_handler.MessageHandler(components).handle
    )
    logs.log("info", "instance started", step="start")
    try:
        async with trio.open_nursery() as nursery:
            _start(components, nursery)
            with trio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    settings.reload()
                await _stop(components)
                nursery.cancel_scope.cancel()
    finally:
        components.transport.close()
        if components.forwarder is not None:
            components.notices.close()
    logs.log("info", "instance stopped", step="stop")


def _start(components, nursery):
    nursery.start_soon(components.transport.run)
    nursery.start_soon(
        _run_periodically, lambda: _reload_changed(components.settings)
    )
    for listener in components.listeners:
        nursery.start_soon(listener.run)
    if components.replica is not None:
        nursery.start_soon(components.replica.run)
        nursery.start_soon(
            joining.join,
            components.replica,
            components.journal.identity,
            components.settings,
            components.transport,
        )
        nursery.start_soon(
            _run_periodically, components.registry.evict_expired
        )
        nursery.start_soon(components.origins.run)
        nursery.start_soon(components.departures.follow)
        nursery.start_soon(components.departures.evict_expired)
        nursery.start_soon(components.announced_versions.evict_unseen)
        nursery.start_soon(components.rollouts.run)
    if components.forwarder is not None:
        nursery.start_soon(components.watcher.run)
        nursery.start_soon(components.rules.follow)
        nursery.start_soon(_watch_replicas, components, nursery)
        components.notices.open()
        nursery.start_soon(
            components.notices.receive, components.apply_message
        )
        nursery.start_soon(
            publishing.publish_notices,
            components.forwarder,
            components.dissemination,
            components.catalog.map_instances,
            components.notices,
        )
        nursery.start_soon(
            publishing.publish_summaries,
            components.dissemination,
            components.notices,
        )
        nursery.start_soon(components.origins.run)
        nursery.start_soon(components.places.run)
        nursery.start_soon(components.rollout_reporter.run)
        nursery.start_soon(components.links.run)
        nursery.start_soon(components.gateways.run)
        nursery.start_soon(
            _run_periodically, components.gateway_pool.close_expired
        )
        nursery.start_soon(_learn_placements, components)
        nursery.start_soon(
            versions.learn,
            components.settings.name,
            components.catalog.versions,
            components.catalog.map_instances,
            components.list_known_replicas,
            components.transport,
        )
        nursery.start_soon(_run_periodically, components.pool.close_expired)
        nursery.start_soon(_run_periodically, components.evict_crashes)
        nursery.start_soon(_run_periodically, components.evict_limits)
        for records in (components.evidence, components.limits):
            nursery.start_soon(
                comparison.follow,
                components.settings.name,
                records,
                components.catalog.map_instances,
                components.transport,
            )


def _reload_changed(settings):
    """Reload the settings file if it was changed without a signal."""
    if settings.has_changed():
        settings.reload()


async def _run_periodically(task):
    while True:
        await trio.sleep(TASK_INTERVAL_SECONDS)
        task()


async def _watch_replicas(components, nursery):
    """Watch the upstreams that each replica knows, new replicas included."""
    watched = set()
    while True:
        for name in components.list_known_replicas():
            if name not in watched:
                watched.add(name)
                nursery.start_soon(
                    catalogs.follow_replica,
                    (
                        components.settings.name,
                        components.settings.failure_domain,
                    ),
                    name,
                    components.catalog,
                    components.transport,
                )
        await trio.sleep(REPLICA_SCAN_SECONDS)


async def _learn_placements(components):
    """Learn which engines cache which prompt parts.

    The other instances are asked first, then the engines themselves.
    """
    if components.settings.founds:
        # At the first start of a fleet there are no placements to learn.
        components.cache_index.is_synced = True
        return
    arguments = (components.settings.name, components.cache_index)
    instances = components.catalog.map_instances
    if await cache_index.load_from_instances(
        *arguments, instances, components.transport
    ):
        return
    await cache_index.load_from_engines(
        *arguments,
        components.list_engines,
        instances,
        components.fetch_held_parts,
    )


async def _stop(components):
    """Withdraw readiness, hand over leadership and vote, and drain."""
    logs.log("info", "received SIGTERM", step="stop")
    components.is_stopping = True
    components.shutdown.begin(components.settings.stop_seconds)
    with trio.move_on_after(components.settings.stop_seconds):
        async with trio.open_nursery() as nursery:
            if components.replica is not None:
                nursery.start_soon(_leave, components)
            if components.forwarder is not None:
                nursery.start_soon(_drain, components)
    await components.shutdown.cut_off()


async def _leave(components):
    """Let watchers and the vote go to other replicas."""
    components.watch_server.close()
    await leaving.leave(
        components.replica, components.journal.identity, components.transport
    )
    await trio.sleep(LAST_REPLIES_SECONDS)


async def _drain(components):
    await trio.sleep(SHUTDOWN_DELAY_SECONDS)
    # From now on, clients that send another request must reach another
    # instance; otherwise this one might never become idle.
    await listeners.drain(components.listeners)
