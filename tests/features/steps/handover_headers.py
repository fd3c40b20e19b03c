"""Step definitions for external headers beside those of instances."""

import collections
import types
import unittest.mock

import behave
import h11
import hypothesis
from hypothesis import strategies
import trio

from camphorhook_common import logs
from camphorhook_daemon.adapters import connection_pool
from camphorhook_daemon.adapters import exchanges
from camphorhook_daemon.adapters import handover
from camphorhook_daemon.adapters import handover_headers
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.platform import entry
from camphorhook_daemon.platform import protocol
from camphorhook_daemon.ports import upstreams as ports
from tests.harness import routers
from tests.harness import ways

TIMEOUT_SECONDS = 30.0
DEADLINE_MS = 5000
UPSTREAMS = 2
OWN_HEADERS = sorted(
    value
    for value in vars(handover).values()
    if isinstance(value, str)
    and value.startswith(handover.PREFIX)
    and value != handover.PREFIX
)
# Of an own header, values that it would matter to take for the instance's.
VALUES = {
    handover.AFTER: ("7",),
    handover.DEADLINE_MS: ("1", "900000"),
    handover.EXCLUDED: ("upstream-1,upstream-2",),
    handover.KEY: ("other-key", "unknown"),
    handover.REFUSAL: ("cut off", "other"),
    handover.REQUEST: ("another",),
    handover.SERVICE: ("elsewhere",),
    handover.VERSION: ("9.9",),
}
FOREIGN_VALUE = "9-of-client"
EVENTS = b"".join(b"id: %d\ndata: event\n\n" % n for n in (1, 2, 3, 4, 5))
OTHER_VALUES = ("99",)
HANDED_OVER = [
    (handover.REQUEST, "r1"),
    (handover.KEY, "key"),
    (handover.DEADLINE_MS, str(DEADLINE_MS)),
    (handover.PARTS, ""),
    (handover.AFTER, ""),
    (handover.SENDS, "0"),
    (handover.RUNS, "0"),
    (handover.SERVICE, routers.SERVICE),
    (handover.EXCLUDED, ""),
]


def list_external():
    """Return lists of headers, each with one name and value of an own one."""
    return [
        [(form, value)] * times
        for name in OWN_HEADERS
        for value in VALUES.get(name, OTHER_VALUES)
        for form, times in ((name, 1), (name.title(), 1), (name.upper(), 2))
    ]


async def exchange(port, headers, request):
    """Send a POST request; return its status, headers and body.

    Args:
        port: of the instance's listener.
        headers: (name, value) pairs, sent as they are written.
        request: id of the request.
    """
    lines = [
        ("Host", "host"),
        *headers,
        ("X-Request-Id", request),
        ("Authorization", "Bearer key"),
        ("X-Deadline-Ms", str(DEADLINE_MS)),
        ("Content-Length", "0"),
    ]
    text = "".join(f"{name}: {value}\r\n" for name, value in lines)
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="POST", target="/", headers=lines))
    http.send(h11.EndOfMessage())
    head, body = None, b""
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(f"POST / HTTP/1.1\r\n{text}\r\n".encode())
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
    found = [(name.decode(), value.decode()) for name, value in head.headers]
    return head.status_code, found, body


def pick(headers, name):
    """Return the values of a header, in any case of its name."""
    return [value for key, value in headers if key.lower() == name.lower()]


@behave.given("upstreams that answer each request")
def make_upstreams(context):
    context.upstreams = [
        routers.ScriptedUpstream(number + 1) for number in range(UPSTREAMS)
    ]
    for upstream in context.upstreams:
        upstream.body = EVENTS


def list_heads(context, request):
    """Return the headers of each run of a request."""
    return [
        head
        for upstream in context.upstreams
        for name, head in zip(upstream.requests, upstream.heads, strict=True)
        if name == request
    ]


@behave.when(
    "a client sends each of these headers with {kind} requests, {way}"
)
def send_each(context, kind, way):
    run_each(context, kind, way, exchange)


def run_each(context, kind, way, ask):
    """Send a request for each of `list_external`; keep it with its answer.

    Args:
        context: behave's context, with the upstreams.
        kind: one of ways.KINDS.
        way: one of ways.WAYS.
        ask: async function of a port, headers and a request's id, which
            returns what `exchange` does.
    """
    context.sent = {}

    async def run():
        async with trio.open_nursery() as nursery:
            port = await ways.open_way(
                nursery, context.upstreams, kind, way, collections.Counter()
            )
            with trio.fail_after(TIMEOUT_SECONDS):
                for number, headers in enumerate(list_external()):
                    request = f"r{number}"
                    answer = await ask(port, headers, request)
                    context.sent[request] = headers, answer
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("each request is answered, and ran once as the client asked")
def check_runs(context):
    wrong = []
    for request, (headers, (status, _, body)) in context.sent.items():
        heads = list_heads(context, request)
        ran = [
            pick(head, protocol.TENANT) == ["account"]
            and int(pick(head, protocol.DEADLINE_MS)[0]) <= DEADLINE_MS
            and not pick(head, protocol.LAST_EVENT_ID)
            for head in heads
        ]
        if status != 200 or body != EVENTS or ran != [True]:
            wrong.append((headers, status, heads))
    assert context.sent
    assert not wrong, (len(wrong), len(context.sent), wrong[:3])


