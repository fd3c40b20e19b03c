"""CURVE keys on the connections between instances.

A module of its own, as its import costs an instance without keys 5 MB.
"""

import zmq.auth
import zmq.auth.thread


class CurveGuard:
    """Encrypts by CURVE; only instances with a known key may connect."""

    def __init__(self, settings):
        self._settings = settings
        self._authenticator = None
        self._keys = None

    def start(self, context):
        """Load the own keys and check those of others.

        Raises:
            OSError, ValueError: a key can't be read.
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
        """Stop checking keys."""
        if self._authenticator is not None:
            self._authenticator.stop()

    def secure_server(self, socket):
        """Set a listening socket's options."""
        socket.curve_publickey, socket.curve_secretkey = self._keys
        socket.curve_server = True

    def secure_client(self, socket, peer):
        """Set a connecting socket's options."""
        socket.curve_publickey, socket.curve_secretkey = self._keys
        key_file = self._settings.known_keys_folder / f"{peer}.key"
        socket.curve_serverkey, _ = zmq.auth.load_certificate(str(key_file))
