"""Step definitions for texts of documents that HTTP can't carry."""

import collections
import concurrent.futures
import json
import unittest.mock

import behave
import h11
import hypothesis
from hypothesis import strategies
import trio

from camphorhook_daemon.adapters import exchanges
from camphorhook_daemon.adapters import header_codec
from camphorhook_daemon.adapters import metrics
from camphorhook_daemon.adapters import targets
from camphorhook_daemon.platform import documents
from camphorhook_daemon.platform import entry as entries
from tests.features.steps import endings
from tests.features.steps import platform
from tests.harness import platforms
from tests.harness import processes
from tests.harness import routers
from tests.harness import ways

PLAIN_NAMES = (
    "a\xe9\xfc",
    "tab\there",
    "\x7f",
    "\x85",
    "%E9%AB%98",
    '"quoted"',
    "two  blanks",
    "blank",  # and others that differ in blanks only
    "x" * 8000,
    # What other names would be sent as if these accounts were not there.
    header_codec.encode_word("高雄"),
    header_codec.encode_word("高雄", "x-2"),
    "高雄".encode().decode("latin-1"),
)
ENCODED_NAMES = (
    "高雄",
    "高雄補習班",
    "a€b",
    "🐤",
    "line\r\nX-Tenant: other",
    "line\nend",
    "nul\0",
    " blank",
    "blank ",
    "\ttab",
    "form\x0cfeed",
    "補" * 2000,
)
NAMES = (*PLAIN_NAMES, *ENCODED_NAMES)
SERVERS = [f"server-{number}" for number in range(1, 6)]
STANDSTILL_MS = "4000"  # for upstreams to be suspected and probed


def make_key(number):
    return f"odd-{number}"


@behave.when("a document adds client accounts with odd names")
def add_accounts(context):
    document = json.loads(platforms.make_document(2))
    document["Tenants"] += [
        {"Name": name, "ApiKeys": [make_key(number)]}
        for number, name in enumerate(NAMES)
    ]
    body = json.dumps(document).encode()
    answer = context.platform.call_control("PUT", "/-/config", body)
    assert answer.status == 200, (answer.status, answer.body)
    last = make_key(len(NAMES) - 1)
    for entry in platform.ENTRIES:
        processes.wait_until(
            lambda one=entry: context.platform.request(
                one, "/safe/a", last
            ).status
            != 401,
            what=f"document 2 at {entry}",
        )


@behave.then("each of them is served by both entry instances")
def check_served(context):
    failed = []
    for number, name in enumerate(NAMES):
        for entry in platform.ENTRIES:
            answer = context.platform.request(
                entry, "/unsafe/a", make_key(number), f"{entry}/{number}"
            )
            if answer.status != 200:
                failed.append((name[:20], entry, answer.status))
    assert not failed, failed


def map_names(context, entry):
    """Return the name that upstreams got, by name of the account."""
    sent = {
        one["request"]: one["tenant"]
        for one in context.platform.list_effects()
    }
    return {
        name: sent[f"{entry}/{number}"] for number, name in enumerate(NAMES)
    }


@behave.then(
    "upstreams got the names in distinct forms, the same from both instances"
)
def check_distinct(context):
    first, second = (map_names(context, one) for one in platform.ENTRIES)
    assert first == second
    assert len(set(first.values())) == len(NAMES), first


@behave.then("names that a header can hold arrived unchanged")
def check_unchanged(context):
    arrived = map_names(context, platform.ENTRIES[0])
    for name in PLAIN_NAMES:
        assert arrived[name] == name, (name, arrived[name])


def send_value(value):
    """Return what a server reads of a header's value."""
    pairs = header_codec.encode_headers([("host", "h"), ("x", value)])
    request = h11.Request(method="GET", target="/", headers=pairs)
    server = h11.Connection(h11.SERVER)
    server.receive_data(h11.Connection(h11.CLIENT).send(request))
    return dict(header_codec.decode_headers(server.next_event().headers))["x"]


@behave.then(
    "each of {count:d} drawn sets of names has distinct header values that "
    "arrive as sent"
)
def check_drawn(context, count):
    texts = strategies.one_of(
        strategies.text(max_size=8),
        strategies.sampled_from(NAMES),
        strategies.text(max_size=4).map(header_codec.encode_word),
    )

    @hypothesis.settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis.given(strategies.lists(texts, unique=True, max_size=8))
    def check(names):
        values = header_codec.encode_distinctly(names)
        assert len(set(values.values())) == len(names)
        assert values == header_codec.encode_distinctly(names[::-1])
        for name, value in values.items():
            assert send_value(value) == value
            assert value == name or not header_codec.can_hold(name)

    check()


def read_escapes(text):
    """Return the text of a step with its escape sequences replaced."""
    return json.loads(f'"{text}"'.replace("\\0", "\\u0000"))


