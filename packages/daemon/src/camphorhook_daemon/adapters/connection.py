"""A TCP connection that is read and written with few system calls.

A stream of events takes a read and a write per event. Waiting until the
socket is readable saves a first read that would find no data, and writing
without waiting saves a task switch; trio's streams do neither.
"""

import contextlib
import socket as sockets
import struct

import trio

RECEIVE_BYTES = 16384


class Connection:
    """A connected TCP socket.

    One task may receive while another one sends.
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
        # SocketStream also sets TCP_NODELAY, so small writes are not delayed.
        self._stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))

    async def receive(self):
        """Return the next bytes received; b"" once the peer has sent all.

        Raises:
            trio.BrokenResourceError: the connection was reset.
        """
        while True:
            await trio.lowlevel.wait_readable(self._raw)
            try:
                return self._raw.recv(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    def send_now(self, data):
        """Send as much as fits without waiting; return the unsent rest.

        Raises:
            trio.BrokenResourceError: the connection was reset.
        """
        try:
            return data[self._raw.send(data) :]
        except (BlockingIOError, InterruptedError):
            return data
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send(self, data):
        """Send bytes; wait only if the socket's buffer is full.

        Raises:
            trio.BrokenResourceError: the connection was reset.
        """
        rest = self.send_now(data)
        if rest:
            await self._stream.send_all(rest)

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

        Unread bytes hide the end that follows them.
        """
        try:
            return not self._raw.recv(1, sockets.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def reset(self):
        """Close the connection so that the peer sees an error, not an end."""
        linger = struct.pack("ii", 1, 0)  # on, without waiting
        with contextlib.suppress(OSError):
            self._raw.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, linger)
        self.close()

    def close(self):
        """Close the connection without waiting for the peer."""
        self._stream.socket.close()
