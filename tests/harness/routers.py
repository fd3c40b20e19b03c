"""The product's forwarder with scripted upstreams, in one process."""

import functools
import types

import trio

from camphorhook_common import settings
from camphorhook_common import wire
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.adapters import handover
from camphorhook_daemon.adapters import listeners
from camphorhook_daemon.adapters import metrics
from camphorhook_daemon.adapters import request_app
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import budgets
from camphorhook_daemon.domain.routing import cache_index
from camphorhook_daemon.domain.routing import catalog as catalogs
from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.domain.routing import gateway_attempts
from camphorhook_daemon.domain.routing import gateways
from camphorhook_daemon.domain.routing import links
from camphorhook_daemon.domain.routing import loads
from camphorhook_daemon.domain.routing import outcomes
from camphorhook_daemon.domain.routing import places
from camphorhook_daemon.domain.routing import pressure
from camphorhook_daemon.domain.routing import rate_permits
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import selection
from camphorhook_daemon.domain.routing import stream_origins
from camphorhook_daemon.domain.routing import table as tables
from camphorhook_daemon.domain.routing import upstream_limits
from camphorhook_daemon.domain.routing import withdrawals
from camphorhook_daemon.domain import shutdowns
from camphorhook_daemon.domain import verdicts
from camphorhook_daemon.platform import entry
from camphorhook_daemon.platform import protocol
from camphorhook_daemon.ports import upstreams as ports
from tests.standins import resets

SERVICE = "service"
INSTANCE = "instance"
CONTACT_INTERVAL_SECONDS = 1.0  # between two answers of the replica
CHUNKED_START = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
)


class ScriptedUpstream:
    """An upstream on loopback whose answers a scenario chooses.

    Attributes:
        requests: ids of the requests it got.
        heads: (name, value) pairs of the headers of each request; names are
            in lower case.
        arrivals: times in seconds at which it got them.
        status: HTTP status of its answers.
        headers: additional header lines of its answers.
        body: body of its answers.
        crash_target: path under which it crashes and starts again.
        crash_part: part of a prompt under which it crashes as it begins to
            answer.
        is_reset_only: it resets the connection there and runs on.
        capacity: number of requests that it says it runs at once.
        run_seconds: time until it answers.
        failure_domain: its failure domain.
    """

    def __init__(self, number):
        self.capacity = 64
        self.run_seconds = 0.0
        self.failure_domain = "zone-a"
        self.name = f"upstream-{number}"
        self.incarnation = 1
        self.requests = []
        self.heads = []
        self.arrivals = []
        self.status = 200
        self.headers = ""
        self.body = self.name.encode()
        self.crash_target = ""
        self.crash_part = ""
        self.is_reset_only = False
        self.port = number  # until it listens

    async def serve(self, stream):
        """Answer the requests of one connection."""
        async with stream:
            data = b""
            while True:
                while b"\r\n\r\n" not in data:
                    piece = await stream.receive_some()
                    if not piece:
                        return
                    data += piece
                head, _, data = data.partition(b"\r\n\r\n")
                fields = dict(
                    line.split(": ", 1)
                    for line in head.decode().lower().splitlines()[1:]
                )
                request = fields["x-request-id"]
                length = int(fields.get("content-length", 0))
                while len(data) < length:
                    data += await stream.receive_some()
                data = data[length:]
                self.requests.append(request)
                self.heads.append(_list_headers(head))
                self.arrivals.append(trio.current_time())
                if head.split()[1].decode() == self.crash_target:
                    self.incarnation += not self.is_reset_only
                    resets.set_reset_on_close(stream)
                    return
                prompt = fields.get("x-prompt-prefix", "")
                if self.crash_part and self.crash_part in prompt:
                    self.incarnation += 1
                    await stream.send_all(CHUNKED_START)
                    return
                await trio.sleep(self.run_seconds)
                body = self.body
                await stream.send_all(
                    f"HTTP/1.1 {self.status} Status\r\n"
                    f"X-Request-Id: {request}\r\n{self.headers}"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )

    def register(self):
        """Return its wire.Registration."""
        return wire.Registration(
            self.name,
            SERVICE,
            self.failure_domain,
            "127.0.0.1",
            self.port,
            self.incarnation,
            len(self.requests),
            registry.LIVE,
            self.capacity,
            0,
        )


def _list_headers(head):
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = [line.partition(": ")[::2] for line in lines]
    return [(name.lower(), value) for name, value in pairs]


async def start_upstreams(nursery, upstreams):
    """Have ScriptedUpstreams listen; set the port of each."""
    for upstream in upstreams:
        opened = await nursery.start(
            functools.partial(trio.serve_tcp, host="127.0.0.1"),
            upstream.serve,
            0,
        )
        upstream.port = opened[0].socket.getsockname()[1]


