"""Lets a replica that stops leave as a voter once it has a successor."""

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire

CALL_TIMEOUT_SECONDS = 0.6
INTERVAL_SECONDS = 0.1
ELECTION_WAIT_SECONDS = 1.5  # longer than an election takes
LEADER_WAIT_SECONDS = 3.0  # for a leader that does not answer
ANNOUNCE_SECONDS = 0.1  # for replicas to hear of the stop, at its end
_NO_ANSWER = wire.LeaveReply("no answer", "", "no leader answers")
_NO_LEADER = wire.LeaveReply("not_leader", "", "no leader is known")


async def leave(replica, identity, transport, now=trio.current_time):
    """Ask the leader to replace this voter, until it has or nobody can.

    Tells all replicas that it stops, so that whichever leads later need not
    wait for it, and hands over the leadership first. This replica goes on to
    vote until a leader has said that it is no voter any more. It keeps its
    vote if there is no other replica to take it over, and if no leader
    answers for too long, as older builds don't. The caller limits the time
    by cancelling; that it ran out is logged as well.

    Args:
        replica: this instance's Replica.
        identity: of its data folder.
        transport: a Transport.
        now: returns seconds.
    """
    if not replica.is_voter:
        return
    message = wire.Leave(replica.name, identity)
    async with trio.open_nursery() as nursery:
        for peer in replica.list_members():
            if peer != replica.name:
                nursery.start_soon(_announce, peer, message, transport)
        await _leave(replica, message, transport, now)
        nursery.cancel_scope.deadline = trio.current_time() + ANNOUNCE_SECONDS


async def _announce(peer, message, transport):
    """Tell a replica that this one stops."""
    try:
        await transport.call(peer, message, CALL_TIMEOUT_SECONDS)
    except errors.UnreachableError as error:
        logs.log("debug", error.format(), step="leave", peer=peer)


async def _leave(replica, message, transport, now):
    """Hand over, and ask the leader until the vote has gone or is kept."""
    reply = _NO_LEADER
    is_pending = False
    began_at = now()
    try:
        while reply.code not in ("left", "kept"):
            may_be_replaced = is_pending or replica.may_be_replaced()
            led = replica.role == "leader"
            if not replica.is_repairing_voters():
                await replica.transfer_leadership()
            if led and not may_be_replaced:
                reply = wire.LeaveReply("kept", "", "no other replica runs")
                break
            reply = await _ask(replica, message, transport)
            is_pending = is_pending or reply.code == "pending"
            waited = now() - began_at
            ignored = reply.code == "no answer" and _has_leader(replica)
            if not is_pending and _gives_up(ignored, may_be_replaced, waited):
                break
            await trio.sleep(INTERVAL_SECONDS)
    except trio.Cancelled:
        _log_kept(f"time is up: {reply.detail}")
        raise
    if reply.code == "left":
        logs.log("info", "is no voter any more", step="leave")
    else:
        _log_kept(reply.detail)


def _has_leader(replica):
    """Return whether a leader is in contact, so that it could answer."""
    age = replica.measure_contact_age()
    return age is not None and age < CALL_TIMEOUT_SECONDS


def _gives_up(ignored, may_be_replaced, waited):
    """Return whether to stop without an answer, after `waited` seconds.

    With a successor in sight, a leader that was lost is waited for.
    """
    if may_be_replaced:
        return ignored and waited > LEADER_WAIT_SECONDS
    return ignored or waited > ELECTION_WAIT_SECONDS


def _log_kept(reason):
    logs.log("warning", f"stops and keeps its vote: {reason}", step="leave")


async def _ask(replica, message, transport):
    """Return the leader's LeaveReply, or one that says why there is none."""
    leader = replica.leader
    if not leader or leader == replica.name:
        return _NO_LEADER
    try:
        return await transport.call(leader, message, CALL_TIMEOUT_SECONDS)
    except errors.UnreachableError as error:
        logs.log("info", error.format(), step="leave", peer=leader)
        return _NO_ANSWER
