"""Runs a stand-in for a model engine.

Usage:
    engine --name=NAME --domain=DOMAIN --service=SERVICE --models=LIST
           --port=PORT --announce=LIST [options]

Options:
    --capacity N        Sequences in one batch [default: 16].
    --step-ms MS        Time of a step with an empty batch [default: 4].
    --sequence-ms MS    Added to a step for each sequence [default: 0.3].
    --prefill-ms MS     Time for each uncached prompt block [default: 1.0].
    --cache-blocks N    Prompt blocks that the cache holds [default: 4000].
    --cold-limit N      Sequences that a cold engine can run [default: 3].
    --warm-after N      Completions after which it is warm [default: 8].
    --lag-ms MS         Age of the reported load [default: 500].
    --no-continue       Don't announce that partial answers can be continued.
    --fencing           Refuse orders with an outdated fencing number.
    --reached-at PORT   Port to announce, if not the one of --port.
    --log FILE          Append a line for each request to a file.

The engine batches continuously: each step generates one token for every
sequence in the batch, and takes longer the more sequences there are. Prompts
are cached by blocks. Steps of a cold engine are slow. A request that exceeds
the cold limit fails, and all others slow down further for a while. POST /chill
makes the engine cold without an announcement. A message that contains
CRASH-THE-ENGINE ends the process. Tokens depend on the prompt and the position
alone, so that all engines give the same answer.
"""

import collections
import json
import os
import time
import urllib.parse

import docopt
import msgspec
import trio
import xxhash

from tests.standins import announcing
from tests.standins import serving

CRASH_MARKER = "CRASH-THE-ENGINE"
BLOCK_CHARACTERS = 64
DEFAULT_TOKENS = 24
COLLAPSE_SECONDS = 3.0
COLLAPSE_FACTOR = 10.0
COLD_FACTOR = 5.0
MAX_KEPT_STREAMS = 2000


def make_token(prompt, position):
    """Return the token at a position of the answer to a prompt."""
    number = xxhash.xxh32_intdigest(f"{prompt}\0{position}".encode()) % 1000
    return f"w{number} "


def make_answer(messages, tokens=DEFAULT_TOKENS):
    """Return the whole answer that every engine gives to messages."""
    prompt = join_messages(messages)
    return "".join(make_token(prompt, n) for n in range(tokens))


def join_messages(messages):
    """Return the prompt text of a list of messages."""
    return "\n".join(f"{one['role']}: {one['content']}" for one in messages)


class PrefixCache:
    """LRU cache of prompt blocks; a key covers all blocks before it."""

    def __init__(self, size):
        self._size = size
        self._blocks = collections.OrderedDict()

    def read(self, prompt):
        """Return (cached, all) block counts of a prompt, and cache it."""
        key = 0
        cached = 0
        hit = True
        count = 0
        for start in range(0, len(prompt), BLOCK_CHARACTERS):
            block = prompt[start : start + BLOCK_CHARACTERS]
            key = xxhash.xxh64_intdigest(f"{key}{block}".encode())
            hit = hit and key in self._blocks
            cached += hit
            count += 1
            self._blocks[key] = True
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._size:
            self._blocks.popitem(last=False)
        return cached, count

    def clear(self):
        """Evict all blocks."""
        self._blocks.clear()


class Sequence:
    """The generation of one answer, running or finished."""

    def __init__(self, name, fields):
        self.name = name
        messages = list(fields["messages"])
        self.position = 0
        if fields.get("continue_final_message"):
            self.position = len(messages.pop()["content"].split())
        self.prompt = join_messages(messages)
        wanted = fields.get("max_tokens") or DEFAULT_TOKENS
        explicit = bool(fields.get("max_tokens"))
        self.tokens = self.position + wanted if explicit else wanted
        self.first_position = self.position
        self.model = fields["model"]
        self.events = []
        self.finished = False
        self.cancelled = False
        self.readers = 0
        self.failed = ""
        self.cached = 0
        self.blocks = 0
        self.changed = trio.Event()

    def add(self, data):
        """Append an event and wake readers."""
        self.events.append(data)
        self.changed.set()
        self.changed = trio.Event()

    def finish(self):
        """Mark the sequence as finished and wake readers."""
        self.finished = True
        self.changed.set()


