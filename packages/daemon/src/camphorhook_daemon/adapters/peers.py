"""Messages between instances over ZeroMQ, with CURVE keys where configured.

Each instance binds one ROUTER socket and connects one DEALER socket to each
peer. A message is one frame: kind (2 bytes), clock stamp (8 bytes), request
number (4 bytes) and body.
"""

import struct
import typing

import trio
import zmq

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire

_HEADER = struct.Struct(">2sQI")
_FRAME_OVERHEAD_BYTES = 33 + 40  # CURVE message and TCP/IP headers
_QUEUE_LENGTH = 1000
_CONNECTING_KINDS = (zmq.DEALER, zmq.SUB)  # sockets of other types are bound
_CONNECT_POLL_INTERVAL_SECONDS = 0.02
_CONNECT_TIMEOUT_MS = 1500  # allows for a lost SYN, retransmitted in 1 s
_SILENCE_SECONDS = 0.25  # without an answer, above which it is logged


class TrioSocket:
    """A ZeroMQ socket that one trio task can receive from.

    The socket's descriptor is edge-triggered and sending can consume the
    edge. `send` therefore wakes the receiver if messages are available.
    """

    def __init__(self, socket):
        self._socket = socket
        self._descriptor = socket.getsockopt(zmq.FD)
        self._wait_scope = None

    def _is_readable(self):
        return bool(self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN)

    async def receive(self):
        """Return the frames of the next message, waiting for one."""
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                # All signalled messages were read, so that the next one
                # makes the descriptor readable again.
                pass
            with trio.CancelScope() as self._wait_scope:
                await trio.lowlevel.wait_readable(self._descriptor)
            self._wait_scope = None

    def send(self, frames):
        """Queue a message without waiting.

        Raises:
            zmq.Again: the peer is not connected, or its queue is full.
        """
        self._socket.send_multipart(frames, zmq.NOBLOCK)
        if self._wait_scope is not None and self._is_readable():
            self._wait_scope.cancel()


class _Link:
    """A DEALER socket to one peer, and the calls that await a reply."""

    def __init__(self, socket):
        self.socket = TrioSocket(socket)
        self.pending_calls = {}
        self.next_number = 1
        self.connect_deadline = (
            trio.current_time() + _CONNECT_TIMEOUT_MS / 1000
        )
        self._answered_at = trio.current_time()
        self._unanswered_since = None
        self._is_silent = False

    def record_answer(self, peer):
        """Record a reply; log it if the peer had stopped answering."""
        now = trio.current_time()
        if self._is_silent:
            seconds = round(now - self._answered_at, 3)
            logs.log(
                "info",
                f"answers again, after {seconds:g} s",
                step="receive",
                peer=peer,
            )
        self._answered_at, self._unanswered_since = now, None
        self._is_silent = False

    def record_failure(self, peer, step, sent_at, reason):
        """Record a message without a reply; log it if the peer is silent.

        Args:
            peer: name of the instance.
            step: kind of the message.
            sent_at: when it was sent.
            reason: why there was no reply.
        """
        if self._answered_at > sent_at:
            return
        if self._unanswered_since is None:
            self._unanswered_since = sent_at
        now = trio.current_time()
        waited = now - self._unanswered_since
        if self._is_silent or waited < _SILENCE_SECONDS:
            return
        self._is_silent = True
        logs.log(
            "info",
            f"no answer for {waited:.3f} s: {reason}; last heard "
            f"{now - self._answered_at:.3f} s ago",
            step=step,
            peer=peer,
        )


class NullSecurity:
    """No encryption: any host of a closed network may connect."""

    def start(self, context):
        """Do nothing, as no keys are needed."""

    def stop(self):
        """Do nothing."""

    def secure_server(self, socket):
        """Leave the options of a socket that will be bound unchanged."""

    def secure_client(self, socket, peer):
        """Leave the options of a socket that will connect unchanged."""


class LinkTiming(typing.NamedTuple):
    """How fast dead connections are detected and replaced, in milliseconds.

    Attributes:
        ping_interval_ms: interval between pings on a connection.
        ping_timeout_ms: time without an answer after which a connection is
            closed.
        reconnect_interval_ms: initial wait before a reconnection.
        max_reconnect_interval_ms: maximum wait before a reconnection.
    """

    ping_interval_ms: int = 10000
    ping_timeout_ms: int = 30000
    reconnect_interval_ms: int = 100
    max_reconnect_interval_ms: int = 1000


