"""Records of crashes that instances exchange, and what they refuse for them.

Each instance records the runs that a crash of an upstream ended, and what
was answered completely. Instances exchange these records, and each decides by
`verdicts` which requests to refuse. Merging is commutative and idempotent, so
that the records may arrive in any order and repeatedly.
"""

import collections
import typing

import trio
import xxhash

from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import crash_records
from camphorhook_daemon.domain import verdicts

SECONDS_PER_MS = 0.001
# Until the last registration of a crashed upstream has expired everywhere.
CONFIRMATION_HEARTBEATS = 4
CONFIRMATION_SECONDS = 4.0
SUCCESSOR_SECONDS = 0.5  # for a registration to reach every instance
RENEWAL_SECONDS = 20.0  # between two notices of refusals for one cause
MAX_NEWS = 96  # changes in one message: 5 kB
# With more crashes than FEW_CRASHES, verdicts take milliseconds to compute and
# are updated at intervals, as each run of a crash arrives separately.
FEW_CRASHES = 8
JUDGE_INTERVAL_SECONDS = 0.1
MAX_ANSWERED = 2048  # parts of prompts that were answered lately


def format_incarnation(upstream):
    """Return the text that identifies an incarnation of an upstream."""
    return f"{upstream.name}/{upstream.incarnation}"


class Blame(typing.NamedTuple):
    """Why a request is refused.

    Attributes:
        crashes: number of crashes that are blamed on such requests.
        seconds: time until they are no longer refused, if none comes.
    """

    crashes: int
    seconds: float


