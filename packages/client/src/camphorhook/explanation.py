"""Explanation of how a request ended, from the log files of all processes.

An explanation consists of the request's own log lines and of related lines.
These show the state of upstreams and replicas as the instances that handled
the request saw it, and long prefills that ran at the same time. Lines of one
process keep their order; those of different processes are merged by their
wall clocks.
"""

import datetime
import heapq
import json
import typing

from camphorhook_common import errors

# Before the request's first line; longer than an instance relies on state
# without an update.
LOOKBACK_SECONDS = 12.0
# After the request's last line; replicas log a change of an upstream up to
# this much later.
REPORT_DELAY_SECONDS = 3.0
LONG_TOKENS = 3000  # prefilling a part of this length takes 50 ms
SLOW_THRESHOLD_MS = 400  # longest usual wait for an event or for the client
NEVER_CONFIRMED_MS = 10**9  # logged as the age of a document never confirmed
REPLICA_PREFIXES = ("lost a replica", "watches a replica", "document ")
UPSTREAM_PREFIXES = (
    "attempt failed",
    "the upstream answered 5",
    "upstream is ",
)


class Line(typing.NamedTuple):
    """A log line.

    Attributes:
        at: time in seconds since the epoch.
        instance: name of the instance that wrote the line.
        message: text of the line.
        request: id of the request; empty if none.
        peer: upstream or instance concerned; empty if none.
        inputs: values on which the logged decision was based.
    """

    at: float
    instance: str
    message: str
    request: str
    peer: str
    inputs: dict


class Explanation(typing.NamedTuple):
    """The explanation of how a request ended.

    Attributes:
        lines: the request's own log lines.
        related_lines: log lines on upstreams, replicas and other requests
            that may explain the request's end.
        cause: one or two sentences on why the request ended as it did.
    """

    lines: list[Line]
    related_lines: list[Line]
    cause: str


def load(path):
    """Return the Lines of a log file; lines that are not JSON are skipped.

    Args:
        path: path of the log file.

    Raises:
        errors.StorageError: the file can't be read.
    """
    try:
        with open(path, errors="replace") as file:
            return [line for text in file for line in _parse_line(text)]
    except OSError as error:
        raise errors.StorageError(
            error.strerror, step="read log", peer=str(path)
        ) from error


def _parse_line(text):
    """Return a list of the Line in a text; an empty list if it holds none."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
        if not isinstance(fields, dict) or "time" not in fields:
            return []
        logged_at = datetime.datetime.fromisoformat(fields["time"])
    except ValueError:
        return []
    return [
        Line(
            logged_at.timestamp(),
            fields.get("instance", ""),
            fields.get("message", ""),
            fields.get("request", ""),
            fields.get("peer", ""),
            fields.get("inputs", {}),
        )
    ]


def explain(request, files):
    """Return the Explanation of a request.

    Args:
        request: id of the request.
        files: a list of Lines for each process.

    Raises:
        errors.StorageError: no line has the id of the request.
    """
    merged = list(heapq.merge(*files, key=lambda line: line.at))
    lines = [line for line in merged if line.request == request]
    if not lines:
        raise errors.StorageError(
            "no log line has this request id; pass the log files of all "
            "processes",
            step="explain",
            peer=request,
        )
    related_lines = [line for line in merged if _is_related(line, lines)]
    return Explanation(lines, related_lines, _find_cause(lines, related_lines))


def _is_related(line, lines):
    """Return whether a line that is not the request's may explain its end."""
    started_at, ended_at = lines[0].at, lines[-1].at
    instances = {item.instance for item in lines}
    peers = {item.peer for item in lines if item.peer}
    if line in lines or not started_at - LOOKBACK_SECONDS <= line.at:
        return False
    if line.message.startswith("upstream is "):
        return (
            line.peer in peers and line.at <= ended_at + REPORT_DELAY_SECONDS
        )
    if line.at > ended_at or line.instance not in instances:
        return _is_concurrent_prefill(line, peers, started_at, ended_at)
    if line.message.startswith(REPLICA_PREFIXES):
        return True
    if line.message.startswith(UPSTREAM_PREFIXES):
        return line.peer in peers
    return _is_concurrent_prefill(line, peers, started_at, ended_at)


