"""Describes why no leader of the log confirms the state."""

import typing

MAX_NAMES = 9  # of replicas in a description, which bounds a log line


class Peer(typing.NamedTuple):
    """What a replica knows of another one.

    Attributes:
        name: its name.
        identity: of its data folder, as it said last; empty if unknown.
        heard_seconds: since it was last heard.
        match_index: highest index that a leader knows it has stored; None
            on other replicas.
    """

    name: str
    identity: str
    heard_seconds: float
    match_index: int | None


class View(typing.NamedTuple):
    """What a replica knows of the log while no leader confirms it.

    Attributes:
        name: its name.
        identity: of its data folder.
        role: follower, candidate, leader or learner.
        term: current term.
        leader: name of the last known leader; empty if unknown.
        leader_seconds: since that leader was last heard, or since this
            replica led.
        voters: identity by name.
        last_index: of the log.
        stored_index: highest index on its disk.
        commit_index: highest index known to be committed.
        commit_term: term of that entry.
        write_seconds: for which a write has been running; 0 if none is.
        peers: Peer by name of those that were heard.
        election: the last election, as text; empty if there was none.
        refused_seconds: for which its disk has been full; 0 if it isn't.
    """

    name: str
    identity: str
    role: str
    term: int
    leader: str
    leader_seconds: float
    voters: dict[str, str]
    last_index: int
    stored_index: int
    commit_index: int
    commit_term: int
    write_seconds: float
    peers: dict[str, Peer]
    election: str
    refused_seconds: float = 0.0


def describe(view):
    """Return why no leader confirms the state, as text of one line."""
    found = [_describe_role(view)]
    if view.write_seconds > 0:
        found.append(f"a write has run for {view.write_seconds:.1f} s")
    if view.refused_seconds > 0:
        found.append(
            f"its disk has refused writes for {view.refused_seconds:.1f} s"
        )
    found.append(f"voters {_describe_replicas(view, view.voters)}")
    others = [name for name in view.peers if name not in view.voters]
    if others:
        found.append(f"others {_describe_replicas(view, others)}")
    if view.role != "leader":
        found.append(view.election or "no election")
    return "; ".join(found)


def _describe_role(view):
    text = f"{view.role} in term {view.term}"
    if view.role == "leader":
        text += (
            f", committed {view.commit_index} of term {view.commit_term}, "
            f"stored {view.stored_index} of {view.last_index}"
        )
    else:
        text += (
            f" at index {view.last_index}, "
            f"no leader for {view.leader_seconds:.1f} s"
        )
    if view.leader and view.role != "leader":
        text += f" (last {view.leader})"
    if view.name in view.voters and view.voters[view.name] != view.identity:
        text += ", its vote belongs to another data folder"
    return text


def _describe_replicas(view, names):
    known = sorted(names)
    found = [_describe_replica(view, name) for name in known[:MAX_NAMES]]
    if len(known) > MAX_NAMES:
        found.append(f"and {len(known) - MAX_NAMES} more")
    return ", ".join(found) or "none"


def _describe_replica(view, name):
    if name == view.name:
        return f"{name} (itself)"
    peer = view.peers.get(name)
    if peer is None:
        return f"{name} (never heard)"
    text = f"heard {peer.heard_seconds:.1f} s ago"
    wanted = view.voters.get(name)
    if wanted and peer.identity and peer.identity != wanted:
        text += " with another data folder"
    if peer.match_index is not None:
        text += f", stored {peer.match_index}"
    return f"{name} ({text})"
