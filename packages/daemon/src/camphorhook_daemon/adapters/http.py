"""Helpers of ASGI applications: reading requests and sending answers."""

import typing

import msgspec
import trio

from camphorhook_common import wire
from camphorhook_daemon.adapters import header_codec

PREFIX = header_codec.OWN_PREFIX
DISPOSITION_HEADER = PREFIX + "disposition"
INSTANCE_HEADER = PREFIX + "instance"
UPSTREAM_HEADER = PREFIX + "upstream"
RESPONSE_HEADER = PREFIX + "response"
ACCOUNT_HEADER = PREFIX + "account"  # of requests to upstreams
REQUEST_ID_HEADER = "x-request-id"
REPLAYED_HEADER = "idempotent-replayed"
# Own headers of answers whose names are in general use.
_SHARED_NAMES = frozenset((REQUEST_ID_HEADER, REPLAYED_HEADER))


class Request(typing.NamedTuple):
    """The head of an HTTP request; names of headers are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]


class BodyError(Exception):
    """The body of a request could not be read.

    Attributes:
        failure: the wire.RequestFailure to answer with; None if the client
            has disconnected.
    """

    def __init__(self, failure):
        super().__init__()
        self.failure = failure


def read_request(scope):
    """Return the Request of an ASGI scope."""
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    query = scope["query_string"].decode("latin-1")
    return Request(scope["method"], scope["path"], query, headers)


async def read_body(receive, limits):
    """Return the complete body of a request.

    Args:
        receive: the ASGI receive function.
        limits: settings.Limits with body_bytes and body_seconds.

    Raises:
        BodyError: the body exceeds a limit, or the client has disconnected.
    """
    chunks = []
    size = 0
    with trio.move_on_after(limits.body_seconds) as scope:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise BodyError(None)
            size += len(message.get("body", b""))
            if size > limits.body_bytes:
                raise BodyError(_describe_large_body(limits))
            chunks.append(message.get("body", b""))
            if not message.get("more_body"):
                break
    if scope.cancelled_caught:
        text = f"the body was not received within {limits.body_seconds:g} s"
        raise BodyError(
            wire.RequestFailure(408, "timeout", text, "not-run", 1.0)
        )
    return b"".join(chunks)


async def cancel_on_disconnect(receive, nursery):
    """Cancel a nursery once the client has closed its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            nursery.cancel_scope.cancel()
            return


def _describe_large_body(limits):
    text = f"the body is larger than {limits.body_bytes} bytes"
    return wire.RequestFailure(413, "body_too_large", text, "not-run")


def pick_upstream_headers(headers):
    """Return the headers of an upstream's answer to pass on to a client.

    Those by which an instance tells the client about the request are left
    out, as only the instance's own may count.

    Args:
        headers: (name, value) pairs; names are in lower case.
    """
    return [
        (name, value)
        for name, value in headers
        if not name.startswith(PREFIX) and name not in _SHARED_NAMES
    ]


async def send_head(send, status, headers):
    """Send the status and the headers of an answer.

    Args:
        send: the ASGI send function.
        status: HTTP status.
        headers: (name, value) pairs of text.
    """
    encoded = [
        (name.encode("latin-1"), value.encode("latin-1", "replace"))
        for name, value in headers
    ]
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": encoded})


async def send_chunk(send, body, more):
    """Send the next part of an answer's body.

    Args:
        send: the ASGI send function.
        body: the bytes; may be empty.
        more: whether another part follows.
    """
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def send_answer(send, status, headers, body):
    """Send a complete answer with its content-length."""
    headers = [*headers, ("content-length", str(len(body)))]
    await send_head(send, status, headers)
    await send_chunk(send, body, False)


async def send_json(send, status, value, headers=()):
    """Send a complete answer whose body is a value as JSON."""
    body = msgspec.json.encode(value)
    headers = [("content-type", "application/json"), *headers]
    await send_answer(send, status, headers, body)


def encode_failure(failure):
    """Return the error object of a wire.RequestFailure.

    It has the format that clients of chat completions expect.
    """
    kind = "invalid_request_error" if failure.status < 500 else "server_error"
    return {
        "error": {
            "message": failure.message,
            "type": kind,
            "param": None,
            "code": failure.code,
            "disposition": failure.disposition,
        }
    }


async def send_failure(send, failure, headers=()):
    """Send a wire.RequestFailure, with its disposition and Retry-After.

    Retry-After is in whole seconds, rounded up, and at least 1.
    """
    extra = [(DISPOSITION_HEADER, failure.disposition)]
    if failure.retry_after:
        seconds = max(1, int(failure.retry_after + 0.999))
        extra.append(("retry-after", str(seconds)))
    if failure.status == 401:
        extra.append(("www-authenticate", "Bearer"))
    await send_json(
        send, failure.status, encode_failure(failure), [*headers, *extra]
    )