def _is_concurrent_prefill(line, peers, started_at, ended_at):
    """Return whether a line shows a long prefill while the request ran.

    Args:
        line: the line.
        peers: names of the upstreams to which the request was sent.
        started_at: time of the request's first line.
        ended_at: time of the request's last line.
    """
    if line.message != "sent to an upstream" or line.peer not in peers:
        return False
    if not started_at <= line.at <= ended_at or line.inputs.get("held"):
        return False
    tokens = (line.inputs.get("part") or ["", 0])[1]
    return tokens >= LONG_TOKENS


# --- causes --------------------------------------------------------------


def _find_cause(lines, related_lines):
    """Return one or two sentences on why the request ended as it did."""
    # What is known of a crash may be logged after the end of the request.
    for last in reversed(lines):
        for prefix, explainer in _EXPLAINERS:
            if last.message.startswith(prefix):
                return explainer(last, lines, related_lines)
    return "No line in these files shows how the request ended."


def _explain_stale_document(last, _lines, related_lines):
    lost_replicas = [
        line.peer
        for line in related_lines
        if line.message.startswith("lost a")
    ]
    names = ", ".join(dict.fromkeys(lost_replicas)) or "none in these files"
    age = last.inputs.get("age_ms", NEVER_CONFIRMED_MS)
    duration = (
        f"for {age} ms" if age < NEVER_CONFIRMED_MS else "since it started"
    )
    return (
        f"{last.instance} had no confirmation of its document {duration}, so "
        f"it must not accept client keys. Replicas lost before: {names}."
    )


def _explain_not_in_document(last, _lines, _related_lines):
    version = last.inputs.get("version", "unknown")
    return (
        f"The key or route is not in document {version}, which "
        f"{last.instance} had in force and which was confirmed "
        f"{last.inputs.get('age_ms', 'unknown')} ms before."
    )


def _explain_failed_attempts(last, lines, related_lines):
    failed = [
        f"{line.peer}: {line.message.partition(': ')[2] or line.message}"
        for line in lines
        if line.peer and line.message.startswith(UPSTREAM_PREFIXES)
    ]
    reported_states = [
        f"{line.peer} {line.message.removeprefix('upstream ')}"
        for line in related_lines
        if line.message.startswith("upstream is ")
        and not line.message.endswith("live")
    ]
    text = f"Failed attempts: {'; '.join(failed) or 'none'}."
    if reported_states:
        text += (
            f" Replicas reported: {', '.join(dict.fromkeys(reported_states))}."
        )
    if last.message.startswith("answered 502"):
        text += " It may have run, so it was not sent again."
    return text


def _explain_no_upstream(last, _lines, related_lines):
    lost_upstreams = [
        line.peer
        for line in related_lines
        if line.message in ("upstream is silent", "upstream is leaving")
    ]
    text = f"{last.instance} found no available upstream: {last.message}."
    if lost_upstreams:
        text += (
            " Gone shortly before: "
            f"{', '.join(dict.fromkeys(lost_upstreams))}."
        )
    return text


def _explain_stream(last, lines, related_lines):
    first_ms = last.inputs.get("first_ms", 0)
    pause_ms = last.inputs.get("pause_ms", 0)
    sent_lines = [
        line for line in lines if line.message == "sent to an upstream"
    ]
    text = f"First event after {first_ms} ms, longest pause {pause_ms} ms"
    if last.inputs.get("send_ms", 0) > SLOW_THRESHOLD_MS:
        return text + "; the client read the events slowly."
    concurrent = [line for line in related_lines if line.inputs.get("part")]
    if concurrent and max(first_ms, pause_ms) > SLOW_THRESHOLD_MS:
        tokens = max(line.inputs["part"][1] for line in concurrent)
        return text + f"; {last.peer} prefilled {tokens} tokens meanwhile."
    if len(sent_lines) > 1:
        return text + f"; the request was sent {len(sent_lines)} times."
    load = sent_lines[-1].inputs.get("load") if sent_lines else None
    return (
        text
        + f"; the load of {last.peer} was {load} requests when it was sent."
    )


_EXPLAINERS = (
    ("answered 503: the configuration may be old", _explain_stale_document),
    ("answered 503: the key's account", _explain_stale_document),
    ("answered 503: no configuration", _explain_stale_document),
    ("answered 401", _explain_not_in_document),
    ("answered 404", _explain_not_in_document),
    ("answered 503: every upstream of", _explain_no_upstream),
    ("answered 503: service", _explain_no_upstream),
    ("answered 5", _explain_failed_attempts),
    ("stream broken off", _explain_failed_attempts),
    ("stream ended", _explain_stream),
    ("answered", _explain_failed_attempts),
)
