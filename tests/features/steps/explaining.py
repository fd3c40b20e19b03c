"""Step definitions for explaining a request from log files."""

import json
import pathlib
import subprocess

import behave

from tests.harness import processes


def make_line(second, instance, message, **fields):
    """Return a log line at a second of a fixed minute."""
    line = {
        "time": f"2026-12-04T10:00:{second:06.3f}+00:00",
        "level": "info",
        "instance": instance,
        "message": message,
    }
    return json.dumps({**line, **fields})


def make_sent_line(second, instance, request, tokens, held):
    """Return the log line of a request that is sent to upstream i-1."""
    return make_line(
        second,
        instance,
        "sent to an upstream",
        request=request,
        peer="i-1",
        inputs={"load": 2, "part": ["p", tokens], "held": held},
    )


LOGS_BY_CASE = {
    "an instance was cut off": {
        "entry-1": [
            make_line(
                1, "entry-1", "lost a replica: no reply", peer="10.1.0.9"
            ),
            make_line(
                5,
                "entry-1",
                "answered 503: the configuration may be old",
                request="r1",
                inputs={"version": 8, "age_ms": 4316},
            ),
        ],
        "entry-2": [make_line(2, "entry-2", "lost a replica: no", peer="x")],
    },
    "an upstream reset a connection": {
        "entry-1": [
            make_sent_line(1, "entry-1", "r1", 0, False),
            make_line(
                1.2,
                "entry-1",
                "attempt failed: the connection was reset",
                request="r1",
                peer="i-1",
            ),
            make_line(
                1.21,
                "entry-1",
                "answered 502: the connection was reset",
                request="r1",
            ),
        ],
        "replica-1": [
            "not JSON",
            make_line(3, "replica-1", "upstream is silent", peer="i-1"),
        ],
    },
    "a long prompt held up a stream": {
        "entry-1": [
            make_sent_line(1, "entry-1", "r1", 500, True),
            make_line(
                3,
                "entry-1",
                "stream ended",
                request="r1",
                peer="i-1",
                inputs={"first_ms": 100, "pause_ms": 660, "send_ms": 0},
            ),
        ],
        "entry-2": [make_sent_line(2, "entry-2", "r9", 23968, False)],
    },
}


@behave.given("log files of a day in which {what}")
def write_logs(context, what):
    folder = pathlib.Path(context.folder)
    context.logs = []
    for name, lines in LOGS_BY_CASE[what].items():
        path = folder / f"{name}.jsonl"
        path.write_text("\n".join(lines) + "\n")
        context.logs.append(path)


@behave.when("an operator asks to explain request {request}")
def explain(context, request):
    context.done = subprocess.run(
        processes.run_program(
            "camphorhook", "explain", request, *context.logs
        ),
        capture_output=True,
        text=True,
        timeout=60,
    )


@behave.then("the explanation names {cause}")
def check_cause(context, cause):
    assert context.done.returncode == 0, context.done.stderr
    assert cause in context.done.stdout.splitlines()[-1], context.done.stdout


@behave.then("it shows the belief: {belief}")
def check_belief(context, belief):
    lines = context.done.stdout.splitlines()
    found = [line for line in lines if " belief " in line]
    assert len(found) == 1 and belief in found[0], context.done.stdout


@behave.then("it ends with exit code {code:d} and names {word}")
def check_unknown(context, code, word):
    assert context.done.returncode == code
    assert word in context.done.stderr
    assert context.done.stderr.count("\n") == 1


@behave.when("an operator asks for a report")
def make_report(context):
    context.page = pathlib.Path(context.folder) / "report.html"
    context.page.unlink(missing_ok=True)
    context.done = subprocess.run(
        processes.run_program(
            "camphorhook", "report", context.page, *context.logs
        ),
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert context.done.returncode == 0, context.done.stderr


@behave.then("the page holds a plot of: {title}")
def check_plot(context, title):
    _, _, rest = context.page.read_text().partition(f"<h2>{title}</h2>")
    assert rest.lstrip().startswith('<img src="data:image/png'), rest[:200]


@behave.then("it counts {count:d} of: {name}")
def check_count(context, count, name):
    row = f"<td>{name}</td><td>{count}</td>"
    assert row in context.page.read_text(), row
