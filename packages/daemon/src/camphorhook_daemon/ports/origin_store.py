"""Port for the durable storage of where streams began."""

import typing

from camphorhook_common import wire


class OriginStore(typing.Protocol):
    """Stores messages on origins for a while."""

    def load(self) -> list[wire.StoreOrigins]:
        """Return the stored messages, oldest first."""

    def append(self, messages: list[wire.StoreOrigins], now: float):
        """Store messages and sync them.

        Args:
            messages: the messages.
            now: seconds on any clock.

        Raises:
            errors.StorageError: they may not be durable.
        """
