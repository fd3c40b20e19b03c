"""What is played: a TOML file read into typed plans."""

import tomllib
import typing

import msgspec

MS = 0.001


class Service(msgspec.Struct, forbid_unknown_fields=True):
    """A service and the model of its servers.

    Attributes:
        name: unique name.
        servers: how many there are.
        slots: requests that a server runs at once.
        queue: requests that may wait at one; more are turned away.
        is_engine: it reads prompts and makes tokens.
        speeds: factors of time, by turns; above 1 is slower.
        work_ms: mean time of a plain request.
        step_ms: of an engine, to make one token of each request.
        slot_ms: more for each request that runs.
        read_tokens: of prompts, read in a millisecond.
        chunk: tokens of prompts read between two steps.
        memory_tokens: that an engine's memory holds.
        stride: tokens in one event.
        copy_tokens: copied from another engine in a millisecond; 0: none.
        copy_ms: until a copy begins.
        cold_s: seconds that a server is cold after its start.
        cold_per_s: requests a second that a cold server bears; 0: any.
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
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class Kind(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of request.

    Attributes:
        name: unique name.
        service: where it goes.
        per_s: requests a second, from all callers.
        worth: of an answer in time; `late_worth` of a later one.
        aim_ms: latency objective, to the first event of a stream.
        deadline_ms: when its caller gives up.
        pause_ms: longest pause between two events in time.
        repeatable: it may run more than once.
        shared_tokens: of the first part of a prompt, that all share.
        session_tokens: of the part that a session's requests share.
        own_tokens: of the request's own part.
        sessions: how many sessions come back.
        clump: requests of one session that come within CLUMP_SECONDS.
        hot: share of requests that belong to the first session.
        events: of an answer; 0 for a plain one.
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
    shared_tokens: int = 0
    session_tokens: int = 0
    own_tokens: int = 100
    sessions: int = 1
    clump: int = 1
    hot: float = 0.0
    events: int = 0
    priority: int = 0


class Trouble(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong.

    Attributes:
        kind: crash, slow, burst or deaf (notices are lost).
        at: seconds from the start of the load.
        for_s: seconds that it lasts.
        service: of the servers concerned.
        share: of the servers or instances concerned.
        times: how strong: factor of time or of load.
    """

    kind: typing.Literal["crash", "slow", "burst", "deaf"]
    at: float
    for_s: float
    service: str = ""
    share: float = 0.25
    times: float = 2.0


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """A whole trial.

    Attributes:
        instances: entry instances.
        domains: failure domains; everything is spread over them.
        seconds: of load.
        link_ms: one way inside a failure domain.
        far_ms: one way between two.
        retry_ratio, retry_slack, retry_window_s: the retry budget.
    """

    instances: int
    services: list[Service]
    kinds: list[Kind]
    domains: int = 3
    seconds: float = 20.0
    link_ms: float = 0.3
    far_ms: float = 1.4
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    troubles: tuple[Trouble, ...] = ()


def read(path):
    """Return the Plan of a file.

    Raises:
        msgspec.ValidationError: says which field is wrong.
    """
    with open(path, "rb") as file:
        return msgspec.convert(tomllib.load(file), Plan)
