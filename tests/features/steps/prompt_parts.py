"""Step definitions for instances that ask engines for cached parts."""

import behave

from tests.features.steps import platform
from tests.harness import processes

PARTS = {"headers": {"X-Prompt-Prefix": "5c1e07a2:5000,91bd3f06:700"}}


def send_stream(context, request):
    """Send a streamed request with the parts; return the Answer."""
    return context.platform.request(
        "entry-1", "/tokens/stream", platform.KEY, request, **PARTS
    )


@behave.when("a stream with a part of 5000 tokens is answered by an engine")
def send_first(context):
    assert send_stream(context, "first").status == 200


@behave.when("all entry instances are killed and started again")
def restart_entries(context):
    for name in platform.ENTRIES:
        context.platform.kill(name)
    for name in platform.ENTRIES:
        context.platform.start(name, first=False)
    for name in platform.ENTRIES:
        processes.wait_until(lambda one=name: context.platform.is_ready(one))


@behave.when("at once a stream with another part is answered")
def send_other(context):
    # Placements since the restart don't tell the other instance all parts.
    answer = context.platform.request(
        "entry-2",
        "/tokens/stream",
        platform.KEY,
        headers={"X-Prompt-Prefix": "77aa:6000,91bd3f06:700"},
    )
    assert answer.status == 200, answer.status


def read_logs(context):
    """Return the logs of both entry instances."""
    return "".join(
        context.platform.running[name].read_log() for name in platform.ENTRIES
    )


@behave.then(
    "within {seconds:d} seconds they have learned {count:d} parts from the "
    "engine"
)
def wait_learned(context, seconds, count):
    line = f"learned {count} parts"
    processes.wait_until(lambda: line in read_logs(context), seconds, line)


@behave.then("the next stream with that part goes to an engine that holds it")
def check_held(context):
    def is_held():
        request = f"next-{len(read_logs(context))}"
        assert send_stream(context, request).status == 200
        lines = [one for one in read_logs(context).splitlines()]
        sent = [
            one
            for one in lines
            if request in one and "sent to an upstream" in one
        ]
        return '"held":true' in sent[0]

    # The other instance may have asked the engine, and then reports it.
    processes.wait_until(is_held, 5.0, "a placement where the part is held")
