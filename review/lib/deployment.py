"""A small deployment of real daemons on loopback addresses.

The daemons run with the command of `deploy/system.toml`, on the libraries in
`target/deps`. Servers, clients and the operator are stand-ins in this process
that speak the published protocol. Every machine has a loopback address of its
own, as the platform gives each machine one.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-S", "-P", "-m", "camphorhook_daemon.main")
KEPT_VARIABLES = ("PATH", "HOME", "LANG", "PYENV_VERSION")
PEERS_PORT, CONTROL_PORT, FRONTEND_PORT, READY_PORT = 7340, 8229, 8227, 8220
METRICS_PORT, SERVER_PORT = 9464, 8080
PORTS_PER_ROLE = 100  # between the internal ports of two machines
ZONES = ("oslo-a", "oslo-b", "oslo-c")
START_SECONDS = 20.0  # for the first document to be acknowledged
# Of sites/fjordmaster-koe.toml, as its sheet gives them.
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
HEARTBEAT_SECONDS = 1.2


class CannotRun(Exception):
    """The case can't run on this machine."""


class Reply:
    """An HTTP answer; the status is 0 if none came.

    Attributes:
        status: HTTP status.
        headers: values by name in lower case.
        body: the body in bytes.
        is_whole: whether the answer ended as its framing says.
    """

    def __init__(self, status=0, headers=None, body=b"", is_whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        now = time.monotonic() - self._began_at
        self._file.write(f"{now:9.3f} {text}\n")
        self._file.flush()


def _read_head(head):
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {
        name.strip().lower(): value.strip() for name, _, value in pairs
    }


async def read_message(reader):
    """Return (first line, headers, body) of an HTTP message.

    Raises:
        asyncio.IncompleteReadError: the connection ended before its end.
        ConnectionError: the connection was reset.
    """
    first, headers = _read_head(await reader.readuntil(b"\r\n\r\n"))
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return first, headers, body
            body += chunk[:-2]
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length)


