"""Checks the history of a soak run against the platform's guarantees.

Each checker returns a list of sentences, one for each violation. The bounds
are those of the platform's settings and of its sheets. SLACK_SECONDS allows
for times that are read before or after a call.
"""

import collections
import re

from tests.soak import schedules

RECONNECT_SECONDS = 3.0  # until a process is connected again after a fault
APPLY_SECONDS = 2.0  # until a document is in force
REVOKE_SECONDS = 3.0  # until a revoked key is no longer accepted
DRAIN_SECONDS = 2.0  # until a leaving server gets no more requests
PAUSE_GRACE_SECONDS = 0.5  # after which the pause of a server binds
MOST_IN_PAUSE = 2
LIMIT_GRACE_SECONDS = 0.5  # after which the limit of a server binds
LIMIT_TOLERANCE, LIMIT_SLACK, LIMIT_WINDOW_SECONDS = 1.5, 5, 4.0
MOST_FALLS = 2  # of brittle servers; a tenth of their number is below one
MOST_FAILED = 4  # first tries, and one in 50
LONGEST_SECONDS = 1.5  # that a sound answer takes
EVACUATE_SECONDS = 5.0  # until an evacuated failure domain gets no more
RETRIED_STATUSES = (408, 429)  # no word on an order
LEAST_ADDED, LEAST_ADDED_SHARE = 20, 0.25
RECOVER_SECONDS = 12.0  # until requests are served again
SLACK_SECONDS = 0.25
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS = 0.2, 50, 10.0
COLD_RATE, COLD_RATE_TOLERANCE, COLD_SLACK = 4.0, 1.5, 5
REFUSALS = (408, 421, 429, 503)  # guarantee that the request was not executed
EVENTS_PER_STREAM = 10
FIRST_VERSION = 1  # in force before the faults begin
REQUEST_CRASHES, PART_CRASHES = 3, 5  # after which the cause must be known
MOST_AFTER_CRASHES = 3
_VERSION_LINE = re.compile(r"^event: (.*)\n", re.MULTILINE)
CRASH_REASON = "upstreams crashed while running such requests"


def _count_runs(history):
    return collections.Counter(one["request"] for one in history.effects)


def check_once(history):
    """Check that requests that are not idempotent run at most once."""
    runs = _count_runs(history)
    return [
        f"{answer.request_id} to {answer.target} "
        f"ran {runs[answer.request_id]} times"
        for answer in history.answers
        if answer.target.startswith("/unsafe/") and runs[answer.request_id] > 1
    ]


def check_own(history):
    """Check that each answer is complete and belongs to its request."""
    violations = []
    for answer in history.answers:
        if answer.status != 200 or not answer.is_whole:
            continue
        if answer.target.startswith("/tokens/"):
            expected = "".join(
                f"id: {n}\ndata: piece {n}\n\n"
                for n in range(answer.after + 1, EVENTS_PER_STREAM + 1)
            )
            if _VERSION_LINE.sub("", answer.body) != expected:
                violations.append(
                    f"{answer.request_id}: incorrect stream {answer.body!r}"
                )
        elif answer.body.partition(" ")[2] != answer.target:
            violations.append(
                f"{answer.request_id}: {answer.target} "
                f"got the answer {answer.body!r}"
            )
    return violations


def check_versions(history):
    """Check that a stream goes on at the version that began it.

    Its events may come in one answer or over a client's tries.
    """
    versions = collections.defaultdict(set)
    for answer in history.answers:
        if answer.target.startswith("/tokens/"):
            found = _VERSION_LINE.findall(answer.body)
            versions[answer.resumes or answer.request_id].update(found)
    return [
        f"stream {request_id} holds events of {', '.join(sorted(found))}"
        for request_id, found in versions.items()
        if len(found) > 1
    ]


def check_refusals(history):
    """Check that requests answered with a status of REFUSALS never run."""
    runs = _count_runs(history)
    return [
        f"{answer.request_id} was answered {answer.status} but was executed"
        for answer in history.answers
        if answer.status in REFUSALS and runs[answer.request_id]
    ]


def _overlaps_fault(history, target, begin, end):
    """Return whether a process had a fault in a period or shortly before."""
    return any(
        period.target in (target, "all")
        and period.begin - SLACK_SECONDS < end
        and period.end + RECONNECT_SECONDS > begin
        for period in history.fault_periods
    )


def _list_documents(history):
    return [
        request
        for request in history.operator_requests
        if request.kind == "document"
    ]


