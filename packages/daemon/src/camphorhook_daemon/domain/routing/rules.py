"""Routing configuration in force on an instance, and its freshness."""

from camphorhook_common import logs
from camphorhook_daemon.domain import hashing
from camphorhook_daemon.domain.routing import budgets

SECONDS_PER_MS = 0.001
ELECTIONS_AT_START = 2.0  # election timeouts until a leader, if all restart
FIRST_TABLE_SECONDS = 0.4  # from its election until its table is here
MIN_START_WAIT_SECONDS = 0.3  # shortest Retry-After before the first table
# Range of the waits of clients that come before the first table.
START_SPREAD_SECONDS = 0.4


class Rules:
    """The routing table in force and the time since its confirmation."""

    def __init__(self, settings, configuration, read_document, run_time):
        """Create the state without a table.

        Args:
            settings: settings with `key_seconds`, `apply_seconds`, `timing`
                and the retry budget.
            configuration: the Configuration.
            read_document: function that returns the RoutingTable of a
                document.
            run_time: function that returns the seconds since the start of
                the process.
        """
        self._run_time = run_time
        self._settings = settings
        self._configuration = configuration
        self._read_document = read_document
        self._table = None
        self._excluded_domains = frozenset()

    def get_table(self):
        """Return the RoutingTable in force, or None."""
        return self._table

    def get_version(self):
        """Return the version of the table in force; -1 without one."""
        return self._table.version if self._table else -1

    def measure_age_ms(self):
        """Return the milliseconds since the table was confirmed as newest."""
        age = self._configuration.measure_confirmed_age()
        return int(min(age, 1e6) * 1000)

    def is_current(self):
        """Return whether client keys may still be accepted.

        An instance that is cut off must not accept a revoked key for longer
        than `key_seconds`.
        """
        age = self._configuration.measure_confirmed_age()
        return self._table is not None and age < self._settings.key_seconds

    def may_deny(self):
        """Return whether a missing route or key is certainly missing.

        A newer document that has both may be in force elsewhere if this one
        was last confirmed as the newest more than `apply_seconds` ago.
        """
        age = self._configuration.measure_confirmed_age()
        return self._table is not None and age < self._settings.apply_seconds

    def estimate_start_wait(self, request):
        """Return the seconds after which a refused client should return.

        It is refused because this instance has no table yet. After a restart
        of the whole fleet, a leader has to be elected first.

        Args:
            request: id of the client's request.
        """
        election = self._settings.timing.election_ms * SECONDS_PER_MS
        expected = ELECTIONS_AT_START * election + FIRST_TABLE_SECONDS
        left = max(MIN_START_WAIT_SECONDS, expected - self._run_time())
        fraction = hashing.hash_to_fraction("start", request)
        return left + START_SPREAD_SECONDS * fraction

    def list_excluded_domains(self):
        """Return the failure domains that are taken out of service."""
        return self._excluded_domains

    def make_retry_budget(self):
        """Return a RetryBudget for one service."""
        settings = self._settings
        return budgets.RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window
        )

    async def follow(self):
        """Apply each change of the configuration, until cancelled."""
        while True:
            changed = self._configuration.changed
            self._apply_changes()
            await changed.wait()

    def _apply_changes(self):
        rows = self._configuration.list_rows("failure_domains")
        excluded = frozenset(
            name
            for name, (_, cells) in rows.items()
            if cells["state"] == "out"
        )
        if excluded != self._excluded_domains:
            self._excluded_domains = excluded
            logs.log(
                "info",
                "obeys a change of failure domains",
                step="take up failure domains",
                inputs={
                    "index": self._configuration.index,
                    "out": sorted(excluded),
                    "age_ms": self.measure_age_ms(),
                },
            )
        document = self._configuration.get_document()
        if document is None or document[0] == self.get_version():
            return
        self._table = self._read_document(document[1])
        logs.log(
            "info",
            f"document {self._table.version} is in force",
            step="take up document",
            inputs={
                "index": self._configuration.index,
                "routes": len(self._table.routes),
                "age_ms": self.measure_age_ms(),
            },
        )
