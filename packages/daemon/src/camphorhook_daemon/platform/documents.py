"""Reads the operators' routing document into a RoutingTable."""

import typing

import msgspec

from camphorhook_common import errors
from camphorhook_common import jsontext
from camphorhook_daemon.adapters import header_codec
from camphorhook_daemon.adapters import targets
from camphorhook_daemon.domain.routing import table

SECONDS_PER_MS = 0.001
BYTES_PER_MBIT = 125_000
MAX_WHOLE = 2**63 - 1  # larger ones don't fit into messages
MAX_DECIMAL = 1e15  # sums and products of these are finite
_Whole = typing.Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
_Decimal = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_DECIMAL, le=MAX_DECIMAL)
]
SAFE, UNSAFE, STREAMING = "safe", "unsafe", "streaming"


class _Share(msgspec.Struct, rename="pascal"):
    service: str
    weight: _Decimal


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Decimal
    target_latency_ms: _Decimal = 1000
    priority: _Whole = 0
    service: str | None = None
    traffic_split: list[_Share] | None = None
    attempts: _Whole = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename="pascal"):
    slots: _Whole = 0
    kv_capacity_tokens: _Whole = 0
    kv_token_bytes: _Decimal = 0.0
    # The rate of the links between engines, not of their machines' links.
    link_mbps: _Decimal = 0.0


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = "/health"
    max_connections: _Whole = 100
    cold_per_s: _Decimal = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: _Whole = 16384
    max_body_bytes: _Whole = 4194304
    header_timeout_ms: _Decimal = 3000
    idle_timeout_ms: _Decimal = 15000


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str]
    priority: _Whole | None = None


class _Document(msgspec.Struct, rename="pascal"):
    version: _Whole
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class DocumentError(errors.CamphorhookError):
    """The document is invalid; the message says why."""


def _make_error(text):
    return DocumentError(text, step="read document")


def read(body):
    """Return the RoutingTable of a document.

    Args:
        body: the document as sent, in JSON.

    Raises:
        DocumentError: it is invalid; the message names the first fault.
    """
    document = _decode(body)
    for fault in _find_faults(document):
        raise _make_error(fault)
    return _make_table(document)


def list_faults(body):
    """Return a message for each fault of a document; none if it is valid."""
    try:
        return list(_find_faults(_decode(body)))
    except DocumentError as error:
        return [error.message]


def set_version(body, version):
    """Return a document with its version replaced.

    Args:
        body: the document as sent, in JSON.
        version: a whole number.

    Raises:
        DocumentError: the document is not a JSON object.
    """
    try:
        fields = jsontext.decode(body, dict)
    except jsontext.DecodeError as error:
        raise _make_error(str(error)) from error
    return msgspec.json.encode({**fields, "Version": version})


def _decode(body):
    try:
        return jsontext.decode(body, _Document)
    except jsontext.DecodeError as error:
        raise _make_error(str(error)) from error


def _list_shares(route):
    shares = route.traffic_split or ()
    if route.service is not None and not shares:
        return (table.Share(route.service, 1.0),)
    return tuple(table.Share(share.service, share.weight) for share in shares)


def _find_faults(document):
    """Yield a message for each fault of a decoded document."""
    service_names = {service.name for service in document.services}
    prefixes = set()
    for route in document.routes:
        for fault in _find_route_faults(route, service_names):
            yield f"route {route.name}: {fault}"
        prefix = (route.host.lower(), route.path_prefix)
        if prefix in prefixes:
            yield f"route {route.name}: same host and prefix as another route"
        prefixes.add(prefix)
    keys = set()
    for tenant in document.tenants or ():
        if keys.intersection(tenant.api_keys):
            yield f"tenant {tenant.name}: same key as an earlier tenant"
        keys.update(tenant.api_keys)


def _find_route_faults(route, service_names):
    shares = _list_shares(route)
    if route.kind not in (SAFE, UNSAFE, STREAMING):
        yield f"unknown kind {route.kind!r}"
    for share in shares:
        if share.service not in service_names:
            yield f"no service {share.service!r}"
        if share.weight < 0:
            yield "a weight is below 0"
    if sum(share.weight for share in shares) <= 0:
        yield "the weights add up to 0"
    if route.timeout_ms <= 0:
        yield "the timeout is not above 0"
    if not route.path_prefix.startswith("/") or route.path_prefix[-1] != "/":
        yield "the prefix does not begin and end with a slash"


def _make_table(document):
    limits = document.limits
    return table.RoutingTable(
        document.version,
        [_read_route(route) for route in document.routes],
        [_read_service(service) for service in document.services],
        table.ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * SECONDS_PER_MS,
            limits.idle_timeout_ms * SECONDS_PER_MS,
        ),
        _read_accounts(document.tenants),
    )


def _read_service(service):
    engine = service.engine
    return table.Service(
        service.name,
        targets.encode_path(service.health_path),
        service.max_connections,
        service.cold_per_s,
        engine is not None,
        engine.slots if engine else 0,
        engine.kv_capacity_tokens if engine else 0,
        _compute_copy_rate(engine) if engine else 0.0,
    )


def _compute_copy_rate(engine):
    """Return the tokens per millisecond that engines copy from each other."""
    if engine.kv_token_bytes <= 0:
        return 0.0
    bytes_per_ms = engine.link_mbps * BYTES_PER_MBIT * SECONDS_PER_MS
    return max(0.0, bytes_per_ms / engine.kv_token_bytes)


def _read_route(route):
    is_stream = route.kind == STREAMING
    return table.Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        route.kind == SAFE or (is_stream and route.resumable),
        is_stream,
        is_stream and route.resumable,
        route.timeout_ms * SECONDS_PER_MS,
        route.target_latency_ms * SECONDS_PER_MS,
        route.priority,
        _list_shares(route),
        route.attempts,
        route.public,
        route.sticky,
    )


def _read_accounts(tenants):
    if tenants is None:
        return None
    headers = header_codec.encode_distinctly([one.name for one in tenants])
    accounts = {
        key: table.Account(tenant.name, tenant.priority, headers[tenant.name])
        for tenant in tenants
        for key in tenant.api_keys
    }
    sent = {header_codec.read_sent(key): accounts[key] for key in accounts}
    # A key that is sent as it is goes before one that reads like it.
    return sent | {key: accounts[key] for key in accounts if key in sent}
