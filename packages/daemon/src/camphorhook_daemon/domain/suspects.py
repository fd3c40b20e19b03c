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


class SuspectStore:
    """Crashes attributed to request digests, as known to this instance.

    Attributes:
        state_changed: trio.Event, set and replaced when a record changes.
    """

    def __init__(self, clock, recorder):
        self._clock = clock
        self._recorder = recorder
        self._records = {}
        self._change_numbers = {}
        self._expires_at = {}
        self._last_change = 0
        self.state_changed = trio.Event()

    def _store(self, record):
        self._records[record.digest] = record
        self._last_change += 1
        self._change_numbers[record.digest] = self._last_change
        until = trio.current_time() + REFUSAL_SECONDS
        self._expires_at[record.digest] = until
        self.state_changed.set()
        self.state_changed = trio.Event()

    def record_crash(self, digest, incarnation_id):
        """Attribute a crash to a digest; a known crash is not counted again.

        Args:
            digest: digest of the client account and request.
            incarnation_id: name and incarnation of the upstream that crashed.
        """
        known = self._records.get(digest)
        crashes = known.crashes if known and not known.cleared else ()
        if incarnation_id in crashes:
            return
        crashes = (*crashes, incarnation_id)
        record = wire.Suspect(digest, crashes, False, self._clock.stamp())
        self._recorder.record(
            "suspect.charged", request=digest, peer=incarnation_id
        )
        self._store(record)

    def retract_crash(self, incarnation_id):
        """Remove a crash that did not happen from all records.

        If an upstream still announces the same incarnation after its
        connections broke, it has not crashed: the network failed.

        Args:
            incarnation_id: name and incarnation of the upstream.
        """
        for record in list(self._records.values()):
            if incarnation_id in record.crashes:
                crashes = tuple(
                    other
                    for other in record.crashes
                    if other != incarnation_id
                )
                stamp = self._clock.stamp()
                self._store(
                    record._replace(
                        crashes=crashes, cleared=not crashes, stamp=stamp
                    )
                )

    def clear(self, digest):
        """Remove all crashes of a digest whose request has completed."""
        known = self._records.get(digest)
        if known is not None and not known.cleared:
            stamp = self._clock.stamp()
            self._store(known._replace(crashes=(), cleared=True, stamp=stamp))

    def merge(self, record):
        """Merge a record received from another instance."""
        known = self._records.get(record.digest)
        if known is None:
            if not record.cleared:
                self._store(record)
            return
        if record == known:
            return
        if record.cleared or known.cleared:
            if record.stamp > known.stamp:
                self._store(record)
            return
        crashes = tuple(sorted({*known.crashes, *record.crashes}))
        if crashes != known.crashes:
            stamp = max(known.stamp, record.stamp)
            self._store(wire.Suspect(record.digest, crashes, False, stamp))

    def count_crashes(self, digest):
        """Return the number of crashes attributed to a digest."""
        record = self._records.get(digest)
        if record is None or record.cleared:
            return 0
        if self._expires_at[digest] < trio.current_time():
            return 0
        return len(record.crashes)

    def is_refused(self, digest):
        """Tell whether requests of a digest are refused at present."""
        return self.count_crashes(digest) >= CRASH_LIMIT

    def get_refusal_seconds(self, digest):
        """Return seconds until a digest is no longer refused, at least 1."""
        left = self._expires_at.get(digest, 0) - trio.current_time()
        return max(1.0, left)

    def collect_changes(self, since):
        """Return (records changed after a cursor, new cursor)."""
        records = [
            self._records[digest]
            for digest, changed in self._change_numbers.items()
            if changed > since
        ]
        return records, self._last_change

    def evict_expired(self):
        """Drop records unchanged for REFUSAL_SECONDS."""
        now = trio.current_time()
        for digest, until in list(self._expires_at.items()):
            if until < now:
                del self._records[digest]
                del self._change_numbers[digest]
                del self._expires_at[digest]
