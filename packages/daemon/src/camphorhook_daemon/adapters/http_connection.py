"""HTTP/1.1 on a client's connection, with bounds on what it holds."""

import h11
import trio

from camphorhook_common import clock
from camphorhook_daemon.adapters import connection as connections
from camphorhook_daemon.adapters import exchanges
from camphorhook_daemon.domain import connection_memory

LINGER_TIMEOUT_SECONDS = 0.5  # for a client to read a last answer
# Read and discarded meanwhile: a client of a body that is a little too large
# sends all of it before it reads. The process keeps none of it.
LINGER_BYTES = 8 * 1024 * 1024
READ_AHEAD_BYTES = 4096  # of a next request, while one is served
LEFT_POLL_SECONDS = 0.1  # to notice that a client left behind unread bytes
# h11 takes about 6 us a chunk. A body of 4 MB in chunks of 16 KB has 256.
FREE_CHUNKS = 256
CHUNKS_IN_TURN = 64  # so that others wait for about 0.5 ms
# Objects of a header's name and value, as bytes in h11 and as text: 200
# bytes, and the lists that refer to them.
HEADER_OVERHEAD_BYTES = 256
RETRY_AFTER_SECONDS = "1"  # with 503; bodies of ordinary size end by then


class RequestError(Exception):
    """A client's request is invalid or incomplete.

    Attributes:
        status: HTTP status to answer with; 0 if the client has disconnected.
        message: body of the answer, which says what is wrong.
        kind: what is wrong, as one of a few texts.
    """

    def __init__(self, status, message, kind=None):
        super().__init__(message)
        self.status = status
        self.message = message
        self.kind = kind or message


class HttpConnection:
    """A client's connection and the state of HTTP on it."""

    def __init__(self, tcp_connection, listener):
        self._tcp_connection = tcp_connection
        self._listener = listener
        self.account = None
        self.close_reason = None
        self.is_reading = False
        self.scope = trio.CancelScope()
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

    def order_close(self, reason):
        """Have the connection closed for a connection_memory.Reason."""
        self.close_reason = reason
        self.scope.cancel()

    def charge(self, size):
        """Charge bytes of a request that no handler has seen.

        Raises:
            RequestError: there is no memory for it.
        """
        try:
            self.account.charge(size)
        except connection_memory.Exhausted as error:
            reason = connection_memory.Reason.MEMORY
            raise RequestError(503, reason) from error

    async def send(self, *events):
        data = b"".join(self.http.send(event) for event in events)
        rest = self._tcp_connection.send_now(data)
        if not rest:
            return
        phase = self.account.phase
        size = 0
        try:
            self.account.charge(len(rest))
            size = len(rest)
            self.account.enter(connection_memory.Phase.SENDING)
            await self._tcp_connection.send(
                rest, self._listener.guard.unread_seconds
            )
        except (connection_memory.Exhausted, connections.UnreadError) as error:
            # Ends the handler in the same way as a client that disconnects.
            if self.close_reason is None:
                is_unread = isinstance(error, connections.UnreadError)
                self.order_close(
                    connection_memory.Reason.UNREAD
                    if is_unread
                    else connection_memory.Reason.MEMORY
                )
            await trio.lowlevel.checkpoint()
        finally:
            self.account.free(size)
            self.account.enter(phase)

    async def _receive(self, most=connections.RECEIVE_BYTES):
        data = await self._tcp_connection.receive(most)
        self.http.receive_data(data)
        return data

    async def wait_for_request(self):
        """Wait for the first bytes of a request, or the end of the stream.

        Returns:
            False if none of them came within the idle limit.
        """
        if self.http.trailing_data[0]:
            # A pipelined request, which must not hold up other clients.
            await self._listener.guard.take_turn()
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
        head_bytes = _measure_head(event)
        if head_bytes > limits.header_bytes:
            # h11 limits the size of a head only while it is incomplete.
            raise RequestError(431, "the request's headers are too large")
        if _read_length(event) > limits.body_bytes:
            raise RequestError(413, "the request's body is too large")
        self.charge(head_bytes + len(event.headers) * HEADER_OVERHEAD_BYTES)
        exchange = exchanges.Exchange(self, event)
        exchange.body = await self._read_body(limits)
        return exchange

    async def _read_body(self, limits):
        """Return the request's body, which is charged twice when complete.

        The second copy is the one that is sent to an upstream.
        """
        body = bytearray()
        try:
            with trio.move_on_after(limits.idle_seconds):
                await self._fill_body(body, limits.body_bytes)
                self.charge(len(body))
                return bytes(body)
            raise RequestError(408, "timeout while receiving the body")
        finally:
            # An error's traceback refers to the body.
            body.clear()

    async def _fill_body(self, body, most):
        chunks = 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    await self.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                await self._receive()
            elif isinstance(event, h11.Data):
                if len(body) + len(event.data) > most:
                    raise RequestError(413, "the request's body is too large")
                self.charge(len(event.data))
                self.account.count_chunk()
                body += event.data
                chunks += 1
                if chunks > FREE_CHUNKS and chunks % CHUNKS_IN_TURN == 0:
                    await self._listener.guard.take_turn()
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise RequestError(0, "the client has disconnected")

    async def watch_client(self):
        """Return once the client has closed the connection.

        A few bytes of a next request are buffered; the others stay with the
        client, so that whether it has closed is polled from then on.
        """
        ahead = len(self.http.trailing_data[0])
        try:
            while ahead < READ_AHEAD_BYTES:
                data = await self._receive(READ_AHEAD_BYTES - ahead)
                if not data:
                    return
                ahead += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        while not self.has_ended():
            await trio.sleep(LEFT_POLL_SECONDS)

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

    async def answer_error(self, error, lingers=True):
        """Answer an invalid request; the connection must be closed then.

        Nothing is sent if the client has disconnected or an answer has
        been started.

        Args:
            error: the RequestError.
            lingers: whether to wait for the client to read the answer.
        """
        if not error.status or self.http.our_state is not h11.SEND_RESPONSE:
            if self.http.our_state is not h11.IDLE or not error.status:
                return
        body = error.message.encode()
        headers = [
            ("content-type", "text/plain"),
            ("content-length", str(len(body))),
            ("connection", "close"),
            *self._listener.refusal_headers,
        ]
        if error.status == 503:
            headers.append(("retry-after", RETRY_AFTER_SECONDS))
        head = h11.Response(status_code=error.status, headers=headers)
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self.http.send(event) for event in events)
        if self._tcp_connection.send_now(data) or not lingers:
            # A client for whose answer there is no room does not read.
            return
        # Closing a socket with unread bytes resets the connection, which
        # may discard the answer before the client has read it.
        left = LINGER_BYTES
        with trio.move_on_after(LINGER_TIMEOUT_SECONDS) as self.scope:
            await self._tcp_connection.send_eof()
            while left > 0:
                data = await self._tcp_connection.receive()
                if not data:
                    return
                left -= len(data)


def _read_length(event):
    """Return the length that a request's head announces, or 0."""
    for name, value in event.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _measure_head(event):
    """Return the size of a request's head in bytes, with line ends."""
    size = len(event.method) + len(event.target) + len(b"  HTTP/1.1\r\n\r\n")
    return size + sum(
        len(name) + len(value) + len(b": \r\n")
        for name, value in event.headers
    )
