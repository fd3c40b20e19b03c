"""Step definitions for answers that upstreams write once more."""

import collections
import random

import behave
import trio

from tests.harness import routers

SEED = 39
REFUSED_SHARE = 0.25  # of the requests that an upstream gets
RUN_SECONDS = (0.005, 0.15)
DELAY_SECONDS = (0.1, 2.0)
LARGE_BODY = b"x" * 4_000_000  # exceeds what the sockets hold
CLIENTS = 20
UPSTREAMS = 3
PROMISES = (408, 421, 429, 503)  # the request has not run
LIMIT_SECONDS = 60.0


class RepeatingUpstream(routers.ScriptedUpstream):
    """An upstream that writes an answer of each connection once more.

    Attributes:
        kind: which answer, `refusal` or `success`.
        has_id: whether the copy has the request id.
        moment: when it is written, as the steps name it.
        runs: number of runs by request id; the upstreams share it.
        copies: number of copies written so far.
    """

    def __init__(self, number, kind, has_id, moment, runs):
        super().__init__(number)
        self.kind = kind
        self.has_id = has_id
        self.moment = moment
        self.runs = runs
        self.copies = 0
        self._random = random.Random(f"{SEED}-{number}")

    async def serve(self, stream):
        """Answer the requests of one connection."""
        lock = trio.Lock()
        copy = None

        async def write(data):
            async with lock:
                await stream.send_all(data)

        async def write_copy(delay=0.0):
            await trio.sleep(delay)
            self.copies += 1
            try:
                await write(copy)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

        try:
            async with stream, trio.open_nursery() as nursery:
                data = b""
                while True:
                    while b"\r\n\r\n" not in data:
                        data += await _receive(stream)
                    head, _, data = data.partition(b"\r\n\r\n")
                    if copy and self.moment == "while one is sent":
                        await write_copy()
                        copy = None
                    request, length = _read_head(head)
                    left = length - len(data)
                    while left > 0:
                        left -= len(await _receive(stream))
                    data = b""
                    kind = "success"
                    if self._random.random() < REFUSED_SHARE:
                        kind = "refusal"
                    else:
                        self.runs[request] += 1
                        if copy and self.moment == "while one runs":
                            await write_copy()
                            copy = None
                        await trio.sleep(self._random.uniform(*RUN_SECONDS))
                    await write(_make_answer(kind, request, True))
                    if kind != self.kind or copy:
                        continue
                    copy = _make_answer(kind, request, self.has_id)
                    if self.moment == "at once":
                        await write_copy()
                        copy = None
                    elif self.moment == "later":
                        delay = self._random.uniform(*DELAY_SECONDS)
                        nursery.start_soon(write_copy, delay)
        except* (trio.BrokenResourceError, EOFError):
            pass


async def _receive(stream):
    piece = await stream.receive_some(1 << 18)
    if not piece:
        raise EOFError
    return piece


def _read_head(head):
    """Return the id and the length of the body of a request."""
    lines = head.decode().lower().splitlines()[1:]
    fields = dict(line.split(": ", 1) for line in lines)
    length = int(fields.get("content-length", 0))
    return fields.get("x-request-id", ""), length


def _make_answer(kind, request, has_id):
    head = "HTTP/1.1 200 OK\r\n"
    if kind == "refusal":
        head = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
    if has_id:
        head += f"X-Request-Id: {request}\r\n"
    return f"{head}Content-Length: {len(request)}\r\n\r\n{request}".encode()


@behave.given("upstreams that write a {kind} {identity} once more {moment}")
def set_repeating(context, kind, identity, moment):
    context.runs = collections.Counter()
    context.upstreams = [
        RepeatingUpstream(
            number, kind, identity == "with its id", moment, context.runs
        )
        for number in range(1, UPSTREAMS + 1)
    ]
    context.body = LARGE_BODY if moment == "while one is sent" else None


@behave.when("{count:d} {kind} requests are sent on kept connections")
def send_requests(context, count, kind):
    context.is_repeatable = kind == "repeatable"
    context.clients = {}

    async def send_some(router, numbers):
        for _ in numbers:
            client = routers.Client()
            request = router.predict_id()
            context.clients[request] = client
            await router.send(client, body=context.body)

    async def run():
        with trio.fail_after(LIMIT_SECONDS):
            async with trio.open_nursery() as nursery:
                router = routers.Router(UPSTREAMS, False)
                router.upstreams = context.upstreams
                router.route = router.route._replace(
                    is_idempotent=context.is_repeatable
                )
                await router.open(nursery)
                numbers = iter(range(count))
                async with trio.open_nursery() as clients:
                    for _ in range(CLIENTS):
                        clients.start_soon(send_some, router, numbers)
                nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("none runs twice or is refused after its run, or gets another's")
def check_requests(context):
    copies = sum(one.copies for one in context.upstreams)
    results = collections.Counter()
    for request, client in context.clients.items():
        runs = context.runs[request]
        results[client.status] += 1
        if not context.is_repeatable:
            results["ran twice"] += runs > 1
            results["refused after a run"] += (
                client.status in PROMISES and runs > 0
            )
        if client.status == 200:
            results["another's"] += client.body.decode() != request
    bad = [results[one] for one in ("ran twice", "refused after a run")]
    bad.append(results["another's"])
    assert not any(bad), (copies, results)
    assert copies >= 20, (copies, results)
    assert results[200] > len(context.clients) / 2, (copies, results)
