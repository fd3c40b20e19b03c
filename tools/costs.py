"""Measures what requests cost an entry instance on the platform.

Usage:
    costs [--count=N] [--out=FILE] [--profile=FILE]

Options:
    --count=N       Requests of each kind [default: 400].
    --out=FILE      JSON file for the results [default: docs/costs.json].
    --profile=FILE  Only profile the instance; cProfile's figures go there.

Processor time of one entry instance for plain requests, and for streams of
few and of many events: their difference is the cost of an event. Log lines
are measured in this process, within their rate and at ten times the rate.
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

SLOT = 40
CALLERS = 8
FEW, MANY = 4, 44
PAUSE_MS = 10
LOG_LINES = 20_000  # many times what a burst admits
PROFILED = """
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
    """Start a Platform that serves; returns it."""
    platform = platforms.Platform(folder, SLOT)
    for number in (1, 2, 3):
        platform.start(f"replica-{number}")
    program = None
    if profile:
        text = PROFILED.format(path=profile)
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
    """Send requests over kept connections, CALLERS at a time."""
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
    """Return milliseconds of processor time that one request costs."""
    pid = platform.running["entry-1"].pid
    send_many(platform, target, CALLERS)
    before = readings.read_process(pid).cpu_seconds
    send_many(platform, target, count)
    spent = readings.read_process(pid).cpu_seconds - before
    return 1000 * spent / count


def measure_logs(times_rate):
    """Return microseconds a line costs at a multiple of the allowed rate."""
    with tempfile.TemporaryFile("w") as file:
        clock = [0.0]
        stream = logs.NonBlockingStream(file, lambda: clock[0])
        logs.configure("costs", "info", stream)
        began = time.process_time()
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
        return 1e6 * (time.process_time() - began) / LOG_LINES


def main():
    """Measure and write the results."""
    arguments = docopt.docopt(__doc__)
    count = int(arguments["--count"])
    streams = [f"/tokens/stream?events={n}&ms={PAUSE_MS}" for n in (FEW, MANY)]
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
    event = (many - few) / (MANY - FEW)
    results = {
        "plain_request_ms": round(plain, 3),
        "stream_ms": round(few - FEW * event, 3),
        "event_ms": round(event, 4),
        "log_line_us": round(measure_logs(1), 1),
        "log_line_at_ten_times_us": round(measure_logs(10), 1),
    }
    pathlib.Path(arguments["--out"]).write_text(json.dumps(results) + "\n")
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
