"""Functions that run the commands of the command line.

Each command takes the Client and the arguments as parsed by docopt.
"""

import sys
import urllib.parse
import uuid

from camphorhook import csvfiles
from camphorhook import explanation
from camphorhook import formatting
from camphorhook import keys
from camphorhook import report
from camphorhook_common import checks
from camphorhook_common import errors
from camphorhook_common import timeline

PLACEMENT_COLUMNS = (
    "name",
    "failure_domain",
    "version",
    "state",
    "capacity",
    "load",
    "pending_tokens",
    "slowdown",
    "failure_rate",
)
STATUS_COLUMNS = (
    "name",
    "failure_domain",
    "state",
    "index",
    "log_role",
    "term",
    "last_index",
    "upstreams",
    "active",
)
UPSTREAM_COLUMNS = (
    "name",
    "failure_domain",
    "service",
    "state",
    "heard",
    "cold",
    "flapping",
    "active",
    "capacity",
    "incarnation",
)


def show_table(client, arguments):
    """Print the rows of a table."""
    answer = client.read_table(arguments["TABLE"])
    if arguments["--json"]:
        formatting.echo_json(answer)
    else:
        formatting.echo_table(answer)


def _echo_outcome(arguments, answer):
    if arguments["--json"]:
        formatting.echo_json(answer)
    else:
        version = answer["version"]
        index = answer["index"]
        formatting.echo(f"accepted at index {index}, version {version}")


def _parse_integer(arguments, option):
    """Return the value of an option as an integer, or None without it.

    Raises:
        errors.CamphorhookError: the value is not an integer.
    """
    text = arguments[option]
    if text is None:
        return None
    try:
        return int(text)
    except ValueError as error:
        raise errors.CamphorhookError(
            "the value must be an integer", step=option, peer=text
        ) from error


def _unwrap_result(result):
    """Return the value of a Result.

    Raises:
        errors.CamphorhookError: the Result holds a CellError.
    """
    if result.is_error():
        raise errors.CamphorhookError(
            result.error.format(), step="check cells"
        )
    return result.ok


def _change_row(client, arguments, table, row, cells, method="PUT"):
    answer = client.change_row(
        table,
        row,
        cells,
        expected=_parse_integer(arguments, "--expected"),
        operation=arguments["--operation"],
        method=method,
    )
    _echo_outcome(arguments, answer)


def set_cell(client, arguments):
    """Set one cell of a row."""
    table, row = arguments["TABLE"], arguments["ROW"]
    column = arguments["COLUMN"]
    value = _unwrap_result(
        checks.check_cell(table, row, column, arguments["VALUE"])
    )
    _change_row(client, arguments, table, row, {column: value})


def add_row(client, arguments):
    """Add a row; columns that are not given take their defaults."""
    table, row = arguments["TABLE"], arguments["ROW"]
    text_cells = dict(pair.partition("=")[::2] for pair in arguments["CELL"])
    cells = _unwrap_result(checks.check_row(table, row, text_cells))
    arguments["--expected"] = arguments["--expected"] or "0"
    _change_row(client, arguments, table, row, cells)


def remove_row(client, arguments):
    """Remove a row from a table."""
    table, row = arguments["TABLE"], arguments["ROW"]
    _change_row(client, arguments, table, row, {}, "DELETE")


def import_table(client, arguments):
    """Set the rows of a CSV file that differ; leave other rows unchanged."""
    table = arguments["TABLE"]
    rows = csvfiles.load(table, arguments["FILE"][0])
    stored_rows = client.read_table(table)["rows"]
    changed = 0
    for row, cells in rows.items():
        stored = stored_rows.get(row)
        if stored and stored["cells"] == cells:
            continue
        version = stored["version"] if stored else 0
        client.change_row(table, row, cells, expected=version)
        changed += 1
    formatting.echo(f"{changed} rows set, {len(rows) - changed} unchanged")


def export_table(client, arguments):
    """Write a table as CSV to a file or to standard output."""
    answer = client.read_table(arguments["TABLE"])
    if not arguments["FILE"]:
        csvfiles.write(answer, sys.stdout)
        return
    with open(arguments["FILE"][0], "w", newline="") as file:
        csvfiles.write(answer, file)


