"""Sends client requests for tests and measurements."""

import json
import typing

import httpcore

CONNECT_TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 60.0


class Reply(typing.NamedTuple):
    """An HTTP answer with header names in lower case."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        """Return the body decoded from JSON."""
        return json.loads(self.body)

    @property
    def disposition(self):
        """The disposition header: whether the request was executed."""
        return self.headers.get("camphorhook-disposition", "")


class StreamedReply(typing.NamedTuple):
    """A streamed answer, as far as it was read.

    Attributes:
        ids: event IDs in order of arrival.
        text: concatenated content of the events.
        is_whole: whether the stream ended with the end marker `[DONE]`.
        error: object of the error event, None if there was none.
        response_id: response ID, by which the stream can be resumed.
    """

    status: int
    headers: dict
    ids: list
    text: str
    is_whole: bool
    error: dict | None
    response_id: str


def _decode_headers(headers):
    return {
        name.decode().lower(): value.decode("latin-1")
        for name, value in headers
    }


def send(method, address, path, *, key="", body=None, headers=None):
    """Send a request on a new connection and return the Reply.

    Args:
        method: HTTP method.
        address: `ADDRESS:PORT`.
        path: path and query.
        key: bearer key; no Authorization header is sent when empty.
        body: bytes, or a value that is sent as JSON.
        headers: additional headers.
    """
    content = body if isinstance(body, bytes) else b""
    if body is not None and not isinstance(body, bytes):
        content = json.dumps(body).encode()
    sent = {"content-length": str(len(content)), **(headers or {})}
    sent.setdefault("content-type", "application/json")
    if key:
        sent["authorization"] = f"Bearer {key}"
    with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
        response = pool.request(
            method,
            f"http://{address}{path}",
            headers=sent,
            content=content,
            extensions=_make_timeout(),
        )
        return Reply(
            response.status,
            _decode_headers(response.headers),
            response.content,
        )


def _make_timeout():
    timeout = {
        "connect": CONNECT_TIMEOUT_SECONDS,
        "read": READ_TIMEOUT_SECONDS,
    }
    return {"timeout": timeout}


def make_chat(text, *, model="stringmind", tokens=24, stream=True):
    """Return the body of a chat request with one user message."""
    message = {"role": "user", "content": text}
    return {
        "model": model,
        "messages": [message],
        "max_tokens": tokens,
        "stream": stream,
    }


def stream_chat(address, key, body, *, headers=None, stop_after=None):
    """Send a chat request and return its stream as a StreamedReply.

    Args:
        address: `ADDRESS:PORT` of an entry instance.
        key: bearer key.
        body: body of the request as a dict.
        headers: additional headers.
        stop_after: number of events after which the connection is closed;
            None reads to the end.
    """
    content = json.dumps(body).encode()
    sent = {"content-type": "application/json", **(headers or {})}
    return _read_stream(
        "POST",
        address,
        "/v1/chat/completions",
        key,
        content,
        sent,
        stop_after,
    )


def resume_stream(address, key, response_id, last_id, *, stop_after=None):
    """Resume a stream on any entry instance and return the StreamedReply.

    Args:
        address: `ADDRESS:PORT` of the entry instance.
        key: bearer key.
        response_id: response ID of the stream.
        last_id: ID of the last event received; empty resumes at the start.
        stop_after: number of events after which the connection is closed;
            None reads to the end.
    """
    path = f"/v1/chat/completions/{response_id}"
    headers = {"last-event-id": last_id} if last_id else {}
    return _read_stream("GET", address, path, key, b"", headers, stop_after)


def _read_stream(method, address, path, key, content, headers, stop_after):
    headers = {
        "authorization": f"Bearer {key}",
        "content-length": str(len(content)),
        **headers,
    }
    with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
        with pool.stream(
            method,
            f"http://{address}{path}",
            headers=headers,
            content=content,
            extensions=_make_timeout(),
        ) as response:
            lowered = _decode_headers(response.headers)
            if response.status != 200:
                body = json.loads(response.read())
                return StreamedReply(
                    response.status, lowered, [], "", False, body, ""
                )
            return _collect_stream(response, lowered, stop_after)


def _collect_stream(response, headers, stop_after):
    ids = []
    text = ""
    is_whole = False
    error = None
    response_id = headers.get("camphorhook-response", "")
    for block in _read_blocks(response):
        fields = dict(
            line.split(": ", 1) for line in block.split("\n") if ": " in line
        )
        data = fields.get("data", "")
        if fields.get("event") == "error":
            error = json.loads(data)
            continue
        ids.append(fields.get("id", ""))
        if data == "[DONE]":
            is_whole = True
        else:
            text += _read_content(json.loads(data))
        if stop_after is not None and len(ids) >= stop_after:
            break
    status = response.status
    return StreamedReply(
        status, headers, ids, text, is_whole, error, response_id
    )


def _read_blocks(response):
    buffer = b""
    for chunk in response.iter_stream():
        buffer += chunk
        while b"\n\n" in buffer:
            block, buffer = buffer.split(b"\n\n", 1)
            yield block.decode()


def _read_content(chunk):
    choices = chunk.get("choices") or []
    if not choices:
        return ""
    return (choices[0].get("delta") or {}).get("content") or ""
