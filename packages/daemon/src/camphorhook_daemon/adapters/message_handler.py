"""Routes messages of other instances to the components that answer them."""

import functools

from camphorhook_common import commands
from camphorhook_common import errors
from camphorhook_common import wire


class MessageHandler:
    """Passes each message to a component, chosen by the message's type."""

    def __init__(self, components):
        """Create a handler from the instance's components."""
        self._components = components

    def _get_replica(self):
        if self._components.replica is None:
            raise errors.UnreachableError(
                "this instance does not run a replica",
                step="answer",
                peer=self._components.settings.name,
            )
        return self._components.replica

    @functools.singledispatchmethod
    async def handle(self, message):
        """Return the reply to a message.

        Args:
            message: a message of `wire`.

        Raises:
            errors.ProtocolError: messages of this type are not answered.
            errors.UnreachableError: the message is for a replica, and this
                instance does not run one.
        """
        raise errors.ProtocolError(
            f"unexpected message type {type(message).__name__}", step="answer"
        )

    @handle.register
    async def _(self, message: wire.VoteRequest):
        return await self._get_replica().handle_vote(message)

    @handle.register
    async def _(self, message: wire.TimeoutNow):
        return await self._get_replica().handle_timeout_now(message)

    @handle.register
    async def _(self, message: wire.AppendEntries):
        return await self._get_replica().handle_append(message)

    @handle.register
    async def _(self, message: wire.InstallSnapshot):
        return await self._get_replica().handle_snapshot(message)

    @handle.register
    async def _(self, message: wire.Submit):
        command = commands.decode(message.kind, message.data)
        return await self._get_replica().submit(command)

    @handle.register
    async def _(self, message: wire.ReadClaim):
        return self._get_replica().read_claim(message)

    @handle.register
    async def _(self, message: wire.ConfirmIndex):
        index = await self._get_replica().confirm_index()
        return wire.IndexReply(index)

    @handle.register
    async def _(self, message: wire.Introduce):
        own = self._get_replica()
        own.introduce(message.name, message.identity)
        return wire.IntroduceReply(own.leader, list(own.list_members()))

    @handle.register
    async def _(self, message: wire.Leave):
        return await self._get_replica().handle_leave(message)

    @handle.register
    async def _(self, message: wire.WatchUpstreams):
        self._get_replica()
        return await self._components.registry.answer(message)

    @handle.register
    async def _(self, message: wire.ReadPlacements):
        cache_index = self._components.cache_index
        return wire.PlacementsReply(
            cache_index.list_recent(), cache_index.is_synced
        )

    @handle.register
    async def _(self, message: wire.ReadCrashes):
        return self._components.evidence.answer(
            self._components.settings.name, message
        )

    @handle.register
    async def _(self, message: wire.ReadLimits):
        return self._components.limits.answer(
            self._components.settings.name, message
        )

    @handle.register
    async def _(self, message: wire.AcquireRatePermit):
        return self._components.rate_permits.grant(message)

    @handle.register(wire.AcquirePlace)
    @handle.register(wire.AcquireOrderedPlace)
    async def _(self, message):
        return await self._components.places.grant(message)

    @handle.register
    async def _(self, message: wire.ReleasePlace):
        return self._components.places.handle_release(message)

    @handle.register
    async def _(self, message: wire.ReadContacts):
        return self._components.gateways.answer(
            message, self._components.pool.heard_at
        )

    @handle.register
    async def _(self, message: wire.StoreOrigin):
        return self._components.origins.store(message)

    @handle.register
    async def _(self, message: wire.ReportRollout):
        self._get_replica()
        return self._components.rollouts.receive(message)

    @handle.register
    async def _(self, message: wire.FindOrigin):
        return self._components.origins.answer(message)

    @handle.register
    async def _(self, message: wire.StoreOrigins):
        return self._components.origins.store_all(message)

    @handle.register
    async def _(self, message: wire.SyncOrigins):
        self._get_replica()
        return await self._components.origins.sync_all(message)

    @handle.register
    async def _(self, message: wire.ReadVersions):
        known = self._components.registry or self._components.catalog
        return known.answer_versions()

    @handle.register
    async def _(self, message: wire.CrashNews):
        self._components.evidence.merge(message, True)
        return wire.CrashNews(self._components.settings.name, [], [], [])

    @handle.register
    async def _(self, message: wire.Watch):
        self._get_replica()
        return await self._components.watch_server.answer(message)

    @handle.register
    async def _(self, message: wire.ShowStatus):
        return self._components.describe_status()

    @handle.register
    async def _(self, message: wire.Exchange):
        return self._components.exchanger.receive(message)

    @handle.register
    async def _(self, message: wire.AcquirePermit):
        return self._components.permit_manager.grant(message)

    @handle.register
    async def _(self, message: wire.ReleasePermit):
        return self._components.permit_manager.handle_release(message)

    @handle.register
    async def _(self, message: wire.ReadStream):
        return await self._components.streams.answer(message)
