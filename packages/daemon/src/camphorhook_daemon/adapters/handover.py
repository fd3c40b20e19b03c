"""Requests that one instance hands over to another, over HTTP.

They have the headers to pass on to the upstream, and those below, which
`handover_headers` keeps apart. The port is not open to clients.
"""

import math

from camphorhook_common import numerals
from camphorhook_daemon.adapters import handover_headers
from camphorhook_daemon.adapters import header_codec
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import gateways
from camphorhook_daemon.domain.routing import intake

PREFIX = handover_headers.PREFIX
REQUEST = PREFIX + "request"  # the first own header of a request
KEY = PREFIX + "key"
DEADLINE_MS = PREFIX + "deadline-ms"
PARTS = PREFIX + "parts"  # ID:TOKENS entries, separated by commas
AFTER = PREFIX + "after"  # id of the last event that the client has
SENDS = PREFIX + "sends"
RUNS = PREFIX + "runs"
SERVICE = PREFIX + "service"
EXCLUDED = PREFIX + "excluded"  # names, as `_encode_item` writes them
# The client's estimate of the output tokens, and the most it accepts.
OUTPUT = PREFIX + "output"
MOST_OUTPUT = PREFIX + "most-output"
# Of a request: the version that began its stream. Of an answer: the version
# of the upstream that sent it.
VERSION = PREFIX + "version"
# The answer is the instance's own, and no upstream's.
REFUSAL = PREFIX + "refusal"
_CUT_OFF = "cut off"  # the instance reaches no upstream and sent nothing
_OTHER = "other"
# Of a refusal by the listener, before the request is read completely.
REFUSAL_HEADERS = ((REFUSAL, _OTHER),)
RETRY_AFTER = "retry-after"
MAX_REASON_CHARACTERS = 200  # names of headers come from clients
MAX_WAIT_SECONDS = 3600.0  # a longer one is taken for an error
SECONDS_PER_MS = 0.001


def make_headers(request, left, resume_after, handover):
    """Return the headers of a request that is handed over.

    Args:
        request: the attempts.Request.
        left: seconds until the client gives up.
        resume_after: id of the last event passed on to the client, or empty.
        handover: the attempts.Handover.
    """
    parts = ",".join(f"{part}:{tokens}" for part, tokens in request.parts)
    own = [
        (REQUEST, request.request),
        (KEY, request.key),
        (DEADLINE_MS, str(max(1, int(left / SECONDS_PER_MS)))),
        (PARTS, parts),
        (AFTER, resume_after),
        (SENDS, str(handover.sends)),
        (RUNS, str(handover.runs)),
        (SERVICE, header_codec.encode_text(handover.service)),
        (EXCLUDED, ",".join(map(_encode_item, handover.excluded))),
    ]
    if request.hint.output is not None:
        own.append((OUTPUT, f"{request.hint.output:.0f}"))
    if request.hint.most_output < math.inf:
        own.append((MOST_OUTPUT, f"{request.hint.most_output:.0f}"))
    if handover.version is not None:
        own.append((VERSION, handover.version))
    return handover_headers.join(request.headers, own)


def _encode_item(text):
    """Return an item of a list whose items are separated by commas."""
    return text.replace("%", "%25").replace(",", "%2C")


def _decode_item(item):
    """Return the text of an item; see `_encode_item`."""
    return item.replace("%2C", ",").replace("%25", "%")


def read_outcome(head):
    """Return the gateways.Outcome of a connection_pool.Head.

    An instance of an older build passes on an upstream's headers unchanged
    and adds the version. So a refusal beside a version, like any header that
    occurs twice, may be the upstream's.
    """
    _, own = handover_headers.split(head.headers)
    try:
        values = handover_headers.index(own)
    except handover_headers.AmbiguousError:
        return gateways.UNCLEAR
    if REFUSAL in values and VERSION in values:
        return gateways.UNCLEAR
    refusal = values.get(REFUSAL)
    wait = numerals.parse_number(head.get(RETRY_AFTER, "0"), MAX_WAIT_SECONDS)
    return gateways.Outcome(
        bool(refusal),
        refusal == _CUT_OFF,
        values.get(VERSION, ""),
        wait or 0.0,
    )


