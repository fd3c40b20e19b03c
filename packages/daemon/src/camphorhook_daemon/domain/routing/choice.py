"""Which upstream a request goes to: beliefs about load and health.

Load is what the instances told each other; where some are not heard, an
upstream's last report fills in, and counts less as it gets older. Engines
get requests by the longest shared part of their prompt, since reading it
again costs more than a longer wait. This answers hot prompts, long prompts
that hold up the streams beside them, uneven clients, and upstreams that fail
or slow down.
"""

import math
import typing

from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import registry

REPORT_DECAY_SECONDS = 1.5  # within it, half of the requests have ended
LOAD_BOUND = 1.6  # times the mean load, for prompts that are soon read again
LONG_LOAD_BOUND = 2.0  # for long ones; the multiple that is allowed
LOAD_SLACK = 2.0  # requests above that bound, so that low loads don't bind
LEAST_SLACK = 2.0  # requests above the least load that are always allowed
LONG_TOKENS = 3000  # a part from this length on takes an engine 50 ms to read
HOME_CHOICES = 3  # rendezvous places tried for a part that nobody holds
LOAD_TOKENS = 400  # unread tokens that weigh as much as one running request
WORK_STEP_TOKENS = 4000  # differences below it leave the order as it is, so
# that prompts that come at the same moment don't all choose the same engine
COPY_LEAST_TOKENS = 512  # shorter parts are read in the time of a copy's start
COPY_LEAST_RATE = 200.0  # tokens a millisecond; three times the reading rate
FAILURE_COST = 4.0  # how far the failure share counts as relative load
FAILING_SHARE = 0.25  # share of failures from which others are preferred
FAILING_MARGIN = 0.15  # above the median, beyond what chance gives 30 outcomes
FOREIGN_DOMAIN_COST = 0.15  # of an idle upstream; the way there takes longer
BREAKS_IN_ROW = 3  # broken answers without a good one between: it is down
AVOID_SECONDS = 0.5  # first avoidance of an upstream that broke off
AVOID_MAX_SECONDS = 4.0  # above the heartbeat, which tells more
SPREAD_COST = 0.02  # breaks ties, so that instances don't all choose one


class Belief:
    """What this instance believes of one upstream besides its load.

    Attributes:
        avoid_until: seconds; until then others are preferred.
    """

    def __init__(self):
        self.avoid_until = 0.0
        self._breaks_in_row = 0
        self._reported = 0.0
        self._reported_at = float("-inf")

    def note_report(self, running, waiting, now):
        """Take in the load that the upstream reported."""
        self._reported = running + waiting
        self._reported_at = now

    def estimate_reported(self, now):
        """Return what is left to believe of the last report."""
        age = now - self._reported_at
        return self._reported * math.exp(-age / REPORT_DECAY_SECONDS)

    def note_success(self):
        """Take note of an answer."""
        self._breaks_in_row = 0
        self.avoid_until = 0.0

    def note_break(self, now, is_down=False):
        """Take note that a connection broke, or could not be made.

        Args:
            now: seconds.
            is_down: none could be made; the upstream is avoided for a while
                that grows, as it is after a row of breaks.
        """
        self._breaks_in_row += 1
        if is_down or self._breaks_in_row >= BREAKS_IN_ROW:
            seconds = AVOID_SECONDS * 2 ** min(self._breaks_in_row - 1, 4)
            self.avoid_until = now + min(seconds, AVOID_MAX_SECONDS)


class Demand(typing.NamedTuple):
    """A request that asks for an upstream.

    Attributes:
        request: its id.
        parts: (id, tokens) of the parts of its prompt, in order.
    """

    request: str
    parts: tuple[tuple[str, int], ...]


class Choice(typing.NamedTuple):
    """The chosen upstream, and why.

    Attributes:
        upstream: its wire.Registration.
        load: requests that it is believed to hold.
        mean: the mean of that over the service's upstreams.
        rank: place in the order of the prompt's homes; -1 without one.
        was_held: the upstream used the prompt's shared part of late.
        source: wire.Registration of the engine that it should copy that
            part from, or None.
    """

    upstream: object
    load: float
    mean: float
    rank: int
    was_held: bool = False
    source: object = None


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


