"""Runs the processes under test behind a proxy and disturbs them."""

import collections
import contextlib
import json
import os
import re
import resource
import signal
import socket
import threading
import time

from tests.harness import bound_daemon
from tests.harness import builds
from tests.harness import platforms
from tests.harness import processes
from tests.soak import checkers
from tests.soak import operators
from tests.soak import schedules

PROXY_PORT_OFFSET = 100  # from the port of a process to that of its proxy
CONTROL_PROXY_PORT = platforms.CONTROL_PORT + PROXY_PORT_OFFSET
OLD_COMMIT = "1fc2f3c"  # the build that an upgrade begins with
MOST_REPLICAS = 12  # that ever run, with those that were replaced
_LEADER_LINE = re.compile(r"leads the log in term (\d+)")
VERSIONS = 2
PLACES = ("--places=1", "--work=0.002", "--waiting=1")
COLD_SECONDS = 2.0
DRAIN_SECONDS = 3.0  # longer than requests may arrive after a departure
DELAY_MS = 150
SEED_LAG_SECONDS = 3.0  # until callers' lists name a replica, or no more
TORN_RECORD_BYTES = 11  # shorter than the header of a record
MAX_FILE_BYTES = 1  # no file can grow
START_TIMEOUT_SECONDS = 20.0


def find_program(commit):
    """Return the command line of a commit's daemon behind the proxies."""
    daemon = processes.run_module(
        "tests.harness.bound_daemon", bound_daemon.BEHIND_PROXY, "--platform"
    )
    if commit == builds.NEW:
        return daemon
    # The variables of the build, for the program of the harness.
    return [*builds.find_program(commit)[:2], *daemon]


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


def make_invalid_document(version, how):
    """Return an encoded document, invalid in a way of schedules.INVALID."""
    document = json.loads(make_document(version))
    route = document["Routes"][-1]
    if how == "unknown service":
        route["Service"] = "nowhere"
    elif how == "same route":
        document["Routes"].append({**route, "Name": "again"})
    elif how == "no weight":
        del route["Service"]
        route["TrafficSplit"] = [{"Service": "plain", "Weight": 0}]
    elif how == "no time":
        route["TimeoutMs"] = 0
    elif how == "shared key":
        account = document["Tenants"][0]
        document["Tenants"].append({**account, "Name": "account-2"})
    body = json.dumps(document).encode()
    return body[:-20] if how == "cut off" else body


def make_other_document(version):
    """Return an encoded document with other content than the usual one."""
    document = json.loads(make_document(version))
    document["Routes"][-1].update(PathPrefix="/other/")
    return json.dumps(document).encode()


