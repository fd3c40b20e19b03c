"""Kept HTTP/1.1 connections to upstreams, by h11 over trio.

httpcore gives no word on bytes after an answer, on an answer that comes
before the request was sent whole, or on whether a kept connection was
closed before it is used again; h11 does.
"""

import contextlib
import socket as sockets
import typing

import h11
import trio

from camphorhook_common import numerals
from camphorhook_daemon.adapters import connection
from camphorhook_daemon.adapters import heads
from camphorhook_daemon.ports import upstreams as ports

CONNECT_SECONDS = 0.5  # many times the round trip inside a region
USER_TIMEOUT_MS = 4000  # unacknowledged bytes for so long: the peer is gone
KEEP_SECONDS = 4.0  # for an upstream that names no time
KEEP_MARGIN_SECONDS = 0.5  # left of the time that an upstream names
MOST_IDLE = 24  # kept connections to one upstream
LARGEST_HEAD_BYTES = 65536


class Head(typing.NamedTuple):
    """Status and headers of an upstream's answer; names in lower case."""

    status: int
    headers: list[tuple[str, str]]

    def get(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return default


class _Channel:
    """A connection to an upstream and where it is in HTTP."""

    def __init__(self, upstream, raw):
        self.upstream = upstream
        self.connection = connection.Connection(raw, USER_TIMEOUT_MS)
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=LARGEST_HEAD_BYTES
        )
        self.keep_until = float("inf")


