"""Reads the platform's settings file into the daemon's own types.

`deploy/settings.json.template` has the platform write the file as JSON.
"""

import os
import pathlib
import typing

import msgspec

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import settings as settings_module

METRICS_PORT = 9464  # stands in deploy/system.toml too
FILE_VARIABLE = "CAMPHORHOOK_BOOT"
MS = 0.001


class _Listen(msgspec.Struct, rename="pascal"):
    frontend_addr: str = ""
    readiness_addr: str = ""
    control: str = ""


class _Tolerance(msgspec.Struct, rename="pascal"):
    machines: int = 1


class _Bounds(msgspec.Struct, rename="pascal"):
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50
    grace_s: float = 8


class _File(msgspec.Struct, rename="pascal"):
    """The fields of the file that are used; others are ignored."""

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: list[int]
    # Control addresses; only their machines matter, see `seeds` below.
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: float = 1200
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class Timing(typing.NamedTuple):
    """Intervals of the log and of watches, in milliseconds."""

    heartbeat_ms: int = 150  # four within an election's shortest wait
    election_ms: int = 600  # beyond a lost packet's resending and a pause
    drift_percent: int = 5
    watch_ms: int = 400  # a tenth of how long keys hold without contact


class Settings(typing.NamedTuple):
    """The settings of an instance on the platform.

    Attributes:
        name: the instance's address, by which others call it.
        label: its name in logs.
        failure_domain: where it runs.
        failure_domains: all there are.
        callers: where clients connect, or None.
        readiness: where readiness is asked for, or None.
        control: where upstreams and operators connect, or None.
        peers_listener: where other instances connect.
        seeds: names of replicas known at the start.
        founds: this is the very first start of all.
        data_folder: folder on a disk; None without one.
        heartbeat_seconds: between registrations of an upstream.
        most_voters: replicas that vote, at most.
        key_seconds: how long a client's key may be used without word of
            the configuration.
        retry_ratio, retry_slack, retry_window: the retry budget.
        stop_seconds: longest graceful stop.
        timing: the Timing.
        peers: instances known by more than their address; none.
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
    retry_ratio: float
    retry_slack: float
    retry_window: float
    stop_seconds: float
    timing: Timing = Timing()
    peers: tuple = ()

    def list_replicas(self):
        """Return the names of the replicas known at the start."""
        names = set(self.seeds)
        if self.control is not None:
            names.add(self.name)
        return sorted(names)

    @property
    def metrics(self):
        """Where metrics are read."""
        return settings_module.Endpoint(self.name, METRICS_PORT)

    @property
    def notices_listener(self):
        """Where other instances subscribe to this one's notices."""
        return self.locate_notices(self.name)

    def locate_notices(self, name):
        """Return where an instance publishes its notices."""
        return settings_module.Endpoint(name, self.peers_listener.port + 1)

    def locate(self, name):
        """Return where an instance listens for others."""
        return settings_module.Endpoint(name, self.peers_listener.port)


KEY_SHARE = 0.85  # of the bound on lost keys; covers the last hop
STOP_SHARE = 0.9  # of the time until the platform kills the process
LEAST_VOTERS = 3


def _read_listener(text):
    if not text:
        return None
    address, _, port = text.rpartition(":")
    return settings_module.Endpoint(address, int(port))


def find_file():
    """Return the path of the settings file.

    Raises:
        errors.SettingsError: the environment doesn't name it.
    """
    path = os.environ.get(FILE_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            f"the environment does not set {FILE_VARIABLE}; name the "
            "settings file with it",
            step="settings",
        )
    return path


def load(path):
    """Return the Settings of a file.

    Raises:
        errors.SettingsError: the file is missing or wrong.
    """
    try:
        read = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=_File)
        return _translate(read)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            str(error), step="settings", peer=str(path)
        ) from error


def _translate(read):
    bounds = read.bounds
    seeds = tuple(text.rpartition(":")[0] for text in read.seeds)
    return Settings(
        name=read.ip,
        label=read.node_name,
        failure_domain=read.zone,
        failure_domains=tuple(read.zones),
        callers=_read_listener(read.listen.frontend_addr),
        readiness=_read_listener(read.listen.readiness_addr),
        control=_read_listener(read.listen.control),
        peers_listener=settings_module.Endpoint(
            read.ip, read.internal_ports[0]
        ),
        seeds=seeds,
        founds=read.bootstrap,
        data_folder=pathlib.Path(read.data_dir) if read.data_dir else None,
        heartbeat_seconds=read.heartbeat_ms * MS,
        most_voters=max(LEAST_VOTERS, 2 * read.fault_tolerance.machines + 1),
        key_seconds=bounds.revoke_ms * MS * KEY_SHARE,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_slack,
        retry_window=bounds.retry_window_s,
        stop_seconds=bounds.grace_s * STOP_SHARE,
    )


class LiveSettings:
    """The settings in force; they change when the file does.

    Fields are those of Settings. Addresses hold for the life of the
    process; what else changes holds from the next use on.
    """

    def __init__(self, path):
        """Read the file.

        Raises:
            errors.SettingsError: the file is missing or wrong.
        """
        self._path = pathlib.Path(path)
        self._current = load(path)
        self._read_at = self._path.stat().st_mtime_ns

    def __getattr__(self, name):
        return getattr(self._current, name)

    def has_changed(self):
        """Tell whether the file was written since it was read."""
        try:
            return self._path.stat().st_mtime_ns != self._read_at
        except OSError as error:
            logs.log("warning", str(error), step="reload", peer=self._path)
            return False

    def reload(self):
        """Read the file again; a wrong one leaves the settings as they are."""
        try:
            written_at = self._path.stat().st_mtime_ns
            fresh = load(self._path)
        except (OSError, errors.SettingsError) as error:
            logs.log(
                "error",
                f"can't use the settings file, keeps the old one: {error}",
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
