"""Step definitions for the end-to-end tests on the platform."""

import json
import pathlib
import subprocess
import threading
import time

import behave

from tests.harness import platforms
from tests.harness import processes
from tests.standins import platform_server

ENTRIES = ("entry-1", "entry-2")
KEY = "key-1"


@behave.given(
    "a platform with {replicas:d} replicas, {entries:d} entry instances and "
    "{servers:d} servers"
)
def start_platform(context, replicas, entries, servers, bounds=None):
    context.platform = platform = platforms.Platform(
        pathlib.Path(context.folder), context.slot
    )
    platform.bounds = bounds or {}
    context.add_cleanup(platform.close)
    for number in range(1, replicas + 1):
        platform.start(f"replica-{number}")
    for number in range(1, entries + 1):
        platform.start(f"entry-{number}")
    for number in range(1, 4):
        domain = platforms.DOMAINS[number - 1]
        platform.start_server(f"server-{number}", "plain", domain)
    platform.start_server("server-4", "other")
    platform.start_server("server-5", "engine")
    put_document(context, 1)
    for entry in ENTRIES:
        processes.wait_until(lambda one=entry: platform.is_ready(one))
        for target in ("/safe/a", "/tokens/stream"):
            processes.wait_until(
                lambda one=entry, to=target: platform.request(
                    one, to, KEY
                ).status
                == 200,
                what=f"{target} at {entry}",
            )


def put_document(context, version, seconds=10.0, **options):
    """Send a document until it is acknowledged."""
    body = platforms.make_document(version, **options)
    processes.wait_until(
        lambda: context.platform.call_control("PUT", "/-/config", body).status
        == 200,
        seconds,
        f"acknowledgement of document {version}",
    )


def read_version(context, number):
    """Return a replica's document version, or 0 where it has none."""
    answer = context.platform.call_control(
        "GET", "/-/config", replicas=(number,)
    )
    return json.loads(answer.body)["Version"] if answer.status == 200 else 0


@behave.then("a safe request is answered 200 by a server")
def check_safe(context):
    answer = context.platform.request("entry-2", "/safe/a", KEY)
    assert answer.status == 200, answer.status
    assert answer.headers["x-response-seal"].startswith("seal-server-")


@behave.then("an unsafe request is answered 200 by a server")
def check_unsafe(context):
    answer = context.platform.request("entry-1", "/unsafe/a", KEY)
    assert answer.status == 200, answer.status
    assert answer.body.endswith(b" /unsafe/a"), answer.body


@behave.then("a stream of 10 events is complete")
def check_stream(context):
    answer = context.platform.request("entry-1", "/tokens/stream", KEY)
    events = [platform_server.make_event(n, "v1") for n in range(1, 11)]
    assert answer.body == b"".join(events), answer.body


@behave.then("a request without a key is answered {status:d}")
def check_no_key(context, status):
    answer = context.platform.request("entry-1", "/safe/a")
    assert answer.status == status, answer.status


@behave.then("a request with an unknown key is answered {status:d}")
def check_unknown_key(context, status):
    answer = context.platform.request("entry-1", "/safe/a", "nobody")
    assert answer.status == status, answer.status


@behave.then("a request to an unknown path is answered {status:d}")
def check_unknown_path(context, status):
    answer = context.platform.request("entry-1", "/nowhere/", KEY)
    assert answer.status == status, answer.status


@behave.then("an open request without a key is answered 200 by a server")
def check_open(context):
    answer = context.platform.request("entry-1", "/open/a")
    assert answer.status == 200, answer.status


@behave.then("no server ever received a key")
def check_keys(context):
    effects = context.platform.list_effects()
    assert effects and not any(one["key"] for one in effects)


@behave.when("document {version:d} sends requests to the other service")
def move_service(context, version):
    put_document(context, version, service="other")


def uses_other_service(context, entry):
    """Tell whether an entry instance uses the other service."""
    answer = context.platform.request(entry, "/safe/a", KEY)
    return answer.body.startswith(b"server-4 ")


@behave.then(
    "within {seconds:d} seconds both entry instances use the other service"
)
def wait_other(context, seconds):
    for entry in ENTRIES:
        processes.wait_until(
            lambda one=entry: uses_other_service(context, one), seconds
        )


@behave.then("both entry instances use the other service")
def check_both_other(context):
    assert all(uses_other_service(context, entry) for entry in ENTRIES)


@behave.when("document {version:d} is sent again to each replica")
def send_older_document(context, version):
    body = platforms.make_document(version)
    context.answers = [
        context.platform.call_control("PUT", "/-/config", body, replicas=(n,))
        for n in (1, 2, 3)
    ]


@behave.then("each replica answers it 200 and reads back document {held:d}")
def check_kept(context, held):
    assert [one.status for one in context.answers] == [200] * 3
    assert [read_version(context, n) for n in (1, 2, 3)] == [held] * 3


