"""The routing table: what a routing document allows."""

import collections
import typing


class Share(typing.NamedTuple):
    """A service's share of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of one host and path prefix go, and how.

    Attributes:
        name: unique name.
        host: host name, in lower case.
        path_prefix: begins and ends with a slash.
        is_idempotent: a request may run more than once.
        is_stream: the answer is a stream of events.
        can_resume: a stream may go on at another upstream.
        timeout: longest time that a request is kept, in seconds.
        objective: latency that is aimed at, in seconds.
        priority: 0 is the most urgent.
        shares: services that share the requests.
        attempts: most upstreams that one request is sent to.
        is_public: needs no key.
        is_sticky: requests carry the parts of their prompt.
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
        health_path: path of the health check.
        most_connections: connections that one of its upstreams accepts.
        cold_rate: requests a second that a cold upstream bears; 0 when
            its upstreams are never cold.
        is_engine: its upstreams are model engines.
        batch: requests that an engine runs at once.
        memory_tokens: tokens that an engine's memory holds.
        copy_rate: tokens a millisecond that one engine copies from the
            memory of another; 0 where engines don't copy.
    """

    name: str
    health_path: str
    most_connections: int
    cold_rate: float
    is_engine: bool
    batch: int
    memory_tokens: int
    copy_rate: float = 0.0


class ClientLimits(typing.NamedTuple):
    """Bounds on what a client may send, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class Account(typing.NamedTuple):
    """A client account; `priority` is None where the route's holds."""

    name: str
    priority: int | None


class RoutingTable:
    """A routing document in a form that answers look-ups.

    Attributes:
        version: the document's version.
        routes: all Routes.
        services: Service by name.
        limits: the ClientLimits.
        has_accounts: requests need a key, unless their route is public.
    """

    def __init__(self, version, routes, services, limits, accounts):
        """Create a table.

        Args:
            version: the document's version.
            routes: Routes with distinct hosts and prefixes.
            services: Services.
            limits: ClientLimits.
            accounts: Account by key; None when no key is needed.
        """
        self.version = version
        self.routes = routes
        self.services = {one.name: one for one in services}
        self.limits = limits
        self.has_accounts = accounts is not None
        self._accounts = accounts or {}
        self._by_place = {(one.host, one.path_prefix): one for one in routes}

    def find_route(self, host, path):
        """Return the Route with the longest matching prefix, or None.

        Args:
            host: host name, without a port.
            path: path without its query.
        """
        host = host.lower()
        end = path.rfind("/") + 1
        while end > 0:
            route = self._by_place.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def find_account(self, key):
        """Return the Account that holds a key, or None."""
        return self._accounts.get(key)

    def list_keys(self):
        """Return the keys by name of their client account."""
        keys = collections.defaultdict(set)
        for key, account in self._accounts.items():
            keys[account.name].add(key)
        return dict(keys)


def choose_service(route, draw):
    """Return a service by the weights of a route's shares.

    Args:
        route: a Route.
        draw: a number from 0 up to 1, evenly distributed.
    """
    total = sum(share.weight for share in route.shares)
    mark = draw * total
    for share in route.shares:
        mark -= share.weight
        if mark < 0:
            return share.service
    return max(route.shares, key=lambda share: share.weight).service
