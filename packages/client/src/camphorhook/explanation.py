"""Explains a request from the log files of many processes.

A story is the request's own lines and those that tell what the instances
concerned believed of the upstreams and replicas involved. Lines of one
process keep their order; processes are merged by their wall clocks.
"""

import datetime
import heapq
import json
import typing

from camphorhook_common import errors

BELIEF_SECONDS = 12.0  # before a line; above what is believed without word
REPORT_SECONDS = 3.0  # around a line; replicas hear of upstreams so late
LONG_TOKENS = 3000  # of a prompt that takes an engine 50 ms to read
PAUSE_MS = 400  # between events of a stream that was not held up
NEVER_MS = 10**9  # age of a document that was never confirmed
CONTACT = ("lost a replica", "watches a replica", "document ")
HEALTH = ("attempt failed", "the upstream answered 5", "upstream is ")


class Line(typing.NamedTuple):
    """A line of a log.

    Attributes:
        at: Unix seconds.
        instance: who wrote it.
        message: what happened.
        request: id of the request, or empty.
        peer: upstream or instance concerned, or empty.
        inputs: what decided it.
    """

    at: float
    instance: str
    message: str
    request: str
    peer: str
    inputs: dict


class Story(typing.NamedTuple):
    """A request's lines, the beliefs behind them, and the cause."""

    lines: list[Line]
    beliefs: list[Line]
    cause: str


def load(path):
    """Return the Lines of a log file; what is no JSON line is passed over.

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
    """Return the Line that a text holds, as a list; or an empty list."""
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
        request: its id.
        files: lists of Lines, one of each process.

    Raises:
        errors.StorageError: no line is about the request.
    """
    merged = list(heapq.merge(*files, key=lambda line: line.at))
    lines = [line for line in merged if line.request == request]
    if not lines:
        raise errors.StorageError(
            "no line is about it; pass the log files of all processes",
            step="explain",
            peer=request,
        )
    beliefs = [line for line in merged if _is_belief(line, lines)]
    return Story(lines, beliefs, _find_cause(lines, beliefs))


def _is_belief(line, lines):
    """Tell whether a line shaped what happened to the request."""
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
    """Tell whether a line is a long prompt read beside the request."""
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
    return "Its end is in none of these files."


def _explain_old(last, _lines, beliefs):
    lost = [one.peer for one in beliefs if one.message.startswith("lost a")]
    names = ", ".join(dict.fromkeys(lost)) or "none in these files"
    age = last.inputs.get("age_ms", NEVER_MS)
    since = f"for {age} ms" if age < NEVER_MS else "since it started"
    return (
        f"{last.instance} had no confirmation of its document {since}, so "
        "no client's key may be used there. Replicas that it lost before: "
        f"{names}."
    )


def _explain_unknown(last, _lines, _beliefs):
    version = last.inputs.get("version", "unknown")
    return (
        f"It is not in document {version}, which {last.instance} held, "
        f"confirmed {last.inputs.get('age_ms', 'unknown')} ms before."
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
    text = f"Attempts failed at {'; '.join(failed) or 'no upstream'}."
    if gone:
        text += f" Replicas report that {', '.join(dict.fromkeys(gone))}."
    if last.message.startswith("answered 502"):
        text += " It may have run, so it was not sent again."
    return text


def _explain_busy(last, _lines, beliefs):
    silent = [
        one.peer
        for one in beliefs
        if one.message in ("upstream is silent", "upstream is leaving")
    ]
    text = f"{last.instance} found no upstream: {last.message}."
    if silent:
        text += f" Gone shortly before: {', '.join(dict.fromkeys(silent))}."
    return text


def _explain_stream(last, lines, beliefs):
    first = last.inputs.get("first_ms", 0)
    pause = last.inputs.get("pause_ms", 0)
    sent = [one for one in lines if one.message == "sent to an upstream"]
    text = f"First event after {first} ms, longest pause {pause} ms"
    if last.inputs.get("send_ms", 0) > PAUSE_MS:
        return text + "; its client took its events slowly."
    beside = [one for one in beliefs if one.inputs.get("part")]
    if beside and max(first, pause) > PAUSE_MS:
        tokens = max(one.inputs["part"][1] for one in beside)
        return text + f"; {last.peer} read {tokens} tokens beside it."
    if len(sent) > 1:
        return text + f"; it was sent {len(sent)} times."
    load = sent[-1].inputs.get("load") if sent else None
    return text + f"; {last.peer} held {load} requests when it came."


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