@behave.when("a document with a fault is sent")
def send_faulty(context):
    body = platforms.make_document(99).replace(b'"plain"', b'"lost"', 1)
    context.answers = [context.platform.call_control("PUT", "/-/config", body)]


@behave.then(
    "it is refused with 400 and each replica reads back document {held:d}"
)
def check_refused(context, held):
    assert context.answers[0].status == 400
    assert context.answers[0].body
    assert [read_version(context, n) for n in (1, 2, 3)] == [held] * 3


@behave.when("process {name} is paused")
def pause(context, name):
    context.platform.pause(name)
    context.paused = name


@behave.when("document {version:d} revokes key-2")
def revoke_key(context, version):
    put_document(context, version, keys=("key-1",))
    context.acknowledged_at = time.monotonic()


@behave.when("{seconds:f} seconds after its acknowledgement {name} is resumed")
def resume_process(context, seconds, name):
    time.sleep(context.acknowledged_at + seconds - time.monotonic())
    context.platform.resume(name)


@behave.when("zone-b is taken out, as {entry} sends it open requests")
def evacuate_beside_requests(context, entry):
    def is_sent():
        answer = context.platform.request(entry, "/open/a")
        return answer.body.startswith(b"server-2 ")

    others = [n for n in (1, 2, 3) if context.paused != f"replica-{n}"]
    processes.wait_until(
        lambda: context.platform.call_control(
            "POST", "/-/evacuations/zone-b", replicas=others
        ).status
        == 200,
        what="acknowledgement of the evacuation",
    )
    began_at = time.monotonic()
    context.late = []
    while time.monotonic() < began_at + 5.5:
        sent_at = time.monotonic()
        if is_sent():
            context.late.append(sent_at - began_at)
        time.sleep(0.02)


@behave.then("within {seconds:f} seconds {entry} sends it nothing more")
def check_evacuated(context, seconds, entry):
    last = max(context.late, default=0.0)
    print(f"last one sent {last:.2f} s after the acknowledgement")
    assert last < seconds, last


@behave.then("a request with key-2 to {name} does not run")
def check_key_revoked(context, name):
    answer = context.platform.request(
        name, "/safe/gone", "key-2", request="gone"
    )
    assert answer.status in (401, 503), answer.status
    effects = context.platform.list_effects()
    assert not any(one["request"] == "gone" for one in effects)


def find_leader(context):
    """Return the name of the replica that logged the highest term."""
    found = []
    for name in list(context.platform.running):
        if not name.startswith("replica"):
            continue
        for line in context.platform.running[name].read_log().splitlines():
            if "leads the log in term" in line:
                entry = json.loads(line)
                term = int(entry["message"].rpartition(" ")[2])
                found.append((term, name))
    return max(found)[1]


@behave.when("the leading replica is killed")
def kill_leader(context):
    context.platform.kill(find_leader(context))


@behave.then("within {seconds:d} seconds document {version:d} is acknowledged")
def check_acknowledged(context, seconds, version):
    put_document(context, version, seconds)


@behave.when("document {version:d} is acknowledged")
def acknowledge(context, version):
    put_document(context, version)


@behave.when("document {version:d} is acknowledged and zone-b is taken out")
def acknowledge_and_take_out(context, version):
    put_document(context, version)
    answer = context.platform.call_control("POST", "/-/evacuations/zone-b")
    assert answer.status == 200, answer.status


@behave.when("all replicas are killed and started again")
def restart_replicas(context):
    names = ("replica-1", "replica-2", "replica-3")
    for name in names:
        context.platform.kill(name)
    for name in names:
        context.platform.start(name, first=False)


@behave.then(
    "within {seconds:d} seconds each replica reads back document {held:d}"
)
def wait_read_back(context, seconds, held):
    for number in (1, 2, 3):
        processes.wait_until(
            lambda n=number: read_version(context, n) == held, seconds
        )


@behave.then("within {seconds:d} seconds no request reaches zone-b")
def check_taken_out(context, seconds):
    def is_out():
        answers = [
            context.platform.request(entry, "/safe/out", KEY)
            for entry in ENTRIES
            for _ in range(6)
        ]
        return all(
            one.status == 200 and not one.body.startswith(b"server-2 ")
            for one in answers
        )

    processes.wait_until(is_out, seconds, "nothing to zone-b")


@behave.when("{name} loses its disk and starts again")
def lose_disk(context, name):
    # The log file is appended to; only lines after the loss count.
    context.log_start = len(context.platform.running[name].read_log())
    context.platform.kill(name)
    context.platform.lose_disk(name)
    context.platform.start(name, first=False)
    context.new_replica = name


