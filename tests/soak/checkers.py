"""Checkers of promises: each returns sentences on what broke one.

The bounds are those of the platform's settings and of its sheets, with
SLACK_SECONDS for clocks read on both sides of a call.
"""

import collections

CONTACT_SECONDS = 3.0  # until a process that was cut off is in touch again
APPLY_SECONDS = 2.0  # until a document is in force
REVOKE_SECONDS = 3.0  # until a key that was taken away is unused
DRAIN_SECONDS = 2.0  # until a server that leaves gets nothing more
EVACUATE_SECONDS = 5.0  # until a failure domain gets nothing more
RECOVER_SECONDS = 12.0  # until requests are served again
SLACK_SECONDS = 0.25
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS = 0.2, 50, 10.0
COLD_RATE, COLD_OVERAGE, COLD_SLACK = 4.0, 1.5, 5
REFUSALS = (408, 421, 429, 503)  # promise that the request has not run
EVENTS = 10
FIRST_VERSION = 1  # in force before a run begins


def _count_runs(history):
    return collections.Counter(one["request"] for one in history.effects)


def check_once(history):
    """Requests that are not idempotent run once at most."""
    runs = _count_runs(history)
    return [
        f"{one.request} to {one.target} ran {runs[one.request]} times"
        for one in history.answers
        if one.target.startswith("/unsafe/") and runs[one.request] > 1
    ]


def check_own(history):
    """An answer is whole and belongs to its request."""
    found = []
    for one in history.answers:
        if one.status != 200 or not one.is_whole:
            continue
        if one.target.startswith("/tokens/"):
            wanted = "".join(
                f"id: {n}\ndata: piece {n}\n\n" for n in range(1, EVENTS + 1)
            )
            if one.body != wanted:
                found.append(f"{one.request}: stream is {one.body!r}")
        elif one.body.partition(" ")[2] != one.target:
            found.append(f"{one.request}: {one.target} got {one.body!r}")
    return found


def check_refusals(history):
    """What a refusal says has not run did not run, and never does."""
    runs = _count_runs(history)
    return [
        f"{one.request} was answered {one.status} and ran"
        for one in history.answers
        if one.status in REFUSALS and runs[one.request]
    ]


def _is_touched(history, target, begin, end):
    """Tell whether a process had a fault, or had just had one."""
    return any(
        period.target in (target, "all")
        and period.begin - SLACK_SECONDS < end
        and period.end + CONTACT_SECONDS > begin
        for period in history.periods
    )


def _list_documents(history):
    return [one for one in history.orders if one.kind == "document"]


def _find_acked(history, before):
    """Return the highest version acknowledged before a time."""
    versions = [
        one.subject
        for one in _list_documents(history)
        if one.acked_at is not None and one.acked_at < before
    ]
    return max(versions, default=FIRST_VERSION)


def _find_sent(history, before):
    """Return the highest version sent before a time."""
    versions = [
        one.subject for one in _list_documents(history) if one.sent_at < before
    ]
    return max(versions, default=FIRST_VERSION)


def check_documents(history):
    """What is in force is no older than what was acknowledged.

    A document has a route of its own, /vN/, and no other one's. Only
    instances in touch are bound; no instance goes back to an older one.
    """
    found = []
    newest = collections.defaultdict(int)
    for one in sorted(history.answers, key=lambda answer: answer.sent_at):
        if not one.target.startswith("/v") or one.status not in (200, 404):
            continue
        version = int(one.target.split("/")[1][1:])
        acked = _find_acked(
            history, one.sent_at - APPLY_SECONDS - SLACK_SECONDS
        )
        is_bound = not _is_touched(
            history, one.entry, one.sent_at - APPLY_SECONDS, one.ended_at
        )
        sent = _find_sent(history, one.ended_at)
        if one.status == 200:
            if version < newest[one.entry]:
                found.append(
                    f"{one.entry} went back to {version} from "
                    f"{newest[one.entry]}"
                )
            newest[one.entry] = max(newest[one.entry], version)
            if is_bound and version < acked:
                found.append(f"{one.entry} serves {version}, not {acked}")
        elif is_bound and version == acked == sent:
            found.append(f"{one.entry} does not know {version} yet")
    return found


def check_keys(history):
    """A key that was taken away is not used, in touch or not."""
    found = []
    sent_at = {one.request: one for one in history.answers}
    for effect in history.effects:
        answer = sent_at.get(effect["request"])
        if answer is None or not answer.key.startswith("key-v"):
            continue
        version = int(answer.key[len("key-v") :])
        acked = _find_acked(
            history, answer.sent_at - REVOKE_SECONDS - SLACK_SECONDS
        )
        if version < acked:
            found.append(
                f"{answer.request} ran with the key of {version} at "
                f"{answer.entry} though {acked} had taken it away"
            )
        if effect["key"]:
            found.append(f"{answer.request}: the server saw its key")
    return found


