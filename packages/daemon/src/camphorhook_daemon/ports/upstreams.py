"""Port for requests to upstreams."""

import typing

from camphorhook_common import errors


class AttemptError(errors.CamphorhookError):
    """An attempt to send a request to an upstream failed.

    Attributes:
        sent: whether any byte of the request may have been sent.
        connection_broken: whether the connection broke while the request
            ran, as it does when the upstream crashes.
        is_first_use: whether no answer had come on the connection before, or
            none could be opened.
    """

    def __init__(
        self,
        message,
        *,
        step,
        peer,
        sent,
        connection_broken=False,
        is_first_use=False,
    ):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent
        self.connection_broken = connection_broken
        self.is_first_use = is_first_use


class SendWithheld(errors.CamphorhookError):
    """A request was not sent, since it may no longer be sent."""


class RequestUnsendable(errors.CamphorhookError):
    """A request can't be written as HTTP, so that nothing was sent."""


def _find_no_obstacle():
    return ""


class Call(typing.NamedTuple):
    """An HTTP request to an upstream.

    Attributes:
        method: HTTP method.
        path: path and query string.
        headers: (name, value) pairs.
        body: the complete body.
        read_timeout_seconds: longest wait for the next part of the answer.
        uses_new_connection: whether this request gets a connection of
            its own. When a kept-alive connection breaks, it can be unknown
            whether the upstream received the request.
        request_id: id of the client's request, which shows whether an
            answer belongs to it; empty for a request without one, which
            gets a connection of its own.
        find_obstacle: function called just before the first byte is sent;
            it returns why the request may no longer be sent, or "".
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    read_timeout_seconds: float
    uses_new_connection: bool = False
    request_id: str = ""
    find_obstacle: typing.Callable[[], str] = _find_no_obstacle


class Answer(typing.NamedTuple):
    """An upstream's complete answer."""

    status: int
    content_type: str
    headers: list[tuple[str, str]]
    body: bytes


class ServerEvent(typing.NamedTuple):
    """One server-sent event."""

    id: str
    data: str


class UpstreamClient(typing.Protocol):
    """Sends requests to upstreams."""

    async def fetch(self, record, call) -> Answer:
        """Return the upstream's complete answer.

        Raises:
            AttemptError: the upstream did not answer completely.
        """

    def stream(self, record, call):
        """Open an answer that is a stream of server-sent events.

        Returns:
            An async context manager that yields (status, body, events).
            For status 200, `events` is an async iterator of ServerEvent;
            for any other status, `body` is the complete body.
        """
