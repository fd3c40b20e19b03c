"""Runs the daemon with connections to upstreams from its own address.

Usage: python -m tests.harness.bound_daemon --platform

A proxy can then tell by the source address which instance a connection is
from, and inject a fault for that instance alone.
"""

import json
import os
import pathlib
import runpy
import socket
import types

from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.platform import settings


def bind_connections():
    """Bind connections to upstreams to the address in the settings file."""
    text = pathlib.Path(os.environ[settings.FILE_VARIABLE]).read_text()
    address = json.loads(text)["Ip"]

    def make_socket(family, kind):
        made = socket.socket(family, kind)
        made.bind((address, 0))
        return made

    connection_pool.sockets = types.SimpleNamespace(
        **{**vars(socket), "socket": make_socket}
    )


if __name__ == "__main__":
    bind_connections()
    runpy.run_module("camphorhook_daemon.main", run_name="__main__")
