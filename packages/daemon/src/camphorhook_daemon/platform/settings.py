"""Reads the platform's settings file into the daemon's own types.

The platform writes the file as JSON, by `deploy/settings.json.template`.
"""

import os
import pathlib
import typing

import msgspec

from camphorhook_common import errors
from camphorhook_common import jsontext
from camphorhook_common import logs
from camphorhook_common import settings as settings_module
from camphorhook_daemon.domain import machine_limits

METRICS_PORT = 9464  # as in deploy/system.toml
FILE_VARIABLE = "CAMPHORHOOK_BOOT"
SECONDS_PER_MS = 0.001
BYTES_PER_MB = 1_000_000


class _Listen(msgspec.Struct, rename="pascal"):
    frontend_addr: str = ""
    readiness_addr: str = ""
    control: str = ""


class _Tolerance(msgspec.Struct, rename="pascal"):
    machines: int = 1


class _Bounds(msgspec.Struct, rename="pascal"):
    revoke_ms: float = 5000
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50
    grace_s: float = 8


class _Limits(msgspec.Struct, rename="pascal"):
    memory_mb: float | None = None
    max_fds: float | None = None
    client_memory_mb: float | None = None
    client_connections: int | None = None
    client_read_timeout_ms: float = 15000


class _File(msgspec.Struct, rename="pascal"):
    """The fields of the settings file that are used; others are ignored."""

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: list[int]
    # Control addresses of replicas; only their IP addresses are used.
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: float = 1200
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


class Timing(typing.NamedTuple):
    """Timing of the log and of watches: milliseconds, and the clock drift."""

    heartbeat_ms: int = 150  # four in the shortest election timeout
    election_ms: int = 600  # above a lost packet's resending and a pause
    drift_percent: int = 5
    watch_ms: int = 400  # a tenth of the time that keys hold unconfirmed


class Settings(typing.NamedTuple):
    """The settings of an instance on the platform.

    Attributes:
        name: the instance's IP address, by which other instances call it.
        label: the instance's name in logs.
        failure_domain: the failure domain that the instance runs in.
        failure_domains: all failure domains.
        callers: address that clients connect to, or None.
        readiness: address of the readiness check, or None.
        control: address that upstreams and operators connect to, or None.
        peers_listener: address that other instances connect to.
        seeds: names of the replicas known at the start.
        founds: whether this is the first start of the whole fleet.
        data_folder: folder on a disk; None if the instance has none.
        heartbeat_seconds: interval of an upstream's registrations.
        most_voters: maximum number of replicas that vote.
        key_seconds: longest time that clients' keys may be used without
            confirmation of the configuration.
        apply_seconds: time after its acknowledgement from which a
            configuration is in force everywhere.
        retry_ratio, retry_slack, retry_window: the retry budget.
        stop_seconds: longest duration of a graceful shutdown.
        timing: the Timing.
        machine: the machine_limits.MachineLimits.
        peers: always empty, as instances are known by their address alone.
    """

    name: str
    label: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    callers: settings_module.Endpoint | None
    readiness: settings_module.Endpoint | None
    control: settings_module.Endpoint | None
    peers_listener: settings_module.Endpoint
    seeds: tuple[str, ...]
    founds: bool
    data_folder: pathlib.Path | None
    heartbeat_seconds: float
    most_voters: int
    key_seconds: float
    apply_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    stop_seconds: float
    timing: Timing = Timing()
    machine: machine_limits.MachineLimits = machine_limits.MachineLimits()
    peers: tuple = ()

    def list_replicas(self):
        """Return the names of the replicas known at the start."""
        names = set(self.seeds)
        if self.control is not None:
            names.add(self.name)
        return sorted(names)

    @property
    def metrics(self):
        """The address that metrics are read from."""
        return settings_module.Endpoint(self.name, METRICS_PORT)

    @property
    def notices_listener(self):
        """The address at which this instance publishes its notices."""
        return self.locate_notices(self.name)

    def locate_notices(self, name):
        """Return the address at which an instance publishes its notices."""
        return settings_module.Endpoint(name, self.peers_listener.port + 1)

    def locate_gateway(self, name):
        """Return the address at which an instance takes others' requests."""
        return settings_module.Endpoint(name, self.peers_listener.port + 2)

    def locate(self, name):
        """Return the address at which an instance listens for others."""
        return settings_module.Endpoint(name, self.peers_listener.port)


