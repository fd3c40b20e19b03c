"""Brings a schedule's faults about, each in a thread of its own."""

import collections
import contextlib
import functools
import signal
import threading
import time

from tests.soak import histories
from tests.soak import schedules
from tests.soak import world as worlds

ORDER_SECONDS = 12.0  # within which an order is sent again


class Injector:
    """Plays faults against a world and records what was done.

    Attributes:
        orders: histories.Orders.
        periods: histories.Periods of faults, with their undoing.
    """

    def __init__(self, world):
        self.orders = []
        self.periods = []
        self._world = world
        self._lock = threading.Lock()
        self._version = 1
        self._out = set()
        # A process has one fault at a time, also where one takes longer
        # than its schedule says.
        self._busy = collections.defaultdict(threading.Lock)

    def find_version(self):
        """Return the newest version that was sent."""
        return self._version

    def play(self, faults):
        """Bring all faults about, and wait until they are undone."""
        began = time.monotonic()
        threads = []
        for fault in faults:
            time.sleep(max(0.0, began + fault.at - time.monotonic()))
            threads.append(threading.Thread(target=self._bring, args=(fault,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _bring(self, fault):
        bring = _ACTIONS[fault.kind]
        if fault.target in (*schedules.DOMAINS, ""):
            bring(self, fault)
            return
        with self._busy[fault.target]:
            begin = time.time()
            bring(self, fault)
            end = time.time()
        self.periods.append(
            histories.Period(fault.target, fault.kind, begin, end)
        )

    # --- processes -------------------------------------------------------

    def end(self, fault, number=signal.SIGKILL, between=None):
        """End a process, do something between, and start it again."""
        self._world.end(fault.target, number)
        if between is not None:
            between(fault.target)
        time.sleep(fault.seconds)
        self._world.restart(fault.target)

    def pause(self, fault):
        """Suspend a process for a while."""
        self._world.send(fault.target, signal.SIGSTOP)
        time.sleep(fault.seconds)
        self._world.send(fault.target, signal.SIGCONT)

    def reload(self, fault):
        """Have a process read its settings again."""
        self._world.send(fault.target, signal.SIGHUP)

    def link(self, fault):
        """Disturb what goes through the proxy for a while."""
        self._world.set_link(fault.target, fault.detail)
        time.sleep(fault.seconds)
        self._world.set_link(fault.target, "none")

    def lose_disk(self, fault):
        """Restart a replica with an empty disk."""
        self.end(fault, between=self._world.platform.lose_disk)

    def tear(self, fault):
        """Restart a replica with half a record at its journal's end."""
        self.end(fault, between=self._world.tear_journal)

    def fill_disk(self, fault):
        """Let a replica's writes fail; it ends, and starts again later."""
        self._world.limit_files(fault.target, True)
        time.sleep(fault.seconds)
        self._world.limit_files(fault.target, False)
        if not self._world.platform.running[fault.target].is_running():
            self._world.end(fault.target, signal.SIGKILL)
            self._world.restart(fault.target)

    def end_all(self, _fault):
        """Kill every process of the system at once, and start all again."""
        names = (*schedules.REPLICAS, *schedules.ENTRIES)
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(self._busy[name])
            begin = time.time()
            for name in names:
                self._world.send(name, signal.SIGKILL)
            for name in names:
                self._world.end(name, signal.SIGKILL)
                self._world.restart(name)
            end = time.time()
        self.periods.append(histories.Period("all", "kill", begin, end))

    # --- orders ----------------------------------------------------------

    def put_document(self, _fault):
        """Send a document of the next version until it is acknowledged."""
        with self._lock:
            self._version += 1
            version = self._version
        self._order("document", version, "PUT", "/-/config", version)

    def put_two(self, fault):
        """Send two documents at the same time."""
        other = threading.Thread(target=self.put_document, args=(fault,))
        other.start()
        self.put_document(fault)
        other.join()

    def evacuate(self, fault):
        """Take a failure domain out for a while, one at a time."""
        path = f"/-/evacuations/{fault.target}"
        with self._lock:
            if self._out:
                return
            self._out.add(fault.target)
        self._order("evacuate", fault.target, "POST", path)
        time.sleep(fault.seconds)
        self._order("return", fault.target, "DELETE", path)
        self._out.discard(fault.target)

    def _order(self, kind, subject, method, path, version=None):
        body = None
        if version is not None:
            body = worlds.make_document(version)
        sent_at = time.time()
        acked_at = None
        while time.time() < sent_at + ORDER_SECONDS:
            if self._world.order(method, path, body):
                acked_at = time.time()
                break
            time.sleep(0.1)
        self.orders.append(histories.Order(kind, subject, sent_at, acked_at))


_ACTIONS = {
    "kill": Injector.end,
    "terminate": functools.partial(Injector.end, number=signal.SIGTERM),
    "pause": Injector.pause,
    "reload": Injector.reload,
    "link": Injector.link,
    "lose disk": Injector.lose_disk,
    "torn write": Injector.tear,
    "full disk": Injector.fill_disk,
    "kill all": Injector.end_all,
    "document": Injector.put_document,
    "two documents": Injector.put_two,
    "evacuate": Injector.evacuate,
}
