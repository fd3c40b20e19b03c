"""Step definitions for the time line in files."""

import pathlib

import behave

from camphorhook_common import clock as clocks
from camphorhook_common import timeline

CUT_BYTES = 12  # of the last line


def _record(path, *events):
    """Record events as a process does that starts with this file."""
    recorder = timeline.Recorder("a1", clocks.HybridClock(), str(path))
    for event in events:
        recorder.record(event)


@behave.given("a file in which a crash cut off the third event")
def write_cut_file(context):
    context.path = pathlib.Path(context.folder) / "cut.timeline.jsonl"
    context.path.unlink(missing_ok=True)
    _record(context.path, "one", "two", "three")
    data = context.path.read_bytes()
    context.path.write_bytes(data[:-CUT_BYTES])


@behave.when("the restarted process records two more events")
def record_more(context):
    _record(context.path, "four", "five")


@behave.then("all events but the third are read")
def check_events(context):
    events = [one["event"] for one in timeline.load(context.path)]
    assert events == ["one", "two", "four", "five"], events
