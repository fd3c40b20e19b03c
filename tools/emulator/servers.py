"""Models of the servers: batching engines and plain services."""

import collections
import itertools
import math

import trio

from tools.emulator import plans

SECONDS_PER_MS = plans.SECONDS_PER_MS
REPORT_LAG_SECONDS = 0.1
CRASH_RATE_FACTOR = 2.0  # above this multiple, a cold server crashes
# A server that named a limit may get LIMIT_TOLERANCE times what it allows
# within a window and LIMIT_SLACK more, once the grace has passed.
LIMIT_GRACE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE, LIMIT_SLACK = 1.5, 5


class ServerCrashed(Exception):
    """The server crashed while the request waited or ran."""


class ServerFull(Exception):
    """The server's queue is full; the request has not run."""


class LimitPeriod:
    """A time in which a server names a limit, and what it got.

    Attributes:
        rate: requests per second that it takes.
        arrivals: times in seconds of the requests that it got.
    """

    def __init__(self, rate):
        self.rate = rate
        self.arrivals = []
        self._began_at = trio.current_time()

    def count_excess(self):
        """Return by how many requests the worst window exceeds the limit."""
        bound_from = self._began_at + LIMIT_GRACE_SECONDS
        times = [at for at in self.arrivals if at >= bound_from]
        allowed = LIMIT_TOLERANCE * self.rate * LIMIT_WINDOW_SECONDS
        most = max(
            (
                sum(begin <= at < begin + LIMIT_WINDOW_SECONDS for at in times)
                for begin in times
            ),
            default=0,
        )
        return max(0.0, most - allowed - LIMIT_SLACK)


