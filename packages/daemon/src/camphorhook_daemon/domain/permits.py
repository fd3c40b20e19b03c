"""Fleet-wide permits for cold upstreams and for suspected requests.

The permits of an upstream are divided among a few entry instances of its
failure domain, the holders. They are chosen by hash from the settings and
not from the live instances: instances that disagree about liveness still ask
the same holders, so the fleet as a whole never exceeds the allowance.
"""

import typing

import trio

from camphorhook_common import errors
from camphorhook_common import wire
from camphorhook_daemon.domain import hashing

SECONDS_PER_MS = 0.001
HOLDERS_PER_UPSTREAM = 2
PERMIT_TIMEOUT_SECONDS = 1.0
COLD = "cold"
SUSPECT = "suspect"
DIGEST = "digest"
RETENTION_SECONDS = 3600.0
REPORTS_PER_TTL = 3
REPORT_LAG_SECONDS = 2.0


class _Grants:
    """Permits that this instance has granted for one subject.

    Attributes:
        held: time of expiry by request id, on trio's clock.
        completed: number of runs that completed.
        min_reported: lowest number of requests that the upstream reported
            since this instance started; None before the first report.
        used_at: time of the last request for a permit, on trio's clock.
    """

    def __init__(self):
        self.held = {}
        self.completed = 0
        self.min_reported = None
        self.used_at = trio.current_time()

    def drop_expired(self):
        now = trio.current_time()
        self.used_at = now
        for request_id, until in list(self.held.items()):
            if until < now:
                del self.held[request_id]


class Permit(typing.NamedTuple):
    """A granted permit.

    Attributes:
        holder: name of the instance that granted it.
        reason: COLD, SUSPECT or DIGEST.
        subject: the digest for DIGEST, else as `format_subject` returns it.
        request_id: id of the request that holds it.
    """

    holder: str
    reason: str
    subject: str
    request_id: str


def format_subject(record):
    """Return the permit subject of an upstream in its current cold spell."""
    return f"{record.name}/{record.incarnation}/{record.cold_spell}"


