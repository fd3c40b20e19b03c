"""Which upstream a request goes to: beliefs about load and health.

An instance sees only a part of the traffic. It adds its own requests in
flight to what an upstream last reported of others' requests; the older that
report, the less it counts. Engines get requests by the parts of their
prompt, so that equal prompts meet on the same engine, as long as that one
is not loaded far above the mean. This answers hot prompts, uneven clients,
and upstreams that fail or slow down.
"""

import math
import typing

from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import registry

REPORT_DECAY_SECONDS = 1.5  # within it, half of the requests have ended
LOAD_BOUND = 1.8  # times the mean load; below the multiple that is allowed
LOAD_SLACK = 2.5  # requests above that bound, so that low loads don't bind
FAILURE_WEIGHT = 0.2  # of the newest outcome in the failure average
FAILURE_COST = 4.0  # how far the failure share counts as relative load
FAILING_SHARE = 0.35  # failure average from which others are preferred
FOREIGN_DOMAIN_COST = 0.15  # of an idle upstream; the way there takes longer
AVOID_SECONDS = 0.5  # first avoidance of an upstream that broke off
AVOID_MAX_SECONDS = 4.0  # above the heartbeat, which tells more
SPREAD_COST = 0.02  # breaks ties, so that instances don't all choose one


class Belief:
    """What this instance believes of one upstream.

    Attributes:
        in_flight: own requests on it.
        avoid_until: seconds; until then others are preferred.
        failure: moving average of failed outcomes, 0 to 1.
    """

    def __init__(self):
        self.in_flight = 0
        self.avoid_until = 0.0
        self.failure = 0.0
        self._failures_in_row = 0
        self._foreign = 0.0
        self._reported_at = float("-inf")

    def note_report(self, running, waiting, now):
        """Take in the load that the upstream reported."""
        self._foreign = max(0.0, running + waiting - self.in_flight)
        self._reported_at = now

    def estimate_load(self, now):
        """Return the requests that are probably on the upstream."""
        age = now - self._reported_at
        return self.in_flight + self._foreign * math.exp(
            -age / REPORT_DECAY_SECONDS
        )

    def note_success(self):
        """Take note of an answer."""
        self.failure *= 1 - FAILURE_WEIGHT
        self._failures_in_row = 0
        self.avoid_until = 0.0

    def note_failure(self, now, is_broken):
        """Take note of a failed attempt.

        Args:
            now: seconds.
            is_broken: the connection failed, so that the upstream may be
                down; it is avoided for a while that grows.
        """
        self.failure += FAILURE_WEIGHT * (1 - self.failure)
        if is_broken:
            self._failures_in_row += 1
            seconds = AVOID_SECONDS * 2 ** (self._failures_in_row - 1)
            self.avoid_until = now + min(seconds, AVOID_MAX_SECONDS)


class Demand(typing.NamedTuple):
    """A request that asks for an upstream.

    Attributes:
        request: its id.
        service: name of the service.
        parts: (id, tokens) of the parts of its prompt, in order.
        excluded: names of upstreams that were tried already.
    """

    request: str
    service: str
    parts: tuple[tuple[str, int], ...]
    excluded: frozenset[str]


class Choice(typing.NamedTuple):
    """The chosen upstream, and why.

    Attributes:
        upstream: its wire.Registration.
        load: requests that it is believed to hold.
        mean: the mean of that over the service's upstreams.
        rank: place in the order of the prompt's homes; -1 without one.
        was_held: the upstream used the prompt's shared part of late.
    """

    upstream: object
    load: float
    mean: float
    rank: int
    was_held: bool = False


def list_open(upstreams, excluded, domains_out):
    """Return the upstreams that may get new work at all.

    Args:
        upstreams: wire.Registrations of a service.
        excluded: names that are left out.
        domains_out: failure domains that get no new work.
    """
    return [
        one
        for one in upstreams
        if one.state == registry.LIVE
        and one.name not in excluded
        and one.failure_domain not in domains_out
    ]


def prefer_sound(upstreams, beliefs, now):
    """Return those that don't fail, or all when all of them do."""
    sound = [
        one
        for one in upstreams
        if beliefs[one.name].avoid_until <= now
        and beliefs[one.name].failure < FAILING_SHARE
    ]
    if sound:
        return sound
    up = [one for one in upstreams if beliefs[one.name].avoid_until <= now]
    return up or upstreams


def find_shared_part(parts):
    """Return (id, tokens) of the part that decides where a prompt goes.

    The last part is the request's or its session's own; the one before it
    is the longest that others share.
    """
    if not parts:
        return "", 0
    return parts[-2] if len(parts) > 1 else parts[0]


def choose_engine(demand, upstreams, beliefs, now, holders):
    """Return the Choice for a prompt: the first home that isn't crowded.

    Engines that hold the shared part come first, the least loaded of them
    before the others; then all in their rendezvous order.

    Args:
        demand: the Demand.
        upstreams: wire.Registrations, not empty.
        beliefs: Belief by name.
        now: seconds.
        holders: names of upstreams that used the shared part of late.
    """
    by_name = {one.name: one for one in upstreams}
    loads = {name: beliefs[name].estimate_load(now) for name in by_name}
    mean = sum(loads.values()) / len(loads)
    bound = LOAD_BOUND * mean + LOAD_SLACK
    key = find_shared_part(demand.parts)[0] or demand.request
    ranked = hashing.rank(key, dict.fromkeys(by_name, 1.0))
    held = sorted((name for name in holders if name in by_name), key=loads.get)
    for name in (*held, *ranked):
        if loads[name] + 1 <= min(bound, by_name[name].capacity):
            break
    else:
        name = min(loads, key=loads.get)
    return Choice(
        by_name[name], loads[name], mean, ranked.index(name), name in held
    )


def choose_plain(demand, upstreams, beliefs, now, failure_domain):
    """Return the Choice for a plain service: the least loaded, near by.

    Args:
        demand: the Demand.
        upstreams: wire.Registrations, not empty.
        beliefs: Belief by name.
        now: seconds.
        failure_domain: the instance's own.
    """
    loads = {
        one.name: beliefs[one.name].estimate_load(now) for one in upstreams
    }
    mean = sum(loads.values()) / len(loads)

    def measure_cost(one):
        cost = loads[one.name] / max(1, one.capacity)
        cost += FAILURE_COST * beliefs[one.name].failure
        if one.failure_domain != failure_domain:
            cost += FOREIGN_DOMAIN_COST
        tie = hashing.score(demand.request, one.name)
        return cost + SPREAD_COST / (1 + tie)

    best = min(upstreams, key=measure_cost)
    return Choice(best, loads[best.name], mean, -1)
