"""Ways to choose an engine that the product's is compared with."""

import random

from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import choice as choices
from camphorhook_daemon.domain.routing import selection


class _Simple(selection.Selector):
    """Chooses among all servers that are up."""

    def choose(self, request, service, excluded, now):
        """Return a Choice; see selection.Selector."""
        found = [
            one
            for one in self._catalog.list_service(service)
            if one.name not in excluded
            and self.health[one.name].avoid_until <= now
        ]
        if not found:
            return selection.Refusal("every server is avoided")
        return choices.Choice(self.pick(request, found), 0.0, 0.0, -1)


class RandomSelector(_Simple):
    """Takes any."""

    def pick(self, request, found):
        """Return a Registration."""
        return random.choice(found)


class LeastSelector(_Simple):
    """Takes the one with the fewest requests, by what instances tell."""

    def pick(self, request, found):
        """Return a Registration."""
        return min(
            found,
            key=lambda one: (self.loads.sum_load(one.name)[0], one.name),
        )


class HashSelector(_Simple):
    """Takes the prompt's first place in rendezvous order."""

    def pick(self, request, found):
        """Return a Registration."""
        key, _ = choices.find_shared_part(request.parts)
        by_name = {one.name: one for one in found}
        names = hashing.rank(
            key or request.request, dict.fromkeys(by_name, 1.0)
        )
        return by_name[names[0]]


POLICIES = {
    "product": selection.Selector,
    "random": RandomSelector,
    "least": LeastSelector,
    "hash": HashSelector,
}
