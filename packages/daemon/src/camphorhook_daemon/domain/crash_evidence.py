"""What instances tell each other about crashes, and whom they blame.

Each instance records the runs that a crash of an upstream ended, and what
was answered completely. Instances exchange these records, and each decides by
`verdicts` which requests to refuse. Merging is commutative and idempotent, so
that the records may arrive in any order, repeatedly and by any way.
"""

import collections
import typing

import trio
import xxhash

from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import verdicts

SECONDS_PER_MS = 0.001
# How long blame lasts after the last crash, or the last refused request.
BLAME_SECONDS = 300.0
# Until the last registration of a crashed upstream has expired everywhere.
CONFIRMATION_HEARTBEATS = 4
CONFIRMATION_SECONDS = 4.0
RENEWAL_SECONDS = 20.0  # between two notices of refusals for one cause
# Bounds of the records. The runs of a crash that began last are kept, as a
# request that crashes its upstream does so when it begins to run.
MAX_CRASHES = 64
MAX_RUNS = 32  # of one crash
MAX_NEWS = 96  # changes in one message: 5 kB
SETTLE_SECONDS = 0.8  # in which an upstream that runs on answers something
# Many crashes take milliseconds to judge, and their runs come one by one.
FEW_CRASHES = 8
JUDGE_INTERVAL_SECONDS = 0.1
MAX_PARTS = 16  # of one prompt
MAX_ANSWERED = 2048  # parts of prompts that were answered lately


def hash_request(account, method, target, body):
    """Return the digest of a request, the first of its traits.

    Args:
        account: name of the client account.
        method: HTTP method.
        target: path and query.
        body: the complete body.
    """
    head = f"{account}\0{method}\0{target}\0".encode()
    return xxhash.xxh3_64_intdigest(head + body)


