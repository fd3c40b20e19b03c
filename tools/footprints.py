"""Measures the memory of single items by tracing allocations.

The resident memory of a process also includes free space that earlier work
left, which hides small items. Traced allocations include only the memory that
the items themselves hold.
"""

import gc
import time
import tracemalloc

import trio

from camphorhook_common import clock
from camphorhook_common import commands
from camphorhook_common import secrets
from camphorhook_common import timeline
from camphorhook_common import wire
from camphorhook_daemon.domain import configuration
from camphorhook_daemon.domain import limits
from camphorhook_daemon.domain import membership
from camphorhook_daemon.domain import state

RETENTION_SECONDS = 3600.0


def _measure_memory(build, sizes):
    """Return the bytes that the result of `build` holds, for each size."""
    readings = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        readings.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return readings


def _apply_all(built):
    machine = state.State()
    for index, command in enumerate(built, start=1):
        kind, data = commands.encode(command)
        machine.apply(commands.Entry(index, 1, kind, data))
    return machine


def _make_cells(number):
    return {
        "key_hash": secrets.hash_key(f"key-{number}"),
        "enabled": "yes",
        "weight": 1,
        "priority": 5,
        "requests_per_second": 20.0,
        "tokens_per_minute": 600000,
        "concurrency": 64,
    }


def _build_claims(size):
    now = time.time()
    built = []
    for number in range(size):
        key = f"booking-{number:012}"
        digest = secrets.digest_body(key.encode())
        claim = commands.ClaimAttempt(
            f"account-{number % 100}",
            key,
            digest,
            f"req-{number:030}",
            "a1",
            RETENTION_SECONDS,
            60.0,
            now,
        )
        body = b'{"booked":"court","server":"desk"}'
        settle = commands.SettleAttempt(
            claim.account,
            key,
            claim.attempt,
            "finished",
            201,
            "application/json",
            body,
            now,
        )
        built += [claim, settle]
    return _apply_all(built)


def _build_rows(size):
    now = time.time()
    return _apply_all(
        commands.SetCells(
            f"op-{number:032}",
            "client_accounts",
            f"account-{number}",
            0,
            _make_cells(number),
            now,
        )
        for number in range(size)
    )


def _build_configuration(size):
    view = configuration.Configuration()
    changes = [
        wire.Change(
            "client_accounts", f"account-{number}", 1, _make_cells(number)
        )
        for number in range(size)
    ]
    view.apply_reply(wire.WatchReply(1, True, changes, 0, "a1"))
    return view


def _build_directory(size):
    recorder = timeline.Recorder("a1", clock.HybridClock())
    directory = membership.Directory(recorder)
    recorder.record = lambda *_words, **_fields: None
    for number in range(size):
        directory.add_announcement(
            membership.Announcement(
                f"engine-{number}",
                "zone-a",
                "stringmind",
                "10.0.0.1",
                8000,
                1796000000000 + number,
                1,
                9000,
                ("stringmind",),
            )
        )
    return directory


def _build_account_limits(size):
    account_limits = limits.AccountLimits("a1", 8, clock.HybridClock())
    for number in range(size):
        account_limits.admit(f"account-{number}", _make_cells(number))
    return account_limits


BUILDERS = {
    "replica memory per claim": _build_claims,
    "replica memory per row": _build_rows,
    "entry memory per row": _build_configuration,
    "entry memory per upstream": _build_directory,
    "entry memory per account in use": _build_account_limits,
}


def measure(sizes):
    """Return lists of bytes, one for each size, by name of the item.

    Args:
        sizes: numbers of items.
    """

    async def measure_all():
        return {
            name: _measure_memory(build, sizes)
            for name, build in BUILDERS.items()
        }

    return trio.run(measure_all)
