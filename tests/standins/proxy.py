"""A fault-injecting TCP proxy with many links in one process.

Usage:
    proxy --control=PORT --links=FILE [--seed=N]

The links file holds a JSON object: link name to [listen, target]; each is a
port of 127.0.0.1, or an address of the loopback net with its port.
The control port takes one JSON object a line and answers with a line:
    {"links": ["a1>b1", ...], "fault": FAULT, "delay_ms": MS, "drop": SHARE}
FAULT is one of
    none      pass everything on;
    cut       close connections and refuse new ones;
    silent    keep connections open, pass nothing in either direction;
    one_way   pass nothing towards the target, answers still pass;
    delay     hold each piece for MS, more or less at random.
`drop` breaks that share of connections when they open.
"""

import functools
import json
import random

import docopt
import trio

PIECE_BYTES = 65536
POLL_SECONDS = 0.02


def _read_place(place):
    """Return (host, port) of a port or an address."""
    host, _, port = str(place).rpartition(":")
    return host or "127.0.0.1", int(port)


class Link:
    """One listening address and the fault that is in force on it."""

    def __init__(self, name, listen, target, chance):
        self.name = name
        self._listen = _read_place(listen)
        self._target = _read_place(target)
        self._chance = chance
        self.fault = "none"
        self.delay_seconds = 0.0
        self.drop = 0.0
        self._scopes = set()

    def set_fault(self, fault, delay_seconds, drop):
        """Put a fault in force; a cut closes open connections."""
        self.fault = fault
        self.delay_seconds = delay_seconds
        self.drop = drop
        if fault == "cut":
            for scope in list(self._scopes):
                scope.cancel()

    async def run(self):
        """Accept connections until cancelled."""
        host, port = self._listen
        await trio.serve_tcp(self._carry, port, host=host, backlog=512)

    async def _carry(self, client):
        if self.fault == "cut" or self._chance.random() < self.drop:
            await trio.aclose_forcefully(client)
            return
        try:
            target = await trio.open_tcp_stream(*self._target)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, target, True, nursery)
                nursery.start_soon(self._pump, target, client, False, nursery)
        self._scopes.discard(scope)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(target)

    def _blocks(self, forwards):
        if self.fault == "silent":
            return True
        return self.fault == "one_way" and forwards

    async def _pump(self, source, sink, forwards, nursery):
        try:
            while True:
                piece = await source.receive_some(PIECE_BYTES)
                while self._blocks(forwards):
                    await trio.sleep(POLL_SECONDS)
                if not piece:
                    await sink.send_eof()
                    return
                if self.fault == "delay":
                    jitter = 0.5 + self._chance.random()
                    await trio.sleep(self.delay_seconds * jitter)
                await sink.send_all(piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            nursery.cancel_scope.cancel()


async def _control(links, stream):
    buffer = b""
    async for piece in stream:
        buffer += piece
        while b"\n" in buffer:
            line, buffer = buffer.split(b"\n", 1)
            order = json.loads(line)
            for name in order["links"]:
                links[name].set_fault(
                    order["fault"],
                    order.get("delay_ms", 0) / 1000,
                    order.get("drop", 0.0),
                )
            await stream.send_all(b"done\n")


async def run(arguments):
    """Run the proxy until it is killed."""
    with open(arguments["--links"]) as file:
        ports = json.load(file)
    chance = random.Random(int(arguments["--seed"] or 0))
    links = {
        name: Link(name, listen, target, chance)
        for name, (listen, target) in ports.items()
    }
    async with trio.open_nursery() as nursery:
        for link in links.values():
            nursery.start_soon(link.run)
        control = functools.partial(_control, links)
        port = int(arguments["--control"])
        await trio.serve_tcp(control, port, host="127.0.0.1")


if __name__ == "__main__":
    trio.run(run, docopt.docopt(__doc__))
