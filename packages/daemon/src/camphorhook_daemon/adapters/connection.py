"""A TCP connection that is read and written with few system calls.

A stream of events takes a read and a write per event. Waiting until the
socket is readable saves a first read that would find no data, and writing
without waiting saves a task switch; trio's streams do neither.
"""

import contextlib
import math
import select
import socket as sockets
import struct

import trio

from camphorhook_common import tcp

RECEIVE_BYTES = 16384


class UnreadError(trio.BrokenResourceError):
    """The peer has read nothing for too long."""


class Connection:
    """A connected TCP socket.

    One task may receive while another one sends. The system reports a reset
    once, to either of them, and an orderly end from then on. An error that
    sending met is therefore kept, and receiving reports it as well.
    """

    def __init__(self, raw, user_timeout_ms):
        """Take ownership of a connected socket.

        Args:
            raw: a non-blocking socket of the standard library.
            user_timeout_ms: time in milliseconds for which sent bytes may
                stay unacknowledged before the peer counts as gone.

        Raises:
            OSError: the peer has already disconnected.
        """
        raw.setsockopt(
            sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, user_timeout_ms
        )
        self._raw = raw
        self._send_error = None
        # SocketStream also sets TCP_NODELAY, so small writes are not delayed.
        self._stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))

    async def receive(self, most=RECEIVE_BYTES):
        """Return the next bytes received; b"" once the peer has sent all.

        Args:
            most: maximum number of bytes.

        Raises:
            trio.BrokenResourceError: the connection was reset, which may
                have been found when sending.
        """
        while True:
            await trio.lowlevel.wait_readable(self._raw)
            try:
                data = self._raw.recv(most)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
            if not data and self._send_error is not None:
                text = f"found when sending: {self._send_error}"
                raise trio.BrokenResourceError(text)
            return data

    def send_now(self, data):
        """Send as much as fits without waiting; return the unsent rest.

        The rest is a view, as large bodies must not be copied again.

        Raises:
            trio.BrokenResourceError: the connection was reset.
        """
        try:
            sent = self._raw.send(data)
            return memoryview(data)[sent:] if sent < len(data) else b""
        except (BlockingIOError, InterruptedError):
            return data
        except OSError as error:
            self._send_error = str(error)
            raise trio.BrokenResourceError(str(error)) from error

    async def send(self, data, unread_seconds=math.inf):
        """Send bytes; wait only if the socket's buffer is full.

        Args:
            data: the bytes.
            unread_seconds: longest time for which the peer may take none of
                the bytes that were sent.

        Raises:
            trio.BrokenResourceError: the connection was reset.
            UnreadError: the peer has taken nothing for unread_seconds.
        """
        rest = self.send_now(data)
        while rest:
            unsent = self._measure_unsent()
            with trio.move_on_after(unread_seconds) as scope:
                await trio.lowlevel.wait_writable(self._raw)
            # A socket becomes writable only once a third of its buffer is
            # free, which a slow peer may take longer for.
            if scope.cancelled_caught and self._measure_unsent() >= unsent:
                raise UnreadError(f"nothing read for {unread_seconds:g} s")
            rest = self.send_now(rest)

    def _measure_unsent(self):
        """Return the bytes that were sent and that the peer has not taken."""
        try:
            return tcp.measure_unacknowledged(self._raw)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def wait_until_acknowledged(self):
        """Wait until the peer has acknowledged all bytes that were sent.

        It waits for tcp.ACKNOWLEDGMENT_SECONDS at most.

        Raises:
            trio.BrokenResourceError: the connection was reset.
        """
        with trio.move_on_after(tcp.ACKNOWLEDGMENT_SECONDS):
            try:
                while not tcp.is_all_acknowledged(self._raw):
                    await trio.sleep(tcp.POLL_SECONDS)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def send_eof(self):
        """Close the sending direction; receiving remains possible."""
        await self._stream.send_eof()

    def is_idle(self):
        """Return whether the connection is open and no bytes are unread."""
        try:
            self._raw.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def has_ended(self):
        """Return whether the peer has closed or reset the connection.

        Unlike `receive`, this tells it without a switch of tasks, and also
        while bytes are unread.
        """
        return bool(tcp.poll(self._raw, select.POLLRDHUP))

    def reset(self):
        """Close the connection so that the peer sees an error, not an end."""
        linger = struct.pack("ii", 1, 0)  # on, without waiting
        with contextlib.suppress(OSError):
            self._raw.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, linger)
        self.close()

    def close(self):
        """Close the connection without waiting for the peer."""
        self._stream.socket.close()
