"""Weighted fair queueing of requests that wait for an upstream.

Implements start-time fair queueing (Goyal et al., 1996): a request's start
tag is the maximum of the queue's virtual time and its account's last finish
tag, and each request advances its account's finish tag by 1 / weight.
Higher priorities are served first.
"""

import heapq
import itertools


class FairQueue:
    """A queue ordered by priority, then by the fair shares of accounts."""

    def __init__(self):
        self._heap = []
        self._virtual_time = 0.0
        self._finish_tags = {}
        self._insertion_numbers = itertools.count()
        self._removed = set()

    def __len__(self):
        return len(self._heap) - len(self._removed)

    def put(self, item, account, weight, priority):
        """Add an item.

        Args:
            item: any hashable object.
            account: name of the client account it belongs to.
            weight: the account's share, relative to other accounts.
            priority: from 0 to 9, the most urgent.
        """
        start = max(self._virtual_time, self._finish_tags.get(account, 0.0))
        self._finish_tags[account] = start + 1.0 / weight
        entry = (-priority, start, next(self._insertion_numbers), item)
        heapq.heappush(self._heap, entry)

    def remove(self, item):
        """Remove an item that no longer waits."""
        self._removed.add(item)
        self._drop_removed()

    def _drop_removed(self):
        while self._heap and self._heap[0][3] in self._removed:
            entry = heapq.heappop(self._heap)
            self._removed.discard(entry[3])
        if not self._heap:
            self._finish_tags.clear()
            self._virtual_time = 0.0

    def list_waiting(self):
        """Return the waiting items in the order in which they should run."""
        ordered = sorted(self._heap, key=lambda entry: entry[:3])
        return [entry[3] for entry in ordered if entry[3] not in self._removed]

    def take(self, item):
        """Remove an item that starts to run and advance the virtual time."""
        for entry in self._heap:
            if entry[3] is item:
                self._virtual_time = max(self._virtual_time, entry[1])
                break
        self.remove(item)
