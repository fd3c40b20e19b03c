"""Permits for requests to upstreams that take few from the whole fleet.

A cold upstream, and one that named a limit, takes some requests per second
from all instances together. For each upstream two instances, the holders,
grant half of them each, and the others ask them before each request. The sum
is thus kept for any number of instances, also where it is below one request
an instance, and half of it remains while a holder is lost.
"""

import typing

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing

SECONDS_PER_MS = 0.001
HOLDERS_PER_UPSTREAM = 2
# Replicas drop an instance 5 s after they last heard of it. One that lost
# them stops granting before that, so that its successor may begin.
CONTACT_SECONDS = 3.0
# The list of instances is incomplete for as long after replicas restarted.
TAKEOVER_SECONDS = 2.0
REPLY_TIMEOUT_SECONDS = 0.15  # many round trips within a region
SILENCE_SECONDS = 0.5  # for which a holder that did not answer is not asked
OTHER_HOLDER_SECONDS = 0.3  # until instances agree on the holder again
PERMIT_SECONDS = 1.0  # an older permit may belong to another window
BURST_SECONDS = 0.4  # share of a second's requests that may come at once
MAX_RETRY_SECONDS = 30.0
# Only an answer shows that a limit near 0 was lifted.
MIN_RATE = 0.2


class Permit(typing.NamedTuple):
    """The right to send one request until a time in seconds."""

    expires_at: float


class Denial(typing.NamedTuple):
    """Why no permit was granted, as times in seconds.

    Attributes:
        asks_at: when this instance may ask again.
        retry_at: when a client that is refused may expect a permit, with
            those that were refused before it.
    """

    asks_at: float
    retry_at: float


class Holders:
    """Which instances grant the permits of an upstream.

    They are the first ones in the rendezvous order, in which those of the
    upstream's failure domain come before the others.
    """

    def __init__(self, name, map_instances, measure_contact_age, now):
        """Create the record of an instance that has just started.

        Args:
            name: name of this instance.
            map_instances: function that returns the failure domain by name
                of the instances alive.
            measure_contact_age: function that returns the seconds since a
                replica last answered this instance.
            now: function that returns the time in seconds.
        """
        self._name = name
        self._map_instances = map_instances
        self._measure_contact_age = measure_contact_age
        self._now = now
        self._instances = {}
        self._departed = {}
        self._listed_at = float("inf")
        self._found = {}

    def refresh(self):
        """Note which instances came and went; to be called regularly."""
        instances = self._map_instances()
        now = self._now()
        for name, (_, at) in list(self._departed.items()):
            if name in instances or now - at > TAKEOVER_SECONDS:
                del self._departed[name]
        if instances == self._instances:
            return
        for name, domain in self._instances.items():
            if name not in instances:
                self._departed[name] = domain, now
        if self._name not in instances:
            self._listed_at = float("inf")
        elif self._name not in self._instances:
            self._listed_at = now
        self._instances = dict(instances)
        self._found = {}

    def find(self, upstream, failure_domain):
        """Return the names of the holders of an upstream.

        Instances differ in which of them they ask first.
        """
        key = upstream, failure_domain
        if key not in self._found:
            found = choose_holders(*key, self._instances)
            found.sort(key=lambda holder: hashing.score(self._name, holder))
            self._found[key] = found
        return self._found[key]

    def retain(self, names):
        """Forget the holders of all other upstreams."""
        self._found = {
            key: found for key, found in self._found.items() if key[0] in names
        }

    def find_share(self, upstream, failure_domain):
        """Return the share of an upstream's permits to grant here now."""
        found = self.find_position(upstream, failure_domain)
        return 0.0 if found is None else 1 / found[1]

    def find_position(self, upstream, failure_domain):
        """Return (position, number) of the holders, if this is one now.

        It is None until instances that may have been holders before this one
        have stopped.
        """
        now = self._now()
        if self._measure_contact_age() > CONTACT_SECONDS:
            return None
        if now - self._listed_at < TAKEOVER_SECONDS:
            return None
        domains = {name: one[0] for name, one in self._departed.items()}
        domains |= self._instances
        found = choose_holders(upstream, failure_domain, domains)
        if self._name not in found:
            return None
        return found.index(self._name), len(found)


def choose_holders(upstream, failure_domain, instances):
    """Return the names of the holders of an upstream's permits.

    Args:
        upstream: name of the upstream.
        failure_domain: its failure domain.
        instances: failure domain by name of the instances to choose from.
    """
    ranked = sorted(
        instances,
        key=lambda name: (
            instances[name] == failure_domain,
            hashing.score(upstream, name),
        ),
        reverse=True,
    )
    return ranked[:HOLDERS_PER_UPSTREAM]


