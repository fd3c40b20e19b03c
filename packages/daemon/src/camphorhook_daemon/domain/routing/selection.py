"""Selects an upstream by configuration, load, health and cached prompts."""

import collections
import math
import typing

from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain import request_traits
from camphorhook_daemon.domain.routing import choice as choices
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import places as place_grants
from camphorhook_daemon.domain.routing import rate_permits
from camphorhook_daemon.domain.routing import rollout_shares
from camphorhook_daemon.domain.routing import speeds

# Of the latency objective or the time left: longest wait for the prefill of a
# part, which would take as long if repeated.
PREFILL_WAIT_SHARE = 0.25
MIN_CONNECTIONS = 2  # to an upstream, for any number of instances
FULL_RETRY_SECONDS = 1.0  # until some requests of a full upstream have ended
# Range of the additional waits of clients that are refused during a pause.
PAUSE_SPREAD_SECONDS = 0.3


class Refusal(typing.NamedTuple):
    """Why no upstream can be selected now.

    Attributes:
        reason: one sentence.
        retry_after: seconds until one can be selected; 0 if unknown.
        is_final: whether none can be selected later either.
    """

    reason: str
    retry_after: float = 0.0
    is_final: bool = False


class Held(typing.NamedTuple):
    """What a request holds that may be sent.

    Attributes:
        choice: the choice.Choice.
        permit: a rate_permits.Permit; None if none is needed.
        place: a places.Place; None if none is needed.
    """

    choice: choices.Choice
    permit: rate_permits.Permit | None
    place: place_grants.Place | None


