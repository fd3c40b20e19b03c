"""Step definitions for streamed answers, dropped and resumed."""

import json
import threading

import behave
import httpcore

from tests.features.steps import whole_path
from tests.harness import callers
from tests.harness import processes
from tests.standins import engine

LONG_TOKENS = 200
CANCEL_SECONDS = 20.0


def _drop(context, name, count, tokens):
    context.body = callers.make_chat(f"drop {context.scenario.name}")
    context.body["max_tokens"] = tokens
    context.tokens = tokens
    reply = callers.stream_chat(
        whole_path.find_address(context, name),
        context.fleet.plan.account_key,
        context.body,
        stop_after=count,
    )
    assert reply.status == 200 and reply.response_id, reply
    context.replies.append(reply)


@behave.when("a caller drops a stream at {name:Word} after {count:d} events")
def drop_stream(context, name, count):
    _drop(context, name, count, 60)


@behave.when(
    "a caller drops a long stream at {name:Word} after {count:d} events"
)
def drop_long_stream(context, name, count):
    _drop(context, name, count, 4000)


def _resume(context, name, key):
    first = context.replies[-1]
    return callers.resume_stream(
        whole_path.find_address(context, name),
        key,
        first.response_id,
        first.ids[-1],
    )


@behave.when("it resumes the stream at {name:Word}")
def resume(context, name):
    key = context.fleet.plan.account_key
    context.replies.append(_resume(context, name, key))


@behave.when("another account resumes the stream at {name:Word}")
def resume_other(context, name):
    context.replies.append(_resume(context, name, "chk-test-parent"))


@behave.then("it gets no event of the stream")
def check_nothing(context):
    reply = context.replies[-1]
    assert reply.status != 200 and not reply.ids, reply


@behave.then("it has every token once and in order")
def check_all_tokens(context):
    first, second = context.replies
    wanted = engine.make_answer(context.body["messages"], context.tokens)
    assert second.is_whole, second
    assert first.text + second.text == wanted, (first, second)
    numbers = [int(one.split("~")[0]) for one in first.ids + second.ids]
    assert numbers == list(range(1, len(numbers) + 1)), numbers


class BackgroundStream:
    """A stream read in a thread, so that faults can be injected."""

    def __init__(self, address, key, body):
        self.reply = None
        self.error = None
        self._arguments = (address, key, body)
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        try:
            self.reply = callers.stream_chat(*self._arguments)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self.error = error

    def wait(self):
        """Wait for the end; return the reply, or None if it was lost."""
        self._thread.join()
        return self.reply


def find_running_engine(context):
    """Wait until an engine runs a sequence; return its name."""

    def find():
        for upstream in context.fleet.plan.upstreams:
            if not upstream.models:
                continue
            if read_stats(upstream.port).get("active"):
                return upstream.name
        return ""

    return processes.wait_until(find, what="a running engine")


def read_stats(port):
    """Return an engine's counters; empty if it can't be reached."""
    address = f"127.0.0.1:{port}"
    try:
        return callers.send("GET", address, "/stats").json()
    except (httpcore.NetworkError, httpcore.TimeoutException):
        return {}


def _stream_with_fault(context, name, inject_fault):
    context.body = callers.make_chat(
        f"long {context.scenario.name}", tokens=LONG_TOKENS
    )
    stream = BackgroundStream(
        whole_path.find_address(context, name),
        context.fleet.plan.account_key,
        context.body,
    )
    inject_fault(find_running_engine(context))
    context.replies.append(stream.wait())


@behave.when(
    "a caller streams a long chat at {name:Word} and its engine is killed"
)
def stream_and_kill(context, name):
    _stream_with_fault(context, name, context.fleet.kill)


@behave.when(
    "a caller streams a long chat at {name:Word} and its engine freezes"
)
def stream_and_freeze(context, name):
    _stream_with_fault(context, name, context.fleet.pause)


@behave.when(
    "a caller streams a long chat at {name:Word} and its engine's link is cut"
)
def stream_and_cut(context, name):
    def cut(upstream):
        context.fleet.set_fault([f"up:{upstream}"], "cut")
        context.fleet.set_fault([f"up:{upstream}"], "none")

    _stream_with_fault(context, name, cut)


@behave.then("the long answer is complete")
def check_long_answer(context):
    reply = context.replies[-1]
    wanted = engine.make_answer(context.body["messages"], LONG_TOKENS)
    assert reply is not None and reply.is_whole, reply
    assert reply.text == wanted, reply


@behave.then("an engine counts a cancelled stream")
def check_cancelled(context):
    def count():
        return sum(
            read_stats(one.port).get("cancelled", 0)
            for one in context.fleet.plan.upstreams
            if one.models
        )

    processes.wait_until(count, CANCEL_SECONDS, "a cancelled stream")


@behave.when(
    "{count:d} callers stream different chats at once while links to engines "
    "are cut"
)
def stream_many(context, count):
    context.streams = []
    instances = context.fleet.plan.instances
    for number in range(count):
        body = callers.make_chat(f"many {number}", tokens=LONG_TOKENS)
        address = instances[number % len(instances)].callers
        key = context.fleet.plan.account_key
        stream = BackgroundStream(address, key, body)
        context.streams.append((body, stream))
    engines = [one for one in context.fleet.plan.upstreams if one.models]
    for upstream in engines:
        context.fleet.set_fault([f"up:{upstream.name}"], "cut")
        context.fleet.set_fault([f"up:{upstream.name}"], "none")


@behave.then("each of them has its own complete answer or an explicit error")
def check_many(context):
    for body, stream in context.streams:
        reply = stream.wait()
        assert reply is not None, stream.error
        wanted = engine.make_answer(body["messages"], body["max_tokens"])
        if reply.is_whole:
            assert reply.text == wanted, reply
        else:
            assert reply.error is not None, reply
            assert wanted.startswith(reply.text), json.dumps(reply.text)
