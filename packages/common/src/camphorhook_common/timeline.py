"""The timeline: events of all processes, merged in causal order."""

import collections
import json
import os
import typing

import msgspec

from camphorhook_common import clock as clocks
from camphorhook_common import logs

RING_LENGTH = 20000


class Event(typing.TypedDict, total=False):
    """An event of a process; `stamp` comes from the hybrid logical clock."""

    stamp: int
    instance: str
    event: str
    request: str
    operation: str
    peer: str
    step: str
    detail: str


class Recorder:
    """Keeps the latest events in memory and can append all to a file."""

    def __init__(self, instance, clock, path=None):
        """Create a recorder.

        Args:
            instance: name of the instance, written in each event.
            clock: HybridClock of the process.
            path: file to append events to as JSON lines; None for no file.
        """
        self._instance = instance
        self._clock = clock
        self._ring = collections.deque(maxlen=RING_LENGTH)
        self._file = _open_to_append(path) if path else None

    def record(self, event, **fields):
        """Record an event.

        Args:
            event: name of the event.
            **fields: values for other fields of Event, stored as text.
        """
        entry = Event(
            stamp=self._clock.stamp(), instance=self._instance, event=event
        )
        entry.update((key, str(value)) for key, value in fields.items())
        self._ring.append(entry)
        if self._file:
            self._write(msgspec.json.encode(entry).decode() + "\n")

    def _write(self, line):
        """Append a line to the file; stop writing to it after an error.

        A full disk must not end the process.
        """
        try:
            self._file.write(line)
        except OSError as error:
            self._file = None
            logs.log(
                "warning",
                f"{error}; no more events are written to the file",
                step="time line",
            )

    def read(self, after=0, limit=RING_LENGTH):
        """Return the latest `limit` events with a stamp above `after`."""
        found = [event for event in self._ring if event["stamp"] > after]
        return found[-limit:]


def _open_to_append(path):
    """Open a file to append lines, also after one that a crash cut off."""
    file = open(path, "a", buffering=1)
    if file.tell():
        with open(path, "rb") as written:
            written.seek(-1, os.SEEK_END)
            if written.read() != b"\n":
                file.write("\n")
    return file


def load(path):
    """Return the events in a file, without lines that a crash cut off.

    Args:
        path: path of a file written by a Recorder.
    """
    events = []
    with open(path, errors="replace") as lines:
        for line in lines:
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
    return events


def merge(event_lists):
    """Return the events of several processes in the order of their stamps.

    Args:
        event_lists: a list of events for each process.
    """
    merged = [event for events in event_lists for event in events]
    merged.sort(key=lambda event: (event["stamp"], event["instance"]))
    return merged


def select(events, *, identifier="", instance="", event=""):
    """Return the events that match all given filters.

    Args:
        events: events to filter.
        identifier: a request id, operation id or peer; empty matches all.
        instance: name of the instance; empty matches all.
        event: prefix of the event's name; empty matches all.
    """
    chosen = []
    for entry in events:
        ids = (entry.get("request"), entry.get("operation"), entry.get("peer"))
        if identifier and identifier not in ids:
            continue
        if instance and entry["instance"] != instance:
            continue
        if event and not entry["event"].startswith(event):
            continue
        chosen.append(entry)
    return chosen


def format_event(event):
    """Return an event as a line of text."""
    seconds = clocks.convert_to_seconds(event["stamp"])
    skipped = ("stamp", "instance", "event")
    fields = " ".join(
        f"{key}={value}" for key, value in event.items() if key not in skipped
    )
    return f"{seconds:.3f} {event['instance']:<10} {event['event']} {fields}"
