"""Which software version may get a request while rollouts are in use.

The load: every request of every entry instance asks, with up to 93 upstreams
of a service. The rows change a few times a minute at most, so that what
follows from them is computed once for each change.
"""

import typing

from camphorhook_common import logs
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain import rollouts
from camphorhook_daemon.domain.routing import rollout_evidence
from camphorhook_daemon.domain import state as states

# Of the time that a rollback may take: an instance whose configuration was
# confirmed longer ago sends nothing to a target. It leaves the leader the rest
# for the verdict, and is several watches long.
CONFIRMED_PART = 0.3


class _Service(typing.NamedTuple):
    """What the configuration says of a service's versions.

    Attributes:
        announced: versions in the log; empty if only replicas of older
            builds heard from the service's upstreams.
        rollout: the rollouts.Rollout, or None.
    """

    announced: frozenset[str]
    rollout: rollouts.Rollout | None


_NONE = _Service(frozenset(), None)


class NoRollouts:
    """Stands in for VersionShares where rollouts are not in use."""

    def split(self, service, candidates, request, version, is_retry):
        """Return the candidates as the only group."""
        return [candidates]

    def find_obstacle(self, upstream):
        """Return "": versions play no role."""
        return ""

    def observe(self, upstream, route, is_comparable):
        """Return an Observation that counts nothing."""
        return Observation(None, "", "", False, False, None)


class Observation:
    """Counts one request to an upstream, if a rollout of its service runs."""

    def __init__(
        self, recorder, route, upstream, is_target, is_comparable, now
    ):
        """Create an observation.

        Args:
            recorder: the rollout_evidence.Recorder; None if none runs.
            route: name of the route.
            upstream: name of the upstream.
            is_target: whether it has the target version.
            is_comparable: whether times can be compared: cold upstreams, and
                those that do not hold the prompt, are slow in any version.
            now: function that returns the time in seconds.
        """
        self._recorder = recorder
        self._place = route, upstream, is_target
        self._is_comparable = is_comparable
        self._now = now
        self._sent_at = None

    def record_sent(self):
        """Count the request, once, as its first byte is sent."""
        if self._recorder is None:
            return
        if self._sent_at is None:
            self._recorder.record_sent(*self._place)
        self._sent_at = self._now()

    def record_served(self):
        """Count an answer without failure, as it or its first event comes."""
        if self._recorder is None or self._sent_at is None:
            return
        seconds = self._now() - self._sent_at
        self._recorder.record_outcome(
            *self._place, False, seconds if self._is_comparable else None
        )

    def record_failed(self):
        """Count a failure of the upstream itself."""
        if self._recorder is not None:
            self._recorder.record_outcome(*self._place, True, None)

    def record_pace(self, seconds):
        """Count the mean time between the events of a whole stream.

        Args:
            seconds: that time; None for too few events.
        """
        if self._recorder is not None and seconds is not None:
            route, upstream, is_target = self._place
            self._recorder.record_time(
                f"{route} (pace)", upstream, is_target, seconds
            )