def _find_acknowledged_version(history, before):
    """Return the highest document version acknowledged before a time."""
    versions = [
        request.subject
        for request in _list_documents(history)
        if request.acknowledged_at is not None
        and request.acknowledged_at < before
    ]
    return max(versions, default=FIRST_VERSION)


def _find_sent_version(history, before):
    """Return the highest document version sent before a time."""
    versions = [
        request.subject
        for request in _list_documents(history)
        if request.sent_at < before
    ]
    return max(versions, default=FIRST_VERSION)


def check_documents(history):
    """Check that instances use the documents that were acknowledged.

    The document of version N has the route /vN/ and none of another version.
    An instance must use an acknowledged document within APPLY_SECONDS, unless
    it had a fault. No instance may return to an older document, or use an
    invalid one.
    """
    violations = []
    newest = collections.defaultdict(int)
    invalid = {
        one.subject
        for one in history.operator_requests
        if one.kind == "invalid document"
    }
    for answer in sorted(history.answers, key=lambda answer: answer.sent_at):
        if not answer.target.startswith("/v") or answer.status not in (
            200,
            404,
        ):
            continue
        version = int(answer.target.split("/")[1][1:])
        acknowledged = _find_acknowledged_version(
            history, answer.sent_at - APPLY_SECONDS - SLACK_SECONDS
        )
        is_bound = not _overlaps_fault(
            history,
            answer.entry,
            answer.sent_at - APPLY_SECONDS,
            answer.ended_at,
        )
        sent = _find_sent_version(history, answer.ended_at)
        if answer.status == 200 and version in invalid:
            violations.append(
                f"{answer.entry} serves the invalid version {version}"
            )
        elif answer.status == 200:
            if version < newest[answer.entry]:
                violations.append(
                    f"{answer.entry} returned to version {version} from "
                    f"{newest[answer.entry]}"
                )
            newest[answer.entry] = max(newest[answer.entry], version)
            if is_bound and version < acknowledged:
                violations.append(
                    f"{answer.entry} serves version {version}, "
                    f"not {acknowledged}"
                )
        elif is_bound and version == acknowledged == sent:
            violations.append(
                f"{answer.entry} does not serve version {version} yet"
            )
    return violations


def check_keys(history):
    """Check that no instance accepts a revoked key, connected or not."""
    violations = []
    answers_by_id = {one.request_id: one for one in history.answers}
    for effect in history.effects:
        answer = answers_by_id.get(effect["request"])
        if answer is None or not answer.key.startswith("key-v"):
            continue
        version = int(answer.key[len("key-v") :])
        acknowledged = _find_acknowledged_version(
            history, answer.sent_at - REVOKE_SECONDS - SLACK_SECONDS
        )
        if version < acknowledged:
            violations.append(
                f"{answer.request_id} ran with the key of version {version} "
                f"at {answer.entry} although version {acknowledged} "
                f"had revoked it"
            )
        if effect["key"]:
            violations.append(
                f"{answer.request_id}: its key was forwarded to the server"
            )
    return violations


def check_departures(history):
    """Check that instances without a fault send leaving servers nothing."""
    answers_by_id = {one.request_id: one for one in history.answers}
    violations = []
    for departure in history.departures:
        for effect in history.effects:
            delay_seconds = effect["at"] - departure["left"] - DRAIN_SECONDS
            if effect["server"] != departure["server"] or delay_seconds < 0:
                continue
            if effect["born"] > departure["left"]:
                continue
            answer = answers_by_id.get(effect["request"])
            if answer and not _overlaps_fault(
                history, answer.entry, departure["left"], effect["at"]
            ):
                violations.append(
                    f"{effect['request']} reached {effect['server']} "
                    f"{delay_seconds:.2f} s too late"
                )
    return violations


def _list_arrivals(history):
    """Return (server, instance, sent at, arrived at, start of the server)."""
    answers = {one.request_id: one for one in history.answers}
    rejections = [one for one in history.notices if "rejected" in one]
    return [
        (
            one["server"],
            answers[one["request"]].entry,
            answers[one["request"]].sent_at,
            one["at"],
            one["born"],
        )
        for one in (*history.effects, *rejections)
        if one["request"] in answers
    ]


