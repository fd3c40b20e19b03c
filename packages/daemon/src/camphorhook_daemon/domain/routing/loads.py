"""What the instances together have on each upstream.

Every instance tells the others, at each change, what it has in flight. So
each knows the fleet's load within milliseconds, where an upstream's own
reports are late and say nothing of prompts that are yet to be read.
"""

import collections

FRESH_SECONDS = 1.2  # three notices; an older one says too little


class _Own:
    """Own requests on one upstream."""

    def __init__(self):
        self.in_flight = 0
        self.unread_tokens = 0


class _Told:
    """What one source told, of one instance or of several together."""

    def __init__(self, at, instances, loads):
        self.at = at
        self.instances = instances
        self.loads = loads


class FleetLoads:
    """Own requests in flight and those that other instances told of.

    A load is a pair of requests and of prompt tokens yet to be read.
    """

    def __init__(self, name, now):
        """Create a record without requests.

        Args:
            name: the own name.
            now: returns seconds.
        """
        self._name = name
        self._now = now
        self._own = collections.defaultdict(_Own)
        self._own_told = {}
        self._told = {}
        self._requests = collections.Counter()
        self._unread = collections.Counter()

    def begin(self, upstream, unread_tokens):
        """Count a request that is being sent."""
        own = self._own[upstream]
        own.in_flight += 1
        own.unread_tokens += unread_tokens

    def note_read(self, upstream, unread_tokens):
        """Take back the tokens of a prompt that was read, or given up."""
        self._own[upstream].unread_tokens -= unread_tokens

    def end(self, upstream):
        """Take back a request that has ended."""
        own = self._own[upstream]
        own.in_flight -= 1
        if not own.in_flight and not own.unread_tokens:
            del self._own[upstream]

    def get_own(self, upstream):
        """Return own requests on an upstream."""
        own = self._own.get(upstream)
        return own.in_flight if own else 0

    def list_own(self):
        """Return own loads by upstream."""
        return {
            name: (own.in_flight, own.unread_tokens)
            for name, own in self._own.items()
        }

    def note_told(self):
        """Take note that the own loads are being told to others."""
        self._own_told = self.list_own()

    def subtract_told(self, loads):
        """Return told loads without the own part that they contain.

        That part is as old as the last notice, not as it is now.
        """
        rest = {}
        for name, (in_flight, unread, *_) in loads.items():
            own_in_flight, own_unread = self._own_told.get(name, (0, 0))
            rest[name] = (
                max(0, in_flight - own_in_flight),
                max(0, unread - own_unread),
            )
        return rest

    def adopt(self, source, loads, instances=1):
        """Take in loads in the place of what the source told before.

        Args:
            source: names who told.
            loads: load by upstream.
            instances: how many instances' loads these are.
        """
        if source == self._name:
            return
        self._drop(source)
        self._told[source] = _Told(self._now(), instances, loads)
        for name, (in_flight, unread) in loads.items():
            self._requests[name] += in_flight
            self._unread[name] += unread

    def _drop(self, source):
        told = self._told.pop(source, None)
        if told is None:
            return
        for name, (in_flight, unread) in told.loads.items():
            self._requests[name] -= in_flight
            self._unread[name] -= unread
            if not self._requests[name] and not self._unread[name]:
                del self._requests[name], self._unread[name]

    def retain(self, sources):
        """Forget what any other source told."""
        for source in [one for one in self._told if one not in sources]:
            self._drop(source)

    def count_heard(self):
        """Return how many other instances' loads are known just now."""
        now = self._now()
        for source, told in list(self._told.items()):
            if now - told.at > FRESH_SECONDS:
                self._drop(source)
        return sum(told.instances for told in self._told.values())

    def sum_load(self, upstream):
        """Return (requests, unread tokens) of all instances heard."""
        own = self._own.get(upstream)
        in_flight = self._requests[upstream]
        unread = self._unread[upstream]
        if own is not None:
            in_flight += own.in_flight
            unread += own.unread_tokens
        return in_flight, unread

    def sum_sources(self, sources=None):
        """Return (instances, load by upstream) of sources and oneself.

        Args:
            sources: their names; None for all that are heard.
        """
        instances = 1 + self.count_heard() if sources is None else 1
        loads = self.list_own()
        for source, told in self._told.items():
            if sources is not None:
                if source not in sources:
                    continue
                instances += told.instances
            for name, (in_flight, unread) in told.loads.items():
                known = loads.get(name, (0, 0))
                loads[name] = known[0] + in_flight, known[1] + unread
        return instances, loads
