"""Who sums up the instances' notices, and for whom.

Up to MESH_MOST instances tell each other directly. With more, what one of
them would read grows with their number, so they form groups within their
failure domains. Two relays of a group sum up its notices, exchange the sums
with other groups' relays, and tell their group the sum of all. Instances
that don't agree on who is alive pick other relays for a moment; then they
know less of the load, and nothing else depends on it.
"""

import collections
import typing

from camphorhook_daemon.domain import hashing

MESH_MOST = 16  # instances that read each other's notices
GROUP_MOST = 16  # members of a group; as many notices as in the largest mesh
RELAYS = 2  # of a group, so that one may be lost
SILENCE_SECONDS = 1.0  # of a relay, until the next one counts; above
# the longest time between two of its summaries


class Plan(typing.NamedTuple):
    """Whose messages an instance takes in.

    Attributes:
        group: the own group; empty where all tell each other directly.
        members: instances whose notices are read.
        relays: relays by group; the own group's are those that tell the
            sum of all. The first one counts while it is heard.
        is_relay: this instance sums up its group's notices.
        size: instances of the group, or of the fleet without groups.
    """

    group: str
    members: frozenset
    relays: dict[str, tuple[str, ...]]
    is_relay: bool
    size: int

    def list_peer_relays(self, name):
        """Return the relays, of any group, whose sums this one reads."""
        if not self.is_relay:
            return []
        found = [one for names in self.relays.values() for one in names]
        return [one for one in found if one != name]

    def list_tellers(self):
        """Return the relays that tell this instance the sum of all."""
        if self.is_relay or not self.group:
            return []
        return list(self.relays[self.group])


def plan(name, instances):
    """Return the Plan of an instance.

    Args:
        name: the instance.
        instances: failure domain by name of those that are alive, with
            or without the instance itself.
    """
    others = frozenset(one for one in instances if one != name)
    if len(others) < MESH_MOST or name not in instances:
        return Plan("", others, {}, False, len(others) + 1)
    groups = collections.defaultdict(list)
    sizes = collections.Counter(instances.values())
    for one, domain in instances.items():
        buckets = -(-sizes[domain] // GROUP_MOST)
        bucket = int(hashing.hash_to_fraction(domain, one) * buckets)
        groups[f"{domain}/{bucket}"].append(one)
    relays = {
        group: tuple(hashing.rank(group, dict.fromkeys(names, 1.0))[:RELAYS])
        for group, names in groups.items()
    }
    (own,) = (group for group, names in groups.items() if name in names)
    is_relay = name in relays[own]
    members = frozenset(groups[own]) - {name} if is_relay else frozenset()
    return Plan(own, members, relays, is_relay, len(groups[own]))


class RelayWatch:
    """Which relay of each group counts: the first that is heard."""

    def __init__(self):
        self._heard_at = {}

    def note(self, relay, now):
        """Take note that a relay was heard."""
        self._heard_at[relay] = now

    def expect(self, relays, now):
        """Give relays that were never heard the time to be."""
        for relay in relays:
            self._heard_at.setdefault(relay, now)

    def find_current(self, relays, now):
        """Return the relay that counts; empty if none is heard."""
        for relay in relays:
            heard_at = self._heard_at.get(relay, float("-inf"))
            if now - heard_at < SILENCE_SECONDS:
                return relay
        return ""
