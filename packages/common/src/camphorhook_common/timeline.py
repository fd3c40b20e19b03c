"""The time line: events of all processes, merged in causal order."""

import collections
import json
import typing

import msgspec

from camphorhook_common import clock as clocks
from camphorhook_common import logs

RING_LENGTH = 20000


class Event(typing.TypedDict, total=False):
    """One event; the stamp is of the hybrid logical clock."""

    stamp: int
    instance: str
    event: str
    request: str
    operation: str
    peer: str
    step: str
    detail: str


class Recorder:
    """Keeps the last events in memory and appends them to a file."""

    def __init__(self, instance, clock, path=None):
        """Create a recorder.

        Args:
            instance: name of this process in the events.
            clock: the process's HybridClock.
            path: file to append JSON lines to; None keeps memory only.
        """
        self._instance = instance
        self._clock = clock
        self._ring = collections.deque(maxlen=RING_LENGTH)
        self._file = open(path, "a", buffering=1) if path else None

    def record(self, event, **fields):
        """Record an event with any of the fields of Event."""
        entry = Event(
            stamp=self._clock.stamp(), instance=self._instance, event=event
        )
        entry.update((key, str(value)) for key, value in fields.items())
        self._ring.append(entry)
        if self._file:
            self._write(msgspec.json.encode(entry).decode() + "\n")

    def _write(self, line):
        """Append to the file; a full disk ends the file, not the process."""
        try:
            self._file.write(line)
        except OSError as error:
            self._file = None
            logs.log("warning", f"{error}; no more events", step="time line")

    def read(self, after=0, limit=RING_LENGTH):
        """Return the newest `limit` events whose stamp is above `after`."""
        found = [event for event in self._ring if event["stamp"] > after]
        return found[-limit:]


def load(path):
    """Return the events of a file; a torn last line is left out."""
    events = []
    with open(path) as lines:
        for line in lines:
            try:
                events.append(json.loads(line))
            except ValueError:
                break
    return events


def merge(event_lists):
    """Merge events of several processes by stamp, then by instance."""
    merged = [event for events in event_lists for event in events]
    merged.sort(key=lambda event: (event["stamp"], event["instance"]))
    return merged


def select(events, *, word="", instance="", event=""):
    """Return events that carry a request, operation or peer, and so on.

    Args:
        events: the events to filter.
        word: a request id, operation id or peer; empty takes all.
        instance: only this instance's events; empty takes all.
        event: only events whose name starts so; empty takes all.
    """
    chosen = []
    for entry in events:
        ids = (entry.get("request"), entry.get("operation"), entry.get("peer"))
        if word and word not in ids:
            continue
        if instance and entry["instance"] != instance:
            continue
        if event and not entry["event"].startswith(event):
            continue
        chosen.append(entry)
    return chosen


def format_event(event):
    """Return an event as one line of text."""
    seconds = clocks.convert_to_seconds(event["stamp"])
    skipped = ("stamp", "instance", "event")
    fields = " ".join(
        f"{key}={value}" for key, value in event.items() if key not in skipped
    )
    return f"{seconds:.3f} {event['instance']:<10} {event['event']} {fields}"
