"""Step definitions for registrations and documents that can't be used."""

import json
import math
import types

import behave
import trio

from camphorhook_common import wire
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.domain.routing import catalog as catalogs
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import rules
from camphorhook_daemon.platform import documents
from camphorhook_daemon.platform import protocol
from tests.features.steps import platform
from tests.harness import platforms

NESTED = b"[" * 100_000 + b"]" * 100_000
SHALLOWER = b"[" * 500 + b"]" * 500  # some stacks could still decode it
ODD_NUMBERS = ("", "nan", "inf", "-inf", "-1", "1e400", "9" * 5000, "²", "0x9")
PLAIN_SERVERS = ("server-1", "server-2", "server-3")
REGISTRATION = {
    "Service": "plain",
    "Address": "127.0.0.1:1",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 10**9,
    "born": 2**52,  # replaces any sound server's registration
}
ODD_VALUES = {
    "Service": ("", "a\0b", "x" * 100_000, 5),
    "Zone": ("", "zone-a\r\nX: y", "x" * 100_000, None),
    "Version": ("v1\r\nX: y", " v1", "x" * 100_000, "☼", 1),
    "Slots": (0, -1, 2**53, 2**64, 1e30, 0.5, "8"),
    "Sequence": (-1, 2**64, 10**400, 1e30),
    "ColdRemainingMs": (10**400, 1e300, "1"),
    "born": (-1, 2**64, 10**400, "1"),
    "State": ("sleeping", "", 1),
    "Address": ("127.0.0.1:0", "127.0.0.1:65536", "h:80", "x" * 100_000),
}
ODD_DOCUMENT_VERSIONS = (2**64, 10**400, 1.5)
ODD_ROUTE_VALUES = {
    "TimeoutMs": (10**400, 1e300, 0),
    "Priority": (2**70,),
    "Attempts": (2**70,),
}


def list_odd_registrations():
    """Return the bodies of registrations that name no upstream to use."""
    whole = json.dumps(REGISTRATION).encode()
    bodies = [
        json.dumps({**REGISTRATION, name: value}).encode()
        for name, values in ODD_VALUES.items()
        for value in values
    ]
    for nested in (NESTED, SHALLOWER):
        bodies.append(nested)
        bodies.append(whole[:-1] + b',"Stage":' + nested + b"}")
    return [*bodies, whole[:-1] + b',"Slots":1e999}', whole[:40], b"\xff"]


def list_odd_documents():
    """Return documents that are nested too deeply or hold large numbers."""
    whole = json.loads(platforms.make_document(90))
    bodies = []
    for version in ODD_DOCUMENT_VERSIONS:
        bodies.append(json.dumps({**whole, "Version": version}).encode())
    for name, values in ODD_ROUTE_VALUES.items():
        for value in values:
            route = {**whole["Routes"][0], name: value}
            routes = [route, *whole["Routes"][1:]]
            bodies.append(json.dumps({**whole, "Routes": routes}).encode())
    text = json.dumps(whole).encode()
    for nested in (NESTED, SHALLOWER):
        bodies.append(text[:-1] + b',"More":' + nested + b"}")
    return bodies


def send_to_each(context, path, bodies):
    """Send bodies to each replica; return those that got no 4xx."""
    failed = []
    for body in bodies:
        for number in (1, 2, 3):
            answer = context.platform.call_control(
                "PUT", path, body, replicas=(number,)
            )
            if not 400 <= answer.status < 500:
                failed.append((body[:200], len(body), number, answer.status))
    return failed


@behave.when("registrations that name no server to use reach each replica")
def send_registrations(context):
    # Sent for registered servers, too: their entries stay as they are.
    context.unrefused = []
    for name in (*PLAIN_SERVERS, "odd"):
        context.unrefused += send_to_each(
            context, f"/-/instances/{name}", list_odd_registrations()
        )


@behave.when("documents that can't be read in full reach each replica")
def send_documents(context):
    context.unrefused = send_to_each(
        context, "/-/config", list_odd_documents()
    )


@behave.then("each is answered with a 4xx")
def check_refused(context):
    assert not context.unrefused, (len(context.unrefused), context.unrefused)


@behave.then("no process ended, and both entry instances serve on")
def check_served(context):
    for name, process in context.platform.running.items():
        assert process.is_running(), name
    for entry in platform.ENTRIES:
        for _ in range(20):
            answer = context.platform.request(entry, "/safe/a", platform.KEY)
            server = answer.body.decode().partition(" ")[0]
            assert server in PLAIN_SERVERS, (answer.status, answer.body)


@behave.then("an odd registration taken by an older replica is not used")
def check_catalog(context):
    sound = wire.Registration(
        "sound", "plain", "zone-a", "127.0.0.1", 1, 1, 1, registry.LIVE, 8, 0
    )
    odd = [
        sound._replace(name="odd-1", version="v1\r\nX: y"),
        sound._replace(name="odd-2", service="a\0b"),
        sound._replace(name="odd-3", capacity=0),
        sound._replace(name="odd-4", capacity=2**53),
        sound._replace(name="odd-5", failure_domain="x" * 100_000),
        sound._replace(sequence=2, version="☼"),
    ]

    async def run():
        catalog = catalogs.UpstreamCatalog()
        for full, changed in ((True, [sound]), (False, odd)):
            reply = wire.UpstreamsReply("e", 1, full, changed, [], 0, None, 0)
            catalog.apply_reply("replica", reply)
        return catalog.registrations

    assert trio.run(run) == {"sound": sound}


@behave.then("a document that only an older replica can read changes nothing")
def check_rules(context):
    held = [(1, platforms.make_document(1))]
    configuration = types.SimpleNamespace(
        list_rows=lambda table: {},
        get_document=lambda: held[-1],
        index=1,
        measure_confirmed_age=lambda: 0.0,
        changed=trio.Event(),
    )
    settings = types.SimpleNamespace(key_seconds=1.0, apply_seconds=1.0)
    rule_set = rules.Rules(settings, configuration, documents.read, float)

    async def run():
        with trio.move_on_after(0.1):
            await rule_set.follow()

    for body in (NESTED, list_odd_documents()[0]):
        trio.run(run)
        held.append((2, body))
    trio.run(run)
    assert rule_set.get_version() == 1


@behave.then("odd numbers in the header {name} of an answer change nothing")
def check_header(context, name):
    for value in ODD_NUMBERS:
        for text in (value, f"{value},{value},{value}"):
            head = connection_pool.Head(503, [(name, text)])
            info = protocol.read_head_info(head)
            assert info.load is None, (text, info)
            assert info.pause == 0 and not info.is_leaving, (text, info)
            assert info.limit in (None, math.inf), (text, info)
