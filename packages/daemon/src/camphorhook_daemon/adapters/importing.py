"""The own interface for operators' documents: import, and a dry run."""

import urllib.parse

from camphorhook_common import numerals
from camphorhook_daemon.domain.routing import differences

TARGET = "/documents"


class DocumentImports:
    """Answers the operators' client that imports whole documents."""

    def __init__(self, documents, read_last, submit):
        """Create it.

        Args:
            documents: reads documents: `read`, `list_faults`,
                `set_version`.
            read_last: async function that returns the newest Document, or
                None.
            submit: async function that commits a document and returns its
                version and the Outcome.
        """
        self._documents = documents
        self._read_last = read_last
        self._submit = submit

    async def answer(self, exchange, query):
        """Return (status, body) for an import.

        Args:
            exchange: the request, with the document as its body.
            query: may hold a version to give the document, and dry_run.
        """
        if exchange.method != "POST":
            return 405, {"error": "use POST with a document"}
        options = urllib.parse.parse_qs(query, keep_blank_values=True)
        body = exchange.body
        if "version" in options:
            version = numerals.parse_unsigned(options["version"][0])
            if version is None:
                return 400, {"error": "version: give a whole number"}
            body = self._documents.set_version(body, version)
        if "dry_run" in options:
            return 200, await self._preview(body)
        version, outcome = await self._submit(body)
        return 200, {
            "outcome": outcome.code,
            "version": version,
            "held": outcome.version,
        }

    async def _preview(self, body):
        """Return faults of a document, or else the changes it would make."""
        faults = self._documents.list_faults(body)
        last = await self._read_last()
        held = self._documents.read(last.raw) if last else None
        preview = {"faults": faults, "held": held.version if held else None}
        if faults:
            return preview
        table = self._documents.read(body)
        changes = differences.list_changes(held, table)
        if held is not None and table.version <= held.version:
            changes = []
        return {**preview, "version": table.version, "changes": changes}
