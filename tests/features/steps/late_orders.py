"""Step definitions for orders of operators that come late."""

import json
import re
import socket
import time

import behave

from tests.harness import platforms
from tests.harness import processes

ENTRIES = ("entry-1", "entry-2", "entry-3")  # one in each failure domain
METHODS = {"out": "POST", "in": "DELETE"}
REVERSE = {"out": "in", "in": "out"}
CALLER_WAIT_SECONDS = 1.0  # then operators ask the next replica
SETTLE_SECONDS = 1.5  # for a late order to take effect, if it does
REPLICAS = (1, 2, 3)


def send_order(context, state, domain, replicas):
    """Send an order until a replica acknowledges it; return the seconds."""
    path = f"/-/evacuations/{domain}"
    began_at = time.monotonic()
    processes.wait_until(
        lambda: context.platform.call_control(
            METHODS[state], path, replicas=replicas
        ).status
        == 200,
        10.0,
        f"acknowledgement that {domain} is {state}",
    )
    return time.monotonic() - began_at


def connect(context, replica):
    """Return a connection to the control port of a replica."""
    address = context.platform.find_address(f"replica-{replica}")
    return socket.create_connection((address, platforms.CONTROL_PORT), 5.0)


def make_request(state, domain):
    """Return the bytes of an order."""
    lines = (
        f"{METHODS[state]} /-/evacuations/{domain} HTTP/1.1",
        "Host: control",
        "Content-Length: 0",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def find_leader(context):
    """Return the number of the replica that leads."""
    for number in REPLICAS:
        log = context.platform.folder / f"replica-{number}.log"
        lines = re.findall(r"leads the log|stepped down", log.read_text())
        if lines and lines[-1] == "leads the log":
            return number
    raise AssertionError("no replica leads")


@behave.when(
    "zone-{domain:w} is {state:w} and the reverse order is held back by "
    "{what}"
)
def hold_back(context, domain, state, what):
    domain = f"zone-{domain}"
    held = find_leader(context) if what == "the paused leader" else 2
    others = tuple(number for number in REPLICAS if number != held)
    if state == "in":
        send_order(context, "out", domain, REPLICAS)
    send_order(context, state, domain, REPLICAS)
    reverse = REVERSE[state]
    is_paused = what != "the operator's link"
    if is_paused:
        context.platform.pause(f"replica-{held}")
    connection = connect(context, held)
    if is_paused:
        connection.sendall(make_request(reverse, domain))
    time.sleep(CALLER_WAIT_SECONDS)
    if is_paused:
        connection.close()
    send_order(context, reverse, domain, others)
    send_order(context, state, domain, others)
    if is_paused:
        context.platform.resume(f"replica-{held}")
        return
    # The link delivers the end of the stream as late as the order.
    connection.sendall(make_request(reverse, domain))
    time.sleep(CALLER_WAIT_SECONDS)
    connection.close()


@behave.when(
    "zone-b is out and {count:d} callers of the reverse order leave a paused "
    "replica"
)
def leave_at_once(context, count):
    send_order(context, "out", "zone-b", REPLICAS)
    context.platform.pause("replica-2")
    for _ in range(count):
        with connect(context, 2) as connection:
            connection.sendall(make_request("in", "zone-b"))
    context.platform.resume("replica-2")


@behave.when("zone-b is taken out")
def take_out(context):
    send_order(context, "out", "zone-b", REPLICAS)


@behave.when(
    "zone-b is taken out and back {count:d} times, at another replica each "
    "time"
)
def alternate(context, count):
    context.seconds = [
        send_order(
            context,
            ("out", "in")[number % 2],
            "zone-b",
            tuple(REPLICAS[(number + step) % 3] for step in range(3)),
        )
        for number in range(2 * count)
    ]


@behave.then("each order is acknowledged within {seconds:g} second")
def check_seconds(context, seconds):
    print(f"longest {max(context.seconds):.3f} s")
    assert max(context.seconds) < seconds, context.seconds


@behave.then("an order that is sent again is acknowledged again")
def check_again(context):
    for number in REPLICAS:
        send_order(context, "out", "zone-b", (number,))


def count_reached(context, entry, server):
    """Return how many of an instance's requests reach a server."""
    processes.wait_until(lambda: context.platform.is_ready(entry))
    answers = [
        context.platform.request(entry, "/safe/late", "key-1")
        for _ in range(12)
    ]
    return sum(one.body.startswith(server.encode()) for one in answers)


@behave.then("zone-{domain:w} stays {state:w} at every instance")
def check_state(context, domain, state):
    time.sleep(SETTLE_SECONDS)
    number = platforms.DOMAINS.index(f"zone-{domain}") + 1
    reached = {
        entry: count_reached(context, entry, f"server-{number} ")
        for entry in ENTRIES
    }
    print(reached)
    if state == "out":
        assert not any(reached.values()), reached
    else:
        # Requests prefer the failure domain of their instance.
        assert reached[f"entry-{number}"], reached


def read_lines(context, name, step):
    """Return the log lines of a process with a step, as dicts."""
    text = (context.platform.folder / f"{name}.log").read_text()
    lines = [json.loads(one) for one in text.splitlines() if one[:1] == "{"]
    return [one for one in lines if one.get("step") == step]


@behave.then("no replica has taken zone-b back")
def check_not_back(context):
    for number in REPLICAS:
        lines = read_lines(context, f"replica-{number}", "apply change")
        states = [one["inputs"]["state"] for one in lines]
        assert states == ["out"], lines


@behave.then(
    "each replica logs the change, who asked for it and the version before"
)
def check_replica_lines(context):
    asked = context.platform.find_address("replica-1")
    for number in REPLICAS:
        (line,) = processes.wait_until(
            lambda name=f"replica-{number}": read_lines(
                context, name, "apply change"
            )
        )
        inputs = line["inputs"]
        assert line["message"] == "failure domain zone-b is set", line
        assert inputs["state"] == "out", line
        assert inputs["index"] > inputs["version_before"] == 0, line
        assert line["operation"].startswith(asked), line


@behave.then("each entry instance logs that zone-b is out")
def check_entry_lines(context):
    for entry in ENTRIES:
        lines = processes.wait_until(
            lambda name=entry: read_lines(
                context, name, "take up failure domains"
            )
        )
        assert lines[-1]["inputs"]["out"] == ["zone-b"], lines