@behave.when('a document gives a service the health path "{path}"')
def set_health_path(context, path):
    document = json.loads(platforms.make_document(2))
    document["Services"][0]["HealthPath"] = read_escapes(path)
    body = json.dumps(document).encode()
    answer = context.platform.call_control("PUT", "/-/config", body)
    assert answer.status == 200, (answer.status, answer.body)


@behave.when("its servers stand still while clients send requests")
def stop_servers(context):
    for server in SERVERS:
        context.platform.pause(server)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        for entry in platform.ENTRIES * 8:
            pool.submit(
                context.platform.request,
                entry,
                "/safe/a",
                platform.KEY,
                headers={"X-Deadline-Ms": STANDSTILL_MS},
            )
    for server in SERVERS:
        context.platform.resume(server)
    for entry in platform.ENTRIES:
        processes.wait_until(
            lambda one=entry: not context.platform.running[one].is_running()
            or context.platform.request(one, "/safe/a", platform.KEY).status
            == 200,
            what=f"an answer at {entry}",
        )


@behave.then('the servers were asked for "{target}"')
def check_target(context, target):
    targets_asked = {one["target"] for one in context.platform.list_effects()}
    assert target in targets_asked, targets_asked


@behave.then('the health path "{path}" is sent as "{target}"')
def check_encoded(context, path, target):
    assert targets.encode_path(path) == target


@behave.then('the health path "" is sent as "{target}"')
def check_empty(context, target):
    assert targets.encode_path("") == target


@behave.then(
    "a document with a lone surrogate in the name of account {number:d} is "
    'refused, and the error names "{path}"'
)
def check_surrogate(context, number, path):
    document = json.loads(platforms.make_document(2))
    document["Tenants"] *= number
    document["Tenants"][-1] = {"Name": "a\ud800", "ApiKeys": ["other"]}
    (fault,) = documents.list_faults(json.dumps(document).encode())
    assert path in fault, fault


@behave.given(
    'a document with the keys "{first}", "{second}" and "{third}" of three '
    "accounts"
)
def read_keys(context, first, second, third):
    document = json.loads(platforms.make_document(2))
    document["Tenants"] = [
        {"Name": f"of {key}", "ApiKeys": [key]}
        for key in (first, second, third)
    ]
    context.keys = (first, second, third)
    context.routing = documents.read(json.dumps(document).encode())


def find_account(context, key):
    """Return the account of a client that sends a key."""
    encoding = "latin-1" if max(key) <= "\xff" else "utf-8"
    value = f"Bearer {key}".encode(encoding)
    pairs = [("host", "h"), ("authorization", value)]
    client, server = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
    request = h11.Request(method="GET", target="/safe/a", headers=pairs)
    server.receive_data(client.send(request))

    async def read():
        return exchanges.Exchange(None, server.next_event())

    arrival = entries.read_arrival(trio.run(read))
    return context.routing.find_account(arrival.key)


@behave.then(
    "a client that sends each key as a header can hold it has its account"
)
def check_keys(context):
    for key in context.keys:
        assert find_account(context, key).name == f"of {key}", key


@behave.then('the key "{key}" that no account has is unknown')
def check_unknown_key(context, key):
    assert find_account(context, key) is None


@behave.then('the label "{value}" appears as "{escaped}" in the metrics')
def check_label(context, value, escaped):
    counts = metrics.Metrics()
    counts.add("requests_total", route=read_escapes(value))
    assert f'{{route="{escaped}"}} 1' in counts.render(), counts.render()


@behave.given('an upstream of the service "{service}"')
def set_service(context, service):
    context.service = service


@behave.when("a {kind} request is sent to it, {way}")
def send_to_service(context, kind, way):
    context.upstream = routers.ScriptedUpstream(1)

    async def run():
        async with trio.open_nursery() as nursery:
            port = await ways.open_way(
                nursery, [context.upstream], kind, way, collections.Counter()
            )
            context.answer = await endings.exchange(port)
            nursery.cancel_scope.cancel()

    with unittest.mock.patch.object(routers, "SERVICE", context.service):
        trio.run(run)


@behave.then("the upstream has answered it")
def check_service(context):
    assert context.answer[0] == 200, context.answer
    assert context.upstream.requests == ["r1"], context.upstream.requests


@behave.then(
    "each of {count:d} drawn names of services is read as it was sent"
)
def check_handed_over(context, count):
    @hypothesis.settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis.given(
        strategies.one_of(
            strategies.text(max_size=8),
            strategies.sampled_from(NAMES),
            strategies.text(max_size=4).map(header_codec.encode_word),
        )
    )
    def check(name):
        value = header_codec.encode_text(name)
        assert header_codec.decode_text(send_value(value)) == name

    check()
