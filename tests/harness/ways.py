"""Instances on the ways from clients to scripted upstreams, in one process."""

from camphorhook_daemon.adapters import handover
from tests.harness import routers

WAYS = ("directly", "by way of another instance")
KINDS = ("repeatable", "booking", "stream")
TIMEOUT_SECONDS = 20.0


def make_router(upstreams, kind):
    """Return a Router whose route is for a kind of request.

    Args:
        upstreams: its upstreams.
        kind: one of KINDS.
    """
    router = routers.Router(len(upstreams), kind == "stream")
    router.upstreams = upstreams
    router.route = router.route._replace(
        is_stream=kind == "stream",
        is_idempotent=kind == "repeatable",
        can_resume=False,
        timeout=TIMEOUT_SECONDS,
    )
    return router


async def open_way(nursery, upstreams, kind, way, attempts):
    """Start one or two instances; return the port for clients.

    Args:
        nursery: runs the instances.
        upstreams: the upstreams, of the instance next to them.
        kind: one of KINDS.
        way: one of WAYS.
        attempts: collections.Counter of the attempts' outcomes at the
            upstreams.
    """

    def count(name, outcome="", **_attributes):
        if name == "attempts_total":
            attempts[outcome] += 1

    router = make_router(upstreams, kind)
    router.counts.add = count
    await router.open(nursery)
    if way == "directly":
        return await router.listen(nursery)
    port = await router.listen(nursery, handover)
    return await open_front(nursery, port, kind)


async def open_front(nursery, port, kind):
    """Start an instance that sends all requests by way of another one.

    Args:
        nursery: runs the instance.
        port: of the other instance, for requests handed over.
        kind: one of KINDS.

    Returns:
        The port for clients.
    """
    front = make_router([], kind)
    front.use_gateway(port)
    await front.open(nursery)
    return await front.listen(nursery)