def prefer_sound(upstreams, beliefs, failures, now):
    """Return those that are up and fail no more than is usual now.

    Where all of a service fail alike, leaving some out would only move
    prompts off the engines that hold them.

    Args:
        upstreams: wire.Registrations, not empty.
        beliefs: Belief by name.
        failures: share of failures by name.
        now: seconds.
    """
    up = [one for one in upstreams if beliefs[one.name].avoid_until <= now]
    up = up or upstreams
    shares = sorted(failures[one.name] for one in up)
    usual = shares[len(shares) // 2]
    limit = max(FAILING_SHARE, usual + FAILING_MARGIN)
    return [one for one in up if failures[one.name] < limit] or up


def find_shared_part(parts):
    """Return (id, tokens) of the part that decides where a prompt goes.

    The last part is the request's or its session's own; the one before it
    is the longest that others share.
    """
    if not parts:
        return "", 0
    return parts[-2] if len(parts) > 1 else parts[0]


class Load(typing.NamedTuple):
    """The fleet's load on an upstream: requests, and tokens to be read."""

    requests: float
    unread_tokens: float = 0.0


def estimate_load(told, belief, own, hears_all, now):
    """Return the Load of an upstream.

    Args:
        told: (requests, unread tokens) of the instances that are heard.
        belief: the upstream's Belief.
        own: own requests on it.
        hears_all: every instance is heard.
        now: seconds.
    """
    requests, unread = told
    if not hears_all:
        requests = max(requests, own, belief.estimate_reported(now))
    return Load(requests, unread)


def find_mean(loads, beliefs, now):
    """Return the mean requests on a service's upstreams.

    Those that seem to be down are left out.

    Args:
        loads: Load by name.
        beliefs: Belief by name.
        now: seconds.
    """
    counted = [
        load.requests
        for name, load in loads.items()
        if load.requests or beliefs[name].avoid_until <= now
    ]
    return sum(counted) / max(1, len(counted))


def choose_engine(demand, upstreams, loads, holders, mean):
    """Return the Choice for a prompt.

    Engines that hold the shared part come first, the least loaded of them
    before the others. A part that nobody holds goes to the first few of its
    rendezvous order, to the one with the least to read and to run: a long
    prompt holds up every stream beside it. No engine is chosen that carries
    far more than the mean, unless all do.

    Args:
        demand: the Demand.
        upstreams: wire.Registrations, not empty.
        loads: Load by name.
        holders: names of upstreams that used the shared part of late.
        mean: requests on an upstream of the service, those that get no new
            work included; the bound on load counts these too.
    """
    by_name = {one.name: one for one in upstreams}
    key, tokens = find_shared_part(demand.parts)
    is_long = tokens >= LONG_TOKENS
    bound = (LONG_LOAD_BOUND if is_long else LOAD_BOUND) * mean + LOAD_SLACK
    least = min(loads[name].requests for name in by_name)
    bound = max(bound, least + LEAST_SLACK)

    def is_open(name):
        most = min(bound, by_name[name].capacity)
        return loads[name].requests + 1 <= most

    def measure_work(name):
        load = loads[name]
        work = load.unread_tokens + LOAD_TOKENS * load.requests
        return work // WORK_STEP_TOKENS

    ranked = hashing.rank(key or demand.request, dict.fromkeys(by_name, 1.0))
    held = [name for name in holders if name in by_name and is_open(name)]
    homes = [name for name in ranked if is_open(name)][:HOME_CHOICES]
    for names in (held, homes, ranked):
        if names:
            name = min(names, key=measure_work)
            break
    return Choice(
        by_name[name],
        loads[name].requests,
        mean,
        ranked.index(name),
        name in held,
    )


def find_source(tokens, copy_rate, chosen, holders, known, beliefs, now):
    """Return the Registration of the engine to copy a part from, or None.

    Copying takes a fraction of the time of reading, and leaves the engine
    to the streams that run beside it. Engines that get no new work may still
    be copied from, as long as they are up.

    Args:
        tokens: of the part.
        copy_rate: tokens a millisecond; see table.Service.
        chosen: Registration of the engine that gets the prompt.
        holders: names of engines that used the part of late.
        known: wire.Registrations of all engines of the service.
        beliefs: Belief by name.
        now: seconds.
    """
    if tokens < COPY_LEAST_TOKENS or copy_rate < COPY_LEAST_RATE:
        return None
    found = [
        one
        for one in known
        if one.name in holders
        and one.name != chosen.name
        and beliefs[one.name].avoid_until <= now
    ]
    if not found:
        return None
    domain = chosen.failure_domain
    return min(found, key=lambda one: one.failure_domain != domain)


def choose_plain(demand, upstreams, failures, loads, failure_domain):
    """Return the Choice for a plain service: the least loaded, near by.

    Args:
        demand: the Demand.
        upstreams: wire.Registrations, not empty.
        failures: share of failures by name.
        loads: Load by name.
        failure_domain: the instance's own.
    """
    mean = sum(loads[one.name].requests for one in upstreams) / len(upstreams)

    def measure_cost(one):
        cost = loads[one.name].requests / max(1, one.capacity)
        cost += FAILURE_COST * failures[one.name]
        if one.failure_domain != failure_domain:
            cost += FOREIGN_DOMAIN_COST
        tie = hashing.score(demand.request, one.name)
        return cost + SPREAD_COST / (1 + tie)

    best = min(upstreams, key=measure_cost)
    return Choice(best, loads[best.name].requests, mean, -1)
