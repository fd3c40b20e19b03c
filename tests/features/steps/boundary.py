"""Step definitions for the boundary between daemon and platform."""

import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import time

import behave

from camphorhook_common import logs
from camphorhook_daemon.adapters import metrics
from camphorhook_daemon import omissions
from camphorhook_daemon.platform import settings as platform_settings
from tests.harness import platforms

DAEMON = pathlib.Path(platform_settings.__file__).parents[1]
# Names of the platform's protocol; the product has its own names.
WIRE_NAMES = re.compile(
    r"""x-(deadline-ms|prompt-prefix|tenant|expect-instance|server-load"""
    r"""|not-executed|request-priority|response-seal|model|token-usage)"""
    r"""|kv-(from|fetch|backup|move|list|events)|/-/|HeartbeatUrl"""
    r"""|TargetLatencyMs|TrafficSplit|ApiKeys|PathPrefix|CAMPHORHOOK_BOOT"""
    r"""|RevokeMs|RetryBudgetRatio|InternalPorts|FrontendAddr""",
    re.IGNORECASE,
)
DECISION_NAMES = re.compile(
    r"\b(random|hashing|xxhash|trio\.sleep|move_on_after)\b"
)
HEAVY_LIBRARIES = (
    "asyncio",
    "hypercorn",
    "httpcore",
    "opentelemetry",
    "expression",
)


def list_modules(inside):
    """Return the daemon's modules inside or outside platform/."""
    return [
        path
        for path in DAEMON.rglob("*.py")
        if ("platform" in path.relative_to(DAEMON).parts) == inside
    ]


