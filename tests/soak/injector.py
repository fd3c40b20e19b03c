"""Injects the faults of a schedule, each in its own thread."""

import collections
import contextlib
import functools
import itertools
import signal
import subprocess
import threading
import time

from tests.soak import histories
from tests.soak import operators
from tests.soak import schedules
from tests.soak import world as worlds

GRACE_SECONDS = 8.0  # after which a process that was told to stop is killed
MOST_OUT = 2  # failure domains that are out at once
CRASH_POLL_SECONDS = 0.1
CRASH_RESTART_SECONDS = 1.0
EXIT_SECONDS = 1.0  # in which a process that could not write exits


class InjectorError(Exception):
    """A fault of the schedule could not be injected."""


class Injector:
    """Injects faults into a World and records them.

    Attributes:
        operator: the operators.Operator, which records what it sends.
        fault_periods: list of histories.FaultPeriod,
            each up to the time at which the fault was undone.
        last_order_at: end of the last order to a failure domain.
    """

    def __init__(self, world, seed):
        self.operator = operators.Operator(seed, world.list_controls)
        self.fault_periods = []
        self.last_order_at = 0.0
        self._world = world
        self._lock = threading.Lock()
        self._number = 1
        self._version = 1
        self._bodies = {1: worlds.make_document(1)}
        self._evacuated = set()
        self._leavers = []
        self._replaced_at = 0.0
        self._errors = []
        # A process has one fault at a time, even if a fault takes longer
        # than scheduled.
        self._process_locks = collections.defaultdict(threading.Lock)
        self._stop_requested = threading.Event()
        self._load = None

    def find_version(self):
        """Return the highest version of a valid document that was sent."""
        return self._version

    def find_body(self, version):
        """Return the valid document that was sent under a version, or None."""
        return self._bodies.get(version)

    def play(self, faults, load):
        """Inject all faults and wait until they are undone.

        Args:
            faults: list of schedules.Fault in order of time.
            load: the load.Load, which sends requests that crash servers.

        Raises:
            InjectorError: the injection of a fault failed.
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
            for thread in (*watchers, *self._leavers):
                thread.join()
        for name in schedules.SERVERS:
            self._restart_if_crashed(name)
        if self._errors:
            raise InjectorError("; ".join(self._errors))

    def _play_all(self, faults):
        started_at = time.monotonic()
        threads = []
        for fault in faults:
            time.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            threads.append(
                threading.Thread(target=self._try_inject, args=(fault,))
            )
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _try_inject(self, fault):
        try:
            self._inject(fault)
        except Exception as error:  # noqa: B902 - the run must fail
            self._errors.append(f"{fault}: {error!r}")

    def _inject(self, fault):
        inject = _ACTIONS[fault.kind]
        if fault.target == schedules.LEADER:
            fault = fault._replace(target=self._world.find_leader())
        if fault.target in _FREE_TARGETS or fault.kind in _FREE_KINDS:
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
            self._restart_if_crashed(name)

    def _restart_if_crashed(self, name):
        with self._process_locks[name]:
            process = self._world.platform.running.get(name)
            if process is None or process.is_running():
                return
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
        self.restart(fault, between=self._world.lose_disk)

    def tear_journal(self, fault):
        """Restart a replica with a torn record at the end of its journal."""
        self.restart(fault, between=self._world.tear_journal)

    def fill_disk(self, fault):
        """Make the writes of a replica fail; restart it if it exits."""
        self._world.set_disk_full(fault.target, True)
        time.sleep(fault.seconds)
        self._world.set_disk_full(fault.target, False)
        process = self._world.platform.running[
            self._world.find_process(fault.target)
        ]
        until = time.monotonic() + EXIT_SECONDS
        while process.is_running() and time.monotonic() < until:
            time.sleep(CRASH_POLL_SECONDS)
        if not process.is_running():
            self._world.stop(fault.target, signal.SIGKILL)
            self._world.restart(fault.target)

    def cut_off_replica(self, fault):
        """Inject a fault at a replica's links to all other instances."""
        self._world.set_peer_links(fault.target, fault.detail)
        time.sleep(fault.seconds)
        self._world.set_peer_links(fault.target, "none")

    def disturb_operator(self, fault):
        """Inject a fault at the operator's link to a replica."""
        self._world.set_operator_link(fault.target, fault.detail)
        time.sleep(fault.seconds)
        self._world.set_operator_link(fault.target, "none")

    def replace(self, fault):
        """Start a new replica, and stop the one at its place for good."""
        successor = self._world.add_replica(fault.target)
        if successor is None:
            return
        time.sleep(fault.seconds)
        process = self._world.let_replica_go(fault.target, successor)
        self._replaced_at = time.time()
        leaver = threading.Thread(target=_stop, args=(process,))
        self._leavers.append(leaver)
        leaver.start()

    def lose_replica(self, fault):
        """Kill a replica for good, and start a new one later."""
        process = self._world.platform.running[
            self._world.find_process(fault.target)
        ]
        process.kill()
        time.sleep(fault.seconds)
        successor = self._world.add_replica(fault.target)
        if successor is None:
            self._world.stop(fault.target, signal.SIGKILL)
            self._world.restart(fault.target)
        else:
            self._world.let_replica_go(fault.target, successor)

    def upgrade(self, fault):
        """Stop a process as planned, and start it as the new build."""
        self._world.upgrade(fault.target)
        self.restart(fault, signal.SIGTERM)

    def restart_all(self, fault):
        """Kill all instances at the same time and restart them.

        A target is the replica that loses its disk meanwhile; this comes so
        many seconds after a planned replacement at least.
        """
        names = (*schedules.REPLICAS, *schedules.ENTRIES)
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(self._process_locks[name])
            if fault.target:
                due_at = self._replaced_at + fault.seconds
                time.sleep(max(0.0, due_at - time.time()))
            begin = time.time()
            for name in names:
                self._world.send_signal(name, signal.SIGKILL)
            for name in names:
                self._world.stop(name, signal.SIGKILL)
                if name == fault.target:
                    self._world.lose_disk(name)
            for name in names:
                self._world.restart(name)
            end = time.time()
        self.fault_periods.append(
            histories.FaultPeriod("all", "kill", begin, end)
        )

    # --- operator requests -----------------------------------------------

    def put_document(self, _fault):
        """Send the next document version until it is acknowledged."""
        with self._lock:
            self._number += 1
            version = self._version = self._number
            body = self._bodies[version] = worlds.make_document(version)
        self._put("document", version, body)

    def put_two_documents(self, fault):
        """Send two documents concurrently."""
        other = threading.Thread(target=self.put_document, args=(fault,))
        other.start()
        self.put_document(fault)
        other.join()

    def put_invalid_document(self, fault):
        """Send an invalid document under the next version."""
        with self._lock:
            self._number += 1
            version = self._number
        body = worlds.make_invalid_document(version, fault.detail)
        self._put("invalid document", version, body)

    def put_document_again(self, _fault):
        """Send other content under the highest acknowledged version."""
        version = self._find_acknowledged()
        if version:
            body = worlds.make_other_document(version)
            self._put("other document", version, body)

    def _find_acknowledged(self):
        return max(
            (
                one.subject
                for one in self.operator.requests
                if one.kind == "document" and one.acknowledged_at is not None
            ),
            default=0,
        )

    def _put(self, kind, version, body):
        self.operator.send(kind, version, "PUT", operators.CONFIG_PATH, body)

    def evacuate(self, fault):
        """Evacuate a failure domain, unless MOST_OUT are out already."""
        if not self._claim_domain(fault.target):
            return
        self._order("evacuate", fault.target)
        if fault.kind == "evacuate for good":
            return
        time.sleep(fault.seconds)
        self._order("return", fault.target)
        self._evacuated.discard(fault.target)

    def evacuate_again(self, fault):
        """Evacuate a failure domain and take it back several times."""
        if not self._claim_domain(fault.target):
            return
        pauses, _, place = fault.detail.partition(" replica ")
        pauses = pauses.split()
        kinds = itertools.cycle(("evacuate", "return"))
        self._order(next(kinds), fault.target)
        for number, pause in enumerate(pauses, 3 - len(pauses)):
            time.sleep(float(pause))
            # The last quick return goes to the replica that has a fault.
            first = place if number == 0 else ""
            self._order(next(kinds), fault.target, first)
        self._evacuated.discard(fault.target)

    def _claim_domain(self, domain):
        with self._lock:
            if domain in self._evacuated or len(self._evacuated) == MOST_OUT:
                return False
            self._evacuated.add(domain)
            return True

    def _order(self, kind, domain, place=""):
        """Send an order; to the replica at a place first if there is one."""
        if place == schedules.LEADER:
            place = self._world.find_leader()
        first = self._world.find_control(place) if place else None
        method = "POST" if kind == "evacuate" else "DELETE"
        path = f"/-/evacuations/{domain}"
        self.operator.send(kind, domain, method, path, first=first)
        self.last_order_at = time.time()


def _stop(process):
    """Stop a process as planned, and kill it after the grace."""
    try:
        process.stop(GRACE_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()


_FREE_KINDS = ("power and disk", "old build")
_FREE_TARGETS = (*schedules.DOMAINS, *schedules.CONTROLS, "")
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
    "power and disk": Injector.restart_all,
    "old build": lambda injector, fault: None,
    "upgrade": Injector.upgrade,
    "replica links": Injector.cut_off_replica,
    "operator link": Injector.disturb_operator,
    "replace": Injector.replace,
    "lose replica": Injector.lose_replica,
    "invalid document": Injector.put_invalid_document,
    "document again": Injector.put_document_again,
    "evacuate again": Injector.evacuate_again,
    "evacuate for good": Injector.evacuate,
    "document": Injector.put_document,
    "two documents": Injector.put_two_documents,
    "evacuate": Injector.evacuate,
    "crash request": Injector.send_crashing,
    "crash part": Injector.send_crashing,
}
