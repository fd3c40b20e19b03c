"""Runs the daemon with connections from its own address.

Usage: python -m tests.harness.bound_daemon [--behind-proxy] --platform

A proxy can then tell by the source address which instance a connection is
from, and inject a fault for that instance alone. With --behind-proxy, a
replica listens to its peers PEERS_OFFSET above the port that they call.
"""

import functools
import json
import os
import pathlib
import runpy
import socket
import sys
import types

import zmq

from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.adapters import peers
from camphorhook_daemon.platform import settings

PEERS_OFFSET = 12
BEHIND_PROXY = "--behind-proxy"


def _read_settings():
    text = pathlib.Path(os.environ[settings.FILE_VARIABLE]).read_text()
    return json.loads(text)


def bind_connections():
    """Bind connections to upstreams to the address in the settings file."""
    address = _read_settings()["Ip"]

    def make_socket(family, kind):
        made = socket.socket(family, kind)
        made.bind((address, 0))
        return made

    connection_pool.sockets = types.SimpleNamespace(
        **{**vars(socket), "socket": make_socket}
    )


def bind_peers():
    """Bind connections to peers; let a replica listen behind its proxy."""
    read = _read_settings()
    address = read["Ip"]
    offset = PEERS_OFFSET if read["DataDir"] else 0

    class BoundSocket(zmq.Socket):
        def connect(self, endpoint):
            host = endpoint.removeprefix("tcp://")
            return super().connect(f"tcp://{address}:0;{host}")

        def bind(self, endpoint):
            host, _, port = endpoint.rpartition(":")
            return super().bind(f"{host}:{int(port) + offset}")

    make_socket = peers.make_socket

    def make_bound_socket(context, kind, *arguments):
        if kind in (zmq.DEALER, zmq.ROUTER):
            context = types.SimpleNamespace(
                socket=functools.partial(
                    context.socket, socket_class=BoundSocket
                )
            )
        return make_socket(context, kind, *arguments)

    peers.make_socket = make_bound_socket


if __name__ == "__main__":
    bind_connections()
    if sys.argv[1] == BEHIND_PROXY:
        del sys.argv[1]
        bind_peers()
    runpy.run_module("camphorhook_daemon.main", run_name="__main__")