def pick_response_headers(head):
    """Return the headers of an answer to pass on to the client."""
    external, _ = handover_headers.split(head.headers)
    dropped = header_codec.list_hop_by_hop(external)
    return [pair for pair in external if pair[0] not in dropped]


def read_arrival(exchange):
    """Return the intake.Arrival of an exchanges.Exchange.

    Raises:
        intake.Unreadable: an instance of an older build passes on headers
            that can't be told from its own.
    """
    external, own = _read_headers(exchange)
    dropped = header_codec.list_hop_by_hop(external)
    deadline_ms = numerals.parse_unsigned(own.get(DEADLINE_MS, "")) or 1
    return intake.Arrival(
        own.get(REQUEST, ""),
        exchange.method,
        exchange.target,
        exchange.get_header("host"),
        [pair for pair in external if pair[0] not in dropped],
        exchange.body,
        own.get(KEY, ""),
        deadline_ms * SECONDS_PER_MS,
        read_parts(own.get(PARTS, "")),
        own.get(AFTER, ""),
        "",
        exchange.received_at,
        costs.Hint(
            numerals.parse_number(own.get(OUTPUT, ""), costs.MAX_TOKENS)
            or None,
            numerals.parse_number(own.get(MOST_OUTPUT, ""), costs.MAX_TOKENS)
            or math.inf,
        ),
    )


def _read_headers(exchange):
    """Return the external headers of a request, and the own ones by name.

    Raises:
        intake.Unreadable: the own ones can't be told from others.
    """
    external, own = handover_headers.split(exchange.headers)
    try:
        values = handover_headers.index(own)
    except handover_headers.AmbiguousError as error:
        text = str(error)[:MAX_REASON_CHARACTERS]
        raise intake.Unreadable(text) from error
    if next(iter(values), None) != REQUEST or REFUSAL in values:
        text = f"headers are out of place: {', '.join(values) or 'none'}"
        raise intake.Unreadable(text[:MAX_REASON_CHARACTERS])
    return external, values


def read_parts(text):
    """Return (id, tokens) pairs of ID:TOKENS entries.

    Malformed entries and those of more than costs.MAX_TOKENS are left out.

    Args:
        text: the entries, separated by commas.
    """
    parts = []
    for entry in text.split(","):
        part, _, text = entry.strip().partition(":")
        tokens = numerals.parse_unsigned(text)
        if part and tokens is not None and tokens <= costs.MAX_TOKENS:
            parts.append((part, tokens))
    return tuple(parts)


def make_progress(exchange):
    """Return the attempts.Progress of a request that is handed over."""
    _, own = _read_headers(exchange)
    handover = attempts.Handover(
        numerals.parse_unsigned(own.get(SENDS, "")) or 0,
        numerals.parse_unsigned(own.get(RUNS, "")) or 0,
        header_codec.decode_text(own.get(SERVICE, "")),
        own.get(VERSION),
        tuple(
            _decode_item(item)
            for item in own.get(EXCLUDED, "").split(",")
            if item
        ),
    )
    return attempts.Progress(own.get(AFTER, ""), handover)


def list_refusal_headers(request, failure):
    """Return the headers of the instance's own answer.

    Args:
        request: id of the request.
        failure: the attempts.Failure.
    """
    return [(REFUSAL, _CUT_OFF if failure.is_cut_off else _OTHER)]


def make_reply(exchange, progress):
    """Return a reply that says which version wrote the answer."""
    return _Reply(exchange, progress)


class _Reply:
    """Sends the answer of an upstream, and its software version."""

    def __init__(self, exchange, progress):
        self._exchange = exchange
        self._progress = progress
        self.send_chunk = exchange.send_chunk
        self.finish = exchange.finish

    def _add_version(self, headers):
        own = [(VERSION, self._progress.upstream.version)]
        return handover_headers.join(headers, own)

    async def start(self, status, headers, length=None):
        """Send the answer's head."""
        headers = self._add_version(headers)
        await self._exchange.start(status, headers, length)

    async def send_answer(self, status, headers, body):
        """Send a complete answer."""
        headers = self._add_version(headers)
        await self._exchange.send_answer(status, headers, body)
