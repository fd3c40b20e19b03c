"""Messages between instances and their codec.

A message is sent as three frames: its kind (a short string), the sender's
clock stamp and request number, and the body in MessagePack.
"""

import typing

from camphorhook_common import codec
from camphorhook_common import commands
from camphorhook_common import tables

# --- messages between replicas ------------------------------------------


class VoteRequest(typing.NamedTuple):
    """Asks a voter for its vote in an election.

    Attributes:
        term: term that the candidate would lead.
        candidate: name of the candidate.
        identity: identity of the candidate's data folder.
        last_index: index of the last entry of the candidate's log.
        last_term: term of that entry.
        is_pre_vote: this is a pre-vote, which changes no terms.
        is_transfer: the election transfers leadership at the leader's request.
    """

    term: int
    candidate: str
    identity: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool


class VoteReply(typing.NamedTuple):
    """Answers VoteRequest; `identity` is that of the voter's data folder."""

    term: int
    granted: bool
    identity: str


class TimeoutNow(typing.NamedTuple):
    """Asks a replica to start an election now, to transfer leadership."""

    term: int


class TimeoutNowReply(typing.NamedTuple):
    """Answers TimeoutNow."""

    term: int


class AppendEntries(typing.NamedTuple):
    """Replicates log entries from the leader; without any, a heartbeat.

    Attributes:
        term: term of the leader.
        leader: name of the leader.
        previous_index: index of the entry that precedes `entries`.
        previous_term: term of that entry.
        entries: entries to append.
        commit: highest index that is committed.
        members: names of all replicas that the leader replicates to, its own
            included; empty if unchanged since it last sent them.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[commands.Entry]
    commit: int
    members: tuple[str, ...] = ()


class AppendEntriesReply(typing.NamedTuple):
    """Answers AppendEntries.

    Attributes:
        term: term of the receiver.
        accepted: whether the entries were stored.
        last_index: highest index known to match the leader's log; for a
            rejection, the index to try next.
        identity: identity of the receiver's data folder.
    """

    term: int
    accepted: bool
    last_index: int
    identity: str


class InstallSnapshot(typing.NamedTuple):
    """Sends a chunk of the leader's snapshot.

    Attributes:
        term: term of the leader.
        leader: name of the leader.
        last_index: index of the last entry that the snapshot contains.
        last_term: term of that entry.
        offset: offset of the chunk in the snapshot, in bytes.
        total: size of the snapshot in bytes.
        data: the chunk.
    """

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    total: int
    data: bytes


class InstallSnapshotReply(typing.NamedTuple):
    """Answers InstallSnapshot; `offset` is that of the next byte to send."""

    term: int
    offset: int
    identity: str


class Leave(typing.NamedTuple):
    """Asks the leader to replace the sender as a voter, as it stops.

    Older builds don't answer it.

    Attributes:
        name: name of the sender.
        identity: identity of the sender's data folder.
    """

    name: str
    identity: str


class LeaveReply(typing.NamedTuple):
    """Answers Leave.

    Attributes:
        code: left: the sender is no voter; pending: ask again; kept: no
            replica can take its place; or not_leader.
        leader: name of the leader; empty if unknown.
        detail: what a pending change waits for, or why there is none.
    """

    code: str
    leader: str
    detail: str


# --- messages between any instances -------------------------------------


class Submit(typing.NamedTuple):
    """Sends a command to a replica, to append it to the log."""

    kind: str
    data: bytes


class SubmitReply(typing.NamedTuple):
    """Answers Submit.

    Attributes:
        code: applied; not_leader: nothing was done; or unknown: the command
            may or may not take effect.
        leader: name of the leader; empty if unknown.
        outcome: outcome of the command; None unless applied.
    """

    code: str
    leader: str
    outcome: commands.Outcome | None


class ReadClaim(typing.NamedTuple):
    """Asks the leader for the state of a claimed request.

    The reply is a commands.Outcome with the code none, abandoned, running,
    unknown, oversized, replay, or not_leader with the leader's name as detail.
    """

    account: str
    key: str


class Watch(typing.NamedTuple):
    """Asks a replica for the changes to the tables after an index.

    Attributes:
        index: highest index in force at the sender; -1 for none.
        wait_ms: longest time to wait for a change, in milliseconds.
        confirm: whether the leader must confirm the state as current.
    """

    index: int
    wait_ms: int
    confirm: bool


class Change(typing.NamedTuple):
    """The new state of a row; `cells` is None for a removed row."""

    table: str
    row: str
    version: int
    cells: tables.Row | None


class WatchReply(typing.NamedTuple):
    """Answers Watch.

    Attributes:
        index: index of the state after these changes.
        is_full: the changes are the full tables, not only what changed.
        changes: rows in the order in which they changed.
        age_ms: milliseconds since the replica was last in contact with a
            leader; -1 if unknown.
        leader: name of the leader; empty if unknown.
        replicas: names of the known replicas.
    """

    index: int
    is_full: bool
    changes: list[Change]
    age_ms: int
    leader: str
    replicas: tuple[str, ...] = ()


class ConfirmIndex(typing.NamedTuple):
    """Asks the leader for an index that covers all acknowledged changes."""

    sender: str


class IndexReply(typing.NamedTuple):
    """Answers ConfirmIndex; -1 if the receiver holds no leader lease."""

    index: int


class Introduce(typing.NamedTuple):
    """Makes a replica known to another.

    Attributes:
        name: name of the sender.
        identity: identity of the sender's data folder.
    """

    name: str
    identity: str


class IntroduceReply(typing.NamedTuple):
    """Answers Introduce with the leader and replicas that are known."""

    leader: str
    replicas: tuple[str, ...]


class Registration(typing.NamedTuple):
    """The latest registration of an upstream.

    Attributes:
        name: id of the upstream.
        service: service that it belongs to.
        failure_domain: failure domain that it runs in.
        address: IP address.
        port: TCP port.
        incarnation: time of its start, in milliseconds since the epoch.
        sequence: increases with each registration of an incarnation.
        state: live, leaving or gone.
        capacity: number of requests that it can run concurrently.
        cold_ms: time for which it remains cold, in milliseconds from the
            time of sending.
        version: version of its software; older builds send none.
    """

    name: str
    service: str
    failure_domain: str
    address: str
    port: int
    incarnation: int
    sequence: int
    state: str
    capacity: int
    cold_ms: int
    version: str = ""

    def drop_version(self):
        """Return the fields that older builds read."""
        return self[:-1]


class Placement(typing.NamedTuple):
    """Records that a prompt with a shared part was sent to an upstream.

    Attributes:
        part: id of the shared part of the prompt.
        upstream: name of the upstream.
    """

    part: str
    upstream: str


class ReadPlacements(typing.NamedTuple):
    """Asks an instance for the placements known to it."""

    sender: str


class PlacementsReply(typing.NamedTuple):
    """Answers ReadPlacements.

    Attributes:
        placements: known placements, the oldest first.
        is_synced: the instance also knows placements from before its own
            start.
    """

    placements: list[Placement]
    is_synced: bool


class UpstreamLoad(typing.NamedTuple):
    """The load that an instance puts on an upstream.

    Attributes:
        upstream: name of the upstream.
        in_flight: number of requests in flight.
        pending_prefill_tokens: estimated prompt tokens still to be prefilled.
    """

    upstream: str
    in_flight: int
    pending_prefill_tokens: int


class UpstreamOutcomes(typing.NamedTuple):
    """Counts of requests to an upstream that succeeded and that failed."""

    upstream: str
    successes: int
    failures: int


class Notice(typing.NamedTuple):
    """Publishes the state of an instance to its subscribers; one-way.

    Attributes:
        sender: name of the instance.
        loads: loads on all upstreams on which it has requests.
        placements: placements since its last notice.
        outcomes: outcomes since its last notice.
    """

    sender: str
    loads: list[UpstreamLoad]
    placements: list[Placement]
    outcomes: list[UpstreamOutcomes]


class Summary(typing.NamedTuple):
    """Aggregates the notices of several instances; one-way.

    Attributes:
        sender: name of the relay that made the summary.
        group: group of instances that the relay serves.
        scope: what is aggregated: group, or whole for the whole fleet.
        instances: number of instances aggregated.
        sums: loads and outcomes by upstream, as encoded by `summaries`.
        placements: placements since the relay's last summary.
    """

    sender: str
    group: str
    scope: str
    instances: int
    sums: bytes
    placements: list[Placement]


class Departure(typing.NamedTuple):
    """Records that an upstream said in an answer that it leaves.

    Attributes:
        upstream: name of the upstream.
        incarnation: its incarnation.
        age_ms: milliseconds since it said so.
    """

    upstream: str
    incarnation: int
    age_ms: int


class Departures(typing.NamedTuple):
    """Publishes departures that the sender has learned of; one-way."""

    sender: str
    departures: list[Departure]


class UpstreamLimit(typing.NamedTuple):
    """Records the requests per second that an upstream takes from the fleet.

    Attributes:
        upstream: name of the upstream.
        incarnation: its incarnation.
        rate: requests per second; None if the limit was lifted.
        age_ms: milliseconds since an answer said so.
    """

    upstream: str
    incarnation: int
    rate: float | None
    age_ms: int


class LimitNews(typing.NamedTuple):
    """Publishes limits that the sender has learned of."""

    sender: str
    limits: list[UpstreamLimit]

    def is_empty(self):
        """Return whether there are none."""
        return not self.limits


class ReadLimits(typing.NamedTuple):
    """Asks an instance for all limits that it knows, as LimitNews.

    Attributes:
        sender: name of the instance that asks.
        fingerprint: hash of the limits that the sender knows; the reply is
            empty if the receiver knows the same.
    """

    sender: str
    fingerprint: int


class AcquireRatePermit(typing.NamedTuple):
    """Asks the holder for a permit to send a request to an upstream.

    Attributes:
        upstream: name of the upstream.
        failure_domain: its failure domain, which determines the holder.
        incarnation: its incarnation.
        rate: requests per second that it takes from all instances.
    """

    upstream: str
    failure_domain: str
    incarnation: int
    rate: float


class RatePermitReply(typing.NamedTuple):
    """Answers AcquireRatePermit.

    Attributes:
        granted: whether one request may be sent now.
        wait_ms: milliseconds until the sender may ask again.
        retry_ms: milliseconds after which a client that is refused may
            expect a permit.
    """

    granted: bool
    wait_ms: int
    retry_ms: int


class ServicePressure(typing.NamedTuple):
    """Says for how long the places of a service must be shared.

    Attributes:
        service: name of the service.
        brittle_ms: milliseconds for which its upstreams are brittle.
        shared_ms: milliseconds for which requests need a place.
    """

    service: str
    brittle_ms: int
    shared_ms: int


class PressureNews(typing.NamedTuple):
    """Publishes the services whose places must be shared."""

    sender: str
    services: list[ServicePressure]


class PlaceCandidate(typing.NamedTuple):
    """An upstream that may serve a request, and how many it runs at once."""

    name: str
    places: int


class AcquirePlace(typing.NamedTuple):
    """Asks a holder for a place at one of several upstreams.

    Attributes:
        sender: name of the instance that asks.
        number: number of the question at the sender.
        service: name of the service.
        candidates: its upstreams that may serve the request.
        priority: 0 is the most urgent.
        wait_ms: longest time to wait for a place, in milliseconds.
        lease_ms: milliseconds after which the place counts as free.
    """

    sender: str
    number: int
    service: str
    candidates: list[PlaceCandidate]
    priority: int
    wait_ms: int
    lease_ms: int


class AcquireOrderedPlace(typing.NamedTuple):
    """Asks for a place as AcquirePlace does, and tells what sets the order.

    Older builds refuse longer forms of a message, and don't answer kinds that
    they don't know. One without candidates asks whether it is answered.

    Attributes:
        sender: name of the instance that asks.
        number: number of the question at the sender.
        service: name of the service.
        candidates: its upstreams that may serve the request.
        priority: 0 is the most urgent.
        wait_ms: longest time to wait for a place, in milliseconds.
        lease_ms: milliseconds after which the place counts as free.
        account: name of the client account; empty on a public route.
        target_ms: milliseconds until the target time of the answer.
        is_last: the client is told to return if there is no place.
        request: digest of the request; 0 if it has none.
    """

    sender: str
    number: int
    service: str
    candidates: list[PlaceCandidate]
    priority: int
    wait_ms: int
    lease_ms: int
    account: str = ""
    target_ms: int = 0
    is_last: bool = False
    request: int = 0


class PlaceReply(typing.NamedTuple):
    """Answers AcquirePlace and AcquireOrderedPlace.

    Attributes:
        upstream: upstream to send the request to; empty if there is no place.
        retry_ms: milliseconds after which one is likely to be free.
        is_holder: whether the sender grants places of the service now.
        is_granting: whether it grants any of the candidates' places.
    """

    upstream: str
    retry_ms: int
    is_holder: bool = True
    is_granting: bool = True


class ReleasePlace(typing.NamedTuple):
    """Gives back what a question of this sender and number was granted."""

    sender: str
    number: int
    service: str


class StoreOrigin(typing.NamedTuple):
    """Tells a keeper where a stream began.

    Attributes:
        key: identifies the stream; see `stream_origins.make_key`.
        service: service that began it.
        version: software version that began it.
        keep_ms: milliseconds for which a client may take it up.
    """

    key: int
    service: str
    version: str
    keep_ms: int


class OriginGroup(typing.NamedTuple):
    """Streams that one version of a service began.

    Attributes:
        service: the service.
        version: its software version.
        keep_ms: milliseconds for which clients may take the streams up.
        keys: identify the streams; see `stream_origins.make_key`.
    """

    service: str
    version: str
    keep_ms: int
    keys: list[int]


class StoreOrigins(typing.NamedTuple):
    """Tells a replica where streams began."""

    groups: list[OriginGroup]


class SyncOrigins(typing.NamedTuple):
    """StoreOrigins that a replica answers once they are on its disk."""

    groups: list[OriginGroup]


class ReadVersions(typing.NamedTuple):
    """Asks an instance which versions it saw lately."""


class SeenVersion(typing.NamedTuple):
    """A version of a service, and milliseconds since it was last seen."""

    service: str
    version: str
    age_ms: int


class VersionsReply(typing.NamedTuple):
    """Answers ReadVersions.

    Attributes:
        is_complete: the sender saw all versions of the last minute that it
            could see.
        versions: the versions.
    """

    is_complete: bool
    versions: list[SeenVersion]


class RolloutCounts(typing.NamedTuple):
    """Outcomes of one class of requests since a rollout was seen.

    Attributes:
        route: name of the route.
        is_target: whether they went to the target version.
        upstream: name of the upstream; empty for the old versions, whose
            upstreams are summed.
        sent: requests sent.
        served: outcomes that are no failures.
        failed: failures of the upstream itself.
        times: numbers of comparable answers by class of the time to the
            first byte or event; pairs of class and number.
    """

    route: str
    is_target: bool
    upstream: str
    sent: int
    served: int
    failed: int
    times: list[tuple[int, int]]


class ReportRollout(typing.NamedTuple):
    """Tells the leader what an entry instance counted of a rollout.

    Attributes:
        service: name of the service.
        rollout: id of the command that began the rollout.
        instance: name of the entry instance.
        run: id of its process, whose counts these are.
        targets: upstreams of the target version that it knows.
        counts: totals since the process saw the rollout; those that are the
            same as in a report that was taken may be left out.
    """

    service: str
    rollout: str
    instance: str
    run: str
    targets: int
    counts: list[RolloutCounts]


class ReportReply(typing.NamedTuple):
    """Answers ReportRollout.

    Attributes:
        leader: leads the log, or is empty.
        taken_by: id of the sums that took the counts; empty if none did.
    """

    leader: str
    taken_by: str = ""


class FindOrigin(typing.NamedTuple):
    """Asks an instance where the stream with this key began."""

    key: int


class OriginReply(typing.NamedTuple):
    """Answers StoreOrigin and FindOrigin.

    Attributes:
        is_known: whether the receiver keeps one origin of the stream.
        service: service that began it; empty if unknown.
        version: software version that began it.
    """

    is_known: bool
    service: str
    version: str


class ReadContacts(typing.NamedTuple):
    """Asks an instance when it last heard from upstreams.

    Attributes:
        sender: name of the instance that asks.
        upstreams: names of the upstreams.
    """

    sender: str
    upstreams: list[str]


class ContactsReply(typing.NamedTuple):
    """Answers ReadContacts.

    Attributes:
        is_cut_off: the sender's links to all upstreams fail.
        active: number of requests in flight at the sender.
        ages_ms: milliseconds since it heard from each upstream asked about;
            those that it never heard from are left out.
    """

    is_cut_off: bool
    active: int
    ages_ms: dict[str, int]


class WatchUpstreams(typing.NamedTuple):
    """Asks a replica for the registrations that changed.

    Attributes:
        sender: name of the instance that asks.
        failure_domain: failure domain of the sender.
        epoch: epoch of the last reply; empty if there is none.
        after: position up to which the sender knows the changes.
        known_watchers_version: version of the list of watchers that the
            sender knows.
        wait_ms: longest time to wait for a change, in milliseconds.
        reads_changes: the sender can read changes of the list of watchers;
            instances of older versions can't.
        reads_versions: the sender can read registrations with a version.
    """

    sender: str
    failure_domain: str
    epoch: str
    after: int
    known_watchers_version: int
    wait_ms: int
    reads_changes: bool = False
    reads_versions: bool = False


class UpstreamsReply(typing.NamedTuple):
    """Answers WatchUpstreams.

    Attributes:
        epoch: identifies the process of the replica.
        position: position up to which the reply contains all changes.
        is_full: `changed` holds all registrations, not only the changed ones.
        changed: changed registrations, without the removed ones.
        removed: names of upstreams that no longer register here.
        age_ms: uptime of the replica's process, in milliseconds.
        watchers: failure domain by name of the instances that recently
            watched this replica; None if the sender knows this list. If the
            sender reads changes and the reply is not full, these are the
            changes of the list, with an empty domain for each removed one.
        watchers_version: version of the list of watchers.
    """

    epoch: str
    position: int
    is_full: bool
    changed: list[Registration]
    removed: list[str]
    age_ms: int
    watchers: dict[str, str] | None
    watchers_version: int


class ShowStatus(typing.NamedTuple):
    """Asks an instance for its StatusReply, to show it to an operator."""

    sender: str


class StatusReply(typing.NamedTuple):
    """The state of an instance as shown to operators.

    Attributes:
        name: name of the instance.
        failure_domain: failure domain that it runs in.
        index: configuration index in force; -1 for none.
        state: starting, ready, cut_off, drained, out or stopping.
        log_role: leader, follower, learner, candidate or none.
        term: current term of the replicated log.
        last_index: index of the last entry of its log.
        voters: names of the voters.
        upstreams: number of live upstreams that it knows.
        active: number of requests in flight.
    """

    name: str
    failure_domain: str
    index: int
    state: str
    log_role: str
    term: int
    last_index: int
    voters: list[str]
    upstreams: int
    active: int


class Upstream(typing.NamedTuple):
    """The record of an upstream on an instance.

    Attributes:
        name: unique name.
        failure_domain: failure domain that it runs in.
        service: service that it belongs to.
        models: models that it serves; empty for a plain service.
        address: IP address.
        port: TCP port.
        incarnation: increases with every start of the upstream.
        sequence: increases with every announcement of an incarnation.
        ttl_ms: time for which an announcement is valid, in milliseconds.
        state: live or leaving.
        active: number of requests in flight as it reported.
        capacity: number of requests that it can run concurrently.
        features: any of FEATURES.
        cold_spell: number of times that this incarnation became cold again.
        warm: permit holders that found it warm since then.
        version: version of its software; empty if unknown.
    """

    name: str
    failure_domain: str
    service: str
    models: tuple[str, ...]
    address: str
    port: int
    incarnation: int
    sequence: int
    ttl_ms: int
    state: str
    active: int
    capacity: int
    features: tuple[str, ...]
    cold_spell: int
    warm: tuple[str, ...]
    version: str = ""

    def drop_version(self):
        """Return the fields that older builds read."""
        return self[:-1]


FEATURES = ("continue", "resume", "kv", "fencing")


class Usage(typing.NamedTuple):
    """Recent usage of a client account on one instance.

    Attributes:
        account: client account.
        instance: instance that measured it.
        request_rate: requests per second, waiting ones included.
        token_rate: tokens per minute.
        active: number of requests in flight.
        stamp: clock stamp of the measurement.
    """

    account: str
    instance: str
    request_rate: float
    token_rate: float
    active: int
    stamp: int


class CrashedRun(typing.NamedTuple):
    """A run that ended when its upstream crashed.

    Attributes:
        ms: milliseconds from sending the request to the crash.
        traits: hashes of what other requests may share with this one; the
            first is the digest of the whole request.
    """

    ms: int
    traits: tuple[int, ...]


class Crash(typing.NamedTuple):
    """A crash of an upstream and the requests that ran on it.

    Attributes:
        upstream: name and incarnation of the upstream.
        age_ms: milliseconds since the crash.
        left_ms: milliseconds until the crash no longer matters.
        alive_ms: milliseconds since the upstream was last known to run, if
            it was suspected of an earlier crash; negative otherwise.
        runs: runs that the crash ended and that are news to the receiver.
    """

    upstream: str
    age_ms: int
    left_ms: int
    alive_ms: int
    runs: list[CrashedRun]


class SoundTrait(typing.NamedTuple):
    """A trait of a request that was answered completely `age_ms` ago."""

    trait: int
    age_ms: int


class Refusal(typing.NamedTuple):
    """A request with all these traits was refused `age_ms` ago."""

    traits: tuple[int, ...]
    age_ms: int


class CrashNews(typing.NamedTuple):
    """Publishes what the sender has learned about crashes of upstreams.

    Attributes:
        sender: name of the instance.
        crashes: crashes with new runs, or that did not happen.
        sound: traits of runs that crashed, which did not cause the crashes.
        refusals: refusals because of crashes.
    """

    sender: str
    crashes: list[Crash]
    sound: list[SoundTrait]
    refusals: list[Refusal]

    def is_empty(self):
        """Return whether it holds no crashes."""
        return not self.crashes


class ReadCrashes(typing.NamedTuple):
    """Asks an instance for all that it knows about crashes, as CrashNews.

    Attributes:
        sender: name of the instance that asks.
        fingerprint: hash of what the sender knows; the reply is empty if the
            receiver knows the same.
    """

    sender: str
    fingerprint: int


class Exchange(typing.NamedTuple):
    """Gossips what changed at the sender since its last exchange with a peer.

    Attributes:
        sender: name of the sender.
        incarnation: clock stamp of the sender's start.
        is_full: the message contains all that the sender knows of upstreams,
            and the sender has received such a message itself or has waited
            long enough for one.
        upstreams: records with changes other than in their load.
        loads: loads of upstreams, as encoded by `membership`.
        usages: recent usage of client accounts.
        versions: (name, incarnation, version) of the upstreams sent; older
            builds ignore it, and send an empty list or other entries.
        stopping: the sender is shutting down.
    """

    sender: str
    incarnation: int
    is_full: bool
    upstreams: list[Upstream]
    loads: bytes
    usages: list[Usage]
    versions: list[typing.Any]
    stopping: bool


class ExchangeReply(typing.NamedTuple):
    """Answers Exchange.

    Attributes:
        incarnation: clock stamp of the receiver's start; if it changes, the
            receiver has lost what it was sent before.
    """

    incarnation: int


class AcquirePermit(typing.NamedTuple):
    """Asks the holder of permits for a permit to run a request.

    Attributes:
        reason: cold: to run on a cold upstream; suspect: to be the only
            suspect on an upstream; or digest: to be the only run of a suspect.
        subject: what the permit is for: an upstream, as named by
            `permits.format_subject`, or a digest.
        request: id of the request.
        hold_ms: time after which the permit expires, in milliseconds.
    """

    reason: str
    subject: str
    request: str
    hold_ms: int


class PermitReply(typing.NamedTuple):
    """Answers AcquirePermit.

    Attributes:
        granted: whether the permit was granted.
        warm: whether the holder counts the upstream as warm.
    """

    granted: bool
    warm: bool


class ReleasePermit(typing.NamedTuple):
    """Returns a permit; `completed` tells whether the request completed."""

    reason: str
    subject: str
    request: str
    completed: bool


class ReleaseReply(typing.NamedTuple):
    """Answers ReleasePermit; `warm` is as in PermitReply."""

    warm: bool


class RequestFailure(typing.NamedTuple):
    """The reason why a request got no answer or an incomplete one.

    Attributes:
        status: HTTP status.
        code: machine-readable error code.
        message: explanation for the caller.
        disposition: whether the request ran: not-run, maybe-run or run.
        retry_after: seconds after which to retry; 0 if a retry cannot help.
    """

    status: int
    code: str
    message: str
    disposition: str
    retry_after: float = 0.0


class ReadStream(typing.NamedTuple):
    """Asks the owner of a response for its events.

    Attributes:
        response: id of the response.
        account: client account that asks.
        after: number of the last event that the sender has.
        wait_ms: longest time to wait for an event, in milliseconds.
    """

    response: str
    account: str
    after: int
    wait_ms: int


class StreamEvent(typing.NamedTuple):
    """One event of a streamed answer.

    Attributes:
        resume_point: where to resume the stream after this event, as
            formatted by `streams`.
        data: payload of the event.
    """

    resume_point: str
    data: str


class StreamReply(typing.NamedTuple):
    """Answers ReadStream.

    Attributes:
        found: the owner has a response of this id and account.
        events: events in order from number `after` + 1.
        finished: no event follows these.
        failure: why the response ended early; None if it did not.
    """

    found: bool
    events: list[StreamEvent]
    finished: bool
    failure: RequestFailure | None


class ErrorReply(typing.NamedTuple):
    """Answers a message whose handling failed.

    Attributes:
        step: step that failed.
        detail: error message.
    """

    step: str
    detail: str


KINDS = {
    "vr": VoteRequest,
    "vy": VoteReply,
    "ap": AppendEntries,
    "ay": AppendEntriesReply,
    "sn": InstallSnapshot,
    "sy": InstallSnapshotReply,
    "sd": TimeoutNow,
    "se": TimeoutNowReply,
    "su": Submit,
    "uy": SubmitReply,
    "rc": ReadClaim,
    "oc": commands.Outcome,
    "wa": Watch,
    "wy": WatchReply,
    "ci": ConfirmIndex,
    "cy": IndexReply,
    "lv": Leave,
    "ly": LeaveReply,
    "in": Introduce,
    "iy": IntroduceReply,
    "wu": WatchUpstreams,
    "uu": UpstreamsReply,
    "no": Notice,
    "sm": Summary,
    "de": Departures,
    "cn": CrashNews,
    "cr": ReadCrashes,
    "ln": LimitNews,
    "rl": ReadLimits,
    "so": StoreOrigin,
    "sg": StoreOrigins,
    "os": SyncOrigins,
    "rv": ReadVersions,
    "vs": VersionsReply,
    "ro": ReportRollout,
    "oy": ReportReply,
    "fo": FindOrigin,
    "or": OriginReply,
    "pn": PressureNews,
    "ac": AcquirePlace,
    "ao": AcquireOrderedPlace,
    "pc": PlaceReply,
    "rz": ReleasePlace,
    "rk": ReadContacts,
    "ck": ContactsReply,
    "ar": AcquireRatePermit,
    "pr": RatePermitReply,
    "rp": ReadPlacements,
    "rr": PlacementsReply,
    "st": ShowStatus,
    "ty": StatusReply,
    "ex": Exchange,
    "ey": ExchangeReply,
    "pe": AcquirePermit,
    "py": PermitReply,
    "re": ReleasePermit,
    "ry": ReleaseReply,
    "rs": ReadStream,
    "sr": StreamReply,
    "fa": ErrorReply,
}

_codec = codec.Codec(KINDS)
encode = _codec.encode
decode = _codec.decode
