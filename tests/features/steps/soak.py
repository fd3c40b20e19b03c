"""Step definitions for the soak: its checkers, and a short run."""

import pathlib

import behave

from tests.soak import __main__ as soak
from tests.soak import checkers
from tests.soak import histories
from tests.soak import schedules

START_SECONDS = 1000.0


def make_answer(request, target, at, **fields):
    """Return a complete answer of a safe request, with fields replaced."""
    answer = histories.Answer(
        request,
        "entry-1",
        target,
        "key-1",
        at,
        at + 0.1,
        200,
        f"server-1 {target}",
        True,
    )
    return answer._replace(**fields)


def make_effect(request, at, **fields):
    """Return a server's record of a run, with fields replaced."""
    effect = {"server": "server-1", "request": request, "at": at}
    effect |= {"key": None, "cold": False, "born": 0.0, "zone": "zone-a"}
    return {**effect, **fields}


def make_history():
    """Return a history without violations."""
    answers = [
        make_answer("a", "/safe/a", START_SECONDS + 1),
        make_answer("b", "/unsafe/b", START_SECONDS + 2),
        make_answer("c", "/v2/c", START_SECONDS + 9),
    ]
    return histories.History(
        answers,
        [
            histories.OperatorRequest(
                "document", 2, START_SECONDS + 3, START_SECONDS + 3.1
            )
        ],
        [],
        [make_effect(one.request_id, one.sent_at) for one in answers],
        [],
        [],
        [],
        histories.FinalState(1.0, (2, 2, 2)),
    )


def _add(history, answer, **fields):
    history.answers.append(answer)
    effect = make_effect(answer.request_id, answer.sent_at + 0.01, **fields)
    history.effects.append(effect)
    return history


def run_twice(history):
    history.effects.append(make_effect("b", START_SECONDS + 2.5))
    return history


def mix_answers(history):
    return _add(
        history,
        make_answer("d", "/safe/d", START_SECONDS, body="server-1 /safe/x"),
    )


def drop_event(history):
    answer = make_answer("d", "/tokens/stream/d", START_SECONDS)
    return _add(history, answer._replace(body="id: 2\ndata: piece 2\n\n"))


def mix_versions(history):
    events = ["id: 1\nevent: v1\ndata: piece 1\n\n"]
    events.append("id: 2\nevent: v2\ndata: piece 2\n\n")
    first = make_answer("d", "/tokens/stream/d", START_SECONDS)
    second = make_answer("e", "/tokens/stream/d", START_SECONDS + 1)
    _add(history, first._replace(body=events[0], is_whole=False))
    return _add(
        history,
        second._replace(body=events[1], is_whole=False, resumes="d", after=1),
    )


def refuse_run(history):
    return _add(
        history, make_answer("d", "/safe/d", START_SECONDS, status=503)
    )


def serve_old_document(history):
    return _add(history, make_answer("d", "/v1/d", START_SECONDS + 8))


def revert_document(history):
    _add(history, make_answer("d", "/v2/d", START_SECONDS + 3.5))
    return _add(history, make_answer("e", "/v1/e", START_SECONDS + 4))


def use_old_key(history):
    return _add(
        history, make_answer("d", "/safe/d", START_SECONDS + 9, key="key-v1")
    )


def reach_departed_server(history):
    history.departures.append(
        {"server": "server-1", "left": START_SECONDS + 10}
    )
    return _add(history, make_answer("d", "/safe/d", START_SECONDS + 13))


def reach_leaving_server(history):
    history.notices.append(
        {
            "server": "server-1",
            "request": "a",
            "leaving": True,
            "at": START_SECONDS + 1,
            "born": 0.0,
        }
    )
    return _add(history, make_answer("d", "/safe/d", START_SECONDS + 4))


def reach_paused_server(history):
    _add(
        history, make_answer("e", "/safe/e", START_SECONDS), server="server-2"
    )
    history.notices.append(
        {
            "server": "server-1",
            "request": "e",
            "rejected": True,
            "at": START_SECONDS + 10,
            "born": 0.0,
            "pause": 1.5,
        }
    )
    for number in range(3):
        answer = make_answer(
            f"d{number}", "/safe/d", START_SECONDS + 10.8 + number / 10
        )
        _add(history, answer._replace(body="server-1 /safe/d"))
    return history


