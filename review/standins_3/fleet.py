"""Starts a small camphorhook deployment, and stand-ins for what is around it.

The programs are those of deploy/system.toml, each on a loopback address of its
own, as the pages give each machine one. Servers, clients, the operator and the
proxy on the links to servers run in the calling process.
"""

import asyncio
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "chats.example"
KEY = "key-one"
OTHER_KEY = "key-two"
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
    "StrictRevoke": True, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10, "RetrySlack": 54, "ColdOverage": 1.5, "ColdSlack": 5,
    "EvacuateMs": 5000, "RecoverS": 12, "PassMs": 120, "ReuseWindowS": 10,
    "CapMultiplier": 2,
}  # as on the sheet of Fjordmaster
HEARTBEAT_SECONDS = 1.2


class CannotRun(Exception):
    """The case could not be played."""


def has_trouble():
    """Return whether the disruption is played (TROUBLE is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began

    def write(self, text):
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Fleet:
    """The processes of one deployment: 3 replicas and some entry instances."""

    def __init__(self, record, entries=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.memory_mb = 300
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.replicas = [f"replica-{n}" for n in (1, 2, 3)]
        self.entries = [f"entry-{n}" for n in range(1, entries + 1)]
        self._choose_addresses()

    def _choose_addresses(self):
        """Choose a loopback network and ports on which nothing listens."""
        for _ in range(50):
            self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            self.front, self.ready, self.control, self.inner = random.sample(
                range(20000, 30000, 20), 4
            )
            ports = [self.front, self.ready, self.control, 9464]
            ports += range(self.inner, self.inner + 16)
            if all(is_free(self.find_ip(name), port)
                   for name in self.replicas + self.entries for port in ports):
                return
        raise CannotRun("no free ports")

    def find_ip(self, name):
        """Return the address of a machine or a server."""
        kind, _, number = name.rpartition("-")
        base = {"replica": 10, "entry": 30, "server": 50}[kind]
        return f"{self._net}.{base + int(number)}"

    def start(self, name, bootstrap=True):
        """Start the program of a machine with its settings file."""
        ip = self.find_ip(name)
        kind, _, number = name.rpartition("-")
        is_core = kind == "replica"
        listen = {"Control": f"{ip}:{self.control}"} if is_core else {
            "FrontendAddr": f"{ip}:{self.front}",
            "ReadinessAddr": f"{ip}:{self.ready}",
        }
        zone = ZONES[(int(number) - 1) % 3]
        settings = {
            "NodeName": name, "Role": kind,
            "MachineClass": "core" if is_core else "front",
            "Serves": ["control" if is_core else "front"],
            "Ip": ip, "Zone": zone, "Region": "area",
            "Zones": dict.fromkeys(ZONES, "area"), "Listen": listen,
            "InternalPorts": [self.inner, self.inner + 15],
            "Seeds": [f"{self.find_ip(one)}:{self.control}"
                      for one in self.replicas],
            "Bootstrap": bootstrap, "InTolerance": is_core,
            "Limits": {"CpuShare": 0.5, "CpuCores": 1,
                       "MemoryMb": self.memory_mb,
                       "MaxFds": 4100, "LinkMbps": 1000.0,
                       "DiskMb": 128 if is_core else 0},
            "DataDir": str(self.folder / name) if is_core else None,
            "Discovery": "registry", "EntryMode": "vip",
            "HeartbeatMs": int(HEARTBEAT_SECONDS * 1000),
            "Contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants", "places"],
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS, "ConfigMode": "highest",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CAMPHORHOOK_BOOT"] = str(path)
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(
                shlex.split(self._roles[kind]["run"]), cwd=ROOT, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL, env=environment,
            )

    def start_all(self):
        """Start all machines."""
        for name in self.replicas + self.entries:
            self.start(name)

    def signal(self, name, number):
        """Send a signal to the process of a machine."""
        self.processes[name].send_signal(number)

    def close(self, keeps=False):
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if keeps:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- the operator --------------------------------------------------------

    async def call_control(self, method, path, body=b"", replicas=None):
        """Call control at one replica after another until one answers.

        Returns:
            (status, body); the status is 0 without an answer.
        """
        status, text = 0, b""
        for name in replicas or self.replicas:
            status, _, text = await call(
                self.find_ip(name), self.control, method, path, body, 1.0
            )
            if 0 < status < 500:
                break
        return status, text

    async def put_config(self, document, seconds=20.0):
        """Send a desired state until it is acknowledged; return the time."""
        body = json.dumps(document).encode()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, text = await self.call_control("PUT", "/-/config", body)
            if status == 200:
                self.record.write(f"config {document['Version']} acknowledged")
                return time.monotonic()
            if 400 <= status < 500:
                raise CannotRun(f"config refused: {status} {text!r}")
            await asyncio.sleep(0.2)
        raise CannotRun("no acknowledgement of the config")

    async def wait_ready(self, seconds=20.0):
        """Wait until each entry instance says that it is ready."""
        until = time.monotonic() + seconds
        for name in self.entries:
            while True:
                status, _, _ = await call(
                    self.find_ip(name), self.ready, "GET", "/-/ready", b"", 1.0
                )
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.1)

    async def wait_served(self, path, key=KEY, seconds=15.0):
        """Wait until each entry instance serves a path."""
        until = time.monotonic() + seconds
        for name in self.entries:
            while True:
                status, _, _ = await self.request(name, path, key)
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{name} does not serve {path}: {status}")
                await asyncio.sleep(0.1)

    # --- clients -------------------------------------------------------------

    async def request(self, entry, path, key=KEY, request="", deadline=3.0,
                      more=(), method="POST", body=b"{}"):
        """Send a request on a new channel; return (status, headers, body)."""
        headers = make_headers(request or new_id(), key, deadline, more)
        return await call(self.find_ip(entry), self.front, method, path, body,
                          deadline, headers)


def is_free(ip, port):
    """Return whether a port can be bound."""
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind((ip, port))
        except OSError:
            return False
    return True


def new_id():
    """Return a new request id."""
    return os.urandom(8).hex()


def make_headers(request, key, deadline, more=()):
    """Return the headers of a client's request."""
    headers = [("Host", HOST), ("X-Request-Id", request),
               ("X-Deadline-Ms", str(int(deadline * 1000)))]
    if key:
        headers.append(("Authorization", f"Bearer {key}"))
    return [*headers, *more]


