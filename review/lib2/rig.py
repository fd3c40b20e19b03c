"""Starts a small deployment of the project and stand-ins around it.

The programs are started with the commands of deploy/system.toml, each on its
own loopback address, with settings as in DEPLOY.md. Servers and clients are
stand-ins in the process of the script; they use only the standard library.
Everything that is sent, run and answered goes to record.txt in the folder of
the case, one JSON object a line, with the seconds since the start.
"""

import asyncio
import collections
import json
import math
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIMIT_SECONDS = 110.0
ZONES = ("oslo-a", "oslo-b", "oslo-c")
HEARTBEAT_MS = 1200
BACK_SECONDS = 4.0  # from a server's crash to its next boot
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNUSABLE = 0, 1, 2

# Of sites/fjordmaster-koe, as SYSTEM.md lists them.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "StrictRevoke": True,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 54,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoverS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "CapMultiplier": 2,
}


class Unusable(Exception):
    """The case could not run as planned, so that it shows nothing."""


def _is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Rig:
    """The processes, addresses and the record of one run."""

    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self._record = open(self.case / "record.txt", "w")
        self.processes = {}
        self.sent = {}
        self.inner = {}  # first internal port, where it is not inner_port
        self.seeds = ("core-1", "core-2", "core-3")
        self.cut = set()  # fronts that are partitioned from all servers
        self.addresses = {}
        self.zones = {}
        self.tasks = set()
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"
        ]
        rng = random.Random(time.time_ns())
        while True:
            self.net = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
            base = rng.randrange(12000, 27000, 40)
            self.front_port, self.ready_port = base, base + 1
            self.control_port, self.inner_port = base + 2, base + 10
            self.server_port = base + 3
            if all(
                _is_free(f"{self.net}.{host}", base + offset)
                for host in (11, 12, 13, 31, 32, 33)
                for offset in range(26)
            ):
                return

    def now(self):
        return round(time.monotonic() - self.began, 4)

    def record(self, what, **fields):
        line = {"t": self.now(), "what": what, **fields}
        self._record.write(json.dumps(line) + "\n")

    # --- the project's programs --------------------------------------------

    def _write_settings(self, name, first):
        machine_class = "front" if name.startswith("front") else "core"
        address = self.addresses[name]
        is_front = machine_class == "front"
        listen = {"Control": f"{address}:{self.control_port}"}
        if is_front:
            listen = {
                "FrontendAddr": f"{address}:{self.front_port}",
                "ReadinessAddr": f"{address}:{self.ready_port}",
            }
        data = self.folder / f"{name}.data"
        settings = {
            "NodeName": name,
            "Role": "entry" if is_front else "replica",
            "MachineClass": machine_class,
            "Serves": ["front"] if is_front else ["control"],
            "Ip": address,
            "Zone": self.zones[name],
            "Region": "oslo",
            "Zones": dict.fromkeys(ZONES, "oslo"),
            "Listen": listen,
            "InternalPorts": [
                self.inner.get(name, self.inner_port),
                self.inner.get(name, self.inner_port) + 15,
            ],
            "Seeds": [
                f"{self.addresses[one]}:{self.control_port}"
                for one in self.seeds
            ],
            "Bootstrap": first,
            "InTolerance": not is_front,
            "Limits": {
                "CpuShare": 0.537 if is_front else 0.258,
                "CpuCores": 2 if is_front else 1,
                "MemoryMb": 300 if is_front else 296,
                "MaxFds": 4100 if is_front else 4096,
                "LinkMbps": 1000.0 if is_front else 6,
                "DiskMb": 0 if is_front else 128,
            },
            "DataDir": None if is_front else str(data),
            "Discovery": "registry",
            "EntryMode": "vip",
            "HeartbeatMs": HEARTBEAT_MS,
            "Contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "places",
            ],
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "ConfigMode": "highest",
        }
        data.mkdir(exist_ok=True)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, name, first=True):
        """Start `core-N` or `front-N` as the deploy file says."""
        role = "entry" if name.startswith("front") else "replica"
        path = self._write_settings(name, first)
        words = shlex.split(self._roles[role]["run"])
        words[0] = sys.executable
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            words,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "CAMPHORHOOK_BOOT": str(path),
            },
        )
        self.record("start", process=name)

    def signal(self, name, number):
        self.record("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def read_log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def place(self, name):
        """Give a machine its address and its zone."""
        kind, _, number = name.partition("-")
        base = {"core": 10, "front": 30}[kind]
        self.addresses[name] = f"{self.net}.{base + int(number)}"
        self.zones[name] = ZONES[(int(number) - 1) % len(ZONES)]

    async def start_all(self, cores=3, fronts=2):
        """Start all machines for the first time."""
        for kind, count in (("core", cores), ("front", fronts)):
            for number in range(1, count + 1):
                self.place(f"{kind}-{number}")
        for name in self.addresses:
            self.start(name)

    async def put_document(self, document):
        """Send a desired state until it is acknowledged."""
        body = json.dumps(document).encode()
        end = time.monotonic() + 20
        cores = [one for one in self.addresses if one.startswith("core")]
        while time.monotonic() < end:
            for name in cores:
                status = await self.call_control(
                    name, "PUT", "/-/config", body
                )
                if status == 200:
                    self.record("desired state", version=document["Version"])
                    return
            await asyncio.sleep(0.3)
        raise Unusable("no desired state was acknowledged within 20 s")

    async def call_control(self, name, method, path, body=b"", seconds=1.0):
        """Return the status of a call to `control`; 0 without an answer."""
        if name not in self.processes:
            return 0
        address = self.addresses[name]
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(
                    address, self.control_port
                )
                try:
                    writer.write(
                        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                        f"Content-Type: application/json\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                    )
                    head = await reader.readuntil(b"\r\n\r\n")
                finally:
                    writer.close()
        except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
            return 0
        return int(head.split()[1])

    async def wait_ready(self, fronts, seconds=20.0):
        """Return once the fronts say that they are ready."""
        end = time.monotonic() + seconds
        for name in fronts:
            while not await self._is_ready(name):
                if time.monotonic() > end:
                    raise Unusable(f"{name} is not ready in {seconds:g} s")
                await asyncio.sleep(0.1)

    async def _is_ready(self, name):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.addresses[name], self.ready_port
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
        except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return head.split()[1] == b"200"

    def find_owner(self, near_port, far_port):
        """Return the process that holds a connection, of those started here.

        Args:
            near_port: its port at the process.
            far_port: its port at the other end.
        """
        inode = ""
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            words = line.split()
            ports = [int(one.split(":")[1], 16) for one in words[1:3]]
            if ports == [near_port, far_port]:
                inode = f"socket:[{words[9]}]"
        for name, process in self.processes.items():
            for link in pathlib.Path(f"/proc/{process.pid}/fd").iterdir():
                try:
                    if os.readlink(link) == inode:
                        return name
                except OSError:
                    continue  # closed meanwhile
        return ""

    async def pass_link(self, front):
        """Wait as long as a front is partitioned from all servers."""
        while front in self.cut:
            await asyncio.sleep(0.02)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def close(self):
        """End all processes that this run started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._record.close()


# --- HTTP ------------------------------------------------------------------


class Message:
    """The first line, headers (names in lower case) and body of a message."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    """Return a Message without its body; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_request(reader):
    """Return a Message with its body, or None at the end of the channel."""
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.get("transfer-encoding"):
        pieces = []
        async for piece in read_chunks(reader):
            pieces.append(piece)
        message.body = b"".join(pieces)
    else:
        length = int(message.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader):
    """Yield the chunks of a body, as RFC 9112 frames them.

    Raises:
        ValueError: the bytes are no chunks.
    """
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size)
        if await reader.readexactly(2) != b"\r\n":
            raise ValueError("a chunk does not end with a line end")
        if not size:
            return
        yield data


# --- servers ---------------------------------------------------------------


class Server:
    """A server of a service, as PROTOCOL.md describes a sound one.

    Attributes:
        slots: requests that it runs at once.
        queue: requests that wait beyond these.
        work: seconds that a request takes.
        state: ready, draining or gone.
    """

    def __init__(self, rig, service, number, zone, **options):
        self.rig = rig
        self.service = service
        self.zone = zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = f"{rig.net}.{100 + number}"
        self.port = options.get("port", rig.server_port)
        self.advertised = f"{self.address}:{self.port}"
        self.slots = options.get("slots", 6)
        self.queue = options.get("queue", 24)
        self.work = options.get("work", 0.06)
        self.reports_speed = options.get("reports_speed", False)
        # Whether it finds out from which front each channel comes.
        self.knows_fronts = options.get("knows_fronts", False)
        self.fronts = set()  # those from which channels came
        self.cold_seconds = options.get("cold_seconds", 0.0)
        # Requests in one second above which it crashes while it is cold.
        self.cold_most = options.get("cold_most", math.inf)
        self.is_engine = options.get("is_engine", False)
        self.keep_alive = options.get("keep_alive", 5)
        self.cold_until = 0.0
        self.state = "ready"
        self.running = 0
        self.waiting = collections.deque()
        self.runs = []
        self.arrivals = []
        self.born = 0
        self.sequence = 0
        self.acknowledged_at = None
        self.gone_at = None
        self._listener = None
        self._writers = set()

    async def start(self):
        """Begin a boot of the server: listen and register."""
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.cold_until = self.rig.now() + self.cold_seconds
        self._listener = await asyncio.start_server(
            self._serve,
            self.address,
            self.port,
            limit=1 << 20,
            reuse_address=True,
        )
        self.rig.record("server starts", id=self.id, born=self.born)
        self.beats = self.rig.spawn(self._beat())

    def become_cold(self, seconds):
        """Become cold again; the next ping and health answer say so."""
        self.cold_until = self.rig.now() + seconds
        self.rig.record("server becomes cold", id=self.id)

    def crash(self):
        """End at once; all channels are reset."""
        self.rig.record("server crashes", id=self.id, running=self.running)
        self.state = "crashed"
        self.beats.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _come_back(self):
        """Start again some seconds after a crash, with another id."""
        await asyncio.sleep(BACK_SECONDS)
        self.id = f"i-{random.getrandbits(32):08x}"
        await self.start()

    def _describe(self):
        self.sequence += 1
        cold = max(0.0, self.cold_until - self.rig.now())
        return {
            "Service": self.service,
            "Address": self.advertised,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready" if self.state == "ready" else "draining",
            "ColdRemainingMs": int(1000 * cold),
            "Stage": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self):
        while self.state != "gone":
            await self._tell("PUT", self._describe())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _tell(self, method, body):
        """Tell one node after the other; return whether one acknowledged."""
        cores = [one for one in self.rig.addresses if one.startswith("core")]
        random.shuffle(cores)
        for name in cores:
            status = await self.rig.call_control(
                name,
                method,
                f"/-/instances/{self.id}",
                json.dumps(body).encode(),
            )
            if 200 <= status < 300:
                return True
        return False

    async def drain(self, drain_seconds):
        """Say `draining`, serve on for drain_seconds after the ack, leave."""
        self.state = "draining"
        self.beats.cancel()
        while not await self._tell("PUT", self._describe()):
            await asyncio.sleep(0.2)
        self.acknowledged_at = self.rig.now()
        self.rig.record("draining is acknowledged", id=self.id)
        self.beats = self.rig.spawn(self._beat())
        await asyncio.sleep(drain_seconds)
        self.beats.cancel()
        await self._tell(
            "DELETE", {"born": self.born, "Sequence": self.sequence + 1}
        )
        self.gone_at = self.rig.now()
        self.rig.record("server says that it is gone", id=self.id)

    def exit(self):
        """End the process after a planned stop; its channels end with it."""
        self.rig.record("server exits", id=self.id, running=self.running)
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            if self.knows_fronts:
                near = writer.get_extra_info("peername")[1]
                for _ in range(3):  # the list may change as it is read
                    writer.front = self.rig.find_owner(near, self.port)
                    if writer.front:
                        break
                self.fronts.add(writer.front)
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self.rig.pass_link(getattr(writer, "front", ""))
                if not await self._answer(request, reader, writer):
                    return
        except (
            OSError,
            EOFError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,  # of the end of the run
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _head(self, request, status, *more):
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Request-Id: {request.get('x-request-id')}",
            f"Keep-Alive: timeout={self.keep_alive}",
        ]
        load = f"{self.running},{len(self.waiting)},{self.slots}"
        if self.reports_speed:
            load += ",100"
        lines.append(f"X-Server-Load: {load}")
        if self.state == "draining":
            lines.append("Server-Leaving: 1")
        lines += [f"{name}: {value}" for name, value in more]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _whole(self, request, status, body=b"", *more):
        return (
            self._head(request, status, ("Content-Length", len(body)), *more)
            + body
        )

    def _count_cold(self):
        """Return the requests of the last second, if it is cold."""
        now = self.rig.now()
        if self.cold_until <= now:
            return 0
        recent = [one for at, one in self.arrivals[-200:] if at > now - 1.0]
        return sum(self.rig.sent[one] > now - 1.0 for one in recent)

    async def _answer(self, request, reader, writer):
        """Answer one request; return whether the channel lives on."""
        path = request.first.split()[1]
        request_id = request.get("x-request-id")
        if path in ("/health", "/-/report"):
            cold = max(0.0, self.cold_until - self.rig.now())
            writer.write(
                self._whole(
                    request,
                    200 if self.state == "ready" else 503,
                    b"{}",
                    ("X-Instance-Id", self.id),
                    ("X-Cold-Ms", int(1000 * cold)),
                )
            )
            await writer.drain()
            return True
        if path == "/-/kv-list":
            body = b'{"epoch":1,"Next":1,"held":[]}'
            writer.write(self._whole(request, 200, body))
            await writer.drain()
            return True
        expected = request.get("x-expect-instance")
        if expected and expected != self.id:
            writer.write(self._whole(request, 421))
            await writer.drain()
            return True
        self.arrivals.append((self.rig.now(), request_id))
        self.rig.record(
            "arrives",
            id=self.id,
            request=request_id,
            born=self.born,
            cold=self.cold_until > self.rig.now(),
        )
        if self._count_cold() > self.cold_most:
            self.crash()
            self.rig.spawn(self._come_back())
            return False
        if self.running >= self.slots and len(self.waiting) >= self.queue:
            self.rig.record("rejected", id=self.id, request=request_id)
            not_run = ("X-Not-Executed", "1")
            writer.write(self._whole(request, 503, b"", not_run))
            await writer.drain()
            return True
        if self.running >= self.slots:
            turn = asyncio.Event()
            self.waiting.append(turn)
            await turn.wait()
        else:
            self.running += 1
        try:
            self.rig.record("runs", id=self.id, request=request_id)
            self.runs.append((self.rig.now(), request_id))
            return await self.run(request, writer)
        finally:
            if self.waiting:
                self.waiting.popleft().set()
            else:
                self.running -= 1

    async def run(self, request, writer):
        """Run a request and answer it."""
        await asyncio.sleep(self.work)
        await self.rig.pass_link(getattr(writer, "front", ""))
        request_id = request.get("x-request-id")
        body = f"{self.id} ran {request_id}\n".encode()
        seal = ("X-Response-Seal", f"{self.id}.{request_id}.{len(body)}")
        writer.write(self._whole(request, 200, body, seal))
        await writer.drain()
        return True


# --- clients ---------------------------------------------------------------


class Reply:
    """What a client got: status 0 without a complete answer."""

    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


def make_request(
    target, request_id, key, deadline_ms, body, method="POST", more=()
):
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: ficu95.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def send(rig, front, target, key, deadline_ms, **options):
    """Send one request on a new channel; return the Reply."""
    request_id = options.get("request_id") or f"{random.getrandbits(64):016x}"
    method = options.get("method", "POST")
    body = options.get("body", b"x" * 600)
    data = make_request(
        target,
        request_id,
        key,
        deadline_ms,
        body,
        method,
        options.get("more", ()),
    )
    rig.sent[request_id] = rig.now()
    rig.record("sent", request=request_id, to=front, target=target)
    reply = Reply(error="no answer")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                rig.addresses[front], rig.front_port, limit=1 << 20
            )
            try:
                writer.write(data)
                await writer.drain()
                reply = await read_reply(reader)
            finally:
                writer.close()
    except (
        OSError,
        EOFError,
        asyncio.IncompleteReadError,
        ValueError,
    ) as error:
        reply = Reply(error=repr(error))
    except TimeoutError:
        reply = Reply(error="deadline")
    rig.record(
        "answered",
        request=request_id,
        status=reply.status,
        seal=reply.headers.get("x-response-seal", ""),
        text=reply.body[:60].decode("latin-1"),
        error=reply.error,
    )
    return reply


