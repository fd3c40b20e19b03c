"""Steps of malformed input, drawn by hypothesis."""

import json
import random

import behave
import h11
import hypothesis
from hypothesis import strategies
import trio

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import wire
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.adapters import listeners
from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.platform import documents
from camphorhook_daemon.platform import entry
from camphorhook_daemon.platform import protocol
from camphorhook_daemon.platform import registrations
from camphorhook_daemon.ports import upstreams as ports
from tests.features.steps import connections
from tests.harness import platforms

TOKENS = (
    b"Content-Length: 3\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Host: other\r\n",
    b"Connection: host\r\n",
    b" folded: x\r\n",
    b"\r\n",
    b"\n",
    b"\x00",
    b"\xff",
    b": ",
    b"GET / HTTP/9.9\r\n",
)
MOST_SECONDS = 60.0
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(allow_nan=False),
    strategies.text(max_size=8),
    strategies.just([]),
    strategies.just({}),
    strategies.sampled_from((2**63, 2**64, -(2**63) - 1, 1e308, 1e-320)),
)
WHOLE_HEAD = {"host": "h.example", "authorization": "Bearer key-1"}
REGISTRATION = {
    "Service": "plain",
    "Address": "10.1.2.3:8080",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 4,
    "born": 1700000000000,
}


def spoil_bytes(data, draw):
    """Return bytes with one to four faults."""
    data = bytearray(data)
    for _ in range(draw.randint(1, 4)):
        at = draw.randrange(len(data) + 1)
        kind = draw.randrange(4)
        if kind == 0:
            data[at:at] = draw.choice(TOKENS)
        elif kind == 1:
            del data[at : at + draw.randint(1, 6)]
        elif kind == 2 and at < len(data):
            data[at] = draw.randrange(256)
        else:
            data[at:at] = data[: draw.randint(0, 20)]
    return bytes(data)


def list_places(value):
    """Return (container, key) of everything inside a JSON value."""
    pairs = []
    if isinstance(value, dict):
        pairs = list(value)
    elif isinstance(value, list):
        pairs = list(range(len(value)))
    found = [(value, key) for key in pairs]
    for key in pairs:
        found += list_places(value[key])
    return found


@strategies.composite
def spoil_json(draw, value):
    """Draw a JSON value with some of its parts replaced or left out."""
    value = json.loads(json.dumps(value))
    for _ in range(draw(strategies.integers(1, 3))):
        places = list_places(value)
        if not places:
            break
        container, key = draw(strategies.sampled_from(places))
        if isinstance(container, dict) and draw(strategies.booleans()):
            del container[key]
        else:
            container[key] = draw(SCALARS)
    return value


def check_each(count, strategy, check):
    """Check drawn values; the same ones in every run."""
    hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )(hypothesis.given(strategy)(check))()


@behave.when(
    "{count:d} requests with faults drawn from seed {seed:d} reach a server"
)
def send_spoiled(context, count, seed):
    draw = random.Random(seed)

    async def act(server):
        answers = []
        for _ in range(count):
            sent = spoil_bytes(connections.GOOD, draw)
            try:
                stream = await server.connect(sent)
                await stream.send_eof()
            except trio.BrokenResourceError:
                continue
            answers.append((sent, await connections.read_all(stream)))
            await stream.aclose()
        last = await server.connect(connections.GOOD)
        return answers, await last.receive_some()

    connections.run_with_server(context, act, MOST_SECONDS, checks_body=False)


def read_statuses(data):
    """Return the statuses of answers; raises if they are no HTTP."""
    http = h11.Connection(h11.CLIENT)
    statuses = []
    http.send(h11.Request(method="POST", target="/", headers=[("host", "h")]))
    http.send(h11.EndOfMessage())
    http.receive_data(data)
    http.receive_data(b"")
    while True:
        event = http.next_event()
        if isinstance(event, h11.Response):
            statuses.append(event.status_code)
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            return statuses


@behave.then("each got a proper answer or none, and a good one still gets 200")
def check_spoiled(context):
    answers, last = context.outcome
    assert last.startswith(b"HTTP/1.1 200"), last
    for sent, data in answers:
        for status in read_statuses(data) if data else ():
            assert status == 200 or 400 <= status < 500, (sent, data)


