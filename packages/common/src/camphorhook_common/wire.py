"""Messages between instances, and their codec.

A message travels as three frames: its kind (one short word), the sender's
clock stamp and request number, and the body in MessagePack.
"""

import typing

from camphorhook_common import codec
from camphorhook_common import commands
from camphorhook_common import tables

# --- messages between replicas ------------------------------------------


class VoteRequest(typing.NamedTuple):
    """Asks for a vote.

    Attributes:
        trial: ask without changing terms (pre-vote).
        transfer: the leader itself asked the candidate to stand.
    """

    term: int
    candidate: str
    identity: str
    last_index: int
    last_term: int
    trial: bool
    transfer: bool


class VoteReply(typing.NamedTuple):
    """Answers VoteRequest."""

    term: int
    granted: bool
    identity: str


class StandNow(typing.NamedTuple):
    """Asks a replica to stand for election, as the leader is leaving."""

    term: int


class StandReply(typing.NamedTuple):
    """Answers StandNow."""

    term: int


class Append(typing.NamedTuple):
    """Carries entries, or none as a heartbeat, from the leader.

    Attributes:
        members: names of all replicas that the leader feeds, with its own;
            empty where they are as last told.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[commands.Entry]
    commit: int
    members: tuple[str, ...] = ()


class AppendReply(typing.NamedTuple):
    """Answers Append; `last_index` is the highest index known to match."""

    term: int
    accepted: bool
    last_index: int
    identity: str


class Snapshot(typing.NamedTuple):
    """A piece of the leader's snapshot; `total` is its length in bytes."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    total: int
    data: bytes


class SnapshotReply(typing.NamedTuple):
    """Answers Snapshot; `offset` is the next wanted byte."""

    term: int
    offset: int
    identity: str


# --- messages between any instances -------------------------------------


class Submit(typing.NamedTuple):
    """Hands a command to a replica."""

    kind: str
    data: bytes


class SubmitReply(typing.NamedTuple):
    """Answers Submit.

    Attributes:
        code: applied; not_leader (nothing was done); or unknown (the
            command may or may not have been accepted).
        leader: name of the leader as far as known.
        outcome: what the command came to, when applied.
    """

    code: str
    leader: str
    outcome: commands.Outcome | None


class ReadClaim(typing.NamedTuple):
    """Asks the leader what became of a claimed request.

    The reply is a commands.Outcome with a code of none, abandoned, running,
    unknown, replay, or not_leader with the leader's name as detail.
    """

    account: str
    key: str


class Watch(typing.NamedTuple):
    """Asks a replica for changes of the tables after an index.

    Attributes:
        index: highest index in force at the sender; -1 for none.
        wait_ms: how long to wait for a change.
        confirm: ask for a state that the leader confirms as current.
    """

    index: int
    wait_ms: int
    confirm: bool


class Change(typing.NamedTuple):
    """A row's new state; `cells` is None for a removed row."""

    table: str
    row: str
    version: int
    cells: tables.Row | None


class WatchReply(typing.NamedTuple):
    """Answers Watch.

    Attributes:
        index: state after these changes.
        whole: the changes are the whole tables, not a delta.
        changes: rows in the order of their changes.
        age_ms: time since the replica heard from a leader; -1 if unknown.
        leader: name of the leader as far as known.
        replicas: names of the replicas as far as known.
    """

    index: int
    whole: bool
    changes: list[Change]
    age_ms: int
    leader: str
    replicas: tuple[str, ...] = ()


class ConfirmIndex(typing.NamedTuple):
    """Asks the leader for the lowest index that is surely current."""

    sender: str


class IndexReply(typing.NamedTuple):
    """Answers ConfirmIndex; index -1 when not the leader."""

    index: int


class Introduce(typing.NamedTuple):
    """Tells a replica of another one, with its data folder's identity."""

    name: str
    identity: str


class IntroduceReply(typing.NamedTuple):
    """Answers Introduce with the leader and all replicas, as known."""

    leader: str
    replicas: tuple[str, ...]


