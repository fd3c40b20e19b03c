"""Rollouts of services: their rows in the log, and the steps of the leader.

The load: a service gets 10 to several thousand requests a second, and a
rollout lasts seconds to hours. The version may turn bad at any time, so that
the share of it is bounded by what may still go wrong until the deadline.
"""

import collections
import math
import time
import typing
import uuid

import msgspec
import trio

from camphorhook_common import commands
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain.routing import announced_versions
from camphorhook_daemon.domain.routing import rollout_evidence
from camphorhook_daemon.domain import state as states

RUNNING, COMPLETED, ROLLED_BACK = "running", "completed", "rolled_back"
TRIAL_PART = 0.5  # of the exposure share; the rest is for the last step
# Of the exposure: reports are late, and rates of requests change.
MOVE_PART = 0.8
REPORT_LAG_SECONDS = 1.0  # requests sent that are not reported yet
TRIAL_SLACK_PART = 0.6
# A burst of requests finds this share in force for up to 1.5 s, until it is
# reported and answered by a lower one.
MAX_TRIAL_SHARE = 0.25
CHANGE_FACTOR = 1.5  # smaller changes are not worth a change of the row
MIN_RATE_SECONDS = 1.5  # the first reports have arrived
MIN_OUTCOMES = 30  # of the target, before all requests move to it
# Between the completion and the deadline, so that it is known by then: a
# commit takes some hundredths of a second. Of short rollouts a part.
COMPLETION_SECONDS = 0.5
COMPLETION_PART = 0.04
MIN_COMPLETION_SECONDS = 0.15
# Instances have found a new leader and reported to it by then.
MIN_LED_SECONDS = 1.2
STEP_SECONDS = 0.1
COMMIT_SECONDS = 1.0  # then the step is decided anew
# A service that got so many requests, none of them at the target, has no
# upstream of it.
MIN_REQUESTS = 100


class Rollout(typing.NamedTuple):
    """A service's rollout, as the row of the table holds it.

    Attributes:
        command: id of the command that began it.
        target: version that the service moves to.
        state: RUNNING, COMPLETED or ROLLED_BACK.
        share: share of the requests that the target gets while RUNNING.
        began_at: wall clock of the replica that took the command, in seconds
            since the epoch.
        duration: seconds until the deadline.
        before: versions that were served when it began.
        denied: versions that get no request.
        reason: why it ended, or an empty text.
        base_share: share that it began with.
    """

    command: str
    target: str
    state: str
    share: float
    began_at: float
    duration: float
    before: tuple[str, ...]
    denied: tuple[str, ...]
    reason: str = ""
    base_share: float = 0.0


def read_cells(cells):
    """Return the Rollout of a row's cells."""
    return Rollout(
        **{
            **{key: cells[key] for key in Rollout._fields if key in cells},
            "before": tuple(msgspec.json.decode(cells["before"])),
            "denied": tuple(msgspec.json.decode(cells["denied"])),
        }
    )


def make_cells(rollout):
    """Return the cells of a Rollout; a cell holds no list."""
    return {
        **rollout._asdict(),
        "before": msgspec.json.encode(rollout.before).decode(),
        "denied": msgspec.json.encode(rollout.denied).decode(),
    }


def begin(last, versions, target, duration, share, now):
    """Return the Rollout that a command begins.

    Args:
        last: the service's last Rollout, or None.
        versions: set of the service's versions in the log.
        target: version that the service moves to.
        duration: seconds until the deadline.
        share: the exposure share.
        now: wall clock, in seconds since the epoch.
    """
    denied = set(last.denied) if last else set()
    # Versions that no upstream has had for a while are not kept for ever.
    denied = (denied & versions) - {target}
    before = versions - denied - {target}
    begun = Rollout(
        uuid.uuid4().hex,
        target,
        RUNNING,
        TRIAL_PART * share,
        now,
        duration,
        tuple(sorted(before)),
        tuple(sorted(denied)),
        "",
        TRIAL_PART * share,
    )
    if target in versions and not before:
        # Most requests would find no upstream, and none is to be moved.
        return complete(begun)
    return begun


def complete(rollout):
    """Return a Rollout that ends at its target."""
    denied = (set(rollout.denied) | set(rollout.before)) - {rollout.target}
    return rollout._replace(
        state=COMPLETED, share=1.0, denied=tuple(sorted(denied))
    )


