"""What a leader knows of the other replicas."""

MEMBERS_SECONDS = 3.0  # until a follower that restarted hears of all again
GONE_SECONDS = 4.0  # silence after which a waiting replica takes the vote


class _Progress:
    """One other replica: its disk's identity, its log, its last reply."""

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
    """Acknowledgements of the other replicas in one term.

    Those of a replica count only while it answers with the identity that
    is the voter's; a disk that replaced it has another.
    """

    def __init__(self, name, peers, voters, now):
        """Create the record at the start of a term.

        Args:
            name: the leader.
            peers: names of the other replicas.
            voters: identity by name.
            now: seconds; the election counts as contact with all.
        """
        self._name = name
        self._progress = {
            peer: _Progress(voters.get(peer, ""), now) for peer in peers
        }

    def add(self, peer, identity):
        """Take up a replica; return False when it was known."""
        if peer in self._progress or peer == self._name:
            return False
        self._progress[peer] = _Progress(identity, float("-inf"))
        return True

    def list_peers(self):
        """Return names of the other replicas."""
        return list(self._progress)

    def list_untold(self, peer, now):
        """Return names of all replicas, or none when it heard them of late."""
        members = (self._name, *self._progress)
        progress = self._progress[peer]
        is_old = now - progress.members_told_at > MEMBERS_SECONDS
        return members if is_old or members != progress.members else ()

    def note_told(self, peer, members, at):
        """Take note that a replica heard the names of all, if any."""
        if members:
            self._progress[peer].members = members
            self._progress[peer].members_told_at = at

    def note_reply(self, peer, identity, sent_at):
        """Take note of a reply to a message sent at a time."""
        progress = self._progress[peer]
        if progress.identity != identity:
            progress.identity = identity
            progress.match = 0
        progress.acked_at = max(progress.acked_at, sent_at)

    def note_match(self, peer, index):
        """Take note of the index up to which a replica's log is equal."""
        self._progress[peer].match = index

    def _find_voter(self, voter, voters):
        """Return a voter's _Progress, or None when another disk answers."""
        progress = self._progress.get(voter)
        if progress is None or progress.identity != voters[voter]:
            return None
        return progress

    def find_stored(self, voters, own_match):
        """Return the highest index on the disks of a majority of voters."""
        matches = []
        for voter in voters:
            if voter == self._name:
                matches.append(own_match)
                continue
            progress = self._find_voter(voter, voters)
            matches.append(progress.match if progress else 0)
        return _majority_of(matches)

    def find_contact(self, voters, now):
        """Return when a majority of voters was last surely in contact."""
        times = []
        for voter in voters:
            if voter == self._name:
                times.append(now)
                continue
            progress = self._find_voter(voter, voters)
            times.append(progress.acked_at if progress else float("-inf"))
        return _majority_of(times)

    def find_most_advanced(self, voters):
        """Return the voter with the longest log; empty if there is none."""
        known = [
            (self._progress[voter].match, voter)
            for voter in voters
            if self._find_voter(voter, voters)
        ]
        return max(known, default=(0, ""))[1]

    def plan_admission(self, voters, commit, now, most=None):
        """Return the next set of voters, or None when nothing is due.

        A new identity first loses the old one's vote and then gets its
        own, so that any two successive majorities share a voter. Where all
        seats are taken, a replica that is up to date takes the seat of a
        voter that has been silent for GONE_SECONDS.

        Args:
            voters: identity by name.
            commit: index that a replica must have reached.
            now: seconds.
            most: how many voters there may be; None for no bound.
        """
        for peer, progress in self._progress.items():
            if not progress.identity or progress.match < commit:
                continue
            if now - progress.acked_at > GONE_SECONDS:
                continue
            if voters.get(peer) == progress.identity:
                continue
            if peer in voters:
                return _leave_out(voters, peer)
            if most is None or len(voters) < most:
                return {**voters, peer: progress.identity}
            gone = self._find_gone(voters, now)
            if gone is not None:
                return _leave_out(voters, gone)
        return None

    def _find_gone(self, voters, now):
        """Return a voter that has been silent for long, or None."""
        for voter in voters:
            progress = self._find_voter(voter, voters)
            if voter == self._name:
                continue
            if progress is None or now - progress.acked_at > GONE_SECONDS:
                return voter
        return None


def _leave_out(voters, gone):
    """Return the voters without one of them."""
    return {name: held for name, held in voters.items() if name != gone}