class _Bucket:
    """Permits of one incarnation of an upstream.

    Attributes:
        incarnation: the incarnation.
        level: number of requests that may be sent now.
        refused: refusals whose clients may still come again.
    """

    def __init__(self, incarnation, now):
        self.incarnation = incarnation
        self.level = 0.0
        self.refused = 0.0
        self._filled_at = now

    def fill(self, rate, share, now):
        """Add what the upstream takes since the last call.

        Args:
            rate: requests per second that it takes from all instances.
            share: share of them that is granted here.
            now: current time in seconds.
        """
        taken = (now - self._filled_at) * rate
        most = max(1.0, rate * share * BURST_SECONDS)
        self.level = min(most, self.level + taken * share)
        self.refused = max(0.0, self.refused - taken)
        self._filled_at = now


class RatePermits:
    """Acquires permits from holders and grants those this instance holds."""

    def __init__(self, holders, limits, transport, now):
        """Create the permits of an instance that has granted none.

        Args:
            holders: the Holders.
            limits: the upstream_limits.UpstreamLimits; the lower one of the
                limits that this instance and the one that asks know binds.
            transport: a Transport.
            now: function that returns the time in seconds.
        """
        self._holders = holders
        self._limits = limits
        self._transport = transport
        self._now = now
        self._buckets = {}
        self._denials = {}
        self._silent_until = {}

    def find_denial(self, upstream):
        """Return the Denial that keeps from asking now, or None.

        Args:
            upstream: wire.Registration of the upstream.
        """
        now = self._now()
        holders = self._holders.find(upstream.name, upstream.failure_domain)
        denials = [self._find_denial(upstream, one) for one in holders]
        if not denials or any(one.asks_at <= now for one in denials):
            return None
        return Denial(
            min(one.asks_at for one in denials),
            min(one.retry_at for one in denials),
        )

    def _find_denial(self, upstream, holder):
        """Return the last Denial of one holder; in the past if none."""
        until = self._silent_until.get(holder, 0.0)
        known = self._denials.get(upstream.name, {}).get(holder)
        return max(known or Denial(0.0, 0.0), Denial(until, until))

    async def acquire(self, upstream, rate):
        """Ask the holders for a permit; return a Permit or a Denial.

        Args:
            upstream: wire.Registration of the upstream.
            rate: requests per second that it takes.
        """
        self._holders.refresh()
        holders = self._holders.find(upstream.name, upstream.failure_domain)
        asked_at = self._now()
        message = wire.AcquireRatePermit(
            upstream.name, upstream.failure_domain, upstream.incarnation, rate
        )
        for holder in holders:
            if self._find_denial(upstream, holder).asks_at > self._now():
                continue
            try:
                reply = await self._transport.call(
                    holder, message, REPLY_TIMEOUT_SECONDS
                )
            except errors.UnreachableError as error:
                logs.log("info", error.format(), step="acquire permit")
                self._silent_until[holder] = self._now() + SILENCE_SECONDS
                continue
            if reply.granted:
                return Permit(asked_at + PERMIT_SECONDS)
            self._record_denial(upstream, holder, reply)
        until = self._now() + OTHER_HOLDER_SECONDS
        return self.find_denial(upstream) or Denial(until, until)

    def _record_denial(self, upstream, holder, reply):
        now = self._now()
        self._denials.setdefault(upstream.name, {})[holder] = Denial(
            now + reply.wait_ms * SECONDS_PER_MS,
            now + reply.retry_ms * SECONDS_PER_MS,
        )

    def grant(self, message):
        """Return the wire.RatePermitReply to a wire.AcquireRatePermit."""
        self._holders.refresh()
        share = self._holders.find_share(
            message.upstream, message.failure_domain
        )
        if not share:
            wait = int(OTHER_HOLDER_SECONDS / SECONDS_PER_MS)
            return wire.RatePermitReply(False, wait, wait)
        now = self._now()
        bucket = self._buckets.get(message.upstream)
        if bucket is None or message.incarnation > bucket.incarnation:
            bucket = _Bucket(message.incarnation, now)
            self._buckets[message.upstream] = bucket
        known = self._limits.find_rate(message.upstream, message.incarnation)
        rate = max(MIN_RATE, min(message.rate, known))
        bucket.fill(rate, share, now)
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return wire.RatePermitReply(True, 0, 0)
        bucket.refused = min(
            bucket.refused + 1.0, rate * MAX_RETRY_SECONDS + 1.0
        )
        missing = 1.0 - bucket.level
        wait_ms = missing / (rate * share) / SECONDS_PER_MS
        retry_ms = max(wait_ms, bucket.refused / rate / SECONDS_PER_MS)
        return wire.RatePermitReply(False, int(wait_ms) + 1, int(retry_ms) + 1)

    def retain(self, names):
        """Forget the permits and denials of all other upstreams."""
        self._holders.refresh()
        self._holders.retain(names)
        now = self._now()
        for known in (self._buckets, self._denials):
            for name in [one for one in known if one not in names]:
                del known[name]
        for name, denials in list(self._denials.items()):
            if all(one.asks_at <= now for one in denials.values()):
                del self._denials[name]
        self._silent_until = {
            name: until
            for name, until in self._silent_until.items()
            if until > now
        }