class ChannelPool:
    """Opens requests on kept connections.

    Attributes:
        opened: connections that were opened so far.
    """

    def __init__(self):
        self._idle = {}
        self._open = {}
        self.opened = 0

    def count_open(self, upstream):
        """Return the connections to an upstream, idle ones included."""
        return self._open.get(upstream, 0)

    def forget(self, upstream):
        """Close the idle connections to an upstream."""
        for channel in self._idle.pop(upstream, []):
            self._close(channel)

    def close_idle(self):
        """Close idle connections whose time is over."""
        now = trio.current_time()
        for upstream, channels in list(self._idle.items()):
            kept = []
            for channel in channels:
                if channel.keep_until > now and channel.connection.is_quiet():
                    kept.append(channel)
                else:
                    self._close(channel)
            self._idle[upstream] = kept
            if not kept:
                del self._idle[upstream]

    def _close(self, channel):
        channel.connection.close()
        left = self._open.get(channel.upstream, 1) - 1
        if left > 0:
            self._open[channel.upstream] = left
        else:
            self._open.pop(channel.upstream, None)

    async def _take(self, target):
        """Return a kept connection that is still good, or a new one."""
        channels = self._idle.get(target.name, [])
        while channels:
            channel = channels.pop()
            if channel.keep_until > trio.current_time():
                if channel.connection.is_quiet():
                    return channel
            self._close(channel)
        return await self._connect(target)

    async def _connect(self, target):
        raw = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        raw.setblocking(False)
        wrapped = trio.socket.from_stdlib_socket(raw)
        try:
            with trio.fail_after(CONNECT_SECONDS):
                await wrapped.connect((target.address, target.port))
        except BaseException as error:
            wrapped.close()
            if isinstance(error, (OSError, trio.TooSlowError)):
                raise ports.AttemptError(
                    f"not connected: {error!r}",
                    step="connect",
                    peer=target.name,
                    sent=False,
                ) from error
            raise
        self.opened += 1
        self._open[target.name] = self._open.get(target.name, 0) + 1
        return _Channel(target.name, raw)

    @contextlib.asynccontextmanager
    async def open(self, target, call):
        """Send a request and open its answer.

        The connection is kept if the answer was read to its end and
        nothing follows it; else it is closed.

        Args:
            target: with name, address and port.
            call: a ports.Call.

        Returns:
            An async context manager that gives an OpenAnswer.

        Raises:
            ports.AttemptError: says whether the request may have run.
        """
        channel = await self._take(target)
        answer = OpenAnswer(channel, target)
        is_whole = False
        try:
            await answer.start(call)
            yield answer
            is_whole = answer.is_reusable()
        finally:
            if is_whole and self._keep(channel, answer.head):
                self._idle.setdefault(channel.upstream, []).append(channel)
            else:
                self._close(channel)

    def _keep(self, channel, head):
        """Prepare a connection for its next request; False if it can't."""
        seconds = KEEP_SECONDS
        for part in head.get("keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout":
                seconds = numerals.parse_unsigned(value) or KEEP_SECONDS
        if head.get("connection").lower() == "close":
            return False
        if len(self._idle.get(channel.upstream, [])) >= MOST_IDLE:
            return False
        seconds -= KEEP_MARGIN_SECONDS
        if seconds <= 0:
            return False
        channel.keep_until = trio.current_time() + seconds
        channel.http.start_next_cycle()
        return True


class OpenAnswer:
    """An upstream's answer while it is read.

    Attributes:
        head: the Head.
        upstream: name of the upstream.
    """

    def __init__(self, channel, target):
        self.upstream = target.name
        self._channel = channel
        self._target = target
        self._request = None
        self._sent_whole = False
        self._ended = False
        self.head = None

    def _fail(self, text, error, sent=True, connection_broken=True):
        failure = ports.AttemptError(
            text,
            step="read answer" if sent else "send request",
            peer=self._target.name,
            sent=sent,
            connection_broken=connection_broken,
        )
        failure.__cause__ = error
        return failure

    async def start(self, call):
        """Send the request and read the answer's head."""
        self._request = make_request(call, self._target)
        http = self._channel.http
        data = http.send(self._request)
        if call.body:
            data += http.send(h11.Data(data=call.body))
        data += http.send(h11.EndOfMessage())
        try:
            with trio.fail_after(call.read_timeout_seconds):
                await self._exchange(data, call.request_id)
        except trio.TooSlowError as error:
            raise self._fail(
                "no answer in time", error, connection_broken=False
            )
        except BaseExceptionGroup as group:
            raise _find_failure(group) from group

    async def _exchange(self, data, request_id):
        """Send the request's bytes; read on meanwhile if they don't fit."""
        try:
            rest = self._channel.connection.send_now(data)
        except trio.BrokenResourceError:
            # What was received before, or the connection's end, tells more.
            rest = None
        self._sent_whole = rest == b""
        if not rest:
            self.head = await self._read_head(request_id)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, rest)
            self.head = await self._read_head(request_id)
            nursery.cancel_scope.cancel()

    async def _send(self, data):
        try:
            await self._channel.connection.send(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # As above.
            return
        self._sent_whole = True

    async def _read_head(self, request_id):
        """Read the head of the answer to this request.

        A late second answer to an earlier request is read and dropped.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self._fail("the connection was closed", None)
            headers = heads.decode_headers(event.headers)
            head = Head(event.status_code, headers)
            echoed = head.get("x-request-id")
            if not request_id or not echoed or echoed == request_id:
                return head
            await self._skip_answer()

    async def _skip_answer(self):
        """Read the rest of another request's answer and start anew."""
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            continue
        rest, is_closed = self._channel.http.trailing_data
        if is_closed:
            raise self._fail("the connection was closed", None)
        http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=LARGEST_HEAD_BYTES
        )
        # The request is on its way; this only puts h11 into its state.
        stand_in = h11.Request(
            method=self._request.method,
            target="/",
            headers=[("host", self._target.address)],
        )
        http.send(stand_in)
        http.send(h11.EndOfMessage())
        if rest:
            http.receive_data(rest)
        self._channel.http = http

    async def _next_event(self):
        """Return the next event of the answer."""
        while True:
            try:
                event = self._channel.http.next_event()
            except h11.RemoteProtocolError as error:
                raise self._fail(f"no HTTP: {error}", error)
            if event is h11.PAUSED:
                raise self._fail("bytes after the answer", None)
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._channel.connection.receive()
            except trio.BrokenResourceError as error:
                raise self._fail("the connection was reset", error)
            self._channel.http.receive_data(data)

    async def read_piece(self):
        """Return the next piece of the body; b"" at its proper end.

        Raises:
            ports.AttemptError: the answer broke off.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._ended = True
                return b""
            raise self._fail("the answer broke off", None)

    def is_reusable(self):
        """Tell whether the connection can take another request."""
        http = self._channel.http
        if not self._ended or not self._sent_whole:
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        return http.trailing_data == (b"", False)


def make_request(call, target):
    """Return the h11.Request of a call to a target."""
    headers = list(call.headers)
    if not any(name == "host" for name, _ in headers):
        headers.insert(0, ("host", f"{target.address}:{target.port}"))
    if call.body or call.method not in ("GET", "HEAD", "DELETE"):
        headers.append(("content-length", str(len(call.body))))
    return h11.Request(
        method=call.method,
        target=call.path,
        headers=heads.encode_headers(headers),
    )


def _find_failure(group):
    """Return the AttemptError of a group; others are raised as they are."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            error = _find_failure(error)
        if isinstance(error, ports.AttemptError):
            return error
    raise group
