"""One replica of the replicated log.

Implements Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a
leader lease, snapshots and single-server membership changes. Entries are
synced to disk before they are acknowledged. A voter is identified by its
name and the identity of its data folder. A replica that lost its disk comes
back with another identity: it receives entries as a learner and counts
toward no quorum until the leader has replaced the old identity by two
membership changes, one that removes it and one that adds the new one. Which
change is due is decided by `voter_changes`.
"""

import time

import trio

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import contacts
from camphorhook_daemon.domain import entries
from camphorhook_daemon.domain import followers
from camphorhook_daemon.domain import outages
from camphorhook_daemon.domain import pacing
from camphorhook_daemon.domain import state as states
from camphorhook_daemon.domain import voter_changes
from camphorhook_daemon.ports import journal as journals

# A log that exceeds one of these is replaced by a snapshot. A replica without
# a disk receives both within the time of a few elections.
MAX_LOG_ENTRIES = 8000
MAX_LOG_BYTES = 384 * 1024
LOG_TO_SNAPSHOT = 2  # a large snapshot is written after as many of its bytes
# How far the log may exceed them until all replicas have stored the entries.
LOG_OVERRUN = 2
BATCH_ENTRIES = 512
VOTERS_CHECK_SECONDS = 0.2  # below the time to detect a silent voter
LEAVE_WAIT_SECONDS = 0.3  # half of the time that the sender waits
SECONDS_PER_MS = 0.001
MAX_ELECTION_BACKOFF = 4  # election timeouts, after as many failures
DISK_TIMEOUT_FACTOR = 2  # of the election timeout, for a leader's write
VOTE_TIMEOUT_FACTOR = 4  # of a pre-vote's timeout, as a vote is synced
PAUSE_SECONDS = 0.5  # of this process or its disk, above which it is logged
OUTAGE_REPORT_SECONDS = 1.0  # one log line in this time; elections take less
REFUSAL_REPORT_SECONDS = 1.0  # one log line in this time on a full disk
REFUSAL_DELAY_SECONDS = 0.1  # of an error, which the leader answers at once
COMPACTION_RETRY_SECONDS = 1.0  # after a full disk refused a snapshot
# Election timeouts for which a replica whose disk is full does not stand.
REFUSAL_ELECTIONS = 2

_NO_ANSWER = "no answer"


class _Proposal:
    """A submitted command whose outcome is not known yet."""

    def __init__(self, command):
        self.command = command
        self.outcome = None
        self.done = trio.Event()

    def finish(self, outcome):
        """Set the outcome and wake the submitter.

        Args:
            outcome: the Outcome; None if it is unknown whether the command
                was or will be committed.
        """
        self.outcome = outcome
        self.done.set()


def _log_voters(voters, index):
    """Log the voters in force from an index on.

    Args:
        voters: identity by name.
        index: of the entry or the snapshot that sets them.
    """
    logs.log(
        "info",
        f"the voters are {', '.join(sorted(voters))}",
        step="change voters",
        inputs={"index": index, "identities": voters},
    )


async def _delay_refusal(function, message):
    """Return the reply to a message; delay the error of a full disk.

    Raises:
        errors.NoRoomError: the disk is full.
    """
    try:
        return await function(message)
    except errors.NoRoomError:
        await trio.sleep(REFUSAL_DELAY_SECONDS)
        raise