def roll_back(rollout, reason):
    """Return a Rollout that ends without its target; the reason is text."""
    denied = {*rollout.denied, rollout.target}
    return rollout._replace(
        state=ROLLED_BACK,
        share=0.0,
        denied=tuple(sorted(denied)),
        reason=reason,
    )


class Situation(typing.NamedTuple):
    """What the leader knows when it decides a step.

    Attributes:
        left: seconds until the deadline.
        led: seconds for which this replica has led the log.
        finding: the rollout_evidence.Finding.
        exposure: the rollout_evidence.Exposure.
        is_announced: whether an upstream of the target has registered.
    """

    left: float
    led: float
    finding: rollout_evidence.Finding
    exposure: rollout_evidence.Exposure
    is_announced: bool


def decide(rollout, situation, share, slack):
    """Return the Rollout after the step that is due now.

    Args:
        rollout: the Rollout, which is RUNNING.
        situation: the Situation.
        share: the exposure share.
        slack: the exposure slack, in requests.
    """
    finding = situation.finding
    if finding.is_bad:
        return roll_back(rollout, finding.reason)
    if situation.led < MIN_LED_SECONDS:
        return rollout
    if is_last_step(rollout, situation.left):
        return _conclude(rollout, situation)
    if rollout.share < 1.0 and _may_move(situation, share, slack):
        return rollout._replace(share=1.0)
    trial_share = _compute_trial_share(rollout, situation, slack)
    is_other = (
        trial_share > CHANGE_FACTOR * rollout.share
        or rollout.share > CHANGE_FACTOR * trial_share
    )
    if is_other and finding.outcomes and rollout.share < 1.0:
        return rollout._replace(share=trial_share)
    return rollout


def _compute_trial_share(rollout, situation, slack):
    """Return the share at which few requests are still some evidence.

    With few requests, a part of the slack is more than a part of the share.
    """
    exposure = situation.exposure
    elapsed = rollout.duration - situation.left
    if elapsed < MIN_RATE_SECONDS or not exposure.sent:
        return rollout.base_share
    # A pause of the clients says nothing about the time after it.
    rate = max(exposure.rate, exposure.sent / elapsed)
    expected = exposure.sent + rate * situation.left
    more = TRIAL_SLACK_PART * slack / expected
    return max(
        rollout.base_share, min(MAX_TRIAL_SHARE, rollout.base_share + more)
    )


def is_last_step(rollout, left):
    """Return whether a rollout must end now.

    Args:
        rollout: the Rollout.
        left: seconds until its deadline.
    """
    part = COMPLETION_PART * rollout.duration
    return left <= min(COMPLETION_SECONDS, max(MIN_COMPLETION_SECONDS, part))


def _conclude(rollout, situation):
    """Return the Rollout as it ends at its deadline."""
    finding, exposure = situation.finding, situation.exposure
    if finding.is_suspect:
        return roll_back(rollout, f"suspect at the deadline: {finding.reason}")
    if not situation.is_announced or (
        exposure.sent >= MIN_REQUESTS and not finding.outcomes
    ):
        return roll_back(rollout, "no upstream of the target answers")
    return complete(rollout)


def _may_move(situation, share, slack):
    """Return whether all requests until the deadline fit the exposure."""
    finding, exposure = situation.finding, situation.exposure
    if finding.is_suspect or finding.outcomes < MIN_OUTCOMES:
        return False
    ahead = exposure.rate * situation.left
    allowed = MOVE_PART * (share * (exposure.sent + ahead) + slack)
    unreported = exposure.rate * REPORT_LAG_SECONDS
    return exposure.to_target + share * unreported + ahead <= allowed


class _Watched(typing.NamedTuple):
    """A rollout that this replica leads.

    Attributes:
        rollout: id of its command.
        sums: the rollout_evidence.Sums.
        deadline: seconds on the boot-time clock.
    """

    rollout: str
    sums: rollout_evidence.Sums
    deadline: float


