"""Notices between instances by ZeroMQ's publish and subscribe sockets.

A message is two frames: its topic, by which readers choose what they get,
and the body. Each topic has a subscribing socket of its own, as a socket's
topics hold for all that it is connected to.
"""

import trio
import zmq

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.adapters import peers
from camphorhook_daemon.ports import notices as ports

QUEUE_LENGTH = 200  # notices kept for a slow reader; the newest says all
_KINDS = {
    ports.NOTICE: "no",
    ports.GROUP_SUMMARY: "sm",
    ports.FLEET_SUMMARY: "sm",
}


class NoticeExchange:
    """Publishes own notices and receives those of other instances."""

    def __init__(self, name, listener, locate, timing):
        """Create the exchange; `open` binds it.

        Args:
            name: the own name.
            listener: settings.Endpoint that others subscribe at.
            locate: returns the settings.Endpoint of another instance.
            timing: a peers.LinkTiming.
        """
        self._name = name
        self._listener = listener
        self._locate = locate
        self._timing = timing
        self._context = None
        self._publisher = None
        self._subscribers = {}
        self._followed = {topic: set() for topic in _KINDS}

    def _make_socket(self, kind):
        return peers.make_socket(
            self._context, kind, QUEUE_LENGTH, self._timing
        )

    def open(self):
        """Bind the own socket.

        Raises:
            errors.SettingsError: the port is taken.
        """
        self._context = zmq.Context()
        self._publisher = self._make_socket(zmq.PUB)
        try:
            self._publisher.bind(f"tcp://{self._listener.format()}")
        except zmq.ZMQError as error:
            raise errors.SettingsError(
                str(error), step="open", peer=self._listener.format()
            ) from error
        for topic in _KINDS:
            socket = self._make_socket(zmq.SUB)
            socket.subscribe(topic)
            self._subscribers[topic] = socket

    def close(self):
        """Close all sockets at once."""
        if self._context is not None:
            self._context.destroy(linger=0)

    def follow(self, topic, names):
        """Subscribe to a topic at exactly these instances, not the own."""
        wanted = {name for name in names if name != self._name}
        followed = self._followed[topic]
        for name in wanted - followed:
            self._subscribers[topic].connect(self._make_url(name))
        for name in followed - wanted:
            self._subscribers[topic].disconnect(self._make_url(name))
        self._followed[topic] = wanted

    def _make_url(self, name):
        return f"tcp://{self._locate(name).format()}"

    def publish(self, topic, message):
        """Send a message to whoever subscribed to its topic."""
        body = wire.encode(message)[1]
        self._publisher.send_multipart([topic, body], zmq.NOBLOCK)

    async def receive(self, adopt):
        """Hand every message that arrives to a function, until cancelled."""
        async with trio.open_nursery() as nursery:
            for topic in _KINDS:
                nursery.start_soon(self._receive, topic, adopt)

    async def _receive(self, topic, adopt):
        socket = peers.TrioSocket(self._subscribers[topic])
        while True:
            frames = await socket.receive()
            try:
                message = wire.decode(_KINDS[topic], frames[-1])
            except errors.ProtocolError as error:
                logs.log("warning", error.format(), step="receive notice")
                continue
            adopt(message)
