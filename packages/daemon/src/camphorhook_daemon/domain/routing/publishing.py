"""Publishes an instance's notices, and summaries while it is a relay."""

import trio

from camphorhook_daemon.domain.routing import dissemination
from camphorhook_daemon.ports import notices


async def publish_notices(forwarder, told, map_instances, exchange):
    """Tell other instances of the own load, at once but not too often.

    Args:
        forwarder: the forwarding.Forwarder, whose `changed` is awaited.
        told: the dissemination.Dissemination.
        map_instances: returns failure domains by name of instances.
        exchange: a ports.notices exchange.
    """
    while True:
        with trio.move_on_after(dissemination.QUIET_SECONDS):
            await forwarder.changed.wait()
        forwarder.changed = trio.Event()
        if told.follow(map_instances()):
            _subscribe(exchange, told)
        exchange.publish(notices.NOTICE, told.make_notice())
        await trio.sleep(told.measure_notice_seconds())


def _subscribe(exchange, told):
    plan = told.plan
    exchange.follow(notices.NOTICE, plan.members)
    exchange.follow(notices.GROUP_SUMMARY, plan.list_peer_relays(told.name))
    exchange.follow(notices.FLEET_SUMMARY, plan.list_tellers())


async def publish_summaries(told, exchange):
    """Tell sums of what is heard, while this instance is a relay."""
    while True:
        await trio.sleep(told.measure_summary_seconds())
        if not told.plan.is_relay:
            await trio.sleep(dissemination.QUIET_SECONDS)
            continue
        for summary in told.make_summaries():
            topic = notices.GROUP_SUMMARY
            if summary.scope == dissemination.WHOLE:
                topic = notices.FLEET_SUMMARY
            exchange.publish(topic, summary)