class Rollouts:
    """Decides the steps of all rollouts while this replica leads."""

    def __init__(self, name, replica, settings, now, wall=time.time):
        """Create the object.

        Args:
            name: name of this instance.
            replica: the local Replica.
            settings: settings with `exposure_share` and `exposure_slack`.
            now: function that returns the seconds of the boot-time clock.
            wall: function that returns the seconds since the epoch.
        """
        self._name = name
        self._replica = replica
        self._settings = settings
        self._now = now
        self._wall = wall
        self._watched = {}
        self._led_since = math.inf

    def list_rollouts(self):
        """Return the Rollout by service, and the version of its row."""
        return {
            service: (row.version, read_cells(row.cells))
            for service, row in self._replica.state.tables[
                states.ROLLOUTS_TABLE
            ].items()
        }

    def receive(self, report):
        """Add the counts of a wire.ReportRollout; return the reply."""
        if self._replica.role != "leader":
            return wire.ReportReply(self._replica.leader)
        watched = self._watched.get(report.service)
        if watched is not None and watched.rollout == report.rollout:
            watched.sums.apply(report)
            return wire.ReportReply(self._name, watched.sums.name)
        return wire.ReportReply(self._name)

    async def run(self):
        """Take the steps that are due, until cancelled."""
        while True:
            await trio.sleep(STEP_SECONDS)
            if self._settings.exposure_share is not None:
                await self.step()

    async def step(self):
        """Take the steps that are due now."""
        now = self._now()
        if self._replica.role != "leader":
            self._led_since = math.inf
            self._watched = {}
            return
        self._led_since = min(self._led_since, now)
        running = {
            service: (version, rollout)
            for service, (version, rollout) in self.list_rollouts().items()
            if rollout.state == RUNNING
        }
        for service in self._watched.keys() - running.keys():
            del self._watched[service]
        for service, (version, rollout) in running.items():
            watched = self._watch(service, rollout, now)
            left = watched.deadline - now
            finding = watched.sums.evaluate(now, is_last_step(rollout, left))
            exposure = watched.sums.measure_exposure()
            situation = Situation(
                left,
                now - self._led_since,
                finding,
                exposure,
                announced_versions.make_row(service, rollout.target)
                in self._replica.state.tables[states.VERSIONS_TABLE],
            )
            changed = decide(
                rollout,
                situation,
                self._settings.exposure_share,
                self._settings.exposure_slack,
            )
            if changed != rollout:
                await self._commit(service, version, changed, situation)

    def _watch(self, service, rollout, now):
        watched = self._watched.get(service)
        if watched is not None and watched.rollout == rollout.command:
            return watched
        # From now on, steps of the wall clock have no effect.
        left = rollout.began_at + rollout.duration - self._wall()
        left = min(rollout.duration, max(0.0, left))
        watched = self._watched[service] = _Watched(
            rollout.command, rollout_evidence.Sums(now), now + left
        )
        logs.log(
            "info",
            f"leads the rollout of {service} to {rollout.target!r}",
            step="roll out",
            inputs={"left_ms": int(left * 1000), "share": rollout.share},
        )
        return watched

    async def _commit(self, service, version, changed, situation):
        command = commands.SetCells(
            f"{self._name}/{uuid.uuid4().hex}",
            states.ROLLOUTS_TABLE,
            service,
            version,
            make_cells(changed),
            self._wall(),
        )
        reply = None
        with trio.move_on_after(COMMIT_SECONDS):
            reply = await self._replica.submit(command)
        finding, exposure = situation.finding, situation.exposure
        logs.log(
            "info",
            f"rollout of {service} to {changed.target!r} is {changed.state}, "
            f"share {changed.share:g}",
            step="roll out",
            inputs={
                "code": reply.code if reply else "no majority in time",
                "reason": changed.reason,
                "left_ms": int(situation.left * 1000),
                "score": round(finding.score, 1),
                "outcomes": finding.outcomes,
                "bad": finding.bad,
                "sent": exposure.sent,
                "to_target": exposure.to_target,
                "rate": round(exposure.rate, 1),
            },
        )

    def list_gauges(self):
        """Return {name: {service: number}} of the rollouts in the log."""
        found = collections.defaultdict(dict)
        for service, (_, rollout) in self.list_rollouts().items():
            found["share"][service] = rollout.share
            found["running"][service] = int(rollout.state == RUNNING)
            found["completed"][service] = int(rollout.state == COMPLETED)
        for service, watched in self._watched.items():
            finding = watched.sums.finding
            exposure = watched.sums.measure_exposure()
            found["score"][service] = finding.score
            found["outcomes"][service] = finding.outcomes
            found["bad"][service] = finding.bad
            found["sent"][service] = exposure.sent
            found["sent_to_target"][service] = exposure.to_target
        return found