async def call(ip, port, method, path, body, seconds, headers=()):
    """Send a request on a new connection; return (status, headers, body).

    The status is 0 if no whole answer came, and then the body says why.
    """
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1"]
            pairs = list(headers) or [("Host", f"{ip}:{port}")]
            lines += [f"{name}: {value}" for name, value in pairs]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status, fields = await read_head(reader)
            return status, fields, await read_body(reader, fields)
    except TimeoutError:
        return 0, {}, b"no answer in time"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        return 0, {}, repr(error).encode()
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader):
    """Return (status, headers by name in lower case) of an answer."""
    words = (await reader.readuntil(b"\r\n")).split(b" ", 2)
    if not words[0].startswith(b"HTTP/1."):
        raise ValueError(f"no status line: {words[0][:40]!r}")
    return int(words[1]), await read_fields(reader)


async def read_fields(reader):
    """Return headers by name in lower case, up to the empty line."""
    fields = {}
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        fields.setdefault(name.strip().lower(), value.strip())
    return fields


async def read_body(reader, fields):
    """Return the whole body of a request or an answer with a length.

    Raises:
        ValueError: bytes that are no chunk.
        asyncio.IncompleteReadError: the body broke off.
    """
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        if await reader.readexactly(2) != b"\r\n":
            raise ValueError("a chunk does not end where it says")
        if not size:
            return body


