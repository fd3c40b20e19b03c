"""The composition root: builds the components of an instance and runs them."""

import random
import signal

import trio

from camphorhook_common import clock as clocks
from camphorhook_common import logs
from camphorhook_common import timeline
from camphorhook_common import wire
from camphorhook_daemon.adapters import announcements
from camphorhook_daemon.adapters import callers
from camphorhook_daemon.adapters import curve
from camphorhook_daemon.adapters import journal
from camphorhook_daemon.adapters import message_handler
from camphorhook_daemon.adapters import meters
from camphorhook_daemon.adapters import operators
from camphorhook_daemon.adapters import peers
from camphorhook_daemon.adapters import servers
from camphorhook_daemon.adapters import upstreams
from camphorhook_daemon.domain import chats
from camphorhook_daemon.domain import configuration
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain import crashes
from camphorhook_daemon.domain import dispatcher
from camphorhook_daemon.domain import exchange
from camphorhook_daemon.domain import limits
from camphorhook_daemon.domain import membership
from camphorhook_daemon.domain import permits
from camphorhook_daemon.domain import replica
from camphorhook_daemon.domain import resumption
from camphorhook_daemon.domain import retries
from camphorhook_daemon.domain import services
from camphorhook_daemon.domain import state
from camphorhook_daemon.domain import streams
from camphorhook_daemon.domain import token_latency
from camphorhook_daemon.domain import verdicts

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SHUTDOWN_DELAY_SECONDS = 1.5
DRAIN_POLL_SECONDS = 0.05
EVICTION_INTERVAL_SECONDS = 5.0


class Components:
    """The components of one instance, each built once.

    Attributes:
        settings: the instance's Settings.
        active: number of callers' HTTP requests in flight.
        is_stopping: whether a graceful shutdown has begun.
        is_refusing: whether new requests are refused because the instance
            is about to exit.
        nursery: runs tasks that outlive a request.
    """

    def __init__(self, settings, *, is_founding=False):
        """Build the components; nothing runs and no port is open yet.

        Args:
            settings: the instance's Settings.
            is_founding: whether a replica with a new data folder is one of the
                first voters of the log.
        """
        self.settings = settings
        self.active = 0
        self.is_stopping = False
        self.is_refusing = False
        self.nursery = None
        self.clock = clocks.HybridClock()
        self.recorder = timeline.Recorder(
            settings.name, self.clock, settings.timeline_file
        )
        self.meter = meters.Meter(settings)
        self.transport = peers.PeerTransport(
            settings.name,
            settings.peers_listener,
            curve.CurveSecurity(settings),
            self.clock,
            self.meter,
        )
        self.configuration = configuration.Configuration()
        self._build_log(is_founding)
        self._build_routing()
        self._build_runners()

    def _build_log(self, is_founding):
        settings = self.settings
        self.replica = None
        self.watch_server = None
        if settings.is_replica():
            founding = None
            if is_founding:
                founding = journal.make_founding_checkpoint(
                    settings.list_replicas(), state.State().dump()
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
            )
            self.watch_server = configuration.WatchServer(
                self.replica, self.transport
            )
        self.watcher = configuration.Watcher(
            settings, self.configuration, self.transport, self.recorder
        )
        self.submitter = configuration.Submitter(
            settings, self.configuration, self.transport
        )

    def _build_routing(self):
        settings = self.settings
        self.directory = membership.Directory(self.recorder)
        self.evidence = crash_evidence.CrashEvidence(
            verdicts.ISOLATED_LIMIT, trio.current_time
        )
        instances = 1 + len(settings.peers)
        self.limits = limits.AccountLimits(
            settings.name, instances, self.clock
        )
        self.retries = retries.RetryBudgets()
        self.token_latency_monitor = token_latency.TokenLatencyMonitor()
        self.permit_manager = permits.PermitManager(
            settings,
            self.transport,
            self.directory,
            self.configuration,
            self.evidence,
        )
        self.dispatcher = dispatcher.Dispatcher(
            settings,
            self.configuration,
            self.directory,
            self.permit_manager,
            self.evidence,
            self.recorder,
        )
        self.exchanger = exchange.Exchanger(
            settings,
            self.transport,
            self.directory,
            self.evidence,
            self.limits,
            self.clock,
        )

    def _build_runners(self):
        self.crash_reporter = crashes.CrashReporter(
            self.evidence, self.directory, self.exchanger, self.recorder
        )
        self.upstreams = upstreams.HttpUpstreamClient(
            self.settings.upstream_ca
        )
        self.streams = streams.StreamStore()
        self.resumer = resumption.Resumer(
            self.directory, self.upstreams, self.transport
        )
        self.chat_runner = chats.ChatRunner(self)
        self.service_runner = services.ServiceRunner(self)

    def describe_state(self):
        """Return the instance's state.

        Returns:
            starting, ready, cut_off, drained, out or stopping.
        """
        settings = self.settings
        if self.is_stopping:
            return "stopping"
        if self.configuration.index < 0 or not self.exchanger.has_synced():
            return "starting"
        own = self.configuration.get_or_default("instances", settings.name)
        if own["state"] == "drain":
            return "drained"
        if self.configuration.is_domain_out(settings.failure_domain):
            return "out"
        return "ready" if self.configuration.is_fresh() else "cut_off"

    def describe_status(self):
        """Return the StatusReply of this instance."""
        log = self.replica
        return wire.StatusReply(
            self.settings.name,
            self.settings.failure_domain,
            self.configuration.index,
            self.describe_state(),
            log.role if log else "none",
            log.term if log else 0,
            log.last_index if log else 0,
            sorted(log.voters) if log else [],
            len(self.directory.list_live()),
            self.count_active(),
        )

    def count_active(self):
        """Return the number of requests in flight.

        Streams whose caller has disconnected are included.
        """
        return max(self.active, self.streams.count_running())


