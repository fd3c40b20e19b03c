"""Entry instances built from the product's modules, and modelled servers."""

import collections
import functools

import trio

from camphorhook_common import settings
from camphorhook_common import wire
from camphorhook_daemon.adapters import metrics
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain.routing import budgets
from camphorhook_daemon.domain.routing import cache_index
from camphorhook_daemon.domain.routing import catalog as catalogs
from camphorhook_daemon.domain.routing import dissemination
from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.domain.routing import gateway_attempts
from camphorhook_daemon.domain.routing import gateways
from camphorhook_daemon.domain.routing import links
from camphorhook_daemon.domain.routing import loads
from camphorhook_daemon.domain.routing import outcomes
from camphorhook_daemon.domain.routing import places
from camphorhook_daemon.domain.routing import pressure
from camphorhook_daemon.domain.routing import publishing
from camphorhook_daemon.domain.routing import rate_permits
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import selection
from camphorhook_daemon.domain.routing import stream_origins
from camphorhook_daemon.domain.routing import table as tables
from camphorhook_daemon.domain.routing import upstream_limits
from camphorhook_daemon.domain.routing import withdrawals
from camphorhook_daemon.domain import verdicts
from tools.emulator import network
from tools.emulator import plans
from tools.emulator import servers

REGISTRATION_INTERVAL_SECONDS = 1.2
RESTART_SECONDS = 3.0  # after a request crashed a server
REGISTRATION_DELAY_SECONDS = 0.05  # until instances know of a restart
MAX_CONNECTIONS = 500


class _FixedConfiguration:
    """The configuration in force, which does not change during a trial."""

    def __init__(self, plan):
        services = [
            tables.Service(
                one.name,
                "/health",
                MAX_CONNECTIONS,
                one.cold_per_s,
                one.is_engine,
                one.slots,
                one.memory_tokens,
                one.copy_tokens,
            )
            for one in plan.services
        ]
        self._plan = plan
        self._table = tables.RoutingTable(
            1, [], services, tables.ClientLimits(16384, 1 << 22, 10, 30), None
        )

    def get_table(self):
        """Return the RoutingTable."""
        return self._table

    def is_current(self):
        """Return True: API keys are always accepted."""
        return True

    def list_excluded_domains(self):
        """Return an empty set: no failure domain is excluded."""
        return frozenset()

    def make_retry_budget(self):
        """Return a new RetryBudget with the settings of the plan."""
        plan = self._plan
        return budgets.RetryBudget(
            plan.retry_ratio, plan.retry_slack, plan.retry_window_s
        )


class _NullMetrics:
    """Metrics that discard all values."""

    def add(self, name, amount=1, **labels):
        """Discard a count."""

    def observe(self, name, seconds, **labels):
        """Discard a duration."""


class _CurrentVersions:
    """Version checks of an instance that knows all registrations."""

    async def find_sole(self, _service):
        """Return None, as modelled clients name their first requests."""
        return None

    def has_several(self, _service):
        """Return that the engines have one version."""
        return False

    def is_in_step(self):
        """Return that changes are known."""
        return True

    async def refresh(self):
        """Return that all registrations are known."""
        return True


