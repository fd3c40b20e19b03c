"""Routing table: the parsed form of a routing document."""

import collections
import typing

from camphorhook_daemon.domain.routing import costs


class Share(typing.NamedTuple):
    """The share of a route's requests that a service gets."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Routing of requests for one host and path prefix.

    Attributes:
        name: unique name.
        host: host name in lower case.
        path_prefix: begins and ends with a slash.
        is_idempotent: a request may run more than once.
        is_stream: the answer is a stream of events.
        can_resume: a broken stream may continue at another upstream.
        timeout: longest time to serve a request, in seconds.
        objective: target latency in seconds.
        priority: 0 is the most urgent.
        shares: services that share the requests, with their weights.
        attempts: highest number of times that one request may run.
        is_public: requests need no key.
        is_sticky: requests name the parts of their prompt.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    is_stream: bool
    can_resume: bool
    timeout: float
    objective: float
    priority: int
    shares: tuple[Share, ...]
    attempts: int
    is_public: bool
    is_sticky: bool


class Service(typing.NamedTuple):
    """A service that requests are routed to.

    Attributes:
        name: unique name.
        health_path: request target of the health check.
        most_connections: connections that one of its upstreams accepts.
        cold_rate: requests per second that an upstream can take from the
            whole fleet while it is cold; 0 if upstreams are never cold.
        is_engine: its upstreams are engines.
        batch: requests that an engine runs at the same time.
        memory_tokens: capacity of an engine's prompt cache in tokens.
        copy_rate: tokens per millisecond that an engine copies from the
            cache of another; 0 if engines do not copy.
    """

    name: str
    health_path: str
    most_connections: int
    cold_rate: float
    is_engine: bool
    batch: int
    memory_tokens: int
    copy_rate: float = 0.0

    @property
    def longest_prompt(self):
        """Tokens of the longest prompt that an upstream can hold.

        It is 0 if they are no engines. The memory of an engine is not known
        if the document has none.
        """
        if not self.is_engine:
            return 0
        if self.memory_tokens <= 0:
            return costs.MAX_TOKENS
        return min(self.memory_tokens, costs.MAX_TOKENS)


class ClientLimits(typing.NamedTuple):
    """Limits for the requests of a client, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class Account(typing.NamedTuple):
    """A client account.

    Attributes:
        name: unique name.
        priority: priority of its requests; None for that of the route.
        header: value of the header that names it to upstreams.
    """

    name: str
    priority: int | None
    header: str


class RoutingTable:
    """A routing document, indexed for look-ups.

    Attributes:
        version: the document's version.
        routes: all Routes.
        services: Service by name.
        limits: the ClientLimits.
        has_accounts: requests need a key unless their route is public.
    """

    def __init__(self, version, routes, services, limits, accounts):
        """Create a table.

        Args:
            version: the document's version.
            routes: Routes with distinct hosts and prefixes.
            services: Services.
            limits: ClientLimits.
            accounts: Account by key; None if no key is needed.
        """
        self.version = version
        self.routes = routes
        self.services = {one.name: one for one in services}
        self.limits = limits
        self.has_accounts = accounts is not None
        self._accounts = accounts or {}
        self._by_prefix = {(one.host, one.path_prefix): one for one in routes}

    def find_route(self, host, path):
        """Return the Route with the longest matching prefix, or None.

        Args:
            host: host name, without a port.
            path: path without its query.
        """
        host = host.lower()
        end = path.rfind("/") + 1
        while end > 0:
            route = self._by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def find_account(self, key):
        """Return the Account that holds a key, or None."""
        return self._accounts.get(key)

    def list_keys(self):
        """Return the set of keys by name of the client account."""
        keys = collections.defaultdict(set)
        for key, account in self._accounts.items():
            keys[account.name].add(key)
        return dict(keys)


def choose_service(route, draw):
    """Return the name of a service, chosen by the weights of a route.

    Args:
        route: a Route.
        draw: random number in [0, 1), uniformly distributed.
    """
    total = sum(share.weight for share in route.shares)
    remaining = draw * total
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return max(route.shares, key=lambda share: share.weight).service
