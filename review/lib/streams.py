"""Streams that clients take up again, and servers that write them."""

import asyncio
import random
import time

import deployment

EVENTS, EVENT_SECONDS = 40, 0.25


async def answer(server, writer, headers, target):
    """Answer with the events that follow `Last-Event-Id`.

    The data of each event is the version of the server that wrote it.
    """
    request = headers.get("x-request-id", "")
    more = [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    deployment.send_head(writer, 200, request, more)
    first = int(headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: {server.version}\n\n"
        writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")


class Stream:
    """A client's stream over its tries.

    Attributes:
        first: id of the client attempt that brought its first event.
        last_event: id of its last event; 0 before the first.
        is_whole: whether it ended as its framing says.
        versions: software versions of the servers that wrote its events.
    """

    def __init__(self, fleet, target, seconds):
        """Create a stream that has not been asked for.

        Args:
            fleet: the Deployment.
            target: path of the request.
            seconds: from now until the client's deadline.
        """
        self._fleet = fleet
        self._target = target
        self._ends_at = time.monotonic() + seconds
        self.first = ""
        self.last_event = 0
        self.is_whole = False
        self.versions = set()

    async def send(self, front):
        """Send the request, or take the stream up; return the status.

        The status is 0 if no answer came; otherwise it returns once the
        stream has ended or broken off.
        """
        fleet = self._fleet
        request = f"{random.getrandbits(64):016x}"
        left = self._ends_at - time.monotonic()
        lines = [
            f"POST {self._target} HTTP/1.1",
            "Host: h.example",
            f"X-Request-Id: {request}",
            f"X-Deadline-Ms: {int(left * 1000)}",
            "Authorization: Bearer key-1",
            "Content-Length: 0",
        ]
        if self.last_event:
            lines += [f"Last-Event-Id: {self.last_event}"]
            lines += [f"Resumes: {self.first}"]
        writer, status = None, 0
        try:
            async with asyncio.timeout(left):
                reader, writer = await asyncio.open_connection(
                    fleet.find_address(front), deployment.FRONTEND_PORT
                )
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ")[1])
                if status == 200:
                    await self._read(reader, request)
        except (OSError, TimeoutError, EOFError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
            fleet.record.write(
                f"{front} answered {request} (first {self.first}) with "
                f"{status}; last event {self.last_event}, "
                f"whole: {self.is_whole}"
            )
        return status

    async def _read(self, reader, request):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            chunk = await reader.readexactly(size + 2)
            for line in chunk.splitlines():
                if line.startswith(b"id:"):
                    self.first = self.first or request
                    self.last_event = int(line[3:])
                elif line.startswith(b"data:"):
                    self.versions.add(line[5:].strip().decode())
        self.is_whole = True
