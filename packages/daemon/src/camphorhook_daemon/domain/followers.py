"""A leader's record of the replication progress of the other replicas."""

MEMBERS_SECONDS = 3.0  # resent, as a follower that restarted forgets them
GONE_SECONDS = 4.0  # silence after which a learner may replace a voter


class _Progress:
    """Replication progress of one other replica."""

    def __init__(self, identity, acked_at):
        self.identity = identity
        self.match = 0
        self.acked_at = acked_at
        self.members = ()
        self.members_told_at = float("-inf")


def _majority_of(values):
    """Return the highest value that a majority of the values reaches."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]


class Followers:
    """Replication progress of the other replicas in one term.

    A replica counts as a voter only while it replies with the voter's
    identity. A replica with a new data folder replies with another one.
    """

    def __init__(self, name, peers, voters, now):
        """Create the record at the start of a term.

        Args:
            name: the leader.
            peers: names of the other replicas.
            voters: identity by name.
            now: seconds; the election counts as contact with all of them.
        """
        self._name = name
        self._progress = {
            peer: _Progress(voters.get(peer, ""), now) for peer in peers
        }

    def add(self, peer, identity):
        """Add a replica; return False if it was already known."""
        if peer in self._progress or peer == self._name:
            return False
        self._progress[peer] = _Progress(identity, float("-inf"))
        return True

    def list_peers(self):
        """Return the names of the other replicas."""
        return list(self._progress)

    def list_untold(self, peer, now):
        """Return the names of all replicas, if they must be sent to a peer.

        Returns:
            The names, or an empty tuple if the peer was sent the same ones
            within MEMBERS_SECONDS.
        """
        members = (self._name, *self._progress)
        progress = self._progress[peer]
        is_old = now - progress.members_told_at > MEMBERS_SECONDS
        return members if is_old or members != progress.members else ()

    def note_told(self, peer, members, at):
        """Record that the names of all replicas were sent to a peer.

        Args:
            peer: its name.
            members: the names; empty if none were sent.
            at: seconds, when they were sent.
        """
        if members:
            self._progress[peer].members = members
            self._progress[peer].members_told_at = at

    def note_reply(self, peer, identity, sent_at):
        """Record a reply of a replica.

        Args:
            peer: its name.
            identity: of its data folder; another one than before discards
                its match index.
            sent_at: seconds, when the message was sent.
        """
        progress = self._progress[peer]
        if progress.identity != identity:
            progress.identity = identity
            progress.match = 0
        progress.acked_at = max(progress.acked_at, sent_at)

    def note_match(self, peer, index):
        """Record the highest index at which a replica's log matches."""
        self._progress[peer].match = index

    def _find_voter(self, voter, voters):
        """Return a voter's _Progress, or None if its identity differs."""
        progress = self._progress.get(voter)
        if progress is None or progress.identity != voters[voter]:
            return None
        return progress

    def find_stored(self, voters, own_match):
        """Return the highest index stored by a majority of the voters.

        Args:
            voters: identity by name.
            own_match: highest index on the leader's own disk.
        """
        matches = []
        for voter in voters:
            if voter == self._name:
                matches.append(own_match)
                continue
            progress = self._find_voter(voter, voters)
            matches.append(progress.match if progress else 0)
        return _majority_of(matches)

    def find_contact(self, voters, now):
        """Return when a majority of the voters was last in contact.

        A replica's contact counts from when the message was sent that it
        replied to.

        Args:
            voters: identity by name.
            now: seconds; the leader itself is always in contact.
        """
        times = []
        for voter in voters:
            if voter == self._name:
                times.append(now)
                continue
            progress = self._find_voter(voter, voters)
            times.append(progress.acked_at if progress else float("-inf"))
        return _majority_of(times)

    def find_most_advanced(self, voters):
        """Return the voter with the highest match index; empty if none."""
        known = [
            (self._progress[voter].match, voter)
            for voter in voters
            if self._find_voter(voter, voters)
        ]
        return max(known, default=(0, ""))[1]

    def plan_admission(self, voters, commit_index, now, max_voters=None):
        """Return the next set of voters, or None if no change is needed.

        A replica whose identity has changed is first removed as a voter and
        then added with the new identity, so that the majorities before and
        after each change share a voter. Once the maximum number of voters
        is reached, a voter that has been silent for too long is removed in
        favor of a learner that is up to date.

        Args:
            voters: identity by name.
            commit_index: index that a learner must have reached.
            now: seconds.
            max_voters: maximum number of voters; None for no limit.
        """
        for peer, progress in self._progress.items():
            if not progress.identity or progress.match < commit_index:
                continue
            if now - progress.acked_at > GONE_SECONDS:
                continue
            if voters.get(peer) == progress.identity:
                continue
            if peer in voters:
                return _leave_out(voters, peer)
            if max_voters is None or len(voters) < max_voters:
                return {**voters, peer: progress.identity}
            gone = self._find_gone(voters, now)
            if gone is not None:
                return _leave_out(voters, gone)
        return None

    def _find_gone(self, voters, now):
        """Return a voter that has been silent for too long, or None."""
        for voter in voters:
            progress = self._find_voter(voter, voters)
            if voter == self._name:
                continue
            if progress is None or now - progress.acked_at > GONE_SECONDS:
                return voter
        return None


def _leave_out(voters, gone):
    """Return the voters without one of them.

    Args:
        voters: identity by name.
        gone: name of the voter to leave out.
    """
    return {name: held for name, held in voters.items() if name != gone}
