"""Client of the operators' HTTP interface of instances."""

import urllib.parse
import uuid

import httpcore
import msgspec

from camphorhook import checked_network
from camphorhook_common import errors
from camphorhook_common import jsontext

CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 12.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # above any table; a command holds one
NEW_ROW_VERSION = 0
ANY_VERSION = -1
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Client:
    """Sends requests to the first of several servers that answers.

    A server that can't be reached is moved to the end of the list, so that
    later requests try it last.
    """

    def __init__(self, servers, key):
        """Create a client.

        Args:
            servers: addresses of operators' ports as `ADDRESS:PORT`, in the
                order in which to try them.
            key: bearer key of an operator; empty sends none.
        """
        self._servers = list(servers)
        self._key = key
        self._pool = httpcore.ConnectionPool(
            network_backend=checked_network.CheckedBackend()
        )

    def call(self, method, path, body=None):
        """Send a request to the first server that can be reached.

        Args:
            method: HTTP method.
            path: path and query string.
            body: value to send as JSON; None sends an empty body.

        Returns:
            (HTTP status, decoded JSON body of the answer).

        Raises:
            errors.UnreachableError: no server answered.
            errors.ProtocolError: a server answered without JSON, or with
                more than MAX_ANSWER_BYTES.
        """
        failures = []
        for server in list(self._servers):
            try:
                return self._call_server(server, method, path, body)
            except _CONNECTION_ERRORS as error:
                failures.append(f"{server}: {error!r}")
                self._move_to_end(server)
        raise errors.UnreachableError(
            "; ".join(failures) + "; check the addresses in --server",
            step=f"{method} {path}",
            peer=", ".join(self._servers),
        )

    def _move_to_end(self, server):
        """Move a server to the end of the list, so that it is tried last."""
        self._servers.remove(server)
        self._servers.append(server)

    def call_all(self, method, path):
        """Send a request to every server.

        Args:
            method: HTTP method.
            path: path and query string.

        Returns:
            A list of (HTTP status, decoded JSON body), without the servers
            that did not answer.

        Raises:
            errors.ProtocolError: a server answered without JSON, or with
                more than MAX_ANSWER_BYTES.
        """
        answers = []
        for server in self._servers:
            try:
                answers.append(self._call_server(server, method, path, None))
            except _CONNECTION_ERRORS:
                continue
        return answers

    def _call_server(self, server, method, path, body):
        content = b"" if body is None else msgspec.json.encode(body)
        headers = {
            "content-type": "application/json",
            "content-length": str(len(content)),
        }
        if self._key:
            headers["authorization"] = f"Bearer {self._key}"
        timeout = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": READ_TIMEOUT_SECONDS,
        }
        step = f"{method} {path}"
        with self._pool.stream(
            method,
            f"http://{server}{path}",
            headers=headers,
            content=content,
            extensions={"timeout": timeout},
        ) as response:
            answer = _read_body(response, step, server)
        try:
            return response.status, jsontext.decode(answer)
        except jsontext.DecodeError as error:
            raise errors.ProtocolError(
                f"answered status {response.status} without JSON; check "
                "that the address is an operators' port",
                step=step,
                peer=server,
            ) from error

    def read(self, path):
        """Return the decoded JSON answer to a GET request.

        Args:
            path: path and query string.

        Raises:
            errors.UnreachableError: no server answered, or one answered 503.
            errors.CamphorhookError: the server answered another error status.
        """
        status, answer = self.call("GET", path)
        _raise_for_status(status, answer, path)
        return answer

    def read_table(self, table):
        """Return a table as a dict with the keys columns, rows and index.

        Each row is a dict with the keys version and cells.

        Args:
            table: name of the table.
        """
        return self.read(f"/tables/{_quote(table)}")

    def change_row(
        self, table, row, cells, *, expected=None, operation=None, method="PUT"
    ):
        """Set cells of a row, or remove the row.

        Args:
            table: name of the table.
            row: name of the row.
            cells: values by column.
            expected: version that the row must have, NEW_ROW_VERSION for a
                row that must not exist, or ANY_VERSION; None reads the
                current version first.
            operation: id that makes the change idempotent: a repeated id
                gets the outcome of the first change. None generates an id.
            method: PUT to set cells, or DELETE to remove the row.

        Returns:
            The outcome of the change, as a dict.

        Raises:
            errors.ConflictError: the row has another version.
            errors.UnreachableError: no server answered, or one answered 503.
            errors.CamphorhookError: the change was rejected.
        """
        if expected is None:
            stored = self.read_table(table)["rows"].get(row)
            expected = stored["version"] if stored else NEW_ROW_VERSION
        operation = operation or f"op-{uuid.uuid4().hex}"
        path = f"/tables/{_quote(table)}/{_quote(row)}"
        body = {"operation": operation, "expected": expected, "cells": cells}
        status, answer = self._send_change(method, path, body)
        if status == 409 and answer.get("outcome") == "conflict":
            raise errors.ConflictError(
                f"{answer['detail']}, not at version {expected}; read the "
                "row again and repeat the change",
                step="change row",
                peer=f"{table}/{row}",
            )
        _raise_for_status(status, answer, path)
        return answer

    def import_document(self, raw, *, version=None, dry_run=False):
        """Replace the document in force, or list what that would change.

        Args:
            raw: the document, in JSON, as bytes.
            version: version to give the document; None keeps its own.
            dry_run: whether to validate the document without importing it.

        Returns:
            The answer as a dict. For a dry run it has the faults of the
            document and the version held and, if there are no faults, the
            document's version and the changes; else it has the outcome, the
            document's version and the version held.

        Raises:
            errors.ConflictError: the version held is not lower.
            errors.UnreachableError: no server answered, or one answered 503.
            errors.CamphorhookError: the document was rejected.
        """
        query = {} if version is None else {"version": version}
        if dry_run:
            query["dry_run"] = 1
        path = f"/documents?{urllib.parse.urlencode(query)}"
        status, answer = self._send_change("POST", path, msgspec.Raw(raw))
        _raise_for_status(status, answer, path)
        if not dry_run and answer["outcome"] != "done":
            raise errors.ConflictError(
                f"version {answer['held']} is held; set a higher version "
                "with --version",
                step="import document",
                peer=str(answer["version"]),
            )
        return answer

    def _send_change(self, method, path, body):
        """Send a change; repeat it once after a 503 or if no server answers.

        A change of a row is repeated with the same operation id, so it is
        applied only once.
        """
        try:
            status, answer = self.call(method, path, body)
        except errors.UnreachableError:
            return self.call(method, path, body)
        if status == 503:
            return self.call(method, path, body)
        return status, answer


def _read_body(response, step, server):
    """Return the body of a response of httpcore.

    Raises:
        errors.ProtocolError: it exceeds MAX_ANSWER_BYTES.
    """
    body = bytearray()
    for chunk in response.iter_stream():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise errors.ProtocolError(
                f"the answer exceeds {MAX_ANSWER_BYTES} bytes; check that "
                "the address is an operators' port",
                step=step,
                peer=server,
            )
    return bytes(body)


def _quote(text):
    return urllib.parse.quote(text, safe="")


def _raise_for_status(status, answer, path):
    if status < 300:
        return
    failure = answer.get("error") or {}
    if isinstance(failure, str):
        failure = {"message": failure}
    message = failure.get("message") or answer.get("detail") or str(answer)
    if status == 503:
        raise errors.UnreachableError(message, step=path)
    raise errors.CamphorhookError(message, step=path)
