"""State of TCP connections that the sockets of Python do not show.

Sockets are given as any object with `fileno`.
"""

import fcntl
import select

# For the rest of what was sent, once the peer has closed its side: many round
# trips within a region, and more than the delay of an acknowledgment.
ACKNOWLEDGMENT_SECONDS = 0.5
POLL_SECONDS = 0.002  # acknowledgments wake no task
TIOCOUTQ = 0x5411  # of the Linux headers; the module termios is not loaded


def measure_unacknowledged(socket):
    """Return the bytes that were sent and that the peer has not acknowledged.

    Raises:
        OSError: the socket is closed.
    """
    size = fcntl.ioctl(socket, TIOCOUTQ, bytes(4))
    return int.from_bytes(size, "little")


def poll(socket, events):
    """Return the flags of select.poll that a socket has now.

    Args:
        socket: the socket.
        events: flags to look for; those of errors are always among them.
    """
    poller = select.poll()
    poller.register(socket, events)
    found = poller.poll(0)
    return found[0][1] if found else 0


def is_all_acknowledged(socket):
    """Return whether the peer has acknowledged all bytes that were sent.

    A peer that closes the connection before that resets it, but only as the
    rest arrives. The orderly end that may come first shows nothing of it.

    Raises:
        OSError: the connection was reset.
    """
    unacknowledged = measure_unacknowledged(socket)
    if poll(socket, 0) & select.POLLERR:
        raise ConnectionResetError(
            "the connection was reset before all bytes were acknowledged"
        )
    return not unacknowledged
