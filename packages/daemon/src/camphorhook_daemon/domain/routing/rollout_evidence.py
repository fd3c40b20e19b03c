"""Whether the target version of a rollout is bad, by what it answers.

The load: 24 to 300 entry instances see 10 to several thousand requests a
second of a service, of which the target gets a twentieth. A bad version fails
some responses, or sends them several times slower: at once, later, under load
or on one route only. 50 bad responses may pass before it counts.
"""

import collections
import math
import typing
import uuid

from camphorhook_common import wire

CLASSES_PER_OCTAVE = 4  # of times: each is 19 % longer than the one before
MAX_CLASS = 80  # 2**20 ms; slower ones count as this
SLOW_CLASSES = CLASSES_PER_OCTAVE  # twice as long as the old versions'
# Old versions may be slow for 0.15 of the time without being bad. The
# threshold is then still a multiple of their usual time.
SLOW_QUANTILE = 0.75
MIN_COMPARED = 15  # times on a route, for a quantile; more come late at 20/s

EVALUATION_SECONDS = 0.5  # as often as instances report
TICK_SECONDS = 0.1  # least time over which a rate is taken
DECAY_SECONDS = 10.0  # of the old versions' counts, which show the present

# A rate of bad responses above the old versions' by MIN_EXCESS shows within
# some tens of responses, and one of 0.01 by itself is no evidence.
BACKGROUND_RATE = 0.01
BACKGROUND_FACTOR = 1.3  # the old versions' rate is an estimate as well
PRIOR_BAD, PRIOR_ALL = 0.2, 20.0  # assumed of the old versions
MAX_EXCESS = 0.2
# Kind of outcome, and least excess of the rate. The smaller one finds a
# version of which 3 in 100 answers fail before 50 have; it takes some hundred
# answers. Times differ between sound servers more than that.
KINDS = (("failed", 0.05), ("failed", 0.02), ("slow", 0.05))
MAX_RATE = 0.9

# Of a sum of log-likelihood ratios. A sound version exceeds it once in about
# exp(BAD_SCORE) responses, and 7 failures in a row reach it.
BAD_SCORE = 12.0
# A burst within one evaluation is not enough, nor one within two.
MAX_RISE = 5.0
# For lack of time or requests: three or four failures. 4.0 gave 2 false alarms
# in 160 plays of sound versions, this one none in 1,400.
SUSPECT_SCORE = 5.5
REST_SCORE = 4.0  # of upstreams other than the worst

ALL_ROUTES = ""


class Finding(typing.NamedTuple):
    """What the evidence says of a target version.

    Attributes:
        is_bad: it must be rolled back.
        is_suspect: it must be rolled back if there is no time for more.
        score: the highest score, against BAD_SCORE.
        reason: kind and route of that score.
        outcomes: number of outcomes of the target.
        bad: bad ones among them.
    """

    is_bad: bool = False
    is_suspect: bool = False
    score: float = 0.0
    reason: str = ""
    outcomes: int = 0
    bad: int = 0


class Exposure(typing.NamedTuple):
    """Requests sent since the command, as far as reported.

    Attributes:
        sent: to all versions.
        to_target: to the target version.
        rate: requests per second to all versions, lately.
    """

    sent: int
    to_target: int
    rate: float


def classify_time(seconds):
    """Return the class of a time to the first byte or event."""
    if seconds <= 0.001:
        return 0
    octaves = math.log2(seconds * 1000)
    return min(MAX_CLASS, int(CLASSES_PER_OCTAVE * octaves))


class Recorder:
    """Counts that one entry instance keeps of a rollout."""

    def __init__(self, rollout):
        """Create a recorder without counts.

        Args:
            rollout: id of the command that began the rollout.
        """
        self.rollout = rollout
        self._counts = {}

    def _get(self, route, upstream, is_target):
        key = route, is_target, upstream if is_target else ""
        found = self._counts.get(key)
        if found is None:
            found = self._counts[key] = [0, 0, 0, collections.Counter()]
        return found

    def record_sent(self, route, upstream, is_target):
        """Count a request that is sent to an upstream."""
        self._get(route, upstream, is_target)[0] += 1

    def record_outcome(self, route, upstream, is_target, has_failed, seconds):
        """Count an outcome.

        Args:
            route: name of the route.
            upstream: name of the upstream.
            is_target: whether it has the target version.
            has_failed: whether the response is a failure of the upstream.
            seconds: time to its first byte or event; None if that can't be
                compared with others.
        """
        counts = self._get(route, upstream, is_target)
        counts[2 if has_failed else 1] += 1
        if seconds is not None and not has_failed:
            counts[3][classify_time(seconds)] += 1

    def record_time(self, route, upstream, is_target, seconds):
        """Count a time that belongs to no outcome of its own."""
        times = self._get(route, upstream, is_target)[3]
        times[classify_time(seconds)] += 1

    def list_counts(self):
        """Return the totals as wire.RolloutCounts."""
        return [
            wire.RolloutCounts(
                *key, sent, served, failed, sorted(times.items())
            )
            for key, (sent, served, failed, times) in self._counts.items()
        ]


