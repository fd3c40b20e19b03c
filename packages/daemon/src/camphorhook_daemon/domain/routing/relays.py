"""Plans which instances aggregate notices, and for which others.

Up to MAX_MESH_SIZE instances read each other's notices directly. In a larger
fleet the messages that each would read grow with the number of instances, so
the instances form groups within their failure domains. Two relays per group
sum up its notices, exchange the sums with the relays of other groups, and
publish the sum of the whole fleet to their group.

Instances that disagree on which others are alive choose different relays for
a moment. They then know less of the load; nothing else depends on the choice.
"""

import collections
import typing

from camphorhook_daemon.domain import hashing

MAX_MESH_SIZE = 16  # instances that read each other's notices directly
MAX_GROUP_SIZE = 16  # members of a group; as many as in the largest mesh
RELAYS_PER_GROUP = 2  # so that one may fail
# Until the next relay becomes active; longer than the longest interval between
# two summaries.
RELAY_TIMEOUT_SECONDS = 1.0


class Plan(typing.NamedTuple):
    """The instances whose messages an instance reads.

    Attributes:
        group: group of this instance; empty if there are no groups.
        members: instances whose notices are read.
        relays: relays by group, in order of precedence: the first one that
            is alive is active. The relays of the own group publish the sum
            of the whole fleet.
        is_relay: this instance sums up the notices of its group.
        size: number of instances in the group, or in the fleet if there are
            no groups.
    """

    group: str
    members: frozenset
    relays: dict[str, tuple[str, ...]]
    is_relay: bool
    size: int

    def list_peer_relays(self, name):
        """Return the relays of all groups whose sums this relay reads."""
        if not self.is_relay:
            return []
        found = [one for names in self.relays.values() for one in names]
        return [one for one in found if one != name]

    def list_summary_sources(self):
        """Return the relays that publish the fleet's sum to this instance."""
        if self.is_relay or not self.group:
            return []
        return list(self.relays[self.group])


def plan(name, instances):
    """Return the Plan of an instance.

    Args:
        name: name of the instance.
        instances: failure domain by name of the instances alive, with or
            without the instance itself.
    """
    others = frozenset(one for one in instances if one != name)
    if len(others) < MAX_MESH_SIZE or name not in instances:
        return Plan("", others, {}, False, len(others) + 1)
    groups = collections.defaultdict(list)
    sizes = collections.Counter(instances.values())
    for one, domain in instances.items():
        buckets = -(-sizes[domain] // MAX_GROUP_SIZE)
        bucket = int(hashing.hash_to_fraction(domain, one) * buckets)
        groups[f"{domain}/{bucket}"].append(one)
    relays = {
        group: tuple(
            hashing.rank(group, dict.fromkeys(names, 1.0))[:RELAYS_PER_GROUP]
        )
        for group, names in groups.items()
    }
    (own,) = (group for group, names in groups.items() if name in names)
    is_relay = name in relays[own]
    members = frozenset(groups[own]) - {name} if is_relay else frozenset()
    return Plan(own, members, relays, is_relay, len(groups[own]))


class RelayMonitor:
    """Determines the active relay of a group: the first one alive."""

    def __init__(self):
        self._last_message_at = {}

    def record_message(self, relay, now):
        """Record a message of a relay at `now`, in seconds."""
        self._last_message_at[relay] = now

    def expect(self, relays, now):
        """Treat relays without any message yet as alive since `now`."""
        for relay in relays:
            self._last_message_at.setdefault(relay, now)

    def find_active(self, relays, now):
        """Return the active relay; empty if none is alive."""
        for relay in relays:
            last_message_at = self._last_message_at.get(relay, float("-inf"))
            if now - last_message_at < RELAY_TIMEOUT_SECONDS:
                return relay
        return ""