class Registration(typing.NamedTuple):
    """What an upstream said of itself when it last registered.

    Attributes:
        name: the upstream's id.
        service: the service it belongs to.
        failure_domain: where it runs.
        address: IP number.
        port: TCP port.
        incarnation: Unix milliseconds of its start.
        sequence: grows with each registration of an incarnation.
        state: live, leaving or gone.
        capacity: requests it runs at once.
        cold_ms: how much longer it is cold, from the time of sending.
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


class Placement(typing.NamedTuple):
    """Says that a request with a shared part was sent to an upstream."""

    part: str
    upstream: str


class ReadPlacements(typing.NamedTuple):
    """Asks an instance for the placements that it knows."""

    sender: str


class PlacementsReply(typing.NamedTuple):
    """Answers ReadPlacements.

    Attributes:
        placements: the oldest first.
        is_informed: it holds more than what came since its own start.
    """

    placements: list[Placement]
    is_informed: bool


class UpstreamLoad(typing.NamedTuple):
    """What an instance has on an upstream.

    Attributes:
        upstream: its name.
        in_flight: requests.
        unread_tokens: tokens of prompts that it probably has yet to read.
    """

    upstream: str
    in_flight: int
    unread_tokens: int


class UpstreamOutcomes(typing.NamedTuple):
    """How many requests to an upstream went well and how many failed."""

    upstream: str
    good: int
    bad: int


class Notice(typing.NamedTuple):
    """Told by an instance to those that read its load; needs no answer.

    Attributes:
        sender: the instance.
        loads: all upstreams on which it has requests.
        placements: since its last notice.
        outcomes: since its last notice.
    """

    sender: str
    loads: list[UpstreamLoad]
    placements: list[Placement]
    outcomes: list[UpstreamOutcomes]


class Summary(typing.NamedTuple):
    """Sums up the notices of several instances; needs no answer.

    Attributes:
        sender: the relay that made it.
        group: the group of instances that it relays for.
        scope: group or whole, what is summed up.
        instances: how many were heard.
        sums: loads and outcomes by upstream, as `summaries` packs them.
        placements: since its last summary.
    """

    sender: str
    group: str
    scope: str
    instances: int
    sums: bytes
    placements: list[Placement]


class WatchUpstreams(typing.NamedTuple):
    """Asks a replica for registrations that changed.

    Attributes:
        sender: the instance that asks.
        failure_domain: where it runs.
        epoch: start of the replica's process as last seen; empty for none.
        after: position up to which the sender knows the changes.
        watchers_after: version of the list of watchers that it knows.
        wait_ms: how long to wait for a change.
    """

    sender: str
    failure_domain: str
    epoch: str
    after: int
    watchers_after: int
    wait_ms: int


class UpstreamsReply(typing.NamedTuple):
    """Answers WatchUpstreams.

    Attributes:
        epoch: identifies the replica's process.
        position: the changes are known up to it.
        whole: the registrations are all there are, not the changed ones.
        changed: registrations, removed ones left out.
        removed: names of upstreams that no longer register here.
        age_ms: how long the replica's process has been running.
        watchers: failure domain by name of the instances that watched
            this replica of late; None when it is as the sender knows it.
        watchers_version: of that list.
    """

    epoch: str
    position: int
    whole: bool
    changed: list[Registration]
    removed: list[str]
    age_ms: int
    watchers: dict[str, str] | None
    watchers_version: int


class ShowStatus(typing.NamedTuple):
    """Asks an instance for its state, for operators."""

    sender: str


class StatusReply(typing.NamedTuple):
    """State of an instance as operators see it.

    Attributes:
        index: configuration index in force; -1 for none.
        state: starting, ready, stopping or cut_off.
        log_role: leader, follower, learner, candidate or none.
        term: the log's term.
        last_index: end of its log.
        voters: names of the voters.
        upstreams: number of live upstreams it sees.
        active: requests in flight.
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
    """What an instance knows of an upstream.

    Attributes:
        name: unique name.
        failure_domain: where it runs.
        service: service it belongs to.
        models: models it serves; empty for a plain service.
        address: IP number.
        port: TCP port.
        incarnation: grows with every start of the upstream.
        sequence: grows with every announcement of an incarnation.
        ttl_ms: how long an announcement holds.
        state: live or leaving.
        active: requests in flight as it reported.
        capacity: requests it can run at once.
        features: any of FEATURES.
        cold_spell: times this incarnation was found to be cold again.
        warm: permit holders that found it warm since then.
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


FEATURES = ("continue", "resume", "kv", "fencing")


class Usage(typing.NamedTuple):
    """Recent use of a client account on one instance.

    Attributes:
        account: the client account.
        instance: where the use was.
        requests: requests a second, waiting ones included.
        tokens: tokens a minute.
        active: requests in flight.
        stamp: clock stamp of the reading.
    """

    account: str
    instance: str
    requests: float
    tokens: float
    active: int
    stamp: int


class Suspect(typing.NamedTuple):
    """A request digest that upstreams crashed under.

    Attributes:
        digest: of the account and request body.
        crashes: `upstream/incarnation` of each crash.
        cleared: a later run of it succeeded.
        stamp: clock stamp of the last change.
    """

    digest: str
    crashes: tuple[str, ...]
    cleared: bool
    stamp: int


class Exchange(typing.NamedTuple):
    """What changed at the sender since its last exchange with a peer.

    Attributes:
        sender: name of the sending instance.
        incarnation: clock stamp of the sender's start.
        whole: it holds all that the sender knows of upstreams, and the
            sender has itself been told by a neighbour.
        upstreams: records that changed in more than their load.
        loads: packed loads, as `membership` defines them.
        usages: recent use of client accounts.
        suspects: request digests under which upstreams crashed.
        stopping: the sender is shutting down.
    """

    sender: str
    incarnation: int
    whole: bool
    upstreams: list[Upstream]
    loads: bytes
    usages: list[Usage]
    suspects: list[Suspect]
    stopping: bool


class ExchangeReply(typing.NamedTuple):
    """Answers Exchange.

    Attributes:
        incarnation: clock stamp of the receiver's start; a new one means
            that it knows nothing of what it was sent before.
    """

    incarnation: int


class AskPermit(typing.NamedTuple):
    """Asks a permit holder for one run.

    Attributes:
        reason: cold (upstream), or suspect (upstream run alone).
        subject: what the permit is for; see `permits.format_subject`.
        request: id of the request.
        hold_ms: longest time the permit is needed for.
    """

    reason: str
    subject: str
    request: str
    hold_ms: int


class PermitReply(typing.NamedTuple):
    """Answers AskPermit."""

    granted: bool
    warm: bool


class ReturnPermit(typing.NamedTuple):
    """Gives a permit back; `completed` tells whether the run succeeded."""

    reason: str
    subject: str
    request: str
    completed: bool


class ReturnReply(typing.NamedTuple):
    """Answers ReturnPermit."""

    warm: bool


class RequestFailure(typing.NamedTuple):
    """Why a request got no answer, or only a part of one.

    Attributes:
        status: HTTP status.
        code: short machine-readable word.
        message: a sentence that says what to do.
        disposition: not-run, maybe-run or run.
        retry_after: seconds; 0 when a retry can't help.
    """

    status: int
    code: str
    message: str
    disposition: str
    retry_after: float = 0.0


class ReadStream(typing.NamedTuple):
    """Asks the owner of a response for its events after a number."""

    response: str
    account: str
    after: int
    wait_ms: int


class StreamEvent(typing.NamedTuple):
    """One event of a streamed answer.

    Attributes:
        resume_point: where to resume after it, as `streams` defines.
        data: the event's payload.
    """

    resume_point: str
    data: str


class StreamReply(typing.NamedTuple):
    """Answers ReadStream.

    Attributes:
        found: the owner has the response for this account.
        events: events in order from `after` + 1.
        finished: no event follows these.
        failure: why the answer ended early, if it did.
    """

    found: bool
    events: list[StreamEvent]
    finished: bool
    failure: RequestFailure | None


class Failure(typing.NamedTuple):
    """Answers any message that could not be handled."""

    step: str
    detail: str


KINDS = {
    "vr": VoteRequest,
    "vy": VoteReply,
    "ap": Append,
    "ay": AppendReply,
    "sn": Snapshot,
    "sy": SnapshotReply,
    "sd": StandNow,
    "se": StandReply,
    "su": Submit,
    "uy": SubmitReply,
    "rc": ReadClaim,
    "oc": commands.Outcome,
    "wa": Watch,
    "wy": WatchReply,
    "ci": ConfirmIndex,
    "cy": IndexReply,
    "in": Introduce,
    "iy": IntroduceReply,
    "wu": WatchUpstreams,
    "uu": UpstreamsReply,
    "no": Notice,
    "sm": Summary,
    "rp": ReadPlacements,
    "rr": PlacementsReply,
    "st": ShowStatus,
    "ty": StatusReply,
    "ex": Exchange,
    "ey": ExchangeReply,
    "pe": AskPermit,
    "py": PermitReply,
    "re": ReturnPermit,
    "ry": ReturnReply,
    "rs": ReadStream,
    "sr": StreamReply,
    "fa": Failure,
}

_codec = codec.Codec(KINDS)
encode = _codec.encode
decode = _codec.decode
