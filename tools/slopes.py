"""Measures the cost of each further item for an instance.

Usage:
    slopes [--quick] [--out=FILE]

Options:
    --quick     Use smaller sizes, for a quick check.
    --out=FILE  JSON file for the results [default: docs/slopes.json].

A fleet of two instances, one of them the only replica, runs with stand-in
upstreams. Each step increases the number of one kind of item to several sizes
and reads memory, processor time, control bytes or file sizes. A straight line
is fitted to the readings; its slope is the cost of an item. Its residual is
the largest distance of a reading from the line, in per cent of the range of
the readings.
"""

import json
import pathlib
import time
import typing

import docopt
import numpy
import tabulate

from camphorhook_common import secrets
from tests.harness import callers
from tests.harness import fleet as fleets
from tests.harness import plans
from tests.harness import processes
from tools import footprints
from tools import readings

BASE_PORT = 24000
SIZES = (250, 500, 1000, 2000)
QUICK_SIZES = (50, 100, 200)
IDLE_SECONDS = 12.0
TOKENS = 150
TTL_MS = 120000
SETTLE_SECONDS = 6.0


class Slope(typing.NamedTuple):
    """A fitted line.

    Attributes:
        name: of the reading and the item.
        unit: of the slope.
        slope: cost of a further item.
        start: intercept: the reading without any item.
        residual_percent: largest distance of a reading from the line, in
            per cent of the range of the readings.
        sizes: numbers of items.
        values: readings at these sizes.
    """

    name: str
    unit: str
    slope: float
    start: float
    residual_percent: float
    sizes: list
    values: list


def fit(name, unit, sizes, values):
    """Return the Slope that is fitted to readings.

    Args:
        name: of the reading and the item.
        unit: of the readings.
        sizes: numbers of items.
        values: readings at these sizes.
    """
    slope, start = numpy.polyfit(sizes, values, 1)
    distances = numpy.abs(numpy.polyval((slope, start), sizes) - values)
    spread = max(values) - min(values) or 1.0
    residual = float(100 * distances.max() / spread)
    return Slope(
        name,
        unit,
        float(slope),
        float(start),
        residual,
        [int(one) for one in sizes],
        [float(one) for one in values],
    )


def make_plan():
    """Return the plan of two instances, an engine and a plain service."""
    instances = (
        plans.InstancePlan("m1", "zone-m", "entry, replica", BASE_PORT),
        plans.InstancePlan("m2", "zone-m", "entry", BASE_PORT + 4),
    )
    upstreams = (
        plans.UpstreamPlan(
            "engine-m", "zone-m", "stringmind", "stringmind", BASE_PORT + 20
        ),
        plans.UpstreamPlan("desk-m", "zone-m", "desk", "", BASE_PORT + 21),
    )
    return plans.FleetPlan(
        "slopes",
        instances,
        upstreams,
        "chk-slopes-account",
        "chk-slopes-operator",
        BASE_PORT + 300,
    )


