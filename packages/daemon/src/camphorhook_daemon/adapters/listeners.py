"""An HTTP/1.1 server by h11 over trio: one task for each connection.

hypercorn hides when a client has left, closes kept connections on its own
terms, and has no exact limits on heads and idle time; h11 has them.
"""

import socket as sockets
import typing

import h11
import trio

from camphorhook_common import logs
from camphorhook_daemon.adapters import connection as connections
from camphorhook_daemon.adapters import heads

BACKLOG = 512
DRAIN_POLL_SECONDS = 0.05  # a graceful stop ends so much later at most
LINGER_SECONDS = 0.5  # longest wait for a client to take a last answer
USER_TIMEOUT_MS = 10000  # unacknowledged bytes for so long: the peer is gone
ACCEPT_PAUSE_SECONDS = 0.05  # wait for a descriptor to become free


class Limits(typing.NamedTuple):
    """Bounds on what a client may send, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 30.0


class RequestError(Exception):
    """The client's request can't be read.

    Attributes:
        status: HTTP status to answer with; 0 when the client has left.
        message: one sentence.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
        self.message = message


class Exchange:
    """One request of a client and its answer.

    Attributes:
        method: HTTP method.
        target: path and query as sent.
        headers: pairs of name, in lower case, and value.
        body: the whole body.
        received_at: seconds, when the head was complete.
        has_started: the answer's head was sent.
        has_ended: the answer was sent to its end.
    """

    def __init__(self, connection, event):
        self._connection = connection
        self.method = event.method.decode("ascii")
        self.target = event.target.decode("latin-1")
        self.headers = heads.decode_headers(event.headers)
        self.body = b""
        self.received_at = trio.current_time()
        self.has_started = False
        self.has_ended = False

    def get_header(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    async def start(self, status, headers, length=None):
        """Send the answer's head.

        Args:
            status: HTTP status.
            headers: pairs of name and value, without framing headers.
            length: bytes of the body; None when it isn't known.
        """
        await self._connection.send(self._make_head(status, headers, length))

    def _make_head(self, status, headers, length):
        framed = list(headers)
        if length is not None:
            framed.append(("content-length", str(length)))
        if self._connection.is_closing():
            framed.append(("connection", "close"))
        self.has_started = True
        return h11.Response(
            status_code=status, headers=heads.encode_headers(framed)
        )

    async def send_piece(self, data):
        """Send a piece of the body."""
        await self._connection.send(h11.Data(data=data))

    async def finish(self):
        """End the answer."""
        await self._connection.send(h11.EndOfMessage())
        self.has_ended = True

    async def send_whole(self, status, headers, body):
        """Send a whole answer in one write."""
        await self._connection.send(
            self._make_head(status, headers, len(body)),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        self.has_ended = True


class _Connection:
    """One client's connection."""

    def __init__(self, connected, listener):
        self._connected = connected
        self._listener = listener
        self._event = None
        limits = listener.read_limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )

    def is_closing(self):
        return self._listener.is_stopping()

    async def send(self, *events):
        data = b"".join(self.http.send(event) for event in events)
        await self._connected.send(data)

    async def _receive(self):
        data = await self._connected.receive()
        self.http.receive_data(data)
        return data

    async def wait_for_request(self):
        """Return whether bytes of a request came before the idle limit."""
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            limits = self._listener.read_limits()
            with trio.move_on_after(limits.idle_seconds) as unused:
                await self._receive()
            if unused.cancelled_caught:
                return False
            event = self.http.next_event()
        self._event = event
        return True

    async def read_exchange(self):
        """Return the Exchange whose first bytes are here.

        Returns:
            None when the connection ends.
        """
        limits = self._listener.read_limits()
        event = self._event
        with trio.move_on_after(limits.header_seconds) as slow:
            while event is h11.NEED_DATA:
                await self._receive()
                event = self.http.next_event()
        if slow.cancelled_caught:
            raise RequestError(408, "the request's head came too slowly")
        if not isinstance(event, h11.Request):
            return None
        if _measure_head(event) > limits.header_bytes:
            # h11 bounds heads only as long as they are incomplete.
            raise RequestError(431, "the request's head is too large")
        exchange = Exchange(self, event)
        exchange.body = await self._read_body(limits)
        return exchange

    async def _read_body(self, limits):
        pieces = []
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
                        raise RequestError(413, "the body is too large")
                    pieces.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return b"".join(pieces)
                else:
                    raise RequestError(0, "the client has left")
        raise RequestError(408, "the body came too slowly")

    async def watch_client(self):
        """Return once the client has closed its side.

        Bytes of a next request are kept for later.
        """
        try:
            while await self._receive():
                continue
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def answer_error(self, error):
        """Answer a request that can't be read; the connection ends."""
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
        # Reads on, since closing with unread bytes resets the connection
        # and takes the answer from the client.
        with trio.move_on_after(LINGER_SECONDS):
            await self._connected.send_eof()
            while await self._connected.receive():
                continue


def _measure_head(event):
    """Return the bytes of a request's head, line ends included."""
    size = len(event.method) + len(event.target) + len(b"  HTTP/1.1\r\n\r\n")
    return size + sum(
        len(name) + len(value) + len(b": \r\n")
        for name, value in event.headers
    )


class Listener:
    """Accepts connections and hands each request to a function."""

    def __init__(self, address, handle, read_limits, is_stopping):
        """Create a listener; `run` opens the port.

        Args:
            address: settings.Endpoint to bind.
            handle: async function of an Exchange; it is cancelled when the
                client leaves.
            read_limits: returns the Limits in force.
            is_stopping: tells whether the process is about to end, so that
                kept connections are closed after their answer.
        """
        self._address = address
        self._handle = handle
        self.read_limits = read_limits
        self.is_stopping = is_stopping
        self.active = 0
        self._accepting = None
        self._is_closed = False
        self._idle = set()

    def close(self):
        """Accept nothing more and close connections without a request."""
        self._is_closed = True
        if self._accepting is not None:
            self._accepting.cancel()
        for scope in self._idle:
            scope.cancel()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        socket = sockets.socket()
        socket.setblocking(False)
        socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_REUSEADDR, 1)
        socket.bind((self._address.address, self._address.port))
        socket.listen(BACKLOG)
        task_status.started()
        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as self._accepting:
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
                logs.log("warning", f"can't accept: {error}", step="accept")
                await trio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            nursery.start_soon(self._serve, accepted)

    async def _serve(self, accepted):
        try:
            accepted.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
            connected = connections.Connection(accepted, USER_TIMEOUT_MS)
        except OSError:
            # The client has left already.
            accepted.close()
            return
        connection = _Connection(connected, self)
        try:
            await self._serve_requests(connection)
        except h11.RemoteProtocolError as error:
            await _answer_quietly(
                connection, RequestError(error.error_status_hint, str(error))
            )
        except RequestError as error:
            await _answer_quietly(connection, error)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except Exception as error:
            logs.log(
                "error",
                f"connection failed unexpectedly: {error!r}",
                with_trace=True,
                step="serve",
            )
        finally:
            connected.close()

    async def _serve_requests(self, connection):
        while await self._wait_for_request(connection):
            # Active from its first byte on, so that a graceful stop waits
            # for a request that is still being read.
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
        """Return whether a request has begun; False once closed."""
        has_begun = False
        if self._is_closed:
            return False
        with trio.CancelScope() as idle:
            self._idle.add(idle)
            try:
                has_begun = await connection.wait_for_request()
            finally:
                self._idle.discard(idle)
        return has_begun

    async def _serve_exchange(self, connection, exchange):
        """Handle a request; cancelled when its client leaves."""
        async with trio.open_nursery() as nursery:

            async def watch():
                await connection.watch_client()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await self._handle(exchange)
            nursery.cancel_scope.cancel()


async def drain(all_listeners):
    """Close listeners and return once no request is left.

    Requests whose bytes were here before the end are answered.

    Args:
        all_listeners: Listeners that run.
    """
    for listener in all_listeners:
        listener.close()
    while True:
        # First, as a task may have been woken by bytes but not run yet.
        await trio.sleep(DRAIN_POLL_SECONDS)
        if not any(listener.active for listener in all_listeners):
            return


async def _answer_quietly(connection, error):
    """Answer an error; a client that has left needs no answer."""
    try:
        await connection.answer_error(error)
    except (
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        h11.LocalProtocolError,
    ):
        return