def make_socket(context, kind, queue_length, timing):
    """Return a ZeroMQ socket that detects and replaces dead connections.

    Args:
        context: the zmq.Context.
        kind: a socket type of ZeroMQ.
        queue_length: maximum number of messages queued per peer and
            direction.
        timing: a LinkTiming.
    """
    socket = context.socket(kind)
    socket.linger = 0
    socket.sndhwm = queue_length
    socket.rcvhwm = queue_length
    if kind in _CONNECTING_KINDS:
        # Pings from one side suffice: the other side answers them, and
        # closes the connection if none arrives within the TTL.
        socket.heartbeat_ivl = timing.ping_interval_ms
        socket.heartbeat_timeout = timing.ping_timeout_ms
        socket.heartbeat_ttl = timing.ping_timeout_ms
    socket.reconnect_ivl = timing.reconnect_interval_ms
    socket.reconnect_ivl_max = timing.max_reconnect_interval_ms
    return socket


class PeerTransport:
    """Sends messages to other instances and answers theirs."""

    def __init__(
        self,
        name,
        listener,
        security,
        clock,
        meter,
        timing=LinkTiming(),
        locate=None,
    ):
        """Create the transport; its sockets are opened by `open`.

        Args:
            name: name of this instance.
            listener: settings.Endpoint that peers connect to.
            security: a NullSecurity or a curve.CurveSecurity.
            clock: the HybridClock; every message carries its stamp and
                advances the receiver's clock.
            meter: metrics, with count_control(kind, direction, size).
            timing: a LinkTiming.
            locate: function that returns the settings.Endpoint of an
                instance that was not passed to `open`; None if all are.
        """
        self._locate = locate
        self._name = name
        self._listener = listener
        self._security = security
        self._clock = clock
        self._meter = meter
        self._timing = timing
        self._links = {}
        self._handle_message = None
        self._context = None
        self._router = None
        self._nursery = None

    def open(self, handle_message, peers=()):
        """Open the port and connect to peers.

        Args:
            handle_message: async function that returns the reply to a message.
            peers: settings.Peer of each instance to connect to now.

        Raises:
            errors.SettingsError: a key can't be read or the port can't be
                bound.
        """
        self._handle_message = handle_message
        self._context = zmq.Context()
        try:
            self._security.start(self._context)
            self._bind()
            for peer in peers:
                self._connect(peer.name, peer.endpoint)
        except (OSError, ValueError, zmq.ZMQError) as error:
            self.close()
            raise errors.SettingsError(
                f"{error}; make keys with `camphorhook keys`",
                step="open peers port",
                peer=self._listener.format(),
            ) from error

    def _make_socket(self, kind):
        return make_socket(self._context, kind, _QUEUE_LENGTH, self._timing)

    def _bind(self):
        socket = self._make_socket(zmq.ROUTER)
        self._security.secure_server(socket)
        socket.bind(f"tcp://{self._listener.format()}")
        self._router = TrioSocket(socket)

    def _connect(self, name, listener):
        socket = self._make_socket(zmq.DEALER)
        self._security.secure_client(socket, name)
        socket.immediate = True
        socket.connect_timeout = _CONNECT_TIMEOUT_MS
        socket.handshake_ivl = _CONNECT_TIMEOUT_MS
        socket.connect(f"tcp://{listener.format()}")
        link = self._links[name] = _Link(socket)
        if self._nursery is not None:
            self._nursery.start_soon(self._receive_replies, name, link)
        return link

    def close(self):
        """Close all sockets and discard messages not yet sent."""
        self._security.stop()
        self._context.destroy(linger=0)

    async def run(self):
        """Answer peers' messages and receive replies until cancelled.

        An unexpected error of the handler ends the process: a replica must
        not go on with a state that was changed in part.

        Raises:
            errors.StorageError: the journal can't be written; the process
                must exit.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name, link in self._links.items():
                nursery.start_soon(self._receive_replies, name, link)
            while True:
                frames = await self._router.receive()
                nursery.start_soon(self._answer_frames, frames)

    def _pack(self, message, number):
        kind, body = wire.encode(message)
        header = _HEADER.pack(kind.encode(), self._clock.stamp(), number)
        self._count_bytes(kind, "sent", len(header) + len(body))
        return header + body

    def _pack_reply(self, reply, number):
        """Return the frame of a reply, or of why it can't be encoded."""
        try:
            return self._pack(reply, number)
        except errors.ProtocolError as error:
            logs.log("error", error.format(), step="reply")
            reply = wire.ErrorReply(error.step, error.message)
            return self._pack(reply, number)

    def _unpack(self, frame):
        kind, stamp, number = _HEADER.unpack_from(frame)
        kind = kind.decode("ascii", "replace")
        self._clock.observe(stamp)
        self._count_bytes(kind, "received", len(frame))
        return number, wire.decode(kind, frame[_HEADER.size :])

    def _count_bytes(self, kind, direction, size):
        self._meter.count_control(
            kind, direction, size + _FRAME_OVERHEAD_BYTES
        )

    async def _answer_frames(self, frames):
        address, frame = frames[0], frames[-1]
        try:
            number, message = self._unpack(frame)
        except (errors.ProtocolError, struct.error) as error:
            logs.log(
                "warning", f"invalid message dropped: {error}", step="receive"
            )
            return
        try:
            reply = await self._handle_message(message)
        except errors.StorageError:
            # The process must exit, since what it would acknowledge may not
            # be durable.
            raise
        except errors.CamphorhookError as error:
            reply = wire.ErrorReply(error.step, error.message)
        try:
            self._router.send([address, self._pack_reply(reply, number)])
        except zmq.ZMQError:
            logs.log(
                "debug", "peer disconnected before its reply", step="reply"
            )

    async def _receive_replies(self, name, link):
        while True:
            frames = await link.socket.receive()
            try:
                number, reply = self._unpack(frames[-1])
            except (errors.ProtocolError, struct.error) as error:
                logs.log("warning", str(error), step="receive", peer=name)
                continue
            link.record_answer(name)
            sender = link.pending_calls.pop(number, None)
            if sender is not None:
                sender.send_nowait(reply)

    async def call(self, peer, message, timeout):
        """Send a message to an instance and return the reply.

        Args:
            peer: name of the instance; messages to the own name are
                handled locally.
            message: a message of `wire`.
            timeout: seconds to wait for the reply.

        Raises:
            errors.UnreachableError: the peer is not connected, no reply
                arrived within the timeout, the reply is an error, or the
                message can't be encoded.
        """
        step = type(message).__name__
        reply = None
        sent_at = trio.current_time()
        with trio.move_on_after(timeout):
            if peer == self._name:
                reply = await self._handle_message(message)
            else:
                reply = await self._exchange(peer, message, step)
        if reply is None:
            if peer in self._links:
                self._links[peer].record_failure(
                    peer, step, sent_at, "no reply"
                )
            raise errors.UnreachableError("no reply", step=step, peer=peer)
        if isinstance(reply, wire.ErrorReply):
            raise errors.UnreachableError(reply.detail, step=step, peer=peer)
        return reply

    async def _exchange(self, peer, message, step):
        link = self._links.get(peer)
        if link is None and self._locate is not None:
            link = self._connect(peer, self._locate(peer))
        if link is None:
            raise errors.UnreachableError(
                "unknown instance", step=step, peer=peer
            )
        number = link.next_number
        link.next_number = number % 0xFFFFFFFF + 1
        sender, receiver = trio.open_memory_channel(1)
        link.pending_calls[number] = sender
        sent_at = trio.current_time()
        try:
            await self._send(link, self._pack(message, number))
            return await receiver.receive()
        except zmq.ZMQError as error:
            link.record_failure(peer, step, sent_at, "not connected")
            raise errors.UnreachableError(
                "not connected", step=step, peer=peer
            ) from error
        except errors.ProtocolError as error:
            logs.log("error", error.format(), step=step, peer=peer)
            raise errors.UnreachableError(
                error.message, step=step, peer=peer
            ) from error
        finally:
            link.pending_calls.pop(number, None)

    async def _send(self, link, frame):
        """Send a frame; retry while a new connection is being set up.

        Raises:
            zmq.ZMQError: the peer is not connected.
        """
        while True:
            try:
                link.socket.send([frame])
                return
            except zmq.Again:
                if trio.current_time() > link.connect_deadline:
                    raise
            await trio.sleep(_CONNECT_POLL_INTERVAL_SECONDS)