REVOCATION_SHARE = 0.85  # of RevokeMs; the rest covers the last hop
APPLY_SHARE = 0.9  # of ConfigApplyMs, likewise
GRACE_SHARE = 0.9  # of GraceS, after which the platform kills the process
MIN_VOTERS = 3


def _read_listener(text):
    if not text:
        return None
    address, _, port = text.rpartition(":")
    return settings_module.Endpoint(address, int(port))


def find_file():
    """Return the path of the settings file.

    Raises:
        errors.SettingsError: the environment variable is not set.
    """
    path = os.environ.get(FILE_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            f"environment variable {FILE_VARIABLE} is not set; set it to "
            "the path of the settings file",
            step="settings",
        )
    return path


def load(path):
    """Return the Settings of a file.

    Raises:
        errors.SettingsError: the file can't be read or is invalid.
    """
    try:
        file = jsontext.decode(pathlib.Path(path).read_bytes(), _File)
        return _make_settings(file)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            str(error), step="settings", peer=str(path)
        ) from error


def _make_settings(file):
    bounds = file.bounds
    limits = file.limits
    seeds = tuple(text.rpartition(":")[0] for text in file.seeds)
    return Settings(
        name=file.ip,
        label=file.node_name,
        failure_domain=file.zone,
        failure_domains=tuple(file.zones),
        callers=_read_listener(file.listen.frontend_addr),
        readiness=_read_listener(file.listen.readiness_addr),
        control=_read_listener(file.listen.control),
        peers_listener=settings_module.Endpoint(
            file.ip, file.internal_ports[0]
        ),
        seeds=seeds,
        founds=file.bootstrap,
        data_folder=pathlib.Path(file.data_dir) if file.data_dir else None,
        heartbeat_seconds=file.heartbeat_ms * SECONDS_PER_MS,
        most_voters=max(MIN_VOTERS, 2 * file.fault_tolerance.machines + 1),
        key_seconds=bounds.revoke_ms * SECONDS_PER_MS * REVOCATION_SHARE,
        apply_seconds=bounds.config_apply_ms * SECONDS_PER_MS * APPLY_SHARE,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_slack,
        retry_window=bounds.retry_window_s,
        stop_seconds=bounds.grace_s * GRACE_SHARE,
        machine=machine_limits.MachineLimits(
            (limits.memory_mb or 0) * BYTES_PER_MB,
            limits.max_fds or 0,
            (limits.client_memory_mb or 0) * BYTES_PER_MB,
            limits.client_connections or 0,
            limits.client_read_timeout_ms * SECONDS_PER_MS,
        ),
    )


class ReloadableSettings:
    """The current settings, which can be reloaded from their file.

    It has the fields of Settings. Changed addresses take effect only when
    the process starts again, other changes at the next use.
    """

    def __init__(self, path):
        """Read the file.

        Raises:
            errors.SettingsError: the file can't be read or is invalid.
        """
        self._path = pathlib.Path(path)
        self._current = load(path)
        self._read_at = self._path.stat().st_mtime_ns

    def __getattr__(self, name):
        return getattr(self._current, name)

    def has_changed(self):
        """Return whether the file was written since it was read."""
        try:
            return self._path.stat().st_mtime_ns != self._read_at
        except OSError as error:
            logs.log("warning", str(error), step="reload", peer=self._path)
            return False

    def reload(self):
        """Read the file again; keep the current settings if it is invalid."""
        try:
            written_at = self._path.stat().st_mtime_ns
            fresh = load(self._path)
        except (OSError, errors.SettingsError) as error:
            logs.log(
                "error",
                f"can't reload settings, keeping the current ones: {error}",
                step="reload",
            )
            return
        changed = [
            name
            for name in Settings._fields
            if getattr(fresh, name) != getattr(self._current, name)
        ]
        self._current = fresh
        self._read_at = written_at
        logs.log(
            "info",
            "settings reloaded",
            step="reload",
            inputs={"changed": changed},
        )
