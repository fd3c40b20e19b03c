"""Load balancing: chooses an upstream by load, health and cached prompts.

The load of an upstream is what the instances report to each other. While
reports of some instances are missing, the load that the upstream itself
reported last is used as well, with a weight that decays with its age.

Engines are chosen by the longest shared part of the prompt, since prefilling
it again costs more than a longer queue. The rules cover prompts that many
requests share, long prompts that delay the streams running beside them,
clients with uneven load, and upstreams that fail or slow down.
"""

import itertools
import math
import typing

from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import speeds

REPORT_DECAY_SECONDS = 1.5  # half of the requests end within it
LOAD_BOUND = 1.6  # times the mean load, for prompts that are quick to prefill
LONG_LOAD_BOUND = 2.0  # for long prompts; the highest allowed multiple
LOAD_SLACK = 2.0  # requests added to the bound, so that it permits low loads
MIN_SLACK = 2.0  # requests above the lowest load, always allowed
LONG_TOKENS = 3000  # prefilling a part of this length takes 50 ms
RENDEZVOUS_CANDIDATES = 3  # engines considered for a part that none has cached
TOKENS_PER_REQUEST = 400  # prefill tokens that cost as much as a request
# Smaller differences in work are ignored, so that prompts that arrive at the
# same time do not all choose the same engine.
WORK_STEP_TOKENS = 4000
# Work for each prompt token of a part that an engine takes on, besides that of
# reading or copying it: caches are full, and what it evicts is read again.
EVICTION_WORK = 1.0
MIN_COPY_TOKENS = 512  # fewer are prefilled before a copy would start
MIN_COPY_RATE = 200.0  # tokens per millisecond; three times the prefill rate
FAILURE_COST = 4.0  # weight of the failure rate against relative load
FAILURE_RATE_LIMIT = 0.25  # from this rate on, other upstreams are preferred
FAILURE_RATE_MARGIN = 0.15  # above the median; over the noise of 30 outcomes
REMOTE_DOMAIN_COST = 0.15  # relative load; the network latency is higher
# Relative load for a slowdown of 2. With it, an idle upstream that takes 2.5
# times as long is chosen where a request at the others would wait as long:
# from 14 requests in 6 slots on.
SLOW_COST = 1.5
MAX_CONSECUTIVE_ERRORS = 3  # broken connections without an answer between them
AVOID_SECONDS = 0.5  # first back-off of a failing upstream
# Longer than a heartbeat interval, since registrations are better evidence.
MAX_AVOID_SECONDS = 4.0
TIE_BREAK_COST = 0.02  # breaks ties differently for each request


class UpstreamHealth:
    """Health of one upstream as this instance has observed it.

    Attributes:
        avoid_until: time in seconds until which others are preferred.
    """

    def __init__(self):
        self.avoid_until = 0.0
        self._consecutive_errors = 0
        self._reported = 0.0
        self._reported_at = float("-inf")

    def record_report(self, running, waiting, now):
        """Record the load that the upstream itself reported."""
        self._reported = running + waiting
        self._reported_at = now

    def estimate_reported(self, now):
        """Return the last reported load, decayed by its age."""
        age = now - self._reported_at
        return self._reported * math.exp(-age / REPORT_DECAY_SECONDS)

    def record_success(self):
        """Record an answer and end any avoidance."""
        self._consecutive_errors = 0
        self.avoid_until = 0.0

    def record_connection_error(self, now, is_down=False):
        """Record a connection that broke or could not be established.

        Args:
            now: current time in seconds.
            is_down: no connection could be established. The upstream is
                then avoided at once, with exponential back-off, as it is
                after several broken connections in a row.
        """
        self._consecutive_errors += 1
        if is_down or self._consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            seconds = AVOID_SECONDS * 2 ** min(self._consecutive_errors - 1, 4)
            self.avoid_until = now + min(seconds, MAX_AVOID_SECONDS)