@behave.then(
    "each of {count:d} documents with drawn faults is read, or refused with "
    "a sentence"
)
def check_documents(context, count):
    whole = json.loads(platforms.make_document(7))

    def check(value):
        body = json.dumps(value).encode()
        faults = documents.list_faults(body)
        try:
            table = documents.read(body)
        except documents.DocumentError as error:
            assert faults and error.message == faults[0], faults
            return
        assert not faults, faults
        # What is acknowledged must fit into the log.
        commands.encode(commands.ImportDocument(table.version, b"", 0.0))

    check_each(count, spoil_json(whole), check)


@behave.then(
    "each of {count:d} registrations with drawn faults is read and can be "
    "told, or is refused"
)
def check_registrations(context, count):
    def check(value):
        body = json.dumps(value).encode()
        try:
            one = registrations.read("server", body)
        except errors.CamphorhookError as error:
            assert error.message
            return
        reply = wire.UpstreamsReply("e", 1, True, [one], [], 0, None, 0)
        wire.encode(reply)
        assert one.address == "10.1.2.3" and 0 < one.port < 65536, one

    check_each(count, spoil_json(REGISTRATION), check)
    # Few draws hit on an address that is nearly one.
    for address in ("host:80", "10.1.2.3:0", "10.1.2:80", "::1:80"):
        check({**REGISTRATION, "Address": address})


def read_request(headers):
    """Return the Exchange of a request; None where h11 refuses it."""
    lines = [
        f"{name}: {value}\r\n".encode("latin-1")
        for name, value in dict(reversed(headers)).items()
    ]
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"POST /safe/a HTTP/1.1\r\n" + b"".join(lines) + b"\r\n")
    try:
        return listeners.Exchange(None, http.next_event())
    except h11.RemoteProtocolError:
        return None


@behave.then(
    "each of {count:d} requests with drawn headers is read, or refused with "
    "a status"
)
def check_headers(context, count):
    table = documents.read(platforms.make_document(7))
    app = entry.EntryApp(None, FixedRules(table), None)
    text = strategies.text(
        strategies.characters(min_codepoint=32, max_codepoint=255),
        max_size=20,
    )
    numbers = strategies.sampled_from(
        ("inf", "-1", "nan", "1e999", "0", "9" * 30, "\xb2", "1_0", "0x1")
    )
    names = strategies.sampled_from(
        (
            "authorization",
            "host",
            protocol.DEADLINE_MS,
            protocol.PROMPT_PREFIX,
            protocol.LAST_EVENT_ID,
            "connection",
        )
    )
    values = strategies.one_of(text, numbers)

    def check(drawn):
        request = read_request([*drawn.items(), *WHOLE_HEAD.items()])
        if request is None:
            return
        found = app._read_request(request)
        if isinstance(found, forwarding.Failure):
            assert found.status in (401, 404, 503), found
            return
        left = found.deadline - request.received_at
        assert left <= found.route.timeout, found
        target = connections.Target(80)
        headers = protocol.make_headers(found, target, left, "1")
        call = ports.Call("POST", "/", headers, b"", 1.0)
        connection_pool.make_request(call, target)

    async def run():
        check_each(
            count, strategies.dictionaries(names, values, max_size=4), check
        )

    trio.run(run)


class FixedRules:
    """Rules that stay as they are."""

    def __init__(self, table):
        self._table = table

    def get_table(self):
        """Return the table."""
        return self._table

    def is_current(self):
        """Tell that keys may be used."""
        return True


@behave.when("a server answers with the header value {value}")
def answer_with_header(context, value):
    headers = [("x-place", value)]

    async def act(server):
        stream = await server.connect(connections.GOOD)
        return await stream.receive_some()

    connections.run_with_server(context, act, headers=headers)


@behave.then("the client gets it in Latin-1: {value}")
def check_header(context, value):
    line = b"x-place: " + value.encode("latin-1") + b"\r\n"
    assert line in context.outcome, context.outcome
