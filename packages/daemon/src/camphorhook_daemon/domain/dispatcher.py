"""Reserves upstreams for requests, queueing them fairly while none is free.

A request that cannot start within its service's queue_seconds, or finds the
queue full, is rejected with the time after which to retry.
"""

import typing

import expression
import trio

from camphorhook_common import wire
from camphorhook_daemon.domain import loads
from camphorhook_daemon.domain import permits
from camphorhook_daemon.domain import placement
from camphorhook_daemon.domain import queues

RECHECK_INTERVAL_SECONDS = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0


class Requirements(typing.NamedTuple):
    """What a request requires of an upstream, and its rank in the queue.

    Attributes:
        request_id: id of the request.
        account: name of the client account.
        weight: the account's weight in the queue.
        priority: the account's priority, from 0 to 9 (most urgent).
        service: name of the service to run on.
        model: model to run on; empty for a plain service.
        key: key for placement, such as the chat.
        traits: what the request shares with others that crash upstreams;
            the first is its digest.
        excluded: names of upstreams that must not be tried again.
        version: software version that the upstream must have; None for any.
    """

    request_id: str
    account: str
    weight: int
    priority: int
    service: str
    model: str
    key: str
    traits: tuple[int, ...]
    excluded: frozenset[str]
    version: str | None = None


class Reservation(typing.NamedTuple):
    """An upstream reserved for a request.

    Attributes:
        record: the upstream.
        key: key for placement.
        reserved_at: time of the reservation on trio's clock, in seconds.
        permits_held: permits to return on release.
    """

    record: wire.Upstream
    key: str
    reserved_at: float
    permits_held: tuple[permits.Permit, ...]


class ReservationFailure(typing.NamedTuple):
    """Why no upstream could be reserved.

    Attributes:
        reason: no_upstream, no_version, queue_full, queue_timeout or suspect.
        retry_after: seconds after which a retry may succeed.
    """

    reason: str
    retry_after: float


def describe_reservation_failure(failure, sent):
    """Return the wire.RequestFailure for a ReservationFailure.

    Args:
        failure: a ReservationFailure.
        sent: whether an earlier attempt may have reached an upstream.
    """
    disposition = "maybe-run" if sent else "not-run"
    if failure.reason == "suspect":
        return wire.RequestFailure(
            422,
            "request_refused",
            "upstreams crashed while running this request; change it",
            disposition,
            failure.retry_after,
        )
    if failure.reason == "no_version":
        return wire.RequestFailure(
            503,
            failure.reason,
            "no upstream has the software version that began the answer; "
            "send the request again from its start",
            disposition,
        )
    return wire.RequestFailure(
        503,
        failure.reason,
        f"no upstream has capacity ({failure.reason}); retry later",
        disposition,
        failure.retry_after,
    )


