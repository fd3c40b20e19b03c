"""Exchange of loads, outcomes and placements between instances.

Each instance publishes a Notice about its own requests. In a small fleet all
instances read it. In a large fleet only the relays of the instance's group
read it, and publish Summaries; see `relays`. Departures, limits and crashes
of upstreams go the same way, each passed on once by every relay that it
reaches.
"""

import collections
import functools

from camphorhook_common import wire
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import relays
from camphorhook_daemon.domain.routing import summaries
from camphorhook_daemon.ports import notices

MAX_INTERVAL_SECONDS = 0.4  # longest interval between notices or summaries
MIN_INTERVAL_SECONDS = 0.01  # shortest interval between two of them
NOTICE_STEP_SECONDS = 0.003  # added for each instance that a reader reads
# The same in groups, whose relays publish less often than every 0.3 s.
GROUP_NOTICE_STEP_SECONDS = 0.008
SUMMARY_STEP_SECONDS = 0.008  # added per reader: 1 kB each, 1 Mbit/s in total
GROUP, WHOLE = "group", "whole"  # scope of a summary
MAX_PLACEMENTS = 256  # in one summary: 8 kB
_FLEET_SOURCE = "all"  # source of the fleet's load as summed by a relay


class _PendingSummary:
    """Placements and outcomes to be sent in the next summary."""

    def __init__(self):
        self.placements = collections.OrderedDict()
        self.successes = collections.Counter()
        self.failures = collections.Counter()

    def add(self, placements, outcomes):
        """Add placements, and outcomes as (upstream, successes, failures)."""
        for placement in placements:
            self.placements[placement] = None
        while len(self.placements) > MAX_PLACEMENTS:
            self.placements.popitem(last=False)
        for upstream, successes, failures in outcomes:
            self.successes[upstream] += successes
            self.failures[upstream] += failures


def _limit_load(in_flight, pending_prefill_tokens):
    """Return a load that another instance reported.

    Older builds add up any number that clients name. Tokens that its
    requests can't have count as none.
    """
    most = max(0, in_flight) * costs.MAX_REQUEST_WORK
    if not 0 <= pending_prefill_tokens <= most:
        pending_prefill_tokens = 0
    return in_flight, pending_prefill_tokens


def _make_pending():
    return {GROUP: _PendingSummary(), WHOLE: _PendingSummary()}


