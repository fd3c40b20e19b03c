"""Reports of entry instances to the leader while rollouts run.

The load: a leader with a quarter of a core gets the reports of up to 300
instances, each some hundred bytes, so that their rate over the fleet is
bounded.
"""

import collections
import uuid

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire

INTERVAL_SECONDS = 0.5
FLEET_REPORTS_PER_SECOND = 150.0  # some 0.3 ms each: 5 % of a core
TIMEOUT_SECONDS = 0.4  # the next report holds the same and more
TRIES = 3  # the first may not lead any more; the next gets all counts


class Reporter:
    """Tells the leader what this instance counted of running rollouts."""

    def __init__(self, name, shares, catalog, configuration, transport, now):
        """Create the object.

        Args:
            name: name of this instance.
            shares: the rollout_shares.VersionShares.
            catalog: the UpstreamCatalog.
            configuration: the Configuration, which knows the leader.
            transport: a Transport.
            now: function that returns the seconds of the boot-time clock.
        """
        self._name = name
        self._run = uuid.uuid4().hex[:12]
        self._shares = shares
        self._catalog = catalog
        self._configuration = configuration
        self._transport = transport
        self._now = now
        # Counts that the leader has, by service, route, class and upstream.
        self._taken = {}

    async def run(self):
        """Report until cancelled."""
        while True:
            instances = self._catalog.count_instances()
            await trio.sleep(
                max(INTERVAL_SECONDS, instances / FLEET_REPORTS_PER_SECOND)
            )
            running = self._shares.list_running()
            for service in self._taken.keys() - running.keys():
                del self._taken[service]
            for service, own in running.items():
                report = self._make_report(service, own)
                own.judge(report, self._now())
                await self._send(report)

    def _make_report(self, service, own):
        versions = collections.Counter(
            one.version for one in self._catalog.list_service(service)
        )
        return wire.ReportRollout(
            service,
            own.recorder.rollout,
            self._name,
            self._run,
            versions[own.target],
            own.recorder.list_counts(),
        )

    async def _send(self, report):
        leader = self._configuration.leader
        for _ in range(TRIES):
            if not leader:
                return
            taken_by, taken = self._taken.get(report.service, ("", {}))
            try:
                reply = await self._transport.call(
                    leader, leave_out(report, taken), TIMEOUT_SECONDS
                )
            except errors.CamphorhookError as error:
                logs.log("debug", error.format(), step="report", peer=leader)
                return
            if not reply.taken_by:
                if reply.leader == leader:
                    return
                leader = reply.leader
                continue
            if reply.taken_by == taken_by or not taken:
                self._taken[report.service] = (
                    reply.taken_by,
                    {one[:3]: one for one in report.counts},
                )
                return
            # Other sums know nothing: they get all.
            self._taken[report.service] = (reply.taken_by, {})


def leave_out(report, taken):
    """Return a report without the counts that the leader has.

    Args:
        report: the wire.ReportRollout.
        taken: wire.RolloutCounts by route, class and upstream.
    """
    return report._replace(
        counts=[one for one in report.counts if taken.get(one[:3]) != one]
    )
