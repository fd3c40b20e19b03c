"""Models of the network between instances and servers."""

import collections
import contextlib
import math
import typing

import trio

from camphorhook_common import errors
from camphorhook_daemon.domain.routing import answer_relay
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import gateways
from camphorhook_daemon.ports import upstreams as ports
from tools.emulator import servers

CONNECT_TIMEOUT_SECONDS = 0.5  # as in the product's pool


class ResponseHead(typing.NamedTuple):
    """The head of an answer.

    Attributes:
        status: HTTP status.
        has_run: whether the server ran the request.
        load: the server's (running, waiting) requests.
        limit: requests per second that it takes; inf if it names no limit.
        is_brittle: it falls over if it has to turn requests away.
        slowdown: factor of the time that work takes; None if not reported.
    """

    status: int
    has_run: bool
    load: tuple[int, int]
    limit: float
    is_brittle: bool
    slowdown: float | None = None

    def is_event_stream(self):
        """Return whether the answer is a stream, as all that succeed are."""
        return self.status < 300

    def describe_framing(self):
        """Return what marks the end of the answer."""
        return "chunks"


class Protocol:
    """Passes values to and from the models in place of HTTP headers."""

    def make_headers(self, request, target, left, resume_after, source=None):
        """Return the request's priority and the engine to copy from."""
        return [("priority", request.priority), ("source", source)]

    def read_head_info(self, head):
        """Return the attempts.HeadInfo of a ResponseHead."""
        return attempts.HeadInfo(
            head.has_run,
            False,
            head.load,
            limit=head.limit,
            is_brittle=head.is_brittle,
            slowdown=head.slowdown,
        )

    def pick_response_headers(self, head):
        """Return no headers."""
        return []


class Pool:
    """Sends the requests of an instance to servers.

    Attributes:
        jobs: functions that create the servers.Job, by request id.
        arrivals: number of requests that reached servers, by service.
        heard_at: time in seconds by server at which bytes last arrived.
        is_cut: no packet to or from a server arrives.
    """

    def __init__(self, domain, all_servers, get_delay, arrivals):
        self._domain = domain
        self._servers = all_servers
        self._get_delay = get_delay
        self._healed = trio.Event()
        self.arrivals = arrivals
        self.jobs = {}
        self.heard_at = {}
        self.is_cut = False

    def cut(self):
        """Lose all packets to and from servers, until `heal`."""
        self.is_cut = True
        self._healed = trio.Event()

    def heal(self):
        """Deliver packets again, with those that were lost."""
        self.is_cut = False
        self._healed.set()

    async def wait_link(self):
        """Wait until packets arrive."""
        while self.is_cut:
            await self._healed.wait()

    def record_bytes(self, server):
        """Record that bytes of a server arrived."""
        self.heard_at[server] = trio.current_time()

    async def probe(self, registration, seconds):
        """Return whether a server answers within some seconds."""
        server = self._servers[registration.name]
        with trio.move_on_after(seconds):
            await self.wait_link()
            await trio.sleep(2 * self._get_delay(self._domain, server.domain))
            if server.is_up:
                self.record_bytes(server.name)
            return server.is_up
        return False

    def close_idle(self):
        """Do nothing: the model has no idle connections."""

    def close_idle_to(self, upstream):
        """Do nothing: the model has no idle connections."""

    @contextlib.asynccontextmanager
    async def open(self, target, call):
        """Send a request and yield its Answer, as the product's pool does.

        Args:
            target: the wire.Registration of the server.
            call: the ports.Call.

        Raises:
            AttemptError: the server is down, crashed, or did not answer in
                time.
        """
        server = self._servers[target.name]
        delay = self._get_delay(self._domain, server.domain)
        await trio.sleep(delay)
        with trio.move_on_after(CONNECT_TIMEOUT_SECONDS) as connecting:
            await self.wait_link()
        if connecting.cancelled_caught or not server.is_up:
            raise ports.AttemptError(
                "connection failed",
                step="connect",
                peer=target.name,
                sent=False,
                is_first_use=True,
            )
        self.arrivals[server.spec.name] += 1
        headers = dict(call.headers)
        job = self.jobs[call.request_id](headers)
        if headers["source"] is not None:
            job.source = self._servers[headers["source"].name]
        answer = Answer(target.name, server, job, delay, self)
        call.find_obstacle()
        try:
            with trio.move_on_after(call.read_timeout_seconds) as silence:
                await answer.start()
            if silence.cancelled_caught:
                raise answer.fail("no answer in time", connection_broken=False)
            yield answer
        finally:
            server.drop(job)


