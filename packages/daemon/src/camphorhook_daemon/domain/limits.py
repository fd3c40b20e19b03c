"""Limits of client accounts, enforced over the whole fleet.

Each instance admits its share of an account's limits: the request rate that
arrives here divided by the rate on all instances, which exchange their usage
of active accounts. A surge is announced to the others at once, each time its
rate has doubled; until they know of it, every instance would admit the whole
limit.
"""

import math
import typing

import trio

from camphorhook_common import wire
from camphorhook_daemon.domain.routing import costs

DEMAND_DECAY_SECONDS = 5.0
USAGE_TTL_SECONDS = 15.0
MIN_SHARE_FACTOR = 0.25
BURST_SECONDS = 2.0
IDLE_REQUESTS_PER_SECOND = 0.05
# Factor over the demand announced last from which it is announced again.
ANNOUNCED_GROWTH = 2.0


class Refusal(typing.NamedTuple):
    """Why a request was not admitted.

    Attributes:
        limit: requests_per_second, tokens_per_minute or concurrency.
        retry_after: seconds after which a retry can succeed.
    """

    limit: str
    retry_after: float


class _TokenBucket:
    """A token bucket whose level may fall below zero.

    The tokens that a request uses are known only after it has run.
    """

    def __init__(self, rate):
        self.level = rate * BURST_SECONDS
        self.refilled_at = trio.current_time()

    def refill(self, rate):
        now = trio.current_time()
        capacity = max(1.0, rate * BURST_SECONDS)
        self.level += (now - self.refilled_at) * rate
        self.level = min(self.level, capacity)
        self.refilled_at = now


class _AccountUsage:
    """Usage of an account on this instance."""

    def __init__(self, row, share):
        self.active = 0
        self.demand = 0.0
        self.announced_demand = 0.0
        self.tokens = 0.0
        self.decayed_at = trio.current_time()
        self.requests_bucket = _TokenBucket(row["requests_per_second"] * share)
        self.tokens_bucket = _TokenBucket(
            row["tokens_per_minute"] / 60 * share
        )

    def decay(self):
        now = trio.current_time()
        factor = math.exp((self.decayed_at - now) / DEMAND_DECAY_SECONDS)
        self.demand *= factor
        self.announced_demand *= factor
        self.tokens *= factor
        self.decayed_at = now


class AccountLimits:
    """Admits requests within this instance's share of account limits.

    Attributes:
        state_changed: event that is set and replaced when the others should
            know an account's usage at once.
    """

    def __init__(self, name, instances, clock):
        """Create the limits; no account has any usage yet.

        Args:
            name: name of this instance.
            instances: number of entry instances in the fleet.
            clock: HybridClock that stamps the collected usages.
        """
        self._name = name
        self._instances = max(1, instances)
        self._clock = clock
        self._accounts = {}
        self._remote_usages = {}
        self.state_changed = trio.Event()

    def _list_remote_usages(self, account):
        """Return recent usages of an account on other instances."""
        limit = trio.current_time() - USAGE_TTL_SECONDS
        usages = self._remote_usages.get(account, {})
        return [usage for usage, at in usages.values() if at > limit]

    def find_share(self, account):
        """Return this instance's share of an account's limits, up to 1.

        Every instance keeps a minimum share, so that an account whose
        requests move to another instance is not refused before usages have
        been exchanged.
        """
        others = sum(
            usage.request_rate for usage in self._list_remote_usages(account)
        )
        known = self._accounts.get(account)
        own = known.demand / DEMAND_DECAY_SECONDS if known else 0.0
        floor = MIN_SHARE_FACTOR / self._instances
        total = own + others
        if total < IDLE_REQUESTS_PER_SECOND:
            return max(floor, 1.0 if not others else 0.5)
        return max(floor, own / total)

    def admit(self, account, row) -> Refusal | None:
        """Admit a request and return None, or return the Refusal.

        Args:
            account: name of the client account.
            row: the account's row of client_accounts.
        """
        share = self.find_share(account)
        known = self._accounts.get(account)
        if known is None:
            known = self._accounts[account] = _AccountUsage(row, share)
        known.decay()
        known.demand += 1.0
        self._announce_growth(known)
        share = self.find_share(account)
        concurrency = max(1, round(row["concurrency"] * share))
        if known.active >= concurrency:
            return Refusal("concurrency", 1.0)
        rate = row["requests_per_second"] * share
        known.requests_bucket.refill(rate)
        if known.requests_bucket.level < 1.0:
            missing = 1.0 - known.requests_bucket.level
            return Refusal("requests_per_second", missing / rate)
        rate = row["tokens_per_minute"] / 60 * share
        known.tokens_bucket.refill(rate)
        if known.tokens_bucket.level <= 0:
            wait = (1.0 - known.tokens_bucket.level) / rate
            return Refusal("tokens_per_minute", wait)
        known.requests_bucket.level -= 1.0
        known.active += 1
        return None

    def _announce_growth(self, known):
        if known.demand >= ANNOUNCED_GROWTH * known.announced_demand:
            known.announced_demand = known.demand
            self.state_changed.set()
            self.state_changed = trio.Event()

    def release(self, account, tokens):
        """Record the end of an admitted request.

        Args:
            account: name of the client account.
            tokens: those that it used, as the engine counted them; another
                value than a number up to costs.MAX_TOKENS counts as none.
        """
        if not (isinstance(tokens, int) and 0 <= tokens <= costs.MAX_TOKENS):
            tokens = 0
        known = self._accounts[account]
        known.active -= 1
        known.decay()
        known.tokens += tokens
        known.tokens_bucket.level -= tokens

    def collect_usages(self):
        """Return this instance's usage of active accounts, as wire.Usage.

        Accounts that have been idle for long are dropped.
        """
        usages = []
        for account, known in list(self._accounts.items()):
            known.decay()
            demand = known.demand / DEMAND_DECAY_SECONDS
            if not known.active and demand < IDLE_REQUESTS_PER_SECOND:
                if demand < IDLE_REQUESTS_PER_SECOND / 100:
                    del self._accounts[account]
                continue
            usages.append(
                wire.Usage(
                    account,
                    self._name,
                    round(demand, 2),
                    round(known.tokens * 60 / DEMAND_DECAY_SECONDS),
                    known.active,
                    self._clock.stamp(),
                )
            )
        return usages

    def merge(self, usage):
        """Store the usage that another instance reported, if it is newer."""
        if usage.instance == self._name:
            return
        usages = self._remote_usages.setdefault(usage.account, {})
        known = usages.get(usage.instance)
        if known is None or known[0].stamp < usage.stamp:
            usages[usage.instance] = (usage, trio.current_time())
