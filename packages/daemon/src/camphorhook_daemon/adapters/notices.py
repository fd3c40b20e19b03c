"""Notices between instances by ZeroMQ's publish and subscribe sockets."""

import zmq

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.adapters import peers

QUEUE_LENGTH = 200  # notices kept for a slow reader; the newest says all


class NoticeExchange:
    """Publishes own notices and receives those of other instances."""

    def __init__(self, name, listener, locate, timing):
        """Create the exchange; `open` binds it.

        Args:
            name: the own name.
            listener: settings.Listener that others subscribe at.
            locate: returns the settings.Listener of another instance.
            timing: a peers.LinkTiming.
        """
        self._name = name
        self._listener = listener
        self._locate = locate
        self._timing = timing
        self._context = None
        self._publisher = None
        self._subscriber = None
        self._followed = set()

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
        self._subscriber = self._make_socket(zmq.SUB)
        self._subscriber.subscribe(b"")

    def close(self):
        """Close all sockets at once."""
        if self._context is not None:
            self._context.destroy(linger=0)

    def follow(self, names):
        """Subscribe at exactly these instances, the own one left out."""
        wanted = {name for name in names if name != self._name}
        for name in wanted - self._followed:
            self._subscriber.connect(self._make_url(name))
        for name in self._followed - wanted:
            self._subscriber.disconnect(self._make_url(name))
        self._followed = wanted

    def _make_url(self, name):
        return f"tcp://{self._locate(name).format()}"

    def publish(self, notice):
        """Send a notice to whoever subscribed."""
        self._publisher.send(wire.encode(notice)[1], zmq.NOBLOCK)

    async def receive(self, adopt):
        """Hand every Notice that arrives to a function, until cancelled."""
        socket = peers.TrioSocket(self._subscriber)
        while True:
            frames = await socket.receive()
            try:
                notice = wire.decode("no", frames[-1])
            except errors.ProtocolError as error:
                logs.log("warning", error.format(), step="receive notice")
                continue
            adopt(notice)
