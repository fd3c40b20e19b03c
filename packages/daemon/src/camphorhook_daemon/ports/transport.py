"""Port for messages between instances."""

import typing


class Transport(typing.Protocol):
    """Carries typed messages to other instances."""

    async def call(self, peer, message, timeout):
        """Send a message and return the reply.

        Args:
            peer: name of the instance; the own name is answered locally.
            message: a message of `wire`.
            timeout: seconds to wait for the reply.

        Raises:
            errors.UnreachableError: no reply within the timeout.
        """
