"""Requests of clients and their answers, over HTTP/1.1."""

import h11
import trio

from camphorhook_common import clock
from camphorhook_daemon.adapters import header_codec


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
        head = h11.Response(
            status_code=status,
            headers=header_codec.encode_headers(all_headers),
        )
        self.has_started = True
        return head

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