class World:
    """Processes on loopback addresses; a proxy serves clients and servers.

    Attributes:
        platform: the platforms.Platform that runs the processes.
    """

    def __init__(self, folder, slot, seed, program=None, old=()):
        """Initialize the platform; no process runs until `start`.

        Args:
            folder: folder for settings, data and logs.
            slot: number that selects addresses not used by other runs.
            seed: seed of the proxy's random choices.
            program: command line of the daemon; None runs the installed one.
            old: names of the instances that run the build of OLD_COMMIT.
        """
        self.platform = platforms.Platform(folder, slot)
        # The proxy tells instances apart by their addresses.
        self._program = program or find_program(builds.NEW)
        self._old = set(old)
        self._old_program = find_program(OLD_COMMIT) if old else None
        self._seed = seed
        self._starts = collections.Counter()
        self._control_ports = {"proxy": 24000 + slot, "peers": 24200 + slot}
        # The process at the place of each replica that the schedule names.
        self._occupants = {name: name for name in schedules.REPLICAS}
        self._listed = list(schedules.REPLICAS)
        self._list_lock = threading.Lock()
        self._controls = self.platform.folder / "controls"
        self._timers = []
        self._ports = {
            **{name: platforms.FRONTEND_PORT for name in schedules.ENTRIES},
            **{name: platforms.SERVER_PORT for name in schedules.SERVERS},
        }

    def find_proxy_address(self, name):
        """Return (host, port) of the proxy for an instance or server."""
        port = self._ports[name] + PROXY_PORT_OFFSET
        return self.platform.find_address(name), port

    def find_process(self, name):
        """Return the name of the process of an instance or server."""
        return self._occupants.get(name, name)

    def list_controls(self):
        """Return the address, by the proxy, of each replica on the list."""
        return [
            (self.platform.find_address(name), CONTROL_PROXY_PORT)
            for name in self._listed
        ]

    def list_replicas(self):
        """Return (name, control address) of each replica that runs."""
        return [
            (name, (self.platform.find_address(name), platforms.CONTROL_PORT))
            for name in list(self.platform.running)
            if name.startswith("replica-")
        ]

    def find_control(self, place):
        """Return the address, by the proxy, of the replica at a place."""
        name = self._occupants[place]
        return self.platform.find_address(name), CONTROL_PROXY_PORT

    def upgrade(self, name):
        """Let an instance start as the new build from now on."""
        self._old.discard(name)

    def _start_instance(self, name, first=False):
        program = self._old_program if name in self._old else self._program
        self.platform.start(name, first, program)

    def find_leader(self):
        """Return the place of the replica that led last by its log."""
        terms = {}
        for place, name in self._occupants.items():
            log = (self.platform.folder / f"{name}.log").read_text(
                errors="replace"
            )
            found = _LEADER_LINE.findall(log)
            terms[place] = max(map(int, found), default=0)
        return max(terms, key=terms.get)

    def _change_list(self, name, is_listed):
        """Let callers' lists name a replica, or no more, after their lag."""

        def change():
            with self._list_lock:
                if is_listed:
                    self._listed = [*self._listed, name]
                else:
                    self._listed = [one for one in self._listed if one != name]
                self._write_list()

        timer = threading.Timer(SEED_LAG_SECONDS, change)
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def _write_list(self):
        seeds = [self.platform.find_address(name) for name in self._listed]
        # Settings name three replicas.
        self.platform.seeds = seeds[-3:]
        partial = self._controls.with_suffix(".partial")
        partial.write_text(
            ",".join(f"{one}:{platforms.CONTROL_PORT}" for one in seeds)
        )
        partial.rename(self._controls)

    def add_replica(self, place):
        """Start a replica with an empty disk at a new address.

        Returns:
            Its name, once it answers; None if there is no address left.

        Raises:
            TimeoutError: it does not answer in START_TIMEOUT_SECONDS.
        """
        number = schedules.REPLICAS.index(place) + 1
        self._starts[place] += 1
        number += len(schedules.REPLICAS) * self._starts[place]
        if number > MOST_REPLICAS:
            return None
        name = f"replica-{number}"
        self._start_instance(name)
        self._change_list(name, True)
        address = self.platform.find_address(name), platforms.CONTROL_PORT
        processes.wait_until(
            lambda: operators.call(address, "GET", operators.CONFIG_PATH)[0],
            START_TIMEOUT_SECONDS,
            name,
        )
        return name

    def let_replica_go(self, place, successor):
        """Take a replica off the list, and put another at its place.

        Returns:
            The Process of the replica that goes.
        """
        old = self._occupants[place]
        self._occupants[place] = successor
        self._change_list(old, False)
        return self.platform.running.pop(old)

    def start(self):
        """Start all processes and wait until requests are served."""
        self._write_list()
        self._start_proxies()
        for name in (*schedules.REPLICAS, *schedules.ENTRIES):
            self._start_instance(name, True)
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

    def _start_proxies(self):
        self._start_proxy(
            "proxy",
            {
                name: [
                    ":".join(map(str, self.find_proxy_address(name))),
                    f"{self.platform.find_address(name)}:{port}",
                ]
                for name, port in self._ports.items()
            },
        )
        links = {}
        for number in range(1, MOST_REPLICAS + 1):
            name = f"replica-{number}"
            address = self.platform.find_address(name)
            links[f"control {name}"] = [
                f"{address}:{CONTROL_PROXY_PORT}",
                f"{address}:{platforms.CONTROL_PORT}",
            ]
            own_port = platforms.PEERS_PORT + bound_daemon.PEERS_OFFSET
            links[f"peers {name}"] = [
                f"{address}:{platforms.PEERS_PORT}",
                f"{address}:{own_port}",
            ]
        self._start_proxy("peers", links)

    def _start_proxy(self, proxy, links):
        path = self.platform.folder / f"{proxy}.json"
        path.write_text(json.dumps(links))
        self.platform.running[proxy] = processes.Process(
            proxy,
            processes.run_module(
                "tests.standins.proxy",
                f"--control={self._control_ports[proxy]}",
                f"--links={path}",
                f"--seed={self._seed}",
            ),
            self.platform.folder / f"{proxy}.log",
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
            f"--control-list={self._controls}",
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
        number = int(self.find_process(replica).rpartition("-")[2])
        answer = self.platform.call_control(
            "GET", "/-/config", replicas=(number,)
        )
        with contextlib.suppress(ValueError, KeyError):
            return json.loads(answer.body)["Version"]
        return 0

    def wait_versions(self, started_at):
        """Return the document version of each replica once it answers.

        A replica that lost its disk answers only after it follows the log
        again. The version is 0 where it does not within RECOVER_SECONDS.

        Args:
            started_at: end of the faults, by the monotonic clock.
        """
        return tuple(
            self._wait_version(replica, started_at)
            for replica in schedules.REPLICAS
        )

    def _wait_version(self, replica, started_at):
        left = started_at + checkers.RECOVER_SECONDS - time.monotonic()
        try:
            return processes.wait_until(
                lambda: self.read_version(replica), max(0.0, left)
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

    def set_operator_link(self, place, fault):
        """Inject a fault at the operator's link to a replica."""
        number = int(place.rpartition("-")[2])
        names = range(number, MOST_REPLICAS + 1, len(schedules.REPLICAS))
        links = [f"control replica-{n}" for n in names]
        command = {"links": links, "fault": fault, "delay_ms": DELAY_MS}
        self._call_proxy(command, "peers")

    def set_peer_links(self, place, fault):
        """Inject a fault at all links between a replica and instances."""
        name = self._occupants[place]
        sources = [self.platform.find_address(name)]
        others = [
            f"peers replica-{n}"
            for n in range(1, MOST_REPLICAS + 1)
            if name != f"replica-{n}"
        ]
        command = {"links": others, "sources": sources, "fault": fault}
        self._call_proxy(command, "peers")
        own = {"links": [f"peers {name}"], "fault": fault}
        self._call_proxy(own, "peers")

    def _call_proxy(self, command, proxy="proxy"):
        address = ("127.0.0.1", self._control_ports[proxy])
        with socket.create_connection(address, 5.0) as connection:
            connection.sendall(json.dumps(command).encode() + b"\n")
            connection.recv(16)

    def stop(self, name, signal_number):
        """Send SIGKILL or SIGTERM to a process and wait until it exits."""
        process = self.platform.running.pop(self.find_process(name))
        if signal_number == signal.SIGKILL:
            process.kill()
        else:
            process.stop()

    def restart(self, name, cold_seconds=COLD_SECONDS):
        """Restart a process that has exited."""
        if name in schedules.SERVERS:
            self.start_server(name, cold_seconds)
        else:
            self._start_instance(self.find_process(name))

    def send_signal(self, name, signal_number):
        """Send a signal to a process."""
        self.platform.running[self.find_process(name)].send_signal(
            signal_number
        )

    def set_disk_full(self, name, is_full):
        """Make the writes of a process fail as on a full disk, or succeed."""
        limit = MAX_FILE_BYTES if is_full else resource.RLIM_INFINITY
        process = self.platform.running[self.find_process(name)]
        if process.is_running():
            resource.prlimit(
                process.pid,
                resource.RLIMIT_FSIZE,
                (limit, resource.RLIM_INFINITY),
            )

    def lose_disk(self, name):
        """Delete the data folder of a stopped replica."""
        self.platform.lose_disk(self.find_process(name))

    def tear_journal(self, name):
        """Append a torn record to the newest file of a stopped replica."""
        folder = self.platform.folder / self.find_process(name)
        files = [one for one in folder.rglob("*.log") if one.is_file()]
        if files:
            newest = max(files, key=lambda one: one.stat().st_mtime)
            with open(newest, "ab") as file:
                file.write(os.urandom(TORN_RECORD_BYTES))

    def close(self):
        """Kill every process that was started here."""
        for timer in self._timers:
            timer.cancel()
        for name, process in self.platform.running.items():
            if name not in self._control_ports:
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
