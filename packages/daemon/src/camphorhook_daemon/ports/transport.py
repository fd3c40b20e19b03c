"""Port for messages between instances."""

import typing


class Transport(typing.Protocol):
    """Sends messages to other instances and returns their replies."""

    async def call(self, peer, message, timeout):
        """Send a message and return the reply.

        Args:
            peer: name of the instance; messages to the own name are
                handled locally.
            message: a message of `wire`.
            timeout: seconds to wait for the reply.

        Raises:
            errors.UnreachableError: no reply arrived within the timeout.
        """