class Selector:
    """Selects upstreams for requests.

    Attributes:
        health: UpstreamHealth by upstream.
        loads: the loads.FleetLoads.
        outcomes: the outcomes.Outcomes of requests to upstreams.
        withdrawals: the withdrawals.Withdrawals of upstreams.
        limits: the upstream_limits.UpstreamLimits that upstreams named.
        permits: the rate_permits.RatePermits for upstreams that take few
            requests per second.
        places: the places.Places at upstreams that take few at once.
        speeds: the speeds.Speeds that upstreams reported.
        costs: the costs.Costs of requests to upstreams that report speeds.
        rollouts: the rollout_shares.VersionShares.
    """

    def __init__(
        self,
        catalog,
        cache_index,
        loads,
        outcomes,
        withdrawals,
        limits,
        permits,
        places,
        rules,
        instance,
        rollouts=None,
    ):
        """Create a selector.

        Args:
            catalog: the catalogs.UpstreamCatalog of upstreams.
            cache_index: the cache_index.CacheIndex of shared parts.
            loads: the loads.FleetLoads.
            outcomes: the outcomes.Outcomes.
            withdrawals: the withdrawals.Withdrawals.
            limits: the upstream_limits.UpstreamLimits.
            permits: the rate_permits.RatePermits.
            places: the places.Places.
            rules: the configuration in force: `get_table`,
                `list_excluded_domains`.
            instance: (name, failure domain) of this instance.
            rollouts: the rollout_shares.VersionShares; without it, versions
                play no role.
        """
        self._catalog = catalog
        self._cache_index = cache_index
        self.loads = loads
        self.outcomes = outcomes
        self.withdrawals = withdrawals
        self.limits = limits
        self.permits = permits
        self.places = places
        self.rollouts = rollouts or rollout_shares.NoRollouts()
        self._rules = rules
        self._failure_domain = instance[1]
        self.health = collections.defaultdict(choices.UpstreamHealth)
        self.speeds = speeds.Speeds()
        self.costs = costs.Costs()

    def forgive(self):
        """Avoid no upstream any more for earlier errors of connections."""
        for health in self.health.values():
            health.record_success()

    def count_instances(self):
        """Return the number of instances that share the upstreams."""
        return self._catalog.count_instances()

    def choose(
        self,
        request,
        service,
        excluded,
        now,
        failed=(),
        version=None,
        is_retry=False,
    ):
        """Return a Choice, or a Refusal if no upstream can be selected.

        Args:
            request: request with `request` and `parts`.
            service: name of the service.
            excluded: names of upstreams to leave out.
            now: current time in seconds.
            failed: names of upstreams that ran this request and failed. An
                engine may be chosen again, as it has the prompt cached; of
                other upstreams, all others are preferred.
            version: software version that the upstream must have; None for
                any.
            is_retry: whether an attempt was made before.
        """
        known = self._catalog.list_service(service)
        candidates = [
            one
            for one in choices.list_available(
                known, (), self._rules.list_excluded_domains()
            )
            if not self.withdrawals.is_leaving(one)
            and version in (None, one.version)
        ]
        groups = self.rollouts.split(
            service, candidates, request.request, version, is_retry
        )
        if version is not None and not groups[0]:
            return Refusal(
                f"no upstream of {service} has version {version}, which "
                "began the stream",
                is_final=True,
            )
        for candidates in groups:
            choice = self._choose_among(
                request, service, known, candidates, excluded, now, failed
            )
            if not isinstance(choice, Refusal):
                break
        return choice

    def _choose_among(
        self, request, service, known, candidates, excluded, now, failed
    ):
        """Return a Choice among candidates, or a Refusal.

        Args:
            known: wire.Registrations of all upstreams of the service.
            candidates: those that may be chosen.
            request, service, excluded, now, failed: as for `choose`.
        """
        spec = self._rules.get_table().services.get(service)
        if spec is None:
            return Refusal(f"service {service} is no longer configured")
        waits = {
            one.name: self._measure_wait(one, spec, now) for one in candidates
        }
        upstreams = [
            one
            for one in candidates
            if one.name not in excluded and not waits[one.name]
        ]
        if not upstreams:
            return self._refuse(request, service, waits)
        instances = self._catalog.count_instances()
        available = [
            one
            for one in upstreams
            if self._has_capacity(one, spec, instances)
        ]
        if not available:
            return Refusal(f"every upstream of {service} is full")
        loads = self._estimate_loads(known, instances, now)
        if spec.is_engine and self._has_limits(known):
            available = self._list_relieving(available, loads)
            if not available:
                for one in upstreams:
                    waits[one.name] = FULL_RETRY_SECONDS
                return self._refuse(request, service, waits)
        failure_rates = {
            one.name: self.outcomes.estimate_failure_rate(one.name)
            for one in available
        }
        available = choices.prefer_healthy(
            available, self.health, failure_rates, now
        )
        demand = choices.Demand(request.request, request.parts)
        forecast = self._make_forecast(request, spec, known, now)
        if spec.is_engine:
            return self._choose_engine(
                demand, spec, known, available, loads, forecast, now
            )
        others = [one for one in available if one.name not in failed]
        return choices.choose_plain(
            demand,
            others or available,
            failure_rates,
            loads,
            self._failure_domain,
            forecast,
        )

    def _make_forecast(self, request, spec, upstreams, now):
        """Return a choice.Forecast; None if no upstream reports its speed."""
        names = [one.name for one in upstreams]
        if not self.speeds.are_reported(names, now):
            return None
        route = request.route.name
        if spec.is_engine:
            output = self.costs.estimate_output(route, request.hint)
            estimate = costs.Estimate(output, 0.0)
        else:
            estimate = costs.Estimate(0.0, self.costs.estimate_slot_ms(route))
        slowdowns = {name: self.speeds.estimate(name, now) for name in names}
        return choices.Forecast(slowdowns, estimate, spec.copy_rate)

    def reports_speed(self, service, now):
        """Return whether any upstream of a service told its speed lately."""
        names = [one.name for one in self._catalog.list_service(service)]
        return self.speeds.are_reported(names, now)

    def describe_upstreams(self, service, now):
        """Return the figures by which each upstream of a service is chosen.

        Returns:
            A dictionary of an upstream for each, in the order of names.
        """
        known = self._catalog.list_service(service)
        instances = self._catalog.count_instances()
        loads = self._estimate_loads(known, instances, now)
        excluded = self._rules.list_excluded_domains()
        spec = self._rules.get_table().services.get(service)
        return [
            {
                "name": one.name,
                "failure_domain": one.failure_domain,
                "version": one.version,
                "state": one.state,
                "capacity": one.capacity,
                "load": loads[one.name].requests,
                "pending_tokens": loads[one.name].pending_prefill_tokens,
                "slowdown": self.speeds.estimate(one.name, now),
                "failure_rate": self.outcomes.estimate_failure_rate(one.name),
                "is_avoided": self.health[one.name].avoid_until > now,
                "is_out_of_service": one.failure_domain in excluded,
                "is_leaving": self.withdrawals.is_leaving(one),
                "is_limited": self._find_rate(one, spec, now) < math.inf,
            }
            for one in sorted(known, key=lambda one: one.name)
        ]

    def _has_limits(self, upstreams):
        """Return whether any upstream named a limit."""
        return any(
            self.limits.find_rate(one.name, one.incarnation) < math.inf
            for one in upstreams
        )

    def _list_relieving(self, upstreams, loads):
        """Return the engines that can take what limited ones leave.

        Requests beyond the capacity of the others would only wait there.
        Plain services share their places then.
        """
        return [
            one
            for one in upstreams
            if self.limits.find_rate(one.name, one.incarnation) < math.inf
            or loads[one.name].requests < one.capacity
        ]

    def _choose_engine(
        self, demand, spec, known, available, loads, forecast, now
    ):
        """Return the Choice among available engines.

        Args:
            demand: the choice.Demand.
            spec: the table.Service.
            known: wire.Registrations of all engines of the service.
            available: those that may be chosen.
            loads: choice.Load by name.
            forecast: the choice.Forecast; None if no speed is reported.
            now: current time in seconds.
        """
        limited = {
            one.name
            for one in known
            if self._find_rate(one, spec, now) < math.inf
        }
        # What limited upstreams can't take is no measure for the others.
        free = {name: loads[name] for name in loads if name not in limited}
        mean = choices.find_mean(free or loads, self.health, now)
        part, tokens = choices.find_shared_part(demand.parts)
        holders = self._cache_index.find_holders(part, now)
        choice = choices.choose_engine(
            demand, available, loads, holders, mean, limited, forecast
        )
        if choice.is_cached:
            return choice
        source = choices.find_copy_source(
            tokens,
            spec.copy_rate,
            choice.upstream,
            holders,
            known,
            self.health,
            now,
        )
        return choice._replace(source=source)

    async def acquire(self, choice, request, service, now):
        """Return what must be held to send a request, or why it can't be.

        Args:
            choice: the Choice.
            request: request with `priority`, `route` and `deadline`.
            service: name of the service.
            now: current time in seconds.

        Returns:
            Held, whose upstream may be an alternative of the Choice; a
            places.NoPlace, if none of these has a place; or a
            rate_permits.Denial: then another upstream must be chosen.
        """
        spec = self._rules.get_table().services.get(service)
        place = None
        if self._needs_place(service, spec):
            place = await self.places.acquire(
                service,
                choice.alternatives,
                request.priority,
                request.route.objective,
                request.deadline - now,
                place_grants.Client(
                    request.account,
                    request_traits.hash_request(
                        request.account,
                        request.method,
                        request.target,
                        request.body,
                    ),
                    now - request.received_at,
                ),
            )
            if isinstance(place, place_grants.NoPlace):
                if place.is_known or self.places.pressure.is_brittle(service):
                    return place
                # Others bear a few requests too many until there is a holder.
                place = None
        if place is not None:
            (upstream,) = (
                one
                for one in choice.alternatives
                if one.name == place.upstream
            )
            choice = choice._replace(upstream=upstream)
        rate = self._find_rate(choice.upstream, spec, now)
        permit = None
        if rate < math.inf:
            permit = await self.permits.acquire(choice.upstream, rate)
            if isinstance(permit, rate_permits.Denial):
                if place is not None:
                    self.places.release(service, place)
                return permit
        return Held(choice, permit, place)

    def _needs_place(self, service, spec):
        """Return whether a request to a service needs a place.

        Engines that turn requests away bear it, unless they are brittle.
        """
        pressure = self.places.pressure
        if spec is None or spec.is_engine:
            return pressure.is_brittle(service)
        if pressure.is_shared(service):
            return True
        return self._has_limits(self._catalog.list_service(service))

    def record_placement(self, request, choice, now):
        """Record that a prompt is sent to the upstream of a Choice."""
        if choice.rank >= 0:
            self._cache_index.record_placement(
                *choices.find_shared_part(request.parts),
                choice.upstream.name,
                now,
            )

    def find_obstacle(self, upstream, permit, now):
        """Return why a request may not be sent to an upstream now, or "".

        Args:
            upstream: wire.Registration of the upstream.
            permit: the rate_permits.Permit of the request, or None.
            now: current time in seconds.
        """
        obstacle = self.withdrawals.find_obstacle(upstream)
        if obstacle:
            return obstacle
        if upstream.failure_domain in self._rules.list_excluded_domains():
            return "the upstream's failure domain is out of service"
        obstacle = self.rollouts.find_obstacle(upstream)
        if obstacle:
            return obstacle
        table = self._rules.get_table()
        spec = table.services.get(upstream.service) if table else None
        if self._find_rate(upstream, spec, now) == math.inf:
            return ""
        if permit is not None and permit.expires_at > now:
            return ""
        return "the upstream takes few requests, and there is no permit"

    def observe(self, request, choice, now):
        """Return the rollout_shares.Observation of an attempt.

        Args:
            request: request with `parts` and `route`.
            choice: the Choice.
            now: current time in seconds.
        """
        upstream = choice.upstream
        is_cold = self._catalog.cold_until.get(upstream.name, 0) > now
        has_prompt = choice.is_cached or not request.parts
        return self.rollouts.observe(
            upstream, request.route.name, has_prompt and not is_cold
        )

    def _find_rate(self, upstream, spec, now):
        """Return the requests per second that an upstream takes, or inf.

        Args:
            upstream: wire.Registration of the upstream.
            spec: the table.Service; None if it is no longer configured.
            now: current time in seconds.
        """
        rate = self.limits.find_rate(upstream.name, upstream.incarnation)
        if spec is not None and spec.cold_rate > 0:
            if self._catalog.cold_until.get(upstream.name, 0) > now:
                rate = min(rate, spec.cold_rate)
        return rate

    def _measure_wait(self, upstream, spec, now):
        """Return the seconds until an upstream takes a request of a client."""
        pause = self.withdrawals.measure_pause(upstream)
        if self._find_rate(upstream, spec, now) == math.inf:
            return pause
        denial = self.permits.find_denial(upstream)
        if denial is None:
            return pause
        return max(pause, denial.retry_at - now)

    def _refuse(self, request, service, waits):
        """Return the Refusal if no upstream of a service may be selected.

        Args:
            request: request with `request`.
            service: name of the service.
            waits: seconds until each of its upstreams accepts a request;
                0 for those that do, which were excluded for this request.
        """
        if not waits or not all(waits.values()):
            text = f"service {service} has no upstream that takes requests"
            return Refusal(text)
        spread = hashing.hash_to_fraction(service, request.request)
        return Refusal(
            f"every upstream of {service} takes no more requests now",
            min(waits.values()) + PAUSE_SPREAD_SECONDS * spread,
        )

    async def wait_for_prefill(self, request, choice, now):
        """Wait while the engine prefills the shared part for another request.

        Args:
            request: request with `parts`, `route` and `deadline`.
            choice: the Choice.
            now: current time in seconds.
        """
        if choice.is_cached:
            left = min(request.route.objective, request.deadline - now)
            await self._cache_index.wait_for_prefill(
                *choices.find_shared_part(request.parts),
                choice.upstream.name,
                PREFILL_WAIT_SHARE * left,
            )

    def mark_prefilled(self, request, upstream):
        """Mark the shared part of a request as prefilled by an upstream."""
        part, _ = choices.find_shared_part(request.parts)
        self._cache_index.mark_prefilled(part, upstream)

    def _estimate_loads(self, upstreams, instances, now):
        has_all_reports = (
            self.loads.count_reporting_instances() >= instances - 1
        )
        return {
            one.name: choices.estimate_load(
                self.loads.sum_load(one.name),
                self.health[one.name],
                self.loads.get_own(one.name),
                has_all_reports,
                now,
            )
            for one in upstreams
        }

    def _has_capacity(self, upstream, spec, instances):
        """Return whether this instance may have one more request there."""
        return self.loads.get_own(upstream.name) < _compute_connection_limit(
            spec, instances
        )


def _compute_connection_limit(spec, instances):
    """Return the requests that one instance may have on an upstream."""
    return max(MIN_CONNECTIONS, spec.most_connections // instances)
