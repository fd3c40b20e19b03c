"""How many bytes a leader puts into one message to another replica."""

INITIAL_BYTES = 64 * 1024  # 0.09 s at 6 Mbit/s
MIN_BYTES = 16 * 1024  # 0.02 s at 6 Mbit/s; less gains nothing
MAX_BYTES = 256 * 1024  # a replica holds a message in memory as a whole
# Of the election timeout. Heartbeats and the messages to other replicas wait
# behind a large message on the same link.
TARGET_SHARE = 0.25


class Pace:
    """The size of messages to one replica, by how soon it answers them.

    Attributes:
        max_bytes: size of the next message. A single log entry may exceed
            it.
    """

    def __init__(self, election_seconds):
        """Create a pace for a replica whose link is not known yet.

        Args:
            election_seconds: election timeout, in which a replica must hear
                from its leader.
        """
        self._target = TARGET_SHARE * election_seconds
        self.max_bytes = INITIAL_BYTES

    def record_answer(self, size, seconds):
        """Record that a message was answered.

        Args:
            size: of the message, in bytes.
            seconds: from the sending to the answer.
        """
        if not self._is_large(size):
            # Not its size, but the replica's disk or load took the time.
            return
        if seconds > self._target:
            self.max_bytes = max(MIN_BYTES, self.max_bytes // 2)
        elif seconds < self._target / 2:
            self.max_bytes = min(MAX_BYTES, self.max_bytes * 2)

    def record_silence(self, size):
        """Record that a message was not answered in time.

        Args:
            size: of the message, in bytes.
        """
        if self._is_large(size):
            self.max_bytes = max(MIN_BYTES, self.max_bytes // 4)

    def _is_large(self, size):
        return size > self.max_bytes / 2
