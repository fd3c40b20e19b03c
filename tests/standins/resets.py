"""Resets connections of scripted peers.

It imports little, as servers of the soak start again within a second.
"""

import socket
import struct


def set_reset_on_close(stream):
    """Make a trio stream reset its connection when it is closed."""
    linger = struct.pack("ii", 1, 0)  # on, without waiting
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
