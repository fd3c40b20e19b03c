"""Models of the servers: batching engines and plain services."""

import collections
import itertools
import math

import trio

from tools.emulator import plans

SECONDS_PER_MS = plans.SECONDS_PER_MS
REPORT_LAG_SECONDS = 0.1
CRASH_FACTOR = 2.0  # a cold server crashes above this multiple of its rate


class ServerLost(Exception):
    """The server crashed while the request waited or ran."""


class ServerFull(Exception):
    """The server's queue is full; the request has not run."""


class Job:
    """A request at a server.

    Attributes:
        parts: (id, tokens) of its prompt parts, in order.
        tokens: number of tokens to generate; 0 for a plain request.
        priority: 0 is the most urgent.
        work_seconds: time that a plain request takes on a server of factor 1.
        order: number of the request, in the order of creation.
        source: the Engine to copy cached prompt parts from, or None.
        unread: prompt tokens that are still to be prefilled.
        copied_at: time in seconds at which the copy is complete.
        made: tokens generated so far.
        events: trio receive channel of `made` at each event; a ServerLost
            error ends it when the server crashes.
    """

    _numbers = itertools.count()

    def __init__(self, parts, tokens, priority, work_seconds=0.0):
        self.parts = parts
        self.tokens = tokens
        self.priority = priority
        self.work_seconds = work_seconds
        self.order = next(self._numbers)
        self.source = None
        self.unread = 0
        self.copied_at = 0.0
        self.made = 0
        self.sender, self.events = trio.open_memory_channel(math.inf)

    def emit(self):
        """Send an event with the number of tokens generated so far."""
        self.sender.send_nowait(self.made)

    def end(self, error=None):
        """End the answer, with an error if it is incomplete."""
        if error is not None:
            self.sender.send_nowait(error)
        self.sender.close()


class Server:
    """Base class of the models: a queue, slots and crashes.

    Attributes:
        name: of the server.
        domain: its failure domain.
        spec: the plans.Service.
        factor: of the time that work takes; above 1 is slower.
        base_factor: the value of `factor` without faults.
        is_up: whether it accepts requests.
        cold_until: time in seconds until which the server is cold.
        crashes: number of crashes by overload while it was cold.
        waiting: Jobs in the queue, the most urgent first.
        running: Jobs in a slot.
        work: event that wakes the server when there is work.
    """

    def __init__(self, name, domain, spec, factor):
        self.name = name
        self.domain = domain
        self.spec = spec
        self.base_factor = self.factor = factor
        self.is_up = True
        self.cold_until = 0.0
        self.crashes = 0
        self.arrivals = collections.deque()
        self.waiting = []
        self.running = []
        self.work = trio.Event()

    def count_load(self):
        """Return the numbers of (running, waiting) requests."""
        return len(self.running), len(self.waiting)

    def submit(self, job):
        """Add a request to the queue.

        Raises:
            ServerFull: the queue is full.
            ServerLost: the server is cold, and this request overloads and
                crashes it.
        """
        now = trio.current_time()
        self.arrivals.append(now)
        while self.arrivals[0] < now - 1.0:
            self.arrivals.popleft()
        if now < self.cold_until and self.spec.cold_per_s:
            if len(self.arrivals) > CRASH_FACTOR * self.spec.cold_per_s:
                self.crashes += 1
                self.crash()
                raise ServerLost
        if len(self.waiting) >= self.spec.queue:
            raise ServerFull
        self.waiting.append(job)
        self.waiting.sort(key=lambda one: (one.priority, one.order))
        self.work.set()

    def drop(self, job):
        """Remove a request that has ended or whose caller has disconnected."""
        for jobs in (self.waiting, self.running):
            if job in jobs:
                jobs.remove(job)

    def crash(self):
        """Stop the server and fail all waiting and running requests."""
        self.is_up = False
        for job in [*self.waiting, *self.running]:
            job.end(ServerLost())
        self.waiting, self.running = [], []
        self.arrivals.clear()

    def start(self):
        """Start the server again; it is cold for `cold_s` seconds."""
        self.is_up = True
        self.cold_until = trio.current_time() + self.spec.cold_s


