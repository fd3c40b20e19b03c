"""Runs the processes under test behind a proxy and disturbs them."""

import collections
import contextlib
import json
import os
import resource
import signal
import socket
import time

from tests.harness import platforms
from tests.harness import processes
from tests.soak import checkers
from tests.soak import schedules

PROXY_PORT_OFFSET = 100  # from the port of a process to that of its proxy
VERSIONS = 2
PLACES = ("--places=1", "--work=0.002", "--waiting=1")
COLD_SECONDS = 2.0
DRAIN_SECONDS = 3.0  # longer than requests may arrive after a departure
DELAY_MS = 150
TORN_RECORD_BYTES = 11  # shorter than the header of a record
MAX_FILE_BYTES = 1  # no file can grow
START_TIMEOUT_SECONDS = 20.0


def make_document(version):
    """Return an encoded document with a route and a key of its version."""
    document = json.loads(
        platforms.make_document(version, ("key-1", f"key-v{version}"))
    )
    route = dict(document["Routes"][0])
    route.update(Name=f"v{version}", PathPrefix=f"/v{version}/", Public=True)
    document["Routes"].append(route)
    for service in document["Services"]:
        service["ColdPerS"] = checkers.COLD_RATE
    return json.dumps(document).encode()


class World:
    """Processes on loopback addresses; a proxy serves clients and servers.

    Attributes:
        platform: the platforms.Platform that runs the processes.
    """

    def __init__(self, folder, slot, seed, program=None):
        """Initialize the platform; no process runs until `start`.

        Args:
            folder: folder for settings, data and logs.
            slot: number that selects addresses not used by other runs.
            seed: seed of the proxy's random choices.
            program: command line of the daemon; None runs the installed one.
        """
        self.platform = platforms.Platform(folder, slot)
        # The proxy tells instances apart by their addresses.
        self._program = program or processes.run_module(
            "tests.harness.bound_daemon", "--platform"
        )
        self._seed = seed
        self._starts = collections.Counter()
        self._control_port = 24000 + slot
        self._ports = {
            **{name: platforms.FRONTEND_PORT for name in schedules.ENTRIES},
            **{name: platforms.SERVER_PORT for name in schedules.SERVERS},
        }

    def find_proxy_address(self, name):
        """Return (host, port) of the proxy for an instance or server."""
        port = self._ports[name] + PROXY_PORT_OFFSET
        return self.platform.find_address(name), port

    def start(self):
        """Start all processes and wait until requests are served."""
        self._start_proxy()
        for name in (*schedules.REPLICAS, *schedules.ENTRIES):
            self.platform.start(name, program=self._program)
        for name in schedules.SERVERS:
            self.start_server(name)
        processes.wait_until(
            lambda: self.call_control("PUT", "/-/config", make_document(1)),
            START_TIMEOUT_SECONDS,
            "acknowledgement of the first document",
        )
        for name in schedules.ENTRIES:
            processes.wait_until(
                lambda one=name: self.is_serving(one),
                START_TIMEOUT_SECONDS,
                name,
            )

    def _start_proxy(self):
        links = {
            name: [
                ":".join(map(str, self.find_proxy_address(name))),
                f"{self.platform.find_address(name)}:{port}",
            ]
            for name, port in self._ports.items()
        }
        path = self.platform.folder / "links.json"
        path.write_text(json.dumps(links))
        self.platform.running["proxy"] = processes.Process(
            "proxy",
            processes.run_module(
                "tests.standins.proxy",
                f"--control={self._control_port}",
                f"--links={path}",
                f"--seed={self._seed}",
            ),
            self.platform.folder / "proxy.log",
        )

    def start_server(self, name, cold_seconds=0.0):
        """Start a server behind the proxy, of another version each time."""
        number = schedules.SERVERS.index(name)
        service = schedules.find_service(name)
        host, port = self.find_proxy_address(name)
        turn = number // len(schedules.SERVICES)
        version = 1 + (turn + self._starts[name]) % VERSIONS
        self._starts[name] += 1
        self.platform.start_server(
            name,
            service,
            schedules.DOMAINS[number % 3],
            f"--advertise={host}:{port}",
            f"--cold={cold_seconds}",
            f"--drain={DRAIN_SECONDS}",
            f"--version=v{version}",
            *(PLACES if service == "plain" else ()),
        )

    def is_serving(self, entry):
        """Return whether an instance serves safe and unsafe requests."""
        return all(
            self.platform.request(entry, target, "key-1").status == 200
            for target in ("/safe/a", "/unsafe/a")
        )

    def call_control(self, method, path, body=None):
        """Call the control API; return whether the call was acknowledged."""
        return self.platform.call_control(method, path, body).status == 200

    def read_version(self, replica):
        """Return the document version of a replica, 0 if it has none."""
        number = schedules.REPLICAS.index(replica) + 1
        answer = self.platform.call_control(
            "GET", "/-/config", replicas=(number,)
        )
        with contextlib.suppress(ValueError, KeyError):
            return json.loads(answer.body)["Version"]
        return 0

    def wait_version(self, replica):
        """Return the document version of a replica once it answers.

        A replica that lost its disk answers only after it follows the log
        again. Returns 0 if it does not within RECOVER_SECONDS.
        """
        try:
            return processes.wait_until(
                lambda: self.read_version(replica), checkers.RECOVER_SECONDS
            )
        except TimeoutError:
            return 0

    def set_link(self, name, fault):
        """Inject a fault at the proxy of a process."""
        self._call_proxy(
            {"links": [name], "fault": fault, "delay_ms": DELAY_MS}
        )

    def set_upstream_links(self, entry, fault):
        """Inject a fault at the links of an instance to all servers."""
        sources = [self.platform.find_address(entry)]
        links = list(schedules.SERVERS)
        self._call_proxy({"links": links, "sources": sources, "fault": fault})

    def _call_proxy(self, command):
        address = ("127.0.0.1", self._control_port)
        with socket.create_connection(address, 5.0) as connection:
            connection.sendall(json.dumps(command).encode() + b"\n")
            connection.recv(16)

    def stop(self, name, signal_number):
        """Send SIGKILL or SIGTERM to a process and wait until it exits."""
        process = self.platform.running.pop(name)
        if signal_number == signal.SIGKILL:
            process.kill()
        else:
            process.stop()

    def restart(self, name, cold_seconds=COLD_SECONDS):
        """Restart a process that has exited."""
        if name in schedules.SERVERS:
            self.start_server(name, cold_seconds)
        else:
            self.platform.start(name, first=False, program=self._program)

    def send_signal(self, name, signal_number):
        """Send a signal to a process."""
        self.platform.running[name].send_signal(signal_number)

    def set_disk_full(self, name, is_full):
        """Make the writes of a process fail as on a full disk, or succeed."""
        limit = MAX_FILE_BYTES if is_full else resource.RLIM_INFINITY
        process = self.platform.running[name]
        if process.is_running():
            resource.prlimit(
                process.pid,
                resource.RLIMIT_FSIZE,
                (limit, resource.RLIM_INFINITY),
            )

    def tear_journal(self, name):
        """Append a torn record to the newest file of a stopped replica."""
        folder = self.platform.folder / name
        files = [one for one in folder.rglob("*.log") if one.is_file()]
        if files:
            newest = max(files, key=lambda one: one.stat().st_mtime)
            with open(newest, "ab") as file:
                file.write(os.urandom(TORN_RECORD_BYTES))

    def close(self):
        """Kill every process that was started here."""
        for name, process in self.platform.running.items():
            if name != "proxy":
                process.send_signal(signal.SIGCONT)
        self.platform.close()

    def wait_recovered(self, seconds):
        """Wait until every entry instance serves requests again.

        Returns:
            The time taken in seconds; None if it exceeds `seconds`.
        """
        started_at = time.monotonic()
        for name in schedules.ENTRIES:
            left = seconds - (time.monotonic() - started_at)
            try:
                processes.wait_until(
                    lambda one=name: self.is_serving(one), max(0.1, left)
                )
            except TimeoutError:
                return None
        return time.monotonic() - started_at
