"""Measures the processor time of requests on the platform.

Usage:
    costs [--count=N] [--out=FILE] [--profile=FILE]

Options:
    --count=N       Requests of each kind [default: 400].
    --out=FILE      JSON file for the results [default: docs/costs.json].
    --profile=FILE  Only profile the instance; write cProfile's data here.

Reads the processor time of one entry instance for plain requests, and for
streams of few and of many events; their difference gives the cost of an
event. Log lines are measured in this process, at the rate limit and at ten
times that rate.
"""

import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import tempfile
import time

import docopt

from camphorhook_common import logs
from tests.harness import platforms
from tests.harness import processes
from tools import readings

TEST_SLOT = 40
CALLERS = 8
FEW_EVENTS, MANY_EVENTS = 4, 44
EVENT_INTERVAL_MS = 10
LOG_LINES = 20_000  # many times the burst that the rate limit allows
PROFILED_PROGRAM = """
import cProfile, signal, sys
from camphorhook_daemon import main
profile = cProfile.Profile()
sys.argv = ["camphorhookd", "--platform"]
profile.enable()
try:
    main.main()
finally:
    profile.disable()
    profile.dump_stats({path!r})
"""


def start_platform(folder, profile):
    """Start a Platform and return it once it serves requests.

    Args:
        folder: for the files of its processes.
        profile: file for the profile of the entry instance, or None.
    """
    platform = platforms.Platform(folder, TEST_SLOT)
    for number in (1, 2, 3):
        platform.start(f"replica-{number}")
    program = None
    if profile:
        text = PROFILED_PROGRAM.format(path=profile)
        program = [processes.run_program("python")[0], "-c", text]
    platform.start("entry-1", program=program)
    for number, service in enumerate(("plain", "engine", "engine"), 1):
        platform.start_server(f"server-{number}", service)
    body = platforms.make_document(1)
    processes.wait_until(
        lambda: platform.call_control("PUT", "/-/config", body).status == 200
    )
    for target in ("/safe/a", "/tokens/stream?events=1&ms=1"):
        processes.wait_until(
            lambda to=target: platform.request("entry-1", to, "key-1").status
            == 200,
            what=target,
        )
    return platform


def send_many(platform, target, count):
    """Send requests over persistent connections from CALLERS threads."""
    address = platform.find_address("entry-1")

    def send(_):
        connection = http.client.HTTPConnection(
            address, platforms.FRONTEND_PORT, timeout=10
        )
        for _ in range(count // CALLERS):
            headers = {
                "Host": "h.example",
                "X-Request-Id": os.urandom(6).hex(),
                "X-Deadline-Ms": "5000",
                "Authorization": "Bearer key-1",
            }
            connection.request("POST", target, b"body", headers)
            reply = connection.getresponse()
            reply.read()
            assert reply.status == 200, reply.status
        connection.close()

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(send, range(CALLERS)))


def measure_requests(platform, target, count):
    """Return the processor time of the instance per request in ms."""
    pid = platform.running["entry-1"].pid
    send_many(platform, target, CALLERS)
    before = readings.read_process(pid).cpu_seconds
    send_many(platform, target, count)
    spent = readings.read_process(pid).cpu_seconds - before
    return 1000 * spent / count


def measure_logs(times_rate):
    """Return the processor time of a log line in microseconds.

    Args:
        times_rate: rate of the lines, as a multiple of the allowed rate.
    """
    with tempfile.TemporaryFile("w") as file:
        clock = [0.0]
        stream = logs.NonBlockingStream(file, lambda: clock[0])
        logs.configure("costs", "info", stream)
        started_at = time.process_time()
        for number in range(LOG_LINES):
            clock[0] += 1 / logs.LINES_PER_SECOND / times_rate
            logs.log(
                "info",
                "sent to an upstream",
                request="a" * 16,
                step="forward",
                peer="i-1234567890",
                inputs={"load": 2.0, "mean": 3.0, "attempt": number},
            )
        return 1e6 * (time.process_time() - started_at) / LOG_LINES


def main():
    """Measure, and print and write the results."""
    arguments = docopt.docopt(__doc__)
    count = int(arguments["--count"])
    streams = [
        f"/tokens/stream?events={n}&ms={EVENT_INTERVAL_MS}"
        for n in (FEW_EVENTS, MANY_EVENTS)
    ]
    with tempfile.TemporaryDirectory() as folder:
        platform = start_platform(folder, arguments["--profile"])
        try:
            plain, few, many = (
                measure_requests(platform, target, count)
                for target in ("/unsafe/a", *streams)
            )
            if arguments["--profile"]:
                process = platform.running.pop("entry-1")
                process.send_signal(signal.SIGTERM)
                process.stop()
                return
        finally:
            platform.close()
    event = (many - few) / (MANY_EVENTS - FEW_EVENTS)
    results = {
        "plain_request_ms": round(plain, 3),
        "stream_ms": round(few - FEW_EVENTS * event, 3),
        "event_ms": round(event, 4),
        "log_line_us": round(measure_logs(1), 1),
        "log_line_at_ten_times_us": round(measure_logs(10), 1),
    }
    pathlib.Path(arguments["--out"]).write_text(json.dumps(results) + "\n")
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
