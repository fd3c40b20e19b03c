"""Step definitions for placement, cold starts, limits and shutdown."""

import concurrent.futures
import json
import signal
import threading
import time

import behave
import httpcore

from tests.features.steps import streams
from tests.features.steps import whole_path
from tests.harness import callers
from tests.harness import processes
from tests.standins import engine

LONG_TOKENS = 250
EXIT_TIMEOUT_SECONDS = 30.0
PROPAGATION_SECONDS = 3.0
NOT_READY_RETRY_SECONDS = 0.1
SAMPLE_SECONDS = 0.05
HOT_ROUNDS = 3
VERY_LONG_TOKENS = 450
MAX_CHATS_UNTIL_COLD = 60


def list_engines(context):
    """Return the plans of all engines."""
    return [one for one in context.fleet.plan.upstreams if one.models]


def read_requests(context, name):
    """Return the entries of an engine's request log."""
    path = context.fleet.folder / f"{name}.requests"
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def sum_stats(context, key):
    """Return the sum of one counter over all engines."""
    return sum(
        streams.read_stats(one.port).get(key, 0)
        for one in list_engines(context)
    )


def _stream_all(context, texts, *, key=None, tokens=24, each=1):
    """Stream chats to all instances at once; return (body, reply) pairs."""
    key = key or context.fleet.plan.account_key
    instances = context.fleet.plan.instances

    def stream(number):
        body = callers.make_chat(texts(number), tokens=tokens)
        address = instances[number % len(instances)].callers
        return body, callers.stream_chat(address, key, body)

    with concurrent.futures.ThreadPoolExecutor(each) as pool:
        return list(pool.map(stream, range(each)))


@behave.when("all engines are killed and restart cold")
def restart_engines(context):
    since = time.time() * 1000
    for one in list_engines(context):
        context.fleet.kill(one.name)
    for one in list_engines(context):
        context.fleet.restart(one.name)
    for one in list_engines(context):
        context.fleet.wait_incarnation(one.name, since)


@behave.when("one engine turns cold without announcing it")
def make_engine_cold(context):
    context.cold_engine = list_engines(context)[0]
    address = f"127.0.0.1:{context.cold_engine.port}"
    assert callers.send("POST", address, "/chill").status == 200


def _is_cold(context, name):
    rows = context.fleet.make_client(name).read("/upstreams")["upstreams"]
    return next(
        row["cold"] for row in rows if row["name"] == context.cold_engine.name
    )


@behave.when(
    "chats are sent one after the other until a1 reports the engine as cold"
)
def chat_until_cold(context):
    address = context.fleet.plan.instances[0].callers
    for number in range(MAX_CHATS_UNTIL_COLD):
        body = callers.make_chat(f"chill {number}")
        reply = callers.stream_chat(
            address, context.fleet.plan.account_key, body
        )
        assert reply.is_whole, reply
        if _is_cold(context, "a1"):
            return


@behave.then("every instance reports the engine as cold")
def check_cold(context):
    for instance in context.fleet.plan.instances:
        processes.wait_until(
            lambda name=instance.name: _is_cold(context, name),
            PROPAGATION_SECONDS,
            f"{context.cold_engine.name} cold at {instance.name}",
        )


@behave.when("{count:d} long chats are started on the cold engines")
def fill_cold_engines(context, count):
    instances = [
        one for one in context.fleet.plan.instances if "replica" in one.roles
    ]
    for number in range(count):
        body = callers.make_chat(f"fill {number}", tokens=VERY_LONG_TOKENS)
        address = instances[number % len(instances)].callers
        key = context.fleet.plan.account_key
        streams.BackgroundStream(address, key, body)
    processes.wait_until(
        lambda: sum_stats(context, "active") >= count / 2, what="long chats"
    )


@behave.when("the restarted instances {names} are ready")
def wait_restarted(context, names):
    context.fleet.wait_ready(*names.split(", "))


@behave.when("{count:d} callers send chats to all instances at the same time")
def chat_everywhere(context, count):
    context.pairs = _stream_all(
        context, lambda number: f"cold {number}", each=count
    )


@behave.then("no engine collapsed")
def check_collapses(context):
    assert sum_stats(context, "collapses") == 0


