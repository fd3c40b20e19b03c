"""Schemas of the tables that operators edit."""

import typing


class CellError(typing.NamedTuple):
    """The reason why a cell is invalid.

    Attributes:
        table: name of the table.
        row: name of the row.
        column: name of the column; - if the error is not about a cell.
        value: the invalid value.
        allowed: description of the allowed values.
    """

    table: str
    row: str
    column: str
    value: str
    allowed: str

    def format(self):
        """Return the error as one sentence."""
        return (
            f"table {self.table}, row {self.row}, column {self.column}: "
            f"{self.value!r} is not allowed; expected {self.allowed}"
        )


class WholeNumber(typing.NamedTuple):
    """A column of integers from `low` to `high`, inclusive."""

    default: int
    low: int
    high: int
    help: str


class Decimal(typing.NamedTuple):
    """A column of floating-point numbers from `low` to `high`, inclusive."""

    default: float
    low: float
    high: float
    help: str


class Choice(typing.NamedTuple):
    """A column that holds one of several values."""

    default: str
    values: tuple[str, ...]
    help: str


class Text(typing.NamedTuple):
    """A column of text that matches a regular expression.

    Attributes:
        default: value of a new row.
        pattern: regular expression that the whole value must match.
        allowed: description of the pattern for error messages.
        help: description of the column.
    """

    default: str
    pattern: str
    allowed: str
    help: str


Column = WholeNumber | Decimal | Choice | Text
Cell = int | float | str
Row = dict[str, Cell]

_YES_NO = ("yes", "no")

TABLES: dict[str, dict[str, Column]] = {
    "client_accounts": {
        "key_hash": Text(
            "",
            r"(sha256:[0-9a-f]{64})?",
            "sha256: followed by 64 hexadecimal digits",
            "Hash of the bearer key; empty: all requests are refused.",
        ),
        "enabled": Choice("yes", _YES_NO, "Whether requests are accepted."),
        "weight": WholeNumber(
            1, 1, 1000, "Weight in fair queueing while upstreams are busy."
        ),
        "priority": WholeNumber(
            5, 0, 9, "Priority passed to engines; 9 is the most urgent."
        ),
        "requests_per_second": Decimal(
            20.0,
            0.1,
            100000.0,
            "Maximum rate of requests over the whole fleet.",
        ),
        "tokens_per_minute": WholeNumber(
            600000, 1, 10**10, "Maximum rate of tokens over the whole fleet."
        ),
        "concurrency": WholeNumber(
            64,
            1,
            100000,
            "Maximum number of requests in flight over the whole fleet.",
        ),
    },
    "services": {
        "kind": Choice(
            "model",
            ("model", "plain"),
            "model: chat completions; plain: HTTP passed through.",
        ),
        "load_bound": Decimal(
            1.25,
            1.01,
            10.0,
            "Maximum load of an engine, as a multiple of the mean.",
        ),
        "queue_seconds": Decimal(
            2.0, 0.0, 60.0, "Maximum time in the queue of an instance."
        ),
        "queue_length": WholeNumber(
            64, 0, 100000, "Maximum number of requests queued on an instance."
        ),
        "attempt_seconds": Decimal(
            60.0, 0.1, 3600.0, "Maximum duration of one attempt."
        ),
        "first_token_seconds": Decimal(
            10.0, 0.1, 600.0, "Maximum time to the first token."
        ),
        "retry_ratio": Decimal(
            0.2, 0.0, 1.0, "Retries allowed per ordinary request."
        ),
        "cold_allowance": WholeNumber(
            2,
            1,
            1000,
            "Maximum number of requests in flight on a cold upstream.",
        ),
        "warm_after": WholeNumber(
            8, 1, 100000, "Completed requests after which an upstream is warm."
        ),
    },
    "routes": {
        "service": Text(
            "",
            r"[A-Za-z0-9._-]{1,64}",
            "the name of a service",
            "Service of the route.",
        ),
        "method": Choice(
            "POST",
            ("GET", "POST", "PUT", "PATCH", "DELETE", "ANY"),
            "HTTP method the route matches.",
        ),
        "path_prefix": Text(
            "/",
            r"/[!-~]{0,255}",
            "a path that starts with /",
            "Prefix of the paths below the service that the route matches.",
        ),
        "repeatable": Choice(
            "no",
            _YES_NO,
            "no: a request runs at most once per idempotency key.",
        ),
        "retention_hours": Decimal(
            72.0,
            0.01,
            24 * 366.0,
            "How long the outcomes of requests are stored.",
        ),
    },
    "failure_domains": {
        "state": Choice("in", ("in", "out"), "out: gets no new requests."),
        "weight": WholeNumber(
            100, 1, 10000, "Relative share of chats placed there."
        ),
        "region": Text(
            "main",
            r"[A-Za-z0-9._-]{1,64}",
            "the name of a region",
            "Region of the failure domain.",
        ),
    },
    "upstreams": {
        "state": Choice(
            "in",
            ("in", "drain"),
            "drain: gets no new requests, so that it can be removed.",
        ),
        "weight": WholeNumber(
            100, 1, 10000, "Relative share of chats placed on it."
        ),
    },
    "instances": {
        "state": Choice(
            "in",
            ("in", "drain"),
            "drain: reports to load balancers that it is not ready.",
        ),
    },
}


def default_row(table):
    """Return a new row of a table, with the default of each column."""
    return {name: column.default for name, column in TABLES[table].items()}


def describe_column(column):
    """Return a description of a column's allowed values."""
    match column:
        case WholeNumber():
            return f"an integer from {column.low} to {column.high}"
        case Decimal():
            return f"a number from {column.low:g} to {column.high:g}"
        case Choice():
            return "one of " + ", ".join(column.values)
        case _:
            return column.allowed
