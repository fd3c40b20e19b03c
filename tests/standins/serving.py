"""ASGI helpers for stand-ins that serve HTTP."""

import signal

import hypercorn.config
import hypercorn.trio
import msgspec
import trio


async def read_body(receive):
    """Return a request's body, or None if the client disconnected."""
    body = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def send_head(send, status, content_type, more=()):
    """Send the status, the Content-Type header and more headers."""
    headers = [("content-type", content_type), *more]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (name.encode(), value.encode()) for name, value in headers
            ],
        }
    )


async def send_json(send, status, value, more=()):
    """Send a complete answer with a value as JSON, and more headers."""
    await send_head(send, status, "application/json", more)
    body = msgspec.json.encode(value)
    await send({"type": "http.response.body", "body": body})


async def send_chunk(send, body, more):
    """Send a chunk of a body; `more` tells whether another one follows."""
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def serve(app, port, tasks, leave):
    """Serve an ASGI application and run background tasks until SIGTERM.

    Args:
        app: ASGI application.
        port: TCP port on the loopback address.
        tasks: async functions to run concurrently.
        leave: async function to await on SIGTERM before the server stops.
    """
    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.backlog = 512
    config.errorlog = None
    config.graceful_timeout = 30.0
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(_serve_app, app, config, stopped)
        for task in tasks:
            nursery.start_soon(task)
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                break
        await leave()
        stopped.set()
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def _serve_app(app, config, stopped, task_status):
    async def serve_scope(scope, receive, send):
        if scope["type"] != "lifespan":
            await app(scope, receive, send)
            return
        for _ in range(2):
            message = await receive()
            await send({"type": message["type"] + ".complete"})

    await hypercorn.trio.serve(
        serve_scope,
        config,
        shutdown_trigger=stopped.wait,
        task_status=task_status,
        mode="asgi",
    )
