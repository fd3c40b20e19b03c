"""A leader's record of the replication progress of the other replicas."""

MEMBERS_RESEND_SECONDS = 3.0  # a follower that restarted has lost them
VOTER_SILENCE_SECONDS = 4.0  # after it, a learner may replace the voter


class _Progress:
    """Replication progress of one other replica."""

    def __init__(self, identity, acked_at):
        self.identity = identity
        self.match_index = 0
        self.acked_at = acked_at
        self.members = ()
        self.members_sent_at = float("-inf")


def _find_quorum_value(values):
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

    def list_members_to_send(self, peer, now):
        """Return the names of all replicas, if they must be sent to a peer.

        Returns:
            The names, or an empty tuple if the peer was sent the same ones
            within MEMBERS_RESEND_SECONDS.
        """
        members = (self._name, *self._progress)
        progress = self._progress[peer]
        is_old = now - progress.members_sent_at > MEMBERS_RESEND_SECONDS
        return members if is_old or members != progress.members else ()

    def record_members_sent(self, peer, members, at):
        """Record that the names of all replicas were sent to a peer.

        Args:
            peer: its name.
            members: the names; empty if none were sent.
            at: seconds, when they were sent.
        """
        if members:
            self._progress[peer].members = members
            self._progress[peer].members_sent_at = at

    def record_reply(self, peer, identity, sent_at):
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
            progress.match_index = 0
        progress.acked_at = max(progress.acked_at, sent_at)

    def record_match(self, peer, index):
        """Record the highest index at which a replica's log matches."""
        self._progress[peer].match_index = index

    def _find_voter(self, voter, voters):
        """Return a voter's _Progress, or None if its identity differs."""
        progress = self._progress.get(voter)
        if progress is None or progress.identity != voters[voter]:
            return None
        return progress

    def find_quorum_index(self, voters, own_match_index):
        """Return the highest index stored by a majority of the voters.

        Args:
            voters: identity by name.
            own_match_index: highest index on the leader's own disk.
        """
        matches = []
        for voter in voters:
            if voter == self._name:
                matches.append(own_match_index)
                continue
            progress = self._find_voter(voter, voters)
            matches.append(progress.match_index if progress else 0)
        return _find_quorum_value(matches)

    def find_quorum_contact(self, voters, now):
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
        return _find_quorum_value(times)

    def describe_silence(self, voters, now):
        """Return how long each other voter has been silent, as text.

        Args:
            voters: identity by name.
            now: seconds.
        """
        found = []
        for voter in sorted(voters):
            progress = self._find_voter(voter, voters)
            if progress is not None:
                silent = now - progress.acked_at
                found.append(f"{voter} silent for {silent:.3f} s")
            elif voter != self._name:
                found.append(f"{voter} has another data folder or is unknown")
        return ", ".join(found)

    def find_most_advanced(self, voters):
        """Return the voter with the highest match index; empty if none."""
        known = [
            (self._progress[voter].match_index, voter)
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
        favour of a learner that is up to date.

        Args:
            voters: identity by name.
            commit_index: index that a learner must have reached.
            now: seconds.
            max_voters: maximum number of voters; None for no limit.
        """
        for peer, progress in self._progress.items():
            if not progress.identity or progress.match_index < commit_index:
                continue
            if now - progress.acked_at > VOTER_SILENCE_SECONDS:
                continue
            if voters.get(peer) == progress.identity:
                continue
            if peer in voters:
                return _remove_voter(voters, peer)
            if max_voters is None or len(voters) < max_voters:
                return {**voters, peer: progress.identity}
            removed = self._find_silent_voter(voters, now)
            if removed is not None:
                return _remove_voter(voters, removed)
        return None

    def _find_silent_voter(self, voters, now):
        """Return a voter that has been silent for too long, or None."""
        for voter in voters:
            progress = self._find_voter(voter, voters)
            if voter == self._name:
                continue
            if (
                progress is None
                or now - progress.acked_at > VOTER_SILENCE_SECONDS
            ):
                return voter
        return None


def _remove_voter(voters, removed):
    """Return the voters without one of them.

    Args:
        voters: identity by name.
        removed: name of the voter to leave out.
    """
    return {
        name: identity for name, identity in voters.items() if name != removed
    }