class Dispatcher:
    """Reserves upstreams for requests."""

    def __init__(
        self,
        settings,
        configuration,
        directory,
        permit_manager,
        evidence,
        recorder,
    ):
        self._settings = settings
        self._configuration = configuration
        self._directory = directory
        self._permit_manager = permit_manager
        self._evidence = evidence
        self._recorder = recorder
        self._loads = loads.LoadEstimator()
        self._queues = {}
        self._capacity_changed = trio.Event()
        self._avoided_until = {}

    def count_active(self):
        """Return the number of own requests in flight on upstreams."""
        return self._loads.count_in_flight()

    def count_waiting(self):
        """Return the number of requests that wait in queues."""
        return sum(len(queue) for queue in self._queues.values())

    def avoid(self, name, seconds):
        """Avoid an upstream for some seconds while others are eligible.

        Called after a failure that this instance observed. Other instances
        decide for themselves.

        Args:
            name: the upstream.
            seconds: how long to avoid it.
        """
        self._avoided_until[name] = trio.current_time() + seconds

    # --- candidates ------------------------------------------------------

    def _is_eligible(self, record, requirements):
        if record.service != requirements.service:
            return False
        if requirements.model and requirements.model not in record.models:
            return False
        if record.name in requirements.excluded:
            return False
        if requirements.version not in (None, record.version):
            return False
        if self._configuration.is_domain_out(record.failure_domain):
            return False
        own_domain = self._settings.failure_domain
        if record.failure_domain != own_domain:
            # With a stale configuration, upstreams that operators have
            # taken out are not known.
            if not self._configuration.is_fresh():
                return False
        row = self._configuration.get_or_default("upstreams", record.name)
        return row["state"] == "in"

    def _is_preferred(self, record):
        until = self._avoided_until.get(record.name, 0)
        return until < trio.current_time()

    def list_candidates(self, requirements):
        """Return (records by name, placement candidates) for a request."""
        records = {
            record.name: record
            for record in self._directory.list_live()
            if self._is_eligible(record, requirements)
        }
        preferred = {
            name: record
            for name, record in records.items()
            if self._is_preferred(record)
        }
        records = preferred or records
        loads_now = self._loads.estimate_all(records.values())
        candidates = [
            placement.Candidate(
                record.name,
                self._find_weight(record),
                loads_now[record.name],
                self._loads.count_for_key(record.name, requirements.key),
                record.capacity,
            )
            for record in records.values()
        ]
        return records, candidates

    def _find_weight(self, record):
        own = self._configuration.get_or_default("upstreams", record.name)
        domain = self._configuration.get_or_default(
            "failure_domains", record.failure_domain
        )
        return own["weight"] * domain["weight"] / 100

    # --- reserving -------------------------------------------------------

    async def reserve(
        self, requirements
    ) -> expression.Result[Reservation, ReservationFailure]:
        """Reserve an upstream, waiting in the service's queue if needed.

        On success the caller must call `release`.

        Args:
            requirements: what the request requires.
        """
        blame = self._evidence.find_blame(requirements.traits)
        if blame is not None:
            self._evidence.record_refusal(requirements.traits)
            return expression.Error(
                ReservationFailure("suspect", blame.seconds)
            )
        row = self._configuration.get_or_default(
            "services", requirements.service
        )
        records, _ = self.list_candidates(requirements)
        if not records:
            failure = ReservationFailure(
                "no_upstream", MIN_RETRY_AFTER_SECONDS
            )
            if requirements.version is not None:
                failure = ReservationFailure("no_version", 0.0)
            return expression.Error(failure)
        queue = self._queues.setdefault(
            requirements.service, queues.FairQueue()
        )
        if not len(queue):
            reservation = await self._try_reserve(requirements, row)
            if reservation is not None:
                return expression.Ok(reservation)
        if len(queue) >= row["queue_length"]:
            wait = max(MIN_RETRY_AFTER_SECONDS, row["queue_seconds"])
            return expression.Error(ReservationFailure("queue_full", wait))
        return await self._wait_in_queue(queue, requirements, row)

    async def _wait_in_queue(self, queue, requirements, row):
        """Wait in the queue, where only the first request tries to reserve."""
        queue.put(
            requirements,
            requirements.account,
            requirements.weight,
            requirements.priority,
        )
        waiting = True
        try:
            with trio.move_on_after(row["queue_seconds"]):
                while True:
                    if queue.list_waiting()[0] is requirements:
                        reservation = await self._try_reserve(
                            requirements, row
                        )
                        if reservation is not None:
                            queue.take(requirements)
                            waiting = False
                            self._notify_waiters()
                            return expression.Ok(reservation)
                    await self._wait_for_capacity()
        finally:
            if waiting:
                queue.remove(requirements)
                self._notify_waiters()
        wait = max(MIN_RETRY_AFTER_SECONDS, row["queue_seconds"])
        return expression.Error(ReservationFailure("queue_timeout", wait))

    async def _wait_for_capacity(self):
        with trio.move_on_after(RECHECK_INTERVAL_SECONDS):
            await self._capacity_changed.wait()

    def _notify_waiters(self):
        self._capacity_changed.set()
        self._capacity_changed = trio.Event()

    async def _try_reserve(self, requirements, row):
        """Return a Reservation, or None if no upstream has capacity."""
        records, candidates = self.list_candidates(requirements)
        names = placement.order_candidates(
            requirements.key,
            candidates,
            row["load_bound"],
            self._settings.name,
        )
        for name in names:
            record = records[name]
            self._loads.start(name, requirements.key)
            held = None
            try:
                held = await self._acquire_permits(record, requirements, row)
            finally:
                if held is None:
                    self._loads.finish(name, requirements.key, None)
            if held is not None:
                return Reservation(
                    record, requirements.key, trio.current_time(), held
                )
        return None

    async def _acquire_permits(self, record, requirements, row):
        """Return the permits needed for an upstream, or None if refused."""
        hold_seconds = row["attempt_seconds"]
        held = []
        if self._evidence.count_crashes(requirements.traits[0]):
            if self._evidence.find_blame(requirements.traits) is None:
                held = await self._acquire_suspect_permits(
                    record, requirements, hold_seconds
                )
            if not held:
                return None
        if self._permit_manager.is_cold(record):
            permit = await self._permit_manager.acquire_cold_permit(
                record, requirements.request_id, hold_seconds
            )
            if permit is None:
                for other in held:
                    await self._permit_manager.release_permit(other, False)
                return None
            held.append(permit)
        return tuple(held)

    async def _acquire_suspect_permits(
        self, record, requirements, hold_seconds
    ):
        digest_permit = await self._permit_manager.acquire_digest_permit(
            requirements.traits[0], requirements.request_id, hold_seconds
        )
        if digest_permit is None:
            return []
        exclusive_permit = await self._permit_manager.acquire_exclusive_permit(
            record, requirements.request_id, hold_seconds
        )
        if exclusive_permit is None:
            await self._permit_manager.release_permit(digest_permit, False)
            return []
        return [digest_permit, exclusive_permit]

    async def release(self, reservation, completed):
        """Release a reserved upstream and return its permits.

        Args:
            reservation: what `reserve` returned.
            completed: whether the request completed there.
        """
        seconds = trio.current_time() - reservation.reserved_at
        self._loads.finish(reservation.record.name, reservation.key, seconds)
        self._notify_waiters()
        with trio.CancelScope(shield=True):
            for permit in reservation.permits_held:
                await self._permit_manager.release_permit(permit, completed)
        self._notify_waiters()
