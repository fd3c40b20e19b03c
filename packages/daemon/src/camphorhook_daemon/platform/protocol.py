"""The platform's HTTP headers, of clients and of upstreams."""

import math

import msgspec

from camphorhook_common import jsontext
from camphorhook_common import log_limits
from camphorhook_common import logs
from camphorhook_common import numerals
from camphorhook_daemon.adapters import header_codec
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import costs

REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
PROMPT_PREFIX = "x-prompt-prefix"
LENGTH_HINT = "x-length-hint"  # client's estimate of the output tokens
USAGE = "x-token-usage"  # prompt tokens and most output tokens
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"  # id of the request that brought a stream's first event
TENANT = "x-tenant"
EXPECT_INSTANCE = "x-expect-instance"
SERVER_LOAD = "x-server-load"
# The engine copies from that address before it runs the request.
COPY_FROM = "kv-fetch"
# Also sent when the upstream read the request and then rejected it.
NOT_EXECUTED = "x-not-executed"
SERVER_LEAVING = "server-leaving"
SERVER_LIMIT = "server-limit"
# How many requests it may turn away within a second before it falls over.
SERVER_BRITTLE = "server-brittle"
RETRY_AFTER = "retry-after"
MAX_PAUSE_SECONDS = 3600.0  # a longer one is taken for an error
MAX_REQUESTS_PER_SECOND = 1e6  # a higher limit is taken for an error
REQUEST_PRIORITY = "x-request-priority"
MAX_PRIORITY = 9  # 0 is the most urgent
SECONDS_PER_MS = 0.001
LOAD_VALUES = 3  # running and waiting requests, and slots
USUAL_WORK_PERCENT = 100.0
# Range of the time that work takes, in percent of the usual. Slow periods
# take 250; a value outside is taken for an error, as an upstream that seems
# a hundred times as fast would get all requests.
MIN_WORK_PERCENT = 10.0
MAX_WORK_PERCENT = 10_000.0
# Despite its name, it lists an engine's cached parts, not keys and values.
HELD_PARTS_PATH = "/-/kv-list"
# Unlike a health check, it waits for no place at a busy engine.
REPORT_PATH = "/-/report"

# Headers that only this system sets; those of clients are dropped.
_RESERVED_HEADERS = frozenset(
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


# Each answer of an upstream carries the header.
_load_log = log_limits.LimitedLog()


def pick_request_headers(headers):
    """Return the client's headers to pass on to an upstream."""
    dropped = _RESERVED_HEADERS | header_codec.list_hop_by_hop(headers)
    return [pair for pair in headers if pair[0] not in dropped]


def read_seconds(text):
    """Return seconds for a header in milliseconds; None if not above 0."""
    try:
        seconds = float(text) * SECONDS_PER_MS
    except ValueError:
        return None
    return seconds if seconds > 0 else None


def read_hint(length, usage):
    """Return the costs.Hint of a client's headers, invalid values left out.

    Args:
        length: text of LENGTH_HINT, perhaps empty.
        usage: text of USAGE, perhaps empty.
    """
    output = numerals.parse_number(length, costs.MAX_TOKENS)
    words = usage.split(",")
    most = None
    if len(words) == 2:
        most = numerals.parse_number(words[1], costs.MAX_TOKENS)
    return costs.Hint(
        output if output and output >= 1 else None,
        most if most and most >= 1 else math.inf,
    )


def make_headers(request, target, left, resume_after, source=None):
    """Return the headers of a forwarded request.

    Args:
        request: the attempts.Request.
        target: the upstream's wire.Registration.
        left: seconds until the client gives up.
        resume_after: id of the last event passed on to the client; empty
            if there is none.
        source: wire.Registration of the engine from whose cache the target
            copies the prompt, or None.
    """
    headers = [
        *request.headers,
        (DEADLINE_MS, str(max(1, int(left / SECONDS_PER_MS)))),
        (EXPECT_INSTANCE, target.name),
    ]
    if request.account_header:
        headers.append((TENANT, request.account_header))
    if request.route.is_sticky:
        priority = max(0, min(MAX_PRIORITY, request.priority))
        headers.append((REQUEST_PRIORITY, str(priority)))
    if source is not None:
        headers.append((COPY_FROM, f"{source.address}:{source.port}"))
    if resume_after:
        headers.append((LAST_EVENT_ID, resume_after))
    return headers


def read_head_info(head):
    """Return the attempts.HeadInfo of a connection_pool.Head."""
    load, slowdown = _read_load(head)
    is_wrong_upstream = head.status == 421
    has_run = not is_wrong_upstream and not head.get(NOT_EXECUTED)
    pause = 0.0
    if head.status == 503:
        pause = _read_number(head, RETRY_AFTER, MAX_PAUSE_SECONDS) or 0.0
    limit = math.inf
    if head.get(SERVER_LIMIT):
        limit = _read_number(head, SERVER_LIMIT, MAX_REQUESTS_PER_SECOND)
    return attempts.HeadInfo(
        has_run,
        is_wrong_upstream,
        load,
        _read_number(head, SERVER_LEAVING, 1) == 1,
        pause,
        limit,
        bool(head.get(SERVER_BRITTLE)),
        slowdown,
    )


def _read_load(head):
    """Return (running, waiting) and the slowdown; None for what is invalid.

    The load is invalid as a whole if one of its values is. The slowdown, the
    fourth value, may be missing, and either of both is used alone.
    """
    text = head.get(SERVER_LOAD)
    if not text:
        return None, None
    words = text.split(",")
    load, slowdown = None, None
    is_valid = len(words) in (LOAD_VALUES, LOAD_VALUES + 1)
    if is_valid:
        numbers = [
            numerals.parse_unsigned(word) for word in words[:LOAD_VALUES]
        ]
        is_valid = None not in numbers
        if is_valid:
            load = (numbers[0], numbers[1])
        if len(words) > LOAD_VALUES:
            percent = numerals.parse_number(words[-1], MAX_WORK_PERCENT)
            if percent is not None and percent >= MIN_WORK_PERCENT:
                slowdown = percent / USUAL_WORK_PERCENT
            else:
                is_valid = False
    if not is_valid:
        _load_log.log(
            "warning",
            f"ignored values of the header {SERVER_LOAD}: {text[:80]!r}",
            step="read answer",
        )
    return load, slowdown


def _read_number(head, name, most):
    """Return a header's number from 0 to `most`; None if it is invalid."""
    text = head.get(name, "0")
    number = numerals.parse_number(text, most)
    if number is None:
        logs.log(
            "warning",
            f"ignored the header {name}: {text[:80]!r}",
            step="read answer",
        )
    return number


class _HeldParts(msgspec.Struct):
    # Each entry is (empty, part, tokens, model).
    held: list[tuple[str, str, int, str]]


def read_held_parts(body):
    """Return (part, tokens) pairs of an engine's list; none if invalid."""
    try:
        found = jsontext.decode(body, _HeldParts)
    except jsontext.DecodeError as error:
        logs.log("warning", f"bad list of parts: {error}", step="take stock")
        return []
    return [(part, tokens) for _, part, tokens, _ in found.held]


def pick_response_headers(head):
    """Return the headers of an upstream's answer to pass on to the client."""
    dropped = {SERVER_LOAD} | header_codec.list_hop_by_hop(head.headers)
    return [pair for pair in head.headers if pair[0] not in dropped]
