"""Runs a stand-in for a plain service that logs its side effects.

Usage:
    service --name=NAME --domain=DOMAIN --service=SERVICE --port=PORT
            --announce=LIST --effects=FILE [--reached-at=PORT]

POST /bookings makes a booking and appends a line to the effects file. The
body may hold `delay` (seconds before the line is written), `delay_after`
(seconds after it), `crash` (`before` or `after` it: the process exits there)
`status` (status code of the answer), `filler` (bytes that the answer holds in
addition) and `headers` (names and values of more headers of the answer).
GET /bookings lists the number of effects.
"""

import json
import os
import time

import docopt
import msgspec
import trio

from tests.standins import announcing
from tests.standins import serving

CAPACITY = 64


class Service:
    """State of the stand-in and its ASGI application."""

    def __init__(self, name, path):
        self.name = name
        self._path = path
        self.active = 0

    async def __call__(self, scope, receive, send):
        """Serve an ASGI connection scope; only HTTP requests are answered."""
        if scope["type"] != "http":
            return
        headers = {
            name.decode(): value.decode() for name, value in scope["headers"]
        }
        body = await serving.read_body(receive)
        if body is None:
            return
        self.active += 1
        try:
            if scope["method"] == "POST":
                await self._book(headers, body, send)
            else:
                answer = {"server": self.name, "path": scope["path"]}
                await serving.send_json(send, 200, answer)
        finally:
            self.active -= 1

    async def _book(self, headers, body, send):
        booking = msgspec.json.decode(body) if body else {}
        await trio.sleep(booking.get("delay", 0))
        if booking.get("crash") == "before":
            os._exit(1)
        key = headers.get("idempotency-key", "")
        effect = {"key": key, "server": self.name, "what": booking.get("what")}
        with open(self._path, "a") as effects:
            effects.write(json.dumps(effect) + "\n")
        if booking.get("crash") == "after":
            os._exit(1)
        await trio.sleep(booking.get("delay_after", 0))
        status = booking.get("status", 201)
        answer = {"booked": booking.get("what"), "server": self.name}
        if booking.get("filler"):
            answer["filler"] = "x" * booking["filler"]
        more = booking.get("headers", {}).items()
        await serving.send_json(send, status, answer, more)


async def run(arguments):
    """Run the stand-in until SIGTERM, then announce that it is leaving."""
    service = Service(arguments["--name"], arguments["--effects"])
    port = int(arguments["--port"])
    fields = {
        "name": service.name,
        "failure_domain": arguments["--domain"],
        "service": arguments["--service"],
        "address": "127.0.0.1",
        "port": int(arguments["--reached-at"] or port),
        "incarnation": time.time_ns() // 1000000,
        "capacity": CAPACITY,
    }
    announcer = announcing.Announcer(
        fields, arguments["--announce"].split(","), lambda: service.active, 0.2
    )

    async def leave():
        announcer.state = "leaving"
        await announcer.announce()
        while service.active:
            await trio.sleep(0.05)

    await serving.serve(service, port, [announcer.run], leave)


if __name__ == "__main__":
    trio.run(run, docopt.docopt(__doc__))