def check_leaving(history):
    """Check that an instance sends nothing to a server that leaves.

    It is bound from the first answer that says so, whether it has a fault or
    not, unless its process was restarted or paused since.
    """
    answers = {one.request_id: one for one in history.answers}
    first = {}
    for notice in history.notices:
        answer = answers.get(notice["request"])
        if "leaving" in notice and answer is not None:
            place = notice["server"], answer.entry, notice["born"]
            passed_on = max(notice["at"], answer.ended_at)
            first[place] = min(first.get(place, passed_on), passed_on)
    violations = []
    for server, entry, sent_at, at, born in _list_arrivals(history):
        since = first.get((server, entry, born), float("inf"))
        if sent_at > since + DRAIN_SECONDS and not _overlaps_fault(
            history, entry, since, at
        ):
            violations.append(
                f"{entry} sent a request to {server} {sent_at - since:.2f} s "
                f"after it said that it leaves"
            )
    return violations


def check_pauses(history):
    """Check that a server that wants a pause gets at most two requests."""
    answers = {one.request_id: one for one in history.answers}
    arrivals = _list_arrivals(history)
    violations = []
    for notice in history.notices:
        answer = answers.get(notice["request"])
        if "rejected" not in notice or answer is None:
            continue
        begin = notice["at"] + PAUSE_GRACE_SECONDS
        end = notice["at"] + notice["pause"]
        late = [
            at
            for server, entry, _, at, born in arrivals
            if (server, entry, born)
            == (notice["server"], answer.entry, notice["born"])
            and begin < at < end
        ]
        if len(late) > MOST_IN_PAUSE and not _overlaps_fault(
            history, answer.entry, notice["at"], end
        ):
            violations.append(
                f"{answer.entry} sent {len(late)} requests to "
                f"{notice['server']} in its pause"
            )
    return violations


def check_limits(history):
    """Check that a server that names a limit gets no more.

    It binds RECONNECT_SECONDS after it was first named. Counted are requests
    at instances that had passed on such an answer LIMIT_GRACE_SECONDS before,
    and had no fault since.
    """
    answers = {one.request_id: one for one in history.answers}
    arrivals = _list_arrivals(history)
    violations = []
    for period in history.fault_periods:
        if period.kind != "limit":
            continue
        named = [
            one
            for one in history.notices
            if "limited" in one
            and one["server"] == period.target
            and one["request"] in answers
            and period.begin <= one["at"] <= period.end
        ]
        if not named:
            continue
        passed_on = collections.defaultdict(list)
        for notice in named:
            answer = answers[notice["request"]]
            passed_on[answer.entry].append(
                max(notice["at"], answer.ended_at) + LIMIT_GRACE_SECONDS
            )

        def is_bound(entry, sent_at, at):
            known = [one for one in passed_on[entry] if one < sent_at]
            return known and not _overlaps_fault(
                history, entry, max(known) - LIMIT_GRACE_SECONDS, at
            )

        bound_from = min(one["at"] for one in named) + RECONNECT_SECONDS
        until = max(one["at"] for one in named)
        late = [
            at
            for server, entry, sent_at, at, _ in arrivals
            if server == period.target
            and bound_from < at <= until
            and is_bound(entry, sent_at, at)
        ]
        rate = named[0]["limit"]
        most = LIMIT_TOLERANCE * rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        found = max(
            (
                sum(begin <= at < begin + LIMIT_WINDOW_SECONDS for at in late)
                for begin in late
            ),
            default=0,
        )
        if found > most:
            violations.append(
                f"{period.target} takes {rate} requests a second and got "
                f"{found} in {LIMIT_WINDOW_SECONDS} s"
            )
    return violations


def _list_spells(periods):
    """Return lists of FaultPeriods, each of which overlaps in time.

    Args:
        periods: the FaultPeriods of the servers of one service.
    """
    spells = []
    until = -float("inf")
    for period in sorted(periods, key=lambda one: one.begin):
        if period.begin > until:
            spells.append([])
        spells[-1].append(period)
        until = max(until, period.end)
    return spells


def _is_fall_counted(history, period, fall):
    """Return whether instances without a fault are to blame for a fall."""
    at = fall["fell"]
    is_bound = period.begin + RECONNECT_SECONDS < at <= period.end
    if fall["server"] != period.target or not is_bound:
        return False
    entries = {one.request_id: one.entry for one in history.answers}
    senders = [
        entries[one["request"]]
        for one in history.notices
        if "turned away" in one
        and one["server"] == period.target
        and at - 1.0 < one["at"] <= at + SLACK_SECONDS
        and one["request"] in entries
    ]
    sound = [
        entry
        for entry in senders
        if not _overlaps_fault(history, entry, at - 1.0, at)
    ]
    return 2 * len(sound) > len(senders)