@behave.then(
    "no module outside platform/ contains a name of the platform's protocol"
)
def check_names(context):
    # The command line's help text names the environment variable.
    outside = [path for path in list_modules(False) if path.name != "main.py"]
    found = [
        (path.name, match.group())
        for path in outside
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert outside and not found, found


@behave.then(
    "platform/ has under {most:d} lines and no random, hash or timer of its "
    "own"
)
def check_size(context, most):
    texts = [path.read_text() for path in list_modules(True)]
    lines = sum(len(text.splitlines()) for text in texts)
    assert 0 < lines < most, lines
    found = [
        m.group() for text in texts for m in DECISION_NAMES.finditer(text)
    ]
    assert not found, found


@behave.then(
    "an instance on the platform imports neither asyncio, hypercorn, "
    "OpenTelemetry nor expression"
)
def check_imports(context):
    program = (
        "import sys, camphorhook_daemon.main, "
        "camphorhook_daemon.platform_composition;"
        "print(*(name.partition('.')[0] for name in sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-S", "-c", program],
        env={"PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(done.stdout.split())
    assert not loaded.intersection(HEAVY_LIBRARIES), loaded.intersection(
        HEAVY_LIBRARIES
    )


IMPORT_PROGRAM = """
import json, sys
from camphorhook_daemon import omissions
omissions.omit()
import camphorhook_daemon.main
import camphorhook_daemon.platform.settings
import camphorhook_daemon.platform_composition
with open("/proc/self/status") as status:
    fields = dict(line.split(":", 1) for line in status)
print(json.dumps({
    "kinds": {n: type(m).__name__ for n, m in sys.modules.items()},
    "anonymous_kb": int(fields["RssAnon"].split()[0]),
}))
"""


@behave.when("the modules of an instance on the platform are imported")
def import_modules(context):
    done = subprocess.run(
        [sys.executable, "-S", "-P", "-c", IMPORT_PROGRAM],
        env={"PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        check=True,
    )
    context.imported = json.loads(done.stdout)


@behave.then(
    "each module that is left out is empty, and none below it is loaded"
)
def check_omitted(context):
    kinds = context.imported["kinds"]
    for name in omissions.OMITTED:
        assert kinds[name] == "_OmittedModule", (name, kinds[name])
        assert not [n for n in kinds if n.startswith(name + ".")], name


@behave.then("the process holds at most {megabytes:g} MB, which is printed")
def check_memory(context, megabytes):
    held = context.imported["anonymous_kb"] / 1024
    print(f"anonymous memory after the imports: {held:.1f} MB")
    assert held <= megabytes, held


@behave.when("a package is compiled as for the platform")
def compile_package(context):
    folder = pathlib.Path(context.folder) / "compiled"
    shutil.rmtree(folder, ignore_errors=True)
    package = folder / "example"
    package.mkdir(parents=True)
    for name in ("__init__.py", "main.py", "other.py"):
        (package / name).write_text('"""Text."""\n')
    subprocess.run(
        [sys.executable, "deploy/compile.py", str(folder)], check=True
    )
    program = (
        "import example, example.main, example.other;"
        "print(example.__doc__, example.main.__doc__, example.other.__doc__)"
    )
    done = subprocess.run(
        [sys.executable, "-S", "-P", "-c", program],
        env={"PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        check=True,
    )
    context.docs = done.stdout.split()


@behave.then("its modules have no doc strings, except for the usage message")
def check_docs(context):
    assert context.docs == ["None", "Text.", "None"], context.docs


@behave.when("{count:d} lines are logged to a pipe that is not read")
def log_unread(context, count):
    _, writer = os.pipe()
    with open(writer, "w") as stream:
        bounded = logs.NonBlockingStream(stream)
        began = time.process_time()
        for number in range(count):
            if bounded.admit():
                bounded.write(json.dumps({"message": "x" * 200, "n": number}))
        context.spent = time.process_time() - began
        context.dropped = bounded.dropped


@behave.then(
    "it takes under {seconds:d} seconds of processor time and lines are "
    "counted as dropped"
)
def check_unread(context, seconds):
    assert context.spent < seconds, context.spent
    assert context.dropped > 0


@behave.given("a settings file of the platform")
def write_settings(context):
    path = pathlib.Path(context.folder) / "boundary.json"
    context.path = path
    context.fields = {
        "NodeName": "entry-1",
        "Ip": "127.0.0.1",
        "Zone": "zone-a",
        "Zones": dict.fromkeys(platforms.DOMAINS, "region"),
        "Listen": {},
        "InternalPorts": [7000, 7015],
        "Seeds": ["127.0.0.2:80"],
    }
    path.write_text(json.dumps(context.fields))
    context.settings = platform_settings.ReloadableSettings(path)
    assert context.settings.seeds == ("127.0.0.2",)


def rewrite_settings(context, text):
    """Overwrite the settings file and reload it."""
    time.sleep(0.01)
    context.path.write_text(text)
    assert context.settings.has_changed()
    context.settings.reload()


@behave.when("its seeds are changed")
def change_seeds(context):
    context.fields["Seeds"] = ["127.0.0.3:80", "127.0.0.4:80"]
    rewrite_settings(context, json.dumps(context.fields))


@behave.when("the file is truncated to its first half")
def truncate_settings(context):
    text = json.dumps(context.fields)
    rewrite_settings(context, text[: len(text) // 2])


@behave.then("the new seeds are in use")
def check_seeds(context):
    assert context.settings.seeds == ("127.0.0.3", "127.0.0.4")


@behave.then("a counter, a gauge and a histogram appear in the text")
def check_metrics(context):
    numbers = metrics.Metrics()
    numbers.add("requests_total", status=200)
    numbers.register_gauge("age_ms", lambda: 7)
    numbers.observe("first_byte_seconds", 0.03, route="r1")
    text = numbers.render()
    for line in (
        'camphorhook_requests_total{status="200"} 1',
        "camphorhook_age_ms 7",
        'camphorhook_first_byte_seconds_bucket{route="r1",le="0.05"} 1',
        'camphorhook_first_byte_seconds_bucket{route="r1",le="0.02"} 0',
        'camphorhook_first_byte_seconds_count{route="r1"} 1',
    ):
        assert line in text.splitlines(), (line, text)