@behave.then("every chat was answered completely or refused as not run")
def check_complete_or_refused(context):
    for body, reply in context.pairs:
        if reply.status == 200:
            assert reply.is_whole, reply
            assert reply.text == engine.make_answer(body["messages"])
        else:
            assert reply.headers["camphorhook-disposition"] == "not-run"
            assert "retry-after" in reply.headers, reply


@behave.then("some of the chats were answered")
def check_some_answered(context):
    assert any(reply.status == 200 for _, reply in context.pairs)


@behave.when(
    "the limited account sends {count:d} chats to all instances at once"
)
def send_surge(context, count):
    context.pairs = _stream_all(
        context,
        lambda number: f"surge {number}",
        key="chk-test-limited",
        each=count,
    )


@behave.then(
    "some are refused as {code:Word} with Retry-After and {disposition:Word}"
)
def check_surge(context, code, disposition):
    refused = [reply for _, reply in context.pairs if reply.status == 429]
    assert refused
    for reply in refused:
        assert reply.error["error"]["code"] == code, reply
        assert reply.headers["camphorhook-disposition"] == disposition
        assert int(reply.headers["retry-after"]) >= 1


@behave.then("the fleet ran at most {count:d} of them")
def check_run(context, count):
    run = [reply for _, reply in context.pairs if reply.status == 200]
    assert len(run) <= count, len(run)


@behave.when("the engines are warm")
def warm_engines(context):
    def warm_up():
        _stream_all(context, lambda n: f"warm {n} {time.time()}", each=12)
        rows = context.fleet.client.read("/upstreams")["upstreams"]
        names = {one.name for one in list_engines(context)}
        return not any(row["cold"] for row in rows if row["name"] in names)

    processes.wait_until(warm_up, 60.0, "warm engines")


def _sample_loads(context, ended):
    """Return samples of all engines' loads, taken until an event is set."""
    samples = []
    while not ended.wait(SAMPLE_SECONDS):
        loads = {
            one.name: streams.read_stats(one.port).get("active", 0)
            for one in list_engines(context)
        }
        if not ended.is_set():
            samples.append(loads)
    return samples


