"""A leader's record of the replication progress of the other replicas."""

from camphorhook_daemon.domain import voter_changes

MEMBERS_RESEND_SECONDS = 3.0  # a follower that restarted has lost them
LEAVING_SECONDS = 2.0  # a replica that leaves asks several times in it


class _Progress:
    """Replication progress of one other replica."""

    def __init__(self, identity, acked_at, heard_at):
        self.identity = identity
        self.match_index = 0
        self.acked_at = acked_at
        self.heard_at = heard_at
        self.asked_to_leave_at = float("-inf")
        self.members = ()
        self.members_sent_at = float("-inf")


def _find_quorum_value(values):
    """Return the highest value that a majority of the values reaches."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]


def _find_earliest_silence(now):
    """Return from when the silence of a replica counts after an election.

    Args:
        now: seconds, when the leader was elected.
    """
    return (
        now
        + voter_changes.ANSWER_SECONDS
        - voter_changes.VOTER_SILENCE_SECONDS
    )


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
            now: seconds; the election counts as contact with all of them
                for the lease. One that stays silent counts as lost after
                ANSWER_SECONDS, as it may have been lost before.
        """
        self._name = name
        self._voters_changed_at = now
        heard_at = _find_earliest_silence(now)
        self._progress = {
            peer: _Progress(voters.get(peer, ""), now, heard_at)
            for peer in peers
        }

    def record_heard(self, peer, at, now):
        """Record when a replica was last heard before the election.

        Args:
            peer: its name.
            at: seconds.
            now: seconds.
        """
        if peer in self._progress:
            earliest = _find_earliest_silence(now)
            self._progress[peer].heard_at = max(at, earliest)

    def record_silence(self, peer, since):
        """Record that a replica was silent already before the election.

        Args:
            peer: its name.
            since: seconds.
        """
        progress = self._progress[peer]
        progress.heard_at = min(progress.heard_at, since)

    def add(self, peer, identity):
        """Add a replica; return False if it was already known."""
        if peer in self._progress or peer == self._name:
            return False
        never = float("-inf")
        self._progress[peer] = _Progress(identity, never, never)
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
        progress.heard_at = max(progress.heard_at, sent_at)

    def has_stored_everywhere(self, index, now, max_silence):
        """Return whether all replicas that answer have stored an index.

        Args:
            index: index of a log entry.
            now: seconds.
            max_silence: seconds after which a replica is not waited for.
        """
        return all(
            one.match_index >= index
            for one in self._progress.values()
            if now - one.heard_at < max_silence
        )

    def record_match(self, peer, index):
        """Record the highest index at which a replica's log matches."""
        self._progress[peer].match_index = index

    def map_match_indexes(self):
        """Return the highest stored index of each other replica by name."""
        return {
            peer: progress.match_index
            for peer, progress in self._progress.items()
        }

    def _find_voter(self, voter, voters):
        """Return a voter's _Progress, or None if its identity differs."""
        progress = self._progress.get(voter)
        if progress is None or progress.identity != voters.get(voter):
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

    def find_most_advanced(self, voters, now):
        """Return the voter with the highest match index; empty if none.

        Of several with the same index, the one that answered last. One that
        leaves is returned only if all do.
        """
        known = [
            (
                not standing.leaves,
                standing.match_index,
                -standing.silence,
                standing.name,
            )
            for standing in self._list_standings(now)
            if self._find_voter(standing.name, voters)
        ]
        return max(known, default=(False, 0, 0.0, ""))[-1]

    def record_leaving(self, peer, now):
        """Record that a replica has asked to leave as a voter."""
        if peer in self._progress:
            self._progress[peer].asked_to_leave_at = now

    def forget_leaving(self, peer):
        """Record that a replica stays a voter."""
        if peer in self._progress:
            self._progress[peer].asked_to_leave_at = float("-inf")

    def record_change(self, now):
        """Record that the voters were changed."""
        self._voters_changed_at = now

    def _list_standings(self, now):
        return [
            voter_changes.Standing(
                peer,
                progress.identity,
                progress.match_index,
                now - progress.heard_at,
                now - progress.asked_to_leave_at < LEAVING_SECONDS,
            )
            for peer, progress in self._progress.items()
        ]

    def view_voters(
        self,
        voters,
        commit_index,
        caught_up_index,
        now,
        max_voters,
        contact,
        stopped,
    ):
        """Return the voter_changes.View by which voters are changed.

        Args:
            voters: identity by name.
            commit_index: highest committed index.
            caught_up_index: match index from which on one message brings a
                replica to the commit index.
            now: seconds.
            max_voters: maximum number of voters; None for no limit.
            contact: seconds of silence up to which a replica is in contact.
            stopped: names of the voters that have said that they stop.
        """
        return voter_changes.View(
            self._name,
            voters,
            max_voters,
            {one.name: one for one in self._list_standings(now)},
            commit_index,
            caught_up_index,
            contact,
            now - self._voters_changed_at,
            stopped,
        )