class _Tally:
    """Decaying counts of the old versions on one route."""

    def __init__(self):
        self.served = 0.0
        self.failed = 0.0
        self.times = collections.Counter()

    def decay(self, factor):
        """Multiply all counts by a factor."""
        self.served *= factor
        self.failed *= factor
        for key in self.times:
            self.times[key] *= factor

    def find_slow_class(self):
        """Return the class from which a time is slow; None if unknown."""
        total = sum(self.times.values())
        if total < MIN_COMPARED:
            return None
        seen = 0.0
        for key in sorted(self.times):
            seen += self.times[key]
            if seen >= SLOW_QUANTILE * total:
                return key + SLOW_CLASSES
        return None


class _Score:
    """Cumulative sum of log-likelihood ratios, never below 0."""

    def __init__(self, excess):
        """Create a score of 0.

        Args:
            excess: least rate of bad outcomes, beyond the expected one, that
                the score is to detect.
        """
        self._excess = excess
        self.value = 0.0

    def add(self, bad, total, rate):
        """Add outcomes.

        Args:
            bad: number of bad outcomes.
            total: number of outcomes.
            rate: expected rate of bad ones if the version is sound.
        """
        excess = min(MAX_EXCESS, max(self._excess, rate))
        bad_rate = min((1 + MAX_RATE) / 2, rate + excess)
        change = bad * math.log(bad_rate / rate)
        change += (total - bad) * math.log((1 - bad_rate) / (1 - rate))
        self.value = max(0.0, self.value + min(MAX_RISE, change))


class _Scores:
    """Scores of one kind of outcome on a route, or on all.

    Attributes:
        whole: the _Score of all upstreams together.
        single: the _Score of each upstream.
    """

    def __init__(self, excess):
        self.whole = _Score(excess)
        self.single = collections.defaultdict(lambda: _Score(excess))

    def measure_rest(self):
        """Return the sum of all upstreams' scores but the highest."""
        values = [one.value for one in self.single.values()]
        return sum(values) - max(values, default=0.0)


def _count_events(one):
    """Return the number of events in wire.RolloutCounts; it only grows."""
    return one.sent + one.served + one.failed + sum(n for _, n in one.times)


