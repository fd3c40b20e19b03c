"""Services whose upstreams must not be sent more than they have places for.

A brittle upstream falls over if it has to turn requests away, and says so in
its answers. Others turn requests away as long as more come than they can
serve. Either shows that instances must share the places; they tell each other.
"""

import typing

from camphorhook_common import wire

SECONDS_PER_MS = 0.001
# After the last answer that named it; other instances hear of it meanwhile.
BRITTLE_SECONDS = 20.0
# After the last request that was turned away, or that waited for a place.
FULL_SECONDS = 8.0
RENEWAL_SECONDS = 2.0  # by which news must prolong what others know


class _Pressure(typing.NamedTuple):
    """Until when a service is brittle, and its places are shared."""

    brittle_until: float = 0.0
    shared_until: float = 0.0


class Pressure:
    """The services whose places instances share at present."""

    def __init__(self, now):
        """Create an empty record.

        Args:
            now: function that returns the time in seconds.
        """
        self._now = now
        self._services = {}
        self._unpublished = set()

    def is_shared(self, service):
        """Return whether a request to a service needs a place."""
        known = self._services.get(service)
        return known is not None and known.shared_until > self._now()

    def is_brittle(self, service):
        """Return whether the upstreams of a service are brittle."""
        known = self._services.get(service)
        return known is not None and known.brittle_until > self._now()

    def record_brittle(self, service):
        """Record that an answer called an upstream brittle."""
        until = self._now() + BRITTLE_SECONDS
        self._extend(service, _Pressure(until, until), True)

    def record_full(self, service):
        """Record that a request found no place, or had to wait for one."""
        until = self._now() + FULL_SECONDS
        self._extend(service, _Pressure(0.0, until), True)

    def _extend(self, service, other, publishes):
        """Extend what is known; return whether others should know."""
        known = self._services.get(service, _Pressure())
        merged = _Pressure(*map(max, known, other))
        gains = (one - was for one, was in zip(merged, known, strict=True))
        if max(gains) < RENEWAL_SECONDS:
            return False
        self._services[service] = merged
        if publishes:
            self._unpublished.add(service)
        return True

    def merge(self, news, publishes):
        """Add the wire.PressureNews of another instance.

        Args:
            news: the wire.PressureNews.
            publishes: whether this instance passes on what is new.

        Returns:
            True if something was new.
        """
        now = self._now()
        is_new = False
        for service, brittle_ms, shared_ms in news.services:
            other = _Pressure(
                now + brittle_ms * SECONDS_PER_MS,
                now + shared_ms * SECONDS_PER_MS,
            )
            is_new |= self._extend(service, other, publishes)
        return is_new

    def drain_unpublished(self):
        """Return the wire.ServicePressures changed since the last call."""
        now = self._now()
        names, self._unpublished = self._unpublished, set()
        return [
            wire.ServicePressure(
                name,
                *(
                    int(max(0.0, until - now) / SECONDS_PER_MS)
                    for until in self._services[name]
                ),
            )
            for name in sorted(names)
        ]

    def retain(self, services):
        """Forget services that are not configured or no longer shared."""
        now = self._now()
        self._services = {
            name: known
            for name, known in self._services.items()
            if name in services and known.shared_until > now
        }
        self._unpublished &= self._services.keys()
