"""HTTP servers for ASGI applications, run by hypercorn."""

import hypercorn.config
import hypercorn.trio

from camphorhook_common import logs

MAX_HEAD_BYTES = 65536
IDLE_TIMEOUT_SECONDS = 5.0
BACKLOG = 512


def make_config(listener, stop_timeout_seconds, certificate=None, key=None):
    """Return the hypercorn Config of a server.

    Args:
        listener: settings.Endpoint to bind.
        stop_timeout_seconds: longest time that requests in flight may take
            after the server was told to stop.
        certificate: PEM file of the TLS certificate; None for plain HTTP.
        key: PEM file of the certificate's private key.
    """
    config = hypercorn.config.Config()
    config.bind = [listener.format()]
    config.graceful_timeout = stop_timeout_seconds
    config.shutdown_timeout = stop_timeout_seconds
    config.keep_alive_timeout = IDLE_TIMEOUT_SECONDS
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.include_server_header = False
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    if certificate is not None:
        config.certfile = str(certificate)
        config.keyfile = str(key)
    return config


async def serve(app, config, stopped, task_status):
    """Serve an ASGI application until `stopped` is set.

    Args:
        app: the ASGI application; it gets HTTP requests only.
        config: what `make_config` returns.
        stopped: trio.Event that begins the server's shutdown.
        task_status: trio's task status, started once the port is open.
    """

    async def serve_scope(scope, receive, send):
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await _serve_request(app, scope, receive, send)

    await hypercorn.trio.serve(
        serve_scope,
        config,
        shutdown_trigger=stopped.wait,
        task_status=task_status,
        mode="asgi",
    )


async def _answer_lifespan(receive, send):
    """Confirm the server's start and stop, as ASGI's lifespan requires."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _serve_request(app, scope, receive, send):
    """Serve one request; log an unexpected exception with its traceback."""
    try:
        await app(scope, receive, send)
    except Exception:
        logs.log(
            "error",
            f"{scope['method']} {scope['path']} raised an exception",
            with_trace=True,
            step="serve",
        )
        raise
