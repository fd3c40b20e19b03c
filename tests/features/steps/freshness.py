"""Step definitions for answers that depend on the age of a document."""

import types

import behave
import trio

from camphorhook_daemon.domain.routing import rules as rules_module
from camphorhook_daemon.platform import documents
from camphorhook_daemon.platform import entry
from tests.harness import platforms

REQUESTS = {
    "a known key": ("/safe/a", "key-1"),
    "an unknown key": ("/safe/a", "nobody"),
    "an unknown path": ("/nowhere/", "key-1"),
    "no key, as it may": ("/open/a", ""),
}


class Exchange:
    """A client's request, and the answer to it."""

    def __init__(self, target, key):
        self.method, self.target, self.body = "GET", target, b""
        self.headers = [("host", "h.example"), ("x-request-id", "one")]
        if key:
            self.headers.append(("authorization", f"Bearer {key}"))
        self.received_at = 0.0
        self.status = None

    def get_header(self, name):
        """Return a header's value, or ""."""
        return dict(self.headers).get(name, "")

    async def send_answer(self, status, _headers, _body):
        """Note the status."""
        self.status = status


class Forwarder:
    """Notes that a request was passed on."""

    async def forward(self, request, exchange):
        """Answer nothing."""
        exchange.status = "forwarded"


@behave.given(
    "a document that was confirmed as the newest {age:g} seconds ago"
)
def confirm_document(context, age):
    configuration = types.SimpleNamespace(
        measure_confirmed_age=lambda: age,
        list_rows=lambda table: {},
        get_document=lambda: (1, platforms.make_document(1)),
        index=1,
    )
    settings = types.SimpleNamespace(key_seconds=4.0, apply_seconds=1.8)
    context.rules = rules_module.Rules(settings, configuration, documents.read)
    context.rules._apply_changes()


@behave.when("a client sends a request with {what}")
def send_request(context, what):
    counts = types.SimpleNamespace(add=lambda *a, **k: None)
    app = entry.EntryApp(Forwarder(), context.rules, counts)
    context.exchange = Exchange(*REQUESTS[what])
    trio.run(app.handle, context.exchange)


@behave.then("its answer is {status}")
def check_status(context, status):
    assert str(context.exchange.status) == status, context.exchange.status
