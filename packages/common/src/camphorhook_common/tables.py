"""Schemas of the operators' tables."""

import typing


class CellError(typing.NamedTuple):
    """Says which cell was refused and what it may hold."""

    table: str
    row: str
    column: str
    value: str
    allowed: str

    def format(self):
        """Return the fault as one sentence."""
        return (
            f"table {self.table}, row {self.row}, column {self.column}: "
            f"{self.value!r} is not allowed; give {self.allowed}"
        )


class WholeNumber(typing.NamedTuple):
    """A column of whole numbers within bounds, both included."""

    default: int
    low: int
    high: int
    help: str


class Decimal(typing.NamedTuple):
    """A column of decimal numbers within bounds, both included."""

    default: float
    low: float
    high: float
    help: str


class Choice(typing.NamedTuple):
    """A column that holds one of a few words."""

    default: str
    words: tuple[str, ...]
    help: str


class Text(typing.NamedTuple):
    """A column of text that follows a regular expression."""

    default: str
    pattern: str
    allowed: str
    help: str


Column = WholeNumber | Decimal | Choice | Text
Cell = int | float | str
Row = dict[str, Cell]

_SWITCH = ("yes", "no")

TABLES: dict[str, dict[str, Column]] = {
    "client_accounts": {
        "key_hash": Text(
            "",
            r"(sha256:[0-9a-f]{64})?",
            "sha256: and 64 hexadecimal digits",
            "Hash of the bearer key; empty refuses all requests.",
        ),
        "enabled": Choice("yes", _SWITCH, "Whether requests are accepted."),
        "weight": WholeNumber(
            1, 1, 1000, "Share in fair queueing while upstreams are busy."
        ),
        "priority": WholeNumber(
            5, 0, 9, "Priority passed to engines; 9 is the most urgent."
        ),
        "requests_per_second": Decimal(
            20.0, 0.1, 100000.0, "Request rate over the whole fleet."
        ),
        "tokens_per_minute": WholeNumber(
            600000, 1, 10**10, "Token rate over the whole fleet."
        ),
        "concurrency": WholeNumber(
            64, 1, 100000, "Requests in flight over the whole fleet."
        ),
    },
    "services": {
        "kind": Choice(
            "model",
            ("model", "plain"),
            "model: chat completions; plain: HTTP passed through.",
        ),
        "load_bound": Decimal(
            1.25, 1.01, 10.0, "Most load of an engine, times the mean."
        ),
        "queue_seconds": Decimal(
            2.0, 0.0, 60.0, "Longest wait in the queue of an instance."
        ),
        "queue_length": WholeNumber(
            64, 0, 100000, "Most requests queued on an instance."
        ),
        "attempt_seconds": Decimal(
            60.0, 0.1, 3600.0, "Longest time of one attempt."
        ),
        "first_token_seconds": Decimal(
            10.0, 0.1, 600.0, "Longest silence before the first token."
        ),
        "retry_ratio": Decimal(
            0.2, 0.0, 1.0, "Retries allowed for each ordinary request."
        ),
        "cold_allowance": WholeNumber(
            2, 1, 1000, "Most requests in flight on a cold upstream."
        ),
        "warm_after": WholeNumber(
            8, 1, 100000, "Completed requests after which it is warm."
        ),
    },
    "routes": {
        "service": Text(
            "", r"[A-Za-z0-9._-]{1,64}", "a service's name", "The service."
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
            "Paths below the service that the route matches.",
        ),
        "repeatable": Choice(
            "no", _SWITCH, "no: a request runs at most once, by its key."
        ),
        "retention_hours": Decimal(
            72.0, 0.01, 24 * 366.0, "How long outcomes are remembered."
        ),
    },
    "failure_domains": {
        "state": Choice("in", ("in", "out"), "out: gets no new work."),
        "weight": WholeNumber(100, 1, 10000, "Share of chats placed there."),
        "region": Text(
            "main", r"[A-Za-z0-9._-]{1,64}", "a region's name", "Its region."
        ),
    },
    "upstreams": {
        "state": Choice(
            "in", ("in", "drain"), "drain: gets no new work, then may go."
        ),
        "weight": WholeNumber(100, 1, 10000, "Share of chats placed on it."),
    },
    "instances": {
        "state": Choice(
            "in", ("in", "drain"), "drain: answers not ready to balancers."
        ),
    },
}


def default_row(table):
    """Return a row of the table with each column at its default."""
    return {name: column.default for name, column in TABLES[table].items()}


def describe_column(column):
    """Return what a column may hold, as words for an error message."""
    match column:
        case WholeNumber():
            return f"a whole number from {column.low} to {column.high}"
        case Decimal():
            return f"a number from {column.low:g} to {column.high:g}"
        case Choice():
            return "one of " + ", ".join(column.words)
        case _:
            return column.allowed
