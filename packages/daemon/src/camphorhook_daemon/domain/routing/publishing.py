"""Publishes the notices of an instance, and what it relays for others."""

import trio

from camphorhook_common import logs
from camphorhook_daemon.domain.routing import dissemination
from camphorhook_daemon.ports import notices


async def publish_notices(forwarder, disseminator, map_instances, exchange):
    """Publish the load of this instance at each change, until cancelled.

    Changes within the shortest interval are combined into one notice. After
    an unexpected error the next notice follows at its time: without one the
    others place requests a little worse, and without this instance its
    clients lose theirs.

    Args:
        forwarder: the forwarding.Forwarder, whose `changed` is awaited.
        disseminator: the dissemination.Dissemination.
        map_instances: function that returns the failure domain by name of
            the instances alive.
        exchange: a ports.notices exchange.
    """
    while True:
        with trio.move_on_after(dissemination.MAX_INTERVAL_SECONDS):
            await forwarder.changed.wait()
        forwarder.changed = trio.Event()
        with logs.log_unexpected_errors("publish notice"):
            if disseminator.update_instances(map_instances()):
                _subscribe(exchange, disseminator)
            _publish_news(exchange, disseminator)
            exchange.publish(notices.NOTICE, disseminator.make_notice())
        await trio.sleep(disseminator.compute_notice_interval())


def _publish_news(exchange, disseminator):
    for message in disseminator.make_news():
        for topic in disseminator.list_news_topics():
            exchange.publish(topic, message)


def _subscribe(exchange, disseminator):
    plan = disseminator.plan
    exchange.follow(notices.NOTICE, plan.members)
    exchange.follow(
        notices.GROUP_SUMMARY, plan.list_peer_relays(disseminator.name)
    )
    exchange.follow(notices.FLEET_SUMMARY, plan.list_summary_sources())


async def publish_summaries(disseminator, exchange):
    """Publish summaries while this instance is a relay, until cancelled.

    An unexpected error costs one summary, as with `publish_notices`.
    """
    while True:
        await trio.sleep(disseminator.compute_summary_interval())
        if not disseminator.plan.is_relay:
            await trio.sleep(dissemination.MAX_INTERVAL_SECONDS)
            continue
        with logs.log_unexpected_errors("publish summaries"):
            _publish_summaries(exchange, disseminator)


def _publish_summaries(exchange, disseminator):
    for summary in disseminator.make_summaries():
        topic = notices.GROUP_SUMMARY
        if summary.scope == dissemination.WHOLE:
            topic = notices.FLEET_SUMMARY
        exchange.publish(topic, summary)
