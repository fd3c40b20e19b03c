"""Limits on requests that upstreams named in their answers.

An upstream in need says in its answers how many requests per second it takes
from all instances together. It holds for that incarnation until an answer
names another limit or none. Instances tell each other, and of two statements
the one that was heard last holds.
"""

import math
import typing

import xxhash

from camphorhook_common import logs
from camphorhook_common import wire

SECONDS_PER_MS = 0.001
# How long a limit is kept whose upstream is not registered, or not yet.
UNREGISTERED_SECONDS = 60.0


class _Statement(typing.NamedTuple):
    """What an upstream said last.

    Attributes:
        incarnation: incarnation of the upstream.
        rate: requests per second that it takes; inf for no limit.
        heard_at: time in seconds when its answer arrived.
    """

    incarnation: int
    rate: float
    heard_at: float


class UpstreamLimits:
    """The limits that upstreams have named."""

    def __init__(self, now):
        """Create an empty record.

        Args:
            now: function that returns the time in seconds.
        """
        self._now = now
        self._statements = {}
        self._unpublished = set()

    def record(self, upstream, rate, sent_at):
        """Record the limit that an answer of an upstream names, or lifts.

        An answer without a limit counts if its request was sent after the
        limit was heard: others may have been answered before it was set.

        Args:
            upstream: wire.Registration to which the request was sent.
            rate: requests per second; inf if the answer names no limit.
            sent_at: time in seconds when the request was sent.

        Returns:
            Whether the limit has changed.
        """
        name, incarnation = upstream.name, upstream.incarnation
        before = self.find_rate(name, incarnation)
        if rate == math.inf:
            if before == math.inf:
                return False
            if sent_at <= self._statements[name].heard_at:
                return False
        statement = _Statement(incarnation, rate, self._now())
        if not self._add(name, statement) or rate == before:
            return False
        self._unpublished.add(name)
        text = "the upstream limits its requests per second"
        if rate == math.inf:
            text = "the upstream names no limit any more"
        logs.log(
            "info",
            text,
            step="limit upstream",
            peer=name,
            inputs={"incarnation": incarnation, "rate": _convert_rate(rate)},
        )
        return True

    def find_rate(self, upstream, incarnation):
        """Return the requests per second that an upstream takes, or inf.

        Args:
            upstream: name of the upstream.
            incarnation: its incarnation.
        """
        known = self._statements.get(upstream)
        if known is None or incarnation > known.incarnation:
            return math.inf
        return known.rate

    def _add(self, name, statement):
        """Add a _Statement; return False if a later one is known."""
        known = self._statements.get(name)
        if known is not None:
            if statement.incarnation < known.incarnation:
                return False
            is_same = statement.incarnation == known.incarnation
            if is_same and statement.heard_at < known.heard_at:
                return False
        self._statements[name] = statement
        return True

    # --- other instances ---------------------------------------------------

    def merge(self, news, publishes):
        """Add the wire.LimitNews of another instance.

        Args:
            news: the wire.LimitNews.
            publishes: whether this instance passes on what is new.

        Returns:
            True if something was new.
        """
        is_new = False
        for name, incarnation, rate, age_ms in news.limits:
            before = self._statements.get(name)
            rate = math.inf if rate is None else rate
            heard_at = self._now() - age_ms * SECONDS_PER_MS
            if not self._add(name, _Statement(incarnation, rate, heard_at)):
                continue
            if before is None or before[:2] != (incarnation, rate):
                is_new = True
                if publishes:
                    self._unpublished.add(name)
        return is_new

    def drain_unpublished(self):
        """Return the wire.UpstreamLimits that changed since the last call."""
        names, self._unpublished = self._unpublished, set()
        return self._list(name for name in names if name in self._statements)

    def _list(self, names):
        now = self._now()
        return [
            wire.UpstreamLimit(
                name,
                self._statements[name].incarnation,
                _convert_rate(self._statements[name].rate),
                int((now - self._statements[name].heard_at) / SECONDS_PER_MS),
            )
            for name in names
        ]

    def compute_fingerprint(self):
        """Return a hash of the limits; instances that agree have the same."""
        text = ";".join(
            f"{name} {one.incarnation} {one.rate}"
            for name, one in sorted(self._statements.items())
        )
        return xxhash.xxh3_64_intdigest(text.encode())

    def make_comparison(self, sender):
        """Return the wire.ReadLimits of the instance `sender`."""
        return wire.ReadLimits(sender, self.compute_fingerprint())

    def answer(self, sender, request):
        """Return the wire.LimitNews that answers wire.ReadLimits.

        Args:
            sender: name of this instance.
            request: the wire.ReadLimits.
        """
        if request.fingerprint == self.compute_fingerprint():
            return wire.LimitNews(sender, [])
        return wire.LimitNews(sender, self._list(self._statements))

    def retain(self, names):
        """Forget the limits of all other upstreams, unless recently heard."""
        limit = self._now() - UNREGISTERED_SECONDS
        for name, one in list(self._statements.items()):
            if name not in names and one.heard_at < limit:
                del self._statements[name]


def _convert_rate(rate):
    return rate if rate < math.inf else None