class PlainServer(Server):
    """Runs up to `slots` requests at once, each for its `work_seconds`."""

    async def run(self):
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.work.wait()
                self.work = trio.Event()
                while self.waiting and len(self.running) < self.spec.slots:
                    job = self.waiting.pop(0)
                    self.running.append(job)
                    nursery.start_soon(self._serve, job)

    async def _serve(self, job):
        await trio.sleep(job.work_seconds * self.factor)
        if job in self.running:
            self.running.remove(job)
            job.emit()
            job.end()
        self.work.set()


class Engine(Server):
    """Generates tokens with continuous batching and a prompt cache.

    Each step generates a token for all running requests and prefills a chunk
    of prompts. Prefilled prompt parts stay cached until the least recently
    used ones are evicted for lack of memory.

    Attributes:
        asked_tokens: prompt tokens of all requests so far.
        reused_tokens: how many of these were cached or copied.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.asked_tokens = 0
        self.reused_tokens = 0
        self._cache = collections.OrderedDict()

    def crash(self):
        """Stop the server as in Server, and clear the prompt cache."""
        super().crash()
        self._cache.clear()

    async def run(self):
        """Serve until cancelled."""
        while True:
            self._admit()
            if not self.running:
                await self.work.wait()
                self.work = trio.Event()
                continue
            await self._advance()

    def count_held(self, parts):
        """Return the tokens of a prompt's leading parts that are cached."""
        held = 0
        for part, tokens in parts:
            if part not in self._cache:
                break
            held += tokens
            self._cache.move_to_end(part)
        return held

    def _admit(self):
        while self.waiting and len(self.running) < self.spec.slots:
            job = self.waiting.pop(0)
            total = sum(tokens for _, tokens in job.parts)
            held = self.count_held(job.parts)
            if job.source is not None and job.source.is_up:
                more = job.source.count_held(job.parts) - held
                if more > 0 and self.spec.copy_tokens:
                    held += more
                    took = self.spec.copy_ms + more / self.spec.copy_tokens
                    job.copied_at = trio.current_time() + took * SECONDS_PER_MS
            job.unread = max(1, total - held)
            self.asked_tokens += total
            self.reused_tokens += held
            self.running.append(job)

    async def _advance(self):
        """Simulate steps until the next event of a request.

        While there are prompts to prefill, it simulates a single step.
        """
        spec = self.spec
        now = trio.current_time()
        reading = [
            job for job in self.running if job.unread and job.copied_at <= now
        ]
        making = [job for job in self.running if not job.unread]
        steps, chunk = 1, 0
        if reading:
            chunk = min(spec.chunk, sum(job.unread for job in reading))
        elif making:
            steps = min(self._count_steps(job) for job in making)
        else:
            copied_at = min(job.copied_at for job in self.running)
            await trio.sleep(copied_at - now)
            return
        step_ms = spec.step_ms + spec.slot_ms * len(self.running)
        milliseconds = steps * step_ms + chunk / spec.read_tokens
        await trio.sleep(milliseconds * self.factor * SECONDS_PER_MS)
        for job in making:
            if job in self.running:
                job.made += steps
                self._tell(job)
        for job in reading:
            read = min(chunk, job.unread)
            chunk -= read
            job.unread -= read
            if job in self.running and not job.unread:
                self._keep(job.parts)
                job.made = 1
                self._tell(job)

    def _count_steps(self, job):
        """Return the number of tokens until the next event of a request."""
        stride = self.spec.stride
        return min(stride - job.made % stride, job.tokens - job.made) or 1

    def _tell(self, job):
        is_done = job.made >= job.tokens
        if job.made == 1 or is_done or job.made % self.spec.stride == 0:
            job.emit()
        if is_done:
            self.running.remove(job)
            job.end()

    def _keep(self, parts):
        for part, tokens in parts:
            self._cache[part] = tokens
            self._cache.move_to_end(part)
        total = sum(self._cache.values())
        total += sum(job.made for job in self.running)
        while total > self.spec.memory_tokens and self._cache:
            total -= self._cache.popitem(last=False)[1]


def make_server(spec, number, domains):
    """Return the model of a server.

    Args:
        spec: the plans.Service.
        number: of the server among those of the service, from 0.
        domains: number of failure domains, which servers join in rotation.
    """
    model = Engine if spec.is_engine else PlainServer
    return model(
        f"{spec.name}-{number}",
        f"domain-{number % domains}",
        spec,
        spec.speeds[number % len(spec.speeds)],
    )
