"""Checks the history of a soak run against the platform's guarantees.

Each checker returns a list of sentences, one for each violation. The bounds
are those of the platform's settings and of its sheets. SLACK_SECONDS allows
for times that are read before or after a call.
"""

import collections

RECONNECT_SECONDS = 3.0  # until a process is connected again after a fault
APPLY_SECONDS = 2.0  # until a document is in force
REVOKE_SECONDS = 3.0  # until a revoked key is no longer accepted
DRAIN_SECONDS = 2.0  # until a leaving server gets no more requests
EVACUATE_SECONDS = 5.0  # until an evacuated failure domain gets no more
RECOVER_SECONDS = 12.0  # until requests are served again
SLACK_SECONDS = 0.25
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS = 0.2, 50, 10.0
COLD_RATE, COLD_RATE_TOLERANCE, COLD_SLACK = 4.0, 1.5, 5
REFUSALS = (408, 421, 429, 503)  # guarantee that the request was not executed
EVENTS_PER_STREAM = 10
FIRST_VERSION = 1  # in force before the faults begin


def _count_runs(history):
    return collections.Counter(one["request"] for one in history.effects)


def check_once(history):
    """Check that requests that are not idempotent run at most once."""
    runs = _count_runs(history)
    return [
        f"{one.request_id} to {one.target} ran {runs[one.request_id]} times"
        for one in history.answers
        if one.target.startswith("/unsafe/") and runs[one.request_id] > 1
    ]


def check_own(history):
    """Check that each answer is complete and belongs to its request."""
    found = []
    for one in history.answers:
        if one.status != 200 or not one.is_whole:
            continue
        if one.target.startswith("/tokens/"):
            wanted = "".join(
                f"id: {n}\ndata: piece {n}\n\n"
                for n in range(1, EVENTS_PER_STREAM + 1)
            )
            if one.body != wanted:
                found.append(
                    f"{one.request_id}: got the incorrect stream {one.body!r}"
                )
        elif one.body.partition(" ")[2] != one.target:
            found.append(
                f"{one.request_id}: {one.target} got the answer {one.body!r}"
            )
    return found


def check_refusals(history):
    """Check that requests answered with a status of REFUSALS never run."""
    runs = _count_runs(history)
    return [
        f"{one.request_id} was answered {one.status} but was executed"
        for one in history.answers
        if one.status in REFUSALS and runs[one.request_id]
    ]


def _is_touched(history, target, begin, end):
    """Return whether a process had a fault in a period or shortly before."""
    return any(
        period.target in (target, "all")
        and period.begin - SLACK_SECONDS < end
        and period.end + RECONNECT_SECONDS > begin
        for period in history.fault_periods
    )


def _list_documents(history):
    return [one for one in history.operator_requests if one.kind == "document"]


def _find_acked(history, before):
    """Return the highest document version acknowledged before a time."""
    versions = [
        one.subject
        for one in _list_documents(history)
        if one.acknowledged_at is not None and one.acknowledged_at < before
    ]
    return max(versions, default=FIRST_VERSION)


def _find_sent(history, before):
    """Return the highest document version sent before a time."""
    versions = [
        one.subject for one in _list_documents(history) if one.sent_at < before
    ]
    return max(versions, default=FIRST_VERSION)


def check_documents(history):
    """Check that instances use the documents that were acknowledged.

    The document of version N has the route /vN/ and none of another version.
    An instance must use an acknowledged document within APPLY_SECONDS, unless
    it had a fault. No instance may return to an older document.
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
                    f"{one.entry} returned to version {version} from "
                    f"{newest[one.entry]}"
                )
            newest[one.entry] = max(newest[one.entry], version)
            if is_bound and version < acked:
                found.append(
                    f"{one.entry} serves version {version}, not {acked}"
                )
        elif is_bound and version == acked == sent:
            found.append(f"{one.entry} does not serve version {version} yet")
    return found


def check_keys(history):
    """Check that no instance accepts a revoked key, connected or not."""
    found = []
    sent_at = {one.request_id: one for one in history.answers}
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
                f"{answer.request_id} ran with the key of version {version} "
                f"at {answer.entry} although version {acked} had revoked it"
            )
        if effect["key"]:
            found.append(
                f"{answer.request_id}: its key was forwarded to the server"
            )
    return found


def check_departures(history):
    """Check that instances without a fault send leaving servers nothing."""
    entries = {one.request_id: one for one in history.answers}
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
                    f"{late:.2f} s too late"
                )
    return found


def check_evacuations(history):
    """Check that an evacuated failure domain gets no more requests."""
    entries = {one.request_id: one for one in history.answers}
    found = []
    for order in history.operator_requests:
        if order.kind != "evacuate" or order.acknowledged_at is None:
            continue
        ends = [
            one.sent_at
            for one in history.operator_requests
            if one.kind == "return"
            and one.subject == order.subject
            and one.sent_at > order.sent_at
        ]
        until = min(ends, default=float("inf"))
        since = order.acknowledged_at + EVACUATE_SECONDS + SLACK_SECONDS
        for effect in history.effects:
            if effect["zone"] != order.subject:
                continue
            answer = entries.get(effect["request"])
            if answer is None or not since < answer.sent_at:
                continue
            if effect["at"] < until and not _is_touched(
                history, answer.entry, order.acknowledged_at, effect["at"]
            ):
                found.append(
                    f"{answer.request_id} reached evacuated {order.subject}"
                )
    return found


def check_cold(history):
    """Check that no cold server gets too many requests per second."""
    most = COLD_RATE * COLD_RATE_TOLERANCE + COLD_SLACK
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
                found.append(
                    f"cold {server} got {end - begin + 1} in a second"
                )
                break
    return found


def check_retries(history):
    """Check that the number of retries stays within the budget."""
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
        # The guarantee also counts the requests of the window before.
        requests = max(
            sum(start <= at < start + RETRY_WINDOW_SECONDS for at in sent)
            for start in (begin, begin - 5.0, begin - RETRY_WINDOW_SECONDS)
        )
        if retries > RETRY_RATIO * requests + RETRY_SLACK:
            found.append(
                f"{retries} retries exceed the budget of {requests} requests"
            )
            break
    return found


def check_stops(history):
    """Check that no request is aborted by a planned stop or reload.

    This applies to requests that a server has executed.
    """
    runs = _count_runs(history)
    found = []
    for one in history.answers:
        if one.status or not runs[one.request_id]:
            continue
        begin, end = one.sent_at - SLACK_SECONDS, one.ended_at + SLACK_SECONDS
        near = [
            period
            for period in history.fault_periods
            if period.begin < end and period.end + RECONNECT_SECONDS > begin
        ]
        planned = {"terminate", "reload"}
        if near and all(period.kind in planned for period in near):
            if any(period.target == one.entry for period in near):
                found.append(
                    f"{one.request_id} aborted by planned stop of {one.entry}"
                )
    return found


def check_recovery(history):
    """Check that the system recovers in time and loses no document."""
    final_state = history.final_state
    found = []
    seconds = final_state.recovery_seconds
    if seconds is None or seconds > RECOVER_SECONDS:
        found.append(f"recovery time was {seconds} s")
    acked = _find_acked(history, float("inf"))
    sent = {FIRST_VERSION, *(one.subject for one in _list_documents(history))}
    for version in final_state.versions:
        if version < acked or version not in sent:
            found.append(
                f"a replica has version {version}, {acked} is acknowledged"
            )
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
    """Return the violations by name of the checker that found them."""
    found = {}
    for checker in CHECKERS:
        sentences = checker(history)
        if sentences:
            found[checker.__name__] = sentences
    return found