class Replica:
    """A Raft server: votes, stores log entries and applies them.

    Attributes:
        role: follower, candidate, leader or learner.
        term: current term.
        leader: name of the last known leader; empty if unknown.
        commit_index: highest index known to be committed, that is, stored
            on disk by a majority of the voters.
        state: the State that entries are applied to.
        applied: event that is set, and replaced by a new one, after
            entries or a snapshot were applied.
    """

    def __init__(
        self,
        settings,
        journal,
        state,
        transport,
        recorder,
        rng,
        now=trio.current_time,
        max_voters=None,
        began_at=None,
    ):
        """Create a replica and restore the contents of its journal.

        Args:
            settings: the instance's Settings.
            journal: a Journal.
            state: an empty State.
            transport: a Transport.
            recorder: the Recorder of the time line.
            rng: random.Random for election timeouts.
            now: returns seconds on a clock that advances while the machine
                is suspended; otherwise a leader could use its lease after
                it has expired.
            max_voters: maximum number of voters; further replicas remain
                learners. None for no limit.
            began_at: start of the process on the clock of `now`; the
                process has answered no leader before it. None for the time
                at which `run` is called.
        """
        self._settings = settings
        self._timing = settings.timing
        self._name = settings.name
        self._journal = journal
        self._transport = transport
        self._recorder = recorder
        self._rng = rng
        self._now = now
        self._max_voters = max_voters
        self._began_at = began_at
        self._lead_nursery = None
        self.state = state
        self.role = "follower"
        self.leader = ""
        self.term = journal.vote.term
        self._voted_for = journal.vote.voted_for
        self.commit_index = 0
        self._lock = trio.Lock()
        self._queued_proposals = []
        self._proposals = {}
        self._followers = None
        self._known_members = ()
        self._lead_scope = None
        self._last_leader = ""
        self._leader_contact_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._snapshot_data = b""
        self._received_snapshot = b""
        self._receiving_snapshot = None
        self._write_began_at = None
        self._refused_since = None
        self._entries_refused_at = None
        self._refusal_reported_at = float("-inf")
        self._next_compaction_at = float("-inf")
        self._task_nursery = None
        self._voted_at = float("-inf")
        self._failed_elections = 0
        self._next_election_at = float("-inf")
        self._last_election = None
        self._election_text = ""
        self._last_votes = {}
        self._led_until = float("-inf")
        self._contacts = contacts.Contacts(now)
        self._replication_due = trio.Event()
        self._commit_advanced = trio.Event()
        self._leader_wakeup = trio.Event()
        self._voters_due = trio.Event()
        self.applied = trio.Event()
        self._load_journal()

    # --- log and membership ----------------------------------------------

    def _load_journal(self):
        checkpoint = self._journal.checkpoint
        if checkpoint is not None:
            self.state.load(checkpoint.data)
            self._snapshot_data = checkpoint.data
            self.commit_index = checkpoint.index
        self._log = entries.EntryLog(checkpoint, self._journal.entries)
        self._journal.entries = []
        self._stored_index = self._log.last_index

    @property
    def last_index(self):
        """Index of the last entry, or of the snapshot if none follows it."""
        return self._log.last_index

    @property
    def voters(self):
        """Data folder identities of the voters, by name."""
        return self._log.voters

    @property
    def is_voter(self):
        """Whether this replica is a voter with its data folder's identity."""
        return self.voters.get(self._name) == self._journal.identity

    @property
    def lacks_room(self):
        """Whether its disk refused the last entries that it was to store."""
        return self._entries_refused_at is not None

    @property
    def name(self):
        """This replica's name."""
        return self._name

    def list_members(self):
        """Return the names of the voters and learners.

        On a follower, these are the names that the leader sent last.
        """
        members = self._known_members
        if self.role == "leader":
            members = self._followers.list_peers()
        return tuple({**self.voters, **dict.fromkeys(members)})

    def measure_contact_age(self):
        """Return the seconds since the last confirmed contact, or None.

        On the leader, this is contact with a majority of the voters, on
        other replicas contact with the leader. It is None until this
        replica has accepted an Append or, as leader, advanced the commit
        index. A replica whose disk is full hears of changes that it does not
        have, and counts as out of contact.
        """
        contact = self._leader_contact_at
        if self.role == "leader":
            contact = self._find_quorum_contact()
        elif self._entries_refused_at is not None:
            contact = min(contact, self._entries_refused_at)
        if contact == float("-inf") or not self._confirmed_at > float("-inf"):
            return None
        return self._now() - contact

    # --- running ---------------------------------------------------------

    async def run(self):
        """Run the election timer, replication and application of entries.

        Runs until cancelled.

        Raises:
            errors.StorageError: the journal can't be written. The process
                must exit, since entries that it would acknowledge may not
                be durable.
        """
        began_at = self._now() if self._began_at is None else self._began_at
        self._leader_contact_at = max(self._leader_contact_at, began_at)
        async with trio.open_nursery() as nursery:
            self._task_nursery = nursery
            nursery.start_soon(self._run_election_timer)
            nursery.start_soon(self._apply_committed)
            nursery.start_soon(self._lead_when_elected, nursery)
            nursery.start_soon(self._report_outages)

    async def _report_outages(self):
        """Log why no leader confirms the state, as long as none does."""
        was_confirmed = True
        while True:
            await trio.sleep(OUTAGE_REPORT_SECONDS)
            self._contacts.evict_expired(self.list_members())
            is_confirmed = self._is_confirmed()
            if not is_confirmed and not was_confirmed:
                logs.log(
                    "warning",
                    f"no leader confirms the state: {self.describe_outage()}",
                    step="elect",
                    inputs={"identities": self.voters},
                )
            was_confirmed = is_confirmed

    def _is_confirmed(self):
        """Return whether it holds the lease or hears from a leader."""
        if self.role == "leader":
            return self.holds_lease()
        return self._has_recent_leader()

    def describe_outage(self):
        """Return what this replica knows of the voters, as text."""
        return outages.describe(self._view_outage())

    def _view_outage(self):
        now = self._now()
        stored = {}
        if self.role == "leader":
            stored = self._followers.map_match_indexes()
        return outages.View(
            self._name,
            self._journal.identity,
            self.role,
            self.term,
            self._last_leader,
            now - max(self._leader_contact_at, self._led_until),
            self.voters,
            self.last_index,
            self._stored_index,
            self.commit_index,
            self._get_commit_term(),
            self._measure_write(),
            self._contacts.view(stored),
            self._election_text,
            0.0 if self._refused_since is None else now - self._refused_since,
        )

    async def _run_election_timer(self):
        """Start an election whenever the election timeout has elapsed.

        The timeout is drawn anew each time, from election_ms up to twice
        that. A leader checks its contact with the quorum instead.
        """
        while True:
            min_timeout = self._timing.election_ms * SECONDS_PER_MS
            wait = min_timeout * (1 + self._rng.random())
            began_at = self._now()
            await trio.sleep(wait / 4)
            self._log_pause("this process", self._now() - began_at - wait / 4)
            if self.role == "leader":
                await self._check_leadership()
            elif self.is_voter and self._is_election_due(wait):
                await self._run_election()
            elif not self.is_voter:
                self.role = "learner"

    def _is_election_due(self, wait):
        """Return whether nobody was heard of or voted for in `wait` s."""
        now = self._now()
        heard_at = max(self._leader_contact_at, self._voted_at)
        return now - heard_at > wait and now >= self._next_election_at

    def _log_pause(self, what, seconds):
        if seconds > PAUSE_SECONDS:
            logs.log(
                "warning",
                f"{what} paused for {seconds:.3f} s",
                step="replicate",
                inputs={"role": self.role, "term": self.term},
            )

    async def _write(self, function, *arguments):
        """Call a function of the journal in a thread.

        Raises:
            errors.NoRoomError: the disk is full; nothing was stored.
            errors.StorageError: the contents may not be durable.
        """
        began_at = self._write_began_at = self._now()
        # A cancelled task would skip the write, but not what relies on it.
        with trio.CancelScope(shield=True):
            try:
                await trio.to_thread.run_sync(function, *arguments)
            except errors.NoRoomError as error:
                self._report_refusal(error)
                raise
            finally:
                self._write_began_at = None
        self._log_pause("the disk", self._now() - began_at)

    def _report_refusal(self, error):
        """Log that the disk is full, at most once a second."""
        now = self._now()
        if now - self._refusal_reported_at >= REFUSAL_REPORT_SECONDS:
            self._refusal_reported_at = now
            logs.log(
                "warning",
                f"no room: {error.format()}",
                step="store",
                inputs={"role": self.role, "term": self.term},
            )

    def _record_refusal(self):
        """Keep from standing in elections for a while, as the disk is full."""
        now = self._now()
        if self._refused_since is None:
            self._refused_since = now
        seconds = REFUSAL_ELECTIONS * self._timing.election_ms * SECONDS_PER_MS
        self._next_election_at = max(self._next_election_at, now + seconds)

    async def _store(self, function, *arguments):
        """Write entries or another replica's snapshot.

        Raises:
            errors.NoRoomError: the disk is full; nothing was stored.
            errors.StorageError: the contents may not be durable.
        """
        try:
            await self._write(function, *arguments)
        except errors.NoRoomError:
            self._record_refusal()
            if self._entries_refused_at is None:
                self._entries_refused_at = self._now()
                self.notify_applied()  # its watchers need another replica
            raise
        # The leader of each term has an entry for every replica to store.
        self._refused_since = self._entries_refused_at = None

    def _check_quorum(self):
        silence = self._now() - self._find_quorum_contact()
        if silence > self._timing.election_ms * SECONDS_PER_MS:
            silent = self._followers.describe_silence(self.voters, self._now())
            self._step_down(f"lost the quorum; {silent}")

    def _measure_write(self):
        """Return for how many seconds a write to the disk has been running."""
        if self._write_began_at is None:
            return 0.0
        return self._now() - self._write_began_at

    async def _check_leadership(self):
        """Step down without a quorum; hand over while the disk hangs.

        Followers still hear from a leader whose disk hangs, so that none
        begins an election. The lock is not taken, as the write holds it.
        """
        seconds = self._measure_write()
        timeout = (
            DISK_TIMEOUT_FACTOR * self._timing.election_ms * SECONDS_PER_MS
        )
        if seconds > timeout:
            await self._hand_over(f"the disk has hung for {seconds:.3f} s")
        else:
            self._check_quorum()

    async def _run_election(self, transfer_term=None):
        """Ask for votes, and lead if a majority grants them.

        Args:
            transfer_term: term of the leader that asked for the election;
                None if no leader is heard.
        """
        transfer = transfer_term is not None
        began_at = self._now()
        asked_term = transfer_term if transfer else self.term
        if not transfer:
            self.role = "candidate"
            self.leader = ""
            if not await self._collect_votes(self.term + 1, pre_vote=True):
                return
        async with self._lock:
            # What held the lock may have changed the term.
            if self.term != asked_term or not self.is_voter:
                return
            has_voted = self._voted_at >= began_at
            if (self._has_recent_leader() or has_voted) and not transfer:
                return
            self.role = "candidate"
            self.leader = ""
            try:
                await self._save_vote(self.term + 1, self._name)
            except errors.NoRoomError:
                self.role = "follower"
                return
            term = self.term
        self._recorder.record("log.candidate", detail=f"term {term}")
        if not await self._collect_votes(term, False, transfer):
            if not transfer:
                self._postpone_election()
            return
        if self.term == term and self.role == "candidate":
            self._become_leader()

    def _postpone_election(self):
        """Wait for a random time before the next election.

        It avoids split votes, and grows with each election that failed, as
        two candidates whose disks are slow take long to see each other's
        votes.
        """
        self._failed_elections += 1
        most = min(self._failed_elections, MAX_ELECTION_BACKOFF)
        seconds = most * self._timing.election_ms * SECONDS_PER_MS
        self._next_election_at = self._now() + seconds * self._rng.random()

    async def _collect_votes(self, term, pre_vote, transfer=False):
        """Request votes; return whether a majority of voters granted one.

        Args:
            term: the term to be elected in.
            pre_vote: request pre-votes, which change no voter's term.
            transfer: the leader has asked for this election, so that voters
                ignore its lease.
        """
        request = wire.VoteRequest(
            term,
            self._name,
            self._journal.identity,
            self.last_index,
            self._log.last_term,
            pre_vote,
            transfer,
        )
        voters = dict(self.voters)
        granted = {self._name}
        answers = dict.fromkeys(voters, _NO_ANSWER)
        answers[self._name] = "itself"
        majority = len(voters) // 2 + 1
        wait = self._timing.election_ms * SECONDS_PER_MS / 2
        longest = wait if pre_vote else wait * VOTE_TIMEOUT_FACTOR
        began_at, asked_at = trio.current_time(), self._now()

        async def ask(peer, scope):
            try:
                reply = await self._transport.call(peer, request, longest)
            except errors.UnreachableError:
                return
            self._contacts.record_heard(peer, reply.identity)
            if reply.term > self.term:
                # Pre-votes need this as well: with a term below the
                # voter's, no pre-vote would ever succeed.
                await self._learn_term(reply.term)
            answers[peer] = "granted" if reply.granted else "denied"
            if reply.granted and reply.identity == voters[peer]:
                granted.add(peer)
            elif reply.granted:
                answers[peer] = "another data folder"
            else:
                scope.deadline = min(scope.deadline, began_at + wait)
            if len(granted) >= majority:
                scope.cancel()

        if len(granted) < majority:
            with trio.move_on_after(longest) as scope:
                async with trio.open_nursery() as nursery:
                    for peer in voters:
                        if peer != self._name:
                            nursery.start_soon(ask, peer, scope)
        won = len(granted) >= majority
        if not won:  # otherwise, some may not have had the time to answer
            for peer, answer in answers.items():
                if answer == _NO_ANSWER:
                    self._contacts.record_unanswered(peer, asked_at)
        self._log_election(request, won, answers)
        return won

    def _log_election(self, request, won, answers):
        """Log how voters answered, if they answered differently before.

        Args:
            request: the wire.VoteRequest.
            won: whether a majority granted it.
            answers: text by voter.
        """
        votes = "pre-votes" if request.is_pre_vote else "votes"
        listed = ", ".join(f"{one}: {answers[one]}" for one in sorted(answers))
        self._election_text = f"{votes} in term {request.term}: {listed}"
        election = (request.is_pre_vote, won, answers)
        if election == self._last_election:
            return
        self._last_election = election
        reason = "the leader handed over"
        if not request.is_transfer:
            silent = self._now() - self._leader_contact_at
            reason = f"no leader for {silent:.3f} s"
        logs.log(
            "info",
            f"asked for {votes} in term {request.term}, {reason}; "
            f"{'won' if won else 'not won'}; {listed}",
            step="elect",
        )

    def _become_leader(self):
        self.role = "leader"
        self._failed_elections = 0
        self.leader = self._name
        known = {
            **dict.fromkeys(self._settings.list_replicas()),
            **dict.fromkeys(self._known_members),
            **self.voters,
        }
        peers = [name for name in known if name != self._name]
        self._followers = followers.Followers(
            self._name, peers, self.voters, self._now()
        )
        self._followers.record_heard(
            self._last_leader, self._leader_contact_at, self._now()
        )
        for peer in peers:
            since = self._contacts.find_silence(peer)
            if since is not None:
                self._followers.record_silence(peer, since)
        self._last_leader = ""
        self._queued_proposals = []
        self._recorder.record("log.leader", detail=f"term {self.term}")
        logs.log("info", f"leads the log in term {self.term}", step="elect")
        self._leader_wakeup.set()

    def _step_down(self, reason):
        if self.role == "leader":
            self._recorder.record("log.stepped_down", detail=reason)
            logs.log("info", f"stepped down as leader: {reason}", step="lead")
            self._led_until = self._now()
            self._known_members = self.list_members()
            self.leader = ""
        if self.role != "learner":
            self.role = "follower"
        if self._lead_scope is not None:
            self._lead_scope.cancel()
        self._fail_proposals()

    def _fail_proposals(self):
        """Report an unknown outcome to all waiting submitters."""
        self._lead_nursery = None
        for proposal in [*self._proposals.values(), *self._queued_proposals]:
            proposal.finish(None)
        self._proposals = {}
        self._queued_proposals = []

    async def _save_vote(self, term, voted_for):
        """Store a term and a vote; keep the last ones if that is refused.

        Raises:
            errors.NoRoomError: the disk is full.
            errors.StorageError: they may not be durable.
        """
        previous = self.term, self._voted_for
        self.term, self._voted_for = term, voted_for
        vote = journals.Vote(term, voted_for)
        try:
            await self._write(self._journal.save_vote, vote)
        except errors.NoRoomError:
            self.term, self._voted_for = previous
            self._record_refusal()
            raise

    async def _learn_term(self, term):
        """Adopt a higher term from a reply, unless the disk is full."""
        async with self._lock:
            try:
                await self._adopt_term(term)
            except errors.NoRoomError:
                pass  # the next reply has it as well

    async def _adopt_term(self, term):
        """Become a follower in a higher term; ignore a lower one.

        The caller holds the lock.
        """
        if self._end_term(term):
            await self._save_vote(term, "")

    def _end_term(self, term):
        """Step down for a higher term; return whether it is higher."""
        if term > self.term:
            self._step_down(f"term {term}")
            return True
        return False

    # --- leading ---------------------------------------------------------

    async def _lead_when_elected(self, nursery):
        while True:
            await self._leader_wakeup.wait()
            self._leader_wakeup = trio.Event()
            if self.role != "leader":
                continue
            with trio.CancelScope() as self._lead_scope:
                await self._lead(self.term)
            self._lead_scope = None

    async def _lead(self, term):
        async with trio.open_nursery() as nursery:
            self._lead_nursery = nursery
            for peer in self._followers.list_peers():
                nursery.start_soon(self._replicate, peer, term)
            nursery.start_soon(self._change_voters, term)
            begin = commands.BeginTerm(self._name, time.time())
            await self._append_batch([_Proposal(begin)], term)
            while self.role == "leader" and self.term == term:
                await self._leader_wakeup.wait()
                self._leader_wakeup = trio.Event()
                batch, self._queued_proposals = self._queued_proposals, []
                if batch:
                    await self._append_batch(batch, term)

    async def _append_batch(self, batch, term):
        """Append a batch of commands to the log and sync it to disk.

        The commands' outcomes are unknown if this replica no longer leads
        in the term.
        """
        now = time.time()
        with trio.CancelScope(shield=True):
            async with self._lock:
                if self.term != term or self.role != "leader":
                    for proposal in batch:
                        proposal.finish(None)
                    return
                written = []
                for proposal in batch:
                    index = self.last_index + 1
                    command = proposal.command._replace(at=now)
                    kind, data = commands.encode(command)
                    entry = commands.Entry(index, term, kind, data)
                    written.append(entry)
                    self._log.append(entry)
                    self._proposals[index] = proposal
                self._wake_replication()
                try:
                    await self._store(self._journal.append, written)
                except errors.NoRoomError:
                    self._give_up_lead()
                    return
                self._stored_index = written[-1].index
                if self.role == "leader":
                    self._advance_commit()

    def _give_up_lead(self):
        """Let another replica lead, as the disk is full.

        The entries that are not stored may have reached other replicas, and
        the next leader decides on them.
        """
        best = ""
        if self.role == "leader":
            best = self._followers.find_most_advanced(self.voters, self._now())
            self._step_down("no room on its disk")
            self._leader_contact_at = self._now()
        self._log.cut_after(self._stored_index)
        if best:
            self._task_nursery.start_soon(self._ask_to_lead, best)

    def _wake_replication(self):
        self._replication_due.set()
        self._replication_due = trio.Event()

    async def _replicate(self, peer, term):
        """Replicate the log to one replica while leading in the term.

        Sends a snapshot where the replica needs entries that were compacted
        away, and a heartbeat where there is nothing else to send.
        """
        next_index = self.last_index + 1
        pace = pacing.Pace(self._timing.election_ms * SECONDS_PER_MS)
        unanswered_index = None
        while self.role == "leader" and self.term == term:
            if next_index <= self._log.base_index:
                next_index = await self._send_snapshot(
                    peer, term, next_index, pace
                )
                unanswered_index = None
                continue
            replication_due = self._replication_due
            batch = []
            if unanswered_index is None:
                batch = self._read_batch(peer, next_index, pace)
            else:
                # The entries may have arrived, or be on their way still.
                next_index = unanswered_index + 1
            try:
                next_index = await self._send_entries(
                    peer, term, next_index, batch, pace
                )
                unanswered_index = None
            except errors.UnreachableError:
                unanswered_index = next_index - 1 + len(batch)
                await trio.sleep(self._timing.heartbeat_ms * SECONDS_PER_MS)
                continue
            if next_index > self._find_last_to_send(peer):
                with trio.move_on_after(
                    self._timing.heartbeat_ms * SECONDS_PER_MS
                ):
                    await replication_due.wait()

    def _find_last_to_send(self, peer):
        """Return the index up to which entries are sent to a replica.

        A replica that a change removes as a voter gets it only once it is
        committed. With it, it would neither stand in an election nor vote
        for a replica without it, which may be all the others.
        """
        if self._is_changing_voters() and peer not in self.voters:
            return self._log.voters_index - 1
        return self.last_index

    def _read_batch(self, peer, next_index, pace):
        return self._log.read_from(
            next_index,
            self._find_last_to_send(peer),
            BATCH_ENTRIES,
            pace.max_bytes,
        )

    async def _send_entries(self, peer, term, next_index, batch, pace):
        """Send entries from an index on; return the next index to send.

        Without entries, the reply tells where the replica's log ends.

        Args:
            peer: name of the replica.
            term: term in which this replica leads.
            next_index: index of the first entry.
            batch: the entries.
            pace: the replica's pacing.Pace.

        Raises:
            errors.UnreachableError: the replica did not answer within the
                election timeout.
        """
        previous_index = next_index - 1
        size = sum(len(entry.data) for entry in batch)
        message = wire.AppendEntries(
            term,
            self._name,
            previous_index,
            self._log.get_term(previous_index),
            batch,
            self.commit_index,
            self._followers.list_members_to_send(peer, self._now()),
        )
        sent_at = self._now()
        try:
            reply = await self._call_with_heartbeats(peer, message)
        except errors.UnreachableError:
            self._contacts.record_unanswered(peer, sent_at)
            if batch:
                pace.record_silence(size)
            raise
        if batch:
            pace.record_answer(size, self._now() - sent_at)
        self._followers.record_members_sent(peer, message.members, sent_at)
        if not await self._check_reply(peer, reply, sent_at):
            return next_index
        if reply.accepted:
            self._followers.record_match(peer, reply.last_index)
            self._advance_commit()
            return reply.last_index + 1
        return max(1, min(previous_index, reply.last_index + 1))

    async def _call_with_heartbeats(self, peer, message):
        """Return the reply to an AppendEntries.

        Heartbeats go out while the replica stores its entries: a disk that
        stalls would otherwise end the contact with the replica.

        Raises:
            errors.UnreachableError: the replica did not answer within the
                election timeout.
        """
        wait = self._timing.election_ms * SECONDS_PER_MS
        if not message.entries:
            return await self._transport.call(peer, message, wait)
        reply = failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats, peer, message)
            try:
                reply = await self._transport.call(peer, message, wait)
            except errors.UnreachableError as error:
                # A nursery would raise it in a group of exceptions.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return reply

    async def _send_heartbeats(self, peer, message):
        """Send an AppendEntries without its entries, until cancelled."""
        heartbeat = message._replace(entries=[], members=())
        interval = self._timing.heartbeat_ms * SECONDS_PER_MS
        wait = self._timing.election_ms * SECONDS_PER_MS
        while True:
            await trio.sleep(interval)
            sent_at = self._now()
            try:
                reply = await self._transport.call(peer, heartbeat, wait)
            except errors.UnreachableError:
                continue
            if reply.term == message.term:
                self._followers.record_reply(peer, reply.identity, sent_at)

    async def _check_reply(self, peer, reply, sent_at):
        """Record a reply; return False if its term ends this leadership."""
        if reply.term > self.term:
            await self._learn_term(reply.term)
            return False
        self._followers.record_reply(peer, reply.identity, sent_at)
        self._contacts.record_heard(peer, reply.identity)
        return True

    async def _send_snapshot(self, peer, term, next_index, pace):
        """Send the snapshot in chunks; return the next index to send.

        After a chunk that gets no answer, the replica is asked how much it
        has received: the chunk may have arrived, or be on its way still.

        Args:
            peer: name of the replica.
            term: term in which this replica leads.
            next_index: index of the next entry that the replica needs.
            pace: the replica's pacing.Pace.
        """
        base = self._log.make_base_checkpoint()
        index, last_term = base.index, base.term
        data = journals.encode_checkpoint(
            base._replace(data=self._snapshot_data)
        )
        offset = 0
        is_unanswered = False
        while offset < len(data) and self.term == term:
            chunk = data[offset : offset + pace.max_bytes]
            if is_unanswered:
                offset, chunk = len(data), b""
            message = wire.InstallSnapshot(
                term,
                self._name,
                index,
                last_term,
                offset,
                len(data),
                chunk,
            )
            sent_at = self._now()
            try:
                reply = await self._transport.call(
                    peer, message, self._timing.election_ms * SECONDS_PER_MS
                )
            except errors.UnreachableError:
                self._contacts.record_unanswered(peer, sent_at)
                is_unanswered = True
                offset = 0
                if chunk:
                    pace.record_silence(len(chunk))
                await trio.sleep(self._timing.heartbeat_ms * SECONDS_PER_MS)
                continue
            is_unanswered = False
            if chunk:
                pace.record_answer(len(chunk), self._now() - sent_at)
            if not await self._check_reply(peer, reply, sent_at):
                return next_index
            offset = reply.offset
        return index + 1

    def _advance_commit(self):
        """Advance the commit index to what a majority of voters has stored.

        Only an entry of the current term is committed by counting; earlier
        ones are committed along with it.
        """
        if not self.voters:
            return
        own = self._stored_index if self.is_voter else 0
        stored = self._followers.find_quorum_index(self.voters, own)
        index = min(stored, self._stored_index)
        if (
            index > self.commit_index
            and self._log.get_term(index) == self.term
        ):
            self._set_commit(index)
            self._confirmed_at = self._now()
            # Sends the new commit index at once rather than with the next
            # heartbeat, so that followers can serve reads of it.
            self._wake_replication()

    def _set_commit(self, index):
        if index > self.commit_index:
            self.commit_index = index
            self._commit_advanced.set()
            self._commit_advanced = trio.Event()

    def _find_quorum_contact(self):
        now = self._now()
        return self._followers.find_quorum_contact(self.voters, now)

    def holds_lease(self):
        """Return whether this replica leads and no other leader can exist.

        Voters refuse to vote for election_ms, on their own clocks, after a
        message of this leader. The lease is shorter by drift_percent, the
        greatest difference in speed between two clocks. It is not held
        before an entry of the current term is committed.
        """
        if self.role != "leader":
            return False
        if self.commit_index == 0 or self._get_commit_term() != self.term:
            return False
        rate = 1 - self._timing.drift_percent / 100
        length = self._timing.election_ms * SECONDS_PER_MS * rate
        return self._now() < self._find_quorum_contact() + length

    def _get_commit_term(self):
        if self.commit_index < self._log.base_index:
            return 0
        return self._log.get_term(self.commit_index)

    def _view_voters(self):
        return self._followers.view_voters(
            self.voters,
            self.commit_index,
            self._log.find_tail(
                self.commit_index, BATCH_ENTRIES, pacing.INITIAL_BYTES
            ),
            self._now(),
            self._max_voters,
            self._timing.election_ms * SECONDS_PER_MS,
            self._contacts.list_stopped(self.voters),
        )

    def _is_changing_voters(self):
        return self._log.voters_index > self.commit_index

    async def _change_voters(self, term):
        """Make each change of the voters that is due, one after the other.

        A change starts as soon as the last one is committed.
        """
        while self.role == "leader" and self.term == term:
            if self._is_changing_voters():
                await self._commit_advanced.wait()
                continue
            change = None
            if self.holds_lease():
                change = voter_changes.plan(self._view_voters())
            if change is not None:
                await self._propose_voters(change, term)
                continue
            self._voters_due = trio.Event()
            with trio.move_on_after(VOTERS_CHECK_SECONDS):
                await self._voters_due.wait()

    async def _propose_voters(self, change, term):
        names = ", ".join(sorted(change.members))
        self._recorder.record("log.voters", detail=names)
        logs.log(
            "info",
            f"proposes the voters {names}: {change.reason}",
            step="change voters",
            inputs={"index": self.last_index + 1, "term": term},
        )
        self._followers.record_change(self._now())
        for name in change.members.keys() - self.voters.keys():
            self._contacts.forget_stop(name)
        command = commands.SetVoters(change.members, time.time())
        await self._append_batch([_Proposal(command)], term)

    async def handle_leave(self, message):
        """Return the LeaveReply to a Leave, when it is known or after a wait.

        A voter that asks is replaced by a learner, as long as it asks again
        and again, or once it has ended. Followers remember that it stops, as
        one of them may lead by then.
        """
        self._contacts.record_stop(message.name, message.identity)
        reply = self._answer_leave(message)
        with trio.move_on_after(LEAVE_WAIT_SECONDS):
            while reply.code == "pending":
                await self._commit_advanced.wait()
                reply = self._answer_leave(message)
        return reply

    def _answer_leave(self, message):
        if not self.holds_lease():
            detail = f"{self._name} holds no lease"
            return wire.LeaveReply("not_leader", self.leader, detail)
        if self._is_changing_voters():
            return wire.LeaveReply("pending", self._name, "voters change")
        if self.voters.get(message.name) != message.identity:
            return wire.LeaveReply("left", self._name, "")
        obstacle = voter_changes.find_obstacle(
            self._view_voters(), message.name
        )
        if not obstacle:
            self._followers.forget_leaving(message.name)
            detail = "no other replica can take its place"
            return wire.LeaveReply("kept", self._name, detail)
        self._followers.record_leaving(message.name, self._now())
        self._voters_due.set()
        return wire.LeaveReply("pending", self._name, obstacle)

    def is_repairing_voters(self):
        """Return whether it leads more voters than the maximum, not all up.

        Then its vote may be needed to remove the one that is lost.
        """
        return self.role == "leader" and voter_changes.is_repairing(
            self._view_voters()
        )

    def may_be_replaced(self):
        """Return whether a replica may exist that can take over the vote.

        It may be one that the leader named and that has ended since.
        """
        if self._max_voters is None:
            return False
        if self.role == "leader" and self._view_voters().is_fresh:
            return True
        has_surplus = len(self.voters) > self._max_voters
        return has_surplus or not self.voters.keys() >= {*self.list_members()}

    def introduce(self, peer, identity):
        """Start to replicate to a replica that introduced itself.

        Does so only if this replica leads and the other is new to it. One
        that has started again does not stop any more.

        Args:
            peer: its name.
            identity: of its data folder.
        """
        self._contacts.record_start(peer, identity)
        if self._followers is None or self.role != "leader":
            return
        if self._followers.add(peer, identity) and self._lead_nursery:
            self._lead_nursery.start_soon(self._replicate, peer, self.term)

    # --- following -------------------------------------------------------

    def _has_recent_leader(self):
        if self.role == "leader":
            return self.holds_lease()
        silent = self._now() - self._leader_contact_at
        return silent < self._timing.election_ms * SECONDS_PER_MS

    async def handle_vote(self, request):
        """Return the VoteReply to a VoteRequest."""
        self._contacts.record_heard(request.candidate, request.identity)
        async with self._lock:
            objection = await self._decide_vote(request)
        self._log_vote(request, objection)
        granted = not objection
        return wire.VoteReply(self.term, granted, self._journal.identity)

    async def _decide_vote(self, request):
        """Return why a vote is denied; empty if it is granted."""
        if self._has_recent_leader() and not request.is_transfer:
            return "recent leader"
        theirs = (request.last_term, request.last_index)
        if theirs < (self._log.last_term, self.last_index):
            return "older log"
        if request.is_pre_vote:
            return "" if request.term > self.term else "lower term"
        if request.term < self.term:
            return "lower term"
        voted_for = self._voted_for if request.term == self.term else ""
        if voted_for not in ("", request.candidate):
            return f"voted for {voted_for} already"
        if not voted_for:
            self._end_term(request.term)
            try:
                await self._save_vote(request.term, request.candidate)
            except errors.NoRoomError:
                return "no room on its disk"
        self._voted_at = self._now()
        return ""

    def _log_vote(self, request, objection):
        """Log a decision that differs from the last one on a candidate."""
        decision = (request.is_pre_vote, request.term, objection)
        if self._last_votes.get(request.candidate) == decision:
            return
        self._last_votes[request.candidate] = decision
        vote = "pre-vote" if request.is_pre_vote else "vote"
        decided = f"denied a {vote}: {objection}"
        if not objection:
            decided = f"granted a {vote}"
        logs.log(
            "info",
            f"{decided}; candidate at term {request.term}, "
            f"index {request.last_index}",
            step="elect",
            peer=request.candidate,
            inputs={
                "term": self.term,
                "index": self.last_index,
                "leader": self.leader,
                "leader_silent": round(
                    self._now() - self._leader_contact_at, 3
                ),
            },
        )

    async def handle_append(self, message):
        """Return the AppendEntriesReply to an AppendEntries.

        Entries are synced to disk before it is accepted. A heartbeat of the
        known leader is answered at once, also while the disk stalls.

        Raises:
            errors.NoRoomError: the disk is full; nothing was stored.
            errors.StorageError: the entries can't be stored, or they
                conflict with committed ones.
        """
        if self._is_heartbeat(message):
            return self._accept_stored(message)
        return await _delay_refusal(self._append_received, message)

    async def _append_received(self, message):
        with trio.CancelScope(shield=True):
            async with self._lock:
                if message.term < self.term:
                    return self._reply_append(False, 0)
                await self._accept_leader(message.term, message.leader)
                self._known_members = message.members or self._known_members
                if not self._has_previous_entry(message):
                    return self._reply_append(
                        False, self._find_retry_index(message)
                    )
                await self._store_entries(message.entries)
                return self._accept_stored(message)

    def _is_heartbeat(self, message):
        """Return whether the leader in office sent an Append without entries.

        The entry before must be stored, so that accepting it says nothing
        about entries that are still being written.
        """
        return (
            not message.entries
            and message.term == self.term
            and message.leader == self.leader
            and self.role in ("follower", "learner")
            and self._has_previous_entry(message)
        )

    def _accept_stored(self, message):
        """Return the reply to an Append whose entries are all stored."""
        self._known_members = message.members or self._known_members
        self._leader_contact_at = self._confirmed_at = self._now()
        if self._entries_refused_at is None:
            self._refused_since = None
        self._contacts.record_heard(message.leader)
        # The entries may have made this replica a voter.
        self.role = "follower" if self.is_voter else "learner"
        matched = message.previous_index + len(message.entries)
        matched = max(matched, self._log.base_index)
        self._set_commit(min(message.commit, matched))
        return self._reply_append(True, matched)

    def _reply_append(self, accepted, last_index):
        identity = self._journal.identity
        return wire.AppendEntriesReply(
            self.term, accepted, last_index, identity
        )

    async def _accept_leader(self, term, leader):
        await self._adopt_term(term)
        self._leader_contact_at = self._now()
        self._last_leader = leader
        self._contacts.record_heard(leader)
        self.role = "follower" if self.is_voter else "learner"
        self._last_election = None
        self._last_votes.clear()
        self._failed_elections = 0
        self._next_election_at = float("-inf")
        if self.leader != leader:
            self.leader = leader
            logs.log(
                "info", f"follows in term {term}", step="follow", peer=leader
            )
            self._recorder.record("log.follows", peer=leader)

    def _has_previous_entry(self, message):
        previous_index = message.previous_index
        if previous_index < self._log.base_index:
            return True
        if previous_index > self.last_index:
            return False
        return self._log.get_term(previous_index) == message.previous_term

    def _find_retry_index(self, message):
        """Return the index at which the leader should retry after a mismatch.

        Goes back by one batch at a time, but not below the commit index:
        committed entries never conflict.
        """
        if message.previous_index > self.last_index:
            return self.last_index
        return max(self.commit_index, message.previous_index - BATCH_ENTRIES)

    async def _store_entries(self, received):
        """Store the entries that are new and replace conflicting ones.

        Raises:
            errors.NoRoomError: the disk is full; nothing was stored.
            errors.StorageError: they can't be stored, or conflict with
                committed ones.
        """
        new_entries = self._log.find_new(received)
        if not new_entries:
            return
        first = new_entries[0].index
        if first <= self.commit_index:
            raise errors.StorageError(
                f"received entry {first} conflicts with a committed entry; "
                "replace the data folder",
                step="store entries",
                peer=self._name,
            )
        await self._store(self._journal.append, new_entries)
        self._log.replace_from(new_entries)
        self._stored_index = self.last_index

    async def handle_snapshot(self, message):
        """Return the InstallSnapshotReply to a chunk of a snapshot.

        Installs the snapshot once all chunks have arrived.

        Raises:
            errors.NoRoomError: the disk is full; the chunks are kept.
            errors.StorageError: the snapshot can't be stored.
        """
        return await _delay_refusal(self._install_received, message)

    async def _install_received(self, message):
        with trio.CancelScope(shield=True):
            async with self._lock:
                if message.term >= self.term:
                    await self._accept_leader(message.term, message.leader)
                    await self._receive_chunk(message)
                offset = len(self._received_snapshot)
                if self.commit_index >= message.last_index:
                    offset = message.total
                identity = self._journal.identity
                return wire.InstallSnapshotReply(self.term, offset, identity)

    async def _receive_chunk(self, message):
        snapshot = (message.term, message.last_index, message.total)
        if message.offset == 0 or snapshot != self._receiving_snapshot:
            self._receiving_snapshot = snapshot
            self._received_snapshot = b""
        if message.offset == len(self._received_snapshot):
            self._received_snapshot += message.data
        if len(self._received_snapshot) < message.total:
            return
        checkpoint = journals.decode_checkpoint(self._received_snapshot)
        if checkpoint.index > self.commit_index:
            await self._store(self._journal.save_checkpoint, checkpoint, [])
            self._install(checkpoint)
        self._received_snapshot = b""

    def _install(self, checkpoint):
        """Continue with a snapshot of another replica, which is stored."""
        self._log.reset(checkpoint)
        self._snapshot_data = checkpoint.data
        self._stored_index = checkpoint.index
        self.state.load(checkpoint.data)
        self._set_commit(checkpoint.index)
        self.notify_applied()
        _log_voters(checkpoint.voters, checkpoint.index)
        detail = f"index {checkpoint.index}"
        self._recorder.record("log.snapshot_installed", detail=detail)
        logs.log(
            "info",
            "installed a snapshot",
            step="install snapshot",
            inputs={
                "index": checkpoint.index,
                "domains_out": self.state.list_domains_out(),
            },
        )

    # --- applying --------------------------------------------------------

    def notify_applied(self):
        """Wake all that wait for entries to be applied."""
        self.applied.set()
        self.applied = trio.Event()

    async def wait_until_applied(self, index):
        """Wait until this replica has applied the log up to an index."""
        while self.state.index < index:
            await self.applied.wait()

    async def _apply_committed(self):
        while True:
            commit_advanced = self._commit_advanced
            if self.state.index >= self.commit_index:
                await commit_advanced.wait()
                continue
            while self.state.index < self.commit_index:
                self._apply_next()
            self.notify_applied()
            if self._is_compaction_due():
                try:
                    await self._compact()
                except errors.NoRoomError:
                    self._next_compaction_at = (
                        self._now() + COMPACTION_RETRY_SECONDS
                    )

    def _is_compaction_due(self):
        """Return whether the log is too large for a replica without a disk.

        A leader waits for the replicas that still need the entries, up to
        LOG_OVERRUN times the size, as it would have to send them the
        snapshot.
        """
        if self._now() < self._next_compaction_at:
            return False
        max_bytes = max(
            MAX_LOG_BYTES, LOG_TO_SNAPSHOT * len(self._snapshot_data)
        )
        excess = max(
            len(self._log) / MAX_LOG_ENTRIES, self._log.size / max_bytes
        )
        if self.role != "leader" or excess > LOG_OVERRUN:
            return excess > 1
        return excess > 1 and self._followers.has_stored_everywhere(
            self.state.index,
            self._now(),
            self._timing.election_ms * SECONDS_PER_MS,
        )

    def _apply_next(self):
        index = self.state.index + 1
        entry = self._log.get(index)
        outcome = self.state.apply(entry)
        if entry.kind == "voters":
            _log_voters(commands.decode(entry.kind, entry.data).members, index)
        proposal = self._proposals.pop(index, None)
        if proposal is not None:
            proposal.finish(outcome)

    async def _compact(self):
        """Store a snapshot of the state and drop the entries it covers.

        Raises:
            errors.NoRoomError: the disk is full; the entries are kept.
            errors.StorageError: the snapshot can't be stored.
        """
        with trio.CancelScope(shield=True):
            async with self._lock:
                index = self.state.index
                checkpoint, remaining = self._log.plan_compaction(
                    index, self.state.dump()
                )
                await self._write(
                    self._journal.save_checkpoint, checkpoint, remaining
                )
                self._log.compact(checkpoint, remaining)
                self._snapshot_data = checkpoint.data
        self._recorder.record("log.compacted", detail=f"index {index}")

    # --- serving ---------------------------------------------------------

    async def submit(self, command):
        """Submit a command to the log and return a SubmitReply.

        The reply's code is `applied` once the command was applied,
        `not_leader` if nothing was done, and `unknown` if this replica lost
        its leadership before the command was applied.
        """
        if self.role != "leader":
            return wire.SubmitReply("not_leader", self.leader, None)
        known = self._find_known_outcome(command)
        if known is not None:
            return wire.SubmitReply("applied", self._name, known)
        proposal = _Proposal(command)
        self._queued_proposals.append(proposal)
        self._leader_wakeup.set()
        try:
            await proposal.done.wait()
        finally:
            # Nothing is done later for a submitter that has left.
            if proposal in self._queued_proposals:
                self._queued_proposals.remove(proposal)
        if proposal.outcome is None:
            return wire.SubmitReply("unknown", self.leader, None)
        return wire.SubmitReply("applied", self._name, proposal.outcome)

    def _find_known_outcome(self, command):
        """Return the outcome of a request claimed by another attempt, or None.

        A claim never returns to an earlier state, so that a leader with the
        lease can answer from its own state without a new log entry.
        """
        if (
            not isinstance(command, commands.ClaimAttempt)
            or not self.holds_lease()
        ):
            return None
        record = self.state.claims.get((command.account, command.key))
        if record is None or record.state == "abandoned":
            return None
        if record.attempt == command.attempt:
            return None
        return states.describe_claim(
            record, command.digest, time.time(), self.state.index
        )

    def read_claim(self, message):
        """Return the Outcome that answers a ReadClaim.

        Its code is not_leader if this replica does not hold the lease.
        """
        if not self.holds_lease():
            return commands.Outcome("not_leader", detail=self.leader)
        record = self.state.claims.get((message.account, message.key))
        index = self.state.index
        if record is None:
            return commands.Outcome("none", index)
        if record.state == "abandoned":
            return commands.Outcome("abandoned", index)
        return states.describe_claim(record, "", time.time(), index)

    async def transfer_leadership(self):
        """Step down and ask the most up-to-date voter to start an election.

        Does nothing on a replica that does not lead. The lease ends before
        the message is sent, so that two replicas never hold it at once.
        """
        if self.role != "leader":
            return
        wait = self._timing.election_ms * SECONDS_PER_MS
        with trio.move_on_after(wait):
            async with self._lock:
                pass  # the batch that is being written may be committed
        if self.role == "leader":
            await self._hand_over("handed over")

    async def _hand_over(self, reason):
        best = self._followers.find_most_advanced(self.voters, self._now())
        self._step_down(reason)
        self._leader_contact_at = self._now()
        if best:
            await self._ask_to_lead(best)

    async def _ask_to_lead(self, peer):
        """Ask a replica to start an election in this term."""
        message = wire.TimeoutNow(self.term)
        wait = self._timing.election_ms * SECONDS_PER_MS
        try:
            await self._transport.call(peer, message, wait)
        except errors.UnreachableError as error:
            logs.log("warning", error.format(), step="hand over")

    async def handle_timeout_now(self, message):
        """Start an election at once and return the TimeoutNowReply.

        Ignores a message of another term, and does nothing on a replica
        that is no voter.
        """
        if message.term == self.term and self.is_voter:
            await self._run_election(message.term)
        return wire.TimeoutNowReply(self.term)

    async def confirm_index(self):
        """Return the commit index, or -1 if this replica holds no lease.

        With the lease, it covers every command acknowledged before the
        call, and no other replica needs to be asked.
        """
        if not self.holds_lease():
            return -1
        return self.commit_index
