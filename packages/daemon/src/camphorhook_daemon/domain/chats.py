"""Runs chat completions, failing over between engines when one fails."""

import time
import typing
import uuid

import msgspec
import trio

from camphorhook_common import jsontext
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import answers
from camphorhook_daemon.domain import dispatcher as dispatchers
from camphorhook_daemon.domain import streams
from camphorhook_daemon.ports import upstreams as ports

COMPLETIONS_PATH = "/v1/chat/completions"
MAX_ATTEMPTS = 4
AVOID_SECONDS = 2.0
CANCEL_TIMEOUT_SECONDS = 1.0
RETRYABLE_STATUSES = (429, 502, 503, 504)
ABANDON_CHECK_INTERVAL_SECONDS = 1.0


class AdmittedChat(typing.NamedTuple):
    """A chat request that was admitted within its account's limits.

    Attributes:
        request_id: id of the request.
        response_id: id of the answer.
        account: name of the client account.
        row: the account's row of client_accounts.
        service: name of the service that serves the model.
        chat: the requests.ChatRequest.
    """

    request_id: str
    response_id: str
    account: str
    row: dict
    service: str
    chat: typing.Any


class ChatRunner:
    """Runs chat requests on engines, retrying after failed attempts."""

    def __init__(self, components):
        """Create a runner.

        Args:
            components: the instance's components, of which these are used:
                configuration, crash_reporter, directory, dispatcher,
                evidence, meter, permit_manager, recorder, retries, settings,
                token_latency_monitor and upstreams.
        """
        self._components = components

    # --- streamed answers ------------------------------------------------

    async def run_stream(self, admitted, stream):
        """Write the answer to a ResponseStream; return the tokens used.

        The stream is always finished, either complete or with a
        RequestFailure.

        Args:
            admitted: the request to run.
            stream: the ResponseStream to write to.
        """
        progress = answers.Progress()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._cancel_when_abandoned, stream, nursery
                )
                await self._run_attempts(admitted, stream, progress)
                nursery.cancel_scope.cancel()
        finally:
            stream.finish(
                _make_failure(progress, "stopped", "request cancelled")
            )
        return progress.usage_tokens or progress.tokens

    async def _cancel_when_abandoned(self, stream, nursery):
        """Cancel the run when no client has read it for detached_seconds."""
        limit = self._components.settings.limits.detached_seconds
        while stream.measure_detached_seconds() <= limit:
            await trio.sleep(min(ABANDON_CHECK_INTERVAL_SECONDS, limit / 2))
        self._components.recorder.record(
            "chat.abandoned", request=stream.response_id
        )
        nursery.cancel_scope.cancel()

    async def _run_attempts(self, admitted, stream, progress):
        while not stream.finished:
            reservation, failure = await self._reserve(admitted, progress)
            if failure is not None:
                stream.finish(failure)
                return
            completed = False
            try:
                completed = await self._run_attempt(
                    admitted, stream, progress, reservation
                )
            except ports.AttemptError as error:
                await self._handle_attempt_failure(
                    admitted, reservation, progress, error
                )
            finally:
                await self._components.dispatcher.release(
                    reservation, completed
                )
            if completed:
                self._record_success(admitted, reservation)
                stream.finish()
            elif not stream.finished:
                failure = self._find_final_failure(
                    admitted, progress, reservation
                )
                if failure is not None:
                    stream.finish(failure)

    def _record_success(self, admitted, reservation):
        self._components.meter.count_attempt("whole")
        self._components.meter.count_request(admitted.service)
        self._components.evidence.record_success(admitted.chat.traits)
        self._components.recorder.record(
            "chat.finished",
            request=admitted.request_id,
            peer=reservation.record.name,
        )

    def _find_final_failure(self, admitted, progress, reservation):
        """Return a RequestFailure if no further attempt may be made."""
        service = admitted.service
        if progress.is_too_large:
            return _make_failure(
                progress, "answer_too_large", progress.last_failure
            )
        if progress.attempts >= MAX_ATTEMPTS:
            return _make_failure(
                progress, "upstream_failed", progress.last_failure
            )
        if progress.tokens and not self._can_continue(admitted, progress):
            return _make_failure(
                progress, "stream_broken", progress.last_failure
            )
        if progress.attempts > 1 and not self._components.retries.spend(
            service
        ):
            return _make_failure(
                progress, "retry_budget", progress.last_failure
            )
        return None

    def _can_continue(self, admitted, progress):
        """Tell whether a live engine can continue a partial answer.

        What two software versions write doesn't fit together.
        """
        if not admitted.chat.can_continue():
            return False
        return any(
            admitted.chat.model in record.models
            and "continue" in record.features
            and progress.version in (None, record.version)
            for record in self._components.directory.list_live()
        )

    async def _reserve(self, admitted, progress):
        """Return (reservation, None) or (None, RequestFailure)."""
        requirements = dispatchers.Requirements(
            admitted.request_id,
            admitted.account,
            admitted.row["weight"],
            admitted.row["priority"],
            admitted.service,
            admitted.chat.model,
            admitted.chat.chat_key,
            admitted.chat.traits,
            frozenset(progress.excluded),
            progress.version,
        )
        result = await self._components.dispatcher.reserve(requirements)
        if result.is_error() and progress.excluded:
            # All other engines are gone or at capacity, and one that
            # failed earlier may have recovered.
            requirements = requirements._replace(excluded=frozenset())
            result = await self._components.dispatcher.reserve(requirements)
        if result.is_error():
            return None, dispatchers.describe_reservation_failure(
                result.error, progress.sent
            )
        reservation = result.ok
        progress.attempts += 1
        self._components.recorder.record(
            "chat.placed",
            request=admitted.request_id,
            peer=reservation.record.name,
            detail=f"attempt {progress.attempts}",
        )
        return reservation, None

    async def _run_attempt(self, admitted, stream, progress, reservation):
        """Stream from one engine; return whether the answer is complete.

        If the connection breaks and the engine supports `resume`, the
        stream is resumed once on the same engine.
        """
        stream_id = _make_stream_id(admitted, progress)
        reader = answers.EngineStreamReader(
            stream,
            progress,
            reservation.record.name,
            stream_id,
            wants_usage=admitted.chat.wants_usage,
            version=reservation.record.version,
        )
        call = self._make_call(admitted, progress, stream_id)
        resumed = False
        try:
            while True:
                try:
                    await self._read_stream(reservation.record, call, reader)
                    self._record_latency(reservation.record, reader)
                    return reader.is_done
                except ports.AttemptError as error:
                    can_resume = "resume" in reservation.record.features
                    if not (error.connection_broken and can_resume) or resumed:
                        raise
                    resumed = True
                    call = self._make_resume_call(admitted, reader, stream_id)
        except BaseException:
            if progress.sent:
                await self._cancel_on_engine(reservation.record, stream_id)
            raise

    def _record_latency(self, record, reader):
        """Mark a warm engine as cold if its token latency has risen.

        Engines known to be cold are not judged, as they are slow anyway.
        """
        if self._components.permit_manager.is_cold(record):
            return
        seconds = reader.last_token_at - reader.first_token_at
        if self._components.token_latency_monitor.record_stream(
            record, reader.tokens, seconds
        ):
            self._components.directory.mark_cold(record)

    async def _read_stream(self, record, call, reader):
        progress = reader.progress
        try:
            async with self._components.upstreams.stream(
                record, call
            ) as opened:
                status, body, events = opened
                progress.sent = True
                if status != 200:
                    raise _make_status_error(record, status, body)
                async for event in events:
                    reader.process(event)
                    if reader.is_done:
                        return
        except ports.AttemptError as error:
            progress.sent = progress.sent or error.sent
            raise
        raise ports.AttemptError(
            "the engine closed the stream before its end marker",
            step="read",
            peer=record.name,
            sent=True,
            connection_broken=True,
        )

    def _make_call(self, admitted, progress, stream_id):
        fields = dict(admitted.chat.fields)
        fields["stream"] = True
        fields["stream_options"] = {"include_usage": True}
        if progress.text:
            _add_partial_answer(fields, progress)
        row = self._components.configuration.get_or_default(
            "services", admitted.service
        )
        headers = _make_headers(admitted, stream_id)
        idle_timeout = row["first_token_seconds"]
        body = msgspec.json.encode(fields)
        return ports.Call(
            "POST", COMPLETIONS_PATH, headers, body, idle_timeout
        )

    def _make_resume_call(self, admitted, reader, stream_id):
        row = self._components.configuration.get_or_default(
            "services", admitted.service
        )
        path = f"/v1/streams/{stream_id}?after={reader.sequence}"
        idle_timeout = row["first_token_seconds"]
        return ports.Call("GET", path, [], b"", idle_timeout)

    async def _cancel_on_engine(self, record, stream_id):
        """Cancel a stream on an engine; its output is no longer needed."""
        call = ports.Call(
            "DELETE",
            f"/v1/streams/{stream_id}",
            [],
            b"",
            CANCEL_TIMEOUT_SECONDS,
        )
        with (
            trio.CancelScope(shield=True),
            trio.move_on_after(CANCEL_TIMEOUT_SECONDS),
        ):
            try:
                await self._components.upstreams.fetch(record, call)
            except ports.AttemptError:
                return

    # --- failures --------------------------------------------------------

    async def _handle_attempt_failure(
        self, admitted, reservation, progress, error
    ):
        record = reservation.record
        self._components.meter.count_attempt("failed")
        progress.last_failure = error.format()
        progress.excluded.add(record.name)
        logs.log(
            "warning",
            error.message,
            request=admitted.request_id,
            step=error.step,
            peer=record.name,
        )
        self._components.recorder.record(
            "chat.attempt_failed",
            request=admitted.request_id,
            peer=record.name,
            detail=error.message,
        )
        if not error.sent or error.connection_broken:
            self._components.dispatcher.avoid(record.name, AVOID_SECONDS)
        if error.connection_broken:
            await self._components.crash_reporter.report(
                record,
                admitted.chat.traits,
                trio.current_time() - reservation.reserved_at,
            )

    # --- answers that are not streamed -----------------------------------

    async def run_unstreamed(self, admitted):
        """Run a request without streaming; return (answer, failure, tokens).

        Either the ports.Answer or the RequestFailure is None. The tokens
        are the total of prompt and completion, and 0 on failure.
        """
        progress = answers.Progress()
        while True:
            reservation, failure = await self._reserve(admitted, progress)
            if failure is not None:
                return None, failure, 0
            answer = None
            try:
                answer = await self._fetch_answer(
                    admitted, progress, reservation
                )
            except ports.AttemptError as error:
                await self._handle_attempt_failure(
                    admitted, reservation, progress, error
                )
            finally:
                done = answer is not None
                await self._components.dispatcher.release(reservation, done)
            if answer is not None:
                self._record_success(admitted, reservation)
                return _set_response_id(
                    answer, admitted.response_id, reservation
                )
            failure = self._find_final_failure(admitted, progress, reservation)
            if failure is not None:
                return None, failure, 0

    async def _fetch_answer(self, admitted, progress, reservation):
        stream_id = _make_stream_id(admitted, progress)
        row = self._components.configuration.get_or_default(
            "services", admitted.service
        )
        headers = _make_headers(admitted, stream_id)
        call = ports.Call(
            "POST",
            COMPLETIONS_PATH,
            headers,
            msgspec.json.encode(admitted.chat.fields),
            row["attempt_seconds"],
        )
        finished = False
        try:
            answer = await self._components.upstreams.fetch(
                reservation.record, call
            )
            finished = True
        except ports.AttemptError as error:
            progress.sent = progress.sent or error.sent
            raise
        finally:
            if not finished:
                await self._cancel_on_engine(reservation.record, stream_id)
        progress.sent = True
        if answer.status in RETRYABLE_STATUSES or answer.status >= 500:
            raise _make_status_error(
                reservation.record, answer.status, answer.body
            )
        answers.check_completion(answer, reservation.record.name)
        return answer


