"""Upstreams that asked, in an answer, for no further requests.

An upstream that leaves says so in its answers, often before its departure
reaches this instance through a replica. It is final for that incarnation, and
instances tell each other. An upstream that rejects a request may ask the
instance that sent it for a pause, which concerns that instance alone.
"""

import typing

from camphorhook_common import logs
from camphorhook_common import wire

SECONDS_PER_MS = 0.001
# How long a departure is remembered; longer than the upstream still answers.
DEPARTURE_TTL_SECONDS = 300.0


class _Departure(typing.NamedTuple):
    """The incarnation of an upstream that leaves, and when it said so."""

    incarnation: int
    at: float


class _Pause(typing.NamedTuple):
    """The incarnation of an upstream and the end of the pause it wants."""

    incarnation: int
    until: float


class Withdrawals:
    """Upstreams that leave, or that want no requests for some time."""

    def __init__(self, now):
        """Create an empty record.

        Args:
            now: function that returns the time in seconds.
        """
        self._now = now
        self._departures = {}
        self._pauses = {}
        self._unpublished = {}

    def record_departure(self, upstream):
        """Record that an upstream said in an answer that it leaves.

        Args:
            upstream: wire.Registration to which the request was sent.

        Returns:
            False if it was known.
        """
        name = upstream.name
        if not self._add_departure(name, upstream.incarnation, 0.0):
            return False
        self._unpublished[name] = self._departures[name]
        logs.log(
            "info",
            "the upstream says that it leaves",
            step="withdraw upstream",
            peer=name,
            inputs={"incarnation": upstream.incarnation},
        )
        return True

    def record_pause(self, upstream, seconds):
        """Record that an upstream wants no requests for some seconds."""
        now = self._now()
        self._pauses = {
            name: one for name, one in self._pauses.items() if one.until > now
        }
        until = now + seconds
        known = self._pauses.get(upstream.name)
        if known is not None and known.incarnation == upstream.incarnation:
            until = max(until, known.until)
        self._pauses[upstream.name] = _Pause(upstream.incarnation, until)

    def is_leaving(self, upstream):
        """Return whether an upstream's incarnation has said that it leaves."""
        known = self._departures.get(upstream.name)
        return known is not None and upstream.incarnation <= known.incarnation

    def measure_pause(self, upstream):
        """Return the seconds until an upstream accepts requests again."""
        known = self._pauses.get(upstream.name)
        if known is None or upstream.incarnation > known.incarnation:
            return 0.0
        return max(0.0, known.until - self._now())

    def find_obstacle(self, upstream):
        """Return why nothing may be sent to an upstream now, or ""."""
        if self.is_leaving(upstream):
            return "the upstream leaves"
        if self.measure_pause(upstream) > 0:
            return "the upstream wants a pause"
        return ""

    def merge(self, departures, publishes):
        """Add wire.Departures that another instance published.

        Args:
            departures: the wire.Departures.
            publishes: whether this instance passes on those that are new.

        Returns:
            True if there is something to publish.
        """
        for name, incarnation, age_ms in departures:
            age = age_ms * SECONDS_PER_MS
            if self._add_departure(name, incarnation, age) and publishes:
                self._unpublished[name] = self._departures[name]
        return bool(self._unpublished)

    def drain_unpublished(self):
        """Return the wire.Departures learned since the last call."""
        now = self._now()
        found = [
            wire.Departure(
                name, one.incarnation, int((now - one.at) / SECONDS_PER_MS)
            )
            for name, one in self._unpublished.items()
        ]
        self._unpublished = {}
        return found

    def _add_departure(self, name, incarnation, age):
        known = self._departures.get(name)
        if known is not None and known.incarnation >= incarnation:
            return False
        now = self._now()
        if age >= DEPARTURE_TTL_SECONDS:
            return False
        self._evict_expired(now)
        self._departures[name] = _Departure(incarnation, now - age)
        return True

    def _evict_expired(self, now):
        for name, one in list(self._departures.items()):
            if now - one.at > DEPARTURE_TTL_SECONDS:
                del self._departures[name]