class Answer:
    """An answer that is being received, as from the product's pool."""

    def __init__(self, upstream, server, job, delay, pool):
        self._pool = pool
        self.is_first_use = True
        self.upstream = upstream
        self.head = None
        self._server = server
        self._job = job
        self._delay = delay
        self._first = None

    def fail(self, text, connection_broken=True):
        """Return the AttemptError of an answer that failed."""
        return ports.AttemptError(
            text,
            step="read answer",
            peer=self.upstream,
            sent=True,
            connection_broken=connection_broken,
        )

    async def start(self):
        """Submit the request and wait for the first event of its answer."""
        try:
            self._server.submit(self._job)
        except servers.ServerFull:
            await trio.sleep(self._delay)
            await self._pool.wait_link()
            self._pool.record_bytes(self.upstream)
            self.head = self._make_head(503, False, self._server.count_load())
            self._job.end()
            return
        except servers.ServerCrashed as error:
            raise self.fail("connection reset by the server") from error
        self._first = await self._receive()
        load = self._server.count_load()
        await trio.sleep(self._delay)
        self._pool.record_bytes(self.upstream)
        self.head = self._make_head(200, True, load)

    def _make_head(self, status, has_run, load):
        period = self._server.limit
        limit = math.inf if period is None else period.rate
        is_brittle = self._server.brittle is not None
        slowdown = None
        if self._server.spec.reports_speed:
            slowdown = self._server.slowdown / self._server.base_slowdown
        return ResponseHead(status, has_run, load, limit, is_brittle, slowdown)

    async def _receive(self):
        try:
            made = await self._job.events.receive()
        except trio.EndOfChannel:
            return b""
        await self._pool.wait_link()
        if isinstance(made, servers.ServerCrashed):
            raise self.fail("connection reset by the server")
        self._pool.record_bytes(self.upstream)
        version = self._server.version
        return f"id: {made}\nevent: {version}\ndata: x\n\n".encode()

    async def read_chunk(self):
        """Return the next event, or b"" at the end of the answer."""
        if self._first:
            first, self._first = self._first, None
            return first
        return await self._receive()


class HandoverProtocol:
    """Passes values between instances in place of HTTP headers."""

    def make_headers(self, request, left, resume_after, handover):
        """Return the request, and what is handed over with it."""
        rest = request._replace(resume_after=resume_after)
        return [("request", rest), ("handover", handover)]

    def read_outcome(self, head):
        """Return the gateways.Outcome of an answer's head, which it is."""
        return head.outcome

    def pick_response_headers(self, head):
        """Return no headers."""
        return []


class _GatewayHead(typing.NamedTuple):
    """The head of an answer by way of an instance."""

    status: int
    outcome: gateways.Outcome

    def is_event_stream(self):
        """Return whether the answer is a stream, as all that succeed are."""
        return self.status < 300

    def describe_framing(self):
        """Return what marks the end of the answer."""
        return "chunks"


class _GatewayReply:
    """Passes the answer of a gateway on; read as an answer, too."""

    def __init__(self, gateway, progress, delay):
        self.upstream = gateway
        self.head = None
        self.has_head = trio.Event()
        self.is_broken = False
        self._progress = progress
        self._delay = delay
        self.sender, self._receiver = trio.open_memory_channel(0)

    def set_head(self, status, failure=None):
        """Begin the answer: an upstream's, or a refusal."""
        upstream = self._progress.upstream
        self.head = _GatewayHead(
            status,
            gateways.Outcome(
                failure is not None,
                failure is not None and failure.is_cut_off,
                upstream.version if upstream else "",
                failure.retry_after if failure else 0.0,
            ),
        )
        self.has_head.set()

    async def start(self, status, headers, length=None):
        """Begin the answer of an upstream."""
        self.set_head(status)

    async def send_chunk(self, data):
        """Pass on a part of the answer, once the last one was read."""
        await self.sender.send(data)

    async def finish(self):
        """End the answer."""
        await self.sender.aclose()

    async def send_answer(self, status, headers, body):
        """Pass on a whole answer."""
        self.set_head(status)
        if body:
            await self.sender.send(body)
        await self.sender.aclose()

    async def read_chunk(self):
        """Return the next part of the answer, or b"" at its end."""
        try:
            data = await self._receiver.receive()
        except trio.EndOfChannel as error:
            if not self.is_broken:
                return b""
            raise ports.AttemptError(
                "the answer broke off",
                step="read answer",
                peer=self.upstream,
                sent=True,
            ) from error
        await trio.sleep(self._delay)
        return data