def check_falls(history):
    """Check that brittle servers do not fall over for want of room.

    A fall counts if most requests that its server turned away in the second
    before came from instances without a fault. The servers of a service that
    are brittle at the same time may fall MOST_FALLS times together.
    """
    periods = collections.defaultdict(list)
    for period in history.fault_periods:
        if period.kind == "brittle":
            service = schedules.find_service(period.target)
            periods[service].append(period)
    violations = []
    for service, found in periods.items():
        for spell in _list_spells(found):
            falls = sum(
                _is_fall_counted(history, period, fall)
                for period in spell
                for fall in history.falls
            )
            if falls > MOST_FALLS:
                names = ", ".join(one.target for one in spell)
                violations.append(
                    f"brittle servers of {service} fell {falls} times: {names}"
                )
    return violations


def check_partitions(history):
    """Check the service at instances cut off from all servers.

    From RECONNECT_SECONDS after the cut on, first tries are served at least
    two thirds as often as at instances without a fault, and before the links
    work again. Requests count while there is such an instance, as nobody else
    could send them on.
    """
    violations = []
    for period in history.fault_periods:
        if period.kind != "upstream links":
            continue
        begin = period.begin + RECONNECT_SECONDS
        end = period.end - LONGEST_SECONDS
        served = {True: [], False: []}
        for answer in history.answers:
            is_cut = answer.entry == period.target
            if not begin <= answer.sent_at < end or answer.resumes:
                continue
            if answer.key != "key-1" or _find_cause(answer.target):
                continue
            sound = [
                entry
                for entry in schedules.ENTRIES
                if entry != period.target
                and not _overlaps_fault(
                    history, entry, answer.sent_at, answer.ended_at
                )
            ]
            if not sound or not is_cut and answer.entry not in sound:
                continue
            is_served = answer.status == 200 and answer.is_whole
            is_late = answer.ended_at > period.end
            served[is_cut].append(is_served and not is_late)
        cut, others = served[True], served[False]
        if not cut or not others:
            continue
        share, usual = (sum(one) / len(one) for one in (cut, others))
        failed = len(cut) - sum(cut)
        most = MOST_FAILED + (len(cut) + len(others)) / 50
        if share < 2 / 3 * usual and failed > most:
            violations.append(
                f"{period.target}, cut off, served {sum(cut)} of {len(cut)}, "
                f"the others {sum(others)} of {len(others)}"
            )
    return violations


def _find_return(history, evacuation):
    """Return when a failure domain was next told to return, or infinity."""
    return min(
        (
            one.sent_at
            for one in history.operator_requests
            if one.kind == "return"
            and one.subject == evacuation.subject
            and one.sent_at > evacuation.sent_at
        ),
        default=float("inf"),
    )


def _is_in_touch(history, answer, until):
    """Return whether an instance had no fault; a reload is none."""
    periods = [one for one in history.fault_periods if one.kind != "reload"]
    return not _overlaps_fault(
        history._replace(fault_periods=periods),
        answer.entry,
        answer.sent_at,
        until,
    )


def check_evacuations(history):
    """Check that an evacuated failure domain gets no more requests.

    An acknowledged order holds from EVACUATE_SECONDS on until a return is
    sent. Not counted are requests at an instance that had a fault of its own
    since RECONNECT_SECONDS before they were sent, as it may not have known;
    and those sent before the order held to a server that had one, as it may
    have received them in time.
    """
    answers_by_id = {one.request_id: one for one in history.answers}
    violations = []
    for evacuation in history.operator_requests:
        if evacuation.kind != "evacuate" or evacuation.acknowledged_at is None:
            continue
        until = _find_return(history, evacuation)
        since = evacuation.acknowledged_at + EVACUATE_SECONDS + SLACK_SECONDS
        for effect in history.effects:
            if effect["zone"] != evacuation.subject:
                continue
            answer = answers_by_id.get(effect["request"])
            if answer is None or not since < effect["at"] < until:
                continue
            is_old = answer.sent_at <= since
            if is_old and _overlaps_fault(
                history, effect["server"], answer.sent_at, effect["at"]
            ):
                continue
            if _is_in_touch(history, answer, effect["at"]):
                violations.append(
                    f"{answer.request_id} reached evacuated "
                    f"{evacuation.subject} by {answer.entry} "
                    f"{effect['at'] - evacuation.acknowledged_at:.2f} s after "
                    f"the acknowledgement at {evacuation.acknowledged_at:.3f}"
                )
    return violations