def hash_parts(parts):
    """Return the traits of a prompt's shared parts, given their ids.

    Of a long prompt the first and the last parts count.
    """
    if len(parts) > MAX_PARTS:
        parts = (*parts[: MAX_PARTS // 2], *parts[-MAX_PARTS // 2 :])
    return tuple(
        xxhash.xxh3_64_intdigest(b"part\0" + part.encode()) for part in parts
    )


def format_incarnation(upstream):
    """Return the text that identifies an incarnation of an upstream."""
    return f"{upstream.name}/{upstream.incarnation}"


class _Run:
    """A run that a crash ended.

    Attributes:
        sent_at: time in seconds at which the request was sent.
        change: number of the change that added it.
    """

    __slots__ = ("sent_at", "change")

    def __init__(self, sent_at, change):
        self.sent_at = sent_at
        self.change = change


class _Record:
    """A crash of an upstream, as known to this instance.

    Attributes:
        at: time of the crash in seconds.
        runs: _Run by traits.
        alive_at: time in seconds at which the upstream certainly ran; it did
            not crash before.
        alive_change: number of the change of `alive_at`.
        expires_at: time in seconds.
    """

    def __init__(self, at):
        self.at = at
        self.runs = {}
        self.alive_at = float("-inf")
        self.alive_change = 0
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
        self._records = collections.OrderedDict()
        # Traits of recorded crashes: last crash, last complete answer.
        self._crashed_at = {}
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
        its connections were reset.
        """
        if self._records:
            name = format_incarnation(upstream)
            record = self._records.get(name)
            if record is not None and sent_at > record.at:
                self._refute(name, record, sent_at)

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
        checked only once that must have expired.

        Args:
            is_registered: function of a name and an incarnation.
            heartbeat_seconds: interval of an upstream's registrations.
        """
        delay = CONFIRMATION_SECONDS + CONFIRMATION_HEARTBEATS * (
            heartbeat_seconds
        )
        for name, record in self._records.items():
            if not record.is_refuted() and self._now() - record.at > delay:
                upstream, _, incarnation = name.rpartition("/")
                if is_registered(upstream, int(incarnation)):
                    self.retract_crash(name)

    def record_success(self, traits):
        """Record that a request with these traits was answered completely."""
        now = self._now()
        for trait in traits[1:]:
            self._answered_at[trait] = now
            self._answered_at.move_to_end(trait)
        while len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        for trait in traits:
            if self._crashed_at.get(trait, float("-inf")) > (
                self._sound_at.get(trait, float("-inf"))
            ):
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
            for record in self._records.values()
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
                    record.at + SETTLE_SECONDS
                    for record in self._records.values()
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
        for record in self._records.values():
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
                self._move_back(record, at)
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
        crashed_at = self._crashed_at.get(trait)
        if at <= known or crashed_at is None:
            return False
        is_news = known < crashed_at
        self._mark_sound(trait, at, publishes and is_news)
        return is_news

    def _merge_refusal(self, traits, at, publishes):
        known = self._refused_at.get(traits, float("-inf"))
        if at - known < RENEWAL_SECONDS / 2 or not self._is_known(traits):
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
        now = self._now()
        for name, record in list(self._records.items()):
            if record.expires_at <= now:
                self._drop(name)

    def _drop(self, name):
        del self._records[name]
        self._is_judged = False
        self._crashed_at = {}
        for record in self._records.values():
            for traits in record.runs:
                self._date_crash(traits, record.at)
        for trait in list(self._sound_at):
            if trait not in self._crashed_at:
                del self._sound_at[trait], self._sound_changes[trait]
        for traits in list(self._refused_at):
            if not traits <= self._crashed_at.keys():
                del self._refused_at[traits], self._refusal_changes[traits]

    def _open_record(self, name, at):
        """Return the record of a crash at a time; make one if needed.

        It replaces that of an earlier crash which did not happen. A further
        record may evict another.
        """
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _Record(at)
            if len(self._records) > MAX_CRASHES:
                self._drop(self._find_least_useful(name))
        elif record.is_refuted() and at > record.alive_at:
            later = self._records[name] = _Record(at)
            later.alive_at = record.alive_at
            record = later
        return record

    def _find_least_useful(self, newest):
        """Return the crash that ends first, of those nobody is blamed for."""
        blamed = {
            name for verdict in self._verdicts for name in verdict.upstreams
        }
        others = [name for name in self._records if name != newest]
        return min(
            others,
            key=lambda name: (
                name in blamed,
                not self._records[name].is_refuted(),
                self._records[name].expires_at,
            ),
        )

    def _move_back(self, record, at):
        """Date a crash back, and drop the runs that were sent after it."""
        record.at = at
        for traits, run in list(record.runs.items()):
            if run.sent_at > at:
                del record.runs[traits]

    def _add_run(self, record, traits, sent_at, publishes):
        """Add a run to a crash; return whether it was not known.

        What was sent after a crash did not run: the upstream was down.
        """
        if sent_at > record.at or traits in record.runs:
            return False
        if len(record.runs) >= MAX_RUNS:
            first = min(record.runs, key=lambda one: record.runs[one].sent_at)
            if sent_at <= record.runs[first].sent_at:
                return False
            del record.runs[first]
        record.runs[traits] = _Run(sent_at, self._number_change(publishes))
        self._date_crash(traits, record.at)
        for trait in traits:
            answered_at = self._answered_at.get(trait)
            if answered_at is not None and trait not in self._sound_at:
                self._mark_sound(trait, answered_at, True)
        return True

    def _date_crash(self, traits, at):
        for trait in traits:
            known = self._crashed_at.get(trait, float("-inf"))
            self._crashed_at[trait] = max(known, at)

    def _renew(self, traits, at, publishes):
        self._refused_at[traits] = at
        for record in self._records.values():
            if any(traits.issubset(run) for run in record.runs):
                record.expires_at = max(record.expires_at, at + BLAME_SECONDS)
        self._refusal_changes[traits] = self._number_change(publishes)

    def _is_known(self, traits):
        return any(
            traits.issubset(run)
            for record in self._records.values()
            for run in record.runs
        )

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
