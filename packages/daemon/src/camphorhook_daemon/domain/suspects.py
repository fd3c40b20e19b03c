"""Tracks requests that were running when upstreams crashed.

A crash is attributed to every request that was running on the upstream. Such
a suspected request may run again only in isolation: without another
suspected request on the same upstream, and one run at a time in the whole
fleet. A second crash thus separates the request that causes crashes from
those that merely ran beside it. After it, the request is refused for
REFUSAL_SECONDS.
"""

import trio

from camphorhook_common import wire

CRASH_LIMIT = 2
REFUSAL_SECONDS = 600.0


class SuspectBook:
    """Crashes attributed to request digests, as known to this instance.

    Attributes:
        urgent: trio.Event that is set and replaced when a record changes.
    """

    def __init__(self, clock, recorder):
        self._clock = clock
        self._recorder = recorder
        self._records = {}
        self._changed = {}
        self._expires = {}
        self._counter = 0
        self.urgent = trio.Event()

    def _put(self, record):
        self._records[record.digest] = record
        self._counter += 1
        self._changed[record.digest] = self._counter
        until = trio.current_time() + REFUSAL_SECONDS
        self._expires[record.digest] = until
        self.urgent.set()
        self.urgent = trio.Event()

    def charge(self, digest, subject):
        """Attribute a crash to a digest; a known crash is not counted again.

        Args:
            digest: digest of the client account and request.
            subject: name and incarnation of the upstream that crashed.
        """
        known = self._records.get(digest)
        crashes = known.crashes if known and not known.cleared else ()
        if subject in crashes:
            return
        crashes = (*crashes, subject)
        record = wire.Suspect(digest, crashes, False, self._clock.stamp())
        self._recorder.record("suspect.charged", request=digest, peer=subject)
        self._put(record)

    def refute(self, subject):
        """Remove a crash that did not happen from all records.

        If an upstream still announces the same incarnation after its
        connections broke, it has not crashed: the network failed.

        Args:
            subject: name and incarnation of the upstream.
        """
        for record in list(self._records.values()):
            if subject in record.crashes:
                crashes = tuple(
                    other for other in record.crashes if other != subject
                )
                stamp = self._clock.stamp()
                self._put(
                    record._replace(
                        crashes=crashes, cleared=not crashes, stamp=stamp
                    )
                )

    def clear(self, digest):
        """Remove all crashes of a digest whose request has completed."""
        known = self._records.get(digest)
        if known is not None and not known.cleared:
            stamp = self._clock.stamp()
            self._put(known._replace(crashes=(), cleared=True, stamp=stamp))

    def merge(self, record):
        """Merge a record received from another instance."""
        known = self._records.get(record.digest)
        if known is None:
            if not record.cleared:
                self._put(record)
            return
        if record == known:
            return
        if record.cleared or known.cleared:
            if record.stamp > known.stamp:
                self._put(record)
            return
        crashes = tuple(sorted({*known.crashes, *record.crashes}))
        if crashes != known.crashes:
            stamp = max(known.stamp, record.stamp)
            self._put(wire.Suspect(record.digest, crashes, False, stamp))

    def count_crashes(self, digest):
        """Return the number of crashes attributed to a digest."""
        record = self._records.get(digest)
        if record is None or record.cleared:
            return 0
        if self._expires[digest] < trio.current_time():
            return 0
        return len(record.crashes)

    def is_refused(self, digest):
        """Tell whether requests of a digest are refused at present."""
        return self.count_crashes(digest) >= CRASH_LIMIT

    def measure_refusal(self, digest):
        """Return seconds until a digest is no longer refused, at least 1."""
        left = self._expires.get(digest, 0) - trio.current_time()
        return max(1.0, left)

    def collect_changes(self, since):
        """Return (records changed after a cursor, new cursor)."""
        records = [
            self._records[digest]
            for digest, changed in self._changed.items()
            if changed > since
        ]
        return records, self._counter

    def forget_old(self):
        """Drop records unchanged for REFUSAL_SECONDS."""
        now = trio.current_time()
        for digest, until in list(self._expires.items()):
            if until < now:
                del self._records[digest]
                del self._changed[digest]
                del self._expires[digest]
