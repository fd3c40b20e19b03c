"""Runs a fault-injecting TCP proxy for many links.

Usage:
    proxy --control=PORT --links=FILE [--seed=N]

The links file holds a JSON object that maps the name of a link to [listen,
target]. Each of the two is a port of 127.0.0.1 or an `ADDRESS:PORT` of the
loopback network. The control port reads one JSON object per line and answers
each with a line:
    {"links": ["a1>b1", ...], "fault": FAULT, "delay_ms": MS, "drop": SHARE,
     "sources": [ADDRESS, ...]}
With `sources`, only connections from these addresses have the fault, beside
the fault of all others. FAULT is one of
    none      forward everything;
    cut       reset open connections and every new one;
    refuse    reset every new connection, open ones live on;
    silent    keep connections open, forward nothing in either direction;
    one_way   forward nothing to the target, but still its answers;
    no_answers  forward all to the target, but none of its answers;
    half_answers  the same for half of the connections, drawn as they open;
    delay     delay each chunk by MS, times a random factor of 0.5 to 1.5.
`drop` is the share of new connections that are closed at once.
"""

import functools
import json
import random

import docopt
import trio

from tests.standins import resets

CHUNK_BYTES = 65536
POLL_INTERVAL_SECONDS = 0.02
LOST_SHARE = 0.5  # of the connections of `half_answers`


def _parse_address(address):
    """Return (host, port) of a port number or an `ADDRESS:PORT`."""
    host, _, port = str(address).rpartition(":")
    return host or "127.0.0.1", int(port)


class Link:
    """A listening address, its target and the fault injected on it."""

    def __init__(self, name, listen, target, rng):
        self.name = name
        self._listen = _parse_address(listen)
        self._target = _parse_address(target)
        self._rng = rng
        self.fault = "none"
        self.delay_seconds = 0.0
        self.drop = 0.0
        self._source_faults = {}
        self._scopes = {}

    def set_fault(self, fault, delay_seconds, drop):
        """Set the injected fault; `cut` also closes open connections."""
        self.fault = fault
        self.delay_seconds = delay_seconds
        self.drop = drop
        if fault == "cut":
            for scope in list(self._scopes):
                scope.cancel()

    def set_source_fault(self, sources, fault):
        """Set the fault of connections from some addresses."""
        for source in sources:
            self._source_faults[source] = fault
        if fault == "cut":
            for scope, source in list(self._scopes.items()):
                if source in sources:
                    scope.cancel()

    def _find_fault(self, source):
        fault = self._source_faults.get(source, "none")
        return self.fault if fault == "none" else fault

    async def run(self):
        """Accept and forward connections until cancelled."""
        host, port = self._listen
        await trio.serve_tcp(
            self._handle_connection, port, host=host, backlog=512
        )

    async def _handle_connection(self, client):
        source = client.socket.getpeername()[0]
        is_refused = self._find_fault(source) in ("cut", "refuse")
        if is_refused or self._rng.random() < self.drop:
            resets.set_reset_on_close(client)
            await trio.aclose_forcefully(client)
            return
        try:
            target = await trio.open_tcp_stream(*self._target)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        with trio.CancelScope() as scope:
            self._scopes[scope] = source
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._relay, client, target, True, scope, source
                )
                nursery.start_soon(
                    self._relay, target, client, False, scope, source
                )
        self._scopes.pop(scope, None)
        if scope.cancelled_caught:
            # A close would look like the end of an answer without length.
            resets.set_reset_on_close(client)
            resets.set_reset_on_close(target)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(target)

    def _is_blocked(self, forwards, address, is_lossy):
        fault = self._find_fault(address)
        if fault == "half_answers":
            return is_lossy and not forwards
        return fault == "silent" or fault == (
            "one_way" if forwards else "no_answers"
        )

    async def _relay(self, source, sink, forwards, scope, address):
        is_lossy = self._rng.random() < LOST_SHARE
        try:
            while True:
                chunk = await source.receive_some(CHUNK_BYTES)
                while self._is_blocked(forwards, address, is_lossy):
                    await trio.sleep(POLL_INTERVAL_SECONDS)
                if not chunk:
                    await sink.send_eof()
                    return
                if self.fault == "delay":
                    jitter = 0.5 + self._rng.random()
                    await trio.sleep(self.delay_seconds * jitter)
                await sink.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()


async def _handle_control(links, stream):
    buffer = b""
    async for chunk in stream:
        buffer += chunk
        while b"\n" in buffer:
            line, buffer = buffer.split(b"\n", 1)
            command = json.loads(line)
            for name in command["links"]:
                if "sources" in command:
                    links[name].set_source_fault(
                        command["sources"], command["fault"]
                    )
                    continue
                links[name].set_fault(
                    command["fault"],
                    command.get("delay_ms", 0) / 1000,
                    command.get("drop", 0.0),
                )
            await stream.send_all(b"done\n")


async def run(arguments):
    """Run the proxy until the process is killed."""
    with open(arguments["--links"]) as file:
        ports = json.load(file)
    rng = random.Random(int(arguments["--seed"] or 0))
    links = {
        name: Link(name, listen, target, rng)
        for name, (listen, target) in ports.items()
    }
    async with trio.open_nursery() as nursery:
        for link in links.values():
            nursery.start_soon(link.run)
        control = functools.partial(_handle_control, links)
        port = int(arguments["--control"])
        await trio.serve_tcp(control, port, host="127.0.0.1")


if __name__ == "__main__":
    trio.run(run, docopt.docopt(__doc__))