class PermitManager:
    """Acquires permits from holders and grants those this instance holds."""

    def __init__(
        self, settings, transport, directory, configuration, evidence
    ):
        self._name = settings.name
        self._transport = transport
        self._directory = directory
        self._configuration = configuration
        self._evidence = evidence
        self._grants = {}
        self._started_at = trio.current_time()
        self._entry_instances = _group_entry_instances(settings)

    # --- holders ---------------------------------------------------------

    def find_holders(self, record):
        """Return the names of the holders of an upstream's permits."""
        names = self._entry_instances.get(record.failure_domain, [])
        ranked = hashing.rank(record.name, dict.fromkeys(names, 1.0))
        return ranked[:HOLDERS_PER_UPSTREAM]

    def find_digest_holder(self, digest):
        """Return the instance that permits one run of a digest at a time."""
        names = [
            name for group in self._entry_instances.values() for name in group
        ]
        return hashing.rank(digest, dict.fromkeys(names, 1.0))[0]

    def is_cold(self, record):
        """Tell whether an upstream is cold, so that it needs permits.

        It is warm once each holder has seen its part of `warm_after` runs
        complete. Until then each holder enforces its part of the
        allowance.
        """
        needed = set(self.find_holders(record))
        return not needed <= set(record.warm)

    def _find_share(self, record, holder, allowance):
        """Return how many of the cold permits belong to a holder."""
        holders = self.find_holders(record)
        if holder not in holders:
            return 0
        position = holders.index(holder)
        extra = 1 if position < allowance % len(holders) else 0
        return allowance // len(holders) + extra

    # --- acquiring -------------------------------------------------------

    async def acquire_cold_permit(self, record, request_id, hold_seconds):
        """Return a Permit for a cold upstream, or None if none is granted.

        Args:
            record: the upstream's wire.Upstream.
            request_id: id of the request that needs the permit.
            hold_seconds: longest time for which the permit is needed.
        """
        subject = format_subject(record)
        ranked = hashing.rank(
            request_id, dict.fromkeys(self.find_holders(record), 1.0)
        )
        for holder in ranked:
            permit = await self._acquire_permit(
                holder, COLD, subject, request_id, hold_seconds
            )
            if permit is not None:
                return permit
        return None

    async def acquire_exclusive_permit(self, record, request_id, hold_seconds):
        """Return a Permit to run a suspected request, or None.

        No other suspected request runs on the upstream meanwhile.

        Args:
            record: the upstream's wire.Upstream.
            request_id: id of the request that needs the permit.
            hold_seconds: longest time for which the permit is needed.
        """
        holders = self.find_holders(record)
        if not holders:
            return None
        subject = format_subject(record)
        return await self._acquire_permit(
            holders[0], SUSPECT, subject, request_id, hold_seconds
        )

    async def acquire_digest_permit(self, digest, request_id, hold_seconds):
        """Return a Permit for the only run of a suspected digest, or None.

        Args:
            digest: digest of the request, the first of its traits.
            request_id: id of the request that needs the permit.
            hold_seconds: longest time for which the permit is needed.
        """
        subject = f"{digest:x}"
        holder = self.find_digest_holder(subject)
        return await self._acquire_permit(
            holder, DIGEST, subject, request_id, hold_seconds
        )

    async def _acquire_permit(
        self, holder, reason, subject, request_id, hold_seconds
    ):
        hold_ms = int(hold_seconds / SECONDS_PER_MS)
        message = wire.AcquirePermit(reason, subject, request_id, hold_ms)
        try:
            reply = await self._transport.call(
                holder, message, PERMIT_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return None
        if reply.warm and reason == COLD:
            self._mark_warm(subject, holder)
        if not reply.granted:
            return None
        return Permit(holder, reason, subject, request_id)

    async def release_permit(self, permit, completed):
        """Release a permit at its holder.

        An unreachable holder is ignored, as the permit expires there.

        Args:
            permit: the Permit.
            completed: whether the request completed on the upstream.
        """
        if not permit.holder:
            return
        message = wire.ReleasePermit(
            permit.reason, permit.subject, permit.request_id, completed
        )
        try:
            reply = await self._transport.call(
                permit.holder, message, PERMIT_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return
        if reply.warm and permit.reason == COLD:
            self._mark_warm(permit.subject, permit.holder)

    def _find_record(self, subject):
        """Return the upstream of a subject, or None if it has changed."""
        record = self._directory.get(subject.split("/")[0])
        if record is None or format_subject(record) != subject:
            return None
        return record

    def _mark_warm(self, subject, holder):
        record = self._find_record(subject)
        if record is not None:
            self._directory.mark_warm(record, holder)

    # --- granting --------------------------------------------------------

    def grant(self, message):
        """Grant or refuse a permit held here; return the reply."""
        key = (message.reason, message.subject)
        grants = self._grants.setdefault(key, _Grants())
        grants.drop_expired()
        if message.reason == COLD:
            return self._grant_cold(message, grants)
        free = not set(grants.held) - {message.request}
        if message.reason == DIGEST:
            digest = int(message.subject, 16)
            free = free and self._evidence.find_blame((digest,)) is None
        if free:
            self._record_grant(grants, message)
        return wire.PermitReply(free, False)

    def _record_grant(self, grants, message):
        until = trio.current_time() + message.hold_ms * SECONDS_PER_MS
        grants.held[message.request] = until

    def _grant_cold(self, message, grants):
        record = self._find_record(message.subject)
        if record is None:
            return wire.PermitReply(False, False)
        is_warm = self._name in record.warm
        row = self._configuration.get_or_default("services", record.service)
        share = self._find_share(record, self._name, row["cold_allowance"])
        outstanding = self._count_outstanding(record, row, grants)
        granted = outstanding < share or not self.is_cold(record)
        if granted:
            self._record_grant(grants, message)
        return wire.PermitReply(granted, is_warm)

    def _count_outstanding(self, record, row, grants):
        """Return the largest number of own permits that may be in use.

        A restarted holder has lost the permits it granted before. Until
        the upstream's next report, all of them may be in use. After it, no
        more than the lowest number of requests reported so far, as old
        permits only decrease; and none once the longest attempt from
        before the restart is over.
        """
        held = len(grants.held)
        if self._directory.is_known_from_start(record.name):
            if not record.cold_spell:
                return held
        running = trio.current_time() - self._started_at
        if running > row["attempt_seconds"]:
            return held
        reported = (
            record.ttl_ms * SECONDS_PER_MS / REPORTS_PER_TTL
            + REPORT_LAG_SECONDS
        )
        if running < reported:
            return max(held, row["cold_allowance"])
        if grants.min_reported is None:
            grants.min_reported = record.active
        grants.min_reported = min(grants.min_reported, record.active)
        return held + grants.min_reported

    def handle_release(self, message):
        """Release a permit granted here; return the reply."""
        grants = self._grants.get((message.reason, message.subject))
        if grants is None:
            return wire.ReleaseReply(False)
        held = grants.held.pop(message.request, None)
        if message.reason == DIGEST:
            return wire.ReleaseReply(False)
        if message.completed and held is not None:
            grants.completed += 1
        warm = message.reason == COLD and self._find_warm(message, grants)
        return wire.ReleaseReply(warm)

    def _find_warm(self, message, grants):
        record = self._find_record(message.subject)
        if record is None:
            return False
        row = self._configuration.get_or_default("services", record.service)
        holders = len(self.find_holders(record)) or 1
        if grants.completed * holders < row["warm_after"]:
            return False
        self._directory.mark_warm(record, self._name)
        return True

    def evict_expired(self):
        """Drop the permits of subjects unused for RETENTION_SECONDS."""
        limit = trio.current_time() - RETENTION_SECONDS
        for key, grants in list(self._grants.items()):
            if grants.used_at < limit:
                del self._grants[key]


def _group_entry_instances(settings):
    """Return the sorted names of entry instances by failure domain."""
    groups = {}
    if "entry" in settings.roles:
        groups.setdefault(settings.failure_domain, []).append(settings.name)
    for peer in settings.peers:
        if "entry" in peer.roles:
            groups.setdefault(peer.failure_domain, []).append(peer.name)
    return {domain: sorted(names) for domain, names in groups.items()}
