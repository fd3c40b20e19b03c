"""Decides which connections may hold memory, and which are closed for it.

Load: hundreds of clients, each within the limits of a single request, that
send bodies or heads without end, pipeline requests or read no answer. Every
step is constant time, except for a shortage, which sorts all connections.
"""

import enum
import math
import typing

# Python objects of a connection and its task, and one read from its socket.
CONNECTION_BYTES = 16384
# Of a chunk in a body, for its framing and its decoding. It counts for the
# order of closing only, as a body is kept in one buffer.
CHUNK_OVERHEAD_BYTES = 128
# Requests that hold more may use only a share of the memory, so that ordinary
# ones (12 to 72 kB, held twice) find room beside large ones that run for long.
LARGE_BYTES = 262144
LARGE_SHARE = 0.75
# A request that takes longer is slow: ordinary bodies of 72 kB take 0.12 s
# on a link of 5 Mbit/s.
SLOW_SECONDS = 1.0


class Phase(enum.IntEnum):
    """What a connection does at present."""

    IDLE = 0  # waits for a request
    READING = 1  # reads a request that no handler has seen
    SERVING = 2  # a handler runs
    SENDING = 3  # a handler waits for the client to read
    CLOSING = 4  # is closed as soon as its task runs


class Reason(enum.StrEnum):
    """Why a connection is refused or closed."""

    MEMORY = "the memory for clients is used up"
    CONNECTIONS = "too many connections are open"
    UNREAD = "the client does not read its answer"


class Exhausted(Exception):
    """There is no memory for this connection, and none was closed for it."""


class Bounds(typing.NamedTuple):
    """Bounds of all connections of a process together.

    Attributes:
        memory_bytes: what clients' requests and unread answers may take.
        connections: number of open connections.
    """

    memory_bytes: float = math.inf
    connections: float = math.inf


class Account:
    """What one connection holds.

    Attributes:
        held: bytes charged at present.
        phase: the Phase.
        is_internal: whether the peer is another instance.
    """

    __slots__ = (
        "_memory",
        "_close",
        "held",
        "phase",
        "is_internal",
        "_since",
        "_chunks",
        "_has_served",
    )

    def __init__(self, memory, is_internal, close, now):
        self._memory = memory
        self._close = close
        self.held = 0
        self.phase = Phase.IDLE
        self.is_internal = is_internal
        self._since = now
        self._chunks = 0
        self._has_served = False

    def enter(self, phase):
        """Change the phase; IDLE ends a request and frees what it held."""
        if self.phase == Phase.CLOSING:
            return
        if phase == Phase.IDLE:
            self._has_served = True
            self._memory.free(self, self.held - CONNECTION_BYTES)
        if Phase.IDLE in (phase, self.phase):
            self._since = self._memory.read_time()
            self._chunks = 0
        self.phase = phase

    def charge(self, size):
        """Hold more bytes.

        Raises:
            Exhausted: this connection must be refused or closed.
        """
        self._memory.charge(self, size)

    def free(self, size):
        """Hold fewer bytes."""
        self._memory.free(self, size)

    def count_chunk(self):
        """Count a chunk of a body."""
        self._chunks += 1

    def close(self):
        """Free everything; the connection is gone."""
        self._memory.remove(self)

    def weigh(self, now):
        """Return how much it has held for how long, in byte-seconds."""
        weight = self.held + self._chunks * CHUNK_OVERHEAD_BYTES
        return weight * (now - self._since)

    def rank_for_closing(self, now):
        """Return a key that is lowest for the connection to close first.

        Slow requests go first, then connections without any request, then
        idle ones that may be about to send one, then requests that began a
        moment ago.
        """
        if self.phase == Phase.READING:
            group = 0 if now - self._since > SLOW_SECONDS else 3
        else:
            group = 2 if self._has_served else 1
        return group, self._since

    def order_close(self, reason):
        """Have the connection closed; it holds nothing from now on."""
        self._memory.free(self, self.held)
        self.phase = Phase.CLOSING
        self._close(reason)


class ConnectionMemory:
    """The memory and the number of connections that listeners share.

    Attributes:
        bounds: the Bounds.
        held: bytes charged to all connections.
    """

    def __init__(self, bounds, now):
        """Create the object.

        Args:
            bounds: the Bounds.
            now: function that returns the time in seconds.
        """
        self.bounds = bounds
        self.read_time = now
        self.held = 0
        self._accounts = set()

    def count(self):
        """Return the number of open connections."""
        return len(self._accounts)

    def open(self, close, is_internal=False):
        """Return the Account of a new connection, or None to refuse it.

        Args:
            close: function of a Reason that has the connection closed soon;
                it is called at most once.
            is_internal: whether the peer is another instance; such a
                connection is never closed for others.
        """
        if len(self._accounts) >= self.bounds.connections:
            if not self._close_one():
                return None
        account = Account(self, is_internal, close, self.read_time())
        self._accounts.add(account)
        try:
            self.charge(account, CONNECTION_BYTES)
        except Exhausted:
            self.remove(account)
            return None
        return account

    def _close_one(self):
        """Close a connection for a new one; return whether one was found."""
        now = self.read_time()
        found = [
            one
            for one in self._accounts
            if not one.is_internal and one.phase <= Phase.READING
        ]
        if not found:
            return False
        victim = min(found, key=lambda one: one.rank_for_closing(now))
        victim.order_close(Reason.CONNECTIONS)
        return True

    def charge(self, account, size):
        """Charge bytes to an account; close others if there is no room.

        Raises:
            Exhausted: the account itself has held the most for the longest.
        """
        if account.phase == Phase.CLOSING:
            raise Exhausted()
        room = self.bounds.memory_bytes
        if account.held + size > LARGE_BYTES:
            room *= LARGE_SHARE
        missing = self.held + size - room
        if missing > 0:
            self._make_room(account, missing)
        account.held += size
        self.held += size

    def _make_room(self, account, missing):
        now = self.read_time()
        weight = account.weigh(now)
        # A handler that runs keeps its request; it ends by its deadline.
        found = [
            one
            for one in self._accounts
            if one is not account
            and not one.is_internal
            and one.phase in (Phase.READING, Phase.SENDING)
            and (account.is_internal or one.weigh(now) >= weight)
        ]
        victims = []
        for one in sorted(found, key=lambda one: -one.weigh(now)):
            victims.append(one)
            missing -= one.held
            if missing <= 0:
                break
        if missing > 0:
            raise Exhausted()
        for victim in victims:
            victim.order_close(Reason.MEMORY)

    def free(self, account, size):
        """Take bytes off an account."""
        size = min(size, account.held)
        account.held -= size
        self.held -= size

    def remove(self, account):
        """Forget an account, whose connection is closed."""
        self._accounts.discard(account)
        self.free(account, account.held)