class Job:
    """A request at a server.

    Attributes:
        parts: (id, tokens) of its prompt parts, in order.
        output_tokens: number of tokens to generate; 0 for a plain request.
        priority: 0 is the most urgent.
        crashes: the server crashes as it begins to answer.
        work_seconds: time that a plain request takes on a server without
            slowdown.
        order: number of the request, in the order of creation.
        source: the Engine to copy cached prompt parts from, or None.
        pending_prefill_tokens: prompt tokens that are still to be prefilled.
        copy_done_at: time in seconds at which the copy is complete.
        generated_tokens: tokens generated so far.
        events: trio receive channel of the generated tokens at each event; a
            ServerCrashed error ends it when the server crashes.
    """

    _numbers = itertools.count()

    def __init__(self, parts, output_tokens, priority, work_seconds=0.0):
        self.parts = parts
        self.output_tokens = output_tokens
        self.priority = priority
        self.work_seconds = work_seconds
        self.order = next(self._numbers)
        self.crashes = False
        self.source = None
        self.pending_prefill_tokens = 0
        self.copy_done_at = 0.0
        self.generated_tokens = 0
        self.sender, self.events = trio.open_memory_channel(math.inf)

    def emit(self):
        """Send an event with the number of tokens generated so far."""
        self.sender.send_nowait(self.generated_tokens)

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
        version: its software version.
        slowdown: factor of the time that work takes; above 1 is slower.
        base_slowdown: the value of `slowdown` without faults.
        is_up: whether it accepts requests.
        cold_until: time in seconds until which the server is cold.
        crashes: number of crashes by overload while it was cold.
        request_crashes: number of crashes that a request caused.
        incarnation: increases with every start.
        brittle: requests that it may turn away within a second before it
            falls over; None if it bears any number.
        falls: number of times that it fell over.
        turned_away: number of requests that it turned away.
        limit: the LimitPeriod while it names a limit, else None.
        limit_periods: every LimitPeriod so far.
        crashed: event that is set when a request crashes the server.
        waiting: Jobs in the queue, the most urgent first.
        running: Jobs in a slot.
        wake_up: event that wakes the server when there is work.
    """

    def __init__(self, name, domain, spec, slowdown, version):
        self.name = name
        self.version = version
        self.domain = domain
        self.spec = spec
        self.base_slowdown = self.slowdown = slowdown
        self.is_up = True
        self.cold_until = 0.0
        self.crashes = 0
        self.request_crashes = 0
        self.incarnation = 1
        self.brittle = None
        self.falls = 0
        self.turned_away = 0
        self._turned_away_at = collections.deque()
        self.crashed = trio.Event()
        self.limit = None
        self.limit_periods = []
        self.arrivals = collections.deque()
        self.waiting = []
        self.running = []
        self.wake_up = trio.Event()

    def count_load(self):
        """Return the numbers of (running, waiting) requests."""
        return len(self.running), len(self.waiting)

    def start_limit(self, rate):
        """Name a limit in all answers.

        Args:
            rate: requests per second that the server takes.
        """
        self.limit = LimitPeriod(rate)
        self.limit_periods.append(self.limit)

    def end_limit(self):
        """Name no limit any more."""
        self.limit = None

    def submit(self, job):
        """Add a request to the queue.

        Raises:
            ServerFull: the queue is full.
            ServerCrashed: the server is cold, and this request overloads it.
        """
        now = trio.current_time()
        self.arrivals.append(now)
        if self.limit is not None:
            self.limit.arrivals.append(now)
        while self.arrivals[0] < now - 1.0:
            self.arrivals.popleft()
        if now < self.cold_until and self.spec.cold_per_s:
            if len(self.arrivals) > CRASH_RATE_FACTOR * self.spec.cold_per_s:
                self.crashes += 1
                self.crash()
                raise ServerCrashed
        if len(self.waiting) >= self.spec.queue:
            self._turn_away(now)
            raise ServerFull
        self.waiting.append(job)
        self.waiting.sort(key=lambda one: (one.priority, one.order))
        self.wake_up.set()

    def _turn_away(self, now):
        """Count a request that finds no room.

        Raises:
            ServerCrashed: the server is brittle, and this is one too many.
        """
        self.turned_away += 1
        self._turned_away_at.append(now)
        while self._turned_away_at[0] < now - 1.0:
            self._turned_away_at.popleft()
        if self.brittle is None or len(self._turned_away_at) <= self.brittle:
            return
        self.falls += 1
        self._turned_away_at.clear()
        self.crash()
        self.crashed.set()
        raise ServerCrashed

    def drop(self, job):
        """Remove a request that has ended or whose caller has disconnected."""
        for jobs in (self.waiting, self.running):
            if job in jobs:
                jobs.remove(job)

    def crash(self):
        """Stop the server and fail all waiting and running requests."""
        self.is_up = False
        for job in [*self.waiting, *self.running]:
            job.end(ServerCrashed())
        self.waiting, self.running = [], []
        self.arrivals.clear()

    def start(self):
        """Start the server again; it is cold for `cold_s` seconds."""
        self.is_up = True
        self.incarnation += 1
        self.cold_until = trio.current_time() + self.spec.cold_s


class PlainServer(Server):
    """Runs up to `slots` requests at once, each for its `work_seconds`."""

    async def run(self):
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.wake_up.wait()
                self.wake_up = trio.Event()
                while self.waiting and len(self.running) < self.spec.slots:
                    job = self.waiting.pop(0)
                    self.running.append(job)
                    nursery.start_soon(self._serve, job)

    async def _serve(self, job):
        await trio.sleep(job.work_seconds * self.slowdown)
        if job in self.running:
            self.running.remove(job)
            job.emit()
            job.end()
        self.wake_up.set()


class Engine(Server):
    """Generates tokens with continuous batching and a prompt cache.

    Each step generates a token for all running requests and prefills a chunk
    of prompts. Prefilled prompt parts stay cached until the least recently
    used ones are evicted for lack of memory.

    Attributes:
        prompt_tokens: prompt tokens of all requests so far.
        reused_tokens: how many of these were cached or copied.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.prompt_tokens = 0
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
                await self.wake_up.wait()
                self.wake_up = trio.Event()
                continue
            await self._advance()

    def count_cached_tokens(self, parts):
        """Return the tokens of a prompt's leading parts that are cached."""
        cached = 0
        for part, tokens in parts:
            if part not in self._cache:
                break
            cached += tokens
            self._cache.move_to_end(part)
        return cached

    def _admit(self):
        while self.waiting and len(self.running) < self.spec.slots:
            job = self.waiting.pop(0)
            total = sum(tokens for _, tokens in job.parts)
            cached = self.count_cached_tokens(job.parts)
            if job.source is not None and job.source.is_up:
                more = job.source.count_cached_tokens(job.parts) - cached
                if more > 0 and self.spec.copy_tokens:
                    cached += more
                    took = self.spec.copy_ms + more / self.spec.copy_tokens
                    job.copy_done_at = (
                        trio.current_time() + took * SECONDS_PER_MS
                    )
            job.pending_prefill_tokens = max(1, total - cached)
            self.prompt_tokens += total
            self.reused_tokens += cached
            self.running.append(job)

    async def _advance(self):
        """Simulate steps until the next event of a request.

        While there are prompts to prefill, it simulates a single step.
        """
        spec = self.spec
        now = trio.current_time()
        prefilling = [
            job
            for job in self.running
            if job.pending_prefill_tokens and job.copy_done_at <= now
        ]
        decoding = [
            job for job in self.running if not job.pending_prefill_tokens
        ]
        steps, chunk = 1, 0
        if prefilling:
            chunk = min(
                spec.chunk,
                sum(job.pending_prefill_tokens for job in prefilling),
            )
        elif decoding:
            steps = min(self._count_steps(job) for job in decoding)
        else:
            copy_done_at = min(job.copy_done_at for job in self.running)
            await trio.sleep(copy_done_at - now)
            return
        step_ms = spec.step_ms + spec.slot_ms * len(self.running)
        milliseconds = steps * step_ms + chunk / spec.read_tokens
        await trio.sleep(milliseconds * self.slowdown * SECONDS_PER_MS)
        for job in decoding:
            if job in self.running:
                job.generated_tokens += steps
                self._emit_progress(job)
        for job in prefilling:
            read = min(chunk, job.pending_prefill_tokens)
            chunk -= read
            job.pending_prefill_tokens -= read
            if job in self.running and not job.pending_prefill_tokens:
                self._cache_prompt(job.parts)
                job.generated_tokens = 1
                self._emit_progress(job)

    def _count_steps(self, job):
        """Return the number of tokens until the next event of a request."""
        stride = self.spec.stride
        return (
            min(
                stride - job.generated_tokens % stride,
                job.output_tokens - job.generated_tokens,
            )
            or 1
        )

    def _emit_progress(self, job):
        if job.crashes:
            self.request_crashes += 1
            self.crash()
            self.crashed.set()
            return
        is_done = job.generated_tokens >= job.output_tokens
        if (
            job.generated_tokens == 1
            or is_done
            or job.generated_tokens % self.spec.stride == 0
        ):
            job.emit()
        if is_done:
            self.running.remove(job)
            job.end()

    def _cache_prompt(self, parts):
        for part, tokens in parts:
            self._cache[part] = tokens
            self._cache.move_to_end(part)
        total = sum(self._cache.values())
        total += sum(job.generated_tokens for job in self.running)
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
        f"v{1 + number % spec.versions}",
    )