def check_departures(history):
    """A server that leaves gets nothing more, from instances in touch."""
    entries = {one.request: one for one in history.answers}
    found = []
    for departure in history.departures:
        for effect in history.effects:
            late = effect["at"] - departure["left"] - DRAIN_SECONDS
            if effect["server"] != departure["server"] or late < 0:
                continue
            if effect["born"] > departure["left"]:
                continue
            answer = entries.get(effect["request"])
            if answer and not _is_touched(
                history, answer.entry, departure["left"], effect["at"]
            ):
                found.append(
                    f"{effect['request']} reached {effect['server']} "
                    f"{late:.2f} s late"
                )
    return found


def check_evacuations(history):
    """A failure domain that was taken out gets nothing more."""
    entries = {one.request: one for one in history.answers}
    found = []
    for order in history.orders:
        if order.kind != "evacuate" or order.acked_at is None:
            continue
        ends = [
            one.sent_at
            for one in history.orders
            if one.kind == "return"
            and one.subject == order.subject
            and one.sent_at > order.sent_at
        ]
        until = min(ends, default=float("inf"))
        since = order.acked_at + EVACUATE_SECONDS + SLACK_SECONDS
        for effect in history.effects:
            if effect["zone"] != order.subject:
                continue
            answer = entries.get(effect["request"])
            if answer is None or not since < answer.sent_at:
                continue
            if effect["at"] < until and not _is_touched(
                history, answer.entry, order.acked_at, effect["at"]
            ):
                found.append(f"{answer.request} reached {order.subject}")
    return found


def check_cold(history):
    """A cold server gets no more in a second than it bears."""
    most = COLD_RATE * COLD_OVERAGE + COLD_SLACK
    arrivals = collections.defaultdict(list)
    for effect in history.effects:
        if effect["cold"]:
            arrivals[effect["server"], effect["born"]].append(effect["at"])
    found = []
    for (server, _), times in arrivals.items():
        times.sort()
        begin = 0
        for end, at in enumerate(times):
            while times[begin] <= at - 1.0:
                begin += 1
            if end - begin + 1 > most:
                found.append(f"{server} got {end - begin + 1} while cold")
                break
    return found


def check_retries(history):
    """Requests that are sent again stay within the budget."""
    seen = set()
    again = []
    for effect in sorted(history.effects, key=lambda one: one["at"]):
        if effect["request"] in seen:
            again.append(effect["at"])
        seen.add(effect["request"])
    sent = sorted(one.sent_at for one in history.answers)
    found = []
    for begin in again:
        end = begin + RETRY_WINDOW_SECONDS
        retries = sum(begin <= at < end for at in again)
        # The window before counts too, as the promise has it.
        requests = max(
            sum(start <= at < start + RETRY_WINDOW_SECONDS for at in sent)
            for start in (begin, begin - 5.0, begin - RETRY_WINDOW_SECONDS)
        )
        if retries > RETRY_RATIO * requests + RETRY_SLACK:
            found.append(f"{retries} retries beside {requests} requests")
            break
    return found


def check_stops(history):
    """A stop that was planned cuts no request that was passed on."""
    runs = _count_runs(history)
    found = []
    for one in history.answers:
        if one.status or not runs[one.request]:
            continue
        begin, end = one.sent_at - SLACK_SECONDS, one.ended_at + SLACK_SECONDS
        near = [
            period
            for period in history.periods
            if period.begin < end and period.end + CONTACT_SECONDS > begin
        ]
        planned = {"terminate", "reload"}
        if near and all(period.kind in planned for period in near):
            if any(period.target == one.entry for period in near):
                found.append(f"{one.request} at {one.entry} was cut")
    return found


def check_recovery(history):
    """Everything serves again in time, and nothing acknowledged is lost."""
    reading = history.reading
    found = []
    seconds = reading.recovered_seconds
    if seconds is None or seconds > RECOVER_SECONDS:
        found.append(f"recovered after {seconds} s")
    acked = _find_acked(history, float("inf"))
    sent = {FIRST_VERSION, *(one.subject for one in _list_documents(history))}
    for version in reading.versions:
        if version < acked or version not in sent:
            found.append(f"a replica reads back {version}, not {acked}")
    return found


CHECKERS = (
    check_once,
    check_own,
    check_refusals,
    check_documents,
    check_keys,
    check_departures,
    check_evacuations,
    check_cold,
    check_retries,
    check_stops,
    check_recovery,
)


def check(history):
    """Return sentences by name of the checker that found them."""
    found = {}
    for checker in CHECKERS:
        sentences = checker(history)
        if sentences:
            found[checker.__name__] = sentences
    return found
