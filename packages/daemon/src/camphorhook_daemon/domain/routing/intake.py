"""Decides which route and client account an arriving request belongs to."""

import typing

import trio

from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import costs

DEFAULT_DEADLINE_SECONDS = 30.0  # for clients that send no deadline
DEADLINE_MARGIN_SECONDS = 0.02  # for the answer to reach the client
UNCONFIRMED_RETRY_SECONDS = 1.0  # a configuration usually arrives by then
OUTDATED = attempts.Failure(
    503, "the configuration may be old", UNCONFIRMED_RETRY_SECONDS
)


class Unreadable(Exception):
    """It is not clear what a request asks for, so it must not be sent."""


class Arrival(typing.NamedTuple):
    """A request as it arrived.

    Attributes:
        request: its id.
        method: HTTP method.
        target: path and query.
        host: host name, perhaps with a port.
        headers: (name, value) pairs to pass on.
        body: the complete body.
        key: API key; empty if there is none.
        deadline: seconds after which the client gives up; None if unknown.
        parts: (id, tokens) of each part of the prompt, in order.
        resume_after: id of the last event that the client has, or empty.
        resumes: id of the request that brought the stream's first event.
        received_at: time of receipt in seconds.
        hint: the costs.Hint of the client.
    """

    request: str
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str
    deadline: float | None
    parts: tuple[tuple[str, int], ...]
    resume_after: str
    resumes: str
    received_at: float
    hint: costs.Hint = costs.Hint()


def authorize(arrival, rules):
    """Return the attempts.Request of an Arrival, or the Failure to answer.

    Args:
        arrival: the Arrival.
        rules: the rules.Rules in force.
    """
    table = rules.get_table()
    if table is None:
        wait = rules.estimate_start_wait(arrival.request)
        return attempts.Failure(503, "no configuration yet", wait)
    host = arrival.host.rpartition(":")[0] or arrival.host
    route = table.find_route(host, arrival.target.partition("?")[0])
    if route is None:
        return _deny(404, "no route matches", rules)
    account, key = None, ""
    if table.has_accounts and not route.is_public:
        if not rules.is_current():
            return OUTDATED
        key = arrival.key
        account = table.find_account(key)
        if account is None:
            return _deny(401, "the key is unknown", rules)
    return _make_request(arrival, route, account, key)


def _deny(status, reason, rules):
    """Return a Failure with a status that a newer document may rule out.

    It is 503 if this document may be outdated.
    """
    if rules.may_deny():
        return attempts.Failure(status, reason)
    return OUTDATED


def _make_request(arrival, route, account, key):
    deadline = arrival.deadline or DEFAULT_DEADLINE_SECONDS
    timeout = min(deadline - DEADLINE_MARGIN_SECONDS, route.timeout)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return attempts.Request(
        arrival.request,
        arrival.method,
        arrival.target,
        arrival.headers,
        arrival.body,
        route,
        key,
        account.name if account else "",
        priority,
        arrival.parts,
        arrival.resume_after,
        trio.current_time(),
        arrival.received_at + timeout,
        arrival.resumes,
        arrival.hint,
        account.header if account else "",
    )