class Demand(typing.NamedTuple):
    """A request that needs an upstream.

    Attributes:
        request: id of the request.
        parts: (id, tokens) of each part of its prompt, in order.
    """

    request: str
    parts: tuple[tuple[str, int], ...]


class Choice(typing.NamedTuple):
    """The chosen upstream and the figures that decided it.

    Attributes:
        upstream: wire.Registration of the upstream.
        load: estimated number of requests on it.
        mean: mean of that number over the service's upstreams.
        rank: position in the rendezvous order of the prompt; -1 for plain
            services.
        is_cached: the upstream probably has the prompt's shared part cached.
        source: wire.Registration of the engine to copy that part from, or
            None.
        alternatives: wire.Registrations that would do, the best first; for
            a prompt, the chosen one only.
        estimate: the costs.Estimate of the request; None if the upstreams of
            its service report no speed.
        slowdown: of the upstream, as far as known.
        remaining_work: of the upstream, in prompt tokens.
    """

    upstream: object
    load: float
    mean: float
    rank: int
    is_cached: bool = False
    source: object = None
    alternatives: tuple = ()
    estimate: object = None
    slowdown: float = speeds.USUAL
    remaining_work: float = 0.0

    def describe_forecast(self):
        """Return the figures of a Forecast for a log line, if there is one."""
        if self.estimate is None:
            return {}
        return {
            "output": round(self.estimate.output),
            "slot_ms": round(self.estimate.slot_ms, 1),
            "slowdown": round(self.slowdown, 2),
            "remaining": round(self.remaining_work),
        }


class Forecast(typing.NamedTuple):
    """What decides where a request ends first.

    Attributes:
        slowdowns: slowdown by name of the upstream.
        estimate: the costs.Estimate of the request.
        copy_rate: prompt tokens that an engine copies in a millisecond; 0 if
            engines do not copy.
    """

    slowdowns: dict[str, float]
    estimate: object
    copy_rate: float = 0.0


def list_available(upstreams, excluded, excluded_domains):
    """Return the upstreams that accept new requests.

    Args:
        upstreams: wire.Registrations of a service.
        excluded: names of upstreams to leave out.
        excluded_domains: failure domains that are taken out of service.
    """
    return [
        one
        for one in upstreams
        if one.state == registry.LIVE
        and one.name not in excluded
        and one.failure_domain not in excluded_domains
    ]


