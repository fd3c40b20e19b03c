"""Step definitions for changes that operators sent long before."""

import types

import behave
import msgspec
import trio

from camphorhook_common import commands
from camphorhook_common import deltas
from camphorhook_common import wire
from camphorhook_daemon.adapters import operators
from camphorhook_daemon.domain import configuration
from camphorhook_daemon.domain import state as states

TABLE, ROW = "failure_domains", "zone-b"
STATES = {"evacuate": "out", "take back": "in"}
TIMEOUT_SECONDS = 10.0


class Interface:
    """An instance's interface for operators, and the state behind it.

    Attributes:
        state: the State; it applies what is submitted at once.
        submitted: the commands that were submitted.
        held: event for which the next submission waits, or None.
    """

    def __init__(self):
        self.state = states.State()
        self.submitted = []
        self.held = None
        self.configuration = configuration.Configuration()
        limits = types.SimpleNamespace(body_bytes=10**6, body_seconds=5.0)
        recorder = types.SimpleNamespace(record=lambda *a, **k: None)
        self._app = operators.OperatorsApp(
            types.SimpleNamespace(
                configuration=self.configuration,
                settings=types.SimpleNamespace(limits=limits),
                submitter=self,
                recorder=recorder,
            ),
            types.SimpleNamespace(find=lambda request: "operator"),
        )

    async def submit(self, command, _timeout):
        """Apply a command, after the event that holds it back."""
        self.submitted.append(command)
        held, self.held = self.held, None
        if held is not None:
            await held.wait()
        entry = commands.Entry(
            self.state.index + 1, 1, *commands.encode(command)
        )
        outcome = self.state.apply(entry)
        self._watch()
        return outcome

    def _watch(self):
        whole, changes = self.state.list_changes(self.configuration.index)
        self.configuration.apply_reply(
            wire.WatchReply(self.state.index, whole, changes, 0, "", ())
        )

    async def order(self, operation, order, is_gone=False):
        """Send an order; return the status of its answer, 0 without one."""
        body = msgspec.json.encode(
            {
                "operation": operation,
                "expected": states.ANY_VERSION,
                "cells": {"state": STATES[order]},
            }
        )
        messages = [{"type": "http.request", "body": body}]
        if is_gone:
            messages.append({"type": "http.disconnect"})
        answers = [0]

        async def receive():
            if messages:
                return messages.pop(0)
            await trio.sleep_forever()

        async def send(message):
            answers.append(message.get("status", answers[-1]))

        path = f"/tables/{TABLE}/{ROW}"
        scope = {"method": "PUT", "path": path}
        await self._app(
            {**scope, "headers": [], "query_string": b""}, receive, send
        )
        return answers[-1]

    def read(self):
        """Return the state of the failure domain."""
        return self.state.tables[TABLE][ROW].cells["state"]


def run(context, play):
    """Run a function of the Interface after what operators did before."""

    async def run_all():
        with trio.fail_after(TIMEOUT_SECONDS):
            if context.was_ordered:
                await context.interface.order("first", "evacuate")
            await play(context.interface)

    trio.run(run_all)


@behave.given("a failure domain that operators {first}")
def plan(context, first):
    context.interface = Interface()
    context.was_ordered = "never" not in first


@behave.when("an order to {order} it is held back, and another one is obeyed")
def hold_back(context, order):
    other = "evacuate" if order == "take back" else "take back"
    context.answers = []
    context.expected = [STATES[other], STATES[order]]

    async def play(interface):
        held = interface.held = trio.Event()

        async def send_late():
            context.answers.append(await interface.order("late", order))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_late)
            await trio.sleep(0.05)
            assert await interface.order("newer", other) == 200
            held.set()
        context.seen = [interface.read()]
        context.answers.append(await interface.order("late", order))
        context.seen.append(interface.read())

    run(context, play)


@behave.then("the late order changes nothing and may be sent again")
def check_late(context):
    assert context.seen[0] == context.expected[0], context.seen
    assert context.answers[0] == 503, context.answers


@behave.then("sent again, it is obeyed")
def check_again(context):
    assert context.answers[1] == 200, context.answers
    assert context.seen == context.expected, context.seen


@behave.when(
    "an order to {order} it is obeyed twice, with a newer one between"
)
def obey_twice(context, order):
    async def play(interface):
        context.answers = [
            await interface.order(operation, one)
            for operation, one in (
                ("same", order),
                ("newer", "evacuate"),
                ("same", order),
            )
        ]

    run(context, play)


@behave.then("both are acknowledged, and the newer one holds")
def check_twice(context):
    assert context.answers == [200, 200, 200], context.answers
    assert context.interface.read() == "out"


@behave.when("an order to {order} it comes from an operator that has gone")
def send_and_go(context, order):
    async def play(interface):
        interface.submitted.clear()
        await interface.order("gone", order, True)

    run(context, play)


@behave.then("nothing is submitted")
def check_nothing(context):
    assert not context.interface.submitted, context.interface.submitted


def make_command(text):
    """Return the command that a scenario names."""
    word, name = text.split()
    if word == "document":
        return commands.ImportDocument(int(name), deltas.pack(b"{}"), 1.0)
    if word == "claim":
        return commands.ClaimAttempt(
            "club", "key", "digest", name, "a1", 3600.0, 60.0, 1.0
        )
    state = {"finish": "finished", "abandon": "abandoned"}[word]
    return commands.SettleAttempt(
        "club", "key", name, state, 200, "text/plain", b"", 1.0
    )


def apply_command(state, text):
    """Apply the command that a scenario names; return its Outcome."""
    encoded = commands.encode(make_command(text))
    return state.apply(commands.Entry(state.index + 1, 1, *encoded))


@behave.given("a state to which {before} were applied")
def apply_before(context, before):
    context.state = states.State()
    for text in before.split(", "):
        apply_command(context.state, text)


@behave.when("a late copy of {late} is applied")
def apply_late(context, late):
    state = context.state
    context.before = dict(state.claims), dict(state.tables["documents"])
    context.outcome = apply_command(state, late)


@behave.then("its outcome is {outcome}, and the state is as before")
def check_unchanged(context, outcome):
    assert context.outcome.code == outcome, context.outcome
    state = context.state
    after = dict(state.claims), dict(state.tables["documents"])
    assert after == context.before, (context.before, after)
