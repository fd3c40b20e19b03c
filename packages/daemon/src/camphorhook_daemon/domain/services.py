"""Runs requests to plain services, either repeatable or at most once.

A request of a route whose `repeatable` cell is no is claimed by its
idempotency key on a quorum of disks before its first byte is sent. It is
attempted once. The outcome is recorded and returned to later requests with
the same key.
"""

import time
import typing
import uuid

import trio

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import secrets
from camphorhook_common import wire
from camphorhook_daemon.domain import dispatcher as dispatchers
from camphorhook_daemon.domain import request_traits
from camphorhook_daemon.ports import upstreams as ports

CLAIM_TIMEOUT_SECONDS = 4.0
SETTLE_TIMEOUT_SECONDS = 30.0
SETTLE_FOREGROUND_SECONDS = 3.0
DUPLICATE_WAIT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.25
MAX_ATTEMPTS = 3
AVOID_SECONDS = 2.0
RETRYABLE_STATUSES = (502, 503, 504)
MAX_RECORDED_BYTES = 1024 * 1024  # of an answer's body, in the log
SECONDS_PER_HOUR = 3600.0


class ServiceRequest(typing.NamedTuple):
    """A request for a plain service.

    Attributes:
        request_id: id of the request.
        account: name of the client account.
        row: the account's row of client_accounts.
        service: name of the service.
        method: HTTP method.
        path: path below the service, with the query.
        headers: headers to forward.
        body: the complete body.
        key: idempotency key; may be empty.
    """

    request_id: str
    account: str
    row: dict
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str


class ServiceResult(typing.NamedTuple):
    """The answer to a request and where it came from.

    Attributes:
        answer: the ports.Answer.
        disposition: run.
        replayed: whether it is the recorded answer to an earlier request.
        upstream: name of the upstream; empty if replayed.
    """

    answer: ports.Answer
    disposition: str
    replayed: bool
    upstream: str


def find_route(configuration, service, method, path):
    """Return the cells of the route with the longest matching prefix.

    None if no route matches.
    """
    best = None
    for _, cells in configuration.list_rows("routes").values():
        if cells["service"] != service:
            continue
        if cells["method"] not in ("ANY", method):
            continue
        if not path.startswith(cells["path_prefix"]):
            continue
        longer = best is None or len(cells["path_prefix"]) > len(
            best["path_prefix"]
        )
        if longer:
            best = cells
    return best


