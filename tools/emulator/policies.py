"""Baseline policies that the product's selection is compared with."""

import random

from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import choice as choices
from camphorhook_daemon.domain.routing import selection


class _HealthySelector(selection.Selector):
    """Chooses among the servers that are not avoided after failures."""

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
        """Return a Choice or a Refusal; see selection.Selector."""
        registrations = [
            one
            for one in self._catalog.list_service(service)
            if one.name not in excluded
            and self.health[one.name].avoid_until <= now
            and version in (None, one.version)
        ]
        if not registrations:
            return selection.Refusal("every server is avoided after failures")
        return choices.Choice(self.pick(request, registrations), 0.0, 0.0, -1)

    async def acquire_permit(self, choice, service, now):
        """Return None: these policies limit no rates."""

    def find_obstacle(self, upstream, permit, now):
        """Return "": these policies limit no rates."""
        return ""


class RandomSelector(_HealthySelector):
    """Chooses a server at random."""

    def pick(self, request, registrations):
        """Return a Registration."""
        return random.choice(registrations)


class LeastLoadSelector(_HealthySelector):
    """Chooses the server with the fewest requests that instances report."""

    def pick(self, request, registrations):
        """Return a Registration."""
        return min(
            registrations,
            key=lambda one: (self.loads.sum_load(one.name)[0], one.name),
        )


class TwoChoicesSelector(_HealthySelector):
    """Chooses the server with fewer requests of two random ones."""

    def pick(self, request, registrations):
        """Return a Registration."""
        found = random.sample(registrations, min(2, len(registrations)))
        return min(found, key=lambda one: self.loads.sum_load(one.name)[0])


class HashSelector(_HealthySelector):
    """Chooses the first server of the shared prompt in rendezvous hashing."""

    def pick(self, request, registrations):
        """Return a Registration."""
        key, _ = choices.find_shared_part(request.parts)
        by_name = {one.name: one for one in registrations}
        names = hashing.rank(
            key or request.request, dict.fromkeys(by_name, 1.0)
        )
        return by_name[names[0]]


class WithoutSpeedSelector(selection.Selector):
    """The product's selection where upstreams report no speed."""

    def _make_forecast(self, request, spec, upstreams, now):
        return None


POLICIES = {
    "product": selection.Selector,
    "without speed": WithoutSpeedSelector,
    "two choices": TwoChoicesSelector,
    "random": RandomSelector,
    "least": LeastLoadSelector,
    "hash": HashSelector,
}
