"""Reports crashes of upstreams and retracts those that did not happen."""

import trio

from camphorhook_daemon.domain import crash_evidence

CONFIRMATION_DELAY_SECONDS = 4.0


class CrashReporter:
    """Attributes crashes of upstreams to the requests that ran on them."""

    def __init__(self, evidence, directory, exchanger, recorder):
        self._evidence = evidence
        self._recorder = recorder
        self._directory = directory
        self._exchanger = exchanger
        self._unconfirmed = {}

    async def report(self, record, traits, seconds):
        """Record a crash and notify other instances before returning.

        The client may send the request to another instance as soon as it
        has its answer, so the other instances must know of the crash by
        then.

        Args:
            record: the upstream's wire.Upstream.
            traits: traits of the request; the first is its digest.
            seconds: time since the request was sent.
        """
        incarnation_id = crash_evidence.format_incarnation(record)
        if self._evidence.record_crash(record, traits, seconds):
            self._recorder.record(
                "suspect.charged",
                request=f"{traits[0]:x}",
                peer=incarnation_id,
            )
        confirm_at = (
            trio.current_time()
            + record.ttl_ms / 1000
            + CONFIRMATION_DELAY_SECONDS
        )
        self._unconfirmed[incarnation_id] = (record, confirm_at)
        await self._exchanger.push_now()

    def retract_false_crashes(self):
        """Retract crashes of incarnations that still announce themselves.

        Announcements spread with a delay. An announcement from before the
        crash may still hold, so a crash is checked only once that must have
        expired.
        """
        now = trio.current_time()
        for incarnation_id, (record, confirm_at) in list(
            self._unconfirmed.items()
        ):
            if confirm_at > now:
                continue
            del self._unconfirmed[incarnation_id]
            known = self._directory.get(record.name)
            same = known and known.incarnation == record.incarnation
            if same and self._directory.is_announced(record.name):
                self._evidence.retract_crash(incarnation_id)
