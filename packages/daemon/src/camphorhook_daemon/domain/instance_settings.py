"""The settings of an instance on the platform, as the daemon uses them."""

import pathlib
import typing

from camphorhook_common import settings as settings_module
from camphorhook_daemon.domain import machine_limits

METRICS_PORT = 9464  # as in deploy/system.toml


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
        exposure_share: share of a service's requests that a bad version may
            get during a rollout; None if there are no rollouts.
        exposure_slack: requests that it may get beyond that.
        rollback_seconds: from its 50th bad response to its last request.
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
    exposure_share: float | None = None
    exposure_slack: float = 0.0
    rollback_seconds: float = 5.0

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
