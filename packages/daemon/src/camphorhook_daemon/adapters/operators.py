"""The operators' HTTP interface: tables, status, time line and metrics."""

import time
import urllib.parse

import msgspec
import trio

from camphorhook_common import checks
from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import jsontext
from camphorhook_common import secrets
from camphorhook_common import tables
from camphorhook_common import wire
from camphorhook_daemon.adapters import http
from camphorhook_daemon.domain import state as states

SUBMIT_TIMEOUT_SECONDS = 8.0
STATUS_TIMEOUT_SECONDS = 1.5
IN_FORCE_TIMEOUT_SECONDS = 2.0  # for an accepted change to arrive here
DISCONNECT_CHECK_SECONDS = 0.01  # lets a pending disconnect arrive first
CONFLICT_RETRY_SECONDS = 0.1
MAX_OPERATION_CHARACTERS = 128


class OperatorKeys:
    """Operators' names by the hash of their key.

    The file has a line `NAME HASH` for each key; lines that begin with # and
    lines of another form are ignored.
    """

    def __init__(self, path):
        """Read the keys' hashes from a file."""
        self._hashes = {}
        with open(path) as lines:
            for line in lines:
                words = line.split()
                if len(words) == 2 and not line.startswith("#"):
                    self._hashes[words[1]] = words[0]

    def find(self, request):
        """Return the name of the operator whose key a request carries.

        Returns:
            The name; empty if there is no key or it is not known.
        """
        header = request.headers.get("authorization", "")
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer":
            return ""
        return self._hashes.get(secrets.hash_key(key.strip()), "")


