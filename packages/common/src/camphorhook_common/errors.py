"""Exceptions of camphorhook and the exit codes of its commands.

Every error carries the step that failed and, where there is one, the peer
involved: an instance, an upstream or a file.
"""

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


class CamphorhookError(Exception):
    """Base class of errors that are reported to a user.

    Attributes:
        exit_code: exit code of a command that ends with this error.
        message: one sentence that says what went wrong or how to correct it.
        step: the step that failed.
        peer: the instance, upstream or file involved; empty if none.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message, *, step, peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def format(self):
        """Return the error as `step (peer): message`."""
        where = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{where}: {self.message}"

    def __str__(self):
        return self.format()


class SettingsError(CamphorhookError):
    """The settings file is invalid; the message lists every error in it."""

    exit_code = EXIT_USAGE


class UnreachableError(CamphorhookError):
    """A peer did not answer in time, or the connection to it failed."""

    exit_code = EXIT_UNREACHABLE


class ConflictError(CamphorhookError):
    """A change was rejected because of the stored version of its target."""

    exit_code = EXIT_CONFLICT


class StorageError(CamphorhookError):
    """A file could not be read or written safely; a replica must then stop."""


class NoRoomError(CamphorhookError):
    """A file could not be written, as its disk is full.

    What was stored before is unchanged, and the write may be tried again.
    """


class ProtocolError(CamphorhookError):
    """A peer sent data that violates the protocol."""
