"""Reads the operator's document of routes into a RoutingTable."""

import msgspec

from camphorhook_common import errors
from camphorhook_daemon.domain.routing import table

MS = 0.001
SAFE, UNSAFE, STREAMING = "safe", "unsafe", "streaming"


class _Share(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Share] | None = None
    attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int = 0
    kv_capacity_tokens: int = 0


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = "/health"
    max_connections: int = 100
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Document(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class DocumentError(errors.CamphorhookError):
    """The document can't take effect; the message says why."""


def _refuse(text):
    return DocumentError(text, step="read document")


def read(body):
    """Return the RoutingTable of a document.

    Args:
        body: the document as sent.

    Raises:
        DocumentError: it is invalid.
    """
    try:
        document = msgspec.json.decode(body, type=_Document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _refuse(str(error)) from error
    services = [_read_service(one) for one in document.services]
    known = {one.name for one in services}
    routes = [_read_route(one, known) for one in document.routes]
    _check_places(routes)
    limits = document.limits
    return table.RoutingTable(
        document.version,
        routes,
        services,
        table.ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * MS,
            limits.idle_timeout_ms * MS,
        ),
        _read_accounts(document.tenants),
    )


def _read_service(one):
    engine = one.engine
    return table.Service(
        one.name,
        one.health_path,
        one.max_connections,
        one.cold_per_s,
        engine is not None,
        engine.slots if engine else 0,
        engine.kv_capacity_tokens if engine else 0,
    )


def _read_route(one, known):
    shares = [
        table.Share(share.service, share.weight)
        for share in one.traffic_split or ()
    ]
    if one.service is not None and not shares:
        shares = [table.Share(one.service, 1.0)]
    if one.kind not in (SAFE, UNSAFE, STREAMING):
        raise _refuse(f"route {one.name}: unknown kind {one.kind!r}")
    for share in shares:
        if share.service not in known:
            raise _refuse(f"route {one.name}: no service {share.service!r}")
        if share.weight < 0:
            raise _refuse(f"route {one.name}: a weight is below 0")
    if sum(share.weight for share in shares) <= 0:
        raise _refuse(f"route {one.name}: the weights add up to 0")
    if one.timeout_ms <= 0:
        raise _refuse(f"route {one.name}: the timeout is not above 0")
    if not one.path_prefix.startswith("/") or one.path_prefix[-1] != "/":
        raise _refuse(f"route {one.name}: the prefix needs outer slashes")
    is_stream = one.kind == STREAMING
    return table.Route(
        one.name,
        one.host.lower(),
        one.path_prefix,
        one.kind == SAFE or (is_stream and one.resumable),
        is_stream,
        is_stream and one.resumable,
        one.timeout_ms * MS,
        one.target_latency_ms * MS,
        one.priority,
        tuple(shares),
        one.attempts,
        one.public,
        one.sticky,
    )


def _check_places(routes):
    seen = set()
    for one in routes:
        place = (one.host, one.path_prefix)
        if place in seen:
            raise _refuse(f"route {one.name}: host and prefix stand twice")
        seen.add(place)


def _read_accounts(tenants):
    if tenants is None:
        return None
    accounts = {}
    for tenant in tenants:
        for key in tenant.api_keys:
            if key in accounts:
                raise _refuse(f"tenant {tenant.name}: a key stands twice")
            accounts[key] = table.Account(tenant.name, tenant.priority)
    return accounts
