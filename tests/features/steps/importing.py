"""Step definitions for importing documents with the operators' client."""

import json
import pathlib
import subprocess

import behave

from tests.features.steps import platform
from tests.harness import platforms
from tests.harness import processes


def run_import(context, body, *options):
    """Run `camphorhook import-document`; keep its output and exit code."""
    path = pathlib.Path(context.folder) / "document.json"
    path.write_bytes(body)
    replica = context.platform.find_address("replica-1")
    context.done = subprocess.run(
        processes.run_program(
            "camphorhook",
            f"--server={replica}:{platforms.CONTROL_PORT}",
            "import-document",
            path,
            *options,
        ),
        capture_output=True,
        text=True,
    )


@behave.when(
    "a dry run of document {version:d} with a new service and one key less "
    "is made"
)
def preview(context, version):
    fields = json.loads(
        platforms.make_document(version, keys=("key-1",), service="other")
    )
    fields["Services"].append({"Name": "new"})
    run_import(context, json.dumps(fields).encode(), "--dry-run")


@behave.then(
    "it lists the service, the routes and the key, and changes nothing"
)
def check_preview(context):
    assert context.done.returncode == 0, context.done
    lines = context.done.stdout.splitlines()
    assert lines[:-1] == [
        "service new is added",
        "route safe: shares plain 1 becomes other 1",
        "route unsafe: shares plain 1 becomes other 1",
        "route open: shares plain 1 becomes other 1",
        "client account account-1: 1 keys taken away",
    ], lines
    assert lines[-1] == "5 changes; version 20 would follow version 1"
    assert [platform.read_version(context, n) for n in (1, 2, 3)] == [1] * 3


@behave.when("a dry run of a document with two faults is made")
def preview_faulty(context):
    fields = json.loads(platforms.make_document(20))
    fields["Routes"][0]["TimeoutMs"] = 0
    fields["Routes"][1]["Service"] = "lost"
    run_import(context, json.dumps(fields).encode(), "--dry-run")


@behave.then("it names both faults and exits with {code:d}")
def check_faults(context, code):
    assert context.done.returncode == code, context.done
    assert context.done.stdout.splitlines() == [
        "wrong: route safe: the timeout is not above 0",
        "wrong: route unsafe: no service 'lost'",
    ], context.done.stdout


@behave.when("document {version:d} is imported as version {other:d}")
def import_as(context, version, other):
    body = platforms.make_document(version, service="other")
    run_import(context, body, f"--version={other}")
    assert context.done.returncode == 0, context.done
    assert context.done.stdout == f"version {other} is in force\n"


@behave.then("importing it again as version {other:d} exits with {code:d}")
def import_again(context, other, code):
    body = platforms.make_document(other, service="other")
    run_import(context, body, f"--version={other}")
    assert context.done.returncode == code, context.done
    assert "version 25 is held" in context.done.stderr, context.done.stderr