class GatewayPool:
    """Hands requests over to other instances.

    Attributes:
        handed_over: number of requests by name of the instance.
    """

    def __init__(self, fleet, pool, delay):
        self._fleet = fleet
        self._pool = pool
        self._delay = delay
        self.handed_over = collections.Counter()

    def close_idle_to(self, gateway):
        """Do nothing: the model has no idle connections."""

    @contextlib.asynccontextmanager
    async def open(self, gateway, call):
        """Hand a request over and yield its answer."""
        headers = dict(call.headers)
        request, handover = headers["request"], headers["handover"]
        other = self._fleet.find_instance(gateway.name)
        call.find_obstacle()
        await trio.sleep(self._delay)
        self.handed_over[gateway.name] += 1
        progress = attempts.Progress(request.resume_after, handover)
        reply = _GatewayReply(gateway.name, progress, self._delay)
        other.pool.jobs[call.request_id] = self._pool.jobs[call.request_id]

        async def forward():
            try:
                failure = await other.forwarder.forward(
                    request, reply, progress
                )
            except answer_relay.StreamBroken:
                failure, reply.is_broken = None, True
            if failure is not None:
                reply.set_head(failure.status, failure)
            await reply.sender.aclose()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(forward)
            await reply.has_head.wait()
            yield reply
            nursery.cancel_scope.cancel()


class Bus:
    """Carries notices between instances.

    Attributes:
        isolated: names of instances that neither send nor receive notices.
        delivered_messages: number of messages, counted once for each reader.
    """

    def __init__(self, delay_seconds):
        self._delay = delay_seconds
        self._readers = collections.defaultdict(set)
        self._handlers = {}
        self._answerers = {}
        self._nursery = None
        self.isolated = set()
        self.delivered_messages = 0

    def start(self, nursery):
        """Set the nursery that runs the deliveries."""
        self._nursery = nursery

    def join(self, name, handle_message):
        """Connect an instance and return its exchange.

        Args:
            name: of the instance.
            handle_message: function that handles a message.
        """
        self._handlers[name] = handle_message
        return _Exchange(self, name)

    def connect(self, name, answer):
        """Connect an instance and return its Transport.

        Args:
            name: of the instance.
            answer: async function that returns the reply to a message.
        """
        self._answerers[name] = answer
        return Transport(self, name)

    async def call(self, sender, peer, message):
        """Return the reply of an instance to a message.

        Raises:
            errors.UnreachableError: one of the two is isolated.
        """
        if sender != peer:
            await trio.sleep(2 * self._delay)
        if sender != peer and self.isolated & {sender, peer}:
            raise errors.UnreachableError(
                "isolated", step=type(message).__name__, peer=peer
            )
        return await self._answerers[peer](message)

    def follow(self, reader, topic, names):
        """Subscribe a reader to a topic at exactly the named instances."""
        for readers in self._readers.items():
            if readers[0][0] == topic:
                readers[1].discard(reader)
        for name in names:
            if name != reader:
                self._readers[topic, name].add(reader)

    def publish(self, sender, topic, message):
        """Send a message to the sender's subscribers of a topic."""
        if sender in self.isolated:
            return
        readers = self._readers[topic, sender] - self.isolated
        self.delivered_messages += len(readers)
        if readers:
            self._nursery.start_soon(self._deliver, message, readers)

    async def _deliver(self, message, readers):
        await trio.sleep(self._delay)
        for reader in sorted(readers):
            self._handlers[reader](message)


class _Exchange:
    """The exchange of an instance on a Bus; see ports.notices."""

    def __init__(self, bus, name):
        self._bus = bus
        self._name = name

    def follow(self, topic, names):
        """Subscribe to a topic at exactly the named instances."""
        self._bus.follow(self._name, topic, names)

    def publish(self, topic, message):
        """Send a message to the subscribers of a topic."""
        self._bus.publish(self._name, topic, message)


class Transport:
    """Sends the messages of one instance over a Bus."""

    def __init__(self, bus, name):
        self._bus = bus
        self._name = name

    async def call(self, peer, message, timeout):
        """Return the reply to a message; see Bus.call."""
        return await self._bus.call(self._name, peer, message)