class Sums:
    """Counts of a rollout over instances, and the verdict on its target.

    Attributes:
        name: id of these sums; others know nothing of their counts.
        finding: the last Finding.
    """

    def __init__(self, now):
        """Create sums without counts.

        Args:
            now: time in seconds.
        """
        self.name = uuid.uuid4().hex[:12]
        self._reports = {}
        self._targets = {}
        self._old = collections.defaultdict(_Tally)
        self._new = (
            {}
        )  # since the last evaluation: (route, upstream) to counts
        self._scores = {}
        self._evaluated_at = now
        self._sent = self._to_target = self._sent_before = 0
        self._rate = 0.0
        self._outcomes = self._bad = 0
        self.finding = Finding()

    def apply(self, report):
        """Add what a report has beyond the last one of the same process.

        Args:
            report: the wire.ReportRollout.
        """
        self._targets[report.instance] = report.targets
        known = self._reports.setdefault((report.instance, report.run), {})
        for one in report.counts:
            key = one[:3]
            last = known.get(key)
            # Reports may arrive in another order than they were sent in.
            if last is not None and _count_events(one) <= _count_events(last):
                continue
            known[key] = one
            self._add(
                one, last or one._replace(sent=0, served=0, failed=0, times=[])
            )

    def _add(self, one, last):
        sent = one.sent - last.sent
        self._sent += sent
        if one.is_target:
            self._to_target += sent
        served = max(0, one.served - last.served)
        failed = max(0, one.failed - last.failed)
        times = collections.Counter(dict(one.times))
        times.subtract(dict(last.times))
        if not one.is_target:
            tally = self._old[one.route]
            tally.served += served
            tally.failed += failed
            tally.times.update(times)
            return
        place = one.route, one.upstream
        counts = self._new.setdefault(place, [0, 0, collections.Counter()])
        counts[0] += served
        counts[1] += failed
        counts[2].update(times)

    def measure_exposure(self):
        """Return the Exposure."""
        return Exposure(self._sent, self._to_target, self._rate)

    def evaluate(self, now, is_last=False):
        """Judge what was added since the last evaluation, if it is due.

        Args:
            now: time in seconds.
            is_last: whether the rollout ends now, so that it is due.

        Returns:
            The Finding.
        """
        elapsed = now - self._evaluated_at
        if elapsed < EVALUATION_SECONDS and not (is_last and self._new):
            return self.finding
        self._evaluated_at = now
        rate = (self._sent - self._sent_before) / max(elapsed, TICK_SECONDS)
        # A burst of late reports counts half, so does their absence.
        self._rate = (self._rate + rate) / 2 if self._sent_before else rate
        self._sent_before = self._sent
        self._judge()
        factor = math.exp(-elapsed / DECAY_SECONDS)
        for tally in self._old.values():
            tally.decay(factor)
        self._new = {}
        return self.finding

    def _judge(self):
        """Add new outcomes to the scores, and set the finding."""
        rows = [
            (kind, route, upstream, bad, total)
            for (route, upstream), counts in self._new.items()
            for kind, bad, total in self._count_bad(route, counts)
        ]
        groups = collections.defaultdict(dict)
        for kind, route, upstream, bad, total in rows:
            self._bad += bad
            self._outcomes += total if kind == "failed" else 0
            for group in (route, ALL_ROUTES):
                counts = groups[kind, group]
                before = counts.get(upstream, (0, 0))
                counts[upstream] = before[0] + bad, before[1] + total
        for (kind, route), counts in groups.items():
            expected = self._estimate_rate(kind, route)
            whole = [sum(one) for one in zip(*counts.values())]
            for one in KINDS:
                if one[0] != kind:
                    continue
                scores = self._scores.setdefault((one, route), _Scores(one[1]))
                scores.whole.add(*whole, expected)
                for upstream, sums in counts.items():
                    scores.single[upstream].add(*sums, expected)
        self.finding = self._conclude()

    def _count_bad(self, route, counts):
        """Return (kind, bad, total) for each kind that can be judged."""
        served, failed, times = counts
        found = [("failed", failed, served + failed)]
        slow_class = self._old[route].find_slow_class()
        if slow_class is not None:
            slow = sum(n for one, n in times.items() if one > slow_class)
            found.append(("slow", slow, sum(times.values())))
        return found

    def _estimate_rate(self, kind, route):
        """Return the rate of bad outcomes expected of a sound version."""
        bad, total = PRIOR_BAD, PRIOR_ALL
        for name, tally in self._old.items():
            if route not in (name, ALL_ROUTES):
                continue
            if kind == "failed":
                bad += tally.failed
                total += tally.served + tally.failed
                continue
            slow_class = tally.find_slow_class()
            if slow_class is not None:
                bad += sum(
                    n for one, n in tally.times.items() if one > slow_class
                )
                total += sum(tally.times.values())
        rate = BACKGROUND_RATE + BACKGROUND_FACTOR * bad / total
        return min(MAX_RATE, rate)

    def _conclude(self):
        """Return the Finding by the scores as they are."""
        targets = max(self._targets.values(), default=0)
        is_bad = is_suspect = False
        score, reason = 0.0, ""
        for ((kind, _), route), scores in self._scores.items():
            whole, rest = scores.whole.value, scores.measure_rest()
            # A single failing upstream is no fault of the version.
            is_bad |= whole >= BAD_SCORE and (
                targets < 2 or rest >= REST_SCORE
            )
            is_suspect |= whole >= SUSPECT_SCORE and (targets < 2 or rest > 0)
            if whole > score:
                score = whole
                reason = f"{kind} on {route or 'all routes'}"
        return Finding(
            is_bad, is_suspect, score, reason, self._outcomes, self._bad
        )