class Instance:
    """An entry instance: the product's routing on a modelled network.

    Attributes:
        name: of the instance.
        domain: its failure domain.
        forwarder: the product's forwarding.Forwarder.
        pool: the modelled network.Pool.
        was_cut: it was cut off from all servers at some time.
    """

    def __init__(self, name, domain, fleet, policy):
        self.name = name
        self.domain = domain
        self.was_cut = False
        now = trio.current_time
        self.catalog = catalogs.UpstreamCatalog(now)
        self.cache_index = cache_index.CacheIndex()
        self.loads = loads.FleetLoads(name, now)
        self.outcomes = outcomes.Outcomes(now)
        self.withdrawals = withdrawals.Withdrawals(now)
        self.limits = upstream_limits.UpstreamLimits(now)
        self.evidence = crash_evidence.CrashEvidence(
            verdicts.SHARED_LIMIT, now
        )
        self.pressure = pressure.Pressure(now)
        self.dissemination = dissemination.Dissemination(
            name,
            self.loads,
            self.cache_index,
            self.outcomes,
            self.withdrawals,
            self.limits,
            self.evidence,
            self.pressure,
            now,
        )
        transport = fleet.bus.connect(name, self.answer)
        self.permits = rate_permits.RatePermits(
            rate_permits.Holders(
                name,
                self.catalog.map_instances,
                self.catalog.measure_contact_age,
                now,
            ),
            self.limits,
            transport,
            now,
        )
        self.places = places.Places(
            name,
            rate_permits.Holders(
                name,
                self.catalog.map_instances,
                self.catalog.measure_contact_age,
                now,
            ),
            self.pressure,
            lambda one: self.loads.sum_load(one)[0],
            transport,
            now,
            lambda service: False,
            metrics.Metrics(),
        )
        self.origins = stream_origins.StreamOrigins(
            name, self.catalog.map_instances, transport, now
        )
        self.exchange = fleet.bus.join(name, self._apply_message)
        self.pool = network.Pool(
            domain, fleet.servers, fleet.get_delay, fleet.arrivals
        )
        rules = _FixedConfiguration(fleet.plan)
        selector = policy(
            self.catalog,
            self.cache_index,
            self.loads,
            self.outcomes,
            self.withdrawals,
            self.limits,
            self.permits,
            self.places,
            rules,
            (name, domain),
        )
        self.gateways = gateways.Gateways(
            name,
            self.catalog.map_instances,
            lambda one: settings.Endpoint(one, 1),
            transport,
            lambda: sum(one[0] for one in self.loads.list_own().values()),
            now,
        )
        self.links = self.gateways.links = links.Links(
            self.pool,
            lambda: list(self.catalog.registrations.values()),
            self.pool.probe,
            self.gateways.ask,
            now,
        )
        far = fleet.plan.far_ms * plans.SECONDS_PER_MS
        self.gateway_pool = network.GatewayPool(fleet, self.pool, far)
        self.forwarder = forwarding.Forwarder(
            selector,
            self.origins,
            _CurrentVersions(),
            self.evidence,
            self.pool,
            network.Protocol(),
            rules,
            _NullMetrics(),
            gateway_attempts.GatewayAttempts(
                self.gateways,
                self.gateway_pool,
                network.HandoverProtocol(),
                _NullMetrics(),
                now,
            ),
            now,
        )

    def _apply_message(self, message):
        if isinstance(message, wire.Notice):
            self.dissemination.apply_notice(message)
        elif isinstance(message, wire.Summary):
            self.dissemination.apply_summary(
                message, self.catalog.registrations
            )
        elif self.dissemination.apply_news(message):
            self.forwarder.changed.set()

    @functools.singledispatchmethod
    async def answer(self, message):
        """Return the reply to a message of another instance."""
        raise TypeError(f"unexpected message type {type(message).__name__}")

    @answer.register
    async def _(self, message: wire.AcquireRatePermit):
        return self.permits.grant(message)

    @answer.register(wire.AcquirePlace)
    @answer.register(wire.AcquireOrderedPlace)
    async def _(self, message):
        return await self.places.grant(message)

    @answer.register
    async def _(self, message: wire.ReleasePlace):
        return self.places.handle_release(message)

    @answer.register
    async def _(self, message: wire.ReadContacts):
        return self.gateways.answer(message, self.pool.heard_at)

    @answer.register
    async def _(self, message: wire.StoreOrigin):
        return self.origins.store(message)

    @answer.register
    async def _(self, message: wire.FindOrigin):
        return self.origins.answer(message)

    def start(self, nursery):
        """Start the tasks that send messages to other instances."""
        nursery.start_soon(self.origins.run)
        nursery.start_soon(self.places.run)
        nursery.start_soon(self.links.run)
        nursery.start_soon(self.gateways.run)
        nursery.start_soon(
            publishing.publish_notices,
            self.forwarder,
            self.dissemination,
            self.catalog.map_instances,
            self.exchange,
        )
        nursery.start_soon(
            publishing.publish_summaries, self.dissemination, self.exchange
        )


class Fleet:
    """All instances and servers of a plan.

    Attributes:
        plan: the plans.Plan.
        servers: servers by name.
        instances: the list of Instances.
        bus: the network.Bus that carries their notices.
        arrivals: number of requests that reached servers, by service.
    """

    def __init__(self, plan, policy=selection.Selector):
        """Create the fleet; trio must be running, for the clock.

        Args:
            plan: the plans.Plan.
            policy: class or function that creates an instance's selector;
                see policies.POLICIES.
        """
        self.plan = plan
        self.arrivals = collections.Counter()
        self.bus = network.Bus(plan.far_ms * plans.SECONDS_PER_MS)
        self.servers = {}
        for spec in plan.services:
            for number in range(spec.servers):
                server = servers.make_server(spec, number, plan.domains)
                self.servers[server.name] = server
        self.instances = [
            Instance(
                f"10.{n % plan.domains}.0.{n}",
                f"domain-{n % plan.domains}",
                self,
                policy,
            )
            for n in range(plan.instances)
        ]
        self._incarnations = collections.Counter()

    def find_instance(self, name):
        """Return the Instance with a name."""
        return next(one for one in self.instances if one.name == name)

    def get_delay(self, one, other):
        """Return the one-way delay between two failure domains in seconds."""
        near = one == other
        return (
            self.plan.link_ms if near else self.plan.far_ms
        ) * plans.SECONDS_PER_MS

    def start(self, nursery):
        """Start the tasks of all servers and instances."""
        self.bus.start(nursery)
        self._publish_registrations()
        for server in self.servers.values():
            nursery.start_soon(server.run)
            nursery.start_soon(self._restart_crashed, server)
        for instance in self.instances:
            instance.start(nursery)
        nursery.start_soon(self._republish_registrations)

    async def _restart_crashed(self, server):
        while True:
            await server.crashed.wait()
            server.crashed = trio.Event()
            await self.crash(server, RESTART_SECONDS)

    async def _republish_registrations(self):
        while True:
            await trio.sleep(REGISTRATION_INTERVAL_SECONDS)
            self._publish_registrations()

    def _publish_registrations(self):
        """Give every instance the registrations of all running servers."""
        now = trio.current_time()
        registrations = [
            wire.Registration(
                server.name,
                server.spec.name,
                server.domain,
                "10.9.9.9",
                1 + number,
                server.incarnation,
                1,
                registry.LIVE,
                server.spec.slots,
                max(0, int((server.cold_until - now) / plans.SECONDS_PER_MS)),
                server.version,
            )
            for number, server in enumerate(self.servers.values())
            if server.is_up
        ]
        watchers = {one.name: one.domain for one in self.instances}
        reply = wire.UpstreamsReply(
            "epoch", 1, True, registrations, [], 10_000, watchers, 1
        )
        for instance in self.instances:
            instance.catalog.apply_reply("replica", reply)

    async def crash(self, server, seconds):
        """Crash a server and restart it, cold, after some seconds."""
        server.crash()
        await trio.sleep(seconds)
        server.start()
        await trio.sleep(REGISTRATION_DELAY_SECONDS)
        self._publish_registrations()
