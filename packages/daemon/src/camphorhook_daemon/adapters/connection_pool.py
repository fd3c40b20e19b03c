"""A pool of kept-alive HTTP/1.1 connections to upstreams, on h11 and trio.

httpcore does not report bytes after an answer, an answer that arrives before
the request was sent completely, or whether a kept-alive connection was closed
before it is reused. h11 allows all of these to be detected.
"""

import contextlib
import socket as sockets
import typing

import h11
import trio

from camphorhook_common import answer_heads
from camphorhook_common import numerals
from camphorhook_daemon.adapters import connection
from camphorhook_daemon.adapters import header_codec
from camphorhook_daemon.ports import upstreams as ports

CONNECT_TIMEOUT_SECONDS = 0.5  # many times the round trip within a region
USER_TIMEOUT_MS = 4000  # for sent bytes to be acknowledged
KEEPALIVE_SECONDS = 4.0  # if the upstream sends no Keep-Alive timeout
KEEPALIVE_MARGIN_SECONDS = 0.5  # not reused this close to the timeout
MAX_IDLE_CONNECTIONS = 24  # per upstream
MAX_HEAD_BYTES = 65536
MAX_SKIPPED_BYTES = 256 * 1024  # of an answer to another request
EVENT_STREAM = "text/event-stream"


class Head(typing.NamedTuple):
    """Status and headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        headers: (name, value) pairs; names are in lower case.
    """

    status: int
    headers: list[tuple[str, str]]

    def get(self, name, default=""):
        """Return the first value of a header.

        Args:
            name: name of the header, in lower case.
            default: what is returned if the header is missing.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def is_event_stream(self):
        """Return whether the status is 200 and no other media type given."""
        media_type = self.get("content-type").partition(";")[0].strip()
        is_other = media_type and media_type.lower() != EVENT_STREAM
        return self.status == 200 and not is_other

    def get_length(self):
        """Return the body's length in bytes; None if there is none."""
        if self.describe_framing() != "length":
            return None
        return numerals.parse_unsigned(self.get("content-length"))

    def describe_framing(self):
        """Return what marks the body's end: chunks, length or close."""
        if self.get("transfer-encoding"):
            return "chunks"
        return "length" if self.get("content-length") else "close"


class _PooledConnection:
    """A connection to an upstream and the state of HTTP on it."""

    def __init__(self, upstream, raw):
        self.upstream = upstream
        self.connection = connection.Connection(raw, USER_TIMEOUT_MS)
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.expires_at = float("inf")
        self.is_first_use = True