class Engine:
    """State of the stand-in and its ASGI application."""

    def __init__(self, arguments):
        self._arguments = arguments
        self.name = arguments["--name"]
        self._capacity = int(arguments["--capacity"])
        self._step_seconds = float(arguments["--step-ms"]) / 1000
        self._sequence_seconds = float(arguments["--sequence-ms"]) / 1000
        self._prefill_block_seconds = float(arguments["--prefill-ms"]) / 1000
        self._cold_limit = int(arguments["--cold-limit"])
        self._warm_after = int(arguments["--warm-after"])
        self._cache = PrefixCache(int(arguments["--cache-blocks"]))
        self._sequences = collections.OrderedDict()
        self._running = []
        self._arrived = trio.Event()
        self._collapsed_until = 0.0
        self._fence = 0
        self._log = None
        if arguments["--log"]:
            self._log = open(arguments["--log"], "a", buffering=1)
        self.stats = collections.Counter()

    # --- the batch -------------------------------------------------------

    def count_active(self):
        """Return the number of running sequences."""
        return len(self._running)

    def is_cold(self):
        """Return whether the engine has not warmed up yet."""
        return self.stats["completed"] < self._warm_after

    async def run_batch(self):
        """Run batch steps until cancelled."""
        while True:
            if not self._running:
                await self._arrived.wait()
                self._arrived = trio.Event()
                continue
            batch = self._running[: self._capacity]
            pause = self._step_seconds + self._sequence_seconds * len(batch)
            pause += sum(self._prefill_prompt(one) for one in batch)
            if self.is_cold():
                pause *= COLD_FACTOR
            if trio.current_time() < self._collapsed_until:
                pause *= COLLAPSE_FACTOR
            await trio.sleep(pause)
            for sequence in batch:
                self._step_sequence(sequence)
            self._running = [one for one in self._running if not one.finished]

    def _prefill_prompt(self, sequence):
        """Prefill the prompt of a new sequence; return the time in seconds."""
        if sequence.blocks:
            return 0.0
        cached, blocks = self._cache.read(sequence.prompt)
        sequence.cached, sequence.blocks = cached, max(1, blocks)
        self.stats["blocks"] += blocks
        self.stats["cached_blocks"] += cached
        return self._prefill_block_seconds * (blocks - cached)

    def _step_sequence(self, sequence):
        if sequence.cancelled:
            self.stats["cancelled"] += 1
            sequence.finish()
            return
        if not sequence.events:
            sequence.add(self._make_chunk(sequence, {"role": "assistant"}))
        if sequence.position < sequence.tokens:
            token = make_token(sequence.prompt, sequence.position)
            sequence.position += 1
            sequence.add(self._make_chunk(sequence, {"content": token}))
            return
        sequence.add(self._make_chunk(sequence, {}, "stop"))
        sequence.add(self._make_usage(sequence))
        sequence.add("[DONE]")
        sequence.finish()
        self.stats["completed"] += 1

    def _make_chunk(self, sequence, delta, reason=None):
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        return json.dumps(
            {
                "id": sequence.name,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": sequence.model,
                "choices": [choice],
            }
        )

    def _make_usage(self, sequence):
        return json.dumps(
            {
                "id": sequence.name,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": sequence.model,
                "choices": [],
                "usage": self._count_usage(sequence),
            }
        )

    def _count_usage(self, sequence):
        prompt = sequence.blocks + sequence.first_position
        completion = sequence.tokens - sequence.first_position
        return {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "total_tokens": prompt + completion,
            "prompt_tokens_details": {"cached_tokens": sequence.cached},
        }

    # --- HTTP ------------------------------------------------------------

    async def __call__(self, scope, receive, send):
        """Serve an ASGI connection scope; only HTTP requests are answered."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        headers = {
            name.decode(): value.decode() for name, value in scope["headers"]
        }
        body = await serving.read_body(receive)
        if body is None:
            return
        if path == "/v1/chat/completions":
            await self._serve_chat(headers, body, receive, send)
        elif path.startswith("/v1/streams/"):
            await self._serve_stream(scope, receive, send)
        elif path == "/orders":
            await self._serve_order(body, send)
        elif path == "/chill":
            self.stats["completed"] = 0
            self._cache.clear()
            await serving.send_json(send, 200, {"chilled": True})
        elif path == "/stats":
            stats = dict(self.stats, active=self.count_active())
            await serving.send_json(send, 200, stats)
        else:
            await serving.send_json(send, 404, {"error": "not found"})

    async def _serve_chat(self, headers, body, receive, send):
        fields = msgspec.json.decode(body)
        if CRASH_MARKER in body.decode():
            self._write_log("crash", headers)
            await trio.sleep(0.05)
            os._exit(1)
        sequence = Sequence(headers.get("x-request-id", "none"), fields)
        self._write_log("chat", headers)
        self.stats["requests"] += 1
        self.stats["peak"] = max(self.stats["peak"], len(self._running) + 1)
        if self.is_cold():
            peak = max(self.stats["cold_peak"], len(self._running) + 1)
            self.stats["cold_peak"] = peak
            if len(self._running) >= self._cold_limit:
                self.stats["collapses"] += 1
                until = trio.current_time() + COLLAPSE_SECONDS
                self._collapsed_until = until
                await serving.send_json(
                    send, 503, {"error": "cold engine overloaded"}
                )
                return
        self._sequences[sequence.name] = sequence
        while len(self._sequences) > MAX_KEPT_STREAMS:
            self._sequences.popitem(last=False)
        self._running.append(sequence)
        self._arrived.set()
        if fields.get("stream"):
            await self._send_events(sequence, 0, receive, send)
        else:
            await self._send_whole(sequence, receive, send)

    def _write_log(self, event, headers):
        if self._log:
            line = {"event": event, "request": headers.get("x-request-id")}
            self._log.write(json.dumps(line) + "\n")

    async def _send_events(self, sequence, after, receive, send):
        await serving.send_head(send, 200, "text/event-stream")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery)
            while True:
                while after < len(sequence.events):
                    after += 1
                    data = sequence.events[after - 1]
                    chunk = f"id: {after}\ndata: {data}\n\n".encode()
                    await serving.send_chunk(send, chunk, True)
                if sequence.finished:
                    break
                await sequence.changed.wait()
            await serving.send_chunk(send, b"", False)
            nursery.cancel_scope.cancel()

    async def _send_whole(self, sequence, receive, send):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery)
            while not sequence.finished:
                await sequence.changed.wait()
            text = "".join(
                make_token(sequence.prompt, n)
                for n in range(sequence.first_position, sequence.tokens)
            )
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "message": message, "finish_reason": "stop"}
            await serving.send_json(
                send,
                200,
                {
                    "id": sequence.name,
                    "object": "chat.completion",
                    "created": int(time.time()),
                    "model": sequence.model,
                    "choices": [choice],
                    "usage": self._count_usage(sequence),
                },
            )
            nursery.cancel_scope.cancel()

    async def _serve_stream(self, scope, receive, send):
        name = scope["path"].rsplit("/", 1)[1]
        sequence = self._sequences.get(name)
        if sequence is None:
            await serving.send_json(send, 404, {"error": "no such stream"})
            return
        if scope["method"] == "DELETE":
            sequence.cancelled = not sequence.finished
            await serving.send_json(send, 200, {"cancelled": True})
            return
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        after = int(query.get("after", ["0"])[0])
        self.stats["resumed"] += 1
        await self._send_events(sequence, after, receive, send)

    async def _serve_order(self, body, send):
        order = msgspec.json.decode(body)
        if self._arguments["--fencing"] and order["fence"] < self._fence:
            await serving.send_json(
                send, 409, {"error": "outdated fencing number"}
            )
            return
        self._fence = max(self._fence, order["fence"])
        self.stats["orders"] += 1
        await serving.send_json(send, 200, {"accepted": True})


async def _cancel_on_disconnect(receive, nursery):
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            nursery.cancel_scope.cancel()
            return


async def run(arguments):
    """Run the stand-in until SIGTERM, then finish running sequences."""
    engine = Engine(arguments)
    features = ["resume"]
    if not arguments["--no-continue"]:
        features.append("continue")
    if arguments["--fencing"]:
        features.append("fencing")
    fields = {
        "name": engine.name,
        "failure_domain": arguments["--domain"],
        "service": arguments["--service"],
        "models": arguments["--models"].split(","),
        "address": "127.0.0.1",
        "port": int(arguments["--reached-at"] or arguments["--port"]),
        "incarnation": time.time_ns() // 1000000,
        "capacity": int(arguments["--capacity"]),
        "features": features,
    }
    announcer = announcing.Announcer(
        fields,
        arguments["--announce"].split(","),
        engine.count_active,
        float(arguments["--lag-ms"]) / 1000,
    )

    async def leave():
        announcer.state = "leaving"
        await announcer.announce()
        while engine.count_active():
            await trio.sleep(0.05)

    port = int(arguments["--port"])
    tasks = [engine.run_batch, announcer.run]
    await serving.serve(engine, port, tasks, leave)


if __name__ == "__main__":
    trio.run(run, docopt.docopt(__doc__))