@behave.then("upstreams got the header as the client sent it")
def check_passed_on(context):
    for request, (headers, _) in context.sent.items():
        head = list_heads(context, request)[0]
        got = [pair for pair in head if pair[0].startswith(handover.PREFIX)]
        sent = [(name.lower(), value) for name, value in headers]
        assert got == sent, (sent, got)


@behave.when(
    "a client sends {name} in each case of letters, as a header and as a "
    "trailer, with bookings {way}"
)
def send_reserved(context, name, way):
    context.answers = []

    async def run():
        async with trio.open_nursery() as nursery:
            port = await ways.open_way(
                nursery,
                context.upstreams,
                "booking",
                way,
                collections.Counter(),
            )
            with trio.fail_after(TIMEOUT_SECONDS):
                for form in (name, name.lower(), name.upper()):
                    for place in ("first", "last", "trailer"):
                        request = f"r{len(context.answers)}"
                        status = await send_chunked(port, request, form, place)
                        context.answers.append((request, status))
            nursery.cancel_scope.cancel()

    trio.run(run)


async def send_chunked(port, request, name, place):
    """Send a request in chunks with one more header; return the status.

    Args:
        port: of the instance's listener.
        request: id of the request.
        name: name of the header, whose value is FOREIGN_VALUE.
        place: `first` or `last` among the headers, or `trailer`.
    """
    more = f"{name}: {FOREIGN_VALUE}\r\n"
    usual = (
        f"Host: host\r\nX-Request-Id: {request}\r\n"
        f"Authorization: Bearer key\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
        "Transfer-Encoding: chunked\r\n"
    )
    heads = {"first": more + usual, "last": usual + more, "trailer": usual}
    end = more if place == "trailer" else ""
    text = f"POST / HTTP/1.1\r\n{heads[place]}\r\n1\r\nb\r\n0\r\n{end}\r\n"
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(text.encode())
        return int((await stream.receive_some()).split()[1])


@behave.then("each is answered, and upstreams got no value of the client's")
def check_reserved(context):
    # The first Authorization or deadline counts, and may be no valid one.
    for request, status in context.answers:
        assert status in (200, 401), (request, status)
    heads = [head for one in context.upstreams for head in one.heads]
    assert len(heads) >= len(context.answers) * 2 / 3
    for head in heads:
        assert not [pair for pair in head if FOREIGN_VALUE in pair[1]], head


@behave.when(
    "they add each of these headers to answers to {kind} requests, {way}"
)
def answer_each(context, kind, way):
    async def ask(port, headers, request):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        for upstream in context.upstreams:
            upstream.headers = lines
        return await exchange(port, [], request)

    run_each(context, kind, way, ask)


@behave.then("clients got the header as the upstream sent it")
def check_returned(context):
    for headers, (_, found, _) in context.sent.values():
        got = [pair for pair in found if pair[0].startswith(handover.PREFIX)]
        sent = [(name.lower(), value) for name, value in headers]
        assert got == sent, (sent, got)


@behave.given(
    'an instance of an older build that answers with the {name} "{value}" '
    "and its version"
)
def make_older_instance(context, name, value):
    context.gateway = gateway = routers.ScriptedUpstream(1)
    gateway.body = EVENTS
    gateway.headers = (
        f"{handover.PREFIX}{name}: {value}\r\n{handover.VERSION}: v1\r\n"
    )


@behave.when("a client sends a {kind} request that is handed over to it")
def send_to_older_instance(context, kind):
    context.failed_gateways = []

    async def run():
        async with trio.open_nursery() as nursery:
            await routers.start_upstreams(nursery, [context.gateway])
            front = ways.make_router([], kind)
            front.use_gateway(context.gateway.port)
            front.gateways.record_failure = context.failed_gateways.append
            await front.open(nursery)
            port = await front.listen(nursery)
            with trio.fail_after(TIMEOUT_SECONDS):
                context.answer = await exchange(port, [], "r1")
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("it is answered {status:d} after {count:d} hand-overs")
def check_handed_over_to(context, status, count):
    assert context.answer[0] == status, context.answer
    assert len(context.gateway.requests) == count, context.gateway.requests


