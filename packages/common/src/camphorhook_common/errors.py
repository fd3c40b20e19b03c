"""The exception family; each member knows its exit code and how to show.

Every error carries the step at which it arose and, where there is one, the
peer (an instance, upstream or file) involved.
"""

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


class CamphorhookError(Exception):
    """Base of all errors that are shown to a person.

    Attributes:
        message: one sentence that says what to do.
        step: the step at which the error arose.
        peer: the instance, upstream or file involved; empty if none.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message, *, step, peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def format(self):
        """Return the error as one line."""
        where = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{where}: {self.message}"

    def __str__(self):
        return self.format()


class SettingsError(CamphorhookError):
    """The settings file is wrong; the message lists every fault."""

    exit_code = EXIT_USAGE


class UnreachableError(CamphorhookError):
    """A peer did not answer in time, or could not be connected to."""

    exit_code = EXIT_UNREACHABLE


class ConflictError(CamphorhookError):
    """A row was at another version than expected."""

    exit_code = EXIT_CONFLICT


class StorageError(CamphorhookError):
    """A file could not be read or written safely; the replica must stop."""


class ProtocolError(CamphorhookError):
    """A peer sent something that does not follow the protocol."""