def exceed_limit(history):
    history.fault_periods.append(
        histories.FaultPeriod(
            "server-1", "limit", START_SECONDS + 9, START_SECONDS + 21
        )
    )
    for at in (10, 20):
        history.notices.append(
            {
                "server": "server-1",
                "request": "a",
                "limited": True,
                "limit": 1.0,
                "at": START_SECONDS + at,
                "born": 0.0,
            }
        )
    for number in range(12):
        answer = make_answer(
            f"d{number}", "/safe/d", START_SECONDS + 14 + number / 4
        )
        _add(history, answer._replace(body="server-1 /safe/d"))
    return history


def fall_over(history):
    """Let two servers of a service that are brittle fall three times."""
    for server in ("server-1", "server-2"):
        history.fault_periods.append(
            histories.FaultPeriod(
                server, "brittle", START_SECONDS, START_SECONDS + 20
            )
        )
    falls = ("server-1", 5), ("server-2", 6), ("server-1", 9)
    for server, at in falls:
        at += START_SECONDS
        history.notices.append(
            {"server": server, "request": "a", "turned away": True, "at": at}
        )
        history.falls.append({"server": server, "fell": at})
    return history


def serve_nothing_while_cut_off(history):
    history.fault_periods.append(
        histories.FaultPeriod(
            "entry-1", "upstream links", START_SECONDS, START_SECONDS + 12
        )
    )
    for number in range(20):
        at = START_SECONDS + 4 + number / 4
        answer = make_answer(f"d{number}", "/safe/d", at)
        history.answers.append(answer._replace(status=504, body=""))
        history.answers.append(
            answer._replace(request_id=f"e{number}", entry="entry-2")
        )
        history.effects.append(make_effect(f"e{number}", at))
    return history


def reach_evacuated_domain(history):
    history.operator_requests.append(
        histories.OperatorRequest(
            "evacuate", "zone-a", START_SECONDS + 10, START_SECONDS + 10
        )
    )
    return _add(history, make_answer("d", "/safe/d", START_SECONDS + 16))


def wait_for_evacuated_domain(history):
    reach_evacuated_domain(history)
    answer = history.answers.pop()
    history.effects.pop()
    answer = answer._replace(sent_at=START_SECONDS + 14.5)
    history.answers.append(answer)
    history.effects.append(make_effect("d", START_SECONDS + 16))
    return history


def take_back_late(history):
    """Evacuate, return and evacuate again; a reload is no excuse."""
    orders = ("evacuate", 10), ("return", 11), ("evacuate", 12), ("return", 20)
    for kind, at in orders:
        at += START_SECONDS
        history.operator_requests.append(
            histories.OperatorRequest(kind, "zone-a", at, at)
        )
    history.fault_periods.append(
        histories.FaultPeriod(
            "entry-1", "reload", START_SECONDS + 17, START_SECONDS + 17
        )
    )
    _add(history, make_answer("e", "/safe/e", START_SECONDS + 11.5))
    _add(history, make_answer("f", "/safe/f", START_SECONDS + 21))
    return _add(history, make_answer("d", "/safe/d", START_SECONDS + 18))


def leave_domain_out(history):
    final_state = history.final_state._replace(
        observed_from=START_SECONDS + 30
    )
    for number, domain in enumerate(("zone-a", "zone-b")):
        answer = make_answer(f"d{number}", "/safe/d", START_SECONDS + 31)
        _add(history, answer, zone=domain)
    at = START_SECONDS + 20
    history.operator_requests.append(
        histories.OperatorRequest("return", "zone-c", at, at)
    )
    return history._replace(final_state=final_state)


def _order(history, kind, acknowledged_at, status):
    history.operator_requests.append(
        histories.OperatorRequest(
            kind, 3, START_SECONDS + 10, acknowledged_at, status
        )
    )
    return history


def refuse_order(history):
    return _order(history, "document", None, 409)


def accept_invalid(history):
    return _order(history, "invalid document", START_SECONDS + 10, 200)


def serve_invalid(history):
    _order(history, "invalid document", None, 400)
    return _add(history, make_answer("d", "/v3/d", START_SECONDS + 12))


def _read(history, at, version, is_sent):
    reading = histories.Reading(
        "replica-1", START_SECONDS + at, version, is_sent
    )
    return history._replace(readings=[reading])


def read_old_document(history):
    return _read(history, 6, 1, True)


def read_other_document(history):
    return _read(history, 6, 2, False)


def miss_added_routes(history):
    for number in range(20):
        answer = make_answer(f"d{number}", "/v2/d", START_SECONDS + 10)
        history.answers.append(answer._replace(status=503))
    return history


def overload_cold_server(history):
    for number in range(30):
        answer = make_answer(
            f"d{number}", "/safe/d", START_SECONDS + number / 100
        )
        _add(history, answer._replace(body="server-1 /safe/d"), cold=True)
    return history


