"""One TCP connection, read and written with few system calls.

Streams of events cost a read and a write for each event. Waiting before the
first read saves the one that would find nothing, and writing at once saves
a task switch; trio's streams do neither.
"""

import socket as sockets

import trio

RECEIVE_BYTES = 16384


class Connection:
    """A connected socket.

    One task may receive while another sends.
    """

    def __init__(self, raw, user_timeout_ms):
        """Take over a connected socket.

        Args:
            raw: a non-blocking socket of the standard library.
            user_timeout_ms: unacknowledged bytes for so long: the peer is
                gone.

        Raises:
            OSError: the peer has left already.
        """
        raw.setsockopt(
            sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, user_timeout_ms
        )
        self._raw = raw
        # This also has small writes sent at once.
        self._stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))

    async def receive(self):
        """Return the bytes that come next; b"" at their end.

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
        """Send what the connection takes at once; return what is left.

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
        """Send bytes, waiting for the peer only where it is slow.

        Raises:
            trio.BrokenResourceError: the connection was reset.
        """
        rest = self.send_now(data)
        if rest:
            await self._stream.send_all(rest)

    async def send_eof(self):
        """End the own direction."""
        await self._stream.send_eof()

    def is_quiet(self):
        """Tell whether the connection is open and holds no bytes."""
        try:
            self._raw.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def close(self):
        """Close at once."""
        self._stream.socket.close()
