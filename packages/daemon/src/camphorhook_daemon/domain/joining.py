"""Introduces a replica to the others, so that the leader replicates to it."""

import itertools

import trio

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire

LEADER_SILENCE_SECONDS = 1.5  # longer than an election takes
INTERVAL_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.0


async def join(replica, identity, settings, transport):
    """Introduce a replica to the others whenever no leader contacts it.

    Runs until cancelled. The replicas to ask come from the settings, from
    the log's members and from the others' replies.

    Args:
        replica: this instance's Replica.
        identity: of its data folder.
        settings: the instance's Settings, of which `name` and
            `list_replicas` are used.
        transport: a Transport.
    """
    known = {*settings.list_replicas()}
    message = wire.Introduce(settings.name, identity)
    async with trio.open_nursery() as nursery:
        await _join(replica, settings, message, known, transport, nursery)


async def _join(replica, settings, message, known, transport, nursery):
    was_voter = None
    for delay in itertools.chain((0,), itertools.repeat(INTERVAL_SECONDS)):
        await trio.sleep(delay)
        if replica.is_voter != was_voter:
            was_voter = replica.is_voter
            text = (
                "votes in the log" if was_voter else "learner without a vote"
            )
            logs.log("info", text, step="join", inputs={"term": replica.term})
        age = replica.measure_contact_age()
        if age is not None and age < LEADER_SILENCE_SECONDS:
            continue
        known.update(replica.list_members())
        known.discard(settings.name)
        # A replica that does not answer holds up no other one.
        for peer in sorted(known):
            nursery.start_soon(_introduce, peer, message, transport, known)


async def _introduce(peer, message, transport, known):
    try:
        reply = await transport.call(peer, message, CALL_TIMEOUT_SECONDS)
    except errors.UnreachableError as error:
        logs.log("debug", error.format(), step="introduce", peer=peer)
        return
    known.update(reply.replicas)
    if reply.leader:
        known.add(reply.leader)
