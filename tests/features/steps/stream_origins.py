"""Step definitions for where streams began, and versions of upstreams."""

import pathlib
import random
import re
import tempfile
import types
import typing
from unittest import mock

import behave
import msgspec
import trio
import trio.testing

from camphorhook_common import clock as clocks
from camphorhook_common import errors
from camphorhook_common import wire
from camphorhook_daemon.adapters import origin_files
from camphorhook_daemon.domain import answers
from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain import dispatcher
from camphorhook_daemon.domain import exchange
from camphorhook_daemon.domain import limits as account_limits
from camphorhook_daemon.domain import membership
from camphorhook_daemon.domain.routing import catalog as catalogs
from camphorhook_daemon.domain.routing import registry
from camphorhook_daemon.domain.routing import stream_origins
from camphorhook_daemon.domain.routing import versions
from camphorhook_daemon.domain import streams
from camphorhook_daemon.domain import verdicts
from camphorhook_daemon.ports import upstreams as ports
from tests.features.steps import permits
from tests.features.steps import registrations
from tests.harness import routers


class Keepers:
    """Instances that tell each other where streams began.

    Attributes:
        time: simulated time in seconds.
        domains: failure domain by name of the instances that are listed.
        dead: names of instances that do not answer.
        origins: StreamOrigins by name of the instance.
        calls: number of calls so far.
    """

    def __init__(self, count):
        self.time = 100.0
        self.domains = {}
        self.dead = set()
        self.origins = {}
        self.calls = 0
        self.streams = {}
        self.rng = random.Random(count)
        for _ in range(count):
            self.add()

    def add(self):
        """Add an instance."""
        number = len(self.origins)
        name = f"instance-{number}"
        self.domains[name] = f"zone-{number % 4}"
        self.origins[name] = stream_origins.StreamOrigins(
            name, lambda: self.domains, self, lambda: self.time
        )

    async def call(self, peer, message, _timeout):
        """Return the reply of an instance."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if peer in self.dead:
            raise errors.UnreachableError("dead", step="call", peer=peer)
        if isinstance(message, wire.StoreOrigin):
            return self.origins[peer].store(message)
        return self.origins[peer].answer(message)

    async def play(self, action):
        """Run an async function while the instances send messages."""
        async with trio.open_nursery() as nursery:
            for one in self.origins.values():
                nursery.start_soon(one.run)
            await trio.testing.wait_all_tasks_blocked()
            await action()
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    def draw(self):
        """Return the StreamOrigins of an instance that is alive."""
        alive = [name for name in self.domains if name not in self.dead]
        return self.origins[self.rng.choice(alive)]


@behave.given("{count:d} instances that keep where streams began")
def make_keepers(context, count):
    context.keepers = Keepers(count)
    context.most_calls = 0


@behave.when("{count:d} streams begin at instances drawn by lot")
def begin_streams(context, count):
    keepers = context.keepers

    async def begin():
        for number in range(count):
            key = stream_origins.make_key("account", f"request-{number}")
            origin = stream_origins.Origin("service", f"v{number % 3}")
            first = keepers.draw()
            before = keepers.calls
            await first.record(key, origin, 10.0)
            await trio.testing.wait_all_tasks_blocked()
            context.most_calls = max(
                context.most_calls, keepers.calls - before
            )
            keepers.streams[key] = origin, first

    trio.run(keepers.play, begin)


def do_nothing(_keepers):
    pass


def kill_first(keepers):
    # Each stream is looked for with its own first instance dead.
    keepers.kills_first = True


def cut_domain(keepers):
    keepers.dead |= {
        name for name, domain in keepers.domains.items() if domain == "zone-1"
    }


def exchange_instances(keepers):
    for name in list(keepers.domains)[:20]:
        del keepers.domains[name]
        keepers.dead.add(name)
        keepers.add()


def kill_half(keepers):
    keepers.dead |= set(keepers.rng.sample(list(keepers.domains), 100))


KEEPER_EVENTS = {
    "none is lost": do_nothing,
    "the first of each stream dies": kill_first,
    "those of a failure domain are cut off": cut_domain,
    "20 leave and 20 others join": exchange_instances,
    "half die": kill_half,
}


@behave.when("of these instances {event}")
def change_keepers(context, event):
    KEEPER_EVENTS[event](context.keepers)


@behave.then(
    "at least {share:d}% of the origins are found at instances drawn by lot"
)
def check_found(context, share):
    keepers = context.keepers
    context.found = []

    async def find():
        for key, (origin, first) in keepers.streams.items():
            dead = set(keepers.dead)
            if hasattr(keepers, "kills_first"):
                keepers.dead.add(first._name)
            before = keepers.calls
            found = await keepers.draw().find(key)
            context.most_calls = max(
                context.most_calls, keepers.calls - before
            )
            keepers.dead = dead
            context.found.append((found, origin))

    trio.run(keepers.play, find)
    known = sum(found is not None for found, _ in context.found)
    assert known >= share / 100 * len(context.found), known


@behave.then("none is found with another version")
def check_same(context):
    wrong = [one for one in context.found if one[0] not in (None, one[1])]
    assert not wrong, wrong


@behave.then("no stream took more than {count:d} calls to store or to find")
def check_calls(context, count):
    assert context.most_calls <= count, context.most_calls


def store_stream(context, key, now=0.0):
    """Store the origin of a stream on the disk of a replica."""
    group = wire.OriginGroup("service", "v1", 1000, [key])
    context.files.append([wire.StoreOrigins([group])], now)


def start_process(context):
    """Let another process open the files of a replica."""
    context.files = origin_files.OriginFiles(context.disk, 120.0)


@behave.given("a replica that stored the origins of streams 1 to 3")
def store_streams(context):
    context.disk = pathlib.Path(tempfile.mkdtemp(dir=context.folder))
    start_process(context)
    for key in (1, 2, 3):
        store_stream(context, key)


@behave.when("it is killed")
def kill_replica(context):
    start_process(context)


@behave.when("its last record is torn")
def tear_record(context):
    path = context.disk / "origins"
    path.write_bytes(path.read_bytes()[:-1])


@behave.when("its last record is torn and it stores stream 4")
def tear_and_store(context):
    tear_record(context)
    start_process(context)
    store_stream(context, 4)


@behave.when("two processes start and store streams 4 and 5")
def store_in_turn(context):
    for key in (4, 5):
        start_process(context)
        store_stream(context, key)


@behave.when("its disk fails once and it stores stream 4")
def fail_once(context):
    with mock.patch("os.fsync", side_effect=OSError("no space")):
        try:
            store_stream(context, 9)
        except errors.StorageError:
            # What was not synced may be there or not: here, it is not.
            path = context.disk / "origins"
            length = len(path.read_bytes()) // 4 * 3
            path.write_bytes(path.read_bytes()[:length])
    store_stream(context, 4)


@behave.when("it stores stream 4 after 130 s")
def store_later(context):
    store_stream(context, 4, 130.0)


@behave.when("it stores stream 4 after 130 s and 5 after 260 s")
def store_much_later(context):
    store_stream(context, 4, 130.0)
    store_stream(context, 5, 260.0)


@behave.then("its next process finds the origins of streams {keys}")
def check_stored(context, keys):
    start_process(context)
    found = [
        key
        for message in context.files.load()
        for group in message.groups
        for key in group.keys
    ]
    assert found == [int(key) for key in keys.split(",")], found


@behave.when("two versions claim the same stream")
def claim_twice(context):
    origins = context.keepers.draw()
    for version in ("v1", "v2"):
        origins.store(wire.StoreOrigin(1, "service", version, 1000))


@behave.then("its origin is not known")
def check_no_origin(context):
    assert trio.run(context.keepers.draw().find, 1) is None


@behave.when("{count:d} streams begin within a second")
def begin_many(context, count):
    origins = context.keepers.draw()
    for key in range(count):
        origins.store(wire.StoreOrigin(key, "service", "v1", 100_000))


@behave.then("at most {count:d} origins are kept")
def check_kept(context, count):
    assert context.keepers.draw().count() <= count


@behave.then("after {seconds:d} seconds a new stream leaves {count:d}")
def check_expired(context, seconds, count):
    context.keepers.time += seconds
    origins = context.keepers.draw()
    origins.store(wire.StoreOrigin(-1, "service", "v1", 1000))
    assert origins.count() == count, origins.count()


@behave.given("a service with upstreams {upstreams}")
def make_service(context, upstreams):
    context.simulation = simulation = registrations.RegistrySimulation()
    first = routers.ScriptedUpstream(1).register()
    second = routers.ScriptedUpstream(2).register()
    second = second._replace(version="v2")
    simulation.registry.register(first._replace(version="v1"))
    if "v2" in upstreams:
        simulation.registry.register(second)
    simulation.synchronize()
    sequence = iter(range(1, 1000))

    def register(seconds, *names):
        for _ in range(seconds):
            simulation.time += 1
            for one in names:
                again = one._replace(sequence=next(sequence))
                simulation.registry.register(again)
            simulation.synchronize()

    first = first._replace(version="v1")
    age = re.search(r"(\d+) s ago", upstreams)
    if "left" in upstreams:
        simulation.registry.register(second._replace(state=registry.GONE))
        register(int(age.group(1)), first)
    if "were lost" in upstreams:
        register(100, first, second)
        register(int(age.group(1)), first)
    if "no replica" in upstreams:
        simulation.time += 6
    if "start" in upstreams:
        restart(simulation, upstreams, first._replace(sequence=1000))


def restart(simulation, upstreams, registration):
    """Restart an instance, and the replica if the text says so."""
    if "replica and instance start" in upstreams:
        simulation.restart_replica()
        simulation.registry.register(registration)
        simulation.time += catalogs.COMPLETE_AFTER_SECONDS + 0.1
    simulation.catalog = catalog = catalogs.UpstreamCatalog(
        simulation.read_time,
        memory=versions.VersionMemory(simulation.read_time),
    )
    simulation.synchronize()
    if "asks" not in upstreams:
        return
    replicas = ["replica"]
    if "lost replica" in upstreams:
        replicas.append("other")

    async def call(peer, message, _timeout):
        if peer != "replica":
            raise errors.UnreachableError("lost", step="call", peer=peer)
        return simulation.registry.answer_versions()

    async def learn():
        with trio.move_on_after(20.0):
            await versions.learn(
                "entry",
                catalog.versions,
                dict,
                lambda: replicas,
                types.SimpleNamespace(call=call),
            )

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(learn, clock=clock)


@behave.when("a client takes up a stream without naming its first request")
def take_up_unnamed(context):
    service = routers.SERVICE
    context.version = context.simulation.catalog.find_sole_version(service)


@behave.then("the stream is {answer}")
def check_sole_version(context, answer):
    expected = None if answer == "refused" else answer.split()[-1]
    assert context.version == expected, context.version


@behave.given("an upstream of version {version} is registered")
def register_version(context, version):
    simulation = registrations.RegistrySimulation()
    registration = routers.ScriptedUpstream(1).register()
    simulation.registry.register(registration._replace(version=version))
    context.registry = simulation.registry


def watch(context, reads_versions):
    """Return the reply to a watch, as its bytes."""
    request = wire.WatchUpstreams(
        "entry", "zone-a", "", 0, 0, 0, True, reads_versions
    )
    reply = trio.run(context.registry.answer, request)
    return wire.encode(reply)[1]


@behave.then("an instance that reads versions gets {version}")
def check_new_reader(context, version):
    (changed,) = wire.decode("uu", watch(context, True)).changed
    assert changed.version == version, changed


class _OldRegistration(typing.NamedTuple):
    """A wire.Registration as builds without versions read it."""

    name: str
    service: str
    failure_domain: str
    address: str
    port: int
    incarnation: int
    sequence: int
    state: str
    capacity: int
    cold_ms: int


@behave.then("an instance of an older build can read the reply")
def check_old_reader(context):
    fields = msgspec.msgpack.decode(watch(context, False))
    msgspec.convert(fields[3], list[_OldRegistration])


def make_engine(number, version):
    """Return the wire.Upstream of an engine of the own interface."""
    upstream = permits.make_upstream(0)
    return upstream._replace(name=f"engine-{number}", version=version)


@behave.given("engines of the versions v1 and v2 on the own interface")
def make_engines(context):
    context.engines = [make_engine(1, "v1"), make_engine(2, "v2")]
    context.engines[0] = context.engines[0]._replace(active=7)


def reserve(context):
    """Return what the dispatcher answers to a chat that v1 began."""
    engines = context.engines
    configuration = types.SimpleNamespace(
        is_domain_out=lambda _domain: False,
        is_fresh=lambda: True,
        get_or_default=lambda table, _name: {
            "state": "in",
            "weight": 100,
            "queue_length": 0,
            "queue_seconds": 1.0,
            "load_bound": 1.5,
            "attempt_seconds": 5.0,
        },
    )

    async def run():
        chat_dispatcher = dispatcher.Dispatcher(
            types.SimpleNamespace(failure_domain="zone-a", name="a1"),
            configuration,
            types.SimpleNamespace(list_live=lambda: engines),
            types.SimpleNamespace(is_cold=lambda _record: False),
            crash_evidence.CrashEvidence(
                verdicts.ISOLATED_LIMIT, trio.current_time
            ),
            None,
        )
        requirements = dispatcher.Requirements(
            "request",
            "account",
            1,
            0,
            engines[0].service,
            "model",
            "chat",
            (1,),
            frozenset(),
            "v1",
        )
        return await chat_dispatcher.reserve(requirements)

    return trio.run(run)


@behave.when("a chat that v1 began needs another engine")
def need_engine(context):
    context.result = reserve(context)


@behave.then("it gets one of v1, also where v2 has more room")
def check_engine(context):
    assert context.result.ok.record.version == "v1", context.result


@behave.when("the engines of v1 leave")
def leave(context):
    context.engines = context.engines[1:]
    context.result = reserve(context)


@behave.then("it is refused at once, since no engine of its version is left")
def check_no_version(context):
    failure = dispatcher.describe_reservation_failure(
        context.result.error, True
    )
    assert failure.code == "no_version", failure
    assert (failure.status, failure.retry_after) == (503, 0.0), failure


@behave.when("an engine of version v2 sends the first event of an answer")
def send_first_event(context):
    async def run():
        progress = answers.Progress()
        assert progress.version is None
        reader = answers.EngineStreamReader(
            streams.ResponseStream(
                "response", "account", streams.StreamStore().memory
            ),
            progress,
            "engine",
            "stream",
            wants_usage=True,
            version="v2",
        )
        choice = {"delta": {"content": "a"}}
        data = msgspec.json.encode({"id": "stream", "choices": [choice]})
        reader.process(ports.ServerEvent("1", data.decode()))
        return progress

    context.progress = trio.run(run)


@behave.then("the answer may go on at v2 only")
def check_bound(context):
    assert context.progress.version == "v2"


class _Recorder:
    """A transport that keeps the messages sent, and their bytes."""

    def __init__(self):
        self.messages = []
        self.bodies = []

    async def call(self, _peer, message, _timeout):
        """Keep a message."""
        kind, body = wire.encode(message)
        self.bodies.append(body)
        self.messages.append(wire.decode(kind, body))
        return wire.ExchangeReply(1)


@behave.when("an instance sends an upstream of version v1.2 to another one")
def send_upstream(context):
    context.transport = _Recorder()
    context.upstream = make_engine(1, "v1.2")

    async def run():
        known, exchanger = make_exchanger("a", context.transport)
        known.merge(context.upstream, "")
        await exchanger.push_now()

    trio.run(run)


def make_exchanger(name, transport):
    """Return the Directory and the Exchanger of one of two instances."""
    peers = [
        types.SimpleNamespace(name=one, failure_domain="zone-a")
        for one in ("a", "b")
        if one != name
    ]
    settings = types.SimpleNamespace(
        name=name,
        peers=peers,
        failure_domain="zone-a",
        timing=types.SimpleNamespace(exchange_ms=1000),
    )
    recorder = types.SimpleNamespace(record=lambda *_, **__: None)
    known = membership.Directory(recorder)
    evidence = crash_evidence.CrashEvidence(
        verdicts.ISOLATED_LIMIT, trio.current_time
    )
    clock = clocks.HybridClock()
    limits = account_limits.AccountLimits(name, 2, clock)
    return known, exchange.Exchanger(
        settings, transport, known, evidence, limits, clock
    )


def receive(context, message):
    """Return what another instance knows after a message."""

    async def run():
        known, exchanger = make_exchanger("b", context.transport)
        known.merge(context.upstream, "")
        exchanger.receive(message)
        return known.get(context.upstream.name)

    return trio.run(run)


@behave.then("the other one knows the version")
def check_version(context):
    message = context.transport.messages[0]
    found = receive(context, message)
    assert found.version == "v1.2", found


@behave.then("an older build can read the exchange")
def check_old_exchange(context):
    fields = msgspec.msgpack.decode(context.transport.bodies[0])
    assert [len(one) for one in fields[3]] == [15], fields[3]


@behave.when("an older build passes the upstream on without its version")
def pass_on(context):
    message = context.transport.messages[0]
    newer = context.upstream._replace(sequence=99, version="")
    context.transport.messages = [
        message._replace(upstreams=[newer], versions=[])
    ]