def prefer_healthy(upstreams, health, failure_rates, now):
    """Return the upstreams that are up and fail no more than the others.

    The limit follows the median failure rate: if all upstreams of a service
    fail alike, leaving some out would only move prompts away from the
    engines that have them cached. At least one upstream is returned.

    Args:
        upstreams: wire.Registrations, not empty.
        health: UpstreamHealth by name.
        failure_rates: failure rate by name, from 0 to 1.
        now: current time in seconds.
    """
    up = [one for one in upstreams if health[one.name].avoid_until <= now]
    up = up or upstreams
    rates = sorted(failure_rates[one.name] for one in up)
    median = rates[(len(rates) - 1) // 2]  # of two, the better one
    limit = max(FAILURE_RATE_LIMIT, median + FAILURE_RATE_MARGIN)
    return [one for one in up if failure_rates[one.name] < limit] or up


def find_shared_part(parts):
    """Return (id, tokens) of the prompt part that determines the placement.

    The last part belongs to the request or its session alone; the one before
    it is the longest that other requests share. Without parts, the id is
    empty.
    """
    if not parts:
        return "", 0
    return parts[-2] if len(parts) > 1 else parts[0]


class Load(typing.NamedTuple):
    """Load of the whole fleet on an upstream: requests and prefill tokens."""

    requests: float
    pending_prefill_tokens: float = 0.0


def estimate_load(reported, health, own, has_all_reports, now):
    """Return the Load of an upstream.

    Args:
        reported: (requests, tokens to prefill) of the fleet, as far as reports
            are known.
        health: the upstream's UpstreamHealth.
        own: requests of this instance on the upstream.
        has_all_reports: every other instance has a recent report.
        now: current time in seconds.
    """
    requests, pending_tokens = reported
    if not has_all_reports:
        requests = max(requests, own, health.estimate_reported(now))
    return Load(requests, pending_tokens)


def find_mean(loads, health, now):
    """Return the mean number of requests on a service's upstreams.

    Avoided upstreams that have no requests are left out.

    Args:
        loads: Load by name.
        health: UpstreamHealth by name.
        now: current time in seconds.
    """
    counted = [
        load.requests
        for name, load in loads.items()
        if load.requests or health[name].avoid_until <= now
    ]
    return sum(counted) / max(1, len(counted))


def choose_engine(
    demand, upstreams, loads, holders, mean, limited=(), forecast=None
):
    """Return the Choice for a prompt.

    Engines that probably have the shared part cached are preferred. If there
    are none, the first few engines in the rendezvous order of the part are
    considered; a long part is not copied to engines that take few requests
    while others have room. Among the candidates, the engine with the least
    work wins, where work counts running requests and tokens to prefill, since
    a long prompt delays every stream on its engine. An engine whose load is
    far above the mean is chosen only if all of them are.

    Args:
        demand: the Demand.
        upstreams: wire.Registrations, not empty.
        loads: Load by name.
        holders: names of upstreams that used the shared part recently.
        mean: mean number of requests on the service's upstreams, including
            those that accept no new requests, which the bound on load
            counts too.
        limited: names of upstreams that take few requests.
        forecast: the Forecast; then those candidates too are compared that
            lack the part, by the work until the request would end. None if
            the upstreams report no speed.
    """
    by_name = {one.name: one for one in upstreams}
    key, tokens = find_shared_part(demand.parts)
    is_long = tokens >= LONG_TOKENS
    bound = (LONG_LOAD_BOUND if is_long else LOAD_BOUND) * mean + LOAD_SLACK
    least = min(loads[name].requests for name in by_name)
    bound = max(bound, least + MIN_SLACK)

    def is_below_bound(name):
        most = min(bound, by_name[name].capacity)
        return loads[name].requests + 1 <= most

    def compute_work(name):
        load = loads[name]
        work = load.pending_prefill_tokens + TOKENS_PER_REQUEST * load.requests
        if forecast is not None:
            is_cached = name in cached
            work = estimate_end(demand, load, is_cached, forecast, name)
        return work // WORK_STEP_TOKENS

    ranked = hashing.rank_evenly(key or demand.request, by_name)
    cached = [
        name for name in holders if name in by_name and is_below_bound(name)
    ]

    def list_candidates(left_out):
        found = (
            name
            for name in ranked
            if name not in left_out and is_below_bound(name)
        )
        return list(itertools.islice(found, RENDEZVOUS_CANDIDATES))

    candidates = []
    if tokens >= MIN_COPY_TOKENS:
        candidates = list_candidates(limited)
    candidates = candidates or list_candidates(())
    tiers = cached, candidates, ranked
    if forecast is not None:
        # Holders come first, as the first of several alike is chosen.
        tiers = tuple(dict.fromkeys(cached + candidates)), ranked
    for names in tiers:
        if names:
            name = min(names, key=compute_work)
            break
    return Choice(
        by_name[name],
        loads[name].requests,
        mean,
        ranked.index(name),
        name in cached,
        alternatives=(by_name[name],),
        **_describe(forecast, loads, name),
    )


def _describe(forecast, loads, name):
    """Return the fields of a Choice that a Forecast adds."""
    if forecast is None:
        return {}
    return {
        "estimate": forecast.estimate,
        "slowdown": forecast.slowdowns[name],
        "remaining_work": loads[name].pending_prefill_tokens,
    }


def estimate_end(demand, load, is_cached, forecast, name):
    """Return the work in prompt tokens until a request ends on an engine.

    Its own steps are left out: they are the same on all engines, but for the
    time that a slowdown costs.

    Args:
        demand: the Demand.
        load: the engine's Load, with the remaining work of its requests.
        is_cached: it probably has the shared part of the prompt cached.
        forecast: the Forecast.
        name: name of the engine.
    """
    # Requests that outlast their estimate, or come from instances that tell
    # none, count as they do without estimates.
    work = max(load.pending_prefill_tokens, TOKENS_PER_REQUEST * load.requests)
    if demand.parts:
        work += demand.parts[-1][1]
    if not is_cached:
        _, tokens = find_shared_part(demand.parts)
        rate = costs.PREFILL_TOKENS_PER_MS
        if tokens >= MIN_COPY_TOKENS:
            rate = max(rate, forecast.copy_rate)
        work += tokens * (EVICTION_WORK + costs.PREFILL_TOKENS_PER_MS / rate)
    own_steps = costs.STEP_WORK * forecast.estimate.output
    return work + speeds.estimate_delay(
        work + own_steps, forecast.slowdowns[name], costs.PREFILL_TOKENS_PER_MS
    )


def find_copy_source(tokens, copy_rate, chosen, holders, known, health, now):
    """Return the Registration of the engine to copy a part from, or None.

    Copying takes a fraction of the prefill time and does not delay the
    streams that run on the engine. Engines that accept no new requests may
    still be copied from while they are up. A source in the failure domain of
    the chosen engine is preferred.

    Args:
        tokens: number of tokens of the part.
        copy_rate: tokens per millisecond; see table.Service.
        chosen: Registration of the engine that gets the prompt.
        holders: names of engines that used the part recently.
        known: wire.Registrations of all engines of the service.
        health: UpstreamHealth by name.
        now: current time in seconds.
    """
    if tokens < MIN_COPY_TOKENS or copy_rate < MIN_COPY_RATE:
        return None
    found = [
        one
        for one in known
        if one.name in holders
        and one.name != chosen.name
        and health[one.name].avoid_until <= now
    ]
    if not found:
        return None
    domain = chosen.failure_domain
    return min(found, key=lambda one: one.failure_domain != domain)


def choose_plain(
    demand, upstreams, failure_rates, loads, failure_domain, forecast=None
):
    """Return the Choice for a request to a service without engines.

    The upstream with the lowest load relative to its capacity wins. A
    failure rate and a different failure domain add to its cost. If upstreams
    report their speed, the time that a slow one costs is added.

    Args:
        demand: the Demand.
        upstreams: wire.Registrations, not empty.
        failure_rates: failure rate by name, from 0 to 1.
        loads: Load by name.
        failure_domain: failure domain of this instance.
        forecast: the Forecast; None if the upstreams report no speed.
    """
    mean = sum(loads[one.name].requests for one in upstreams) / len(upstreams)

    slot_work = 1
    if forecast is not None:
        slot_work = max(1, forecast.estimate.compute_work())

    def compute_cost(one):
        name, capacity = one.name, max(1, one.capacity)
        requests, remaining = loads[name]
        cost = requests / capacity
        if forecast is not None:
            # Senders of older builds count in the requests only.
            cost = (cost + remaining / slot_work / capacity) / 2
            extra = forecast.slowdowns[name] - speeds.USUAL
            if extra:
                waiting = max(0, requests + 1 - capacity)
                cost += extra * (SLOW_COST + waiting / capacity)
        cost += FAILURE_COST * failure_rates[name]
        if one.failure_domain != failure_domain:
            cost += REMOTE_DOMAIN_COST
        tie = hashing.score(demand.request, name)
        return cost + TIE_BREAK_COST / (1 + tie)

    ordered = tuple(sorted(upstreams, key=compute_cost))
    best = ordered[0]
    return Choice(
        best,
        loads[best.name].requests,
        mean,
        -1,
        alternatives=ordered,
        **_describe(forecast, loads, best.name),
    )