def import_document(client, arguments):
    """Import a document, or print what the import would change.

    A document with faults ends the process with EXIT_FAILURE.

    Raises:
        errors.CamphorhookError: the file can't be read.
    """
    path = arguments["FILE"][0]
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as error:
        raise errors.CamphorhookError(
            error.strerror, step="read document", peer=path
        ) from error
    answer = client.import_document(
        raw,
        version=_parse_integer(arguments, "--version"),
        dry_run=arguments["--dry-run"],
    )
    if arguments["--json"]:
        formatting.echo_json(answer)
    elif not arguments["--dry-run"]:
        formatting.echo(f"version {answer['version']} is in force")
    else:
        _echo_preview(answer)
    if answer.get("faults"):
        sys.exit(errors.EXIT_FAILURE)


def _echo_preview(answer):
    held = answer["held"]
    for fault in answer["faults"]:
        formatting.echo(f"wrong: {fault}")
    if answer["faults"]:
        return
    version = answer["version"]
    if held is not None and version <= held:
        formatting.echo(
            f"version {version} is not above version {held}, which is held"
        )
        return
    for change in answer["changes"]:
        formatting.echo(change)
    before = "no version" if held is None else f"version {held}"
    formatting.echo(
        f"{len(answer['changes'])} changes; version {version} would follow "
        f"{before}"
    )


def _set_domain_state(client, arguments, state):
    row = arguments["DOMAIN"]
    _change_row(client, arguments, "failure_domains", row, {"state": state})


def take_out(client, arguments):
    """Take a failure domain out of service."""
    _set_domain_state(client, arguments, "out")


def bring_back(client, arguments):
    """Bring a failure domain back into service."""
    _set_domain_state(client, arguments, "in")


def drain(client, arguments):
    """Drain an upstream or an instance, or end its drain."""
    table = "upstreams" if arguments["upstream"] else "instances"
    state = "in" if arguments["--undo"] else "drain"
    _change_row(client, arguments, table, arguments["NAME"], {"state": state})


def show_placement(client, arguments):
    """Print to which upstream a request would go now, and why.

    Raises:
        errors.CamphorhookError: no route matches.
    """
    fields = {
        "host": arguments["HOST"],
        "path": arguments["PATH"],
        "parts": arguments["--parts"] or "",
        "request": uuid.uuid4().hex,
    }
    answer = client.read(f"/placement?{urllib.parse.urlencode(fields)}")
    if arguments["--json"]:
        formatting.echo_json(answer)
        return
    if answer["reason"]:
        raise errors.CamphorhookError(
            answer["reason"], step="where", peer=arguments["HOST"]
        )
    formatting.echo(f"route {answer['route']}, document {answer['version']}")
    for service in answer["services"]:
        formatting.echo(_describe_placement(service))
        rows = [
            [upstream[column] for column in PLACEMENT_COLUMNS]
            + [", ".join(_list_obstacles(upstream))]
            for upstream in service["upstreams"]
        ]
        formatting.echo_rows((*PLACEMENT_COLUMNS, "not chosen as"), rows)


def _describe_placement(service):
    """Return one sentence on where a request to a service would go."""
    start = f"service {service['service']} (weight {service['weight']:g}): "
    if "refusal" in service:
        refusal = service["refusal"]
        return (
            f"{start}refused, {refusal['reason']}; to be sent again after "
            f"{refusal['retry_after']:.2f} s"
        )
    choice = service["choice"]
    text = (
        f"{start}to {choice['upstream']}, which has {choice['load']:.1f} "
        f"requests where the mean is {choice['mean']:.1f}"
    )
    if choice["part"]:
        text += f"; part {choice['part']} of {choice['tokens']} tokens is "
        text += "cached there" if choice["is_cached"] else "not cached there"
    if choice["source"]:
        text += f" and would be copied from {choice['source']}"
    figures = service["forecast"].items()
    if figures:
        text += "; " + ", ".join(
            f"{name} {value:g}" for name, value in figures
        )
    return text


