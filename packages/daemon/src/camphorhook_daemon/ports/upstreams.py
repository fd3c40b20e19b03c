"""Port for requests to upstreams."""

import typing

from camphorhook_common import errors


class AttemptError(errors.CamphorhookError):
    """An attempt on an upstream failed.

    Attributes:
        sent: whether any byte of the request may have left.
        broken: the connection broke while the request ran, as it does
            when the upstream crashes.
    """

    def __init__(self, message, *, step, peer, sent, broken=False):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent
        self.broken = broken


class Call(typing.NamedTuple):
    """An HTTP request to an upstream.

    Attributes:
        method: HTTP method.
        path: path and query.
        headers: pairs of name and value.
        body: the whole body.
        silence_seconds: longest wait for the next piece of the answer.
        alone: use a new connection for this request only, so that a kept
            connection that breaks can't leave its fate open.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    silence_seconds: float
    alone: bool = False
    request: str = ""


class Answer(typing.NamedTuple):
    """An upstream's whole answer."""

    status: int
    content_type: str
    headers: list[tuple[str, str]]
    body: bytes


class ServerEvent(typing.NamedTuple):
    """One server-sent event."""

    id: str
    data: str


class UpstreamPort(typing.Protocol):
    """Sends requests to upstreams."""

    async def fetch(self, record, call) -> Answer:
        """Return the whole answer; AttemptError on failure."""

    def stream(self, record, call):
        """Open an answer of server-sent events.

        Returns:
            An async context manager that gives (status, body, events):
            for a status of 200, an async iterator of ServerEvent, and for
            others the body.
        """
