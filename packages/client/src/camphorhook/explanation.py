"""Explanation of how a request ended, from the log files of all processes.

An explanation consists of the request's own log lines and of related lines:
those that show the state of upstreams and replicas as the instances that
handled the request saw it. Lines of one process keep their order; those of
different processes are merged by their wall clocks.
"""

import datetime
import heapq
import json
import typing

from camphorhook_common import errors

# Before the request's first line; longer than an instance relies on state
# without an update.
BELIEF_SECONDS = 12.0
# After the request's last line; replicas log a change of an upstream up to
# this much later.
REPORT_SECONDS = 3.0
LONG_TOKENS = 3000  # prefilling a part of this length takes 50 ms
PAUSE_MS = 400  # longest usual wait for an event or for the client
NEVER_MS = 10**9  # logged as the age of a document never confirmed
CONTACT = ("lost a replica", "watches a replica", "document ")
HEALTH = ("attempt failed", "the upstream answered 5", "upstream is ")


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


class Story(typing.NamedTuple):
    """The explanation of how a request ended.

    Attributes:
        lines: the request's own log lines.
        beliefs: related lines, on upstreams, replicas and other requests.
        cause: one or two sentences on why the request ended as it did.
    """

    lines: list[Line]
    beliefs: list[Line]
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
            return [line for text in file for line in _parse(text)]
    except OSError as error:
        raise errors.StorageError(
            error.strerror, step="read log", peer=str(path)
        ) from error


def _parse(text):
    """Return a list of the Line in a text; an empty list if it holds none."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
        if not isinstance(fields, dict) or "time" not in fields:
            return []
        moment = datetime.datetime.fromisoformat(fields["time"])
    except ValueError:
        return []
    return [
        Line(
            moment.timestamp(),
            fields.get("instance", ""),
            fields.get("message", ""),
            fields.get("request", ""),
            fields.get("peer", ""),
            fields.get("inputs", {}),
        )
    ]


def tell(request, files):
    """Return the Story of a request.

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
    beliefs = [line for line in merged if _is_belief(line, lines)]
    return Story(lines, beliefs, _find_cause(lines, beliefs))


def _is_belief(line, lines):
    """Return whether a line that is not the request's may explain its end."""
    begin, end = lines[0].at, lines[-1].at
    instances = {one.instance for one in lines}
    peers = {one.peer for one in lines if one.peer}
    if line in lines or not begin - BELIEF_SECONDS <= line.at:
        return False
    if line.message.startswith("upstream is "):
        return line.peer in peers and line.at <= end + REPORT_SECONDS
    if line.at > end or line.instance not in instances:
        return _is_beside(line, peers, begin, end)
    if line.message.startswith(CONTACT):
        return True
    if line.message.startswith(HEALTH):
        return line.peer in peers
    return _is_beside(line, peers, begin, end)


def _is_beside(line, peers, begin, end):
    """Return whether a line is of a request with a long prefill.

    Only lines between `begin` and `end` on an upstream of `peers` count.
    """
    if line.message != "sent to an upstream" or line.peer not in peers:
        return False
    if not begin <= line.at <= end or line.inputs.get("held"):
        return False
    tokens = (line.inputs.get("part") or ["", 0])[1]
    return tokens >= LONG_TOKENS


# --- causes --------------------------------------------------------------


def _find_cause(lines, beliefs):
    """Return one or two sentences on why the request ended as it did."""
    last = lines[-1]
    for start, explain in _CAUSES:
        if last.message.startswith(start):
            return explain(last, lines, beliefs)
    return "No line in these files shows how the request ended."


def _explain_old(last, _lines, beliefs):
    lost = [one.peer for one in beliefs if one.message.startswith("lost a")]
    names = ", ".join(dict.fromkeys(lost)) or "none in these files"
    age = last.inputs.get("age_ms", NEVER_MS)
    since = f"for {age} ms" if age < NEVER_MS else "since it started"
    return (
        f"{last.instance} had no confirmation of its document {since}, so "
        f"it must not accept client keys. Replicas lost before: {names}."
    )


def _explain_unknown(last, _lines, _beliefs):
    version = last.inputs.get("version", "unknown")
    return (
        f"The key or route is not in document {version}, which "
        f"{last.instance} had in force and which was confirmed "
        f"{last.inputs.get('age_ms', 'unknown')} ms before."
    )


def _explain_attempts(last, lines, beliefs):
    failed = [
        f"{one.peer}: {one.message.partition(': ')[2] or one.message}"
        for one in lines
        if one.peer and one.message.startswith(HEALTH)
    ]
    gone = [
        f"{one.peer} {one.message.removeprefix('upstream ')}"
        for one in beliefs
        if one.message.startswith("upstream is ")
        and not one.message.endswith("live")
    ]
    text = f"Failed attempts: {'; '.join(failed) or 'none'}."
    if gone:
        text += f" Replicas reported: {', '.join(dict.fromkeys(gone))}."
    if last.message.startswith("answered 502"):
        text += " It may have run, so it was not sent again."
    return text


def _explain_busy(last, _lines, beliefs):
    silent = [
        one.peer
        for one in beliefs
        if one.message in ("upstream is silent", "upstream is leaving")
    ]
    text = f"{last.instance} found no available upstream: {last.message}."
    if silent:
        text += f" Gone shortly before: {', '.join(dict.fromkeys(silent))}."
    return text


def _explain_stream(last, lines, beliefs):
    first = last.inputs.get("first_ms", 0)
    pause = last.inputs.get("pause_ms", 0)
    sent = [one for one in lines if one.message == "sent to an upstream"]
    text = f"First event after {first} ms, longest pause {pause} ms"
    if last.inputs.get("send_ms", 0) > PAUSE_MS:
        return text + "; the client read the events slowly."
    beside = [one for one in beliefs if one.inputs.get("part")]
    if beside and max(first, pause) > PAUSE_MS:
        tokens = max(one.inputs["part"][1] for one in beside)
        return text + f"; {last.peer} prefilled {tokens} tokens meanwhile."
    if len(sent) > 1:
        return text + f"; the request was sent {len(sent)} times."
    load = sent[-1].inputs.get("load") if sent else None
    return (
        text
        + f"; the load of {last.peer} was {load} requests when it was sent."
    )


_CAUSES = (
    ("answered 503: the configuration may be old", _explain_old),
    ("answered 503: the key's account", _explain_old),
    ("answered 503: no configuration", _explain_old),
    ("answered 401", _explain_unknown),
    ("answered 404", _explain_unknown),
    ("answered 503: every upstream of", _explain_busy),
    ("answered 503: service", _explain_busy),
    ("answered 5", _explain_attempts),
    ("stream broken off", _explain_attempts),
    ("stream ended", _explain_stream),
    ("answered", _explain_attempts),
)