class ServiceRunner:
    """Runs requests to plain services on their upstreams."""

    def __init__(self, components):
        """Create a runner from the instance's components."""
        self._components = components

    async def run(self, request):
        """Run a request; return a ServiceResult or a wire.RequestFailure."""
        route = find_route(
            self._components.configuration,
            request.service,
            request.method,
            request.path,
        )
        if route is None:
            return wire.RequestFailure(
                404,
                "no_route",
                f"no route for {request.method} {request.path} of service "
                f"{request.service}; an operator can add one",
                "not-run",
            )
        if route["repeatable"] == "yes":
            return await self._run_repeatable(request)
        if not request.key:
            return wire.RequestFailure(
                400,
                "idempotency_key_missing",
                "this request runs at most once: send an Idempotency-Key "
                "header, with the same key each time you send it again",
                "not-run",
            )
        return await self._run_once(request, route)

    def _make_requirements(self, request, excluded):
        return dispatchers.Requirements(
            request.request_id,
            request.account,
            request.row["weight"],
            request.row["priority"],
            request.service,
            "",
            request.request_id,
            _hash_traits(request),
            frozenset(excluded),
        )

    def _make_call(self, request, alone):
        row = self._components.configuration.get_or_default(
            "services", request.service
        )
        headers = [*request.headers, ("x-request-id", request.request_id)]
        if request.key:
            headers.append(("idempotency-key", request.key))
        return ports.Call(
            request.method,
            request.path,
            headers,
            request.body,
            row["attempt_seconds"],
            alone,
        )

    # --- repeatable requests ---------------------------------------------

    async def _run_repeatable(self, request):
        excluded = set()
        sent = False
        message = "no upstream answered"
        for attempt in range(1, MAX_ATTEMPTS + 1):
            requirements = self._make_requirements(request, excluded)
            result = await self._components.dispatcher.reserve(requirements)
            if result.is_error():
                return dispatchers.describe_reservation_failure(
                    result.error, sent
                )
            reservation = result.ok
            self._record("service.placed", request, reservation)
            answer = None
            try:
                call = self._make_call(request, alone=False)
                answer = await self._components.upstreams.fetch(
                    reservation.record, call
                )
                sent = True
            except ports.AttemptError as error:
                sent = sent or error.sent
                message = error.format()
                await self._handle_attempt_failure(request, reservation, error)
            finally:
                done = answer is not None
                await self._components.dispatcher.release(reservation, done)
            excluded.add(reservation.record.name)
            if answer is not None and answer.status not in RETRYABLE_STATUSES:
                self._record_sound(request)
                return ServiceResult(
                    answer, "run", False, reservation.record.name
                )
            if attempt > 1 and not self._components.retries.spend(
                request.service
            ):
                break
            if answer is not None:
                message = (
                    f"HTTP {answer.status} from {reservation.record.name}"
                )
        disposition = "maybe-run" if sent else "not-run"
        return wire.RequestFailure(
            502, "upstream_failed", message, disposition, 1
        )

    def _record_sound(self, request):
        self._components.evidence.record_success(_hash_traits(request))

    def _record(self, event, request, reservation):
        self._components.recorder.record(
            event,
            request=request.request_id,
            operation=request.key,
            peer=reservation.record.name,
        )

    async def _handle_attempt_failure(self, request, reservation, error):
        logs.log(
            "warning",
            error.message,
            request=request.request_id,
            operation=request.key,
            step=error.step,
            peer=error.peer,
        )
        if not error.sent or error.connection_broken:
            self._components.dispatcher.avoid(
                reservation.record.name, AVOID_SECONDS
            )
        if error.connection_broken:
            await self._components.crash_reporter.report(
                reservation.record,
                _hash_traits(request),
                trio.current_time() - reservation.reserved_at,
            )

    # --- requests that run at most once ----------------------------------

    async def _run_once(self, request, route):
        row = self._components.configuration.get_or_default(
            "services", request.service
        )
        claim = commands.ClaimAttempt(
            request.account,
            request.key,
            _digest(request),
            f"{request.request_id}-{uuid.uuid4().hex[:8]}",
            self._components.settings.name,
            route["retention_hours"] * SECONDS_PER_HOUR,
            row["queue_seconds"]
            + row["attempt_seconds"]
            + CLAIM_TIMEOUT_SECONDS,
            time.time(),
        )
        deadline = trio.current_time() + DUPLICATE_WAIT_SECONDS
        while True:
            try:
                outcome = await self._components.submitter.submit(
                    claim, CLAIM_TIMEOUT_SECONDS
                )
            except errors.UnreachableError as error:
                self._abandon_claim(claim)
                return wire.RequestFailure(
                    503,
                    "no_quorum",
                    f"the key could not be claimed ({error.message}); "
                    "send the request again with the same key",
                    "not-run",
                    2.0,
                )
            if outcome.code != "running":
                break
            if trio.current_time() > deadline:
                break
            await trio.sleep(POLL_INTERVAL_SECONDS)
        return await self._handle_claim_outcome(request, claim, outcome)

    async def _handle_claim_outcome(self, request, claim, outcome):
        if outcome.code == "done":
            self._components.recorder.record(
                "booking.claimed",
                request=request.request_id,
                operation=request.key,
                detail=f"index {outcome.index}",
            )
            return await self._attempt_once(request, claim)
        if outcome.code == "replay":
            answer = ports.Answer(
                outcome.status, outcome.content_type, [], outcome.body
            )
            return ServiceResult(answer, "run", True, "")
        if outcome.code == "mismatch":
            return wire.RequestFailure(
                422,
                "idempotency_key_reused",
                "this key was used with another request; use a new key",
                "not-run",
            )
        if outcome.code == "oversized":
            return wire.RequestFailure(
                410,
                "answer_not_recorded",
                f"the request ran and was answered {outcome.status}; the "
                f"answer exceeded {MAX_RECORDED_BYTES} bytes and was not "
                "recorded; ask the service",
                "run",
            )
        return describe_open_claim(request.key, outcome.code)

    async def _attempt_once(self, request, claim):
        """Make the only attempt that may reach an upstream.

        An upstream that refuses the connection has received no byte of the
        request, so the next one is tried.
        """
        excluded = set()
        while True:
            requirements = self._make_requirements(request, excluded)
            result = await self._components.dispatcher.reserve(requirements)
            if result.is_error():
                await self._settle(claim, "abandoned")
                return dispatchers.describe_reservation_failure(
                    result.error, False
                )
            reservation = result.ok
            self._record("booking.attempt", request, reservation)
            answer = None
            error = None
            sent = True
            try:
                call = self._make_call(request, alone=True)
                answer = await self._components.upstreams.fetch(
                    reservation.record, call
                )
            except ports.AttemptError as caught:
                error = caught
                sent = caught.sent
                await self._handle_attempt_failure(
                    request, reservation, caught
                )
            finally:
                with trio.CancelScope(shield=True):
                    if answer is not None:
                        await self._settle(claim, "finished", answer)
                    elif sent:
                        await self._settle(claim, "unknown")
                    done = answer is not None
                    await self._components.dispatcher.release(
                        reservation, done
                    )
            if answer is not None:
                self._record_sound(request)
                self._record("booking.finished", request, reservation)
                self._components.meter.count_request(request.service)
                return ServiceResult(
                    answer, "run", False, reservation.record.name
                )
            if sent:
                self._record("booking.unknown", request, reservation)
                return describe_open_claim(request.key, "unknown", error)
            excluded.add(reservation.record.name)

    async def _settle(self, claim, state, answer=None):
        """Record an outcome, continuing in the background if it takes long.

        Of an answer too large for the log only the status is recorded.
        """
        body = answer.body if answer else b""
        if len(body) > MAX_RECORDED_BYTES:
            state, body = "oversized", b""
        message = commands.SettleAttempt(
            claim.account,
            claim.key,
            claim.attempt,
            state,
            answer.status if answer else 0,
            answer.content_type if answer else "",
            body,
            time.time(),
        )
        try:
            await self._components.submitter.submit(
                message, SETTLE_FOREGROUND_SECONDS
            )
        except errors.UnreachableError:
            self._components.nursery.start_soon(self._settle_later, message)

    async def _settle_later(self, message):
        for _ in range(int(10 * SECONDS_PER_HOUR / SETTLE_TIMEOUT_SECONDS)):
            try:
                await self._components.submitter.submit(
                    message, SETTLE_TIMEOUT_SECONDS
                )
                return
            except errors.UnreachableError as error:
                logs.log(
                    "warning",
                    error.message,
                    operation=message.key,
                    step="settle",
                )
                await trio.sleep(POLL_INTERVAL_SECONDS)

    def _abandon_claim(self, claim):
        """Release a claim that may have been committed without a reply."""
        message = commands.SettleAttempt(
            claim.account,
            claim.key,
            claim.attempt,
            "abandoned",
            0,
            "",
            b"",
            time.time(),
        )
        self._components.nursery.start_soon(self._settle_later, message)


def describe_open_claim(key, code, error=None):
    """Return the wire.RequestFailure for a claim without a known outcome.

    Args:
        key: the idempotency key.
        code: state of the claim; running, or another if the outcome is lost.
        error: ports.AttemptError of the only attempt, if known.
    """
    if code == "running":
        message = "the first request with this key is still running"
    else:
        reason = f" ({error.format()})" if error else ""
        message = (
            "the only attempt of this request ended without a known "
            f"outcome{reason}; ask /v1/operations/{key} or the service"
        )
    status = 409 if code == "running" else 504
    return wire.RequestFailure(
        status, f"claim_{code}", message, "maybe-run", 2.0
    )


def _hash_traits(request):
    """Return what a request may share with others that crash upstreams."""
    return (
        request_traits.hash_request(
            request.account, request.method, request.path, request.body
        ),
    )


def _digest(request):
    head = f"{request.account}\0{request.method}\0{request.path}\0"
    return secrets.digest_body(head.encode() + request.body)
