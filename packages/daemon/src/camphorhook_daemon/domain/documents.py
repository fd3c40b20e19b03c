"""The last routing documents, to send what changed instead of all of it."""

import collections
import typing

from camphorhook_common import deltas

KEPT = 4  # documents; a watcher that knows an older one gets it whole


class Document(typing.NamedTuple):
    """A document that took effect.

    Attributes:
        index: of its entry in the log.
        version: that its author gave it.
        raw: the document as sent.
    """

    index: int
    version: int
    raw: bytes


class DocumentHistory:
    """The newest documents, the last of them in force."""

    def __init__(self):
        self._kept = collections.deque(maxlen=KEPT)
        self._deltas = {}

    def add(self, index, version, raw):
        """Take up a document that took effect."""
        self._kept.append(Document(index, version, raw))
        self._deltas.clear()

    def get_last(self):
        """Return the Document in force, or None."""
        return self._kept[-1] if self._kept else None

    def make_cells(self, index):
        """Return the cells that lead a watcher on to what is in force.

        Args:
            index: state of the log that the watcher knows.

        Returns:
            Cells with the version, and with the version and delta to lead
            on from; or None when it must get the document whole.
        """
        known = [one for one in self._kept if one.index <= index]
        last = self.get_last()
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
    """Return (version, raw document) of a row's cells.

    Args:
        cells: of the whole document, or of `make_cells`.
        known: (version, raw document) that the reader has, or None.

    Raises:
        errors.ProtocolError: they don't lead on from it.
    """
    if "base" not in cells:
        return cells["version"], deltas.unpack(cells["body"])
    raw = known[1] if known else b""
    return cells["version"], deltas.apply(raw, cells["delta"])
