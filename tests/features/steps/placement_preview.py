"""Step definitions for previews of where a request would go."""

import json
import subprocess

import behave

from camphorhook_daemon.domain import instance_settings
from tests.features.steps import platform as platform_steps
from tests.harness import processes

PARTS = "ab12:5000,cd34:20"
TARGET = "/tokens/stream?events=1&ms=1"


def run_where(context, host, *options):
    """Run the command against the metrics port of entry-1."""
    address = context.platform.find_address("entry-1")
    command = processes.run_program(
        "camphorhook",
        f"--server={address}:{instance_settings.METRICS_PORT}",
        "where",
        host,
        TARGET.partition("?")[0],
        *options,
    )
    context.command = subprocess.run(command, capture_output=True, text=True)


@behave.when("an operator asks where a request with the part ab12 would go")
def ask(context):
    context.platform.effects.write_text("")
    run_where(context, "h.example", f"--parts={PARTS}", "--json")


@behave.when("an operator asks where a request to an unknown host would go")
def ask_unknown(context):
    run_where(context, "other.example")


@behave.then("the next request with the part ab12 goes there")
def check_same(context):
    assert context.command.returncode == 0, context.command.stderr
    (service,) = json.loads(context.command.stdout)["services"]
    context.preview_effects = context.platform.list_effects()
    answer = context.platform.request(
        "entry-1",
        TARGET,
        platform_steps.KEY,
        headers={"X-Prompt-Prefix": PARTS},
    )
    assert answer.status == 200, answer.status
    (effect,) = context.platform.list_effects()
    assert effect["server"] == service["choice"]["upstream"], effect


@behave.then("no upstream got a request of the preview")
def check_nothing_sent(context):
    assert not context.preview_effects, context.preview_effects


@behave.then("the command ends with exit code 1 and names the host")
def check_refused(context):
    assert context.command.returncode == 1, context.command
    assert "other.example" in context.command.stderr, context.command
