"""Retry budgets: retries are a bounded part of ordinary requests."""

import collections

LARGEST_BALANCE = 20.0
FIRST_BALANCE = 5.0


class RetryBudgets:
    """Counts ordinary requests in and retries out, for each service."""

    def __init__(self):
        self._balances = collections.defaultdict(lambda: FIRST_BALANCE)

    def earn(self, service, ratio):
        """Count an ordinary request, which pays for `ratio` retries."""
        balance = self._balances[service] + ratio
        self._balances[service] = min(LARGEST_BALANCE, balance)

    def spend(self, service):
        """Take a retry from the budget; return whether there was one."""
        if self._balances[service] < 1.0:
            return False
        self._balances[service] -= 1.0
        return True