class CrashEvidence:
    """Crashes known to this instance, and the verdicts on them.

    Attributes:
        state_changed: trio.Event, set and replaced when there is something
            to publish.
    """

    def __init__(self, limit, now):
        """Create an empty record.

        Args:
            limit: crashes from which on a request is blamed.
            now: function that returns the time in seconds.
        """
        self._limit = limit
        self._now = now
        self._records = crash_records.CrashRecords()
        # Last complete answer, by trait of the recorded crashes.
        self._sound_at = {}
        self._sound_changes = {}
        self._answered_at = collections.OrderedDict()
        self._refused_at = {}
        self._refusal_changes = {}
        self._change = 0
        self._verdicts = []
        self._is_judged = True
        self._judged_at = float("-inf")
        self._settles_at = float("inf")
        self.state_changed = trio.Event()

    # --- what this instance sees -------------------------------------------

    def record_crash(self, upstream, traits, seconds):
        """Record a run whose connection broke before its answer was complete.

        Args:
            upstream: record of the upstream, with name and incarnation.
            traits: traits of the request.
            seconds: time since the request was sent.

        Returns:
            False if it was known.
        """
        name = format_incarnation(upstream)
        now = self._now()
        record = self._open_record(name, now)
        return self._add_run(record, tuple(traits), now - seconds, True)

    def record_answer(self, upstream, sent_at):
        """Record that an upstream answered a request that was sent at a time.

        An upstream that answers what was sent after its crash did not crash:
        its connections were reset. If it has started again under its name,
        its new registration will tell; see `retract_surviving`.
        """
        if self._records:
            record = self._records.get(format_incarnation(upstream))
            if record is not None and sent_at > record.at:
                record.answered_at = record.answered_at or self._now()

    def retract_crash(self, name):
        """Remove a crash that did not happen.

        Args:
            name: name and incarnation of the upstream.
        """
        record = self._records.get(name)
        if record is not None:
            self._refute(name, record, record.at)

    def _refute(self, name, record, alive_at):
        if not record.is_refuted():
            record.alive_at = alive_at
            record.alive_change = self._number_change(True)
            logs.log(
                "info", "the upstream did not crash", step="blame", peer=name
            )

    def retract_surviving(self, is_registered, heartbeat_seconds):
        """Retract crashes of incarnations that still register.

        A registration from before the crash may still hold, so a crash is
        checked only once that must have expired; if there was an answer, once
        a successor must have registered.

        Args:
            is_registered: function of a name and an incarnation.
            heartbeat_seconds: interval of an upstream's registrations.
        """
        delay = CONFIRMATION_SECONDS + CONFIRMATION_HEARTBEATS * (
            heartbeat_seconds
        )
        short_delay = SUCCESSOR_SECONDS + heartbeat_seconds
        now = self._now()
        for name, record in self._records.items():
            is_due = now - record.at > delay or (
                record.answered_at and now - record.answered_at > short_delay
            )
            if is_due and not record.is_refuted():
                upstream, _, incarnation = name.rpartition("/")
                if is_registered(upstream, int(incarnation)):
                    alive_at = max(record.at, record.answered_at)
                    self._refute(name, record, alive_at)

    def record_success(self, traits):
        """Record that a request with these traits was answered completely."""
        now = self._now()
        for trait in traits[1:]:
            self._answered_at[trait] = now
            self._answered_at.move_to_end(trait)
        while len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        for trait in traits:
            crashed_at = self._records.crashed_at.get(trait, float("-inf"))
            if crashed_at > self._sound_at.get(trait, float("-inf")):
                self._mark_sound(trait, now, True)

    def _mark_sound(self, trait, at, publishes):
        self._sound_at[trait] = at
        change = self._number_change(publishes)
        self._sound_changes[trait] = max(
            change, self._sound_changes.get(trait, 0)
        )

    # --- decisions ---------------------------------------------------------

    def find_blame(self, traits):
        """Return the Blame for which a request is refused, or None.

        Args:
            traits: traits of the request.
        """
        for verdict in self._judge():
            if verdict.traits.issubset(traits):
                left = self._find_expiry(verdict) - self._now()
                return Blame(len(verdict.upstreams), max(1.0, left))
        return None

    def has_verdicts(self):
        """Return whether any request is refused at present."""
        return bool(self._judge())

    def record_refusal(self, traits):
        """Record that a request was refused; blame lasts longer then."""
        now = self._now()
        for verdict in self._judge():
            if verdict.traits.issubset(traits):
                known = self._refused_at.get(verdict.traits, float("-inf"))
                if now - known >= RENEWAL_SECONDS:
                    self._renew(verdict.traits, now, True)

    def count_crashes(self, trait):
        """Return the crashes since the last complete answer with a trait."""
        sound_at = self._sound_at.get(trait, float("-inf"))
        return sum(
            1
            for _, record in self._records.items()
            if not record.is_refuted()
            and record.at > sound_at
            and any(trait in traits for traits in record.runs)
        )

    def _judge(self):
        now = self._now()
        is_due = len(self._records) <= FEW_CRASHES or (
            now - self._judged_at >= JUDGE_INTERVAL_SECONDS
        )
        if now >= self._settles_at:
            self._is_judged = False
        if not self._is_judged and is_due:
            self._is_judged = True
            self._judged_at = now
            self._settles_at = min(
                (
                    record.at + crash_records.SETTLE_SECONDS
                    for _, record in self._records.items()
                    if record.is_unsettled(now)
                ),
                default=float("inf"),
            )
            before = {verdict.traits for verdict in self._verdicts}
            self._verdicts = verdicts.judge(
                [
                    verdicts.Crash(
                        name,
                        record.at,
                        tuple(
                            verdicts.CrashedRun(traits, run.sent_at)
                            for traits, run in record.runs.items()
                        ),
                    )
                    for name, record in self._records.items()
                    if not record.is_refuted() and not record.is_unsettled(now)
                ],
                self._sound_at,
                self._limit,
            )
            self._log_verdicts(before)
        return self._verdicts

    def _log_verdicts(self, before):
        for verdict in self._verdicts:
            if verdict.traits not in before:
                logs.log(
                    "warning",
                    "requests that crash upstreams are refused",
                    step="blame",
                    inputs={
                        "traits": [f"{one:x}" for one in verdict.traits],
                        "crashed": sorted(verdict.upstreams),
                    },
                )
        after = {verdict.traits for verdict in self._verdicts}
        for traits in before - after:
            logs.log(
                "info",
                "requests are no longer refused because of crashes",
                step="blame",
                inputs={"traits": [f"{one:x}" for one in traits]},
            )

    def _find_expiry(self, verdict):
        return max(
            record.expires_at
            for name, record in self._records.items()
            if name in verdict.upstreams
        )

    # --- exchange ----------------------------------------------------------

    def collect_changes(self, sender, since):
        """Return the oldest changes here, as (wire.CrashNews or None, cursor).

        Args:
            sender: name of this instance.
            since: cursor of the last call; 0 at first.
        """
        if since == self._change:
            return None, since
        changes = sorted(
            change for change in self._list_changes() if change > since
        )[:MAX_NEWS]
        if not changes:
            return None, self._change
        return self._make_news(sender, since, changes[-1]), changes[-1]

    def _list_changes(self):
        for _, record in self._records.items():
            yield record.alive_change
            for run in record.runs.values():
                yield run.change
        yield from self._sound_changes.values()
        yield from self._refusal_changes.values()

    def _make_news(self, sender, since, until):
        """Return wire.CrashNews of the changes after one and up to another."""
        now = self._now()

        def is_new(change):
            return since < change <= until

        crashes = []
        for name, record in self._records.items():
            runs = [
                wire.CrashedRun(
                    _convert_to_ms(record.at - run.sent_at), traits
                )
                for traits, run in record.runs.items()
                if is_new(run.change)
            ]
            if runs or is_new(record.alive_change):
                has_run_on = record.alive_at > float("-inf")
                crashes.append(
                    wire.Crash(
                        name,
                        _convert_to_ms(now - record.at),
                        _convert_to_ms(record.expires_at - now),
                        (
                            _convert_to_ms(now - record.alive_at)
                            if has_run_on
                            else -1
                        ),
                        runs,
                    )
                )
        return wire.CrashNews(
            sender,
            crashes,
            [
                wire.SoundTrait(trait, _convert_to_ms(now - at))
                for trait, at in self._sound_at.items()
                if is_new(self._sound_changes[trait])
            ],
            [
                wire.Refusal(tuple(traits), _convert_to_ms(now - at))
                for traits, at in self._refused_at.items()
                if is_new(self._refusal_changes[traits])
            ],
        )

    def make_comparison(self, sender):
        """Return the wire.ReadCrashes of the instance `sender`."""
        return wire.ReadCrashes(sender, self.compute_fingerprint())

    def answer(self, sender, request):
        """Return the wire.CrashNews that answers wire.ReadCrashes.

        Args:
            sender: name of this instance.
            request: the wire.ReadCrashes.
        """
        if request.fingerprint == self.compute_fingerprint():
            return wire.CrashNews(sender, [], [], [])
        return self._make_news(sender, -1, self._change)

    def merge(self, news, publishes):
        """Add the wire.CrashNews of another instance.

        Args:
            news: the wire.CrashNews.
            publishes: whether this instance passes on what is new.

        Returns:
            True if something was new.
        """
        now = self._now()
        is_new = False
        for crash in news.crashes:
            is_new |= self._merge_crash(crash, publishes)
        for trait, age_ms in news.sound:
            at = now - age_ms * SECONDS_PER_MS
            is_new |= self._merge_sound(trait, at, publishes)
        for traits, age_ms in news.refusals:
            at = now - age_ms * SECONDS_PER_MS
            is_new |= self._merge_refusal(frozenset(traits), at, publishes)
        return is_new

    def _merge_crash(self, crash, publishes):
        if crash.left_ms <= 0:
            return False
        now = self._now()
        at = now - crash.age_ms * SECONDS_PER_MS
        record = self._open_record(crash.upstream, at)
        record.expires_at = max(
            record.expires_at, now + crash.left_ms * SECONDS_PER_MS
        )
        is_new = False
        if at > record.alive_at:
            if at < record.at:
                record.move_back(at)
            for ms, traits in crash.runs:
                sent_at = at - ms * SECONDS_PER_MS
                is_new |= self._add_run(
                    record, tuple(traits), sent_at, publishes
                )
        alive_at = now - crash.alive_ms * SECONDS_PER_MS
        if crash.alive_ms >= 0 and alive_at > record.alive_at:
            is_new |= not record.is_refuted()
            record.alive_at = alive_at
            if record.is_refuted():
                record.alive_change = self._number_change(publishes)
        return is_new

    def _merge_sound(self, trait, at, publishes):
        known = self._sound_at.get(trait, float("-inf"))
        crashed_at = self._records.crashed_at.get(trait)
        if at <= known or crashed_at is None:
            return False
        is_news = known < crashed_at
        self._mark_sound(trait, at, publishes and is_news)
        return is_news

    def _merge_refusal(self, traits, at, publishes):
        known = self._refused_at.get(traits, float("-inf"))
        if at - known < RENEWAL_SECONDS / 2:
            return False
        if not self._records.has_run(traits):
            return False
        self._renew(traits, at, publishes)
        return True

    def compute_fingerprint(self):
        """Return a hash of the records; instances that agree have the same."""
        text = ";".join(
            f"{name} {len(record.runs)} {record.is_refuted()}"
            for name, record in sorted(self._records.items())
        )
        return xxhash.xxh3_64_intdigest(text.encode())

    # --- records -----------------------------------------------------------

    def evict_expired(self):
        """Drop crashes, and what belongs to them, that no longer matter."""
        expired = self._records.list_expired(self._now())
        if not expired:
            return
        self._records.drop(expired)
        self._drop_unknown()

    def _drop_unknown(self):
        """Drop what belongs to crashes that were dropped."""
        self._is_judged = False
        known = self._records.crashed_at.keys()
        for trait in self._sound_at.keys() - known:
            del self._sound_at[trait], self._sound_changes[trait]
        for traits in list(self._refused_at):
            if not traits <= known:
                del self._refused_at[traits], self._refusal_changes[traits]

    def _open_record(self, name, at):
        blamed = {
            upstream
            for verdict in self._verdicts
            for upstream in verdict.upstreams
        }
        before = len(self._records)
        is_known = self._records.get(name) is not None
        record = self._records.open(name, at, blamed)
        if not is_known and len(self._records) == before:
            self._drop_unknown()
        return record

    def _add_run(self, record, traits, sent_at, publishes):
        """Add a run to a crash; return whether it was not known."""
        if not record.admits(traits, sent_at):
            return False
        run = crash_records.Run(sent_at, self._number_change(publishes))
        self._records.add_run(record, traits, run)
        for trait in traits:
            answered_at = self._answered_at.get(trait)
            if answered_at is not None and trait not in self._sound_at:
                self._mark_sound(trait, answered_at, True)
        return True

    def _renew(self, traits, at, publishes):
        self._refused_at[traits] = at
        self._records.renew(traits, at)
        self._refusal_changes[traits] = self._number_change(publishes)

    def _number_change(self, publishes):
        """Return the number of a change; 0 if it is not to be published."""
        self._is_judged = False
        if not publishes:
            return 0
        self._change += 1
        self.state_changed.set()
        self.state_changed = trio.Event()
        return self._change


def _convert_to_ms(seconds):
    return max(0, int(seconds / SECONDS_PER_MS))
