"""What an instance that shuts down gracefully still takes, and how it ends.

Clients use open connections until the process is gone. A request that can't be
answered by then is refused before it is sent on; one that is cut off at the
end is answered with a failure that says no more than is known.
"""

import contextlib

import trio

GAIN = 0.05  # weight of the last answer in a route's mean duration
DEVIATIONS = 4  # above the mean; few answers take longer
LAST_ANSWERS_SECONDS = 0.3  # for the answers to requests that are cut off


class _Durations:
    """Mean time that a route's answers take, and their mean deviation."""

    def __init__(self, seconds):
        self._mean = seconds
        self._deviation = seconds / 2

    def record(self, seconds):
        """Record how long an answer took."""
        error = seconds - self._mean
        self._mean += GAIN * error
        self._deviation += GAIN * (abs(error) - self._deviation)

    def estimate(self):
        """Return the seconds within which almost every answer ends."""
        return self._mean + DEVIATIONS * self._deviation


class Shutdown:
    """The graceful shutdown of one instance."""

    def __init__(self, now=trio.current_time):
        """Create the shutdown of an instance that runs.

        Args:
            now: function that returns the time in seconds.
        """
        self._now = now
        self._ends_at = None
        self._durations = {}
        self._scopes = set()

    def begin(self, seconds):
        """Begin the shutdown, at whose end requests are cut off."""
        self._ends_at = self._now() + seconds

    def record_duration(self, route, seconds):
        """Record how long a request took from its receipt to its answer.

        Args:
            route: name of its route.
            seconds: the time.
        """
        if route in self._durations:
            self._durations[route].record(seconds)
        else:
            self._durations[route] = _Durations(seconds)

    def retain(self, routes):
        """Forget the durations of all other routes."""
        for route in self._durations.keys() - set(routes):
            del self._durations[route]

    def can_finish(self, route, deadline):
        """Return whether a request can be answered before the end.

        Args:
            route: name of its route.
            deadline: time in seconds at which its client gives up.
        """
        if self._ends_at is None or deadline <= self._ends_at:
            return True
        durations = self._durations.get(route)
        if durations is None:
            return False
        return self._now() + durations.estimate() <= self._ends_at

    @contextlib.contextmanager
    def track(self):
        """Cut off the body of a `with` statement at the end.

        Returns:
            A context manager that yields a trio.CancelScope, which tells
            whether the body was cut off.
        """
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    async def cut_off(self):
        """Cut off all requests and wait until they are answered."""
        for scope in list(self._scopes):
            scope.cancel()
        with trio.move_on_after(LAST_ANSWERS_SECONDS):
            while self._scopes:
                await trio.sleep(LAST_ANSWERS_SECONDS / 30)
            # Their answers are sent after they have left.
            await trio.sleep(LAST_ANSWERS_SECONDS / 10)
