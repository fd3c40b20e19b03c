"""Runs the daemon with one promise broken, to show that it is found.

Usage:
    broken BREAK [--platform]

BREAK is a key of BREAKS. `python -m tests.soak.breaks` plays them all.
"""

import runpy
import sys
import time

from camphorhook_daemon.adapters import journal
from camphorhook_daemon.adapters import listeners
from camphorhook_daemon.domain.routing import budgets
from camphorhook_daemon.domain.routing import choice
from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.domain.routing import rules
from camphorhook_daemon.domain.routing import table

STALE_SECONDS = 6.0  # above the time until a document is in force


def _send_again():
    """Send every failed request again."""
    handle_failure = forwarding.Forwarder._handle_failure

    def take(self, request, *arguments):
        route = request.route._replace(is_idempotent=True)
        return handle_failure(self, request._replace(route=route), *arguments)

    forwarding.Forwarder._handle_failure = take


def _refuse_what_ran():
    """Answer 503 to whatever failed."""
    forward = forwarding.Forwarder.forward

    async def refuse(self, request, reply):
        failure = await forward(self, request, reply)
        return failure and failure._replace(status=503)

    forwarding.Forwarder.forward = refuse


def _cut_answers():
    """Leave out the last byte of each whole answer."""
    send_answer = listeners.Exchange.send_answer

    async def send(self, status, headers, body):
        await send_answer(self, status, headers, body[:-1])

    listeners.Exchange.send_answer = send


def _take_up_late():
    """Take up documents some seconds late."""
    apply_changes = rules.Rules._apply_changes
    due = {}

    def take(self):
        seen = due.setdefault(self._configuration.index, time.time())
        if self._table is None or time.time() > seen + STALE_SECONDS:
            apply_changes(self)

    rules.Rules._apply_changes = take


def _keep_keys():
    """Accept keys that were taken away."""
    find_account = table.RoutingTable.find_account
    known = {}

    def find(self, key):
        account = find_account(self, key)
        if account is not None:
            known[key] = account
        return known.get(key)

    table.RoutingTable.find_account = find


def _use_leaving():
    """Send requests to upstreams that leave, and to those taken out."""

    def list_available(upstreams, excluded, _excluded_domains):
        return [one for one in upstreams if one.name not in excluded]

    choice.list_available = list_available


def _crowd_cold():
    """Keep to no allowance."""
    budgets.ColdStartLimiter.is_allowed = lambda *arguments: True


def _write_nothing():
    """Acknowledge entries without writing them."""
    journal.DiskJournal.append = lambda self, entries: None


BREAKS = {
    "send again": _send_again,
    "refuse what ran": _refuse_what_ran,
    "cut answers": _cut_answers,
    "take up late": _take_up_late,
    "keep keys": _keep_keys,
    "use leaving": _use_leaving,
    "crowd cold": _crowd_cold,
    "write nothing": _write_nothing,
}


if __name__ == "__main__":
    BREAKS[sys.argv.pop(1)]()
    runpy.run_module("camphorhook_daemon.main", run_name="__main__")