async def call(address, port, method, target, headers=(), body=b"", seconds=5):
    """Send a request on a new connection; return its Reply."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(address, port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name.lower() == "host" for name, _ in headers):
                lines.append(f"Host: {address}:{port}")
            lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            await writer.drain()
            first, found, content = await read_message(reader)
            return Reply(int(first.split()[1]), found, content, True)
    except (OSError, TimeoutError, EOFError, ValueError):
        return Reply()
    finally:
        if writer is not None:
            writer.transport.abort()


def is_free(address, port):
    """Return whether a port of a loopback address can be bound."""
    with socket.socket() as found:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            found.bind((address, port))
        except OSError:
            return False
    return True


class Deployment:
    """Three replicas, some entry instances, and the operator's calls.

    Attributes:
        folder: temporary folder for settings, data and logs.
        record: the Record of the case.
        replicas: names of the replicas.
        fronts: names of the entry instances.
        bounds: values of `Bounds` in the settings.
    """

    def __init__(self, record, fronts=2):
        """Choose free loopback addresses; start nothing yet.

        Raises:
            CannotRun: the build of the deploy file is missing, or no
                addresses are free.
        """
        if not (ROOT / "target" / "deps" / "camphorhook_daemon").is_dir():
            raise CannotRun("target/deps is missing: run deploy/build.sh")
        self.record = record
        self.bounds = dict(BOUNDS)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.replicas = [f"core-{number}" for number in (1, 2, 3)]
        self.fronts = [f"front-{number + 1}" for number in range(fronts)]
        self._net = self._choose_net()
        self._processes = {}
        self._logs = []
        self._proxies = []
        self._links = {}
        self.rate = None

    def _choose_net(self):
        for _ in range(50):
            net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
            ports = (METRICS_PORT, CONTROL_PORT, FRONTEND_PORT, SERVER_PORT)
            if all(
                is_free(f"{net}.{number}", port)
                for number in (11, 12, 13, 31, 32, 51, 52)
                for port in ports
            ):
                return net
        raise CannotRun("no free loopback addresses")

    def find_address(self, name):
        """Return the address of a machine or server named KIND-NUMBER."""
        kind, _, number = name.rpartition("-")
        base = {"core": 10, "front": 30, "server": 50}[kind]
        return f"{self._net}.{base + int(number)}"

    @staticmethod
    def find_zone(name):
        """Return the zone of a machine or server named KIND-NUMBER."""
        return ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]

    def _find_peers_port(self, name):
        """Return the internal port; machines behind proxies have their own.

        A machine calls others on the port that its own settings name, so
        each proxy listens there and forwards to the port of the other.
        """
        if self.rate is None:
            return PEERS_PORT
        names = [*self.replicas, *self.fronts]
        return PEERS_PORT + PORTS_PER_ROLE * names.index(name)

    def start(self, name, first=False):
        """Start the process of a machine.

        Args:
            name: its name.
            first: whether the whole system starts for the first time.
        """
        address = self.find_address(name)
        is_core = name in self.replicas
        data = self.folder / name
        if is_core:
            data.mkdir(exist_ok=True)
            listen = {"Control": f"{address}:{CONTROL_PORT}"}
        else:
            listen = {
                "FrontendAddr": f"{address}:{FRONTEND_PORT}",
                "ReadinessAddr": f"{address}:{READY_PORT}",
            }
        peers_port = self._find_peers_port(name)
        settings = {
            "NodeName": name,
            "Role": "replica" if is_core else "entry",
            "MachineClass": "core" if is_core else "front",
            "Serves": ["control" if is_core else "front"],
            "Ip": address,
            "Zone": self.find_zone(name),
            "Region": "oslo",
            "Zones": dict.fromkeys(ZONES, "oslo"),
            "Listen": listen,
            "InternalPorts": [peers_port, peers_port + 15],
            "Seeds": [
                f"{self.find_address(one)}:{CONTROL_PORT}"
                for one in self.replicas
            ],
            "Bootstrap": first,
            "InTolerance": is_core,
            "Limits": {"MemoryMb": 296, "MaxFds": 4096},
            "DataDir": str(data) if is_core else None,
            "Discovery": "registry",
            "EntryMode": "vip",
            "HeartbeatMs": int(HEARTBEAT_SECONDS * 1000),
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": self.bounds,
            "ConfigMode": "highest",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        variables = {
            one: os.environ[one] for one in KEPT_VARIABLES if one in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["CAMPHORHOOK_BOOT"] = str(path)
        log = open(self.folder / f"{name}.log", "ab")
        self._logs.append(log)
        self._processes[name] = subprocess.Popen(
            [*COMMAND, "--platform"],
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.record.write(f"machine {name} started, first={first}")

    def kill(self, name):
        """Send SIGKILL to the process of a machine and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        self.record.write(f"machine {name} killed")

    def send_signal(self, name, number):
        """Send a signal to the process of a machine."""
        self._processes[name].send_signal(number)
        self.record.write(f"machine {name} got {signal.Signals(number).name}")

    def poll(self, name):
        """Return the exit code of a machine's process; None if it runs."""
        return self._processes[name].poll()

    def lose_disk(self, name):
        """Delete the data folder of a machine that was killed."""
        shutil.rmtree(self.folder / name)
        self.record.write(f"machine {name} lost its disk")

    async def open_links(self, megabits):
        """Put all links between machines behind proxies of a limited rate.

        Args:
            megabits: bandwidth of each machine's own link, in Mbit/s.
        """
        self.rate = megabits * 125_000
        for target in [*self.replicas, *self.fronts]:
            for source in [*self.replicas, *self.fronts]:
                if source != target:
                    await self._open_link(source, target)

    async def _open_link(self, source, target):
        for offset in (0, 1, 2):

            async def relay(reader, writer, offset=offset):
                await self._relay(reader, writer, source, target, offset)

            self._proxies.append(
                await asyncio.start_server(
                    relay,
                    self.find_address(target),
                    self._find_peers_port(source) + offset,
                )
            )

    async def _relay(self, reader, writer, source, target, offset):
        try:
            remote = await asyncio.open_connection(
                self.find_address(target),
                self._find_peers_port(target) + offset,
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, remote[1], source, target),
            self._pump(remote[0], writer, target, source),
        )

    async def _pump(self, reader, writer, source, target):
        try:
            while data := await reader.read(4096):
                now = time.monotonic()
                ends = [
                    max(now, self._links.get(link, 0.0))
                    + len(data) / self.rate
                    for link in ((source, "out"), (target, "in"))
                ]
                self._links[source, "out"], self._links[target, "in"] = ends
                await asyncio.sleep(max(0.0, max(ends) - now))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()

    async def put_document(self, document, seconds=START_SECONDS):
        """Send a desired state until it is acknowledged; return the replica.

        Returns:
            The name of the replica that answered 200; "" for none in time.
        """
        return await self.order(
            "PUT", "/-/config", json.dumps(document).encode(), seconds
        )

    async def order(self, method, target, body=b"", seconds=START_SECONDS):
        """Send an order to one replica after the other until one answers 200.

        Returns:
            The name of the replica; "" for none in time.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for name in self.replicas:
                reply = await call(
                    self.find_address(name),
                    CONTROL_PORT,
                    method,
                    target,
                    body=body,
                    seconds=1.0 + len(body) / 250_000,
                )
                if reply.status == 200:
                    self.record.write(f"order {method} {target}: 200 {name}")
                    return name
                self.record.write(
                    f"order {method} {target}: {reply.status} {name}"
                )
            await asyncio.sleep(0.2)
        return ""

    async def read_gauge(self, name, gauge):
        """Return the value of a metric of a machine; None if unknown."""
        reply = await call(
            self.find_address(name), METRICS_PORT, "GET", "/metrics"
        )
        for line in reply.body.decode("latin-1").splitlines():
            words = line.split()
            if len(words) == 2 and words[0].split("{")[0].endswith(gauge):
                return float(words[1])
        return None

    async def send(self, front, request, target, headers=(), **options):
        """Send a client's request to an entry instance; return the Reply."""
        body = options.pop("body", b"")
        return await call(
            self.find_address(front),
            FRONTEND_PORT,
            options.pop("method", "POST"),
            target,
            [("Host", "h.example"), ("X-Request-Id", request), *headers],
            body,
            **options,
        )

    async def wait_ready(self, front, seconds=START_SECONDS):
        """Wait until an entry instance says that it is ready.

        Raises:
            CannotRun: it is not ready in time.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            reply = await call(
                self.find_address(front), READY_PORT, "GET", "/-/ready"
            )
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{front} is not ready")

    def close(self, keeps_logs=False):
        """Kill all processes that this deployment started."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        for proxy in self._proxies:
            proxy.close()
        for log in self._logs:
            log.close()
        if not keeps_logs:
            shutil.rmtree(self.folder, ignore_errors=True)


