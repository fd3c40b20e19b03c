"""What a replica knows of the others, independent of who leads."""

from camphorhook_daemon.domain import outages

MAX_GAP_SECONDS = 1.5  # without a question; elections ask more often
STOP_SECONDS = 5.0  # in which a stop ends and a successor starts
# Longer than any use of a contact; afterwards, a replica counts as not heard.
RETENTION_SECONDS = 60.0


class _Contact:
    """What is known of one replica; times are in seconds.

    Attributes:
        identity: of its data folder, as it said last; empty if unknown.
        heard_at: when it was last heard.
        silent_since: when the first question was sent that it has not
            answered; None if it has answered the last one.
        asked_until: until when an answer was awaited.
        stop: (identity, time) when it said that it stops; None if it has not
            or has started again.
    """

    def __init__(self):
        self.identity = ""
        self.heard_at = float("-inf")
        self.silent_since = None
        self.asked_until = float("-inf")
        self.stop = None


class Contacts:
    """Contacts with other replicas, which outlast elections."""

    def __init__(self, now):
        """Create an empty record.

        Args:
            now: returns seconds.
        """
        self._now = now
        self._contacts = {}

    def _get(self, peer):
        return self._contacts.setdefault(peer, _Contact())

    def record_heard(self, peer, identity=""):
        """Record that a replica was heard, which ends its silence.

        Args:
            peer: its name.
            identity: of its data folder, if it said so.
        """
        contact = self._get(peer)
        contact.identity = identity or contact.identity
        contact.heard_at = self._now()
        contact.silent_since = None

    def record_start(self, peer, identity):
        """Record that a replica has started, so that it stops no more."""
        self.record_heard(peer, identity)
        self.forget_stop(peer)

    def record_unanswered(self, peer, asked_at):
        """Record that a replica has not answered, unless it was heard since.

        Args:
            peer: its name.
            asked_at: seconds, when it was asked.
        """
        contact = self._get(peer)
        if contact.heard_at >= asked_at:
            return
        gap = asked_at - contact.asked_until
        if contact.silent_since is None or gap > MAX_GAP_SECONDS:
            contact.silent_since = asked_at
        contact.asked_until = self._now()

    def find_silence(self, peer):
        """Return since when a replica has been silent; None if it is not."""
        contact = self._contacts.get(peer)
        if contact is None or contact.silent_since is None:
            return None
        if self._now() - contact.asked_until > MAX_GAP_SECONDS:
            return None
        return contact.silent_since

    def record_stop(self, peer, identity):
        """Record that a replica has said that it stops."""
        self._get(peer).stop = identity, self._now()

    def forget_stop(self, peer):
        """Record that a replica does not stop any more."""
        if peer in self._contacts:
            self._contacts[peer].stop = None

    def list_stopped(self, voters):
        """Return the names of the voters that said lately that they stop.

        Args:
            voters: identity by name.
        """
        since = self._now() - STOP_SECONDS
        return frozenset(
            peer
            for peer, contact in self._contacts.items()
            if contact.stop is not None
            and contact.stop[0] == voters.get(peer)
            and contact.stop[1] > since
        )

    def view(self, match_indexes):
        """Return an outages.Peer of each replica that was heard, by name.

        Args:
            match_indexes: highest stored index by name, on a leader.
        """
        now = self._now()
        return {
            peer: outages.Peer(
                peer,
                contact.identity,
                now - contact.heard_at,
                match_indexes.get(peer),
            )
            for peer, contact in self._contacts.items()
            if contact.heard_at > float("-inf")
        }

    def evict_expired(self, kept):
        """Forget replicas that are gone.

        Args:
            kept: names of those that are kept, however old.
        """
        before = self._now() - RETENTION_SECONDS
        for peer, contact in list(self._contacts.items()):
            used_at = max(contact.heard_at, contact.asked_until)
            if contact.stop is not None:
                used_at = max(used_at, contact.stop[1])
            if peer not in kept and used_at < before:
                del self._contacts[peer]
