"""INI settings of an instance and their validation.

All errors in a file are collected, so that one run reports every one.
"""

import configparser
import ipaddress
import pathlib
import typing

import msgspec

from camphorhook_common import errors

ROLES = ("entry", "replica")
REQUIRED = object()
MIN_ELECTION_MS = 200


class Endpoint(typing.NamedTuple):
    """A TCP address to listen on or to connect to."""

    address: str
    port: int

    def format(self):
        """Return the endpoint as `address:port`."""
        return f"{self.address}:{self.port}"


class Peer(typing.NamedTuple):
    """Another instance of the fleet.

    Attributes:
        name: name of the instance; its public key is in NAME.key.
        failure_domain: failure domain that it runs in.
        roles: any of ROLES.
        endpoint: address of its peers port, as reached from this instance.
    """

    name: str
    failure_domain: str
    roles: tuple[str, ...]
    endpoint: Endpoint


class Timing(typing.NamedTuple):
    """Timing of the replicated log and the exchange; see `SECTIONS`."""

    heartbeat_ms: int
    election_ms: int
    drift_percent: int
    exchange_ms: int
    watch_ms: int


class Limits(typing.NamedTuple):
    """Limits on requests and shutdown; see `SECTIONS`."""

    body_bytes: int
    header_bytes: int
    body_seconds: float
    stop_seconds: float
    detached_seconds: float


class Settings(typing.NamedTuple):
    """All settings of one instance."""

    file: str
    name: str
    failure_domain: str
    roles: tuple[str, ...]
    data_folder: pathlib.Path | None
    timeline_file: pathlib.Path | None
    log_level: str
    callers: Endpoint
    upstreams: Endpoint
    operators: Endpoint
    peers_listener: Endpoint
    secret_key_file: pathlib.Path
    known_keys_folder: pathlib.Path
    operator_keys_file: pathlib.Path
    tls_certificate: pathlib.Path | None
    tls_key: pathlib.Path | None
    upstream_ca: pathlib.Path | None
    peers: tuple[Peer, ...]
    timing: Timing
    limits: Limits

    def is_replica(self):
        """Return whether this instance stores the replicated log."""
        return "replica" in self.roles

    def list_replicas(self):
        """Return the sorted names of all replicas, including this instance."""
        names = [peer.name for peer in self.peers if "replica" in peer.roles]
        if self.is_replica():
            names.append(self.name)
        return sorted(names)


class Option(typing.NamedTuple):
    """The type, default and description of an option."""

    type: type
    default: object
    help: str


def _endpoint_options(purpose):
    return {
        "address": Option(str, REQUIRED, f"IP address {purpose}."),
        "port": Option(int, REQUIRED, f"TCP port {purpose}."),
    }


SECTIONS = {
    "instance": {
        "name": Option(str, REQUIRED, "Name of this instance."),
        "failure_domain": Option(str, REQUIRED, "Its failure domain."),
        "roles": Option(
            str, "entry", "Comma-separated list of: entry, replica."
        ),
        "data_folder": Option(
            str, "", "Folder on a persistent disk; required for a replica."
        ),
        "timeline_file": Option(
            str, "", "File of timeline events; empty: none."
        ),
        "log_level": Option(
            typing.Literal["debug", "info", "warning", "error"],
            "info",
            "Minimum level of log lines.",
        ),
    },
    "callers": {
        **_endpoint_options("for callers"),
        "tls_certificate": Option(str, "", "PEM file; empty: no TLS."),
        "tls_key": Option(str, "", "PEM file of the certificate's key."),
    },
    "upstreams": {
        **_endpoint_options("for announcements of upstreams"),
        "certificate_authority": Option(
            str, "", "PEM file trusted for upstreams over TLS."
        ),
    },
    "operators": {
        **_endpoint_options("for operators and metrics"),
        "key_hashes": Option(
            str, REQUIRED, "File of `NAME HASH` lines, one per operator."
        ),
    },
    "peers": {
        **_endpoint_options("for other instances"),
        "secret_key": Option(str, REQUIRED, "This instance's secret key."),
        "known_keys": Option(str, REQUIRED, "Folder of public keys."),
    },
    "timing": {
        "heartbeat_ms": Option(
            int, 750, "Interval between heartbeats of the leader."
        ),
        "election_ms": Option(int, 2500, "Minimum election timeout."),
        "drift_percent": Option(
            int, 5, "Maximum difference of two clocks' rates."
        ),
        "exchange_ms": Option(
            int, 1000, "Interval between exchanges with a peer."
        ),
        "watch_ms": Option(int, 2000, "Maximum wait of a watch for a change."),
    },
    "limits": {
        "body_bytes": Option(int, 4194304, "Maximum size of a request body."),
        "header_bytes": Option(
            int, 32768, "Maximum size of a request's headers."
        ),
        "body_seconds": Option(
            float, 10.0, "Maximum time to receive a request body."
        ),
        "stop_seconds": Option(
            float, 120.0, "Maximum time of a graceful shutdown."
        ),
        "detached_seconds": Option(
            float, 30.0, "How long a disconnected caller may resume a stream."
        ),
    },
}

