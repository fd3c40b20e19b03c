"""Crashes of upstreams and the runs that they ended, in bounded memory."""

import collections

# How long blame lasts after the last crash, or the last refused request.
BLAME_SECONDS = 300.0
SETTLE_SECONDS = 0.8  # in which an upstream that runs on answers something
# The runs of a crash that began last are kept, as a request that crashes its
# upstream does so when it begins to run.
MAX_CRASHES = 64
MAX_RUNS = 32  # of one crash


class Run:
    """A run that a crash ended.

    Attributes:
        sent_at: time in seconds at which the request was sent.
        change: number of the change that added it.
    """

    __slots__ = ("sent_at", "change")

    def __init__(self, sent_at, change):
        self.sent_at = sent_at
        self.change = change


class CrashRecord:
    """A crash of an upstream, as known to this instance.

    Attributes:
        at: time of the crash in seconds.
        runs: Run by traits.
        alive_at: time in seconds at which the upstream certainly ran; it did
            not crash before.
        alive_change: number of the change of `alive_at`.
        answered_at: time in seconds at which an answer came from its address
            to a request sent after the crash; 0 for none. It may be that of
            a successor with the same name.
        expires_at: time in seconds.
    """

    def __init__(self, at):
        self.at = at
        self.runs = {}
        self.alive_at = float("-inf")
        self.alive_change = 0
        self.answered_at = 0.0
        self.expires_at = at + BLAME_SECONDS

    def is_refuted(self):
        """Return whether the upstream ran on after the crash."""
        return self.alive_at >= self.at

    def is_unsettled(self, now):
        """Return whether the upstream may still answer.

        One that ran on after its connections were reset may do so again.
        """
        was_reset = float("-inf") < self.alive_at < self.at
        return was_reset and now < self.at + SETTLE_SECONDS

    def admits(self, traits, sent_at):
        """Return whether a run belongs to the crash, is new and is kept.

        What was sent after a crash did not run: the upstream was down.
        """
        if sent_at > self.at or traits in self.runs:
            return False
        if len(self.runs) < MAX_RUNS:
            return True
        return sent_at > min(run.sent_at for run in self.runs.values())

    def add(self, traits, run):
        """Add a Run that the crash admits; the one sent first may go."""
        if len(self.runs) >= MAX_RUNS:
            del self.runs[min(self.runs, key=lambda x: self.runs[x].sent_at)]
        self.runs[traits] = run

    def move_back(self, at):
        """Date the crash back, and drop the runs that were sent after it."""
        self.at = at
        for traits, run in list(self.runs.items()):
            if run.sent_at > at:
                del self.runs[traits]


class CrashRecords:
    """The crashes that an instance knows.

    Attributes:
        crashed_at: time in seconds of the last crash at which a trait was
            present, by trait.
    """

    def __init__(self):
        self._records = collections.OrderedDict()
        self.crashed_at = {}

    def __len__(self):
        return len(self._records)

    def items(self):
        """Return (name and incarnation of the upstream, CrashRecord) pairs."""
        return self._records.items()

    def get(self, name):
        """Return the CrashRecord of an upstream's incarnation, or None."""
        return self._records.get(name)

    def open(self, name, at, blamed):
        """Return the record of a crash at a time; make one if needed.

        It replaces that of an earlier crash which did not happen. A further
        record may evict another.

        Args:
            name: name and incarnation of the upstream.
            at: time in seconds.
            blamed: names of the crashes that are kept if possible.
        """
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = CrashRecord(at)
            if len(self._records) > MAX_CRASHES:
                self.drop([self._find_least_useful(name, blamed)])
        elif record.is_refuted() and at > record.alive_at:
            later = self._records[name] = CrashRecord(at)
            later.alive_at = record.alive_at
            record = later
        return record

    def _find_least_useful(self, newest, blamed):
        """Return the crash to evict: the first to expire without a verdict."""
        others = [name for name in self._records if name != newest]
        return min(
            others,
            key=lambda name: (
                name in blamed,
                not self._records[name].is_refuted(),
                self._records[name].expires_at,
            ),
        )

    def add_run(self, record, traits, run):
        """Add a Run that a record admits."""
        record.add(traits, run)
        self._date_crash(traits, record.at)

    def _date_crash(self, traits, at):
        for trait in traits:
            known = self.crashed_at.get(trait, float("-inf"))
            self.crashed_at[trait] = max(known, at)

    def list_expired(self, now):
        """Return the names of the crashes that no longer matter."""
        return [
            name
            for name, record in self._records.items()
            if record.expires_at <= now
        ]

    def drop(self, names):
        """Remove crashes."""
        for name in names:
            del self._records[name]
        self.crashed_at = {}
        for record in self._records.values():
            for traits in record.runs:
                self._date_crash(traits, record.at)

    def has_run(self, traits):
        """Return whether any known run has all the traits of a frozenset."""
        return any(
            traits.issubset(run)
            for record in self._records.values()
            for run in record.runs
        )

    def renew(self, traits, at):
        """Keep the crashes of runs with all traits for longer.

        Args:
            traits: frozenset of traits.
            at: time in seconds at which a request with them was refused.
        """
        for record in self._records.values():
            if any(traits.issubset(run) for run in record.runs):
                record.expires_at = max(record.expires_at, at + BLAME_SECONDS)
