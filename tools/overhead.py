"""Measures the latency that an entry instance adds to a direct call.

Usage:
    overhead [--count=N] [--out=FILE]

Options:
    --count=N   Number of sequential requests [default: 300].
    --out=FILE  JSON file for the results [default: docs/overhead.json].

Chats of one token, not streamed, go to an engine directly and through an
instance, alternately and each over a persistent connection. Then 16
concurrent callers measure how many requests per second one instance serves.
"""

import concurrent.futures
import json
import pathlib
import time

import docopt
import httpcore
import numpy

from tests.harness import callers
from tests.harness import fleet as fleets
from tools import readings
from tools import slopes

CALLERS = 16
WARM_UP_REQUESTS = 30


def _send(pool, address, key, number):
    body = callers.make_chat(f"overhead {number}", tokens=1, stream=False)
    started = time.perf_counter()
    response = pool.request(
        "POST",
        f"http://{address}/v1/chat/completions",
        headers={"authorization": f"Bearer {key}"},
        content=json.dumps(body).encode(),
    )
    assert response.status == 200, response.content
    return 1000 * (time.perf_counter() - started)


def _summarize(values):
    p50, p99 = numpy.percentile(values, (50, 99))
    return {"p50_ms": round(float(p50), 2), "p99_ms": round(float(p99), 2)}


def measure(fleet, count):
    """Return the latencies, the rate and the processor time as a dict.

    Args:
        fleet: the Fleet, which serves.
        count: number of sequential requests; each concurrent caller sends a
            quarter as many.
    """
    key = fleet.plan.account_key
    entry = fleet.plan.instances[1].callers
    engine = f"127.0.0.1:{fleet.plan.upstreams[0].port}"
    direct, through = [], []
    with httpcore.ConnectionPool() as pool:
        for number in range(count + WARM_UP_REQUESTS):
            one = _send(pool, engine, key, number)
            other = _send(pool, entry, key, number)
            if number >= WARM_UP_REQUESTS:
                direct.append(one)
                through.append(other)
    pid = fleet.processes["m2"].pid
    before = readings.read_process(pid)
    started = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as workers:
        list(
            workers.map(
                lambda part: _send_many(entry, key, part, count),
                range(CALLERS),
            )
        )
    seconds = time.perf_counter() - started
    used = readings.read_process(pid).cpu_seconds - before.cpu_seconds
    return {
        "direct": _summarize(direct),
        "through": _summarize(through),
        "requests_per_second": round(CALLERS * count / 4 / seconds, 1),
        "cpu_ms_per_request": round(1000 * used / (CALLERS * count / 4), 2),
    }


def _send_many(address, key, part, count):
    with httpcore.ConnectionPool() as pool:
        for number in range(count // 4):
            _send(pool, address, key, f"{part}/{number}")


def main():
    """Measure, and print and write the results."""
    arguments = docopt.docopt(__doc__)
    fleet = fleets.Fleet(slopes.make_plan(), pathlib.Path("run", "slopes"))
    try:
        fleet.start_instances()
        fleet.wait_ready()
        slopes.Measurement(fleet, ()).set_up()
        options = ("--capacity", 1000, "--sequence-ms", 0, "--step-ms", 1)
        fleet.start_upstream("engine-m", *options, "--cold-limit", 1000)
        fleet.start_upstream("desk-m")
        fleet.wait_upstreams()
        results = measure(fleet, int(arguments["--count"]))
    finally:
        fleet.close()
    print(json.dumps(results, indent=1))
    path = pathlib.Path(arguments["--out"])
    path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
