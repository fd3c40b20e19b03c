"""Prints answers as tables for people or as JSON for programs."""

import json

import tabulate


def echo(text):
    """Print text to standard output."""
    print(text)


def echo_json(value):
    """Print a value as JSON."""
    echo(json.dumps(value, indent=2, sort_keys=True))


def echo_rows(headers, rows):
    """Print rows under headers."""
    echo(tabulate.tabulate(rows, headers=headers, tablefmt="simple"))


def echo_table(answer):
    """Print an operators' table."""
    headers = ["row", "version", *answer["columns"]]
    rows = [
        [name, row["version"]]
        + [row["cells"].get(column, "") for column in answer["columns"]]
        for name, row in answer["rows"].items()
    ]
    echo_rows(headers, rows)
    echo(f"index {answer['index']}")