def make_document(version, routes, services, tenants=None):
    """Return a desired state.

    Args:
        version: its version.
        routes: (path prefix, kind, service, further fields) of each route.
        services: names of the services; those that begin with `engine` are
            model servers.
        tenants: keys by name of the tenant.
    """
    engine = {
        "Slots": 64, "KvCapacityTokens": 518859, "KvTokenBytes": 163840,
        "LinkMbps": 740000.0, "Moves": True, "Backups": True, "Stride": 6,
        "most": 2, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0,
        "Models": [{"Name": "m"}],
    }
    return {
        "Version": version,
        "Routes": [
            {"Name": f"r{prefix.strip('/')}", "Host": HOST,
             "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 15000,
             "TargetLatencyMs": 800, "Priority": 1, "Service": service,
             "Attempts": 2, "Public": False, **more}
            for prefix, kind, service, more in routes
        ],
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConnections": 100,
             "Protocol": "h1", "Tls": False, "ColdStartS": 0.0,
             "ColdPerS": 0.0,
             **({"Engine": engine} if name.startswith("engine") else {})}
            for name in services
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [
            {"Name": name, "ApiKeys": keys, "Priority": 1}
            for name, keys in (
                tenants or {"tenant-one": [KEY], "tenant-two": [OTHER_KEY]}
            ).items()
        ],
    }