class ConnectionPool:
    """Sends requests to upstreams on kept-alive connections.

    A call without a request id gets a new connection, since its answer could
    not be told from a late one to an earlier request.

    Attributes:
        opened: number of connections opened so far.
        heard_at: time in seconds by upstream at which bytes last arrived.
    """

    def __init__(self, requires_id=True):
        """Create a pool without connections.

        Args:
            requires_id: whether an answer on a reused connection belongs to
                the request only if it repeats the request's id; otherwise
                one without any id does too.
        """
        self._requires_id = requires_id
        self._idle = {}
        self._open = {}
        self.opened = 0
        self.heard_at = {}

    def count_open(self, upstream):
        """Return the number of connections to an upstream, with idle ones."""
        return self._open.get(upstream, 0)

    def close_idle_to(self, upstream):
        """Close all idle connections to an upstream."""
        for pooled in self._idle.pop(upstream, []):
            self._close(pooled)

    def close_idle(self):
        """Close all idle connections."""
        for upstream in list(self._idle):
            self.close_idle_to(upstream)

    def retain(self, upstreams):
        """Forget when all other upstreams were heard."""
        for name in [one for one in self.heard_at if one not in upstreams]:
            del self.heard_at[name]

    def close_expired(self):
        """Close idle connections that have expired or are not reusable."""
        now = trio.current_time()
        for upstream, idle in list(self._idle.items()):
            kept = []
            for pooled in idle:
                if pooled.expires_at > now and pooled.connection.is_idle():
                    kept.append(pooled)
                else:
                    self._close(pooled)
            self._idle[upstream] = kept
            if not kept:
                del self._idle[upstream]

    def _close(self, pooled):
        pooled.connection.close()
        remaining = self._open.get(pooled.upstream, 1) - 1
        if remaining > 0:
            self._open[pooled.upstream] = remaining
        else:
            self._open.pop(pooled.upstream, None)

    async def _acquire(self, target):
        """Return an idle connection that is reusable, or a new one.

        Raises:
            ports.AttemptError: a new connection failed.
        """
        idle = self._idle.get(target.name, [])
        while idle:
            pooled = idle.pop()
            if pooled.expires_at > trio.current_time():
                if pooled.connection.is_idle():
                    return pooled
            self._close(pooled)
        return await self._connect(target)

    async def _connect(self, target):
        raw = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        raw.setblocking(False)
        socket = trio.socket.from_stdlib_socket(raw)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                await socket.connect((target.address, target.port))
        except BaseException as error:
            socket.close()
            if isinstance(error, (OSError, trio.TooSlowError)):
                raise ports.AttemptError(
                    f"connection failed: {error!r}",
                    step="connect",
                    peer=target.name,
                    sent=False,
                    is_first_use=True,
                ) from error
            raise
        self.opened += 1
        self._open[target.name] = self._open.get(target.name, 0) + 1
        return _PooledConnection(target.name, raw)

    @contextlib.asynccontextmanager
    async def open(self, target, call):
        """Send a request and open its answer.

        The connection is kept alive if the answer was read to its end and
        no bytes follow it; otherwise it is closed.

        Args:
            target: the upstream's record, with name, address and port.
            call: the ports.Call.

        Returns:
            An async context manager that yields an AnswerReader.

        Raises:
            ports.AttemptError: no answer was received; `sent` says whether
                any byte of the request may have been sent.
            ports.RequestUnsendable: the call can't be written as HTTP.
            ports.SendWithheld: the call's `find_obstacle` named a reason
                not to send it.
        """
        request = make_request(call, target)
        if call.uses_new_connection or not call.request_id:
            pooled = await self._connect(target)
        else:
            pooled = await self._acquire(target)
        obstacle = call.find_obstacle()
        if obstacle:
            self._close(pooled)
            raise ports.SendWithheld(
                obstacle, step="send request", peer=target.name
            )
        answer = AnswerReader(pooled, target, self.heard_at, self._requires_id)
        can_reuse = False
        try:
            await answer.start(request, call)
            yield answer
            can_reuse = answer.is_reusable()
        finally:
            if can_reuse and self._prepare_reuse(pooled, answer.head):
                self._idle.setdefault(pooled.upstream, []).append(pooled)
            else:
                self._close(pooled)

    def _prepare_reuse(self, pooled, head):
        """Prepare a connection for its next request.

        Returns:
            False if the connection must be closed, because the upstream
            asks for it or enough others are idle.
        """
        seconds = KEEPALIVE_SECONDS
        for part in head.get("keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout":
                seconds = numerals.parse_unsigned(value) or KEEPALIVE_SECONDS
        if head.get("connection").lower() == "close":
            return False
        if len(self._idle.get(pooled.upstream, [])) >= MAX_IDLE_CONNECTIONS:
            return False
        seconds -= KEEPALIVE_MARGIN_SECONDS
        if seconds <= 0:
            return False
        pooled.is_first_use = False
        pooled.expires_at = trio.current_time() + seconds
        pooled.http.start_next_cycle()
        return True


class AnswerReader:
    """Reads an upstream's answer.

    Attributes:
        head: the Head; None until it was read.
        upstream: name of the upstream.
        is_first_use: whether no answer came on the connection before.
    """

    def __init__(self, pooled, target, heard_at, requires_id):
        self._heard_at = heard_at
        self.is_first_use = pooled.is_first_use
        # No other answer can arrive before the first one on a connection.
        self._requires_id = requires_id and not pooled.is_first_use
        self.upstream = target.name
        self._pooled = pooled
        self._target = target
        self._request = None
        self._is_request_sent = False
        self._has_ended = False
        self.head = None

    def _make_error(self, text, error, sent=True, connection_broken=True):
        failure = ports.AttemptError(
            text,
            step="read answer" if sent else "send request",
            peer=self._target.name,
            sent=sent,
            connection_broken=connection_broken,
            is_first_use=self.is_first_use,
        )
        failure.__cause__ = error
        return failure

    async def start(self, request, call):
        """Send a request and read the answer's head.

        Args:
            request: the h11.Request of the call.
            call: the ports.Call.

        Raises:
            ports.AttemptError: no head was received in time.
        """
        self._request = request
        http = self._pooled.http
        data = http.send(request)
        if call.body:
            data += http.send(h11.Data(data=call.body))
        data += http.send(h11.EndOfMessage())
        try:
            with trio.fail_after(call.read_timeout_seconds):
                await self._send_and_read_head(data, call.request_id)
        except trio.TooSlowError as error:
            raise self._make_error(
                "no answer in time", error, connection_broken=False
            )
        except BaseExceptionGroup as group:
            raise _find_failure(group) from group

    async def _send_and_read_head(self, data, request_id):
        """Send the request's bytes and read the answer's head.

        If the bytes don't fit the socket's buffer, both happen at once,
        because the upstream may answer before it has read the request.
        """
        try:
            rest = self._pooled.connection.send_now(data)
        except trio.BrokenResourceError:
            # Reading shows why: an early answer, or how the connection ended.
            rest = None
        self._is_request_sent = rest == b""
        if not rest:
            self.head = await self._read_head(request_id)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, rest)
            self.head = await self._read_head(request_id)
            nursery.cancel_scope.cancel()

    async def _send(self, data):
        try:
            await self._pooled.connection.send(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Reading shows why.
            return
        self._is_request_sent = True

    async def _read_head(self, request_id):
        """Return the Head of the answer to this request.

        A late second answer to an earlier request is read and discarded. It
        has another id, or none if the upstream wrote it wrongly.

        Raises:
            ports.AttemptError: the answer's head is not complete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self._make_error(
                    "the connection was closed before the answer", None
                )
            headers = header_codec.decode_headers(event.headers)
            head = Head(event.status_code, headers)
            echoed = head.get("x-request-id")
            if not request_id or echoed == request_id:
                return head
            if not echoed and not self._requires_id:
                return head
            await self._skip_answer()
            self._requires_id = True

    async def _skip_answer(self):
        """Discard an answer to another request; reset the state of HTTP.

        Raises:
            ports.AttemptError: it is incomplete or too large.
        """
        size = 0
        while not isinstance(
            event := await self._next_event(), h11.EndOfMessage
        ):
            size += len(event.data) if isinstance(event, h11.Data) else 0
            if size > MAX_SKIPPED_BYTES:
                raise self._make_error(
                    "an answer to another request exceeds "
                    f"{MAX_SKIPPED_BYTES} bytes",
                    None,
                )
        rest, is_closed = self._pooled.http.trailing_data
        if is_closed:
            raise self._make_error(
                "the connection was closed after an answer to another request",
                None,
            )
        http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The request was already sent. This one is not; it only brings h11
        # into the state in which it expects an answer.
        placeholder = h11.Request(
            method=self._request.method,
            target="/",
            headers=[("host", self._target.address)],
        )
        http.send(placeholder)
        http.send(h11.EndOfMessage())
        if rest:
            http.receive_data(rest)
        self._pooled.http = http

    async def _next_event(self):
        """Return h11's next event of the answer.

        Raises:
            ports.AttemptError: the answer is not valid HTTP, bytes follow
                it, or the connection was reset.
        """
        while True:
            try:
                event = _read_event(self._pooled.http)
            except (h11.RemoteProtocolError, answer_heads.HeadError) as error:
                raise self._make_error(
                    f"answer is not valid HTTP: {error}", error
                )
            if event is h11.PAUSED:
                raise self._make_error(
                    "unexpected bytes after the answer", None
                )
            if event is not h11.NEED_DATA:
                return event
            self._pooled.http.receive_data(await self._receive())

    async def _receive(self):
        """Return the next bytes of the connection; b"" at its end.

        Raises:
            ports.AttemptError: the connection was reset.
        """
        connection = self._pooled.connection
        try:
            data = await connection.receive()
            if not data and self._ends_with_connection():
                await connection.wait_until_acknowledged()
        except trio.BrokenResourceError as error:
            raise self._make_error("the connection was reset", error)
        if data:
            self._heard_at[self.upstream] = trio.current_time()
        return data

    def _ends_with_connection(self):
        """Return whether only the connection's end marks that of the body."""
        head = self.head
        return head is not None and head.describe_framing() == "close"

    async def read_chunk(self):
        """Return the next part of the body; b"" at its end.

        Raises:
            ports.AttemptError: the body is incomplete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._has_ended = True
                return b""
            raise self._make_error(
                "the connection was closed within the answer's body", None
            )

    def is_reusable(self):
        """Return whether the connection can be used for another request."""
        http = self._pooled.http
        if not self._has_ended or not self._is_request_sent:
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        return http.trailing_data == (b"", False)


def make_request(call, target):
    """Return the h11.Request of a ports.Call to an upstream.

    A host header is added if there is none, and a content-length if there
    is a body or the method usually has one.

    Raises:
        ports.RequestUnsendable: the target or a header is not valid in HTTP.
    """
    headers = list(call.headers)
    if not any(name == "host" for name, _ in headers):
        headers.insert(0, ("host", f"{target.address}:{target.port}"))
    if call.body or call.method not in ("GET", "HEAD", "DELETE"):
        headers.append(("content-length", str(len(call.body))))
    try:
        return h11.Request(
            method=call.method,
            target=call.path,
            headers=header_codec.encode_headers(headers),
        )
    except (UnicodeEncodeError, h11.LocalProtocolError) as error:
        raise ports.RequestUnsendable(
            f"the request is not valid HTTP: {error}",
            step="write request",
            peer=target.name,
        ) from error


def _read_event(http):
    """Return the next event of an h11 connection whose heads are checked.

    Raises:
        answer_heads.HeadError: a head is not valid, though h11 takes it.
        h11.RemoteProtocolError: the answer is not valid.
    """
    if http.their_state is not h11.SEND_RESPONSE:
        return http.next_event()
    unread = http.trailing_data[0]
    event = http.next_event()
    if isinstance(event, (h11.InformationalResponse, h11.Response)):
        rest = http.trailing_data[0]
        answer_heads.check_head(unread[: len(unread) - len(rest)])
    return event


def _find_failure(group):
    """Return the first AttemptError of an exception group.

    Raises:
        BaseExceptionGroup: the group, or one in it, has no AttemptError.
    """
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            error = _find_failure(error)
        if isinstance(error, ports.AttemptError):
            return error
    raise group
