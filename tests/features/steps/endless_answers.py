"""Step definitions for answers without end to many clients at a time."""

import concurrent.futures
import signal
import socket
import time
import urllib.parse

import behave

from tests.features.steps import hostile_clients
from tests.harness import platforms
from tests.standins import broken_answers

ENTRY = "entry-1"
DEADLINE_SECONDS = 1.5
# By which an answer may come after its deadline, beside much other work.
SLACK_SECONDS = 10.0
ROUTES = ("safe", "unsafe", "tokens")
ORDINARY_TARGETS = ("/safe/a", "/tokens/stream?events=1")
RECEIVE_BYTES = 1 << 20


@behave.given(
    "servers that answer without end, and machines of {megabytes:d} MB and "
    "{most:d} descriptors"
)
def start_platform(context, megabytes, most):
    hostile_clients.start_small_platform(
        context, megabytes, most, "tests.standins.endless_server"
    )


def request_endless(address, route, what):
    """Send a request and drop what comes; return the first bytes of it.

    Args:
        address: (host, port) of the instance.
        route: one of ROUTES.
        what: one of broken_answers.ENDLESS_ANSWERS.
    """
    query = urllib.parse.urlencode({"what": what})
    head = (
        f"POST /{route}/endless?{query} HTTP/1.1\r\nHost: h.example\r\n"
        f"Authorization: Bearer {hostile_clients.KEY}\r\n"
        f"X-Deadline-Ms: {1000 * DEADLINE_SECONDS:.0f}\r\n"
        f"X-Request-Id: {what.replace(' ', '-')}\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
    patience = DEADLINE_SECONDS + SLACK_SECONDS
    with socket.create_connection(address, patience) as client:
        client.sendall(head.encode())
        first = client.recv(64)
        try:
            while client.recv(RECEIVE_BYTES):
                continue
        except ConnectionResetError:
            return first
    return first


@behave.when(
    "{count:d} clients at a time request answers without end, of each kind"
)
def request_all(context, count):
    address = (context.platform.find_address(ENTRY), platforms.FRONTEND_PORT)
    context.descriptors = 0
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        for what in broken_answers.ENDLESS_ANSWERS:
            for target in ORDINARY_TARGETS:
                hostile_clients.wait_answer(context, ENTRY, target)
            futures = [
                pool.submit(
                    request_endless,
                    address,
                    ROUTES[number % len(ROUTES)],
                    what,
                )
                for number in range(count)
            ]
            context.descriptors = max(
                context.descriptors,
                hostile_clients.count_descriptors(context, ENTRY),
            )
            firsts = {future.result()[:12] for future in futures}
            print(what, sorted(firsts))
            assert all(one.startswith(b"HTTP/1.1 ") for one in firsts), what


@behave.when("for {seconds:d} seconds, health checks are answered without end")
def break_checks(context, seconds):
    _toggle_checks(context)
    address = (context.platform.find_address(ENTRY), platforms.FRONTEND_PORT)
    end = time.monotonic() + seconds
    context.descriptors = 0
    while time.monotonic() < end:
        # The instance checks a server after requests to it have failed.
        for route in ROUTES:
            request_endless(address, route, "no HTTP")
        context.descriptors = max(
            context.descriptors,
            hostile_clients.count_descriptors(context, ENTRY),
        )
    _toggle_checks(context)
    checks = context.platform.list_checks()
    print(f"{len(checks)} checks")
    assert checks


def _toggle_checks(context):
    for name, process in context.platform.running.items():
        if name.startswith("server-"):
            process.send_signal(signal.SIGUSR2)
