"""Runs the daemon with a defect that the soak test must find.

Usage:
    broken BREAK [--platform]

BREAK is a key of BREAKS. `python -m tests.soak.breaks` runs all of them.
"""

import collections
import math
import runpy
import sys
import time

from camphorhook_daemon.adapters import exchanges
from camphorhook_daemon.adapters import journal
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain import leaving
from camphorhook_daemon.domain.routing import choice
from camphorhook_daemon.domain.routing import events
from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.domain.routing import links
from camphorhook_daemon.domain.routing import rules
from camphorhook_daemon.domain.routing import selection
from camphorhook_daemon.domain.routing import table
from camphorhook_daemon.domain.routing import upstream_limits
from camphorhook_daemon.domain.routing import withdrawals
from camphorhook_daemon.domain import state as states
from camphorhook_daemon.domain import verdicts
from camphorhook_daemon.platform import control
from tests.harness import bound_daemon

STALE_SECONDS = 6.0  # longer than a document may take to be in force


def _send_again():
    """Retry every failed request, idempotent or not."""
    handle_failure = forwarding.Forwarder._handle_failure

    def take(self, request, *arguments):
        route = request.route._replace(is_idempotent=True)
        return handle_failure(self, request._replace(route=route), *arguments)

    forwarding.Forwarder._handle_failure = take


def _refuse_what_ran():
    """Answer 503 to every failed request, executed or not."""
    forward = forwarding.Forwarder.forward

    async def refuse(self, request, reply, progress):
        failure = await forward(self, request, reply, progress)
        return failure and failure._replace(status=503)

    forwarding.Forwarder.forward = refuse


def _cut_answers():
    """Omit the last byte of each answer that is sent in one piece."""
    send_answer = exchanges.Exchange.send_answer

    async def send(self, status, headers, body):
        await send_answer(self, status, headers, body[:-1])

    exchanges.Exchange.send_answer = send


def _deliver_parts():
    """Deliver streams that ended inside an event as complete ones."""
    events.is_event_part = lambda data: False


def _take_up_late():
    """Apply each document after the first one late by STALE_SECONDS."""
    apply_changes = rules.Rules._apply_changes
    due = {}

    def take(self):
        seen = due.setdefault(self._configuration.index, time.time())
        if self._table is None or time.time() > seen + STALE_SECONDS:
            apply_changes(self)

    rules.Rules._apply_changes = take


def _keep_keys():
    """Accept keys that have been revoked."""
    find_account = table.RoutingTable.find_account
    known = {}

    def find(self, key):
        account = find_account(self, key)
        if account is not None:
            known[key] = account
        return known.get(key)

    table.RoutingTable.find_account = find


def _use_leaving():
    """Send requests to upstreams that are leaving or evacuated."""

    def list_available(upstreams, excluded, _excluded_domains):
        return [one for one in upstreams if one.name not in excluded]

    choice.list_available = list_available


def _forget_leaving():
    """Send requests to upstreams that leave, whoever says so."""
    _use_leaving()
    withdrawals.Withdrawals.is_leaving = lambda self, upstream: False


def _forget_pauses():
    """Send requests to upstreams that want a pause."""
    withdrawals.Withdrawals.measure_pause = lambda self, upstream: 0.0


def _crowd_cold():
    """Disable the limit on requests to cold upstreams."""

    def find_rate(self, upstream, _spec, _now):
        return self.limits.find_rate(upstream.name, upstream.incarnation)

    selection.Selector._find_rate = find_rate


def _mix_versions():
    """Let streams go on at any software version."""
    choose = selection.Selector.choose

    def choose_any(self, *arguments):
        return choose(self, *arguments[:5])

    selection.Selector.choose = choose_any


def _forget_limits():
    """Ignore the limits that upstreams name."""
    upstream_limits.UpstreamLimits.find_rate = lambda *arguments: math.inf


def _exceed_places():
    """Send requests to upstreams that have no place for them."""
    selection.Selector._needs_place = lambda *arguments: False


def _ignore_cuts():
    """Take lost links to upstreams for upstreams that are down."""

    async def inquire(self, _suspicion):
        return None

    links.Links._inquire = inquire


def _forget_crashes():
    """Send on every request, whatever upstreams crashed under it."""
    crash_evidence.CrashEvidence.has_verdicts = lambda self: False


def _blame_bystanders():
    """Blame every trait of every run at three crashes, sound or not."""

    def judge(crashes, _sound_at, _limit):
        found = collections.Counter(
            trait
            for crash in crashes
            for trait in {one for run in crash.runs for one in run.traits}
        )
        upstreams = frozenset(crash.upstream for crash in crashes)
        return [
            verdicts.Verdict(frozenset((trait,)), upstreams)
            for trait, count in found.items()
            if count >= verdicts.SHARED_LIMIT
        ]

    verdicts.judge = judge


def _take_late_orders():
    """Carry out orders whenever they come, and over newer ones."""
    submit_order = control.ControlApp._submit_order

    async def submit(self, exchange, command):
        command = command._replace(expected_version=states.ANY_VERSION)
        return await submit_order(self, exchange, command)

    control.ControlApp._submit_order = submit
    control.ORDER_SECONDS = math.inf
    control._check_caller = lambda exchange, domain: None


def _keep_leavers():
    """Let replicas that stop for good end as voters."""

    async def leave(*_arguments):
        return None

    leaving.leave = leave


def _write_nothing():
    """Acknowledge log entries without writing them to disk."""
    journal.DiskJournal.append = lambda self, entries: None


BREAKS = {
    "send again": _send_again,
    "refuse what ran": _refuse_what_ran,
    "cut answers": _cut_answers,
    "deliver parts": _deliver_parts,
    "take up late": _take_up_late,
    "keep keys": _keep_keys,
    "use leaving": _use_leaving,
    "forget leaving": _forget_leaving,
    "forget pauses": _forget_pauses,
    "crowd cold": _crowd_cold,
    "forget limits": _forget_limits,
    "mix versions": _mix_versions,
    "exceed places": _exceed_places,
    "ignore cuts": _ignore_cuts,
    "forget crashes": _forget_crashes,
    "blame bystanders": _blame_bystanders,
    "late orders": _take_late_orders,
    "keep leavers": _keep_leavers,
    "write nothing": _write_nothing,
}


if __name__ == "__main__":
    BREAKS[sys.argv.pop(1)]()
    bound_daemon.bind_connections()
    bound_daemon.bind_peers()
    runpy.run_module("camphorhook_daemon.main", run_name="__main__")
