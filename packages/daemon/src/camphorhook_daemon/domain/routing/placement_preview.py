"""Shows where a request would go now, by the code that decides.

Nothing is sent, and no permit or place is acquired: a request may still have
to wait for these.
"""

import typing

from camphorhook_daemon.domain.routing import choice as choices
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import selection
from camphorhook_daemon.domain.routing import table as tables

HIGHEST_SHOWN_LOAD = 1e9  # JSON has no infinity


class Demand(typing.NamedTuple):
    """A request that need not exist.

    Attributes:
        request: its id, which breaks ties.
        host: host name.
        path: path without its query.
        parts: (id, tokens) of each part of its prompt, in order.
        route: the Route that matches, or None.
        hint: the costs.Hint of its client.
    """

    request: str
    host: str
    path: str
    parts: tuple[tuple[str, int], ...]
    route: tables.Route | None = None
    hint: costs.Hint = costs.Hint()


def preview(demand, rules, selector, now):
    """Return where a request would go now, and the figures that decide it.

    Args:
        demand: the Demand.
        rules: the rules.Rules in force.
        selector: the selection.Selector.
        now: current time in seconds.

    Returns:
        A dictionary for JSON: `version` of the document, `route`, `reason`
        if no route is found, and `services`, each with its `weight`, the
        `choice` or the `refusal`, and its `upstreams`.
    """
    table = rules.get_table()
    if table is None:
        return _refuse(-1, "the instance has no configuration yet")
    route = table.find_route(demand.host, demand.path)
    if route is None:
        return _refuse(table.version, "no route matches the host and path")
    demand = demand._replace(route=route)
    return {
        "version": table.version,
        "route": route.name,
        "reason": "",
        "services": [
            _preview_service(demand, share, selector, now)
            for share in route.shares
        ],
    }


def _refuse(version, reason):
    return {
        "version": version,
        "route": "",
        "reason": reason,
        "services": [],
    }


def _preview_service(demand, share, selector, now):
    found = selector.choose(demand, share.service, frozenset(), now)
    shown = {
        "service": share.service,
        "weight": share.weight,
        "upstreams": selector.describe_upstreams(share.service, now),
    }
    if isinstance(found, selection.Refusal):
        shown["refusal"] = {
            "reason": found.reason,
            "retry_after": min(found.retry_after, HIGHEST_SHOWN_LOAD),
        }
        return shown
    part, tokens = choices.find_shared_part(demand.parts)
    shown["forecast"] = found.describe_forecast()
    shown["choice"] = {
        "upstream": found.upstream.name,
        "load": found.load,
        "mean": found.mean,
        "rank": found.rank,
        "part": part,
        "tokens": tokens,
        "is_cached": found.is_cached,
        "source": found.source.name if found.source else "",
    }
    return shown
