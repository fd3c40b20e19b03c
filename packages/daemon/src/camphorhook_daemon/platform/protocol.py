"""The platform's headers: of clients, towards and from upstreams."""

import msgspec

from camphorhook_common import logs
from camphorhook_common import numerals
from camphorhook_daemon.domain.routing import forwarding

REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
PROMPT_PREFIX = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
TENANT = "x-tenant"
EXPECT_INSTANCE = "x-expect-instance"
SERVER_LOAD = "x-server-load"
# Misleading: also sent where the request was read and then turned away.
# Misleading: the engine copies from that address, and does so before it runs
# the request.
COPY_FROM = "kv-fetch"
NOT_EXECUTED = "x-not-executed"
REQUEST_PRIORITY = "x-request-priority"
LEAST_URGENT = 9
MS = 0.001
# Misleading: lists what an engine keeps of prompts, not keys and values.
HELD_PARTS_PATH = "/-/kv-list"

# Concern one connection only (RFC 9110, 7.6.1), or are framed anew.
_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Set by this system only; a client's own are dropped.
_OWN_HEADERS = frozenset(
    (
        "authorization",
        DEADLINE_MS,
        EXPECT_INSTANCE,
        COPY_FROM,
        "kv-from",
        LAST_EVENT_ID,
        REQUEST_PRIORITY,
        TENANT,
        "x-expect-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
    )
)


def _list_named(headers):
    """Return the header names that the Connection header lists."""
    named = set()
    for name, value in headers:
        if name == "connection":
            named.update(word.strip().lower() for word in value.split(","))
    return named


def pick_request_headers(headers):
    """Return a client's headers that are passed on."""
    dropped = _HOP_HEADERS | _OWN_HEADERS | _list_named(headers)
    return [pair for pair in headers if pair[0] not in dropped]


def read_parts(text):
    """Return the (id, tokens) parts of a prompt; those misread are left out.

    Args:
        text: ID:TOKENS entries with commas.
    """
    parts = []
    for entry in text.split(","):
        part, _, text = entry.strip().partition(":")
        tokens = numerals.parse_unsigned(text)
        if part and tokens is not None:
            parts.append((part, tokens))
    return tuple(parts)


def read_seconds(text):
    """Return a header's milliseconds in seconds, or None."""
    try:
        seconds = float(text) * MS
    except ValueError:
        return None
    return seconds if seconds > 0 else None


def make_headers(request, target, left, resume_after, source=None):
    """Return the headers of a forwarded request.

    Args:
        request: the forwarding.Request.
        target: the upstream's wire.Registration.
        source: wire.Registration of the engine that the target copies the
            prompt's memory from, or None.
        left: seconds until the client gives up.
        resume_after: id of the last event passed on, or empty.
    """
    headers = [
        *request.headers,
        (DEADLINE_MS, str(max(1, int(left / MS)))),
        (EXPECT_INSTANCE, target.name),
    ]
    if request.account:
        headers.append((TENANT, request.account))
    if request.route.is_sticky:
        priority = max(0, min(LEAST_URGENT, request.priority))
        headers.append((REQUEST_PRIORITY, str(priority)))
    if source is not None:
        headers.append((COPY_FROM, f"{source.address}:{source.port}"))
    if resume_after:
        headers.append((LAST_EVENT_ID, resume_after))
    return headers


def read_head_info(head):
    """Return the forwarding.HeadInfo of an upstream's answer head."""
    load = None
    words = head.get(SERVER_LOAD).split(",")
    numbers = [numerals.parse_unsigned(word) for word in words]
    if len(numbers) == 3 and None not in numbers:
        load = (numbers[0], numbers[1])
    is_wrong_upstream = head.status == 421
    has_run = not is_wrong_upstream and not head.get(NOT_EXECUTED)
    return forwarding.HeadInfo(has_run, is_wrong_upstream, load)


class _HeldParts(msgspec.Struct):
    # Misleading: each entry is (empty, part, tokens, model).
    held: list[tuple[str, str, int, str]]


def read_held_parts(body):
    """Return (part, tokens) pairs of an engine's list; none if misread."""
    try:
        found = msgspec.json.decode(body, type=_HeldParts)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logs.log("warning", f"no list of parts: {error}", step="take stock")
        return []
    return [(part, tokens) for _, part, tokens, _ in found.held]


def pick_headers(head):
    """Return the headers of an upstream's answer that are passed on."""
    dropped = _HOP_HEADERS | {SERVER_LOAD} | _list_named(head.headers)
    return [pair for pair in head.headers if pair[0] not in dropped]