class Server:
    """A stand-in for a server: it serves requests and sends pings.

    Attributes:
        name: KIND-NUMBER, which gives its address and zone.
        instance: its `Id`.
        state: `ready` or `draining`.
        version: version of its software.
        cold_until: time on the monotonic clock until which it is cold.
        arrivals: (time, request id) of each request that reached it and
            named it.
    """

    def __init__(self, deployment, name, service, answer, slots=64):
        """Create a server that does not run yet.

        Args:
            deployment: the Deployment.
            name: `server-NUMBER`.
            service: name of the service.
            answer: async function of (server, writer, headers, target) that
                answers a request that it runs.
            slots: requests at once.
        """
        self.deployment = deployment
        self.name = name
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.service = service
        self.state = "ready"
        self.version = "v1"
        self.cold_until = 0.0
        self.arrivals = []
        self._answer = answer
        self._slots = slots
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._server = None
        self._writers = set()
        self._turn = 0
        self._pinger = None

    async def start(self, ping_seconds=0.0):
        """Open the port and begin to send pings.

        Args:
            ping_seconds: seconds after which the first ping arrives.
        """
        self._server = await asyncio.start_server(
            self._serve, self.deployment.find_address(self.name), SERVER_PORT
        )
        self._pinger = asyncio.create_task(self._send_pings(ping_seconds))

    def restart(self):
        """Begin a new boot under the same `Id`."""
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0

    def stop_pings(self):
        """Send no more pings."""
        self._pinger.cancel()

    def reset(self):
        """Reset all channels, as a crash does."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Close the port and all channels."""
        self.stop_pings()
        self._server.close()
        self.reset()

    def make_ping(self):
        """Return the body of the next ping."""
        self._sequence += 1
        left = max(0.0, self.cold_until - time.monotonic())
        address = self.deployment.find_address(self.name)
        return json.dumps(
            {
                "Service": self.service,
                "Address": f"{address}:{SERVER_PORT}",
                "Zone": self.deployment.find_zone(self.name),
                "Version": self.version,
                "Slots": self._slots,
                "State": self.state,
                "ColdRemainingMs": int(left * 1000),
                "Sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    async def ping(self, replica=None, body=None):
        """Send a ping to a replica; return whether it was acknowledged."""
        return await self._call(
            "PUT", replica, self.make_ping() if body is None else body
        )

    async def deregister(self, replica):
        """Send DELETE to a replica; return whether it was acknowledged."""
        body = json.dumps({"born": self._born}).encode()
        return await self._call("DELETE", replica, body)

    async def _call(self, method, replica, body):
        replicas = self.deployment.replicas
        for _ in replicas:
            target = replica or replicas[self._turn % len(replicas)]
            reply = await call(
                self.deployment.find_address(target),
                CONTROL_PORT,
                method,
                f"/-/instances/{self.instance}",
                body=body,
                seconds=1.0,
            )
            if reply.status == 200:
                self.deployment.record.write(
                    f"{method} {self.name} {self.state} acked by {target}"
                )
                return True
            self._turn += 1
            if replica:
                return False
        return False

    async def _send_pings(self, ping_seconds):
        await asyncio.sleep(ping_seconds)
        while True:
            await self.ping()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                await self._handle(writer, first, headers)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, writer, first, headers):
        method, target, _ = first.split(" ")
        request = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.instance) != self.instance:
            send_head(writer, 421, request, [("Content-Length", "0")])
        elif target in ("/health", "/-/report"):
            left = max(0.0, self.cold_until - time.monotonic())
            more = [
                ("Content-Length", "2"),
                ("X-Instance-Id", self.instance),
                ("X-Cold-Ms", str(int(left * 1000))),
            ]
            send_head(writer, 200, request, more)
            writer.write(b"{}")
        elif target == "/-/kv-list":
            body = b'{"epoch":1,"Next":1,"held":[]}'
            send_head(
                writer, 200, request, [("Content-Length", str(len(body)))]
            )
            writer.write(body)
        else:
            self.arrivals.append((time.monotonic(), request))
            self.deployment.record.write(
                f"{self.name} got {request} {method} {target}"
            )
            await self._answer(self, writer, headers, target)
        await writer.drain()