def _list_obstacles(upstream):
    """Return the reasons for which an upstream is avoided."""
    reasons = {
        "is_avoided": "its connections failed",
        "is_out_of_service": "its failure domain is out of service",
        "is_leaving": "it leaves",
        "is_limited": "it takes few requests",
    }
    return [text for name, text in reasons.items() if upstream[name]]


def show_status(client, arguments):
    """Print the state and the configuration index of each instance."""
    answer = client.read("/status")
    if arguments["--json"]:
        formatting.echo_json(answer)
        return
    rows = [
        [instance.get(column, "") for column in STATUS_COLUMNS]
        for instance in answer["instances"]
    ]
    formatting.echo_rows(STATUS_COLUMNS, rows)


def show_upstreams(client, arguments):
    """Print the upstreams that an instance knows."""
    answer = client.read("/upstreams")
    if arguments["--json"]:
        formatting.echo_json(answer)
        return
    rows = [
        [upstream.get(column, "") for column in UPSTREAM_COLUMNS]
        for upstream in answer["upstreams"]
    ]
    formatting.echo_rows(UPSTREAM_COLUMNS, rows)


def show_timeline(client, arguments):
    """Print the events of all processes, merged in causal order.

    Events are read from files if any are given, else from all servers.
    """
    if arguments["FILE"]:
        event_lists = [timeline.load(path) for path in arguments["FILE"]]
    else:
        answers = client.call_all("GET", "/timeline?limit=20000")
        event_lists = [
            answer["events"] for status, answer in answers if status == 200
        ]
    events = timeline.select(
        timeline.merge(event_lists),
        identifier=arguments["--word"] or "",
        instance=arguments["--instance"] or "",
        event=arguments["--event"] or "",
    )
    events = events[-int(arguments["--limit"]) :]
    if arguments["--json"]:
        formatting.echo_json(events)
        return
    for event in events:
        formatting.echo(timeline.format_event(event))


def explain_request(_client, arguments):
    """Print the log lines that concern a request and why it ended."""
    files = [explanation.load(path) for path in arguments["FILE"]]
    explained = explanation.explain(arguments["REQUEST"], files)
    if arguments["--json"]:
        fields = {
            "cause": explained.cause,
            "lines": [line._asdict() for line in explained.lines],
            "beliefs": [line._asdict() for line in explained.related_lines],
        }
        formatting.echo_json(fields)
        return
    started_at = explained.lines[0].at
    lines = sorted(
        [*explained.lines, *explained.related_lines], key=lambda line: line.at
    )
    rows = [
        [
            f"{line.at - started_at:+.3f}",
            "request" if line in explained.lines else "belief",
            line.instance,
            line.message,
            line.peer,
            " ".join(f"{name}={value}" for name, value in line.inputs.items()),
        ]
        for line in lines
    ]
    headers = ("seconds", "about", "instance", "message", "peer", "inputs")
    formatting.echo_rows(headers, rows)
    formatting.echo(explained.cause)


def write_report(_client, arguments):
    """Write an HTML page with plots of the events in log files."""
    files = [explanation.load(path) for path in arguments["FILE"]]
    series = report.summarize(files)
    if arguments["--json"]:
        formatting.echo_json([item._asdict() for item in series])
        return
    page = report.render(series, f"{len(files)} log files")
    with open(arguments["PAGE"], "w") as file:
        file.write(page)
    formatting.echo(f"wrote {arguments['PAGE']}")


def make_keys(_client, arguments):
    """Create CURVE key pairs for instances."""
    names = arguments["NAMES"]
    made = keys.make_instance_keys(arguments["FOLDER"], names)
    formatting.echo(
        f"created keys for: {', '.join(made) or 'none, all exist'}"
    )


def make_bearer_key(_client, arguments):
    """Generate a bearer key and print it with its hash."""
    key, key_hash = keys.make_bearer_key()
    if arguments["--json"]:
        formatting.echo_json({"key": key, "hash": key_hash})
        return
    formatting.echo(f"key  {key}")
    formatting.echo(f"hash {key_hash}")
