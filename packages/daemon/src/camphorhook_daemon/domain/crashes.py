"""Reports crashes of upstreams, and takes back those that did not happen."""

import trio

CHECK_SECONDS = 4.0


class CrashReporter:
    """Charges a crash to the request that ran on the upstream."""

    def __init__(self, suspects, directory, exchanger):
        self._suspects = suspects
        self._directory = directory
        self._exchanger = exchanger
        self._doubtful = {}

    async def report(self, record, digest):
        """Charge a crash and tell the other instances before returning.

        The caller may send the request to another instance as soon as it
        has its answer, so the others must know by then.

        Args:
            record: the upstream's wire.Upstream.
            digest: of the client account and request.
        """
        subject = f"{record.name}/{record.incarnation}"
        self._suspects.charge(digest, subject)
        check_at = trio.current_time() + record.ttl_ms / 1000 + CHECK_SECONDS
        self._doubtful[subject] = (record, check_at)
        await self._exchanger.push_now()

    def refute_false(self):
        """Take back crashes of incarnations that go on announcing.

        Announcements travel with a lag, so only those count that are heard
        of after the last one from before the crash has lapsed.
        """
        now = trio.current_time()
        for subject, (record, check_at) in list(self._doubtful.items()):
            if check_at > now:
                continue
            del self._doubtful[subject]
            known = self._directory.get(record.name)
            same = known and known.incarnation == record.incarnation
            if same and self._directory.is_announced(record.name):
                self._suspects.refute(subject)