async def read_reply(reader):
    """Read a whole answer."""
    head = await read_head(reader)
    if head is None:
        return Reply(error="closed without an answer")
    status = int(head.first.split()[1])
    if "chunked" in head.get("transfer-encoding"):
        body = b""
        async for piece in read_chunks(reader):
            body += piece
    else:
        body = await reader.readexactly(int(head.get("content-length", "0")))
    return Reply(status, head.headers, body)


# --- running a case --------------------------------------------------------


def main(case, play):
    """Run `play(rig)`; exit with 1 if it returns findings, 0 if none.

    The exit code is 2 if the case could not run.
    """
    rig = Rig(case)
    code = UNUSABLE
    # So that an early end of the script ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNUSABLE))

    async def run():
        async with asyncio.timeout(LIMIT_SECONDS):
            return await play(rig)

    try:
        findings = asyncio.run(run())
        code = BROKEN if findings else HELD
        for line in findings[:20]:
            rig.record("finding", text=line)
            print(line)
        verdict = "was broken" if findings else "held"
        print(f"{len(findings)} findings; the rule {verdict}")
    except Unusable as error:
        rig.record("unusable", text=str(error))
        print(f"could not run: {error}")
    except TimeoutError:
        rig.record("unusable", text="took too long")
        print("could not run: took too long")
    except Exception:
        rig.record("unusable", text=traceback.format_exc())
        traceback.print_exc()
        print("could not run")
    finally:
        rig.close()
        if os.environ.get("KEEP"):
            print(rig.folder)
        else:
            shutil.rmtree(rig.folder, ignore_errors=True)
    sys.exit(code)