async def run(settings, *, is_founding=False):
    """Run an instance until SIGTERM or SIGINT, then shut it down.

    Args:
        settings: the instance's Settings.
        is_founding: whether a replica with a new data folder is one of the
            first voters of the log.
    """
    components = Components(settings, is_founding=is_founding)
    components.transport.open(
        message_handler.MessageHandler(components).handle, settings.peers
    )
    stopped = trio.Event()
    try:
        async with trio.open_nursery() as nursery:
            components.nursery = nursery
            _start_components(components, nursery)
            await _start_servers(components, nursery, stopped)
            components.recorder.record("instance.started")
            logs.log("info", "instance started", step="start")
            # A second signal must not interrupt the shutdown: the receiver
            # takes it while it is open, and afterwards it is ignored.
            for number in STOP_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
                await _wait_for_signal(signals)
                await _shut_down(components, stopped)
                nursery.cancel_scope.cancel()
    finally:
        components.transport.close()
    logs.log("info", "instance stopped", step="stop")


def _start_components(components, nursery):
    nursery.start_soon(components.transport.run)
    if components.replica is not None:
        nursery.start_soon(components.replica.run)
    nursery.start_soon(components.watcher.run)
    nursery.start_soon(components.exchanger.run)
    nursery.start_soon(components.directory.run)
    nursery.start_soon(_evict_expired, components)
    components.meter.register_gauge("requests.active", components.count_active)
    components.meter.register_gauge(
        "requests.queued", components.dispatcher.count_waiting
    )
    components.meter.register_gauge(
        "configuration.index", lambda: components.configuration.index
    )


async def _start_servers(components, nursery, stopped):
    settings = components.settings
    seconds = settings.limits.stop_seconds
    keys = operators.OperatorKeys(settings.operator_keys_file)
    served = (
        (
            callers.CallersApp(components),
            servers.make_config(
                settings.callers,
                seconds,
                settings.tls_certificate,
                settings.tls_key,
            ),
        ),
        (
            announcements.AnnouncementsApp(components),
            servers.make_config(settings.upstreams, 1.0),
        ),
        (
            operators.OperatorsApp(components, keys),
            servers.make_config(settings.operators, 1.0),
        ),
    )
    for app, config in served:
        await nursery.start(_serve, app, config, stopped)


async def _serve(app, config, stopped, task_status):
    await servers.serve(app, config, stopped, task_status)


async def _evict_expired(components):
    """Drop expired records, and reports of crashes that did not happen."""
    while True:
        await trio.sleep(EVICTION_INTERVAL_SECONDS)
        components.streams.evict_expired()
        components.crash_reporter.retract_false_crashes()
        components.evidence.evict_expired()
        components.permit_manager.evict_expired()


async def _wait_for_signal(signals):
    async for number in signals:
        logs.log("info", f"received signal {number}", step="stop")
        return


async def _shut_down(components, stopped):
    """Withdraw readiness, hand over leadership, drain and close.

    New requests are served for a while after readiness is withdrawn, so
    that load balancers stop sending them before they are refused.
    """
    components.is_stopping = True
    components.exchanger.is_stopping = True
    components.recorder.record("instance.stopping")
    if components.replica is not None:
        await components.replica.transfer_leadership()
    with trio.move_on_after(components.settings.limits.stop_seconds):
        await trio.sleep(SHUTDOWN_DELAY_SECONDS)
        while components.count_active():
            await trio.sleep(DRAIN_POLL_SECONDS)
    components.is_refusing = True
    stopped.set()
    await trio.sleep(DRAIN_POLL_SECONDS)
    components.recorder.record("instance.stopped")
