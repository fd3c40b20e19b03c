"""An HTTP/1.1 server on h11 and trio, with one task per connection.

hypercorn does not report when a client disconnects, gives no control over
when kept-alive connections are closed, and has no exact limits on the size
of request heads and on idle time. h11 allows all of these.
"""

import socket as sockets
import typing

import h11
import trio

from camphorhook_common import clock
from camphorhook_common import logs
from camphorhook_daemon.adapters import connection as connections
from camphorhook_daemon.adapters import header_codec

BACKLOG = 512
DRAIN_POLL_SECONDS = 0.05  # the most by which it delays a graceful shutdown
LINGER_TIMEOUT_SECONDS = 0.5  # for a client to read a last answer
USER_TIMEOUT_MS = 10000  # for sent bytes to be acknowledged
ACCEPT_RETRY_SECONDS = 0.05  # for a file descriptor to become free


class Limits(typing.NamedTuple):
    """Limits on clients' requests, in bytes and seconds.

    Attributes:
        header_bytes: maximum size of a request's head.
        body_bytes: maximum size of a request's body.
        header_seconds: maximum time from a head's first byte to its last.
        idle_seconds: maximum time that a connection waits for a request, and
            that a body may take.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 30.0


class RequestError(Exception):
    """A client's request is invalid or incomplete.

    Attributes:
        status: HTTP status to answer with; 0 if the client has disconnected.
        message: body of the answer, which says what is wrong.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
        self.message = message


