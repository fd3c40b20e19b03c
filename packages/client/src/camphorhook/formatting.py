"""Output of answers, as tables or as JSON."""

import json

import tabulate


def echo(text):
    """Print a text to standard output."""
    print(text)


def echo_json(value):
    """Print a value as indented JSON with sorted keys."""
    echo(json.dumps(value, indent=2, sort_keys=True))


def echo_rows(headers, rows):
    """Print rows as a table with a header line."""
    echo(tabulate.tabulate(rows, headers=headers, tablefmt="simple"))


def echo_table(answer):
    """Print a configuration table and the log index that it reflects.

    Args:
        answer: table as returned by Client.read_table.
    """
    headers = ["row", "version", *answer["columns"]]
    rows = [
        [name, row["version"]]
        + [row["cells"].get(column, "") for column in answer["columns"]]
        for name, row in answer["rows"].items()
    ]
    echo_rows(headers, rows)
    echo(f"index {answer['index']}")
