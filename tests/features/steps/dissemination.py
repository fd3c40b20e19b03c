"""Step definitions for dissemination, on a simulated clock."""

import collections
import heapq
import itertools

import behave

from camphorhook_common import wire
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain.routing import cache_index
from camphorhook_daemon.domain.routing import dissemination
from camphorhook_daemon.domain.routing import loads
from camphorhook_daemon.domain.routing import outcomes
from camphorhook_daemon.domain.routing import pressure
from camphorhook_daemon.domain.routing import summaries
from camphorhook_daemon.domain.routing import upstream_limits
from camphorhook_daemon.domain.routing import withdrawals
from camphorhook_daemon.domain import verdicts
from camphorhook_daemon.ports import notices

NETWORK_DELAY_SECONDS = 0.002
PART_TOKENS = 2000


class Instance:
    """One instance's records, and counts of the messages it read."""

    def __init__(self, name, now):
        self.name = name
        self.loads = loads.FleetLoads(name, now)
        self.cache_index = cache_index.CacheIndex()
        self.outcomes = outcomes.Outcomes(now)
        self.withdrawals = withdrawals.Withdrawals(now)
        self.limits = upstream_limits.UpstreamLimits(now)
        self.evidence = crash_evidence.CrashEvidence(
            verdicts.SHARED_LIMIT, now
        )
        self.disseminator = dissemination.Dissemination(
            name,
            self.loads,
            self.cache_index,
            self.outcomes,
            self.withdrawals,
            self.limits,
            self.evidence,
            pressure.Pressure(now),
            now,
        )
        self.news_reads = collections.Counter()
        self.news_bytes = collections.Counter()
        self.reads = collections.Counter()
        self.is_lost = False


class Fleet:
    """Instances whose messages reach each other after a delay."""

    def __init__(self, count, domains):
        self.time = 100.0
        self.domains = {
            f"10.{n % domains}.0.{n}": f"zone-{n % domains}"
            for n in range(count)
        }
        self.instances = {
            name: Instance(name, self.read_time) for name in self.domains
        }
        self.engines = [f"engine-{n}" for n in range(20)]
        self.sent = collections.Counter()
        self._events = []
        self._order = itertools.count()
        for index, instance in enumerate(self.instances.values()):
            instance.disseminator.update_instances(self.domains)
            start = self.time + 0.001 * (index % 100)
            self._schedule(start, self._publish_notice, instance)
            self._schedule(start, self._publish_summaries, instance)

    def read_time(self):
        """Return the simulated time in seconds."""
        return self.time

    def _schedule(self, at, action, *arguments):
        heapq.heappush(
            self._events, (at, next(self._order), action, arguments)
        )

    def run(self, seconds):
        """Simulate the given seconds of publishing and reading."""
        until = self.time + seconds
        while self._events and self._events[0][0] <= until:
            self.time, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.time = until

    def _deliver(self, reader, action, message):
        if not reader.is_lost:
            reader.reads[int(self.time)] += 1
            action(message)

    def _publish_notice(self, instance):
        if instance.is_lost:
            return
        for message in instance.disseminator.make_news():
            self._publish_news(instance, message)
        notice = instance.disseminator.make_notice()
        for reader in self.instances.values():
            if instance.name in reader.disseminator.plan.members:
                self._schedule(
                    self.time + NETWORK_DELAY_SECONDS,
                    self._deliver,
                    reader,
                    reader.disseminator.apply_notice,
                    notice,
                )
        wait = instance.disseminator.compute_notice_interval()
        self._schedule(self.time + wait, self._publish_notice, instance)

    def _publish_news(self, instance, message):
        for topic in instance.disseminator.list_news_topics():
            for reader in self.instances.values():
                plan = reader.disseminator.plan
                sources = {
                    notices.NOTICE: plan.members,
                    notices.GROUP_SUMMARY: plan.list_peer_relays(reader.name),
                    notices.FLEET_SUMMARY: plan.list_summary_sources(),
                }
                if instance.name in sources[topic]:
                    self._schedule(
                        self.time + NETWORK_DELAY_SECONDS,
                        self._deliver_news,
                        reader,
                        message,
                    )

    def _deliver_news(self, reader, news):
        if not reader.is_lost:
            kind = type(news)
            reader.news_reads[kind] += 1
            reader.news_bytes[kind] += len(wire.encode(news)[1])
            reader.disseminator.apply_news(news)

    def restart(self, name):
        """Replace an instance by one without any records."""
        self.instances[name] = Instance(name, self.read_time)
        self.instances[name].disseminator.update_instances(self.domains)

    def _publish_summaries(self, instance):
        if instance.is_lost or not instance.disseminator.plan.is_relay:
            return
        for summary in instance.disseminator.make_summaries():
            for reader in self.instances.values():
                plan = reader.disseminator.plan
                sources = plan.list_summary_sources()
                if summary.scope == dissemination.GROUP:
                    sources = plan.list_peer_relays(reader.name)
                if instance.name in sources:
                    self._schedule(
                        self.time + NETWORK_DELAY_SECONDS,
                        self._deliver,
                        reader,
                        self._make_summary_handler(reader),
                        summary,
                    )
        wait = instance.disseminator.compute_summary_interval()
        self._schedule(self.time + wait, self._publish_summaries, instance)

    def _make_summary_handler(self, reader):
        return lambda summary: reader.disseminator.apply_summary(
            summary, self.engines
        )

    def list_alive(self):
        """Return the instances that were not lost."""
        return [one for one in self.instances.values() if not one.is_lost]