def _make_headers(admitted, stream_id):
    return [
        ("content-type", "application/json"),
        ("x-request-id", stream_id),
        ("x-priority", str(admitted.row["priority"])),
    ]


def _make_stream_id(admitted, progress):
    return streams.make_engine_stream_id(
        admitted.request_id, progress.attempts, admitted.row["key_hash"]
    )


def _add_partial_answer(fields, progress):
    """Make the engine continue the text that was already received."""
    partial = {"role": "assistant", "content": progress.text}
    fields["messages"] = [*fields["messages"], partial]
    fields["continue_final_message"] = True
    fields["add_generation_prompt"] = False
    for name in ("max_tokens", "max_completion_tokens"):
        if fields.get(name):
            fields[name] = max(1, fields[name] - progress.tokens)


def _make_status_error(record, status, body):
    text = body[:200].decode("utf-8", "replace")
    return ports.AttemptError(
        f"the engine answered HTTP {status}: {text}",
        step="answer",
        peer=record.name,
        sent=True,
    )


def _make_failure(progress, code, message):
    disposition = "maybe-run" if progress.sent else "not-run"
    return wire.RequestFailure(502, code, message, disposition, 1.0)


def _set_response_id(answer, response_id, reservation):
    """Return (answer, None, tokens) with the id that the client knows.

    A body that cannot be parsed is left unchanged and counts 0 tokens.
    """
    tokens = 0
    body = answer.body
    try:
        fields = jsontext.decode(body)
        fields["id"] = response_id
        tokens = (fields.get("usage") or {}).get("total_tokens", 0)
        body = msgspec.json.encode(fields)
    except (jsontext.DecodeError, TypeError, AttributeError):
        pass
    return answer._replace(body=body), None, tokens


def make_request_id():
    """Return a unique request id that contains the Unix time."""
    return f"req-{int(time.time()):x}-{uuid.uuid4().hex[:16]}"