def check_domains(history):
    """Check at the end that failure domains that are in get requests.

    One is in if no order named it, or if the last one was a return and was
    acknowledged.
    """
    observed_from = history.final_state.observed_from
    if observed_from is None:
        return []
    last = dict.fromkeys(schedules.DOMAINS)
    for order in history.operator_requests:
        if order.kind in ("evacuate", "return"):
            last[order.subject] = order
    used = {
        effect["zone"]
        for effect in history.effects
        if effect["at"] >= observed_from
    }
    return [
        f"{domain} is in and gets no requests"
        for domain, order in last.items()
        if domain not in used
        and (
            order is None
            or order.kind == "return"
            and order.acknowledged_at is not None
        )
    ]


def check_orders(history):
    """Check that valid orders are not refused, nor invalid ones accepted."""
    violations = []
    for order in history.operator_requests:
        is_accepted = order.acknowledged_at is not None
        is_refused = 400 <= order.status < 500
        if order.kind == "invalid document" and is_accepted:
            violations.append(
                f"invalid document {order.subject} was acknowledged"
            )
        elif order.kind != "invalid document" and (
            is_refused and order.status not in RETRIED_STATUSES
        ):
            violations.append(
                f"{order.kind} {order.subject} was refused: {order.status}"
            )
    return violations


def check_readings(history):
    """Check that no replica returns an old document, or one never sent.

    This applies to any replica, whether it has a fault or not.
    """
    violations = []
    for reading in history.readings:
        acknowledged = _find_acknowledged_version(
            history, reading.sent_at - APPLY_SECONDS - SLACK_SECONDS
        )
        if reading.version < acknowledged:
            violations.append(
                f"{reading.replica} returned version {reading.version} at "
                f"{reading.sent_at:.3f}, {acknowledged} is acknowledged"
            )
        if not reading.is_sent:
            violations.append(
                f"{reading.replica} returned at {reading.sent_at:.3f} what "
                f"was not sent as version {reading.version}"
            )
    return violations


def _is_version_due(history, answer, version):
    """Return whether a version is acknowledged and no newer one was sent."""
    acknowledged = _find_acknowledged_version(
        history, answer.sent_at - APPLY_SECONDS - SLACK_SECONDS
    )
    sent = _find_sent_version(history, answer.ended_at)
    return version == acknowledged == sent


def check_added(history):
    """Check that routes that were added are served like the first ones."""
    added, first = [], []
    for answer in history.answers:
        is_first = answer.target.startswith("/safe/")
        if _find_cause(answer.target) or _overlaps_fault(
            history,
            answer.entry,
            answer.sent_at - APPLY_SECONDS,
            answer.ended_at,
        ):
            continue
        is_served = answer.status == 200 and answer.is_whole
        if is_first and answer.key == "key-1":
            first.append(is_served)
        elif answer.target.startswith("/v"):
            version = int(answer.target.split("/")[1][1:])
            if _is_version_due(history, answer, version):
                added.append(is_served)
    if len(added) < LEAST_ADDED or not first:
        return []
    share, usual = sum(added) / len(added), sum(first) / len(first)
    if share >= usual * LEAST_ADDED_SHARE:
        return []
    return [
        f"added routes were served {sum(added)} of {len(added)} times, the "
        f"first ones {sum(first)} of {len(first)}"
    ]


def check_cold(history):
    """Check that no cold server gets too many requests per second."""
    max_arrivals = COLD_RATE * COLD_RATE_TOLERANCE + COLD_SLACK
    arrivals = collections.defaultdict(list)
    for effect in history.effects:
        if effect["cold"]:
            arrivals[effect["server"], effect["born"]].append(effect["at"])
    violations = []
    for (server, _), times in arrivals.items():
        times.sort()
        begin = 0
        for end, at in enumerate(times):
            while times[begin] <= at - 1.0:
                begin += 1
            if end - begin + 1 > max_arrivals:
                violations.append(
                    f"cold {server} got {end - begin + 1} "
                    f"requests in a second"
                )
                break
    return violations


