"""Runs a platform_server, with its options, that answers without end.

The path `endless?what=WHAT` is answered with WHAT of
`broken_answers.ENDLESS_ANSWERS`, until the client closes the connection. On
SIGUSR2 it starts to answer health checks with each of them in turn, on the
next one it stops; the effects file records these checks.
"""

import itertools
import signal
import time
import urllib.parse

import docopt
import trio

from tests.standins import broken_answers
from tests.standins import platform_server

CHECKS = ("/health", "/-/report", "/-/kv-list")


class EndlessServer(platform_server.Server):
    """A stand-in for a server of the platform that answers without end."""

    def __init__(self, arguments):
        super().__init__(arguments)
        self._has_endless_checks = False
        self._check_answers = itertools.cycle(broken_answers.ENDLESS_ANSWERS)

    async def toggle_garbling(self):
        """Start or stop answering checks without end at each SIGUSR2."""
        with trio.open_signal_receiver(signal.SIGUSR2) as signals:
            async for _ in signals:
                self._has_endless_checks = not self._has_endless_checks

    async def _answer(self, stream, http, request, headers):
        target = urllib.parse.urlsplit(request.target.decode())
        if target.path in CHECKS and self._has_endless_checks:
            what = next(self._check_answers)
            self._write({"check": target.path, "at": time.time()})
        elif target.path.endswith("/endless"):
            what = urllib.parse.parse_qs(target.query)["what"][0]
        else:
            await super()._answer(stream, http, request, headers)
            return
        request_id = headers.get("x-request-id", "")
        await broken_answers.send_without_end(stream, what, request_id)
        # Nothing more can be sent on the connection.
        raise trio.BrokenResourceError


if __name__ == "__main__":
    arguments = docopt.docopt(platform_server.__doc__)
    trio.run(platform_server.run, EndlessServer(arguments))
