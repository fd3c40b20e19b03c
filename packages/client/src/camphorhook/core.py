"""A client of the operators' interface of the instances."""

import urllib.parse
import uuid

import httpcore
import msgspec

from camphorhook_common import errors

CONNECT_SECONDS = 2.0
READ_SECONDS = 12.0
NEW_ROW = 0
ANY_VERSION = -1
_NO_ANSWER = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Client:
    """Calls any of several instances, the first that answers."""

    def __init__(self, servers, key):
        """Create a client.

        Args:
            servers: `ADDRESS:PORT` of operators' ports, in order.
            key: an operator's key.
        """
        self._servers = list(servers)
        self._key = key
        self._pool = httpcore.ConnectionPool()

    def call(self, method, path, body=None):
        """Call the first server that can be reached.

        Args:
            method: HTTP method.
            path: path and query.
            body: value to send as JSON; None sends nothing.

        Returns:
            (status, decoded JSON answer).

        Raises:
            errors.UnreachableError: no server answered.
        """
        faults = []
        for server in list(self._servers):
            try:
                return self._call_server(server, method, path, body)
            except _NO_ANSWER as error:
                faults.append(f"{server}: {error!r}")
                self._put_last(server)
        raise errors.UnreachableError(
            "; ".join(faults) + "; check --server",
            step=f"{method} {path}",
            peer=", ".join(self._servers),
        )

    def _put_last(self, server):
        """Try a server that did not answer after all others next time."""
        self._servers.remove(server)
        self._servers.append(server)

    def call_each(self, method, path):
        """Call every server; return the answers of those that answered."""
        answers = []
        for server in self._servers:
            try:
                answers.append(self._call_server(server, method, path, None))
            except _NO_ANSWER:
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
        timeout = {"connect": CONNECT_SECONDS, "read": READ_SECONDS}
        response = self._pool.request(
            method,
            f"http://{server}{path}",
            headers=headers,
            content=content,
            extensions={"timeout": timeout},
        )
        try:
            return response.status, msgspec.json.decode(response.content)
        except msgspec.DecodeError as error:
            raise errors.ProtocolError(
                f"status {response.status} without JSON; is this an "
                "operators' port?",
                step=f"{method} {path}",
                peer=server,
            ) from error

    def read(self, path):
        """Return the answer to a GET; raises on any refusal."""
        status, answer = self.call("GET", path)
        _raise_refusal(status, answer, path)
        return answer

    def read_table(self, table):
        """Return a table: columns, rows with versions, and index."""
        return self.read(f"/tables/{_quote(table)}")

    def change_row(
        self, table, row, cells, *, expected=None, operation=None, method="PUT"
    ):
        """Set cells of a row, or remove it.

        Args:
            table: the table.
            row: the row.
            cells: values by column.
            expected: version the row must be at; None reads it first.
            operation: id of the change; sent again, it gets the first
                outcome. None makes one.
            method: PUT, or DELETE to remove the row.

        Returns:
            The outcome as a dict.

        Raises:
            errors.ConflictError: the row is at another version.
        """
        if expected is None:
            stored = self.read_table(table)["rows"].get(row)
            expected = stored["version"] if stored else NEW_ROW
        operation = operation or f"op-{uuid.uuid4().hex}"
        path = f"/tables/{_quote(table)}/{_quote(row)}"
        body = {"operation": operation, "expected": expected, "cells": cells}
        status, answer = self._change(method, path, body)
        if status == 409 and answer.get("outcome") == "conflict":
            raise errors.ConflictError(
                f"{answer['detail']}, not {expected}; look at the row and "
                "set it again",
                step="change row",
                peer=f"{table}/{row}",
            )
        _raise_refusal(status, answer, path)
        return answer

    def import_document(self, raw, *, version=None, dry_run=False):
        """Put a document in force, or ask what that would change.

        Args:
            raw: the document as bytes.
            version: to give it; None keeps its own.
            dry_run: change nothing.

        Returns:
            The answer as a dict: faults and changes for a dry run, else
            version and held.

        Raises:
            errors.ConflictError: a version is held that isn't lower.
        """
        query = {} if version is None else {"version": version}
        if dry_run:
            query["dry_run"] = 1
        path = f"/documents?{urllib.parse.urlencode(query)}"
        status, answer = self._change("POST", path, msgspec.Raw(raw))
        _raise_refusal(status, answer, path)
        if not dry_run and answer["outcome"] != "done":
            raise errors.ConflictError(
                f"version {answer['held']} is held; give a higher one with "
                "--version",
                step="import document",
                peer=str(answer["version"]),
            )
        return answer

    def _change(self, method, path, body):
        """Send a change; a lost answer is asked for again, by its id."""
        try:
            status, answer = self.call(method, path, body)
        except errors.UnreachableError:
            return self.call(method, path, body)
        if status == 503:
            return self.call(method, path, body)
        return status, answer


def _quote(text):
    return urllib.parse.quote(text, safe="")


def _raise_refusal(status, answer, path):
    if status < 300:
        return
    fault = answer.get("error") or {}
    if isinstance(fault, str):
        fault = {"message": fault}
    message = fault.get("message") or answer.get("detail") or str(answer)
    if status == 503:
        raise errors.UnreachableError(message, step=path)
    raise errors.CamphorhookError(message, step=path)
