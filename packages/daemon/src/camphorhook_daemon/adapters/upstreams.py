"""Requests to upstreams over HTTP/1.1, made with httpcore."""

import contextlib
import re
import ssl

import httpcore

from camphorhook_daemon.adapters import checked_network
from camphorhook_daemon.adapters import header_codec
from camphorhook_daemon.adapters import targets
from camphorhook_daemon.domain import answer_memory
from camphorhook_daemon.domain.routing import events
from camphorhook_daemon.ports import upstreams as ports

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_KEEPALIVE_CONNECTIONS = 200
KEEPALIVE_SECONDS = 20.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # of one answer, and of all together
FREE_ANSWER_BYTES = 256 * 1024  # above an ordinary answer
CHUNK_OVERHEAD_BYTES = 64  # of the object that holds a chunk of a body
REMOVED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_LINE_END = re.compile(r"\r\n|\r|\n")
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_TIMEOUT_ERRORS = (httpcore.ReadTimeout, httpcore.WriteTimeout)
_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)


class HttpUpstreamClient:
    """Sends requests to upstreams; implements ports.UpstreamClient."""

    def __init__(self, certificate_authority=None):
        """Create a client without connections.

        Args:
            certificate_authority: PEM file of the authority that signs the
                upstreams' certificates; None for plain HTTP.
        """
        self._scheme = "http"
        self._memory = answer_memory.AnswerMemory(
            MAX_ANSWER_BYTES, FREE_ANSWER_BYTES
        )
        context = None
        if certificate_authority is not None:
            self._scheme = "https"
            context = ssl.create_default_context(
                cafile=str(certificate_authority)
            )
        backend = checked_network.CheckedBackend()
        self._keepalive_pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=None,
            max_keepalive_connections=MAX_KEEPALIVE_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_SECONDS,
            network_backend=backend,
        )
        self._single_use_pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=None,
            max_keepalive_connections=0,
            network_backend=backend,
        )

    def _make_request(self, record, call):
        host = f"{record.address}:{record.port}"
        # ASGI gives paths with their percent-encoding removed.
        url = f"{self._scheme}://{host}{targets.encode_path(call.path)}"
        headers = [("host", host), *call.headers]
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("content-length", str(len(call.body))))
        timeout = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "pool": CONNECT_TIMEOUT_SECONDS,
            "read": call.read_timeout_seconds,
            "write": call.read_timeout_seconds,
        }
        return httpcore.Request(
            call.method,
            url,
            headers=header_codec.encode_headers(headers),
            content=call.body,
            extensions={"timeout": timeout},
        )

    @contextlib.asynccontextmanager
    async def _open(self, record, call):
        """Send a request and open its response.

        Raises:
            ports.AttemptError: no response head was received.
        """
        pool = (
            self._single_use_pool
            if call.uses_new_connection
            else self._keepalive_pool
        )
        request = self._make_request(record, call)
        with _convert_errors(record):
            response = await pool.handle_async_request(request)
        try:
            yield response
        finally:
            await response.aclose()

    async def fetch(self, record, call):
        """Return the upstream's complete answer.

        Args:
            record: the upstream's record, with name, address and port.
            call: the ports.Call.

        Raises:
            ports.AttemptError: the upstream did not answer completely;
                `sent` says whether it may have received the request.
        """
        async with self._open(record, call) as response:
            with _convert_errors(record):
                body = await self._read_body(response, record)
        headers = _read_headers(response)
        content_type = dict(headers).get("content-type", "")
        return ports.Answer(response.status, content_type, headers, body)

    @contextlib.asynccontextmanager
    async def stream(self, record, call):
        """Open an answer that is a stream of server-sent events.

        See ports.UpstreamClient.stream.
        """
        async with self._open(record, call) as response:
            if response.status != 200:
                with _convert_errors(record):
                    body = await self._read_body(response, record)
                yield response.status, body, None
            else:
                yield 200, b"", _read_events(response, record)

    async def _read_body(self, response, record):
        """Return the whole body of a response.

        Raises:
            ports.AttemptError: there is no memory for it.
        """
        chunks = []
        with contextlib.closing(self._memory.open()) as held:
            async for chunk in response.aiter_stream():
                try:
                    held.add(len(chunk) + CHUNK_OVERHEAD_BYTES)
                except answer_memory.Exhausted as error:
                    raise _make_read_error(str(error), record) from error
                chunks.append(chunk)
            return b"".join(chunks)

    async def close(self):
        """Close all connections to upstreams."""
        await self._keepalive_pool.aclose()
        await self._single_use_pool.aclose()


@contextlib.contextmanager
def _convert_errors(record):
    """Raise errors of httpcore as AttemptError."""
    try:
        yield
    except _CONNECT_ERRORS as error:
        raise ports.AttemptError(
            f"connection failed: {error!r}",
            step="connect",
            peer=record.name,
            sent=False,
        ) from error
    except _TIMEOUT_ERRORS as error:
        raise ports.AttemptError(
            "no answer in time", step="read", peer=record.name, sent=True
        ) from error
    except _CONNECTION_ERRORS as error:
        raise ports.AttemptError(
            f"connection broke during the request: {error!r}",
            step="read",
            peer=record.name,
            sent=True,
            connection_broken=True,
        ) from error


def _read_headers(response):
    headers = [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in response.headers
    ]
    return [pair for pair in headers if pair[0] not in REMOVED_HEADERS]


async def _read_events(response, record):
    """Yield the ports.ServerEvent of each event that has data.

    Raises:
        ports.AttemptError: the connection broke, or an event is too large
            or not valid text.
    """
    rest = b""
    with _convert_errors(record):
        async for chunk in response.aiter_stream():
            whole, rest = events.split_events(rest + chunk, len(rest))
            if len(rest) > events.MAX_EVENT_BYTES:
                raise _make_read_error(
                    f"an event exceeds {events.MAX_EVENT_BYTES} bytes", record
                )
            for block in events.split_blocks(whole):
                try:
                    event = parse_event(block.decode())
                except UnicodeDecodeError as error:
                    raise _make_read_error(
                        f"an event is not valid text: {error}", record
                    ) from error
                if event.data:
                    yield event


def _make_read_error(text, record):
    return ports.AttemptError(text, step="read", peer=record.name, sent=True)


def parse_event(block):
    """Return the ServerEvent of an event's lines.

    Args:
        block: text of one event, without the empty line that ends it.
    """
    event_id = ""
    data = []
    # str.splitlines would also split at separators inside the text.
    for line in _LINE_END.split(block):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id":
            event_id = value
        elif field == "data":
            data.append(value)
    return ports.ServerEvent(event_id, "\n".join(data))
