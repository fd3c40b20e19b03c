"""A platform whose links to upstreams fail at some entry instances."""

import collections
import json
import os
import socket
import threading
import time

from tests.harness import builds
from tests.harness import platforms
from tests.harness import processes

PROXY_PORT = platforms.SERVER_PORT + 100
CONTROL_PORT_BASE = 24400
SERVERS = {
    "server-1": "plain",
    "server-2": "plain",
    "server-3": "plain",
    "server-4": "engine",
    "server-5": "engine",
    "server-6": "engine",
}
PROGRAM = "tests.harness.bound_daemon"
TARGETS = ("/safe/a", "/unsafe/a", "/tokens/stream?events=5&ms=20")
KEY = "key-1"
REQUEST_INTERVAL_SECONDS = 0.05  # at each instance
DEADLINE_SECONDS = 2.5


class Partitions:
    """A platform whose upstreams are reached through a proxy.

    Attributes:
        platform: the platforms.Platform.
        entries: names of the entry instances.
        answers: (entry, target, request, sent at, seconds, status, body) of
            each first try of a client.
    """

    def __init__(self, folder, slot, entries):
        """Start the processes; wait until every instance serves.

        Args:
            folder: folder for settings, data and logs.
            slot: number that selects addresses not used by other runs.
            entries: number of entry instances.
        """
        self.platform = platforms.Platform(folder, slot)
        self.entries = [f"entry-{number + 1}" for number in range(entries)]
        self.answers = []
        self._control_port = CONTROL_PORT_BASE + slot
        self._threads = []
        self._is_stopped = threading.Event()

    def start(self, builds_of=None):
        """Start all processes and wait until every instance serves.

        Args:
            builds_of: commits by entry instance, if not all are new.
        """
        platform = self.platform
        self._start_proxy()
        programs = {
            entry: builds.find_program(commit, PROGRAM)
            for entry, commit in (builds_of or {}).items()
        }
        new_program = processes.run_module(PROGRAM, "--platform")
        for number in (1, 2, 3):
            platform.start(f"replica-{number}")
        for entry in self.entries:
            program = programs.get(entry)
            platform.start(entry, program=program or new_program)
        for number, (name, service) in enumerate(SERVERS.items()):
            domain = platforms.DOMAINS[number % len(platforms.DOMAINS)]
            address = f"{platform.find_address(name)}:{PROXY_PORT}"
            platform.start_server(
                name, service, domain, f"--advertise={address}"
            )
        document = platforms.make_document(1)
        processes.wait_until(
            lambda: platform.call_control("PUT", "/-/config", document).status
            == 200,
            what="acknowledgement of the document",
        )
        for entry in self.entries:
            for target in TARGETS:
                processes.wait_until(
                    lambda one=entry, to=target: platform.request(
                        one, to, KEY
                    ).status
                    == 200,
                    what=f"{target} at {entry}",
                )

    def _start_proxy(self):
        links = {}
        for name in SERVERS:
            address = self.platform.find_address(name)
            links[name] = [
                f"{address}:{PROXY_PORT}",
                f"{address}:{platforms.SERVER_PORT}",
            ]
        path = self.platform.folder / "links.json"
        path.write_text(json.dumps(links))
        self.platform.running["proxy"] = processes.Process(
            "proxy",
            processes.run_module(
                "tests.standins.proxy",
                f"--control={self._control_port}",
                f"--links={path}",
            ),
            self.platform.folder / "proxy.log",
        )

    def set_links(self, entries, fault, servers=tuple(SERVERS)):
        """Set the fault on the links of instances to servers."""
        command = {
            "links": list(servers),
            "sources": [self.platform.find_address(one) for one in entries],
            "fault": fault,
        }
        self._call_proxy(command)

    def set_server(self, server, fault):
        """Set the fault on the links of all instances to a server."""
        self._call_proxy({"links": [server], "fault": fault})

    def _call_proxy(self, command):
        address = ("127.0.0.1", self._control_port)
        with socket.create_connection(address, 5.0) as connection:
            connection.sendall(json.dumps(command).encode() + b"\n")
            connection.recv(16)

    def start_load(self, targets=TARGETS):
        """Start to send requests to each instance, one after the other."""
        for entry in self.entries:
            thread = threading.Thread(target=self._send, args=(entry, targets))
            thread.start()
            self._threads.append(thread)

    def _send(self, entry, targets):
        callers = []
        count = 0
        while not self._is_stopped.is_set():
            target = targets[count % len(targets)]
            count += 1
            caller = threading.Thread(
                target=self._send_one, args=(entry, target)
            )
            caller.start()
            callers.append(caller)
            time.sleep(REQUEST_INTERVAL_SECONDS)
        for caller in callers:
            caller.join()

    def _send_one(self, entry, target):
        request = os.urandom(8).hex()
        sent_at = time.time()
        answer = self.platform.request(
            entry,
            target,
            KEY,
            request,
            headers={"X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))},
        )
        seconds = time.time() - sent_at
        self.answers.append((entry, target, request, sent_at, seconds, answer))

    def stop_load(self):
        """Stop to send, and wait for the answers."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def measure_share(self, entries, begin, end):
        """Return (served, sent) of the first tries at some instances.

        Args:
            entries: names of the instances.
            begin: time in seconds from which requests were sent.
            end: time in seconds until which they were sent.
        """
        found = [
            answer.status == 200
            for entry, _, _, sent_at, _, answer in self.answers
            if entry in entries and begin <= sent_at < end
        ]
        return sum(found), len(found)

    def count_runs(self):
        """Return how often each request ran."""
        return collections.Counter(
            one["request"] for one in self.platform.list_effects()
        )

    def close(self):
        """Stop the load and kill all processes."""
        self.stop_load()
        self.platform.close()
