"""Reports crashes of upstreams and retracts those that did not happen."""

import trio

CHECK_SECONDS = 4.0


class CrashReporter:
    """Attributes crashes of upstreams to the requests that ran on them."""

    def __init__(self, suspects, directory, exchanger):
        self._suspects = suspects
        self._directory = directory
        self._exchanger = exchanger
        self._doubtful = {}

    async def report(self, record, digest):
        """Record a crash and notify other instances before returning.

        The client may send the request to another instance as soon as it
        has its answer, so the other instances must know of the crash by
        then.

        Args:
            record: the upstream's wire.Upstream.
            digest: digest of the client account and request.
        """
        subject = f"{record.name}/{record.incarnation}"
        self._suspects.charge(digest, subject)
        check_at = trio.current_time() + record.ttl_ms / 1000 + CHECK_SECONDS
        self._doubtful[subject] = (record, check_at)
        await self._exchanger.push_now()

    def refute_false(self):
        """Retract crashes of incarnations that still announce themselves.

        Announcements spread with a delay. An announcement from before the
        crash may still hold, so a crash is checked only once that must have
        expired.
        """
        now = trio.current_time()
        for subject, (record, check_at) in list(self._doubtful.items()):
            if check_at > now:
                continue
            del self._doubtful[subject]
            known = self._directory.get(record.name)
            same = known and known.incarnation == record.incarnation
            if same and self._directory.is_heard(record.name):
                self._suspects.refute(subject)
