"""Step definitions for streams beside engines of several versions."""

import contextlib
import http.client
import os
import pathlib
import re
import threading
import time

import behave

from tests.features.steps import platform as platform_steps
from tests.harness import platforms
from tests.harness import processes

EVENTS = 20
PAUSE_MS = 100
BEGIN_SECONDS = 0.8  # until each stream has begun and is far from its end
BEGUN_EVENTS = 4  # by then its origin has been sent to replicas and stored
REFUSAL_SECONDS = 0.5
DEADLINE_SECONDS = 8.0
RESTART_SECONDS = 2.0  # between two kills of all instances
READY_SECONDS = 12.0  # RecoverS
TARGET = f"/tokens/stream?events={EVENTS}&ms={PAUSE_MS}"
VERSIONS = {"server-5": "v1", "server-6": "v1"}
VERSIONS |= {"server-7": "v2", "server-8": "v2"}
_EVENT = re.compile(rb"id: (\d+)\nevent: (\S+)\ndata: piece \d+\n\n")


class Stream:
    """A stream that a client reads, over several tries.

    Attributes:
        first_request: id of the request that brought its first event.
        status: status of the last answer.
        seconds: duration of the last try.
        numbers: ids of the events, in order of arrival.
        versions: versions that wrote them.
        received: bytes of the last answer, as they arrive.
    """

    def __init__(self):
        self.first_request = ""
        self.status = 0
        self.seconds = 0.0
        self.numbers = []
        self.versions = set()
        self.received = b""

    def read(self, platform, entry, names_first=True):
        """Request the stream, or what is missing of it, from an instance."""
        request = os.urandom(8).hex()
        headers = {
            "Host": "h.example",
            "Authorization": f"Bearer {platform_steps.KEY}",
            "X-Request-Id": request,
            "X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        if self.numbers:
            headers["Last-Event-Id"] = str(self.numbers[-1])
            if names_first:
                headers["Resumes"] = self.first_request
        else:
            self.first_request = request
        began_at = time.monotonic()
        connection = http.client.HTTPConnection(
            platform.find_address(entry),
            platforms.FRONTEND_PORT,
            timeout=DEADLINE_SECONDS,
        )
        body = b""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", TARGET, b"body", headers)
            answer = connection.getresponse()
            self.status = answer.status
            while piece := answer.read1(65536):
                self.received = body = body + piece
        connection.close()
        self.seconds = time.monotonic() - began_at
        for number, version in _EVENT.findall(body):
            self.numbers.append(int(number))
            self.versions.add(version.decode())

    def is_complete(self):
        """Return whether every event came once and in order."""
        return self.numbers == list(range(1, EVENTS + 1))


def read_all(
    context, entry, between=None, names_first=True, events=BEGUN_EVENTS
):
    """Read all streams at an instance; call `between` once they have begun.

    Args:
        context: behave's context, with `platform` and `streams`.
        entry: name of the instance.
        between: function to call once each stream has some events, or None.
        names_first: whether clients name the request that began a stream.
        events: how many events each stream has by then.
    """
    threads = [
        threading.Thread(
            target=one.read, args=(context.platform, entry, names_first)
        )
        for one in context.streams
    ]
    for thread in threads:
        thread.start()
    if between is not None:
        if events == BEGUN_EVENTS:
            time.sleep(BEGIN_SECONDS)
        processes.wait_until(
            lambda: all(
                len(_EVENT.findall(one.received)) >= events
                for one in context.streams
            ),
            what=f"{events} events of each stream",
        )
        between()
    for thread in threads:
        thread.join()


@behave.given("a platform with 2 entry instances and 2 engines of v1")
def start_one_version(context):
    start_platform(context, ("server-5", "server-6"))


@behave.given(
    "a platform with 2 entry instances and 2 engines each of v1 and v2"
)
def start_platform(context, names=tuple(VERSIONS)):
    context.platform = platform = platforms.Platform(
        pathlib.Path(context.folder), context.slot
    )
    context.add_cleanup(platform.close)
    for number in (1, 2, 3):
        platform.start(f"replica-{number}")
    for entry in platform_steps.ENTRIES:
        platform.start(entry)
    for name in names:
        start_engine(platform, name, VERSIONS[name])
    platform_steps.put_document(context, 1)
    for entry in platform_steps.ENTRIES:
        processes.wait_until(
            lambda one=entry: len(find_servers(platform, one)) == len(names)
        )
    platform.effects.write_text("")


def start_engine(platform, name, version):
    """Start an engine of a version."""
    platform.start_server(name, "engine", "zone-a", f"--version={version}")


def find_servers(platform, entry):
    """Send a few streams; return the engines that ran any."""
    platform.request(entry, "/tokens/stream?events=1&ms=1", platform_steps.KEY)
    return {one["server"] for one in platform.list_effects()}


@behave.when(
    "{count:d} streams begin at {entry}, and one engine of each version is "
    "killed"
)
def kill_engines(context, count, entry):
    context.streams = [Stream() for _ in range(count)]

    def kill():
        context.platform.kill("server-5")
        context.platform.kill("server-7")

    read_all(context, entry, kill)


@behave.when(
    "{count:d} streams begin at {entry}, and both engines of v1 are killed"
)
def kill_version(context, count, entry):
    context.streams = [Stream() for _ in range(count)]

    def kill():
        context.platform.kill("server-5")
        context.platform.kill("server-6")

    read_all(context, entry, kill)


@behave.when("{count:d} streams begin at {entry}, and it is killed")
def kill_instance(context, count, entry):
    context.streams = [Stream() for _ in range(count)]
    read_all(context, entry, lambda: context.platform.kill(entry))


@behave.when(
    "{count:d} streams begin at {entry}, and all entry instances start again "
    "without {loss}"
)
@behave.when(
    "{count:d} streams begin at {entry}, and all entry instances start again"
)
def restart_instances(context, count, entry, loss=""):
    context.streams = [Stream() for _ in range(count)]
    platform = context.platform

    def restart():
        for name in platform_steps.ENTRIES:
            platform.kill(name)
        if loss:
            platform.kill(loss)
        for name in platform_steps.ENTRIES:
            platform.start(name, first=False)

    read_all(context, entry, restart)
    for name in platform_steps.ENTRIES:
        processes.wait_until(lambda one=name: platform.is_ready(one))
        processes.wait_until(lambda one=name: find_servers(platform, one))


@behave.when(
    "{count:d} streams begin at {entry}, and all instances start again "
    "{times}"
)
def restart_all(context, count, entry, times):
    context.streams = [Stream() for _ in range(count)]
    platform = context.platform
    replicas = [f"replica-{number}" for number in (1, 2, 3)]

    def restart():
        lost = times.removeprefix("without ")
        for _ in range(2 if times == "twice" else 1):
            for name in (*replicas, *platform_steps.ENTRIES):
                platform.kill(name)
            if lost in replicas:
                replicas.remove(lost)
            for name in (*replicas, *platform_steps.ENTRIES):
                platform.start(name, first=False)
            time.sleep(RESTART_SECONDS)

    read_all(context, entry, restart)
    for name in platform_steps.ENTRIES:
        processes.wait_until(
            lambda one=name: platform.is_ready(one), READY_SECONDS
        )
        processes.wait_until(
            lambda one=name: find_servers(platform, one), READY_SECONDS
        )


@behave.when(
    "{count:d} streams begin at {entry}, and all instances are killed at "
    "their first events"
)
def kill_at_first_events(context, count, entry):
    context.streams = [Stream() for _ in range(count)]
    platform = context.platform
    names = [f"replica-{number}" for number in (1, 2, 3)]
    names += platform_steps.ENTRIES

    def restart():
        for name in names:
            platform.kill(name)
        for name in names:
            platform.start(name, first=False)

    read_all(context, entry, restart, events=1)
    for name in platform_steps.ENTRIES:
        processes.wait_until(
            lambda one=name: platform.is_ready(one), READY_SECONDS
        )
        processes.wait_until(
            lambda one=name: find_servers(platform, one), READY_SECONDS
        )


@behave.when("their clients take them up at {entry}")
def take_up(context, entry):
    context.streams = [one for one in context.streams if one.numbers]
    complete = [one for one in context.streams if one.is_complete()]
    context.streams = [one for one in context.streams if one not in complete]
    read_all(context, entry)
    context.streams += complete


@behave.then("each stream holds events of one version only")
def check_versions(context):
    found = [one.versions for one in context.streams]
    assert found and all(len(one) == 1 for one in found), found
    if not hasattr(context, "begun_versions"):
        assert len(set().union(*found)) == 2, found


@behave.then("at least {count:d} streams are complete")
def check_complete(context, count):
    complete = [one for one in context.streams if one.is_complete()]
    assert len(complete) >= count, [one.numbers for one in context.streams]


@behave.then("each stream of v1 was refused at once")
def check_refused(context):
    found = [one for one in context.streams if one.versions == {"v1"}]
    assert found
    for one in found:
        assert one.status == 503, one.status
        assert one.seconds < REFUSAL_SECONDS, one.seconds


@behave.when("a client takes up a stream at {entry} that it did not begin")
def take_up_unknown(context, entry):
    stream = Stream()
    stream.first_request, stream.numbers = "ab12", [3]
    stream.read(context.platform, entry)
    context.streams = [stream]


@behave.then("it was refused at once and reached no engine")
def check_unknown(context):
    (stream,) = context.streams
    assert stream.status == 503, stream.status
    assert stream.seconds < REFUSAL_SECONDS, stream.seconds
    assert not context.platform.list_effects()
