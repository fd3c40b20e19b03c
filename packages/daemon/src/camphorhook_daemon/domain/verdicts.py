"""Decides which requests cause the crashes of upstreams.

Every run that a crash ended is a suspect, and most of them merely ran beside
the cause. The cause is what the crashes share and what requests that are
answered do not have: a whole request that is repeated, or a part of the
prompts of different ones. These rules keep others from being blamed:

* Crashes that come together count once. A crash counts for a trait only if a
  run with it was sent after the last crash that counts, so that an outage of
  many upstreams at once leads to no verdict.
* A crash that a verdict explains counts for nothing else, and while two
  unrelated traits were present at the same crashes neither is blamed, up to
  TIE_MARGIN further crashes.
* Traits that came together each time are blamed together: only requests that
  have all of them are refused, until one that lacks some is answered or
  crashes an upstream.
* A part of a prompt that was answered at some time needs SOUND_FACTOR times
  as many crashes without an answer in between.
"""

import typing

# Crashes from which on a trait is blamed. A suspected request that runs alone
# on its upstream proves more than one that runs beside others.
ISOLATED_LIMIT = 2
SHARED_LIMIT = 3
TIE_MARGIN = 2  # crashes beyond the limit after which a tie is blamed
SOUND_FACTOR = 2


class CrashedRun(typing.NamedTuple):
    """A run that ended when its upstream crashed.

    Attributes:
        traits: hashes of what other requests may share with this one; the
            first is the digest of the whole request.
        sent_at: time in seconds at which the request was sent.
    """

    traits: tuple[int, ...]
    sent_at: float


class Crash(typing.NamedTuple):
    """A crash of an upstream.

    Attributes:
        upstream: name and incarnation of the upstream.
        at: time in seconds.
        runs: CrashedRuns that it ended.
    """

    upstream: str
    at: float
    runs: tuple[CrashedRun, ...]


class Verdict(typing.NamedTuple):
    """What is blamed for crashes.

    Attributes:
        traits: a request that has all of them is refused.
        upstreams: names and incarnations of the upstreams that crashed.
    """

    traits: frozenset[int]
    upstreams: frozenset[str]


def judge(crashes, sound_at, limit):
    """Return the Verdicts that the crashes justify.

    Args:
        crashes: the Crashes.
        sound_at: time by trait of the last complete answer to a request that
            has it.
        limit: crashes from which on a whole request is blamed; for a part
            of prompts it is SHARED_LIMIT.
    """
    crashes = sorted(crashes, key=lambda crash: crash.at)
    found = {}
    for crash in crashes:
        for trait in {one for run in crash.runs for one in run.traits}:
            if crash.at > sound_at.get(trait, float("-inf")):
                found.setdefault(trait, []).append(crash)
    digests = {run.traits[0] for crash in crashes for run in crash.runs}
    limits = {
        trait: (
            limit
            if trait in digests
            else SHARED_LIMIT * (SOUND_FACTOR if trait in sound_at else 1)
        )
        for trait in found
    }
    suspects = {
        trait: own
        for trait, own in found.items()
        if len(own) >= limits[trait]
        and count_separate(trait, own) >= limits[trait]
    }
    verdicts = []
    # The cause is present at more crashes than what ran beside it. Of equal
    # ones, all instances must take the same first.
    for trait in sorted(suspects, key=lambda one: (-len(suspects[one]), one)):
        own = _leave_unexplained(suspects[trait], verdicts)
        count = count_separate(trait, own)
        if count < limits[trait]:
            continue
        blamed = _find_companions(trait, own, sound_at)
        rivals = _find_rivals(trait, own, suspects, blamed, sound_at)
        if rivals and count < limits[trait] + TIE_MARGIN:
            continue
        upstreams = frozenset(crash.upstream for crash in own)
        verdicts.append(Verdict(blamed, upstreams))
    return verdicts


def count_separate(trait, crashes):
    """Return how many crashes each ended a run sent after the one before.

    Args:
        trait: counts only the runs that have it.
        crashes: Crashes in order of time.
    """
    count, last = 0, float("-inf")
    for crash in crashes:
        sent = [run.sent_at for run in crash.runs if trait in run.traits]
        if sent and max(sent) > last:
            count += 1
            last = crash.at
    return count


def _leave_unexplained(crashes, verdicts):
    """Return the crashes at which no run is blamed yet."""
    return [
        crash
        for crash in crashes
        if not any(
            verdict.traits.issubset(run.traits)
            for verdict in verdicts
            for run in crash.runs
        )
    ]


def _find_companions(trait, crashes, sound_at):
    """Return a trait and the others that may as well be the cause.

    All runs with the trait have them too. If the trait was never answered,
    neither were they; otherwise they were not since the first of the crashes.
    """
    runs = [
        run.traits
        for crash in crashes
        for run in crash.runs
        if trait in run.traits
    ]
    common = set(runs[0]).intersection(*runs[1:])
    bound = crashes[0].at if trait in sound_at else float("-inf")
    return frozenset(
        one
        for one in common
        if one == trait or sound_at.get(one, float("-inf")) <= bound
    )


def _find_rivals(trait, crashes, suspects, blamed, sound_at):
    """Return the other suspects that were present at the same crashes.

    A trait that was answered at some time is no rival of one that never was.
    """
    upstreams = {crash.upstream for crash in crashes}
    return [
        other
        for other, own in suspects.items()
        if other not in blamed
        and (other not in sound_at or trait in sound_at)
        and upstreams <= {one.upstream for one in own}
    ]