PEER_OPTIONS = {
    "failure_domain": Option(str, REQUIRED, "Its failure domain."),
    "roles": Option(str, "entry", "Its roles."),
    "address": Option(str, REQUIRED, "IP address of its peers port."),
    "port": Option(int, REQUIRED, "TCP port of its peers port."),
}
PEER_PREFIX = "instance "


class _Reader:
    """Reads the sections of a settings file and collects the errors."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.error_messages = []
        self.parser = configparser.ConfigParser(interpolation=None)

    def add_error(self, section, option, text):
        self.error_messages.append(
            f"{self.path}: [{section}] {option}: {text}"
        )

    def parse(self):
        """Parse the file; return whether that succeeded."""
        try:
            with open(self.path) as lines:
                self.parser.read_file(lines)
        except (OSError, configparser.Error, UnicodeDecodeError) as error:
            self.error_messages.append(f"{self.path}: {error}")
            return False
        return True

    def read_section(self, section, options):
        """Return the options of a section, converted to their types.

        An invalid or missing option becomes an error and has the value None.
        """
        values = {}
        given = {}
        if self.parser.has_section(section):
            given = dict(self.parser.items(section))
        for name in given:
            if name not in options:
                known = ", ".join(options)
                self.add_error(
                    section, name, f"unknown option; expected one of {known}"
                )
        for name, option in options.items():
            values[name] = self._read_option(section, name, option, given)
        return values

    def _read_option(self, section, name, option, given):
        if name not in given:
            if option.default is REQUIRED:
                self.add_error(
                    section, name, f"required option is missing: {option.help}"
                )
                return None
            return option.default
        try:
            return msgspec.convert(given[name], option.type, strict=False)
        except msgspec.ValidationError as error:
            self.add_error(
                section, name, f"invalid value {given[name]!r}: {error}"
            )
            return None

    def read_endpoint(self, section, values):
        """Return the Endpoint of a section, or None if it is incomplete."""
        address, port = values["address"], values["port"]
        if address is not None:
            try:
                ipaddress.ip_address(address)
            except ValueError:
                self.add_error(
                    section, "address", f"{address!r} is not an IP address"
                )
        if port is not None and not 1 <= port <= 65535:
            self.add_error(
                section, "port", f"{port} is not in the range 1 to 65535"
            )
        if address is None or port is None:
            return None
        return Endpoint(address, port)

    def read_roles(self, section, text):
        """Return the roles in a comma-separated list."""
        roles = tuple(word.strip() for word in (text or "").split(","))
        for role in roles:
            if role not in ROLES:
                known = ", ".join(ROLES)
                self.add_error(
                    section,
                    "roles",
                    f"unknown role {role!r}; expected any of {known}",
                )
        return roles

    def read_path(self, section, name, values, must_exist=False):
        """Return the path of an option, or None if the option is empty.

        Relative paths start at the folder of the settings file.
        """
        text = values[name]
        if not text:
            return None
        path = self.path.parent / text
        if must_exist and not path.exists():
            self.add_error(section, name, f"{path} does not exist; create it")
        return path


def _check_ports(reader, endpoints):
    seen = {}
    for section, endpoint in endpoints.items():
        if endpoint is None:
            continue
        other = seen.setdefault(endpoint, section)
        if other != section:
            text = f"{endpoint.format()} is already used by [{other}]"
            reader.add_error(section, "port", text)


def _check_timing(reader, timing):
    for name, value in timing._asdict().items():
        if value is not None and value < 1 and name != "drift_percent":
            reader.add_error("timing", name, f"{value} is not greater than 0")
    if None in timing:
        return
    if timing.election_ms < max(3 * timing.heartbeat_ms, MIN_ELECTION_MS):
        text = "must be at least three times heartbeat_ms and at least 200"
        reader.add_error("timing", "election_ms", text)
    if not 0 <= timing.drift_percent <= 50:
        reader.add_error("timing", "drift_percent", "must be from 0 to 50")


def _read_peers(reader, own_name):
    peers = []
    for section in reader.parser.sections():
        if not section.startswith(PEER_PREFIX):
            continue
        values = reader.read_section(section, PEER_OPTIONS)
        name = section[len(PEER_PREFIX) :]
        endpoint = reader.read_endpoint(section, values)
        roles = reader.read_roles(section, values["roles"])
        if name != own_name and endpoint is not None:
            domain = values["failure_domain"] or ""
            peers.append(Peer(name, domain, roles, endpoint))
    return tuple(peers)


def _check_sections(reader):
    for section in reader.parser.sections():
        if section not in SECTIONS and not section.startswith(PEER_PREFIX):
            known = ", ".join(SECTIONS) + ", instance NAME"
            reader.add_error(
                section, "-", f"unknown section; expected one of {known}"
            )


def load(path):
    """Return the validated settings of an instance.

    Args:
        path: path of the INI file.

    Returns:
        Settings; their relative paths start at the folder of the file.

    Raises:
        errors.SettingsError: the file is invalid; the message lists every
            error on a line of its own.
    """
    reader = _Reader(path)
    if reader.parse():
        settings = _build(reader)
        if not reader.error_messages:
            return settings
    raise errors.SettingsError(
        "\n".join(reader.error_messages), step="settings", peer=str(path)
    )


def _build(reader):
    _check_sections(reader)
    raw = {
        section: reader.read_section(section, options)
        for section, options in SECTIONS.items()
    }
    endpoints = {
        section: reader.read_endpoint(section, raw[section])
        for section in ("callers", "upstreams", "operators", "peers")
    }
    _check_ports(reader, endpoints)
    instance = raw["instance"]
    roles = reader.read_roles("instance", instance["roles"])
    if "replica" in roles and not instance["data_folder"]:
        reader.add_error(
            "instance",
            "data_folder",
            "required option is missing: a replica needs it",
        )
    timing = Timing(**raw["timing"])
    _check_timing(reader, timing)
    callers = raw["callers"]
    if bool(callers["tls_certificate"]) != bool(callers["tls_key"]):
        reader.add_error(
            "callers",
            "tls_key",
            "tls_certificate and tls_key must be set together",
        )
    peers = _read_peers(reader, instance["name"])
    replicas = sum("replica" in peer.roles for peer in peers)
    if not replicas and "replica" not in roles:
        reader.add_error(
            "instance NAME", "roles", "no instance has the role replica"
        )
    path = reader.read_path
    return Settings(
        file=str(reader.path),
        name=instance["name"],
        failure_domain=instance["failure_domain"],
        roles=roles,
        data_folder=path("instance", "data_folder", instance),
        timeline_file=path("instance", "timeline_file", instance),
        log_level=instance["log_level"],
        callers=endpoints["callers"],
        upstreams=endpoints["upstreams"],
        operators=endpoints["operators"],
        peers_listener=endpoints["peers"],
        secret_key_file=path("peers", "secret_key", raw["peers"], True),
        known_keys_folder=path("peers", "known_keys", raw["peers"], True),
        operator_keys_file=path(
            "operators", "key_hashes", raw["operators"], True
        ),
        tls_certificate=path("callers", "tls_certificate", callers, True),
        tls_key=path("callers", "tls_key", callers, True),
        upstream_ca=path(
            "upstreams", "certificate_authority", raw["upstreams"], True
        ),
        peers=peers,
        timing=timing,
        limits=Limits(**raw["limits"]),
    )
