"""Clients' requests and readiness checks of an entry instance."""

from camphorhook_daemon.adapters import handover
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import intake
from camphorhook_daemon.platform import protocol

BEARER = "bearer "
READY_TARGET = "/-/ready"


def read_arrival(exchange):
    """Return the intake.Arrival of a client's exchanges.Exchange."""
    get = exchange.get_header
    return intake.Arrival(
        get(protocol.REQUEST_ID),
        exchange.method,
        exchange.target,
        get("host"),
        protocol.pick_request_headers(exchange.headers),
        exchange.body,
        _read_key(exchange),
        protocol.read_seconds(get(protocol.DEADLINE_MS)),
        handover.read_parts(get(protocol.PROMPT_PREFIX)),
        get(protocol.LAST_EVENT_ID),
        get(protocol.RESUMES),
        exchange.received_at,
        protocol.read_hint(get(protocol.LENGTH_HINT), get(protocol.USAGE)),
    )


def _read_key(exchange):
    text = exchange.get_header("authorization")
    if text[: len(BEARER)].lower() != BEARER:
        return ""
    return text[len(BEARER) :].strip(" \t")


def make_progress(exchange):
    """Return the attempts.Progress of a new request."""
    return attempts.Progress(exchange.get_header(protocol.LAST_EVENT_ID))


def make_reply(exchange, progress):
    """Return the reply to the client: the exchange itself."""
    return exchange


def list_refusal_headers(request, failure):
    """Return the headers that tell a client which request is refused.

    Args:
        request: id of the request, perhaps empty.
        failure: the attempts.Failure.
    """
    return [(protocol.REQUEST_ID, request)] if request else []


class ReadinessApp:
    """Answers readiness checks with 200 if clients may connect, else 503."""

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(self, exchange):
        """Answer one request."""
        known = exchange.target.partition("?")[0] == READY_TARGET
        status = 404
        if known:
            status = 200 if self._is_ready() else 503
        await exchange.send_answer(status, [], b"")