class Measurement:
    """Measures costs on a small fleet.

    Attributes:
        slopes: Slopes measured so far.
    """

    def __init__(self, fleet, sizes):
        self._fleet = fleet
        self._sizes = sizes
        self.slopes = []

    def _read(self, name="m1"):
        """Read a process once it has cleaned up closed connections."""
        time.sleep(SETTLE_SECONDS)
        return readings.read_process(self._fleet.processes[name].pid)

    def _add_slope(self, name, unit, sizes, values):
        slope = fit(name, unit, sizes, values)
        self.slopes.append(slope)
        print(
            f"{name}: {slope.slope:.4g} {unit} "
            f"(residual {slope.residual_percent:.1f}%)",
            flush=True,
        )

    def set_up(self):
        """Create the client account, the services and the route."""
        change = self._fleet.client.change_row
        hashed = secrets.hash_key(self._fleet.plan.account_key)
        large = {"requests_per_second": 100000, "concurrency": 100000}
        cells = {**large, "key_hash": hashed, "tokens_per_minute": 10**10}
        change("client_accounts", "slopes", cells)
        change("services", "desk", {"kind": "plain", "warm_after": 1})
        change("services", "stringmind", {"warm_after": 1})
        route = {"service": "desk", "path_prefix": "/bookings"}
        change("routes", "desk-book", route)

    def measure_accounts(self):
        """Measure the processor time and log bytes per change of a row."""
        seconds, disk = [], []
        done = 0
        first = self._read()
        for size in self._sizes:
            while done < size:
                done += 1
                self._fleet.client.change_row(
                    "client_accounts",
                    f"account-{done}",
                    {"key_hash": secrets.hash_key(f"key-{done}")},
                    expected=0,
                )
            now = self._read()
            seconds.append(now.cpu_seconds - first.cpu_seconds)
            disk.append(self._measure_disk())
        sizes = self._sizes
        self._add_slope("replica time per change", "s", sizes, seconds)
        self._add_slope("log bytes per change", "B", sizes, disk)

    def _measure_disk(self):
        folder = self._fleet.folder / "m1.data"
        return sum(path.stat().st_size for path in folder.iterdir())

    def measure_restart(self):
        """Return the time until a killed replica is ready again.

        The result also has the number of log entries and the memory.
        """
        self._fleet.kill("m1")
        started = time.monotonic()
        self._fleet.restart("m1")
        processes.wait_until(
            lambda: self._fleet.read_state("m1") == "ready", 60.0
        )
        seconds = time.monotonic() - started
        entries = self._fleet.read_status()["m1"]["last_index"]
        print(f"restart at {entries} entries: {seconds:.2f} s")
        memory = self._read().memory_bytes
        return {
            "entries": entries,
            "seconds": seconds,
            "memory_bytes": memory,
        }

    def measure_claims(self):
        """Measure the processor time and log bytes per claimed request."""
        seconds, disk = [], []
        done = 0
        first = self._read()
        for size in self._sizes:
            while done < size:
                done += 1
                reply = callers.send(
                    "POST",
                    self._fleet.plan.instances[0].callers,
                    "/services/desk/bookings",
                    key=self._fleet.plan.account_key,
                    body={"what": done},
                    headers={"idempotency-key": f"claim-{done}"},
                )
                assert reply.status == 201, reply
            now = self._read()
            seconds.append(now.cpu_seconds - first.cpu_seconds)
            disk.append(self._measure_disk())
        sizes = self._sizes
        self._add_slope(
            "entry and replica time per claim", "s", sizes, seconds
        )
        self._add_slope("log bytes per claim", "B", sizes, disk)

    def _announce(self, number, sequence):
        fields = {
            "name": f"synthetic-{number}",
            "failure_domain": "zone-m",
            "service": "synthetic",
            "address": "127.0.0.1",
            "port": 1,
            "incarnation": 1796000000000,
            "sequence": sequence,
            "ttl_ms": TTL_MS,
            "active": sequence % 7,
            "capacity": 16,
        }
        callers.send(
            "POST",
            self._fleet.plan.instances[0].upstreams,
            "/announcements",
            body=fields,
        )

    def measure_upstreams(self):
        """Measure the time per announcement and exchange bytes per load."""
        seconds, announced = [], []
        done = 0
        bytes_each = []
        first = self._read()
        for size in self._sizes:
            while done < size:
                done += 1
                self._announce(done, 1)
            time.sleep(3.0)
            announced.append(done)
            seconds.append(self._read().cpu_seconds - first.cpu_seconds)
            bytes_each.append(self._measure_load_message(size))
        sizes = self._sizes
        self._add_slope("time per announcement", "s", announced, seconds)
        self._add_slope("exchange bytes per load", "B", sizes, bytes_each)

    def _measure_load_message(self, size):
        """Return the received exchange bytes after all loads have changed."""
        before = self._read_control("m2", "ex", "received")
        sequence = int(time.monotonic() * 10)
        for number in range(1, size + 1):
            self._announce(number, sequence)
        time.sleep(4.0)
        return self._read_control("m2", "ex", "received") - before

    def _read_control(self, name, kind, direction):
        address = self._fleet.plan.find_instance(name).operators
        counts = readings.read_control_bytes(address)
        return counts.get((kind, direction), 0)

    def measure_footprints(self):
        """Measure the memory per item by tracing allocations."""
        for name, values in footprints.measure(self._sizes).items():
            self._add_slope(name, "B", self._sizes, values)

    def measure_idle(self):
        """Return the processor time, memory and control bytes when idle.

        The result is a dict by name of the instance.
        """
        rows = {}
        for instance in self._fleet.plan.instances:
            pid = self._fleet.processes[instance.name].pid
            before = readings.read_control_bytes(instance.operators)
            first = readings.read_process(pid)
            time.sleep(IDLE_SECONDS)
            now = readings.read_process(pid)
            after = readings.read_control_bytes(instance.operators)
            rows[instance.name] = {
                "cpu_percent": 100
                * (now.cpu_seconds - first.cpu_seconds)
                / IDLE_SECONDS,
                "memory_bytes": now.memory_bytes,
                "bytes_per_second": {
                    f"{kind} {direction}": (count - before.get(key, 0))
                    / IDLE_SECONDS
                    for key, count in sorted(after.items())
                    for kind, direction in [key]
                },
            }
        return rows

    def measure_chats(self):
        """Measure the memory per chat in flight and the time per token."""
        sizes = [max(10, size // 10) for size in self._sizes]
        memory, seconds, tokens = [], [], []
        total = 0
        first = self._read("m2")
        for size in sizes:
            peak, count = readings.run_streams(self._fleet, "m2", size, TOKENS)
            total += count
            memory.append(peak)
            tokens.append(total)
            seconds.append(self._read("m2").cpu_seconds - first.cpu_seconds)
        self._add_slope("entry memory per chat in flight", "B", sizes, memory)
        self._add_slope("entry time per token streamed", "s", tokens, seconds)

    def measure_requests(self):
        """Measure the processor time per short request."""
        sizes = [max(10, size // 5) for size in self._sizes]
        seconds, counts = [], []
        total = 0
        first = self._read("m2")
        for size in sizes:
            for number in range(size):
                body = callers.make_chat(f"short {number}", tokens=1)
                address = self._fleet.plan.instances[1].callers
                key = self._fleet.plan.account_key
                callers.stream_chat(address, key, body)
            total += size
            counts.append(total)
            seconds.append(self._read("m2").cpu_seconds - first.cpu_seconds)
        self._add_slope("entry time per short request", "s", counts, seconds)


def main():
    """Run all measurements, and print and write the results."""
    arguments = docopt.docopt(__doc__)
    sizes = QUICK_SIZES if arguments["--quick"] else SIZES
    fleet = fleets.Fleet(make_plan(), pathlib.Path("run", "slopes"))
    try:
        fleet.start_instances()
        fleet.wait_ready()
        measurement = Measurement(fleet, sizes)
        measurement.set_up()
        options = ("--capacity", 1000, "--sequence-ms", 0.02)
        options += ("--cold-limit", 1000, "--step-ms", 20)
        fleet.start_upstream("engine-m", *options)
        fleet.start_upstream("desk-m")
        fleet.wait_upstreams()
        measurement.measure_footprints()
        idle = measurement.measure_idle()
        measurement.measure_requests()
        measurement.measure_chats()
        measurement.measure_claims()
        measurement.measure_accounts()
        restart = measurement.measure_restart()
        measurement.measure_upstreams()
    finally:
        fleet.close()
    results = {
        "idle": idle,
        "restart": restart,
        "slopes": [slope._asdict() for slope in measurement.slopes],
    }
    path = pathlib.Path(arguments["--out"])
    path.write_text(json.dumps(results, indent=1) + "\n")
    rows = [
        (one.name, f"{one.slope:.4g} {one.unit}", one.residual_percent)
        for one in measurement.slopes
    ]
    print(tabulate.tabulate(rows, headers=("what", "slope", "residual %")))


if __name__ == "__main__":
    main()
