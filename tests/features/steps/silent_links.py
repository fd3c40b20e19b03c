"""Step definitions for channels between instances that go silent."""

import behave
import trio

from camphorhook_daemon.domain import instance_settings
from tests.harness import silent_links


@behave.when("the open channel to an instance goes silent for good")
def silence(context):
    context.silent_seconds = trio.run(
        silent_links.measure_silence, f"127.0.{context.slot + 10}.90"
    )


@behave.then("it answers again within the longest election timeout")
def check_silence(context):
    longest = 2 * instance_settings.Timing().election_ms / 1000
    assert context.silent_seconds <= longest, context.silent_seconds
