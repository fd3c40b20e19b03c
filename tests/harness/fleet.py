"""Runs a fleet of processes: instances, stand-ins and the fault proxy."""

import atexit
import json
import pathlib
import shutil
import signal
import socket
import time

import httpcore

from camphorhook import api_client
from camphorhook import csvfiles
from camphorhook import keys
from camphorhook_common import secrets
from camphorhook_common import timeline
from tests.harness import callers
from tests.harness import plans
from tests.harness import processes

READY_TIMEOUT_SECONDS = 30.0
LOG_TAIL_CHARACTERS = 2000
TABLES = ("client_accounts", "services", "routes", "failure_domains")


class Fleet:
    """Starts and stops the processes of a FleetPlan.

    Attributes:
        plan: the FleetPlan.
        folder: folder of settings, keys, data, logs and time lines.
        processes: the Process of each name.
    """

    def __init__(
        self, plan, folder, *, settings_folder=None, proxied=False, extra=None
    ):
        """Create the settings and keys of a fleet; no process is started.

        Args:
            plan: the FleetPlan.
            folder: folder for this fleet alone; its contents are deleted.
            settings_folder: folder of existing settings files; None writes
                new ones to `folder`.
            proxied: whether connections between instances and to upstreams
                go through the fault proxy.
            extra: additional options for the settings of all instances, as
                {section: {option: value}}.
        """
        self.plan = plan
        self.folder = pathlib.Path(folder).resolve()
        self.processes = {}
        self._arguments = {}
        self._paused = set()
        self._links = plans.plan_links(plan) if proxied else None
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.settings_folder = pathlib.Path(settings_folder or self.folder)
        if settings_folder is None:
            plans.write_settings(plan, self.folder, ".", self._links, extra)
        names = [one.name for one in plan.instances]
        keys.make_instance_keys(self.folder / "keys", names)
        hashed = secrets.hash_key(plan.operator_key)
        (self.folder / "operators").write_text(f"operator {hashed}\n")
        servers = [one.operators for one in plan.instances]
        atexit.register(self.close)
        self.client = api_client.Client(servers, plan.operator_key)

    # --- processes -------------------------------------------------------

    def _start(self, name, arguments):
        path = self.folder / f"{name}.log"
        process = processes.Process(name, arguments, path)
        self.processes[name] = process
        self._arguments[name] = [one for one in arguments if one != "--found"]
        return process

    def start_instance(self, name, *, found=False):
        """Start an instance; `found` adds the option --found."""
        path = self.settings_folder / f"{name}.ini"
        options = ["--config", path] + (["--found"] if found else [])
        arguments = processes.run_program("camphorhookd", *options)
        return self._start(name, arguments)

    def start_instances(self):
        """Start every instance for the first time, as a new fleet."""
        if self._links:
            self._start_proxy()
        for instance in self.plan.instances:
            self.start_instance(instance.name, found=True)

    def _start_proxy(self):
        path = self.folder / "links.json"
        path.write_text(json.dumps(self._links))
        options = ("--control", self.plan.proxy_port, "--links", path)
        self._start(
            "proxy", processes.run_module("tests.standins.proxy", *options)
        )
        processes.wait_until(self._is_proxy_up, what="proxy")

    def _is_proxy_up(self):
        try:
            self._connect_proxy().close()
        except OSError:
            return False
        return True

    def _connect_proxy(self):
        address = ("127.0.0.1", self.plan.proxy_port)
        return socket.create_connection(address, 5.0)

    def start_upstream(self, name, *options):
        """Start a stand-in upstream with additional command-line options."""
        plan = next(one for one in self.plan.upstreams if one.name == name)
        announce = ",".join(
            instance.upstreams
            for instance in self.plan.list_in_domain(plan.failure_domain)
        )
        common = ["--name", name, "--domain", plan.failure_domain]
        common += ["--service", plan.service, "--port", plan.port]
        if self._links:
            common += ["--reached-at", self._links[f"up:{name}"][0]]
        common += ["--announce", announce]
        if plan.models:
            module = "tests.standins.engine"
            common += ["--models", plan.models]
            common += ["--log", self.folder / f"{name}.requests"]
        else:
            module = "tests.standins.service"
            common += ["--effects", self.folder / "effects"]
        arguments = processes.run_module(module, *common, *options)
        return self._start(name, arguments)

    def start_upstreams(self, *options):
        """Start every stand-in upstream; only engines get the options."""
        for upstream in self.plan.upstreams:
            given = options if upstream.models else ()
            self.start_upstream(upstream.name, *given)

    def kill(self, name):
        """Kill a process with SIGKILL."""
        self.processes[name].kill()

    def pause(self, name):
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)
        self._paused.add(name)

    def resume(self, name):
        """Resume a suspended process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)
        self._paused.discard(name)

    def list_running(self):
        """Return the names of instances whose processes are running."""
        return [
            one.name
            for one in self.plan.instances
            if self.processes[one.name].is_running()
        ]

    def list_paused(self):
        """Return the names of suspended processes."""
        return list(self._paused)

    def read_timeline(self, name):
        """Return the events that an instance wrote to its time line file."""
        return timeline.load(self.folder / f"{name}.timeline.jsonl")

    def restart(self, name):
        """Restart a process with its previous arguments but --found."""
        return self._start(name, self._arguments[name])

    def restore(self):
        """Remove faults, restart exited processes and wait for recovery."""
        if self._links:
            self.set_fault(self._links, "none")
        for name in list(self._paused):
            self.resume(name)
        since = time.time() * 1000
        ended = [
            name
            for name, process in self.processes.items()
            if not process.is_running()
        ]
        for name in ended:
            self.restart(name)
        self.wait_ready()
        self.wait_upstreams()
        processes.wait_until(self.has_all_voters, what="all voters")
        for upstream in self.plan.upstreams:
            if upstream.name in ended:
                self.wait_incarnation(upstream.name, since)

    def has_all_voters(self):
        """Return whether all replicas are voters and list all as voters."""
        replicas = [
            one.name for one in self.plan.instances if "replica" in one.roles
        ]
        rows = self.read_status()
        return all(
            rows[name].get("log_role") in ("follower", "leader")
            and rows[name]["voters"] == replicas
            for name in replicas
        )

    def wait_incarnation(self, upstream, since):
        """Wait until every instance knows a new incarnation of an upstream.

        Args:
            upstream: name of the upstream.
            since: earliest incarnation, in milliseconds since the epoch.
        """

        def is_known(name):
            rows = self.make_client(name).read("/upstreams")["upstreams"]
            return any(
                row["name"] == upstream and row["incarnation"] >= since
                for row in rows
            )

        for instance in self.plan.instances:
            processes.wait_until(
                lambda name=instance.name: is_known(name),
                what=f"{instance.name} knows the new {upstream}",
            )

    def close(self):
        """Kill every process that this fleet started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()

    # --- waiting ---------------------------------------------------------

    def read_state(self, name):
        """Return the status of an instance's readiness probe.

        Returns:
            The status; empty if the instance did not answer.

        Raises:
            RuntimeError: the process has exited.
        """
        process = self.processes.get(name)
        if process is not None and not process.is_running():
            tail = process.read_log()[-LOG_TAIL_CHARACTERS:]
            raise RuntimeError(f"{name} has exited; last output: {tail}")
        address = self.plan.find_instance(name).callers
        try:
            return callers.send("GET", address, "/readyz").json()["status"]
        except (OSError, httpcore.NetworkError, httpcore.TimeoutException):
            return ""
        except httpcore.ProtocolError:
            return ""

    def wait_ready(self, *names):
        """Wait until the named instances, or all, are ready."""
        names = names or [one.name for one in self.plan.instances]
        for name in names:
            processes.wait_until(
                lambda name=name: self.read_state(name) == "ready",
                READY_TIMEOUT_SECONDS,
                f"{name} ready",
            )

    def wait_upstreams(self, count=None, names=None):
        """Wait until instances list exactly `count` live upstreams.

        Args:
            count: number of upstreams; None for all of the plan.
            names: names of the instances; None for all of the plan.
        """
        count = len(self.plan.upstreams) if count is None else count
        names = names or [one.name for one in self.plan.instances]
        for name in names:
            processes.wait_until(
                lambda name=name: len(self.list_live_upstreams(name)) == count,
                READY_TIMEOUT_SECONDS,
                f"{name} lists {count} live upstreams",
            )

    def make_client(self, name):
        """Return an API client of one instance's operators listener."""
        address = self.plan.find_instance(name).operators
        return api_client.Client([address], self.plan.operator_key)

    def list_live_upstreams(self, name):
        """Return the names of live upstreams that an instance hears."""
        rows = self.make_client(name).read("/upstreams")["upstreams"]
        return [
            row["name"]
            for row in rows
            if row["heard"] and row["state"] == "live"
        ]

    def read_status(self):
        """Return {instance: status row} from the operators API."""
        rows = self.client.read("/status")["instances"]
        return {row["name"]: row for row in rows}

    def find_leader(self):
        """Return the name of the leader of the highest term, or empty."""
        leaders = [
            (row.get("term", 0), name)
            for name, row in self.read_status().items()
            if row.get("log_role") == "leader"
        ]
        return max(leaders, default=(0, ""))[1]

    # --- set-up and faults -----------------------------------------------

    def load_tables(self, folder):
        """Import the CSV files of a folder and wait until in force."""
        for table in TABLES:
            path = pathlib.Path(folder) / f"{table}.csv"
            for row, cells in csvfiles.load(table, path).items():
                self.client.change_row(table, row, cells)
        index = self.client.read_table(TABLES[-1])["index"]
        self.wait_in_force(index)

    def wait_in_force(self, index):
        """Wait until every instance has a configuration index in force."""
        processes.wait_until(
            lambda: self._all_in_force(index), what=f"index {index} in force"
        )

    def _all_in_force(self, index):
        rows = self.read_status().values()
        return all(row.get("index", -1) >= index for row in rows)

    def set_fault(self, links, fault, **options):
        """Inject a fault on links of the proxy.

        Args:
            links: names of links, such as "a1>b1" or "up:NAME".
            fault: name of the fault, see tests.standins.proxy.
            **options: `delay_ms` and `drop`, see tests.standins.proxy.
        """
        command = {"links": list(links), "fault": fault, **options}
        with self._connect_proxy() as connection:
            connection.sendall(json.dumps(command).encode() + b"\n")
            connection.recv(16)

    def list_links(self):
        """Return the names of all links of the proxy."""
        return list(self._links)

    def list_links_between(self, first, second):
        """Return the links between two sets of instances, both directions."""
        links = []
        for one in first:
            for other in second:
                if one != other:
                    links += [f"{one}>{other}", f"{other}>{one}"]
        return links

    def read_effects(self):
        """Return the effects that plain services wrote to the effects file."""
        path = self.folder / "effects"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]