class Client:
    """Receives the answer to one request."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.retry_after = 0.0
        self.is_complete = False
        self.seconds = 0.0

    async def send_answer(self, status, _headers, body):
        """Receive a complete answer."""
        self.status, self.body = status, body


def make_gateways(name, map_instances, transport, pool, upstreams, now):
    """Return the Gateways, with Links, of an instance.

    Args:
        name: name of the instance.
        map_instances: function that returns failure domains by name.
        transport: a Transport.
        pool: connection pool for upstreams.
        upstreams: function that returns the wire.Registrations to probe.
        now: function that returns the time in seconds.
    """

    async def probe(upstream, seconds):
        call = ports.Call("GET", "/", [], b"", seconds, True)
        try:
            with trio.fail_after(seconds):
                async with pool.open(upstream, call):
                    return True
        except (ports.AttemptError, trio.TooSlowError):
            return False

    found = gateways.Gateways(
        name, map_instances, lambda one: None, transport, lambda: 0, now
    )
    found.links = links.Links(
        pool, lambda: list(upstreams()), probe, found.ask, now
    )
    return found


class CurrentVersions:
    """A version_checks.VersionChecks of an instance in touch."""

    def __init__(self, catalog):
        self._catalog = catalog

    async def find_sole(self, service):
        """Return the only version that the catalog knows."""
        return self._catalog.find_sole_version(service)

    def has_several(self, service):
        """Return whether the catalog knows several versions."""
        return len(self._catalog.list_recent_versions(service)) > 1

    def is_in_step(self):
        """Return that changes are known."""
        return True

    async def refresh(self):
        """Return that all registrations are known."""
        return True


class Router:
    """The product's forwarder, its pool, and scripted upstreams.

    Attributes:
        upstreams: the ScriptedUpstreams.
        table: the RoutingTable in force.
        route: the Route of all requests.
        cache_index: the instance's CacheIndex.
        withdrawals: the instance's Withdrawals.
        limits: the instance's UpstreamLimits.
        excluded_domains: failure domains that are taken out of service.
        rules: stand-in for the rules in force.
        counts: stand-in for the metrics.
        selector: the selection.Selector.
        pool: the pool of connections.
        is_cut_off: no replica answers the instance any more.
    """

    def __init__(self, count, is_engine, pool=None):
        """Create the router; trio must be running, for the clock.

        Args:
            count: number of upstreams.
            is_engine: whether they are engines.
            pool: replaces the product's connection pool.
        """
        now = trio.current_time
        self.upstreams = [ScriptedUpstream(n + 1) for n in range(count)]
        service = tables.Service(
            SERVICE, "/health", 600, 0.0, is_engine, 64, 10**6
        )
        self._service = service
        self.table = self._make_table([])
        self.catalog = catalogs.UpstreamCatalog(now)
        self.cache_index = cache_index.CacheIndex()
        self.withdrawals = withdrawals.Withdrawals(now)
        self.limits = upstream_limits.UpstreamLimits(now)
        self.places = places.Places(
            INSTANCE,
            rate_permits.Holders(
                INSTANCE,
                self.catalog.map_instances,
                self.catalog.measure_contact_age,
                now,
            ),
            pressure.Pressure(now),
            lambda one: 0,
            self,
            now,
            lambda service: False,
            metrics.Metrics(),
        )
        self.permits = rate_permits.RatePermits(
            rate_permits.Holders(
                INSTANCE,
                self.catalog.map_instances,
                self.catalog.measure_contact_age,
                now,
            ),
            self.limits,
            self,
            now,
        )
        self.evidence = crash_evidence.CrashEvidence(
            verdicts.SHARED_LIMIT, now
        )
        self.excluded_domains = frozenset()
        self.rules = types.SimpleNamespace(
            get_table=lambda: self.table,
            get_version=lambda: self.table.version,
            measure_age_ms=lambda: 0,
            is_current=lambda: True,
            may_deny=lambda: True,
            list_excluded_domains=lambda: self.excluded_domains,
            make_retry_budget=lambda: budgets.RetryBudget(1.0, 1000, 10.0),
        )
        self.selector = selector = selection.Selector(
            self.catalog,
            self.cache_index,
            loads.FleetLoads(INSTANCE, now),
            outcomes.Outcomes(now),
            self.withdrawals,
            self.limits,
            self.permits,
            self.places,
            self.rules,
            (INSTANCE, "zone-a"),
        )
        self.origins = stream_origins.StreamOrigins(
            INSTANCE, self.catalog.map_instances, self, now
        )
        self.shutdown = shutdowns.Shutdown(now)
        self.counts = types.SimpleNamespace(
            add=lambda *a, **k: None, observe=lambda *a, **k: None
        )
        self.pool = pool = pool or connection_pool.ConnectionPool()
        self.gateways = make_gateways(
            INSTANCE,
            self.catalog.map_instances,
            self,
            pool,
            self.catalog.registrations.values,
            now,
        )
        self.forwarder = forwarding.Forwarder(
            selector,
            self.origins,
            CurrentVersions(self.catalog),
            self.evidence,
            pool,
            protocol,
            self.rules,
            self.counts,
            gateway_attempts.GatewayAttempts(
                self.gateways,
                connection_pool.ConnectionPool(requires_id=False),
                handover,
                self.counts,
                now,
            ),
            now,
        )
        self.route = tables.Route(
            "route",
            "host",
            "/",
            True,
            False,
            False,
            5.0,
            1.0,
            0,
            (tables.Share(SERVICE, 1.0),),
            2,
            False,
            is_engine,
        )
        self.is_cut_off = False
        self._sent = 0

    def _make_table(self, routes):
        limits = tables.ClientLimits(16384, 1 << 22, 10, 30)
        accounts = {
            "key": tables.Account("account", None, "account"),
            "other-key": tables.Account("other", None, "other"),
        }
        return tables.RoutingTable(
            1, routes, [self._service], limits, accounts
        )

    async def listen(self, nursery, headers=entry):
        """Serve clients over HTTP on the route; return the port.

        Args:
            nursery: runs the listener.
            headers: module that reads and writes the headers: `entry` for
                clients, `handover` for other instances.
        """
        self.table = self._make_table([self.route])
        app = request_app.RequestApp(
            headers, self.forwarder, self.rules, self.counts, self.shutdown
        )
        with trio.socket.socket() as probe:
            await probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        listener = listeners.Listener(
            settings.Endpoint("127.0.0.1", port),
            app.handle,
            listeners.Limits,
            lambda: False,
        )
        await nursery.start(listener.run)
        return port

    def use_gateway(self, port):
        """Have all requests go by way of the instance at a port."""
        gateway = gateways.Gateway("gateway", "127.0.0.1", port)

        async def choose(_excluded):
            return gateway

        self.gateways.choose = choose
        self.gateways.links.may_send = lambda request: False

    async def open(self, nursery):
        """Start the upstreams and register them."""
        await start_upstreams(nursery, self.upstreams)
        self.register()
        nursery.start_soon(self._keep_contact)
        nursery.start_soon(self.origins.run)
        nursery.start_soon(self.gateways.links.run)

    async def _keep_contact(self):
        while True:
            if not self.is_cut_off:
                self._apply_changes([])
            self.permits.retain(self.catalog.registrations)
            await trio.sleep(CONTACT_INTERVAL_SECONDS)

    def _apply_changes(self, changed):
        watchers = {INSTANCE: "zone-a"}
        self.catalog.apply_reply(
            "replica",
            wire.UpstreamsReply("e", 1, False, changed, [], 1e4, watchers, 0),
        )

    async def call(self, _peer, message, _timeout):
        """Answer a message of this instance, the only one, to itself."""
        if isinstance(message, wire.AcquirePlace | wire.AcquireOrderedPlace):
            return await self.places.grant(message)
        return self.permits.grant(message)

    def register(self):
        """Give the catalog the present registration of each upstream."""
        self._apply_changes([one.register() for one in self.upstreams])

    def predict_id(self):
        """Return the id of the next request that `send` sends."""
        return f"request-{self._sent + 1}"

    async def send(
        self, client=None, part=None, target="/", parts=(), body=None
    ):
        """Send a request; return the Client, with its answer.

        Args:
            client: receives the answer.
            part: (id, tokens) of a shared part of the prompt.
            target: path of the request.
            parts: (id, tokens) of all parts of the prompt but the last.
            body: body of the request; by default it differs from others.
        """
        client = client or Client()
        self._sent += 1
        now = trio.current_time()
        request = f"request-{self._sent}"
        own = (f"own-{self._sent}", 10)
        parts = (*parts, part, own) if part else (*parts, own)
        prompt = ",".join(f"{one}:{tokens}" for one, tokens in parts)
        failure = await self.forwarder.forward(
            attempts.Request(
                request,
                "GET",
                target,
                [("x-request-id", request), ("x-prompt-prefix", prompt)],
                request.encode() if body is None else body,
                self.route,
                "key",
                "account",
                0,
                parts,
                "",
                now,
                now + self.route.timeout,
            ),
            client,
        )
        client.seconds = trio.current_time() - now
        if failure is not None:
            client.status = failure.status
            client.retry_after = failure.retry_after
        return client

    async def send_together(self, count):
        """Send requests at the same time; return their Clients."""
        clients = [Client() for _ in range(count)]
        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(self.send, client)
        return clients
