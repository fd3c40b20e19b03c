"""The latest routing documents, kept to send deltas to watchers."""

import collections
import typing

from camphorhook_common import deltas

MAX_DOCUMENTS = 4  # a watcher with an older one is sent the whole new one


class Document(typing.NamedTuple):
    """A document that was applied.

    Attributes:
        index: log index of its entry.
        version: the version that its author gave it.
        raw: the document as it was sent, in bytes.
    """

    index: int
    version: int
    raw: bytes


class DocumentHistory:
    """The latest documents; the last one is in force."""

    def __init__(self):
        self._documents = collections.deque(maxlen=MAX_DOCUMENTS)
        self._deltas = {}

    def add(self, index, version, raw):
        """Add a document that was applied.

        Args:
            index: log index of its entry.
            version: the version that its author gave it.
            raw: the document in bytes.
        """
        self._documents.append(Document(index, version, raw))
        self._deltas.clear()

    def get_latest(self):
        """Return the Document in force, or None."""
        return self._documents[-1] if self._documents else None

    def make_delta_cells(self, index):
        """Return the cells that bring a watcher to the document in force.

        Args:
            index: log index of the watcher's state.

        Returns:
            Cells with the version, the base version and the delta from that
            base. None if the watcher's document is no longer kept, or is
            the one in force already.
        """
        known = [one for one in self._documents if one.index <= index]
        last = self.get_latest()
        if not known or known[-1] is last:
            return None
        base = known[-1]
        if base.version not in self._deltas:
            self._deltas[base.version] = deltas.make(base.raw, last.raw)
        return {
            "version": last.version,
            "base": base.version,
            "delta": self._deltas[base.version],
        }


def read_cells(cells, known):
    """Return (version, raw document) from a row's cells.

    Args:
        cells: those of a whole document, or those of `make_delta_cells`.
        known: (version, raw document) that the reader holds, or None.

    Raises:
        errors.ProtocolError: the document can't be unpacked, or the delta
            was made from another document than the known one.
    """
    if "base" not in cells:
        return cells["version"], deltas.unpack(cells["body"])
    raw = known[1] if known else b""
    return cells["version"], deltas.apply(raw, cells["delta"])
