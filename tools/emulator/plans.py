"""Plans of trials, read from TOML files into typed structures."""

import tomllib
import typing

import msgspec

SECONDS_PER_MS = 0.001


class Service(msgspec.Struct, forbid_unknown_fields=True):
    """A service and the model of its servers.

    Attributes:
        name: unique name.
        servers: number of servers.
        slots: requests that a server runs at once.
        queue: requests that may wait at a server; it refuses more.
        is_engine: whether its servers prefill prompts and generate tokens.
        speeds: slowdown factors, assigned to the servers in rotation; above
            1 is slower.
        work_ms: mean milliseconds that a plain request takes.
        step_ms: milliseconds of a decode step of an engine, which generates
            one token for each running request.
        slot_ms: milliseconds that each running request adds to a step.
        read_tokens: prompt tokens that an engine prefills per millisecond.
        chunk: most prompt tokens that are prefilled between two steps.
        memory_tokens: capacity of an engine's prompt cache in tokens.
        stride: tokens in one event of the stream.
        copy_tokens: tokens of cached prompt parts copied per millisecond
            from another engine; 0 disables copies.
        copy_ms: milliseconds before a copy begins.
        versions: number of software versions, which servers have in rotation.
        cold_s: seconds that a server is cold after its start.
        cold_per_s: requests per second that a cold server can take; 0 for
            no limit.
        reports_speed: whether servers report how long work takes now.
    """

    name: str
    servers: int
    slots: int
    queue: int = 24
    is_engine: bool = False
    speeds: tuple[float, ...] = (1.0,)
    work_ms: float = 20.0
    step_ms: float = 4.0
    slot_ms: float = 0.02
    read_tokens: float = 60.0
    chunk: int = 4096
    memory_tokens: int = 400_000
    stride: int = 8
    copy_tokens: float = 560.0
    copy_ms: float = 2.5
    versions: int = 1
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    reports_speed: bool = False


class RequestKind(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of request.

    Attributes:
        name: unique name.
        service: name of the service that it is routed to.
        per_s: requests per second of all callers together.
        worth: of an answer that meets the latency objectives.
        late_worth: of an answer that misses one of them.
        aim_ms: latency objective for the first event, in milliseconds.
        deadline_ms: milliseconds after which its caller gives up.
        pause_ms: latency objective for the pause between two events, in
            milliseconds.
        repeatable: whether it may run more than once.
        resumable: whether a broken stream may go on at another server.
        shared_tokens: tokens of the first prompt part, which all requests of
            the kind share.
        session_tokens: mean tokens of the part that the requests of a
            session share.
        own_tokens: tokens of the part that no other request shares.
        sessions: number of sessions.
        clump: requests that a session sends in one burst, which lasts
            load.CLUMP_WINDOW_SECONDS.
        hot: share of requests that always belong to the first session.
        events: events of an answer; 0 for a plain service.
        tail: standard deviation of the logarithm of the events.
        hinted: share of the requests with an estimate of their output.
        hint_error: standard deviation of the logarithm of the error of these
            estimates.
        priority: 0 is the most urgent.
    """

    name: str
    service: str
    per_s: float
    worth: float = 1.0
    late_worth: float = 0.3
    aim_ms: float = 1000.0
    deadline_ms: float = 10_000.0
    pause_ms: float = 500.0
    repeatable: bool = False
    resumable: bool = False
    shared_tokens: int = 0
    session_tokens: int = 0
    own_tokens: int = 100
    sessions: int = 1
    clump: int = 1
    hot: float = 0.0
    events: int = 0
    tail: float = 0.0
    hinted: float = 0.0
    hint_error: float = 0.0
    priority: int = 0


class Trouble(msgspec.Struct, forbid_unknown_fields=True):
    """A fault to inject.

    Attributes:
        kind: `crash` of servers, `brittle` servers, `slow` servers, `burst`
            of load, `deaf` instances, whose notices are lost in both
            directions, `crash part`: prompts with one part that crashes the
            servers that begin to answer on it, sent besides the load,
            `limit`: servers that say how many requests they take, `cut`:
            instances that lose all packets to and from servers, or `cut
            domain`: all instances of the first failure domain do, or
            `spells`: each server is slow SPELL_SHARE of the time.
        at: seconds from the start of the load.
        for_s: seconds that it lasts.
        service: name of the service whose servers are affected.
        share: share of the servers or instances that are affected.
        times: factor of the servers' time (`slow`) or of the load (`burst`);
            prompts per second (`crash part`); requests per second that a
            server takes from all instances (`limit`); requests that one may
            turn away within a second (`brittle`).
    """

    kind: typing.Literal[
        "crash",
        "slow",
        "burst",
        "deaf",
        "crash part",
        "limit",
        "cut",
        "cut domain",
        "brittle",
        "spells",
    ]
    at: float
    for_s: float
    service: str = ""
    share: float = 0.25
    times: float = 2.0


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """The fleet, the load and the faults of a trial.

    Attributes:
        instances: number of entry instances.
        services: the services and their servers.
        kinds: the kinds of requests that callers send.
        domains: number of failure domains; instances and servers are spread
            evenly over them.
        seconds: duration of the load.
        link_ms: one-way delay within a failure domain, in milliseconds.
        far_ms: one-way delay between two failure domains, in milliseconds.
        retry_ratio, retry_slack, retry_window_s: see budgets.RetryBudget.
        troubles: the faults to inject.
    """

    instances: int
    services: list[Service]
    kinds: list[RequestKind]
    domains: int = 3
    seconds: float = 20.0
    link_ms: float = 0.3
    far_ms: float = 1.4
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    troubles: tuple[Trouble, ...] = ()


def read(path):
    """Return the Plan that a TOML file holds.

    Raises:
        OSError: the file cannot be read.
        tomllib.TOMLDecodeError: the file is not valid TOML.
        msgspec.ValidationError: a field is invalid; the text names it.
    """
    with open(path, "rb") as file:
        return msgspec.convert(tomllib.load(file), Plan)
