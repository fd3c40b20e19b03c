"""Step definitions for upstreams that have few places."""

import pathlib
import threading
import time

import behave

from camphorhook_daemon.domain.routing import rate_permits
from tests.features.steps import platform as platform_steps
from tests.harness import platforms
from tests.harness import processes

SERVICE = "plain"
DEADLINE_SECONDS = 2.5
MEASURED_FROM_SECONDS = 3.0


@behave.given(
    "{count:d} plain upstreams of {places:d} places at {work:g} s, {kind}, "
    "and {entries:d} entry instances"
)
def start_platform(context, count, places, work, kind, entries):
    context.platform = platform = platforms.Platform(
        pathlib.Path(context.folder), context.slot
    )
    context.add_cleanup(platform.close)
    for number in (1, 2, 3):
        platform.start(f"replica-{number}")
    context.entries = [f"entry-{number + 1}" for number in range(entries)]
    for entry in context.entries:
        platform.start(entry)
    options = [f"--places={places}", f"--work={work}", "--waiting=2"]
    if kind.startswith("brittle"):
        options.append("--brittle=1")
    for number in range(count):
        domain = platforms.DOMAINS[number % len(platforms.DOMAINS)]
        platform.start_server(
            f"server-{number + 1}", SERVICE, domain, *options
        )
    platform_steps.put_document(context, 1)
    for entry in context.entries:
        processes.wait_until(
            lambda one=entry: platform.request(
                one, "/safe/a", platform_steps.KEY
            ).status
            == 200,
            what=entry,
        )
    time.sleep(2.5)  # an instance that just started grants nothing yet
    platform.effects.write_text("")


@behave.when("{rate:d} requests a second are sent for {seconds:d} seconds")
def send_load(context, rate, seconds):
    context.answers = []
    context.began_at = time.time()
    threads = []

    def send(entry, target):
        sent_at = time.time()
        answer = context.platform.request(
            entry,
            target,
            platform_steps.KEY,
            headers={"X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))},
        )
        context.answers.append((sent_at, time.time() - sent_at, answer))

    for number in range(rate * seconds):
        due = context.began_at + number / rate
        time.sleep(max(0.0, due - time.time()))
        entry = context.entries[number % len(context.entries)]
        target = ("/safe/a", "/unsafe/a")[number % 2]
        thread = threading.Thread(target=send, args=(entry, target))
        thread.start()
        threads.append(thread)
    context.seconds = seconds
    context.ended_at = time.time()
    for thread in threads:
        thread.join()


@behave.when(
    "{rate:d} requests a second are sent for {seconds:d} seconds, and {entry} "
    "is killed after {delay:d}"
)
def send_load_and_kill(context, rate, seconds, entry, delay):
    killer = threading.Timer(delay, context.platform.kill, [entry])
    killer.start()
    send_load(context, rate, seconds)
    killer.join()


@behave.when(
    "{rate:d} requests a second are sent for {seconds:d} seconds, a holder "
    "of places killed after {delay:d}"
)
def send_load_and_kill_holder(context, rate, seconds, delay):
    names = {
        context.platform.find_address(entry): entry
        for entry in context.entries
    }
    holders = rate_permits.choose_holders(
        SERVICE, "", dict.fromkeys(names, "zone-a")
    )
    context.killed = names[holders[0]]
    send_load_and_kill(context, rate, seconds, context.killed, delay)


@behave.then(
    "the other instances are served {rate:d} requests a second from "
    "{begin:d} to {end:d}"
)
def check_served_between(context, rate, begin, end):
    served = sum(
        answer.status == 200
        and begin <= sent_at + took - context.began_at < end
        for sent_at, took, answer in context.answers
    )
    found = served / (end - begin)
    print(f"served {found:.1f} a second")
    assert found >= rate, found


@behave.then("at most {count:d} of the upstreams fall over")
def check_falls(context, count):
    falls = context.platform.list_falls()
    served = sum(one.status == 200 for _, _, one in context.answers)
    print(f"falls {len(falls)}, served {served} of {len(context.answers)}")
    assert len(falls) <= count, len(falls)


@behave.then(
    "from the third second on at least {rate:d} requests a second are served"
)
def check_served(context, rate):
    begin = context.began_at + MEASURED_FROM_SECONDS
    served = [
        sent_at + seconds
        for sent_at, seconds, answer in context.answers
        if answer.status == 200
        and begin <= sent_at + seconds < context.ended_at
    ]
    found = len(served) / (context.ended_at - begin)
    print(f"served {found:.1f} a second")
    assert found >= rate, found


@behave.then("at most {rate:d} requests a second are turned away by upstreams")
def check_turned_away(context, rate):
    found = context.platform.count_turned_away()
    print(f"turned away {found}")
    assert found <= rate * context.seconds, found


@behave.then("what is refused is refused within {seconds:d} second")
def check_refusals(context, seconds):
    late = [
        took
        for _, took, answer in context.answers
        if answer.status == 503 and took > seconds
    ]
    assert not late, late


@behave.when(
    "{entry} is killed with requests in flight and starts again, {times:d} "
    "times"
)
def restart_with_places(context, entry, times):
    platform = context.platform
    for _ in range(times):
        # More than the upstream has room for, so that places are shared.
        threads = [
            threading.Thread(
                target=platform.request,
                args=(one, "/safe/a", platform_steps.KEY),
            )
            for one in context.entries * 6
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        platform.kill(entry)
        for thread in threads:
            thread.join()
        platform.start(entry, first=False)
        processes.wait_until(lambda: platform.is_ready(entry))
        time.sleep(2.5)


@behave.then(
    "within {seconds:d} seconds {entry} serves {count:d} requests at the same "
    "time"
)
def check_places_free(context, seconds, entry, count):
    def serve_all():
        statuses = []
        threads = [
            threading.Thread(
                target=lambda: statuses.append(
                    context.platform.request(
                        entry, "/safe/a", platform_steps.KEY
                    ).status
                )
            )
            for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses == [200] * count

    processes.wait_until(serve_all, seconds)