class Exchange:
    """One request of a client and its answer.

    Attributes:
        method: HTTP method.
        target: path and query string as sent.
        headers: (name, value) pairs; names are in lower case.
        body: the complete body.
        received_at: when the request's head was complete, in seconds on
            trio's clock.
        has_started: whether the answer's head was sent.
        has_ended: whether the complete answer was sent.
    """

    def __init__(self, connection, event):
        self._connection = connection
        self.method = event.method.decode("ascii")
        self.target = event.target.decode("latin-1")
        self.headers = header_codec.decode_headers(event.headers)
        self.body = b""
        self.received_at = trio.current_time()
        self.has_started = False
        self.has_ended = False

    def measure_age(self):
        """Return the seconds since the request's connection was accepted.

        They count while the machine is suspended.
        """
        return clock.read_boottime() - self._connection.accepted_at

    def has_client_left(self):
        """Return whether the client has closed the connection by now."""
        return self._connection.has_ended()

    def get_header(self, name, default=""):
        """Return the first value of a request header.

        Args:
            name: name of the header, in lower case.
            default: what is returned if the header is missing.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def close_after_answer(self):
        """Have the connection closed after the answer to this request."""
        self._connection.closes_after_answer = True

    async def start(self, status, headers, length=None):
        """Send the answer's head.

        Args:
            status: HTTP status.
            headers: (name, value) pairs, without content-length,
                transfer-encoding and connection.
            length: size of the body in bytes; None if it is not known.
        """
        await self._connection.send(self._make_head(status, headers, length))

    def _make_head(self, status, headers, length):
        all_headers = list(headers)
        if length is not None:
            all_headers.append(("content-length", str(length)))
        if self._connection.is_closing():
            all_headers.append(("connection", "close"))
        self.has_started = True
        return h11.Response(
            status_code=status,
            headers=header_codec.encode_headers(all_headers),
        )

    async def send_chunk(self, data):
        """Send the next part of the answer's body."""
        await self._connection.send(h11.Data(data=data))

    async def finish(self):
        """Mark the end of the answer's body."""
        await self._connection.send(h11.EndOfMessage())
        self.has_ended = True

    async def send_answer(self, status, headers, body):
        """Send a complete answer in one write.

        Args:
            status: HTTP status.
            headers: (name, value) pairs, without content-length,
                transfer-encoding and connection.
            body: the complete body.
        """
        await self._connection.send(
            self._make_head(status, headers, len(body)),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        self.has_ended = True


class _HttpConnection:
    """A client's connection and the state of HTTP on it."""

    def __init__(self, tcp_connection, listener):
        self._tcp_connection = tcp_connection
        self._listener = listener
        self.closes_after_answer = False
        self._event = None
        self.accepted_at = clock.read_boottime()
        limits = listener.read_limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )

    def is_closing(self):
        return self.closes_after_answer or self._listener.is_stopping()

    def has_ended(self):
        return self._tcp_connection.has_ended()

    async def send(self, *events):
        data = b"".join(self.http.send(event) for event in events)
        await self._tcp_connection.send(data)

    async def _receive(self):
        data = await self._tcp_connection.receive()
        self.http.receive_data(data)
        return data

    async def wait_for_request(self):
        """Wait for the first bytes of a request, or the end of the stream.

        Returns:
            False if none of them came within the idle limit.
        """
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            limits = self._listener.read_limits()
            with trio.move_on_after(limits.idle_seconds) as idle_scope:
                await self._receive()
            if idle_scope.cancelled_caught:
                return False
            event = self.http.next_event()
        self._event = event
        return True

    async def read_exchange(self):
        """Read the request whose first bytes were received.

        Returns:
            The Exchange; None if the client has closed the connection.

        Raises:
            RequestError: the request exceeds a limit or is cut off.
            h11.RemoteProtocolError: the request is not valid HTTP.
        """
        limits = self._listener.read_limits()
        event = self._event
        with trio.move_on_after(limits.header_seconds) as head_scope:
            while event is h11.NEED_DATA:
                await self._receive()
                event = self.http.next_event()
        if head_scope.cancelled_caught:
            raise RequestError(408, "timeout while receiving the headers")
        if not isinstance(event, h11.Request):
            return None
        if _measure_head(event) > limits.header_bytes:
            # h11 limits the size of a head only while it is incomplete.
            raise RequestError(431, "the request's headers are too large")
        exchange = Exchange(self, event)
        exchange.body = await self._read_body(limits)
        return exchange

    async def _read_body(self, limits):
        chunks = []
        size = 0
        with trio.move_on_after(limits.idle_seconds):
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        await self.send(
                            h11.InformationalResponse(
                                status_code=100, headers=[]
                            )
                        )
                    await self._receive()
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > limits.body_bytes:
                        raise RequestError(
                            413, "the request's body is too large"
                        )
                    chunks.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return b"".join(chunks)
                else:
                    raise RequestError(0, "the client has disconnected")
        raise RequestError(408, "timeout while receiving the body")

    async def watch_client(self):
        """Return once the client has closed the connection.

        Bytes of a next request are buffered.
        """
        try:
            while await self._receive():
                continue
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def close(self):
        """Close the connection.

        A client before HTTP/1.1 has no chunks: it takes the end of the
        connection for the end of the answer, so an unfinished one is reset.
        """
        version = self.http.their_http_version
        is_unfinished = self.http.our_state is h11.SEND_BODY
        if is_unfinished and version is not None and version < b"1.1":
            self._tcp_connection.reset()
        else:
            self._tcp_connection.close()

    async def answer_error(self, error):
        """Answer an invalid request; the connection must be closed then.

        Nothing is sent if the client has disconnected or an answer has
        been started.
        """
        if not error.status or self.http.our_state is not h11.SEND_RESPONSE:
            if self.http.our_state is not h11.IDLE or not error.status:
                return
        body = error.message.encode()
        await self.send(
            h11.Response(
                status_code=error.status,
                headers=[
                    ("content-type", "text/plain"),
                    ("content-length", str(len(body))),
                    ("connection", "close"),
                ],
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        # Closing a socket with unread bytes resets the connection, which
        # may discard the answer before the client has read it.
        with trio.move_on_after(LINGER_TIMEOUT_SECONDS):
            await self._tcp_connection.send_eof()
            while await self._tcp_connection.receive():
                continue


def _measure_head(event):
    """Return the size of a request's head in bytes, with line ends."""
    size = len(event.method) + len(event.target) + len(b"  HTTP/1.1\r\n\r\n")
    return size + sum(
        len(name) + len(value) + len(b": \r\n")
        for name, value in event.headers
    )


class Listener:
    """Accepts connections and passes each request to a handler.

    Attributes:
        read_limits: function that returns the Limits in force.
        is_stopping: function that returns whether a shutdown has begun.
        active: number of requests that are being read or answered.
    """

    def __init__(self, address, handle, read_limits, is_stopping):
        """Create a listener; its port is opened by `run`.

        Args:
            address: settings.Endpoint to bind.
            handle: async function of an Exchange; it is cancelled when the
                client disconnects.
            read_limits: function that returns the Limits in force.
            is_stopping: function that returns whether a shutdown has begun;
                from then on, connections are closed after their answer.
        """
        self._address = address
        self._handle = handle
        self.read_limits = read_limits
        self.is_stopping = is_stopping
        self.active = 0
        self._accept_scope = None
        self._is_closed = False
        self._idle_scopes = set()

    def close(self):
        """Stop accepting connections and close those without a request."""
        self._is_closed = True
        if self._accept_scope is not None:
            self._accept_scope.cancel()
        for scope in self._idle_scopes:
            scope.cancel()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; `task_status` is started on a bound port."""
        socket = sockets.socket()
        socket.setblocking(False)
        socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_REUSEADDR, 1)
        socket.bind((self._address.address, self._address.port))
        socket.listen(BACKLOG)
        task_status.started()
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as self._accept_scope:
                await self._accept(socket, nursery)
            trio.lowlevel.notify_closing(socket)
            socket.close()

    async def _accept(self, socket, nursery):
        while True:
            await trio.lowlevel.wait_readable(socket)
            try:
                accepted, _ = socket.accept()
                accepted.setblocking(False)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                logs.log(
                    "warning",
                    f"connection not accepted: {error}",
                    step="accept",
                )
                await trio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            nursery.start_soon(self._serve, accepted)

    async def _serve(self, accepted):
        try:
            accepted.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
            tcp_connection = connections.Connection(accepted, USER_TIMEOUT_MS)
        except OSError:
            # The client has already disconnected.
            accepted.close()
            return
        connection = _HttpConnection(tcp_connection, self)
        try:
            await self._serve_requests(connection)
        except h11.RemoteProtocolError as error:
            await _try_answer_error(
                connection, RequestError(error.error_status_hint, str(error))
            )
        except RequestError as error:
            await _try_answer_error(connection, error)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except Exception as error:
            logs.log(
                "error",
                f"unexpected error on a client's connection: {error!r}",
                with_trace=True,
                step="serve",
            )
        finally:
            connection.close()

    async def _serve_requests(self, connection):
        while await self._wait_for_request(connection):
            # Counted from its first byte, so that a graceful shutdown waits
            # for a request that is still being received.
            self.active += 1
            try:
                exchange = await connection.read_exchange()
                if exchange is None:
                    return
                await self._serve_exchange(connection, exchange)
            finally:
                self.active -= 1
            http = connection.http
            if not exchange.has_ended or self.is_stopping():
                return
            if http.our_state is not h11.DONE:
                return
            if http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _wait_for_request(self, connection):
        """Wait for the first bytes of a request, or the end of the stream.

        Returns:
            False if none of them came in time, or the listener is closed.
        """
        has_begun = False
        if self._is_closed:
            return False
        with trio.CancelScope() as idle_scope:
            self._idle_scopes.add(idle_scope)
            try:
                has_begun = await connection.wait_for_request()
            finally:
                self._idle_scopes.discard(idle_scope)
        return has_begun

    async def _serve_exchange(self, connection, exchange):
        """Handle a request; cancel that if its client disconnects."""
        async with trio.open_nursery() as nursery:

            async def watch():
                await connection.watch_client()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await self._handle(exchange)
            nursery.cancel_scope.cancel()


async def drain(all_listeners):
    """Close listeners and wait until all their requests are answered.

    These include requests whose first bytes have arrived by then.

    Args:
        all_listeners: the running Listeners.
    """
    for listener in all_listeners:
        listener.close()
    while True:
        # Sleeps first, as a task that received bytes may not have run yet.
        await trio.sleep(DRAIN_POLL_SECONDS)
        if not any(listener.active for listener in all_listeners):
            return


async def _try_answer_error(connection, error):
    """Answer a RequestError, unless the client has disconnected."""
    try:
        await connection.answer_error(error)
    except (
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        h11.LocalProtocolError,
    ):
        return
