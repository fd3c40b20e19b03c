"""CURVE encryption and authentication between instances.

A module of its own, since importing it takes 5 MB of memory, which an
instance without keys does not need.
"""

import zmq.auth
import zmq.auth.thread


class CurveSecurity:
    """Encrypts connections and accepts only peers whose key is known."""

    def __init__(self, settings):
        self._settings = settings
        self._authenticator = None
        self._keys = None

    def start(self, context):
        """Load the own keys and start to authenticate peers.

        Args:
            context: the zmq.Context of the sockets.

        Raises:
            OSError: a key file can't be read.
            ValueError: a key file holds no key.
        """
        authenticator = zmq.auth.thread.ThreadAuthenticator(context)
        authenticator.start()
        self._authenticator = authenticator
        folder = self._settings.known_keys_folder
        authenticator.configure_curve("*", str(folder))
        self._keys = zmq.auth.load_certificate(
            str(self._settings.secret_key_file)
        )

    def stop(self):
        """Stop authenticating peers."""
        if self._authenticator is not None:
            self._authenticator.stop()

    def secure_server(self, socket):
        """Set the CURVE options of a socket that will be bound."""
        socket.curve_publickey, socket.curve_secretkey = self._keys
        socket.curve_server = True

    def secure_client(self, socket, peer):
        """Set the CURVE options of a socket that will connect to a peer.

        Args:
            socket: the ZeroMQ socket.
            peer: name of the instance that it connects to.
        """
        socket.curve_publickey, socket.curve_secretkey = self._keys
        key_file = self._settings.known_keys_folder / f"{peer}.key"
        socket.curve_serverkey, _ = zmq.auth.load_certificate(str(key_file))