def check_retries(history):
    """Check that the number of retries stays within the budget."""
    seen = set()
    retry_times = []
    for effect in sorted(history.effects, key=lambda one: one["at"]):
        if effect["request"] in seen:
            retry_times.append(effect["at"])
        seen.add(effect["request"])
    sent = sorted(one.sent_at for one in history.answers)
    violations = []
    for begin in retry_times:
        end = begin + RETRY_WINDOW_SECONDS
        retries = sum(begin <= at < end for at in retry_times)
        # The guarantee also counts the requests of the window before.
        requests = max(
            sum(start <= at < start + RETRY_WINDOW_SECONDS for at in sent)
            for start in (begin, begin - 5.0, begin - RETRY_WINDOW_SECONDS)
        )
        if retries > RETRY_RATIO * requests + RETRY_SLACK:
            violations.append(
                f"{retries} retries exceed the budget of {requests} requests"
            )
            break
    return violations


def check_stops(history):
    """Check that no request is aborted by a planned stop or reload.

    This applies to requests that a server has executed.
    """
    runs = _count_runs(history)
    violations = []
    for answer in history.answers:
        if answer.status or not runs[answer.request_id]:
            continue
        begin, end = (
            answer.sent_at - SLACK_SECONDS,
            answer.ended_at + SLACK_SECONDS,
        )
        nearby_periods = [
            period
            for period in history.fault_periods
            if period.begin < end and period.end + RECONNECT_SECONDS > begin
        ]
        planned = {"terminate", "reload"}
        if nearby_periods and all(
            period.kind in planned for period in nearby_periods
        ):
            if any(period.target == answer.entry for period in nearby_periods):
                violations.append(
                    f"{answer.request_id} aborted by planned stop "
                    f"of {answer.entry}"
                )
    return violations


def check_recovery(history):
    """Check that the system recovers in time and loses no document."""
    final_state = history.final_state
    violations = []
    seconds = final_state.recovery_seconds
    if seconds is None or seconds > RECOVER_SECONDS:
        violations.append(f"recovery time was {seconds} s")
    acknowledged = _find_acknowledged_version(history, float("inf"))
    sent = {FIRST_VERSION, *(one.subject for one in _list_documents(history))}
    for version in final_state.versions:
        if version < acknowledged or version not in sent:
            violations.append(
                f"a replica has version {version}, "
                f"{acknowledged} is acknowledged"
            )
    return violations


def _find_cause(target):
    """Return what the requests that crash servers have in common, or ""."""
    for prefix in ("/safe/crash-", "/tokens/stream/dead-"):
        if target.startswith(prefix):
            return target.removeprefix(prefix).partition("/")[0]
    return ""


def check_crashes(history):
    """Check that requests that crash servers are refused in time.

    An instance is bound once RECONNECT_SECONDS have passed after the last
    crash that it may need, and since its own last fault.
    """
    answers = {one.request_id: one for one in history.answers}
    runs = collections.defaultdict(list)
    for effect in sorted(history.effects, key=lambda one: one["at"]):
        cause = _find_cause(effect.get("target", ""))
        if cause:
            runs[cause].append(effect)
    violations = []
    for cause, effects in runs.items():
        is_part = effects[0]["target"].startswith("/tokens/")
        needed = PART_CRASHES if is_part else REQUEST_CRASHES
        if len(effects) < needed:
            continue
        since = effects[needed - 1]["at"]
        late = [
            one["request"]
            for one in effects
            if one["at"] > since + RECONNECT_SECONDS
            and one["request"] in answers
            and not _overlaps_fault(
                history, answers[one["request"]].entry, since, one["at"]
            )
        ]
        if len(late) > MOST_AFTER_CRASHES:
            violations.append(
                f"{cause} was sent to servers {len(late)} times more after "
                f"it had crashed {needed}"
            )
    return violations


def check_blame(history):
    """Check that no request is refused for crashes that it did not cause."""
    return [
        f"{answer.request_id} to {answer.target} was refused at "
        f"{answer.entry}: {answer.body.strip()}"
        for answer in history.answers
        if answer.status == 503
        and CRASH_REASON in answer.body
        and not _find_cause(answer.target)
    ]


CHECKERS = (
    check_once,
    check_own,
    check_versions,
    check_refusals,
    check_documents,
    check_keys,
    check_departures,
    check_leaving,
    check_pauses,
    check_limits,
    check_falls,
    check_partitions,
    check_evacuations,
    check_domains,
    check_orders,
    check_readings,
    check_added,
    check_cold,
    check_retries,
    check_crashes,
    check_blame,
    check_stops,
    check_recovery,
)


def check(history):
    """Return the violations by name of the checker that found them."""
    violations = {}
    for checker in CHECKERS:
        sentences = checker(history)
        if sentences:
            violations[checker.__name__] = sentences
    return violations