@behave.when("{name} starts with an empty disk")
def start_empty(context, name):
    context.platform.start(name, first=False)
    context.new_replica = name
    context.log_start = 0


@behave.when("within {seconds:d} seconds it votes again")
def wait_voter(context, seconds):
    def is_voter():
        log = context.platform.running[context.new_replica].read_log()
        return "votes in the log" in log[context.log_start :]

    processes.wait_until(is_voter, seconds, f"vote of {context.new_replica}")


@behave.when("process {name} is killed")
def kill_one(context, name):
    context.platform.kill(name)


@behave.when("server-1 drains while requests are sent")
def drain(context):
    platform = context.platform
    context.statuses = []
    stop = threading.Event()

    def send_requests():
        while not stop.is_set():
            answer = platform.request("entry-1", "/safe/drain", KEY)
            context.statuses.append(answer.status)

    sender = threading.Thread(target=send_requests)
    sender.start()
    server = platform.running.pop("server-1")
    context.drained_at = time.time()
    code = server.stop()
    time.sleep(0.5)
    stop.set()
    sender.join()
    assert code == 0, code


@behave.then(
    "no request was interrupted, and none reached it after {seconds:d} seconds"
)
def check_drained(context, seconds):
    assert set(context.statuses) == {200}, set(context.statuses)
    late = [
        one
        for one in context.platform.list_effects()
        if one["server"] == "server-1"
        and one["at"] > context.drained_at + seconds
    ]
    assert not late, late


@behave.when("{name} gets SIGTERM during a slow request")
def stop_beside_request(context, name):
    platform = context.platform
    context.answers = []
    sender = threading.Thread(
        target=lambda: context.answers.append(
            platform.request(name, "/safe/slow", KEY)
        )
    )
    sender.start()
    time.sleep(0.3)
    process = platform.running.pop(name)
    stopper = threading.Thread(target=process.stop)
    stopper.start()
    time.sleep(0.2)
    context.was_ready = platform.is_ready(name)
    sender.join()
    stopper.join()


@behave.then("the slow request is answered {status:d}")
def check_slow(context, status):
    assert [one.status for one in context.answers] == [status]


@behave.then("{name} reports at once that it is not ready")
def check_not_ready(context, name):
    assert not context.was_ready, name


@behave.then("{count:d} safe requests are answered {status:d}")
def check_many(context, count, status):
    statuses = [
        context.platform.request(ENTRIES[n % 2], "/safe/many", KEY).status
        for n in range(count)
    ]
    assert set(statuses) == {status}, statuses


@behave.when("a server crashes in an unsafe request")
def crash_unsafe(context):
    context.answers = [
        context.platform.request(
            "entry-1", "/unsafe/crash", KEY, request="crash"
        )
    ]


@behave.then("it is answered {status:d} and ran once")
def check_once(context, status):
    assert context.answers[0].status == status, context.answers[0].status
    runs = [
        one
        for one in context.platform.list_effects()
        if one["request"] == "crash"
    ]
    assert len(runs) == 1, runs


@behave.then("explain reports of request {request}: {text}")
def check_explained(context, request, text):
    logs = sorted(context.platform.folder.glob("*.log"))
    done = subprocess.run(
        processes.run_program("camphorhook", "explain", request, *logs),
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stderr
    assert text in done.stdout.splitlines()[-1], done.stdout


CRASHING_TARGET = "/safe/crash"


@behave.when(
    "a safe request crashes {count:d} servers, each of which starts again"
)
def crash_servers(context, count):
    platform = context.platform

    def count_crashes():
        return sum(one["crash"] for one in platform.list_effects())

    number = 0
    while count_crashes() < count:
        platform.request(ENTRIES[number % 2], CRASHING_TARGET, KEY)
        number += 1
        for name, process in list(platform.running.items()):
            if name.startswith("server-") and not process.is_running():
                platform.kill(name)
                domain = platforms.DOMAINS[int(name[-1]) - 1]
                platform.start_server(name, "plain", domain)
    for entry in ENTRIES:
        processes.wait_until(
            lambda one=entry: platform.request(one, "/safe/b", KEY).status
            == 200
        )


@behave.when("{name:Word} starts again")
def start_again(context, name):
    context.platform.start(name, first=False)


@behave.then(
    "within {seconds:d} second both instances refuse it, and tell when to "
    "come back"
)
@behave.then(
    "within {seconds:d} seconds both instances refuse it, and tell when to "
    "come back"
)
def check_blamed(context, seconds):
    def is_refused(entry):
        answer = context.platform.request(entry, CRASHING_TARGET, KEY)
        wait = float(answer.headers.get("retry-after", 0))
        return answer.status == 503 and wait > 200

    for entry in ENTRIES:
        processes.wait_until(lambda one=entry: is_refused(one), seconds)
