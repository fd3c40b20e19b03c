"""The clients' HTTP interface: chats, plain services and operations."""

import msgspec
import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import secrets
from camphorhook_common import wire
from camphorhook_daemon.adapters import http
from camphorhook_daemon.domain import chats
from camphorhook_daemon.domain import requests
from camphorhook_daemon.domain import services
from camphorhook_daemon.domain import streams

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
OPERATIONS_PREFIX = "/v1/operations/"
SERVICES_PREFIX = "/services/"
CHAT_ID_HEADER = "x-chat-id"
MAX_HEADER_BYTES = 32768
STATUS_TIMEOUT_SECONDS = 4.0
MAX_KEY_CHARACTERS = 255
FORWARDED_HEADERS = (
    "accept",
    "accept-language",
    "content-type",
    "traceparent",
)


class CallersApp:
    """ASGI application for clients.

    Liveness and readiness checks are answered first. Any other request is
    refused if the instance can't serve it or its key is unknown. A chat and
    a request to a service are then read completely and admitted within the
    limits of the client account.
    """

    def __init__(self, components):
        """Create the application from the instance's components."""
        self._components = components
        self._accounts = {}
        self._accounts_index = None

    async def __call__(self, scope, receive, send):
        """Answer one request, as ASGI servers call it."""
        request = http.read_request(scope)
        request_id = chats.make_request_id()
        headers = [
            (http.REQUEST_ID_HEADER, request_id),
            (http.INSTANCE_HEADER, self._components.settings.name),
        ]
        self._components.active += 1
        try:
            failure = await self._serve(
                request, request_id, receive, send, headers
            )
            if failure is not None:
                self._components.meter.count_refusal(failure.code)
                await http.send_failure(send, failure, headers)
        except http.BodyError as error:
            if error.failure is not None:
                await http.send_failure(send, error.failure, headers)
        finally:
            self._components.active -= 1

    async def _serve(self, request, request_id, receive, send, headers):
        """Serve a request.

        Returns:
            The wire.RequestFailure to answer with; None if an answer was
            sent.
        """
        if request.path in ("/livez", "/readyz"):
            await self._serve_probe(request, send, headers)
            return None
        failure = self._check_request(request)
        if failure is not None:
            return failure
        account, row = self._find_account(request)
        if account is None:
            return self._make_key_failure()
        if request.path == MODELS_PATH and request.method == "GET":
            await self._serve_models(send, headers)
            return None
        if request.path.startswith(OPERATIONS_PREFIX):
            return await self._serve_operation(request, account, send, headers)
        context = _RequestContext(
            request, request_id, account, row, send, headers
        )
        if request.path == CHAT_PATH:
            return await self._serve_chat(context, receive)
        if request.path.startswith(CHAT_PATH + "/"):
            return await self._serve_resume(context, receive)
        if request.path.startswith(SERVICES_PREFIX):
            return await self._serve_service(context, receive)
        text = f"path not found; chats are at {CHAT_PATH}, services below "
        text += SERVICES_PREFIX
        return wire.RequestFailure(404, "not_found", text, "not-run")

    # --- health checks, keys and limits ----------------------------------

    async def _serve_probe(self, request, send, headers):
        if request.path == "/livez":
            await http.send_json(send, 200, {"status": "alive"}, headers)
            return
        state = self._components.describe_state()
        status = 200 if state in ("ready", "cut_off") else 503
        await http.send_json(send, status, {"status": state}, headers)

    def _check_request(self, request):
        if self._components.is_refusing:
            text = "this instance is shutting down; send the request again"
            return wire.RequestFailure(503, "stopping", text, "not-run", 1.0)
        size = sum(
            len(name) + len(value) for name, value in request.headers.items()
        )
        if size > MAX_HEADER_BYTES:
            text = f"the headers are larger than {MAX_HEADER_BYTES} bytes"
            return wire.RequestFailure(
                431, "headers_too_large", text, "not-run"
            )
        if self._components.configuration.index < 0:
            text = "this instance is starting and has no configuration yet"
            return wire.RequestFailure(503, "starting", text, "not-run", 1.0)
        return None

    def _find_account(self, request):
        """Return the client account of a request's bearer key.

        Returns:
            (name, cells of the account's row), or (None, None) if no enabled
            account has the key.
        """
        configuration = self._components.configuration
        if self._accounts_index != configuration.index:
            self._accounts = {
                cells["key_hash"]: (name, cells)
                for name, (_, cells) in configuration.list_rows(
                    "client_accounts"
                ).items()
                if cells["key_hash"] and cells["enabled"] == "yes"
            }
            self._accounts_index = configuration.index
        scheme, _, key = request.headers.get("authorization", "").partition(
            " "
        )
        if scheme.lower() != "bearer" or not key:
            return None, None
        hashed = secrets.hash_key(key.strip())
        return self._accounts.get(hashed, (None, None))

    def _make_key_failure(self):
        text = "send the key of a client account: Authorization: Bearer KEY"
        return wire.RequestFailure(401, "invalid_api_key", text, "not-run")

    def _admit(self, context):
        refusal = self._components.limits.admit(context.account, context.row)
        if refusal is None:
            return None
        text = (
            f"client account {context.account} has reached its limit "
            f"{refusal.limit}; retry after the time in Retry-After"
        )
        wait = refusal.retry_after
        return wire.RequestFailure(429, "rate_limited", text, "not-run", wait)

    # --- chats -----------------------------------------------------------

    async def _serve_models(self, send, headers):
        names = sorted(
            {
                model
                for record in self._components.directory.list_live()
                for model in record.models
            }
        )
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fleet"}
            for name in names
        ]
        await http.send_json(
            send, 200, {"object": "list", "data": data}, headers
        )

    def _find_service(self, model):
        """Return the first service by name that serves a model.

        Returns:
            The name of the service; empty if none serves the model.
        """
        services_found = {
            record.service
            for record in self._components.directory.list_known()
            if model in record.models
        }
        return min(services_found, default="")

    async def _serve_chat(self, context, receive):
        if context.request.method != "POST":
            return _make_method_failure("POST")
        body = await http.read_body(receive, self._components.settings.limits)
        chat_id = context.request.headers.get(CHAT_ID_HEADER, "")
        result = requests.parse_chat(body, context.account, chat_id)
        if result.is_error():
            return result.error
        chat = result.ok
        service = self._find_service(chat.model)
        if not service:
            text = (
                f"no model {chat.model!r}; GET {MODELS_PATH} lists the models"
            )
            return wire.RequestFailure(404, "model_not_found", text, "not-run")
        failure = self._admit(context)
        if failure is not None:
            return failure
        self._components.retries.count_request(
            service, self._find_retry_ratio(service)
        )
        response_id = streams.make_response_id(self._components.settings.name)
        admitted = chats.AdmittedChat(
            context.request_id,
            response_id,
            context.account,
            context.row,
            service,
            chat,
        )
        self._components.recorder.record(
            "chat.admitted", request=context.request_id, operation=response_id
        )
        if chat.is_stream:
            return await self._stream_chat(context, admitted, receive)
        return await self._answer_chat(context, admitted, receive)

    def _find_retry_ratio(self, service):
        row = self._components.configuration.get_or_default(
            "services", service
        )
        return row["retry_ratio"]

    async def _answer_chat(self, context, admitted, receive):
        """Answer a chat without streaming.

        The run is cancelled if the client disconnects.
        """
        tokens = 0
        outcome = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(http.cancel_on_disconnect, receive, nursery)
                runner = self._components.chat_runner
                outcome = await runner.run_unstreamed(admitted)
                nursery.cancel_scope.cancel()
        finally:
            if outcome is not None:
                tokens = outcome[2]
            self._components.limits.release(context.account, tokens)
        if outcome is None:
            return None
        answer, failure, _ = outcome
        if failure is not None:
            return failure
        headers = [
            *context.headers,
            ("content-type", answer.content_type),
            (http.DISPOSITION_HEADER, "run"),
        ]
        await http.send_answer(
            context.send, answer.status, headers, answer.body
        )
        return None

    async def _stream_chat(self, context, admitted, receive):
        stream = streams.ResponseStream(
            admitted.response_id,
            context.account,
            self._components.streams.memory,
        )
        self._components.streams.add(stream)
        stream.attach()
        self._components.nursery.start_soon(self._run_stream, admitted, stream)
        try:
            return await self._send_stream(context, stream, 0, receive)
        finally:
            stream.detach()

    async def _run_stream(self, admitted, stream):
        tokens = 0
        try:
            tokens = await self._components.chat_runner.run_stream(
                admitted, stream
            )
        except Exception:
            # Only this answer fails; `run_stream` has ended its stream.
            logs.log(
                "error",
                "unexpected error while streaming an answer",
                with_trace=True,
                request=admitted.request_id,
                step="stream",
            )
        finally:
            self._components.limits.release(admitted.account, tokens)

    async def _send_stream(self, context, stream, number, receive):
        """Send a stream's events to the client until the stream ends.

        Args:
            context: the _RequestContext of the request.
            stream: the ResponseStream.
            number: number of the last event that the client has.
            receive: the ASGI receive function.

        Returns:
            The wire.RequestFailure if the stream failed without a further
            event; None if an answer was sent.
        """
        await stream.wait_for_event_after(number)
        if stream.failure is not None and stream.last_number <= number:
            return stream.failure
        headers = [
            *context.headers,
            ("content-type", "text/event-stream; charset=utf-8"),
            ("cache-control", "no-store"),
            (http.RESPONSE_HEADER, stream.response_id),
            (http.DISPOSITION_HEADER, "run"),
        ]
        has_begun = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(http.cancel_on_disconnect, receive, nursery)
            await http.send_head(context.send, 200, headers)
            while True:
                await stream.wait_for_event_after(number)
                events = stream.read_after(number)
                number += len(events)
                if events and not has_begun:
                    has_begun = True
                    elapsed = trio.current_time() - context.started_at
                    self._components.meter.record_first_token(elapsed)
                if events:
                    chunk = b"".join(_encode_event(event) for event in events)
                    await http.send_chunk(context.send, chunk, True)
                if stream.finished and number == stream.last_number:
                    break
            if stream.failure is not None:
                chunk = _encode_error_event(stream.failure)
                await http.send_chunk(context.send, chunk, True)
            await http.send_chunk(context.send, b"", False)
            nursery.cancel_scope.cancel()
        return None

    # --- resuming a stream -----------------------------------------------

    async def _serve_resume(self, context, receive):
        if context.request.method != "GET":
            return _make_method_failure("GET")
        response_id = context.request.path[len(CHAT_PATH) + 1 :]
        last = context.request.headers.get("last-event-id", "")
        try:
            point = streams.parse_resume_point(last) if last else None
        except ValueError:
            text = "Last-Event-ID is not an event id of this answer"
            return wire.RequestFailure(
                400, "invalid_event_id", text, "not-run"
            )
        number = point.number if point else 0
        self._components.recorder.record(
            "chat.resumed", request=context.request_id, operation=response_id
        )
        stream = self._components.streams.get(response_id, context.account)
        if stream is not None:
            stream.attach()
            try:
                return await self._send_stream(
                    context, stream, number, receive
                )
            finally:
                stream.detach()
        stream = streams.ResponseStream(
            response_id,
            context.account,
            self._components.streams.memory,
            number,
        )
        try:
            return await self._send_resumed(
                context, stream, number, receive, point
            )
        finally:
            stream.release()

    async def _send_resumed(self, context, stream, number, receive, point):
        """Fill a stream from its owner or engine while it is sent.

        Args:
            context: the _RequestContext of the request.
            stream: the ResponseStream, without events.
            number: number of the last event that the client has.
            receive: the ASGI receive function.
            point: the streams.ResumePoint; None if the client has no event.

        Returns:
            What `_send_stream` returns.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._components.resumer.fill,
                stream,
                point,
                context.row["key_hash"],
            )
            failure = await self._send_stream(context, stream, number, receive)
            nursery.cancel_scope.cancel()
        return failure

    # --- plain services --------------------------------------------------

    async def _serve_service(self, context, receive):
        rest = context.request.path[len(SERVICES_PREFIX) :]
        service, _, path = rest.partition("/")
        key = context.request.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARACTERS:
            text = f"Idempotency-Key exceeds {MAX_KEY_CHARACTERS} characters"
            return wire.RequestFailure(400, "invalid_request", text, "not-run")
        body = await http.read_body(receive, self._components.settings.limits)
        failure = self._admit(context)
        if failure is not None:
            return failure
        query = f"?{context.request.query}" if context.request.query else ""
        service_request = services.ServiceRequest(
            context.request_id,
            context.account,
            context.row,
            service,
            context.request.method,
            f"/{path}{query}",
            _pick_forwarded_headers(context),
            body,
            key,
        )
        self._components.retries.count_request(
            service, self._find_retry_ratio(service)
        )
        try:
            result = await self._components.service_runner.run(service_request)
        finally:
            self._components.limits.release(context.account, 0)
        if isinstance(result, wire.RequestFailure):
            return result
        await self._send_service_result(context, result)
        return None

    async def _send_service_result(self, context, result):
        headers = [
            *context.headers,
            *(
                pair
                for pair in http.pick_upstream_headers(result.answer.headers)
                if pair[0] != "content-type"
            ),
            ("content-type", result.answer.content_type or "text/plain"),
            (http.DISPOSITION_HEADER, result.disposition),
        ]
        if result.replayed:
            headers.append((http.REPLAYED_HEADER, "true"))
        if result.upstream:
            headers.append((http.UPSTREAM_HEADER, result.upstream))
        status = result.answer.status
        await http.send_answer(
            context.send, status, headers, result.answer.body
        )

    async def _serve_operation(self, request, account, send, headers):
        """Send the outcome of a request that runs at most once."""
        key = request.path[len(OPERATIONS_PREFIX) :]
        try:
            outcome = await self._components.submitter.read_claim(
                account, key, STATUS_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            text = f"the outcome is not available now: {error.message}"
            return wire.RequestFailure(503, "no_quorum", text, "not-run", 2.0)
        dispositions = {
            "none": "not-run",
            "abandoned": "not-run",
            "oversized": "run",
            "replay": "run",
        }
        is_finished = outcome.code in ("oversized", "replay")
        answer = {
            "key": key,
            "state": "finished" if is_finished else outcome.code,
            "disposition": dispositions.get(outcome.code, "maybe-run"),
        }
        if is_finished:
            answer["status"] = outcome.status
        if outcome.code == "replay":
            answer["body"] = outcome.body.decode("utf-8", "replace")
        status = 404 if outcome.code == "none" else 200
        await http.send_json(send, status, answer, headers)
        return None


class _RequestContext:
    """A request, its account and what its answer needs."""

    def __init__(self, request, request_id, account, row, send, headers):
        self.request = request
        self.request_id = request_id
        self.account = account
        self.row = row
        self.send = send
        self.headers = headers
        self.started_at = trio.current_time()


def _encode_event(event):
    return f"id: {event.resume_point}\ndata: {event.data}\n\n".encode()


def _encode_error_event(failure):
    body = msgspec.json.encode(http.encode_failure(failure))
    return b"event: error\ndata: " + body + b"\n\n"


def _make_method_failure(allowed):
    text = f"use the method {allowed} here"
    return wire.RequestFailure(405, "method_not_allowed", text, "not-run")


def _pick_forwarded_headers(context):
    """Return the headers that are forwarded, and the client account."""
    forwarded = [
        (name, context.request.headers[name])
        for name in FORWARDED_HEADERS
        if name in context.request.headers
    ]
    forwarded.append((http.ACCOUNT_HEADER, context.account))
    return forwarded