def retry_too_often(history):
    for number in range(60):
        history.effects.append(
            make_effect("a", START_SECONDS + 2 + number / 100)
        )
    return history


def crash_often(history, target, count):
    for number in range(count):
        answer = make_answer(
            f"d{number}", target, START_SECONDS + number, status=502
        )
        _add(history, answer, target=target, crash=True)
    return history


def crash_by_request(history):
    return crash_often(history, "/safe/crash-cause", 10)


def crash_by_part(history):
    return crash_often(history, "/tokens/stream/dead-cause/1", 12)


def refuse_sound(history):
    answer = make_answer("d", "/safe/d", START_SECONDS, status=503)
    history.answers.append(answer._replace(body=checkers.CRASH_REASON))
    return history


def interrupt_in_stop(history):
    history.fault_periods.append(
        histories.FaultPeriod(
            "entry-1", "terminate", START_SECONDS + 20, START_SECONDS + 21
        )
    )
    return _add(
        history,
        make_answer("d", "/safe/d", START_SECONDS + 20, status=0, body=""),
    )


def lose_document(history):
    return history._replace(final_state=histories.FinalState(1.0, (2, 1, 2)))


def stay_down(history):
    return history._replace(final_state=histories.FinalState(None, (2, 2, 2)))


BROKEN_HISTORIES = {
    "a request that is not idempotent ran twice": run_twice,
    "an answer belongs to another request": mix_answers,
    "a stream lacks an event": drop_event,
    "a stream went on at another version": mix_versions,
    "a refused request ran": refuse_run,
    "an instance serves an old document": serve_old_document,
    "an instance goes back to an old document": revert_document,
    "a revoked key was accepted": use_old_key,
    "a server that left got a request": reach_departed_server,
    "a server that said that it leaves got a request": reach_leaving_server,
    "a server that wanted a pause got requests": reach_paused_server,
    "a server got more than the limit that it named": exceed_limit,
    "brittle servers fell over together": fall_over,
    "an instance that was cut off served nothing": serve_nothing_while_cut_off,
    "a failure domain that is out got a request": reach_evacuated_domain,
    "a request waited until the failure domain was out": (
        wait_for_evacuated_domain
    ),
    "a late order took a failure domain back": take_back_late,
    "a failure domain that is in got no request": leave_domain_out,
    "a valid order was refused": refuse_order,
    "an invalid document was acknowledged": accept_invalid,
    "an invalid document is in force": serve_invalid,
    "a replica returned an old document": read_old_document,
    "a replica returned what was not sent": read_other_document,
    "routes that were added are not served": miss_added_routes,
    "a cold server got too much": overload_cold_server,
    "too many requests were sent again": retry_too_often,
    "a request kept crashing servers": crash_by_request,
    "a part of prompts kept crashing servers": crash_by_part,
    "a sound request was refused for crashes": refuse_sound,
    "a planned stop cut a request": interrupt_in_stop,
    "an acknowledged document was lost": lose_document,
    "no service after the faults": stay_down,
}


@behave.given("a history in which {what}")
def break_history(context, what):
    context.history = BROKEN_HISTORIES[what](make_history())


@behave.then("{checker} finds it, and nothing in the history without it")
def check_finds(context, checker):
    assert not checkers.check(make_history())
    found = checkers.check(context.history)
    assert list(found) == [checker], found


@behave.when("the soak runs seed {seed:d} for {seconds:d} seconds")
def run_soak(context, seed, seconds):
    faults = schedules.draw(seed, seconds)
    folder = pathlib.Path(context.folder) / "soak"
    slot = soak.FIRST_SLOT + 10 + context.slot
    context.found, context.counts = soak.run(faults, folder, slot, seed)


@behave.then("no checker found a violation")
def check_kept(context):
    print(dict(context.counts))
    assert context.counts["served"] > 0, context.counts
    assert not context.found, context.found


@behave.given("the schedule of seed {seed:d}")
def draw_schedule(context, seed):
    context.faults = schedules.draw(seed)


@behave.when("it is shortened while it contains its second and its last fault")
def shorten_schedule(context):
    context.wanted = [context.faults[1], context.faults[-1]]
    context.shorter = schedules.shorten(
        context.faults,
        lambda faults: all(one in faults for one in context.wanted),
    )


@behave.then("only these two faults are left")
def check_shorter(context):
    assert context.shorter == context.wanted, context.shorter


@behave.then("it is the same after saving and loading")
def check_file(context):
    path = pathlib.Path(context.folder) / "schedule.jsonl"
    schedules.save(context.shorter, path)
    assert schedules.load(path) == context.shorter