@behave.when(
    "{count:d} callers send the same chat repeatedly to all instances at once"
)
def send_hot_chat(context, count):
    instances = context.fleet.plan.instances
    key = context.fleet.plan.account_key
    first_done = threading.Event()
    body = callers.make_chat("the same hot chat", tokens=LONG_TOKENS // 2)

    def keep_sending(number):
        address = instances[number % len(instances)].callers
        for _ in range(HOT_ROUNDS):
            reply = callers.stream_chat(address, key, body)
            assert reply.is_whole, reply
        # Sampling ends here: the rest of the load has no new placements.
        first_done.set()

    with concurrent.futures.ThreadPoolExecutor(count + 1) as pool:
        sampled = pool.submit(_sample_loads, context, first_done)
        list(pool.map(keep_sending, range(count)))
        context.samples = sampled.result()
    assert context.samples


@behave.then(
    "no engine ever exceeded the load bound of {bound:g} times the mean"
)
def check_bound(context, bound):
    # Between two reports each instance rounds up its own share.
    rounding = len(context.fleet.plan.instances)
    for loads in context.samples:
        mean = sum(loads.values()) / len(loads)
        assert max(loads.values()) <= bound * mean + rounding, loads


def _send_crashing_request(context, name):
    address = context.fleet.plan.find_instance(name).callers
    body = callers.make_chat(f"{engine.CRASH_MARKER} {context.scenario.name}")
    return callers.stream_chat(address, context.fleet.plan.account_key, body)


@behave.when("the crashing request is sent to every instance in turn")
def send_crashing_requests(context):
    for instance in context.fleet.plan.instances:
        context.replies.append(_send_crashing_request(context, instance.name))


@behave.when(
    "different chats with one crashing message are sent to every instance"
)
def send_crashing_chats(context):
    for number, instance in enumerate(context.fleet.plan.instances):
        body = callers.make_chat(f"question {number}")
        crashing = {"role": "user", "content": engine.CRASH_MARKER}
        answer = {"role": "assistant", "content": "an answer"}
        body["messages"] = [crashing, answer, *body["messages"]]
        context.replies.append(
            callers.stream_chat(
                instance.callers, context.fleet.plan.account_key, body
            )
        )


@behave.then("at most {count:d} engines crashed in the whole fleet")
def check_crashes(context, count):
    ended = [
        one.name
        for one in list_engines(context)
        if not context.fleet.processes[one.name].is_running()
    ]
    assert len(ended) <= count, ended


@behave.then("the last answer refuses the request permanently")
def check_final(context):
    reply = context.replies[-1]
    assert reply.status == 422, reply
    assert reply.error["error"]["code"] == "request_refused", reply


def _start_long_chats(context, count, names=None):
    """Start long chats; return when engines have counted all of them."""
    names = names or [one.name for one in context.fleet.plan.instances]
    context.streams = []
    before = sum_stats(context, "requests")
    for number in range(count):
        text = f"long {context.scenario.name} {number}"
        body = callers.make_chat(text, tokens=LONG_TOKENS)
        address = context.fleet.plan.find_instance(
            names[number % len(names)]
        ).callers
        key = context.fleet.plan.account_key
        stream = streams.BackgroundStream(address, key, body)
        context.streams.append((body, stream))
    processes.wait_until(
        lambda: sum_stats(context, "requests") >= before + count,
        what="long chats",
    )


@behave.when(
    "{count:d} long chats run while the crashing request is sent to "
    "{first:Word} and {second:Word}"
)
def run_beside_crashing_request(context, count, first, second):
    warm_engines(context)
    _start_long_chats(context, count)
    for name in (first, second):
        context.replies.append(_send_crashing_request(context, name))
    for _, stream in context.streams:
        stream.wait()


@behave.then("none of the ordinary chats was refused as a suspect")
def check_not_suspect(context):
    codes = [
        stream.reply.error["error"]["code"]
        for _, stream in context.streams
        if stream.reply.error is not None
    ]
    assert "request_refused" not in codes, codes


@behave.then("the {count:d} long chats are complete")
def check_long_chats(context, count):
    assert len(context.streams) == count
    for body, stream in context.streams:
        reply = stream.wait()
        assert reply is not None, stream.error
        wanted = engine.make_answer(body["messages"], LONG_TOKENS)
        assert reply.is_whole and reply.text == wanted, reply


@behave.when(
    "an operator takes {domain:Word} out while {count:d} long chats run"
)
def take_out(context, domain, count):
    warm_engines(context)
    _start_long_chats(context, count)
    context.domain = domain
    context.fleet.client.change_row(
        "failure_domains", domain, {"state": "out"}
    )
    context.accepted_at = time.monotonic()


def _count_domain_requests(context, domain):
    return sum(
        len(read_requests(context, one.name))
        for one in list_engines(context)
        if one.failure_domain == domain
    )


@behave.then(
    "engines of {domain:Word} get no new requests after {seconds:d} seconds"
)
def check_no_new_domain_requests(context, domain, seconds):
    time.sleep(max(0, context.accepted_at + seconds - time.monotonic()))
    before = _count_domain_requests(context, domain)
    pairs = _stream_all(context, lambda n: f"after {n}", each=30)
    assert all(reply.is_whole for _, reply in pairs)
    assert _count_domain_requests(context, domain) == before


@behave.when("an operator brings {domain:Word} back")
def bring_back(context, domain):
    answer = context.fleet.client.change_row(
        "failure_domains", domain, {"state": "in"}
    )
    context.fleet.wait_in_force(answer["index"])


@behave.then(
    "chats are served by engines of {domain:Word} again and none collapsed"
)
def check_back(context, domain):
    pairs = _stream_all(context, lambda n: f"again {n}", each=40)
    assert all(reply.is_whole for _, reply in pairs)
    used = {whole_path.find_engine(reply) for _, reply in pairs}
    domains = {
        one.failure_domain for one in list_engines(context) if one.name in used
    }
    assert domain in domains, used
    check_collapses(context)


@behave.when("a long chat runs and its engine gets SIGTERM")
def terminate_engine(context):
    def terminate(name):
        context.terminated = name
        context.process = context.fleet.processes[name]
        context.process.send_signal(signal.SIGTERM)
        time.sleep(PROPAGATION_SECONDS)
        context.requests = len(read_requests(context, name))
        _stream_all(context, lambda n: f"left {n}", each=20)

    streams._stream_with_fault(context, "a1", terminate)


@behave.then("the engine exited by itself with code {code:d}")
def check_engine_end(context, code):
    processes.wait_until(
        lambda: not context.process.is_running(),
        EXIT_TIMEOUT_SECONDS,
        "its end",
    )
    assert context.process.stop() == code


@behave.then("its request log shows no new requests after it was stopped")
def check_no_new_requests(context):
    found = read_requests(context, context.terminated)
    assert len(found) == context.requests, found


@behave.when(
    "{count:d} long chats run at {name:Word} and {same:Word} gets SIGTERM"
)
def stop_instance(context, count, name, same):
    _start_long_chats(context, count, [name])
    context.process = context.fleet.processes[same]
    context.process.send_signal(signal.SIGTERM)


@behave.then("{name:Word} reports at once that it is stopping")
def check_not_ready(context, name):
    processes.wait_until(
        lambda: context.fleet.read_state(name) == "stopping", 2.0, "stopping"
    )


@behave.then("{name:Word} exited with code {code:d}")
def check_end(context, name, code):
    assert context.process.stop() == code


class LoadGenerator(threading.Thread):
    """Sends chats one after the other to instances that are ready."""

    def __init__(self, context, number):
        super().__init__()
        self._fleet = context.fleet
        self._number = number
        self.ended = threading.Event()
        self.failures = []
        self.completed = 0

    def run(self):
        """Send chats until ended, to ready instances as a balancer would."""
        count = 0
        names = [one.name for one in self._fleet.plan.instances]
        while not self.ended.is_set():
            count += 1
            name = names[(self._number + count) % len(names)]
            if not self._is_ready(name):
                continue
            body = callers.make_chat(f"load {self._number} {count}", tokens=60)
            self._chat(name, body)

    def _is_ready(self, name):
        address = self._fleet.plan.find_instance(name).callers
        try:
            reply = callers.send("GET", address, "/readyz")
        except (httpcore.NetworkError, httpcore.ProtocolError):
            time.sleep(NOT_READY_RETRY_SECONDS)
            return False
        return reply.status == 200

    def _chat(self, name, body):
        address = self._fleet.plan.find_instance(name).callers
        key = self._fleet.plan.account_key
        try:
            reply = callers.stream_chat(address, key, body)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self.failures.append((name, repr(error)))
            return
        wanted = engine.make_answer(body["messages"], 60)
        if reply.is_whole and reply.text == wanted:
            self.completed += 1
        else:
            self.failures.append((name, reply))


@behave.when(
    "chats are sent continuously while every instance is restarted in turn"
)
def restart_in_turn(context):
    context.loops = [LoadGenerator(context, number) for number in range(4)]
    for loop in context.loops:
        loop.start()
    try:
        for instance in context.fleet.plan.instances:
            process = context.fleet.processes[instance.name]
            assert process.stop() == 0, process.read_log()
            context.fleet.restart(instance.name)
            context.fleet.wait_ready(instance.name)
            context.fleet.wait_upstreams(names=[instance.name])
    finally:
        for loop in context.loops:
            loop.ended.set()
        for loop in context.loops:
            loop.join()


@behave.then("no chat was lost")
def check_none_lost(context):
    for loop in context.loops:
        assert not loop.failures, loop.failures
        assert loop.completed, "no chat ran"


@behave.when("an operator drains an engine")
def drain(context):
    context.drained = list_engines(context)[0].name
    answer = context.fleet.client.change_row(
        "upstreams", context.drained, {"state": "drain"}
    )
    context.fleet.wait_in_force(answer["index"])


@behave.then("it gets none of {count:d} chats")
def check_drained(context, count):
    before = len(read_requests(context, context.drained))
    pairs = _stream_all(context, lambda n: f"drain {n}", each=count)
    assert all(reply.is_whole for _, reply in pairs)
    assert len(read_requests(context, context.drained)) == before