def send_head(writer, status, request, headers):
    """Write the head of a server's answer."""
    lines = [f"HTTP/1.1 {status} -", f"X-Request-Id: {request}"]
    lines.append(f"X-Response-Seal: seal.{request}")
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())


async def answer_plain(server, writer, headers, target):
    """Answer with a short body."""
    request = headers.get("x-request-id", "")
    body = f"{server.instance} {request}".encode()
    send_head(writer, 200, request, [("Content-Length", str(len(body)))])
    writer.write(body)


def make_route(name, service, kind="safe", **more):
    """Return a route for the prefix /NAME/ of h.example."""
    return {
        "Name": name,
        "Host": "h.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "Attempts": 2,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        **more,
    }


def make_document(version, routes, services, keys=("key-1",)):
    """Return a desired state with one tenant."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {"Name": "tenant-1", "ApiKeys": list(keys), "Priority": 1}
        ],
    }


def run(play, path):
    """Play a case; return its exit code.

    Args:
        play: async function of (record, has_trouble), which returns whether
            the rule held.
        path: of the file for the Record.

    Returns:
        0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
    """
    record = Record(path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")
    # The processes of the case are ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        holds = asyncio.run(play(record, has_trouble))
    except Exception as error:  # noqa: B902 - an error shows no break
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record.write("the rule held" if holds else "the rule was broken")
    print("the rule held" if holds else "the rule was broken")
    return 0 if holds else 1
