"""Requests under which upstreams crashed.

A crash is charged to every request that ran on the upstream. A charged
request runs again only alone, that is, beside no other charged request on
the same upstream, and one run at a time over the whole fleet. So a second
crash tells the request that causes it from those that were merely there.
After the second crash the request is refused for a time.
"""

import trio

from camphorhook_common import wire

CRASH_LIMIT = 2
REFUSAL_SECONDS = 600.0


class SuspectBook:
    """Crashes charged to request digests, as known to this instance.

    Attributes:
        urgent: set and replaced when a record changed.
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
        """Charge a crash to a digest.

        Args:
            digest: of the client account and request.
            subject: the upstream's name and incarnation.
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
        """Take back charges of a crash that did not happen.

        An upstream that announces the same incarnation again after its
        connections broke has not crashed; the network failed.
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
        """Forget the charges of a digest that ran to its end."""
        known = self._records.get(digest)
        if known is not None and not known.cleared:
            stamp = self._clock.stamp()
            self._put(known._replace(crashes=(), cleared=True, stamp=stamp))

    def merge(self, record):
        """Take in a record of another instance."""
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
        """Return how many upstreams crashed under the digest."""
        record = self._records.get(digest)
        if record is None or record.cleared:
            return 0
        if self._expires[digest] < trio.current_time():
            return 0
        return len(record.crashes)

    def is_refused(self, digest):
        """Tell whether the digest must not run again for now."""
        return self.count_crashes(digest) >= CRASH_LIMIT

    def measure_refusal(self, digest):
        """Return seconds until a refused digest may be tried again."""
        left = self._expires.get(digest, 0) - trio.current_time()
        return max(1.0, left)

    def collect_changes(self, since):
        """Return (records, cursor) changed after a cursor."""
        records = [
            self._records[digest]
            for digest, changed in self._changed.items()
            if changed > since
        ]
        return records, self._counter

    def forget_old(self):
        """Drop records whose time of refusal is over."""
        now = trio.current_time()
        for digest, until in list(self._expires.items()):
            if until < now:
                del self._records[digest]
                del self._changed[digest]
                del self._expires[digest]
