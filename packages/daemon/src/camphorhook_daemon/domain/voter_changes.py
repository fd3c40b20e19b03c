"""Decides which single change of the voters a leader makes next.

A voter that no longer answers is removed before its successor is added: its
vote is missing already, and a successor that died as well would leave two of
four. A voter that leaves but still runs is removed after its successor was
added, so that one of the voters may be lost at any moment.
"""

import typing

# Longer than pauses of a process, and short enough that a successor votes
# within 4 s of its start.
VOTER_SILENCE_SECONDS = 1.5  # of a voter that is lost; most pauses are less
ANSWER_SECONDS = 1.0  # in which running replicas meet a new leader


class Change(typing.NamedTuple):
    """A change of the voters by one.

    Attributes:
        members: identity by name of the voters after the change.
        reason: why it is made, for the log.
    """

    members: dict[str, str]
    reason: str


class Standing(typing.NamedTuple):
    """What a leader knows about another replica.

    Attributes:
        name: its name.
        identity: of its data folder; empty until it has answered.
        match_index: highest index at which its log matches the leader's.
        silence: seconds since the sending of the last message that it
            answered, or since the election; for the leader before, since
            its last message.
        leaves: whether it has asked to leave as a voter.
    """

    name: str
    identity: str
    match_index: int
    silence: float
    leaves: bool


class View(typing.NamedTuple):
    """What a leader decides by.

    Attributes:
        leader: its name.
        voters: identity by name.
        max_voters: maximum number of voters; None for no limit.
        standings: Standing by name of the other replicas.
        commit_index: highest committed index.
        caught_up_index: match index from which on one message brings a
            replica to the commit index.
        contact_seconds: silence up to which a replica is in contact.
        unchanged_seconds: time since the last change or the election.
        stopped: names of the voters that have said that they stop.
    """

    leader: str
    voters: dict[str, str]
    max_voters: int | None
    standings: dict[str, Standing]
    commit_index: int
    caught_up_index: int
    contact_seconds: float
    unchanged_seconds: float
    stopped: frozenset[str] = frozenset()

    @property
    def is_full(self):
        """Whether no voter may be added."""
        return self.max_voters is not None and (
            len(self.voters) >= self.max_voters
        )

    @property
    def has_surplus(self):
        """Whether there are more voters than the maximum."""
        return self.max_voters is not None and (
            len(self.voters) > self.max_voters
        )

    @property
    def is_fresh(self):
        """Whether running replicas may exist that the leader has not met."""
        return self.unchanged_seconds < ANSWER_SECONDS


def plan(view):
    """Return the next Change of the voters, or None if none is due."""
    if view.has_surplus:
        return _plan_removal(view)
    gone = _find_gone(view)
    for learner in _list_admissible(view):
        if learner.name in view.voters:
            reason = f"{learner.name} is back with another disk"
            return _remove(view, learner.name, reason)
        if gone and view.max_voters is not None:
            reason = f"{_describe_gone(view, gone)}, {learner.name} follows"
            return _remove(view, gone, reason)
        if not view.is_full:
            members = {**view.voters, learner.name: learner.identity}
            return Change(members, f"{learner.name} has caught up")
        leaver = _find_leaver(view)
        if leaver and not _find_absent(view, view.voters):
            members = {**view.voters, learner.name: learner.identity}
            return Change(members, f"{learner.name} follows {leaver}")
    return None


def _plan_removal(view):
    """Return the Change that removes a surplus voter, or None."""
    gone = _find_gone(view)
    if gone:
        return _remove(view, gone, _describe_gone(view, gone))
    leaver = _find_leaver(view)
    if leaver:
        others = [name for name in view.voters if name != leaver]
        if _find_absent(view, others):
            return None
        return _remove(view, leaver, f"{leaver} leaves")
    if view.unchanged_seconds < VOTER_SILENCE_SECONDS:
        return None
    # The voter added last takes nobody's place any more.
    last = [name for name in view.voters if name != view.leader][-1]
    return _remove(view, last, f"{last} was added for one that stays")


def _remove(view, removed, reason):
    members = {
        name: identity
        for name, identity in view.voters.items()
        if name != removed
    }
    return Change(members, reason)


def _find_voter(view, voter):
    """Return a voter's Standing, or None if its disk is another one."""
    standing = view.standings.get(voter)
    if standing is None or standing.identity != view.voters[voter]:
        return None
    return standing


def _find_gone(view):
    """Return a voter that does not answer with its identity; "" if none."""
    for voter in view.voters:
        if voter == view.leader:
            continue
        standing = _find_voter(view, voter)
        if standing is None or standing.silence > VOTER_SILENCE_SECONDS:
            return voter
        if (
            voter in view.stopped
            and not standing.leaves
            and _has_ended(view, standing)
        ):
            return voter
    return ""


def _has_ended(view, standing):
    """Return whether a voter that stops is silent since it was last met."""
    silence = min(standing.silence, view.unchanged_seconds)
    return silence > view.contact_seconds


def _find_leaver(view):
    """Return a voter other than the leader that leaves; "" if none."""
    for voter in view.voters:
        standing = _find_voter(view, voter)
        if voter != view.leader and standing and standing.leaves:
            return voter
    return ""


def is_repairing(view):
    """Return whether there are too many voters, and one is not in contact."""
    return view.has_surplus and bool(_find_absent(view, view.voters))


def _find_absent(view, voters):
    """Return one of the voters that is not in contact; "" if all are."""
    for voter in voters:
        if voter == view.leader:
            continue
        standing = _find_voter(view, voter)
        if standing is None or standing.silence > view.contact_seconds:
            return voter
    return ""


def _describe_gone(view, voter):
    standing = _find_voter(view, voter)
    if standing is None:
        return f"{voter} lost its disk"
    return f"{voter} has been silent for {standing.silence:.1f} s"


def _list_learners(view):
    """Return the Standing of each running replica that may get a vote."""
    return [
        one
        for one in view.standings.values()
        if not one.leaves
        and one.identity
        and view.voters.get(one.name) != one.identity
        and one.silence < VOTER_SILENCE_SECONDS
    ]


def _list_admissible(view):
    """Return the learners in contact that have caught up."""
    return [
        one
        for one in _list_learners(view)
        if one.silence < view.contact_seconds
        and one.match_index > 0
        and one.match_index >= view.caught_up_index
    ]


def find_obstacle(view, name):
    """Return why a voter can't leave yet, or "" if it need not wait.

    It need not wait if no other replica could take its place.

    Args:
        view: the leader's View.
        name: the voter that leaves.
    """
    others = [voter for voter in view.voters if voter != name]
    absent = _find_absent(view, others)
    if view.has_surplus:
        return f"voter {absent} does not answer" if absent else "in progress"
    learners = _list_learners(view)
    if not learners:
        return "a new leader" if view.is_fresh else ""
    if absent:
        return f"voter {absent} does not answer"
    first = max(learners, key=lambda one: one.match_index)
    return (
        f"learner {first.name} is at index {first.match_index} of "
        f"{view.commit_index}"
    )
