"""The part of the log that a replica holds in memory."""

from camphorhook_common import commands
from camphorhook_daemon.ports import journal as journals


class EntryLog:
    """The log entries after a snapshot, and the voters that they set.

    Attributes:
        base_index: last index that the snapshot covers; 0 without one.
        voters: identity by name, as of the last entry.
        voters_index: index of the entry that set the voters; `base_index`
            if the snapshot did.
        size: bytes of the commands in the entries.
    """

    def __init__(self, checkpoint, entries):
        """Create a log.

        Args:
            checkpoint: the journals.Checkpoint of the snapshot, or None.
            entries: the entries that follow it.
        """
        self._entries = []
        self.reset(checkpoint or journals.Checkpoint(0, 0, {}, b""))
        for entry in entries:
            self.append(entry)

    def __len__(self):
        return len(self._entries)

    def reset(self, checkpoint):
        """Replace the whole log by a snapshot."""
        self._set_base(checkpoint)
        self._entries = []
        self.size = 0
        self._find_voters()

    def _set_base(self, checkpoint):
        self.base_index = checkpoint.index
        self._base_term = checkpoint.term
        self._base_voters = dict(checkpoint.voters)

    @property
    def last_index(self):
        """Index of the last entry, or of the snapshot if none follows it."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry, or of the snapshot if none follows it."""
        return self.get_term(self.last_index)

    def get_term(self, index):
        """Return the term of an index, which is `base_index` or higher."""
        if index == self.base_index:
            return self._base_term
        return self.get(index).term

    def get(self, index):
        """Return the entry at an index, which is above `base_index`."""
        return self._entries[index - self.base_index - 1]

    def read_from(self, index, last_index, max_entries, max_bytes):
        """Return the entries from an index on that fit into one message.

        Args:
            index: of the first entry.
            last_index: index after which no entry is returned.
            max_entries: maximum number of entries.
            max_bytes: maximum size of their commands; the first entry is
                returned whatever its size.
        """
        start = index - self.base_index - 1
        end = min(start + max_entries, last_index - self.base_index)
        found = []
        size = 0
        for entry in self._entries[start:end]:
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def find_tail(self, last_index, max_entries, max_bytes):
        """Return an index after which few entries follow up to another one.

        Args:
            last_index: index of the last entry that counts.
            max_entries: maximum number of entries that may follow.
            max_bytes: maximum size of their commands.
        """
        index = last_index
        lowest = max(self.base_index, last_index - max_entries)
        size = 0
        while index > lowest:
            size += len(self.get(index).data)
            if size > max_bytes:
                break
            index -= 1
        return index

    def append(self, entry):
        """Append an entry, whose index follows the last one."""
        self._entries.append(entry)
        self.size += len(entry.data)
        self._adopt_voters(entry)

    def find_new(self, entries):
        """Return the received entries from the first new one on.

        An entry is new if the log holds none at its index, or one of
        another term.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            known = entry.index <= self.last_index
            if not known or self.get_term(entry.index) != entry.term:
                return entries[position:]
        return []

    def replace_from(self, entries):
        """Replace all entries from the first given one's index on."""
        first = entries[0].index
        if first <= self.last_index:
            del self._entries[first - self.base_index - 1 :]
            self.size = sum(len(entry.data) for entry in self._entries)
            self._find_voters()
        for entry in entries:
            self.append(entry)

    def cut_after(self, index):
        """Remove all entries after an index, which is `base_index` or more."""
        del self._entries[index - self.base_index :]
        self.size = sum(len(entry.data) for entry in self._entries)
        self._find_voters()

    def make_base_checkpoint(self):
        """Return the snapshot's Checkpoint without its data."""
        return journals.Checkpoint(
            self.base_index, self._base_term, self._base_voters, b""
        )

    def plan_compaction(self, index, data):
        """Return a new Checkpoint and the entries that follow it.

        The log itself does not change until `compact`.

        Args:
            index: last index that the new snapshot covers.
            data: the new snapshot.
        """
        voters = dict(self._base_voters)
        covered = index - self.base_index
        for entry in self._entries[:covered]:
            voters = _read_voters(entry) or voters
        checkpoint = journals.Checkpoint(
            index, self.get_term(index), voters, data
        )
        return checkpoint, self._entries[covered:]

    def compact(self, checkpoint, remaining):
        """Apply a planned compaction, once it is stored on disk.

        Args:
            checkpoint: as `plan_compaction` returned it.
            remaining: the entries that follow, also from there.
        """
        self._set_base(checkpoint)
        self._entries = remaining
        self.size = sum(len(entry.data) for entry in remaining)

    def _find_voters(self):
        self.voters = dict(self._base_voters)
        self.voters_index = self.base_index
        for entry in self._entries:
            self._adopt_voters(entry)

    def _adopt_voters(self, entry):
        voters = _read_voters(entry)
        if voters is not None:
            self.voters = voters
            self.voters_index = entry.index


def _read_voters(entry):
    """Return the voters that an entry sets; None if it sets none."""
    if entry.kind != "voters":
        return None
    return commands.decode(entry.kind, entry.data).members