@behave.given("{count:d} entry instances in {domains:d} failure domains")
def make_fleet(context, count, domains):
    context.simulated_fleet = Fleet(count, domains)


@behave.when("each of them sends {count:d} requests to one of 20 engines")
def send_requests(context, count):
    fleet = context.simulated_fleet
    for index, instance in enumerate(fleet.instances.values()):
        engine = fleet.engines[index % len(fleet.engines)]
        for _ in range(count):
            instance.loads.begin(engine, 2 * summaries.PREFILL_UNIT_TOKENS)
            fleet.sent[engine] += 1
        part = f"part-{engine}"
        instance.cache_index.record_placement(
            part, PART_TOKENS, engine, fleet.time
        )


@behave.when("all requests end")
def end_requests(context):
    fleet = context.simulated_fleet
    for instance in fleet.instances.values():
        for engine, (
            count,
            pending_tokens,
        ) in instance.loads.list_own().items():
            instance.loads.subtract_prefill(engine, pending_tokens)
            for _ in range(count):
                instance.loads.end(engine)
    fleet.sent.clear()


@behave.when("the instances exchange messages for {seconds:d} seconds")
def run_fleet(context, seconds):
    context.simulated_fleet.run(seconds)


@behave.when("the {which} relays of all groups are lost without notice")
def lose_relays(context, which):
    fleet = context.simulated_fleet
    plan = next(iter(fleet.instances.values())).disseminator.plan
    position = ("first", "second").index(which)
    for ranked in plan.relays.values():
        lost = fleet.instances[ranked[position]]
        lost.is_lost = True
        for engine, (count, _) in lost.loads.list_own().items():
            fleet.sent[engine] -= count


@behave.when(
    "every instance records {good:d} good and {bad:d} bad outcome of an engine"
)
def record_outcomes(context, good, bad):
    for instance in context.simulated_fleet.instances.values():
        for _ in range(good):
            instance.outcomes.record("engine-0", True)
        for _ in range(bad):
            instance.outcomes.record("engine-0", False)


@behave.then("each of them knows the whole load on every engine")
def check_loads(context):
    fleet = context.simulated_fleet
    for instance in fleet.list_alive():
        heard = instance.loads.count_reporting_instances()
        assert heard == len(fleet.list_alive()) - 1, (instance.name, heard)
        for engine in fleet.engines:
            in_flight, pending_tokens = instance.loads.sum_load(engine)
            assert in_flight == fleet.sent[engine], (instance.name, engine)
            assert (
                pending_tokens == in_flight * 2 * summaries.PREFILL_UNIT_TOKENS
            )


@behave.then("each of them knows which engines hold the shared parts")
def check_parts(context):
    fleet = context.simulated_fleet
    for instance in fleet.instances.values():
        for engine in fleet.sent:
            holders = instance.cache_index.find_holders(
                f"part-{engine}", fleet.time
            )
            assert holders == [engine], (instance.name, engine, holders)


@behave.then("no instance read more than {count:d} messages in a second")
def check_reads(context, count):
    for instance in context.simulated_fleet.instances.values():
        most = max(instance.reads.values(), default=0)
        assert most <= count, (instance.name, most)


@behave.then("each of them counts {good:d} good and {bad:d} bad outcomes once")
def check_outcomes(context, good, bad):
    for instance in context.simulated_fleet.list_alive():
        counted = instance.outcomes.count("engine-0")
        # Each count has decayed since a different moment of the last second.
        for whole, found in zip((good, bad), counted, strict=True):
            assert 0.75 * whole < found <= whole, (instance.name, counted)
