"""Step definitions for tables, operators and cut-off failure domains."""

import contextlib
import io
import threading

import behave

from camphorhook import api_client
from camphorhook import main as client_main
from camphorhook_common import errors
from tests.features.steps import bookings
from tests.features.steps import whole_path
from tests.harness import callers
from tests.harness import processes
from tests.standins import engine

CUT_OFF_SECONDS = 20.0


def _run_client(context, *words, key=None):
    """Run the operators' command; return (exit code, output)."""
    plan = context.fleet.plan
    servers = ",".join(one.operators for one in plan.instances)
    given = ["--server", servers, "--key", key or plan.operator_key, *words]
    output = io.StringIO()
    code = 0
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(output):
            try:
                client_main.main(given)
            except SystemExit as end:
                code = end.code
    return code, output.getvalue()


def _read_cell(context, name, table, row, column):
    answer = context.fleet.make_client(name).read_table(table)
    return answer["rows"][row]["cells"][column]


def _check_everywhere(context, table, row, column, value):
    for instance in context.fleet.plan.instances:
        name = instance.name
        processes.wait_until(
            lambda name=name: _read_cell(context, name, table, row, column)
            == value,
            what=f"{value} at {name}",
        )


@behave.when(
    "{count:d} operators set the same cell with the same expected version "
    "at once"
)
def race_operators(context, count):
    table = context.fleet.client.read_table("client_accounts")
    version = table["rows"]["parent"]["version"]
    instances = context.fleet.plan.instances
    context.outcomes = {}

    def set_cell(number):
        client = context.fleet.make_client(instances[number % 6].name)
        try:
            client.change_row(
                "client_accounts",
                "parent",
                {"weight": number + 10},
                expected=version,
            )
            context.outcomes[number] = "won"
        except errors.ConflictError:
            context.outcomes[number] = "conflict"

    threads = [
        threading.Thread(target=set_cell, args=(number,))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@behave.then("exactly one of them wins and the others get a conflict")
def check_race(context):
    outcomes = sorted(context.outcomes.values())
    assert outcomes == ["conflict"] * (len(outcomes) - 1) + ["won"], outcomes


@behave.then("the winner's value is in force on every instance")
def check_winner(context):
    winner = next(
        number for number, one in context.outcomes.items() if one == "won"
    )
    _check_everywhere(
        context, "client_accounts", "parent", "weight", winner + 10
    )


def _send_same(context, operation, name):
    answer = context.fleet.make_client(name).change_row(
        "client_accounts",
        "parent",
        {"weight": 77},
        expected=api_client.ANY_VERSION,
        operation=operation,
    )
    context.replies.append(answer)


@behave.when('an operator sends a change with operation "{operation}" at a1')
def send_change(context, operation):
    _send_same(context, operation, "a1")


@behave.when("another operator changes the row")
def change_by_other_operator(context):
    context.fleet.client.change_row(
        "client_accounts", "parent", {"weight": 88}
    )


@behave.when('the operator sends it again with operation "{operation}" at c2')
def send_change_again(context, operation):
    _send_same(context, operation, "c2")


@behave.then("both answers are the same")
def check_same(context):
    first, second = context.replies
    assert first == second, context.replies


@behave.then("the other operator's value is in force on every instance")
def check_other_value(context):
    _check_everywhere(context, "client_accounts", "parent", "weight", 88)


@behave.when(
    "an operator sets {table:Word} {row:Word} {column:Word} to the text "
    "{value:Word}"
)
def set_invalid(context, table, row, column, value):
    context.code, context.output = _run_client(
        context, "set", table, row, column, value
    )
    # The client library makes the same checks as the command line.
    try:
        context.fleet.client.change_row(
            table, row, {column: value}, expected=api_client.ANY_VERSION
        )
        context.refusal = ""
    except errors.CamphorhookError as error:
        context.refusal = error.message


@behave.then(
    "the refusal names {table:Word}, {row:Word}, {column:Word}, "
    "{value:Word} and {allowed:Word}"
)
def check_refusal(context, table, row, column, value, allowed):
    assert context.code == errors.EXIT_FAILURE, context.output
    for text in (context.output, context.refusal):
        for word in (table, row, column, allowed):
            assert word in text, text
        if column != "colour":
            assert value in text, text


@behave.when("an operator with a wrong key reads the services")
def read_with_wrong_key(context):
    context.code, context.output = _run_client(
        context, "table", "services", key="chk-wrong"
    )


@behave.then("the exit code is {code:d} and the text names the key")
def check_exit(context, code):
    assert context.code == code, context.output
    assert "key" in context.output, context.output


@behave.when("{name:Word} is cut_off")
def wait_cut_off(context, name):
    processes.wait_until(
        lambda: context.fleet.read_state(name) == "cut_off",
        CUT_OFF_SECONDS,
        f"{name} cut off",
    )


def _chat(context, name):
    body = callers.make_chat(f"cut {name}")
    reply = callers.stream_chat(
        whole_path.find_address(context, name),
        context.fleet.plan.account_key,
        body,
    )
    assert reply.is_whole, reply
    assert reply.text == engine.make_answer(body["messages"]), reply
    used = whole_path.find_engine(reply)
    return next(
        one.failure_domain
        for one in context.fleet.plan.upstreams
        if one.name == used
    )


@behave.then(
    "a chat at {name:Word} is served completely by an engine of {domain:Word}"
)
def check_chat_inside(context, name, domain):
    assert _chat(context, name) == domain


@behave.then(
    "a chat at {name:Word} is served completely by an engine of another "
    "failure domain than {domain:Word}"
)
def check_chat_outside(context, name, domain):
    assert _chat(context, name) != domain


@behave.then(
    "a booking at {name:Word} is reported as not run and has no effect"
)
def check_not_run(context, name):
    reply = whole_path.book(context, "cut", "cut-off-1", name)
    assert reply.disposition == "not-run", reply
    bookings.check_effects(context, "cut-off-1", 0)


@behave.when("an operator exports the services, and imports them again")
def export_and_import(context):
    path = context.fleet.folder / "services.csv"
    code, _ = _run_client(context, "export", "services", str(path))
    assert code == 0
    context.code, context.output = _run_client(
        context, "import", "services", str(path)
    )


@behave.then("the import reports that nothing changed")
def check_import(context):
    assert context.code == 0, context.output
    assert context.output.startswith("0 rows set"), context.output


@behave.when("an operator adds and removes a row of upstreams")
def add_and_remove(context):
    code, output = _run_client(
        context, "add", "upstreams", "short-lived", "weight=5"
    )
    assert code == 0, output
    code, output = _run_client(context, "remove", "upstreams", "short-lived")
    assert code == 0, output


@behave.then("the row is removed on every instance")
def check_gone(context):
    for instance in context.fleet.plan.instances:
        client = context.fleet.make_client(instance.name)
        processes.wait_until(
            lambda client=client: "short-lived"
            not in client.read_table("upstreams")["rows"],
            what="the row's end",
        )


@behave.when(
    "an operator changes a row {count:d} times at each instance and reads it "
    "there at once"
)
def change_and_read(context, count):
    context.outcomes = []
    for instance in context.fleet.plan.instances:
        client = context.fleet.make_client(instance.name)
        for number in range(count):
            changed = client.change_row(
                "upstreams", "read-back", {"weight": 1 + number}, expected=-1
            )
            rows = client.read_table("upstreams")["rows"]
            version = rows.get("read-back", {}).get("version", 0)
            context.outcomes.append(
                (instance.name, changed["version"], version)
            )


@behave.then("no read was older than the change before it")
def check_read_back(context):
    late = [one for one in context.outcomes if one[2] < one[1]]
    assert not late, f"{len(late)} of {len(context.outcomes)}: {late[:6]}"