class Dissemination:
    """Builds and applies the messages of one instance.

    Attributes:
        name: name of this instance.
        plan: the current relays.Plan.
    """

    def __init__(
        self,
        name,
        loads,
        cache_index,
        outcomes,
        withdrawals,
        limits,
        evidence,
        pressure,
        now,
    ):
        """Create the state of an instance that knows no others.

        Args:
            name: name of this instance.
            loads: the loads.FleetLoads.
            cache_index: the cache_index.CacheIndex.
            outcomes: the outcomes.Outcomes.
            withdrawals: the withdrawals.Withdrawals.
            limits: the upstream_limits.UpstreamLimits.
            evidence: the crash_evidence.CrashEvidence.
            pressure: the pressure.Pressure.
            now: function that returns the time in seconds.
        """
        self.name = name
        self._loads = loads
        self._cache_index = cache_index
        self._outcomes = outcomes
        self._withdrawals = withdrawals
        self._limits = limits
        self._evidence = evidence
        self._pressure = pressure
        self._evidence_cursor = 0
        self._now = now
        self._relay_monitor = relays.RelayMonitor()
        self._published_outcomes = {}
        self._pending = {}
        self._instances = {}
        self.plan = relays.plan(name, {})

    def update_instances(self, instances):
        """Update the plan; return whether it has changed.

        Args:
            instances: failure domain by name of the instances alive.
        """
        if instances == self._instances:
            return False
        self._instances = dict(instances)
        new = relays.plan(self.name, instances)
        if new == self.plan:
            return False
        self.plan = new
        sources = {*new.members, *new.relays}
        if not new.is_relay:
            sources.add(_FLEET_SOURCE)
            self._pending = {}
        elif not self._pending:
            self._pending = _make_pending()
        for ranked in new.relays.values():
            self._relay_monitor.expect(ranked, self._now())
        self._loads.retain(sources)
        self._published_outcomes = {}
        return True

    def compute_notice_interval(self):
        """Return the shortest interval between notices in seconds."""
        step = NOTICE_STEP_SECONDS
        if self.plan.group:
            step = GROUP_NOTICE_STEP_SECONDS
        return MIN_INTERVAL_SECONDS + step * (self.plan.size - 1)

    def compute_summary_interval(self):
        """Return the shortest interval between summaries in seconds."""
        plan = self.plan
        readers = len(plan.members) + len(plan.list_peer_relays(self.name))
        return MIN_INTERVAL_SECONDS + SUMMARY_STEP_SECONDS * readers

    # --- notices ---------------------------------------------------------

    def make_notice(self):
        """Return a Notice with the load and the changes since the last one."""
        placements = self._cache_index.drain_unpublished()
        outcomes = self._outcomes.drain_unpublished()
        for pending in self._pending.values():
            pending.add(placements, outcomes)
        if self.plan.group and not self.plan.is_relay:
            for upstream, successes, failures in outcomes:
                known = self._published_outcomes.get(upstream, (0, 0))
                self._published_outcomes[upstream] = (
                    known[0] + successes,
                    known[1] + failures,
                )
        own = self._loads.list_own()
        loads = [wire.UpstreamLoad(name, *load) for name, load in own.items()]
        self._loads.mark_published()
        return wire.Notice(self.name, loads, placements, outcomes)

    def apply_notice(self, notice):
        """Apply a Notice; ignore it if its sender is not in the plan."""
        if notice.sender not in self.plan.members:
            return
        loads = {name: _limit_load(*load) for name, *load in notice.loads}
        self._loads.set_reported(notice.sender, loads)
        self._cache_index.merge_placements(notice.placements, self._now())
        self._outcomes.merge(notice.outcomes)
        for pending in self._pending.values():
            pending.add(notice.placements, notice.outcomes)

    # --- news of upstreams -------------------------------------------------

    def make_news(self):
        """Return the messages on upstreams and services to publish."""
        departures = self._withdrawals.drain_unpublished()
        limits = self._limits.drain_unpublished()
        crashes, self._evidence_cursor = self._evidence.collect_changes(
            self.name, self._evidence_cursor
        )
        news = []
        if departures:
            news.append(wire.Departures(self.name, departures))
        if limits:
            news.append(wire.LimitNews(self.name, limits))
        if crashes is not None:
            news.append(crashes)
        services = self._pressure.drain_unpublished()
        if services:
            news.append(wire.PressureNews(self.name, services))
        return news

    def list_news_topics(self):
        """Return the topics for news of upstreams.

        A relay passes on those of its group to the others, and theirs to its
        group.
        """
        if self.plan.is_relay:
            return notices.TOPICS
        return (notices.NOTICE,)

    @functools.singledispatchmethod
    def apply_news(self, message):
        """Apply a message that `make_news` of another instance returned.

        Returns:
            True if this instance has some to publish.

        Raises:
            TypeError: it is another message.
        """
        raise TypeError(f"unexpected message type {type(message).__name__}")

    @apply_news.register
    def _(self, message: wire.Departures):
        return self._withdrawals.merge(message.departures, self.plan.is_relay)

    @apply_news.register
    def _(self, message: wire.LimitNews):
        is_relay = self.plan.is_relay
        return self._limits.merge(message, is_relay) and is_relay

    @apply_news.register
    def _(self, message: wire.CrashNews):
        is_relay = self.plan.is_relay
        return self._evidence.merge(message, is_relay) and is_relay

    @apply_news.register
    def _(self, message: wire.PressureNews):
        is_relay = self.plan.is_relay
        return self._pressure.merge(message, is_relay) and is_relay

    # --- summaries ---------------------------------------------------------

    def make_summaries(self):
        """Return the Summaries that this instance has to publish.

        Only the first relay of a group that is alive publishes. The others
        discard what is pending, as that relay has published it.
        """
        plan = self.plan
        if not plan.is_relay:
            return []
        pending, self._pending = self._pending, _make_pending()
        ranked = plan.relays[plan.group]
        before = ranked[: ranked.index(self.name)]
        if self._relay_monitor.find_active(before, self._now()):
            return []
        sources = {GROUP: plan.members, WHOLE: None}
        return [
            self._make_summary(
                scope, *self._loads.sum_sources(sources[scope]), pending[scope]
            )
            for scope in (GROUP, WHOLE)
        ]

    def _make_summary(self, scope, instances, loads, pending):
        names = {*loads, *pending.successes, *pending.failures}
        sums = {
            name: summaries.UpstreamTotals(
                *loads.get(name, (0, 0)),
                pending.successes[name],
                pending.failures[name],
            )
            for name in names
        }
        return wire.Summary(
            self.name,
            self.plan.group,
            scope,
            instances,
            summaries.pack(sums),
            list(pending.placements),
        )

    def apply_summary(self, summary, upstreams):
        """Apply a Summary, unless its sender is not the active relay.

        Args:
            summary: the wire.Summary.
            upstreams: names of the upstreams known to this instance.

        Raises:
            struct.error: the packed sums are malformed.
        """
        now = self._now()
        self._relay_monitor.record_message(summary.sender, now)
        ranked = self.plan.relays.get(summary.group, ())
        if self._relay_monitor.find_active(ranked, now) != summary.sender:
            return
        is_own = summary.group == self.plan.group
        if is_own == (summary.scope == GROUP):
            return
        sums = summaries.unpack(summary.sums, upstreams)
        outcomes = [
            wire.UpstreamOutcomes(name, one.successes, one.failures)
            for name, one in sums.items()
            if one.successes or one.failures
        ]
        if is_own:
            outcomes = self._subtract_own_outcomes(outcomes)
            loads = self._loads.subtract_own(sums)
            self._loads.set_reported(
                _FLEET_SOURCE, loads, summary.instances - 1
            )
        else:
            loads = {name: one[:2] for name, one in sums.items()}
            self._loads.set_reported(summary.group, loads, summary.instances)
        self._cache_index.merge_placements(summary.placements, now)
        self._outcomes.merge(outcomes)
        if self.plan.is_relay:
            self._pending[WHOLE].add(summary.placements, outcomes)

    def _subtract_own_outcomes(self, outcomes):
        """Return outcomes without those published by this instance."""
        rest = []
        for upstream, successes, failures in outcomes:
            own_successes, own_failures = self._published_outcomes.pop(
                upstream, (0, 0)
            )
            others = max(0, successes - own_successes), max(
                0, failures - own_failures
            )
            if any(others):
                rest.append(wire.UpstreamOutcomes(upstream, *others))
        return rest
