"""Step definitions for older builds beside the new one."""

import collections
import json
import os
import pathlib
import threading
import time

import behave

from camphorhook_common import wire
from tests.features.steps import platform as platform_steps
from tests.harness import builds
from tests.harness import platforms
from tests.harness import processes

REPLICAS = ("replica-1", "replica-2", "replica-3")
ENTRIES = ("entry-1", "entry-2")
SERVERS = ("server-1", "server-2", "server-3")
KEY = "key-1"
REQUEST_INTERVAL_SECONDS = 0.02
APPLY_SECONDS = 2.0
START_SECONDS = 15.0
FIRST_ENGINE = 4
ENGINE_PATH = "/tokens/stream?events=2&ms=5"


@behave.given(
    "a platform with 3 replicas, 2 entry instances and 3 servers, "
    "all of build {build}"
)
def start_platform(context, build):
    context.platform = platform = platforms.Platform(
        pathlib.Path(context.folder), context.slot
    )
    context.add_cleanup(platform.close)
    context.late_documents, context.disobeyed = [], []
    context.stopped, context.document = "", 1
    for name in (*REPLICAS, *ENTRIES):
        platform.start(name, program=builds.find_program(build))
    for name, domain in zip(SERVERS, platforms.DOMAINS, strict=True):
        platform.start_server(name, "plain", domain)
    context.engines, context.unreached = 0, []
    platform_steps.put_document(context, 1, START_SECONDS)
    for entry in ENTRIES:
        processes.wait_until(
            lambda one=entry: find_server(context, one),
            START_SECONDS,
            f"{entry} serves",
        )
    replace_engine(context, START_SECONDS)
    context.unreached.clear()


def find_server(context, entry):
    """Return the name of the server that answered; empty without any."""
    answer = context.platform.request(entry, "/safe/a", KEY)
    if answer.status != 200:
        return ""
    return answer.body.decode().partition(" ")[0]


def replace_engine(context, seconds=APPLY_SECONDS):
    """Start another engine, let the last one leave; note who is unreached."""
    platform, number = context.platform, context.engines
    name = f"server-{FIRST_ENGINE + number}"
    platform.start_server(name, "engine")
    if number:
        last = f"server-{FIRST_ENGINE + number - 1}"
        platform.running.pop(last).stop()
    context.engines += 1
    end = time.monotonic() + seconds
    for entry in ENTRIES:
        while not reaches_engine(platform, entry, name):
            if time.monotonic() > end:
                context.unreached.append((name, entry))
                break


def reaches_engine(platform, entry, name):
    """Return whether a request for the engines is executed by a server."""
    request = os.urandom(6).hex()
    platform.request(entry, ENGINE_PATH, KEY, request)
    return any(
        one["request"] == request and one["server"] == name
        for one in platform.list_effects()
    )


@behave.when("requests are sent all the while")
def start_load(context):
    context.answers, done = [], threading.Event()

    def send(entry):
        while not done.wait(REQUEST_INTERVAL_SECONDS):
            began_at = time.monotonic()
            answer = context.platform.request(entry, "/safe/load", KEY)
            if context.stopped != entry:
                context.answers.append((entry, began_at, answer))

    threads = [threading.Thread(target=send, args=(one,)) for one in ENTRIES]
    for thread in threads:
        thread.start()

    def end():
        done.set()
        for thread in threads:
            thread.join()

    context.end_load = end
    context.add_cleanup(end)


@behave.when(
    "each instance is restarted with build {build}, one after the other"
)
def replace_all(context, build):
    program = builds.find_program(build)
    for name in (*REPLICAS, *ENTRIES):
        context.stopped = name
        process = context.platform.running[name]
        process.stop()
        log_start = len(process.read_log())
        context.platform.start(name, first=False, program=program)
        wait_running(context, name, log_start)
        context.stopped = ""
        check_document(context)
        check_evacuation(context)
        replace_engine(context)
    context.end_load()


def wait_running(context, name, log_start):
    """Wait until a replica votes or an entry instance is ready."""

    def is_running():
        if name in ENTRIES:
            return context.platform.is_ready(name)
        log = context.platform.running[name].read_log()[log_start:]
        return "votes in the log" in log

    processes.wait_until(is_running, START_SECONDS, f"{name} runs")


def check_document(context):
    """Change the key that is valid; note where that is late."""
    context.document += 1
    version = context.document
    key = f"key-{version}"
    platform_steps.put_document(context, version, keys=(KEY, key))
    end = time.monotonic() + APPLY_SECONDS
    for entry in ENTRIES:
        status = 0
        while status != 200 and time.monotonic() < end:
            answer = context.platform.request(entry, "/safe/key", key)
            status = answer.status
        if status != 200:
            context.late_documents.append((version, entry, status))


def check_evacuation(context):
    """Evacuate a failure domain for a moment; note who disobeys."""
    number = context.document % len(SERVERS)
    path = f"/-/evacuations/{platforms.DOMAINS[number]}"
    processes.wait_until(
        lambda: context.platform.call_control("POST", path).status == 200
    )
    time.sleep(APPLY_SECONDS)
    for entry in ENTRIES:
        reached = {find_server(context, entry) for _ in range(8)}
        if SERVERS[number] in reached or reached == {""}:
            context.disobeyed.append((entry, reached))
    processes.wait_until(
        lambda: context.platform.call_control("DELETE", path).status == 200
    )


@behave.then(
    "each document was in force at both entry instances within 2 seconds"
)
def check_documents(context):
    assert not context.late_documents, context.late_documents
    versions = [
        platform_steps.read_version(context, number) for number in (1, 2, 3)
    ]
    assert versions == [context.document] * 3, versions


@behave.then("each order on a failure domain was obeyed within 2 seconds")
def check_orders(context):
    assert not context.disobeyed, context.disobeyed


@behave.then("each server that registered was reached within 2 seconds")
def check_reached(context):
    assert not context.unreached, context.unreached


@behave.then("no message was dropped as invalid, but for kinds that are new")
def check_messages(context):
    new_kinds = tuple(f"unknown kind '{kind}'" for kind in wire.KINDS)
    for name in (*REPLICAS, *ENTRIES):
        log = context.platform.running[name].read_log()
        texts = [
            json.loads(line)["message"]
            for line in log.splitlines()
            if '"invalid' in line or "dropped" in line
        ]
        invalid = {one for one in texts if not one.endswith(new_kinds)}
        print(f"{name}: {collections.Counter(texts)}")
        assert not invalid, (name, invalid)


@behave.then("every request to a running entry instance was served")
def check_served(context):
    failed = [one for one in context.answers if one[2].status != 200]
    print(f"{len(context.answers)} requests, {len(failed)} not served")
    shown = [(one[0], one[2].status, one[2].body[:80]) for one in failed[:5]]
    assert context.answers and not failed, shown