@behave.then("the instance is not taken to have failed")
def check_not_failed(context):
    assert not context.failed_gateways, context.failed_gateways


def change_headers(how):
    """Return the headers of a booking that is handed over, changed.

    Args:
        how: `without any header of its own`, or `with NAME PLACE`, where the
            place is `first`, `last` or, for one that is there, `twice`.
    """
    if how.startswith("without"):
        return []
    _, name, place = how.split()
    more = [(name, "99")]
    return more + HANDED_OVER if place == "first" else HANDED_OVER + more


@behave.when("an instance hands a booking over {how}")
def hand_over(context, how):
    headers = change_headers(how)
    context.logged = []

    def log(level, text, **fields):
        context.logged.append(text)

    async def run():
        async with trio.open_nursery() as nursery:
            router = ways.make_router(context.upstreams, "booking")
            await router.open(nursery)
            port = await router.listen(nursery, handover)
            with trio.fail_after(TIMEOUT_SECONDS):
                with unittest.mock.patch.object(logs, "log", log):
                    context.answer = await exchange(port, headers, "r1")
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then('it is refused as not sent, and the log says "{reason}"')
def check_refused(context, reason):
    status, headers, body = context.answer
    assert status == 503, context.answer
    assert pick(headers, handover.REFUSAL) == ["other"], headers
    assert not list_heads(context, "r1")
    assert reason in body.decode(), body
    assert any(reason in text for text in context.logged), context.logged


@behave.then(
    'a request that must not go to "{first}", "{second}" and "{third}" is '
    "read as it was handed over"
)
def check_excluded(context, first, second, third):
    check_handed_over([], (first, second, third))


@behave.then("each of {count:d} drawn requests is read as it was handed over")
def check_drawn(context, count):
    names = strategies.one_of(
        strategies.sampled_from(OWN_HEADERS),
        strategies.sampled_from(
            ("x-tenant", "x-request-id", "cookie", handover.PREFIX)
        ),
        strategies.from_regex(r"\A[a-z!#$%&'*+.^_`|~-]{1,12}\Z"),
    )
    names = strategies.one_of(
        names,
        names.map(lambda name: handover.PREFIX + name),
        names.map(lambda name: handover_headers.EXTERNAL_PREFIX + name),
    )
    cased = strategies.tuples(
        names, strategies.sampled_from((str.lower, str.upper, str.title))
    ).map(lambda drawn: drawn[1](drawn[0]))
    values = strategies.one_of(
        strategies.sampled_from(("1", "cut off", "other-key", "")),
        strategies.from_regex(r"\A([!-~]([ -~]{0,8}[!-~])?)?\Z"),
    )
    # Names of registrations may have any printable character of Latin-1.
    upstreams = strategies.one_of(
        names,
        strategies.text(strategies.sampled_from("a,%2C5\xe9"), min_size=1),
    )
    pairs = strategies.lists(strategies.tuples(cased, values), max_size=12)

    @hypothesis.settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis.given(pairs, strategies.lists(upstreams, max_size=3))
    def check(headers, excluded):
        check_handed_over(headers, tuple(excluded))

    check()


def check_handed_over(headers, excluded):
    """Check that a request is read as it was handed over.

    Args:
        headers: (name, value) pairs of the client, in any case of letters.
        excluded: names of upstreams.
    """
    arrival = entry.read_arrival(send([("host", "host"), *headers]))
    request = types.SimpleNamespace(
        headers=arrival.headers,
        request="r1",
        key="key",
        parts=(("part", 7),),
        hint=arrival.hint,
    )
    sent = attempts.Handover(1, 2, routers.SERVICE, "v1", excluded)
    own = handover.make_headers(request, 3.0, "41", sent)
    handed_over = send(own)
    read = handover.read_arrival(handed_over)
    progress = handover.make_progress(handed_over)
    assert read.headers == arrival.headers, (read.headers, arrival.headers)
    assert (read.request, read.key, read.deadline) == ("r1", "key", 3.0)
    assert (read.parts, read.resume_after) == (request.parts, "41")
    assert progress.make_handover(routers.SERVICE) == sent._replace(
        excluded=tuple(progress.excluded)
    )
    assert progress.excluded == set(excluded)


def send(headers):
    """Return the Exchange that a listener reads of a request with headers.

    Args:
        headers: (name, value) pairs, with that of the host.
    """
    call = ports.Call("POST", "/", headers, b"", 1.0)
    event = connection_pool.make_request(call, target=None)
    server = h11.Connection(h11.SERVER)
    server.receive_data(h11.Connection(h11.CLIENT).send(event))
    read = server.next_event()

    async def make():
        return exchanges.Exchange(None, read)

    return trio.run(make)
