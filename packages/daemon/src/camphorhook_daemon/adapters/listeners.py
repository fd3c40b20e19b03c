"""An HTTP/1.1 server on h11 and trio, with one task per connection.

hypercorn does not report when a client disconnects, gives no control over
when kept-alive connections are closed, and has no exact limits on the size
of request heads and on idle time. h11 allows all of these.
"""

import contextlib
import socket as sockets
import typing

import h11
import trio

from camphorhook_common import logs
from camphorhook_daemon.adapters import client_guard
from camphorhook_daemon.adapters import connection as connections
from camphorhook_daemon.adapters import http_connection
from camphorhook_daemon.domain import connection_memory

BACKLOG = 512
DRAIN_POLL_SECONDS = 0.05  # the most by which it delays a graceful shutdown
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


class Listener:
    """Accepts connections and passes each request to a handler.

    Attributes:
        read_limits: function that returns the Limits in force.
        is_stopping: function that returns whether a shutdown has begun.
        active: number of requests that are being read or answered.
        guard: the client_guard.ClientGuard.
        refusal_headers: (name, value) pairs of the listener's own refusals.
    """

    def __init__(
        self,
        address,
        handle,
        read_limits,
        is_stopping,
        guard=None,
        is_internal=False,
        refusal_headers=(),
    ):
        """Create a listener; its port is opened by `run`.

        Args:
            address: settings.Endpoint to bind.
            handle: async function of an Exchange; it is cancelled when the
                client disconnects.
            read_limits: function that returns the Limits in force.
            is_stopping: function that returns whether a shutdown has begun;
                from then on, connections are closed after their answer.
            guard: the client_guard.ClientGuard that all listeners of the
                process share; None for one of its own without bounds.
            is_internal: whether other instances connect to it, whose
                connections are not closed for the sake of others.
            refusal_headers: (name, value) pairs of the listener's own
                refusals.
        """
        self.guard = guard or client_guard.ClientGuard()
        self.refusal_headers = refusal_headers
        self._is_internal = is_internal
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
        connection = http_connection.HttpConnection(tcp_connection, self)
        account = self.guard.memory.open(
            connection.order_close, self._is_internal
        )
        connection.account = account
        if account is None:
            connection.close_reason = connection_memory.Reason.CONNECTIONS
            await self._refuse(
                connection,
                http_connection.RequestError(503, connection.close_reason),
            )
            connection.close()
            return
        try:
            error = await self._find_error(connection)
            if error is not None:
                # The request is not kept while the client reads the answer.
                account.enter(connection_memory.Phase.IDLE)
                error.__cause__ = error.__context__ = None
                await self._refuse(connection, error.with_traceback(None))
        finally:
            connection.close()
            account.close()

    async def _find_error(self, connection):
        """Serve requests; return the RequestError that ended it, or None."""
        try:
            with connection.scope:
                await self._serve_requests(connection)
        except h11.RemoteProtocolError as error:
            return http_connection.RequestError(
                error.error_status_hint, str(error), "the HTTP is not valid"
            )
        except http_connection.RequestError as error:
            return error
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        except Exception as error:
            logs.log(
                "error",
                f"unexpected error on a client's connection: {error!r}",
                with_trace=True,
                step="serve",
            )
            # A handler may have acted on the request before it failed.
            return http_connection.RequestError(
                503 if connection.is_reading else 500, "unexpected error"
            )
        if connection.close_reason is None:
            return None
        # A handler may have run the request, and an idle client has none.
        is_reading = connection.is_reading
        return http_connection.RequestError(
            503 if is_reading else 0, connection.close_reason
        )

    async def _refuse(self, connection, error):
        """Count a RequestError and answer it."""
        reason = connection.close_reason
        if error.status or reason is not None:
            self.guard.record(error.status, error.kind)
        with contextlib.suppress(
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            await connection.answer_error(
                error, reason != connection_memory.Reason.CONNECTIONS
            )

    async def _serve_requests(self, connection):
        while await self._wait_for_request(connection):
            # Counted from its first byte, so that a graceful shutdown waits
            # for a request that is still being received.
            self.active += 1
            account = connection.account
            try:
                account.enter(connection_memory.Phase.READING)
                connection.is_reading = True
                exchange = await connection.read_exchange()
                connection.is_reading = False
                if exchange is None:
                    return
                account.enter(connection_memory.Phase.SERVING)
                await self._serve_exchange(connection, exchange)
                account.enter(connection_memory.Phase.IDLE)
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