class OperatorsApp:
    """ASGI application for operators.

    Every request but those for metrics needs an operator's key.
    """

    def __init__(self, components, keys):
        """Create the application.

        Args:
            components: the instance's components.
            keys: the OperatorKeys.
        """
        self._components = components
        self._keys = keys

    async def __call__(self, scope, receive, send):
        """Answer one request, as ASGI servers call it."""
        request = http.read_request(scope)
        if request.path == "/metrics":
            headers = [("content-type", "text/plain; version=0.0.4")]
            body = self._components.meter.render()
            await http.send_answer(send, 200, headers, body)
            return
        operator = self._keys.find(request)
        if not operator:
            text = "send an operator's key: Authorization: Bearer KEY"
            failure = wire.RequestFailure(401, "invalid_key", text, "not-run")
        else:
            failure = await self._serve(request, receive, send)
        if failure is not None:
            await http.send_failure(send, failure)

    async def _serve(self, request, receive, send):
        first, *rest = request.path.strip("/").split("/")
        rest = [urllib.parse.unquote(part) for part in rest]
        if first == "tables" and len(rest) == 1 and request.method == "GET":
            return await self._show_table(rest[0], send)
        if first == "tables" and len(rest) == 2:
            return await self._change_row(request, rest, receive, send)
        if first == "status":
            return await self._show_status(send)
        if first == "upstreams":
            return await self._show_upstreams(send)
        if first == "timeline":
            return await self._show_timeline(request, send)
        text = "path not found; known are tables/TABLE, tables/TABLE/ROW, "
        text += "status, upstreams, timeline and metrics"
        return wire.RequestFailure(404, "not_found", text, "not-run")

    async def _show_table(self, table, send):
        if table not in tables.TABLES:
            allowed = ", ".join(tables.TABLES)
            text = f"no table {table!r}; the tables are {allowed}"
            return wire.RequestFailure(404, "no_table", text, "not-run")
        rows = self._components.configuration.list_rows(table)
        answer = {
            "table": table,
            "columns": list(tables.TABLES[table]),
            "rows": {
                name: {"version": version, "cells": cells}
                for name, (version, cells) in sorted(rows.items())
            },
            "index": self._components.configuration.index,
        }
        await http.send_json(send, 200, answer)
        return None

    async def _change_row(self, request, names, receive, send):
        """Set cells of a row (PUT) or remove the row (DELETE).

        Nothing is done any more for a caller that has disconnected.

        Returns:
            The wire.RequestFailure to answer with; None if an answer was
            sent.
        """
        try:
            body = await http.read_body(
                receive, self._components.settings.limits
            )
        except http.BodyError as error:
            return error.failure
        result = self._read_change(request, names, body)
        if isinstance(result, wire.RequestFailure):
            return result
        version = self._find_version(result)
        index = self._components.configuration.index
        outcome = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(http.cancel_on_disconnect, receive, nursery)
            await trio.sleep(DISCONNECT_CHECK_SECONDS)
            outcome = await self._submit_change(result, version, index)
            nursery.cancel_scope.cancel()
        if outcome is None or isinstance(outcome, wire.RequestFailure):
            return outcome
        if outcome.code == "done":
            # The operator's next read here must not be older.
            with trio.move_on_after(IN_FORCE_TIMEOUT_SECONDS):
                configuration = self._components.configuration
                await configuration.wait_for_change(outcome.index)
        self._components.recorder.record(
            "configuration.change",
            operation=result.operation,
            detail=f"{names[0]}/{names[1]} {outcome.code}",
        )
        answer = {
            "outcome": outcome.code,
            "index": outcome.index,
            "version": outcome.version,
            "detail": outcome.detail,
            "operation": result.operation,
        }
        status = 200 if outcome.code == "done" else 409
        await http.send_json(send, status, answer)
        return None

    def _find_version(self, command):
        """Return the version that the row of a change must have.

        It is the version known here if the operator named none.
        """
        if command.expected_version != states.ANY_VERSION:
            return command.expected_version
        rows = self._components.configuration.list_rows(command.table)
        return rows[command.row][0] if command.row in rows else 0

    async def _submit_change(self, command, version, arrived_index):
        """Submit a change; return its Outcome, or a wire.RequestFailure.

        If the operator named no version, a conflict with a change that was
        not known here on arrival is a failure. One found before the arrival
        is the stored outcome of an earlier copy: the change goes on under an
        id that all copies derive from it, so that it takes effect once.

        Args:
            command: the SetCells or RemoveRow.
            version: version that the row must have.
            arrived_index: index of the configuration on arrival.
        """
        operation = command.operation
        while True:
            try:
                outcome = await self._components.submitter.submit(
                    command._replace(
                        operation=operation, expected_version=version
                    ),
                    SUBMIT_TIMEOUT_SECONDS,
                )
            except errors.UnreachableError as error:
                text = (
                    f"{error.message}; the change may still be committed: "
                    "send it again with the same operation id"
                )
                return wire.RequestFailure(
                    503, "no_quorum", text, "maybe-run", 1.0
                )
            is_any = command.expected_version == states.ANY_VERSION
            if not is_any or outcome.code != "conflict":
                return outcome
            # A row that was removed has no version any more.
            if (outcome.version or outcome.index) > arrived_index:
                return await self._describe_conflict(outcome)
            operation = f"{operation}/{outcome.index}"

    async def _describe_conflict(self, outcome):
        """Return the failure once the other change is known here."""
        with trio.move_on_after(IN_FORCE_TIMEOUT_SECONDS):
            configuration = self._components.configuration
            await configuration.wait_for_change(
                outcome.version or outcome.index
            )
        text = f"{outcome.detail}, which was not known here; send it again"
        return wire.RequestFailure(
            503, "changed_meanwhile", text, "not-run", CONFLICT_RETRY_SECONDS
        )

    def _read_change(self, request, names, body):
        """Return the command for a change.

        Returns:
            A SetCells or RemoveRow; a wire.RequestFailure if the request is
            invalid.
        """
        table, row = names
        try:
            fields = jsontext.decode(body, _RowChange)
        except jsontext.DecodeError as error:
            text = f"the body is invalid: {error}"
            return wire.RequestFailure(400, "invalid_body", text, "not-run")
        if not 0 < len(fields.operation) <= MAX_OPERATION_CHARACTERS:
            text = (
                f"operation must be 1 to {MAX_OPERATION_CHARACTERS} characters"
            )
            return wire.RequestFailure(400, "invalid_body", text, "not-run")
        expected = fields.expected
        if expected < states.ANY_VERSION:
            text = "expected must be a version, 0 for a new row or -1 for any"
            return wire.RequestFailure(400, "invalid_body", text, "not-run")
        now = time.time()
        if request.method == "DELETE":
            checked = checks.check_row_name(table, row)
            command = commands.RemoveRow(
                fields.operation, table, row, expected, now
            )
        elif request.method == "PUT":
            checked = self._check_cells(table, row, fields)
            cells = checked.default_value({})
            command = commands.SetCells(
                fields.operation, table, row, expected, cells, now
            )
        else:
            text = "use PUT to set cells and DELETE to remove the row"
            return wire.RequestFailure(405, "bad_method", text, "not-run")
        if checked.is_error():
            text = checked.error.format()
            return wire.RequestFailure(422, "invalid_cell", text, "not-run")
        return command

    def _check_cells(self, table, row, fields):
        """Return the checked cells that a change sets, or the first error.

        A new row gets the defaults of the columns that are not given.
        """
        checked = checks.check_row(table, row, fields.cells)
        exists = self._components.configuration.get_row(table, row) is not None
        if checked.is_error() or fields.expected == 0 or not exists:
            return checked
        return checked.map(
            lambda cells: {name: cells[name] for name in fields.cells}
        )

    async def _show_status(self, send):
        names = [self._components.settings.name]
        names += [peer.name for peer in self._components.settings.peers]
        rows = {}

        async def request_status(name):
            message = wire.ShowStatus(self._components.settings.name)
            try:
                reply = await self._components.transport.call(
                    name, message, STATUS_TIMEOUT_SECONDS
                )
                rows[name] = reply._asdict()
            except errors.UnreachableError as error:
                rows[name] = {"name": name, "state": "unreachable"}
                rows[name]["error"] = error.message

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(request_status, name)
        instances = [rows[name] for name in sorted(rows)]
        await http.send_json(send, 200, {"instances": instances})
        return None

    async def _show_upstreams(self, send):
        directory = self._components.directory
        rows = []
        for record in directory.list_known():
            row = record._asdict()
            row["heard"] = directory.is_announced(record.name)
            row["cold"] = self._components.permit_manager.is_cold(record)
            row["flapping"] = directory.is_flapping(record.name)
            rows.append(row)
        rows.sort(key=lambda row: row["name"])
        await http.send_json(send, 200, {"upstreams": rows})
        return None

    async def _show_timeline(self, request, send):
        query = urllib.parse.parse_qs(request.query)
        try:
            after = int(query.get("after", ["0"])[0])
            limit = int(query.get("limit", ["2000"])[0])
        except ValueError:
            text = "after and limit must be whole numbers"
            return wire.RequestFailure(400, "invalid_query", text, "not-run")
        events = self._components.recorder.read(after, max(1, limit))
        await http.send_json(send, 200, {"events": events})
        return None


class _RowChange(msgspec.Struct):
    """The body of a request that changes a row.

    Attributes:
        operation: id of the change; the same if it is sent again.
        expected: version that the row must have; 0 for a new row, -1 for
            any version.
        cells: values by column.
    """

    operation: str
    expected: int
    cells: dict[str, int | float | str] = {}
