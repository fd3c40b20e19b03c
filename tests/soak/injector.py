"""Injects the faults of a schedule, each in its own thread."""

import collections
import contextlib
import functools
import signal
import threading
import time

from tests.soak import histories
from tests.soak import schedules
from tests.soak import world as worlds

OPERATOR_RETRY_SECONDS = 12.0  # during which a request is retried
CRASH_POLL_SECONDS = 0.1
CRASH_RESTART_SECONDS = 1.0
EXIT_SECONDS = 1.0  # in which a process that could not write exits


class Injector:
    """Injects faults into a World and records them.

    Attributes:
        operator_requests: list of histories.OperatorRequest.
        fault_periods: list of histories.FaultPeriod,
            each up to the time at which the fault was undone.
    """

    def __init__(self, world):
        self.operator_requests = []
        self.fault_periods = []
        self._world = world
        self._lock = threading.Lock()
        self._version = 1
        self._evacuated = set()
        # A process has one fault at a time, even if a fault takes longer
        # than scheduled.
        self._process_locks = collections.defaultdict(threading.Lock)
        self._stop_requested = threading.Event()
        self._load = None

    def find_version(self):
        """Return the highest document version that was sent."""
        return self._version

    def play(self, faults, load):
        """Inject all faults and wait until they are undone.

        Args:
            faults: list of schedules.Fault in order of time.
            load: the load.Load, which sends requests that crash servers.
        """
        self._load = load
        watchers = [
            threading.Thread(target=self._restart_crashed, args=(name,))
            for name in schedules.SERVERS
        ]
        for watcher in watchers:
            watcher.start()
        try:
            self._play_all(faults)
        finally:
            self._stop_requested.set()
            for watcher in watchers:
                watcher.join()

    def _play_all(self, faults):
        started_at = time.monotonic()
        threads = []
        for fault in faults:
            time.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            threads.append(
                threading.Thread(target=self._inject, args=(fault,))
            )
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _inject(self, fault):
        inject = _ACTIONS[fault.kind]
        if fault.target in (*schedules.DOMAINS, ""):
            inject(self, fault)
            return
        with self._process_locks[fault.target]:
            begin = time.time()
            inject(self, fault)
            end = time.time()
        self.fault_periods.append(
            histories.FaultPeriod(fault.target, fault.kind, begin, end)
        )

    # --- processes -------------------------------------------------------

    def _restart_crashed(self, name):
        """Restart a server each time it has exited without a fault."""
        while not self._stop_requested.wait(CRASH_POLL_SECONDS):
            with self._process_locks[name]:
                process = self._world.platform.running.get(name)
                if process is None or process.is_running():
                    continue
                begin = time.time()
                time.sleep(CRASH_RESTART_SECONDS)
                self._world.stop(name, signal.SIGKILL)
                self._world.restart(name)
            self.fault_periods.append(
                histories.FaultPeriod(name, "crash", begin, time.time())
            )

    def send_crashing(self, fault):
        """Send requests that crash servers for the duration of a fault."""
        self._load.send_crashing(fault.kind == "crash part", fault.seconds)

    def restart(self, fault, signal_number=signal.SIGKILL, between=None):
        """Stop a process, call `between` with its name and restart it."""
        self._world.stop(fault.target, signal_number)
        if between is not None:
            between(fault.target)
        time.sleep(fault.seconds)
        self._world.restart(fault.target)

    def pause(self, fault):
        """Suspend a process for the duration of the fault."""
        self._world.send_signal(fault.target, signal.SIGSTOP)
        time.sleep(fault.seconds)
        self._world.send_signal(fault.target, signal.SIGCONT)

    def reject(self, fault):
        """Make a server reject all requests and ask for a pause."""
        self._world.send_signal(fault.target, signal.SIGUSR1)
        time.sleep(fault.seconds)
        self._world.send_signal(fault.target, signal.SIGUSR1)

    def limit(self, fault):
        """Make a server name a limit of requests per second."""
        self._world.send_signal(fault.target, signal.SIGHUP)
        time.sleep(fault.seconds)
        self._world.send_signal(fault.target, signal.SIGHUP)

    def weaken(self, fault):
        """Make a server with few places brittle and slow."""
        self._world.send_signal(fault.target, signal.SIGWINCH)
        time.sleep(fault.seconds)
        self._world.send_signal(fault.target, signal.SIGWINCH)

    def cut_off(self, fault):
        """Inject a fault at the links of an instance to all servers."""
        self._world.set_upstream_links(fault.target, fault.detail)
        time.sleep(fault.seconds)
        self._world.set_upstream_links(fault.target, "none")

    def garble(self, fault):
        """Make a server answer without framing and break answers off."""
        self._world.send_signal(fault.target, signal.SIGUSR2)
        time.sleep(fault.seconds)
        self._world.send_signal(fault.target, signal.SIGUSR2)

    def reload(self, fault):
        """Make a process reload its settings."""
        self._world.send_signal(fault.target, signal.SIGHUP)

    def disturb_link(self, fault):
        """Inject a link fault at the proxy for the duration of the fault."""
        self._world.set_link(fault.target, fault.detail)
        time.sleep(fault.seconds)
        self._world.set_link(fault.target, "none")

    def lose_disk(self, fault):
        """Restart a replica with an empty disk."""
        self.restart(fault, between=self._world.platform.lose_disk)

    def tear_journal(self, fault):
        """Restart a replica with a torn record at the end of its journal."""
        self.restart(fault, between=self._world.tear_journal)

    def fill_disk(self, fault):
        """Make the writes of a replica fail; restart it if it exits."""
        self._world.set_disk_full(fault.target, True)
        time.sleep(fault.seconds)
        self._world.set_disk_full(fault.target, False)
        process = self._world.platform.running[fault.target]
        until = time.monotonic() + EXIT_SECONDS
        while process.is_running() and time.monotonic() < until:
            time.sleep(CRASH_POLL_SECONDS)
        if not process.is_running():
            self._world.stop(fault.target, signal.SIGKILL)
            self._world.restart(fault.target)

    def restart_all(self, _fault):
        """Kill all instances at the same time and restart them."""
        names = (*schedules.REPLICAS, *schedules.ENTRIES)
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(self._process_locks[name])
            begin = time.time()
            for name in names:
                self._world.send_signal(name, signal.SIGKILL)
            for name in names:
                self._world.stop(name, signal.SIGKILL)
                self._world.restart(name)
            end = time.time()
        self.fault_periods.append(
            histories.FaultPeriod("all", "kill", begin, end)
        )

    # --- operator requests -----------------------------------------------

    def put_document(self, _fault):
        """Send the next document version until it is acknowledged."""
        with self._lock:
            self._version += 1
            version = self._version
        self._send_operator_request(
            "document", version, "PUT", "/-/config", version
        )

    def put_two_documents(self, fault):
        """Send two documents concurrently."""
        other = threading.Thread(target=self.put_document, args=(fault,))
        other.start()
        self.put_document(fault)
        other.join()

    def evacuate(self, fault):
        """Evacuate a failure domain, unless one is evacuated already."""
        path = f"/-/evacuations/{fault.target}"
        with self._lock:
            if self._evacuated:
                return
            self._evacuated.add(fault.target)
        self._send_operator_request("evacuate", fault.target, "POST", path)
        time.sleep(fault.seconds)
        self._send_operator_request("return", fault.target, "DELETE", path)
        self._evacuated.discard(fault.target)

    def _send_operator_request(
        self, kind, subject, method, path, version=None
    ):
        body = None
        if version is not None:
            body = worlds.make_document(version)
        sent_at = time.time()
        acknowledged_at = None
        while time.time() < sent_at + OPERATOR_RETRY_SECONDS:
            if self._world.call_control(method, path, body):
                acknowledged_at = time.time()
                break
            time.sleep(0.1)
        self.operator_requests.append(
            histories.OperatorRequest(kind, subject, sent_at, acknowledged_at)
        )


_ACTIONS = {
    "kill": Injector.restart,
    "terminate": functools.partial(
        Injector.restart, signal_number=signal.SIGTERM
    ),
    "pause": Injector.pause,
    "reload": Injector.reload,
    "reject": Injector.reject,
    "limit": Injector.limit,
    "garble": Injector.garble,
    "brittle": Injector.weaken,
    "upstream links": Injector.cut_off,
    "link": Injector.disturb_link,
    "lose disk": Injector.lose_disk,
    "torn write": Injector.tear_journal,
    "full disk": Injector.fill_disk,
    "kill all": Injector.restart_all,
    "document": Injector.put_document,
    "two documents": Injector.put_two_documents,
    "evacuate": Injector.evacuate,
    "crash request": Injector.send_crashing,
    "crash part": Injector.send_crashing,
}