class VersionShares:
    """Versions that may get requests, and counts of running rollouts."""

    def __init__(self, settings, configuration, now):
        """Create the object.

        Args:
            settings: settings with `exposure_share` and `rollback_seconds`.
            configuration: the Configuration.
            now: function that returns the seconds of the boot-time clock.
        """
        self._settings = settings
        self._configuration = configuration
        self._now = now
        self._changed = None
        self._services = {}
        self._own = {}

    def _find(self, service):
        """Return the _Service by the configuration in force."""
        if self._settings.exposure_share is None:
            return _NONE
        if self._changed is not self._configuration.changed:
            self._read()
        return self._services.get(service, _NONE)

    def _read(self):
        """Compute what follows from the rows."""
        self._changed = self._configuration.changed
        announced = {}
        rows = self._configuration.list_rows(states.VERSIONS_TABLE)
        for _, cells in rows.values():
            announced.setdefault(cells["service"], set()).add(cells["version"])
        rows = self._configuration.list_rows(states.ROLLOUTS_TABLE)
        found = {
            service: rollouts.read_cells(cells)
            for service, (_, cells) in rows.items()
        }
        for service in found.keys() | announced.keys():
            versions = frozenset(announced.get(service, ()))
            before = self._services.get(service, _NONE).rollout
            rollout = found.get(service)
            self._services[service] = _Service(versions, rollout)
            if rollout != before:
                self._obey(service, rollout)
        for service in self._services.keys() - found.keys() - announced.keys():
            del self._services[service]
            self._own.pop(service, None)

    def _obey(self, service, rollout):
        """Begin to count, or stop, after a row has changed."""
        if rollout is None or rollout.state != rollouts.RUNNING:
            self._own.pop(service, None)
        elif (
            service not in self._own
            or self._own[service].recorder.rollout != rollout.command
        ):
            self._own[service] = OwnEvidence(rollout, self._now())
        logs.log(
            "info",
            "obeys a change of a rollout",
            step="take up rollout",
            inputs={
                "service": service,
                "rollout": rollout and rollout._asdict(),
                "index": self._configuration.index,
            },
        )

    def split(self, service, candidates, request, version, is_retry):
        """Return groups of candidates; a later one is used if none will do.

        Args:
            service: name of the service.
            candidates: wire.Registrations of upstreams.
            request: id of the request.
            version: version that began the request's stream, or None.
            is_retry: whether an attempt was made before.

        Returns:
            At least one list of wire.Registrations.
        """
        if self._settings.exposure_share is None:
            return [candidates]
        found = self._find(service)
        if found.announced:
            # An upstream of a version that is not in the configuration here
            # may be the target of a rollout that is not, either.
            candidates = [
                one for one in candidates if one.version in found.announced
            ]
        rollout = found.rollout
        if rollout is None:
            return [candidates]
        candidates = [
            one for one in candidates if one.version not in rollout.denied
        ]
        if rollout.state != rollouts.RUNNING:
            return [candidates]
        old = [one for one in candidates if one.version != rollout.target]
        if not self._may_use_target(service):
            return [old]
        if version is not None:
            return [candidates]
        if hashing.hash_to_fraction(rollout.command, request) >= rollout.share:
            return [old]
        new = [one for one in candidates if one.version == rollout.target]
        return [old, new] if is_retry else [new, old]

    def _may_use_target(self, service):
        """Return whether this instance may send to the target at all."""
        limit = CONFIRMED_PART * self._settings.rollback_seconds
        if self._configuration.measure_confirmed_age() > limit:
            return False
        own = self._own.get(service)
        return own is not None and not own.is_bad

    def find_obstacle(self, upstream):
        """Return why an upstream may get no request by its version, or ""."""
        found = self._find(upstream.service)
        rollout = found.rollout
        if rollout is None:
            return ""
        if upstream.version in rollout.denied:
            return f"version {upstream.version} is out of service"
        if (
            upstream.version == rollout.target
            and rollout.state == rollouts.RUNNING
            and not self._may_use_target(upstream.service)
        ):
            return f"version {upstream.version} may not be tried now"
        return ""

    def observe(self, upstream, route, is_comparable):
        """Return the Observation of a request that is about to be sent.

        Args:
            upstream: wire.Registration of the upstream.
            route: name of the route.
            is_comparable: whether its time can be compared with others.
        """
        own = self._own.get(upstream.service)
        return Observation(
            own and own.recorder,
            route,
            upstream.name,
            own is not None and upstream.version == own.target,
            is_comparable,
            self._now,
        )

    def list_running(self):
        """Return the OwnEvidence by service of the rollouts that run."""
        if self._settings.exposure_share is None:
            return {}
        self._find("")
        return dict(self._own)


class OwnEvidence:
    """What this instance has seen of a running rollout.

    Attributes:
        recorder: the rollout_evidence.Recorder.
        target: the target version.
        is_bad: this instance stopped sending to the target by itself.
    """

    def __init__(self, rollout, now):
        """Create it without evidence.

        Args:
            rollout: the rollouts.Rollout.
            now: time in seconds.
        """
        self.recorder = rollout_evidence.Recorder(rollout.command)
        self.target = rollout.target
        self.is_bad = False
        self._sums = rollout_evidence.Sums(now)

    def judge(self, report, now):
        """Stop using the target if the own counts show that it is bad.

        Args:
            report: the wire.ReportRollout with the own counts.
            now: time in seconds.
        """
        self._sums.apply(report)
        finding = self._sums.evaluate(now)
        if finding.is_bad and not self.is_bad:
            self.is_bad = True
            logs.log(
                "warning",
                f"stops using version {self.target!r} of {report.service}",
                step="judge rollout",
                inputs=finding._asdict(),
            )
