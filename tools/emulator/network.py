"""Models of the links: requests to servers, and notices."""

import collections
import contextlib
import typing

import trio

from camphorhook_daemon.domain.routing import forwarding
from camphorhook_daemon.ports import upstreams as ports
from tools.emulator import servers


class Head(typing.NamedTuple):
    """The head of an answer."""

    status: int
    has_run: bool
    load: tuple[int, int]


class Protocol:
    """Stands in for headers, which the models don't need."""

    def make_headers(self, request, target, left, resume_after, source=None):
        """Return what a model needs: the priority, and whom to copy from."""
        return [("priority", request.priority), ("source", source)]

    def read_head_info(self, head):
        """Return the forwarding.HeadInfo of a Head."""
        return forwarding.HeadInfo(head.has_run, False, head.load)

    def pick_response_headers(self, head):
        """Return no headers."""
        return []


class Pool:
    """Opens requests to servers for one instance.

    Attributes:
        jobs: by request id, how to make its servers.Job.
        arrivals: at servers, by service.
    """

    def __init__(self, domain, all_servers, measure_way, arrivals):
        self._domain = domain
        self._servers = all_servers
        self._measure_way = measure_way
        self.arrivals = arrivals
        self.jobs = {}

    def close_idle_to(self, upstream):
        """Keep no connections."""

    @contextlib.asynccontextmanager
    async def open(self, target, call):
        """Send a request; see the product's ConnectionPool."""
        server = self._servers[target.name]
        way = self._measure_way(self._domain, server.domain)
        await trio.sleep(way)
        if not server.is_up:
            raise ports.AttemptError(
                "refused", step="connect", peer=target.name, sent=False
            )
        self.arrivals[server.spec.name] += 1
        headers = dict(call.headers)
        job = self.jobs[call.request_id](headers)
        if headers["source"] is not None:
            job.source = self._servers[headers["source"].name]
        answer = Answer(target.name, server, job, way)
        try:
            with trio.move_on_after(call.read_timeout_seconds) as silence:
                await answer.start()
            if silence.cancelled_caught:
                raise answer.fail("no answer in time", connection_broken=False)
            yield answer
        finally:
            server.drop(job)


class Answer:
    """A server's answer; see the product's AnswerReader."""

    def __init__(self, upstream, server, job, way):
        self.upstream = upstream
        self.head = None
        self._server = server
        self._job = job
        self._way = way
        self._first = None

    def fail(self, text, connection_broken=True):
        """Return the AttemptError of an answer that did not come."""
        return ports.AttemptError(
            text,
            step="read answer",
            peer=self.upstream,
            sent=True,
            connection_broken=connection_broken,
        )

    async def start(self):
        """Hand the request over and wait for the first of its answer."""
        try:
            self._server.submit(self._job)
        except servers.ServerFull:
            await trio.sleep(self._way)
            self.head = Head(503, False, self._server.count_load())
            self._job.end()
            return
        except servers.ServerLost as error:
            raise self.fail("the connection was reset") from error
        self._first = await self._receive()
        load = self._server.count_load()
        await trio.sleep(self._way)
        self.head = Head(200, True, load)

    async def _receive(self):
        try:
            made = await self._job.events.receive()
        except trio.EndOfChannel:
            return b""
        if isinstance(made, servers.ServerLost):
            raise self.fail("the connection was reset")
        return b"id: %d\ndata: x\n\n" % made

    async def read_chunk(self):
        """Return the next event; b"" at the end."""
        if self._first:
            first, self._first = self._first, None
            return first
        return await self._receive()


class Bus:
    """Carries notices between instances."""

    def __init__(self, way_seconds):
        self._way = way_seconds
        self._readers = collections.defaultdict(set)
        self._adopt = {}
        self._nursery = None
        self.deaf = set()
        self.messages = 0

    def start(self, nursery):
        """Deliver from now on."""
        self._nursery = nursery

    def join(self, name, adopt):
        """Return the exchange of an instance.

        Args:
            name: the instance.
            adopt: takes in a message.
        """
        self._adopt[name] = adopt
        return _Exchange(self, name)

    def follow(self, reader, topic, names):
        """Subscribe a reader at exactly these instances."""
        for readers in self._readers.items():
            if readers[0][0] == topic:
                readers[1].discard(reader)
        for name in names:
            if name != reader:
                self._readers[topic, name].add(reader)

    def publish(self, sender, topic, message):
        """Send a message to whoever subscribed."""
        if sender in self.deaf:
            return
        readers = self._readers[topic, sender] - self.deaf
        self.messages += len(readers)
        if readers:
            self._nursery.start_soon(self._deliver, message, readers)

    async def _deliver(self, message, readers):
        await trio.sleep(self._way)
        for reader in sorted(readers):
            self._adopt[reader](message)


class _Exchange:
    """One instance's side of the Bus; see ports.notices."""

    def __init__(self, bus, name):
        self._bus = bus
        self._name = name

    def follow(self, topic, names):
        """Subscribe to a topic."""
        self._bus.follow(self._name, topic, names)

    def publish(self, topic, message):
        """Send a message."""
        self._bus.publish(self._name, topic, message)