class Server:
    """A server of a service: registers, and runs requests.

    Attributes:
        runs: (time, id, path, headers) of each request that began to run.
    """

    def __init__(self, fleet, number, service, answer, zone=None, proxy=None):
        """Create a server that does not listen yet.

        Args:
            fleet: the Fleet.
            number: of the server, which gives its address.
            service: name of its service.
            answer: async function of the Server, a writer, a path and headers
                that writes the answer to a request.
            zone: its zone.
            proxy: a LinkProxy through which it is reached, or None.
        """
        self.fleet = fleet
        self.name = f"i-{os.urandom(5).hex()}"
        self.service = service
        self.zone = zone or ZONES[(number - 1) % 3]
        self.ip = fleet.find_ip(f"server-{number}")
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.refused = 0  # pings that no node acknowledged
        self.runs = []
        # Address of each node for this server's calls; the first one that
        # acknowledges a call is enough.
        self.control = {
            name: (fleet.find_ip(name), fleet.control)
            for name in fleet.replicas
        }
        self.slots = 64
        self._answer = answer
        self._proxy = proxy
        self._tasks = set()
        self._listener = None
        self._beat = None

    async def start(self):
        """Listen and begin to register."""
        self._listener = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        if self._proxy is not None:
            self.address = await self._proxy.open(self.ip, self.port)
        self._beat = asyncio.create_task(self._register())

    def stop(self):
        """End as a process does: all channels close at once."""
        if self._beat is not None:
            self._beat.cancel()
        self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    async def _register(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def register(self):
        """Send one ping; return the node that acknowledged it."""
        self.sequence += 1
        body = json.dumps({
            "Service": self.service, "Address": self.address,
            "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "ColdRemainingMs": 0, "Stage": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Sequence": self.sequence, "born": self.born,
        }).encode()
        node = await self._call_control("PUT", body)
        self.refused += not node
        return node

    async def leave(self):
        """Send DELETE /-/instances/ID; return the node that acknowledged."""
        self._beat.cancel()
        self.state = "gone"
        return await self._call_control("DELETE", b"")

    async def _call_control(self, method, body):
        """Call one node after another until one acknowledges it in a second.

        Returns:
            The name of that node; "" if none did.
        """
        for name, (ip, port) in self.control.items():
            status, _, text = await call(
                ip, port, method, f"/-/instances/{self.name}", body, 1.0
            )
            if method != "PUT" or status != 200:
                self.fleet.record.write(
                    f"{self.name}: {method} at {name}: {status or text}"
                )
            if 200 <= status < 300:
                return name
        return ""

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                _, path, _ = line.decode().split(" ")
                fields = await read_fields(reader)
                await read_body(reader, fields)
                await self._run(writer, path, fields)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _run(self, writer, path, fields):
        expected = fields.get("x-expect-instance", self.name)
        if expected != self.name:
            self.write(writer, 421, fields, b"", ("X-Not-Executed: 1",))
            return
        if path in ("/health", "/-/report"):
            self.write(writer, 200, fields, b"{}",
                       (f"X-Instance-Id: {self.name}",))
            return
        if path.startswith("/-/"):
            self.write(writer, 404, fields, b"{}")
            return
        request = fields.get("x-request-id", "")
        self.runs.append((time.monotonic(), request, path, fields))
        self.fleet.record.write(
            f"{self.name} ({self.service}) runs {request} {path} "
            f"tenant={fields.get('x-tenant')}"
        )
        await self._answer(self, writer, path, fields)

    def write(self, writer, status, fields, body, more=()):
        """Write a whole answer."""
        lines = [f"HTTP/1.1 {status} X",
                 f"X-Request-Id: {fields.get('x-request-id', '')}",
                 f"X-Response-Seal: seal-{self.name}", *more]
        if self.state != "ready":
            lines.append("Server-Leaving: 1")
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class LinkProxy:
    """The links to servers; those of single machines can fall silent."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.silent = set()  # names of the machines whose links are cut
        self._changed = asyncio.Event()
        self._tasks = set()

    def cut(self, *names):
        """Pass on nothing more between these machines and the servers."""
        self.silent = set(names)
        self._changed.set()
        self._changed = asyncio.Event()

    async def open(self, ip, port):
        """Return the address at which a server is reached from now on."""
        ip, port = await self.open_way(ip, port)
        return f"{ip}:{port}"

    async def open_way(self, ip, port):
        """Return (IP address, port) of a new way to an address."""
        async def serve(reader, writer):
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._pass(ip, port, reader, writer)
            except asyncio.CancelledError:
                pass  # the script ends
            finally:
                self._tasks.discard(task)
                writer.close()

        listener = await asyncio.start_server(serve, ip, 0, limit=4096)
        return ip, listener.sockets[0].getsockname()[1]

    async def _pass(self, ip, port, reader, writer):
        source = self._find_machine(
            writer.get_extra_info("peername"),
            writer.get_extra_info("sockname"),
        )
        try:
            await self._wait(source)
            up_reader, up_writer = await asyncio.open_connection(
                ip, port, limit=4096
            )
        except OSError:
            return
        try:
            copies = [
                asyncio.create_task(self._copy(source, *pair))
                for pair in ((reader, up_writer), (up_reader, writer))
            ]
            _, rest = await asyncio.wait(
                copies, return_when=asyncio.FIRST_COMPLETED
            )
            for one in rest:
                one.cancel()
        finally:
            up_writer.close()

    async def _wait(self, source):
        while source in self.silent:
            await self._changed.wait()

    async def _copy(self, source, reader, writer):
        try:
            while data := await reader.read(4096):
                await self._wait(source)
                writer.write(data)
                await writer.drain()
            await self._wait(source)
        except OSError:
            pass

    def _find_machine(self, peer, own):
        """Return the name of the machine that opened a connection."""
        wanted = (_format(peer), _format(own))
        with open("/proc/net/tcp") as lines:
            inodes = [line.split()[9] for line in lines
                      if tuple(line.split()[1:3]) == wanted]
        for name, process in self._fleet.processes.items():
            folder = pathlib.Path(f"/proc/{process.pid}/fd")
            try:
                for one in folder.iterdir():
                    if inodes and os.readlink(one) == f"socket:[{inodes[0]}]":
                        return name
            except OSError:
                continue
        return ""


def _format(address):
    packed = socket.inet_aton(address[0])[::-1].hex().upper()
    return f"{packed}:{address[1]:04X}"
