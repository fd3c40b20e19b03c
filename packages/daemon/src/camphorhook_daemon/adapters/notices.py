"""Notices between instances over ZeroMQ's PUB and SUB sockets.

A message has two frames, the topic, on which SUB sockets filter, and the
body. A message that is not of the topic's usual kind names its kind in a
frame between them. There is one SUB socket for each topic, because a
socket's subscriptions apply to every instance that it is connected to.
"""

import trio
import zmq

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.adapters import peers
from camphorhook_daemon.ports import notices as ports

QUEUE_LENGTH = 200  # for a slow subscriber; the newest notice is sufficient
_KINDS = {
    ports.NOTICE: "no",
    ports.GROUP_SUMMARY: "sm",
    ports.FLEET_SUMMARY: "sm",
}


class NoticeExchange:
    """Publishes this instance's notices and receives those of others."""

    def __init__(self, name, listener, locate, timing):
        """Create the exchange; its port is opened by `open`.

        Args:
            name: name of this instance.
            listener: settings.Endpoint that other instances connect to.
            locate: function that returns the settings.Endpoint of the
                instance with a given name.
            timing: a peers.LinkTiming.
        """
        self._name = name
        self._listener = listener
        self._locate = locate
        self._timing = timing
        self._context = None
        self._publisher = None
        self._subscribers = {}
        self._subscribed = {topic: set() for topic in _KINDS}

    def _make_socket(self, kind):
        return peers.make_socket(
            self._context, kind, QUEUE_LENGTH, self._timing
        )

    def open(self):
        """Open the port and create the sockets that subscribe.

        Raises:
            errors.SettingsError: the port can't be bound.
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
        """Close all sockets and discard messages not yet sent."""
        if self._context is not None:
            self._context.destroy(linger=0)

    def follow(self, topic, names):
        """Subscribe to a topic at exactly the named instances.

        Args:
            topic: a topic of `ports.notices`.
            names: names of instances; this instance's is ignored.
        """
        wanted = {name for name in names if name != self._name}
        subscribed = self._subscribed[topic]
        for name in wanted - subscribed:
            self._subscribers[topic].connect(self._make_url(name))
        for name in subscribed - wanted:
            self._subscribers[topic].disconnect(self._make_url(name))
        self._subscribed[topic] = wanted

    def _make_url(self, name):
        return f"tcp://{self._locate(name).format()}"

    def publish(self, topic, message):
        """Send a message to the subscribers of a topic; never blocks.

        One that can't be encoded is dropped.

        Args:
            topic: a topic of `ports.notices`.
            message: a message of `wire`.
        """
        try:
            kind, body = wire.encode(message)
        except errors.ProtocolError as error:
            logs.log("error", error.format(), step="publish")
            return
        frames = [topic, body]
        if kind != _KINDS[topic]:
            frames.insert(1, kind.encode())
        self._publisher.send_multipart(frames, zmq.NOBLOCK)

    async def receive(self, apply):
        """Pass each received message to a function until cancelled.

        A message that the function fails on is dropped: the records that it
        would have changed are estimates, which later messages replace.

        Args:
            apply: function of one message.
        """
        async with trio.open_nursery() as nursery:
            for topic in _KINDS:
                nursery.start_soon(self._receive, topic, apply)

    async def _receive(self, topic, apply):
        socket = peers.TrioSocket(self._subscribers[topic])
        while True:
            frames = await socket.receive()
            try:
                kind = _KINDS[topic]
                if len(frames) > 2:
                    kind = frames[1].decode("ascii", "replace")
                message = wire.decode(kind, frames[-1])
            except errors.ProtocolError as error:
                logs.log("warning", error.format(), step="receive notice")
                continue
            with logs.log_unexpected_errors("apply notice"):
                apply(message)
