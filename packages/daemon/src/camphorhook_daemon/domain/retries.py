"""Retry budgets, which bound retries to a fraction of requests."""

import collections

MAX_BALANCE = 20.0
INITIAL_BALANCE = 5.0


class RetryBudgets:
    """Retry budgets by service: requests add to one, retries draw on it."""

    def __init__(self):
        self._balances = collections.defaultdict(lambda: INITIAL_BALANCE)

    def count_request(self, service, ratio):
        """Count a request, which adds `ratio` retries to the budget."""
        balance = self._balances[service] + ratio
        self._balances[service] = min(MAX_BALANCE, balance)

    def spend(self, service):
        """Take a retry from the budget; return False if none is left."""
        if self._balances[service] < 1.0:
            return False
        self._balances[service] -= 1.0
        return True
