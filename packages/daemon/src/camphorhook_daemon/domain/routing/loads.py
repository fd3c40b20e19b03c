"""Load of the whole fleet on each upstream.

Each instance publishes its requests in flight whenever they change, so that
all know the load of the fleet within milliseconds. The reports of an upstream
itself arrive late and do not cover prompts that wait for prefill.
"""

import collections

MAX_REPORT_AGE_SECONDS = 1.2  # three notice intervals


class _OwnLoad:
    """Load of this instance on one upstream."""

    def __init__(self):
        self.in_flight = 0
        self.pending_prefill_tokens = 0


class _ReportedLoad:
    """Last report of a source, for one instance or several together."""

    def __init__(self, at, instances, loads):
        self.at = at
        self.instances = instances
        self.loads = loads


class FleetLoads:
    """Load of this instance and the loads that others reported.

    A load is a pair: requests in flight, and prompt tokens still to be
    prefilled.
    """

    def __init__(self, name, now):
        """Create a record without requests.

        Args:
            name: name of this instance.
            now: function that returns the time in seconds.
        """
        self._name = name
        self._now = now
        self._own = collections.defaultdict(_OwnLoad)
        self._published = {}
        self._reports = {}
        self._requests = collections.Counter()
        self._pending_tokens = collections.Counter()

    def begin(self, upstream, pending_prefill_tokens):
        """Count a request that is about to be sent to an upstream."""
        own = self._own[upstream]
        own.in_flight += 1
        own.pending_prefill_tokens += pending_prefill_tokens

    def subtract_prefill(self, upstream, pending_prefill_tokens):
        """Subtract the tokens of a prompt that was prefilled or abandoned."""
        self._own[upstream].pending_prefill_tokens -= pending_prefill_tokens

    def end(self, upstream):
        """Subtract a request that has ended."""
        own = self._own[upstream]
        own.in_flight -= 1
        if not own.in_flight and not own.pending_prefill_tokens:
            del self._own[upstream]

    def get_own(self, upstream):
        """Return the number of requests of this instance on an upstream."""
        own = self._own.get(upstream)
        return own.in_flight if own else 0

    def list_own(self):
        """Return the load of this instance by upstream."""
        return {
            name: (own.in_flight, own.pending_prefill_tokens)
            for name, own in self._own.items()
        }

    def mark_published(self):
        """Mark the present load of this instance as published."""
        self._published = self.list_own()

    def subtract_own(self, loads):
        """Return reported loads without the share of this instance.

        That share is the load as last published, not the present one.
        """
        rest = {}
        for name, (in_flight, pending_tokens, *_) in loads.items():
            own_in_flight, own_pending_tokens = self._published.get(
                name, (0, 0)
            )
            rest[name] = (
                max(0, in_flight - own_in_flight),
                max(0, pending_tokens - own_pending_tokens),
            )
        return rest

    def set_reported(self, source, loads, instances=1):
        """Replace the loads that a source reported before.

        Args:
            source: name of the instance, the relays' group or the fleet.
            loads: load by upstream.
            instances: number of instances that the loads cover.
        """
        if source == self._name:
            return
        self._drop(source)
        self._reports[source] = _ReportedLoad(self._now(), instances, loads)
        for name, (in_flight, pending_tokens) in loads.items():
            self._requests[name] += in_flight
            self._pending_tokens[name] += pending_tokens

    def _drop(self, source):
        report = self._reports.pop(source, None)
        if report is None:
            return
        for name, (in_flight, pending_tokens) in report.loads.items():
            self._requests[name] -= in_flight
            self._pending_tokens[name] -= pending_tokens
            if not self._requests[name] and not self._pending_tokens[name]:
                del self._requests[name], self._pending_tokens[name]

    def retain(self, sources):
        """Remove the reports of all other sources."""
        for source in [one for one in self._reports if one not in sources]:
            self._drop(source)

    def count_reporting_instances(self):
        """Return the number of other instances with a recent report.

        Reports older than MAX_REPORT_AGE_SECONDS are removed.
        """
        now = self._now()
        for source, report in list(self._reports.items()):
            if now - report.at > MAX_REPORT_AGE_SECONDS:
                self._drop(source)
        return sum(report.instances for report in self._reports.values())

    def sum_load(self, upstream):
        """Return (requests, tokens to prefill), of all instances known."""
        own = self._own.get(upstream)
        in_flight = self._requests[upstream]
        pending_tokens = self._pending_tokens[upstream]
        if own is not None:
            in_flight += own.in_flight
            pending_tokens += own.pending_prefill_tokens
        return in_flight, pending_tokens

    def sum_sources(self, sources=None):
        """Return (instances, load by upstream), this instance included.

        Args:
            sources: names of the sources to sum; None for all.
        """
        instances = (
            1 + self.count_reporting_instances() if sources is None else 1
        )
        loads = self.list_own()
        for source, report in self._reports.items():
            if sources is not None:
                if source not in sources:
                    continue
                instances += report.instances
            for name, (in_flight, pending_tokens) in report.loads.items():
                known = loads.get(name, (0, 0))
                loads[name] = known[0] + in_flight, known[1] + pending_tokens
        return instances, loads
