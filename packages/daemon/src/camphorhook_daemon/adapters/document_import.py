"""The HTTP interface through which operators import a routing document."""

import urllib.parse

from camphorhook_common import numerals
from camphorhook_daemon.domain.routing import differences

TARGET = "/documents"


class DocumentImporter:
    """Imports documents that the operators' client sends.

    A dry run reports the faults of a document, or the changes that it would
    make, and imports nothing.
    """

    def __init__(self, documents, read_last, submit):
        """Create an importer.

        Args:
            documents: the module that parses documents, with `read`,
                `list_faults` and `set_version`.
            read_last: async function that returns the newest committed
                Document, or None.
            submit: async function that commits a document and returns its
                version and the Outcome.
        """
        self._documents = documents
        self._read_last = read_last
        self._submit = submit

    async def answer(self, exchange, query):
        """Return (status, body) of the answer to an import.

        Args:
            exchange: the exchanges.Exchange, with the document as its body.
            query: query string; `version` replaces the document's version,
                `dry_run` requests a dry run.
        """
        if exchange.method != "POST":
            return 405, {"error": "send the document with the method POST"}
        options = urllib.parse.parse_qs(query, keep_blank_values=True)
        body = exchange.body
        if "version" in options:
            version = numerals.parse_unsigned(options["version"][0])
            if version is None:
                return 400, {"error": "version must be a whole number"}
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
        """Return a document's faults, or its changes if it has none.

        There are no changes if the committed document is as new.
        """
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
