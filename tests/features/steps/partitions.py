"""Step definitions for instances that lose their links to upstreams."""

import collections
import itertools
import pathlib
import re
import signal
import threading
import time

import behave

from camphorhook_daemon.domain.routing import links
from tests.harness import link_checks
from tests.harness import partitions
from tests.harness import platforms

CONTACT_SECONDS = 3.0  # after which a cut must not be noticed any more
SETTLE_SECONDS = 1.0
HEAL_SECONDS = 4.0  # of load after a cut
SHARE = 0.9  # of the service at other instances
REFUSALS = (408, 421, 429, 503)  # guarantee that the request has not run


@behave.given(
    "{count:d} entry instances that reach 6 upstreams through a proxy"
)
def start_platform(context, count):
    context.world = partitions.Partitions(
        pathlib.Path(context.folder), context.slot, count
    )
    context.add_cleanup(context.world.close)
    context.world.start()
    context.world.platform.effects.write_text("")


@behave.when(
    "the links of {count:d} instances to all upstreams are {fault} for "
    "{seconds:g} seconds"
)
def cut_links(context, count, fault, seconds):
    world = context.world
    context.cut = world.entries[:count]
    context.others = world.entries[count:]
    world.start_load()
    time.sleep(SETTLE_SECONDS)
    world.set_links(context.cut, fault)
    context.cut_at = time.time()
    time.sleep(seconds)
    context.healed_at = time.time()
    world.set_links(context.cut, "none")
    time.sleep(SETTLE_SECONDS if context.others else HEAL_SECONDS)
    world.stop_load()


@behave.when(
    "the links of {count:d} instances to all upstreams are {fault} for "
    "{seconds:g} seconds, and {entry} is {event} after {delay:g}"
)
def cut_links_and_disturb(context, count, fault, seconds, entry, event, delay):
    world = context.world
    disturb = {
        "killed": lambda: world.platform.kill(entry),
        "frozen": lambda: world.platform.pause(entry),
        "stopped": lambda: world.platform.running[entry].send_signal(
            signal.SIGTERM
        ),
        "cut off": lambda: world.set_links([entry], "silent"),
    }[event]
    timer = threading.Timer(SETTLE_SECONDS + delay, disturb)
    timer.start()
    cut_links(context, count, fault, seconds)
    if event == "frozen":
        world.platform.resume(entry)
    context.others.remove(entry)


@behave.when("upstreams fail: {event} for {seconds:g} seconds")
def disturb_upstreams(context, event, seconds):
    world = context.world
    world.start_load()
    time.sleep(SETTLE_SECONDS)
    end = time.time() + seconds
    if "one upstream after the other" in event:
        for server in itertools.cycle(partitions.SERVERS):
            if time.time() > end:
                break
            world.set_server(server, "silent")
            time.sleep(1.2)
            world.set_server(server, "none")
    else:
        silent = [
            server
            for number, server in enumerate(partitions.SERVERS)
            if number % len(platforms.DOMAINS) == 0
        ]
        for server in silent:
            world.set_server(server, "silent")
        time.sleep(seconds)
        for server in silent:
            world.set_server(server, "none")
    time.sleep(SETTLE_SECONDS)
    world.stop_load()


@behave.then("no instance takes its links for lost")
def check_no_verdict(context):
    for entry in context.world.entries:
        log = context.world.platform.running[entry].read_log()
        assert "reaches no upstream" not in log, entry


@behave.then("no instance takes upstreams for lost")
def check_no_outage(context):
    for entry in context.world.entries:
        log = context.world.platform.running[entry].read_log()
        assert "no instance reaches" not in log, entry


@behave.then(
    "later first tries are refused within {seconds:g} seconds, with a "
    "Retry-After"
)
def check_refused_at_once(context, seconds):
    begin = context.cut_at + CONTACT_SECONDS
    found = [
        (took, answer)
        for _, _, _, sent_at, took, answer in context.world.answers
        if begin <= sent_at < context.healed_at
    ]
    print(collections.Counter(answer.status for _, answer in found))
    assert found
    for took, answer in found:
        text = f"{answer.status} after {took:.2f} s: {answer.body[:80]}"
        assert answer.status == 503 and took <= seconds, text
        assert float(answer.headers["retry-after"]) > 0, text


@behave.then(
    "all are served from {seconds:g} seconds after the end of the cut on"
)
def check_healed(context, seconds):
    served, sent = context.world.measure_share(
        context.world.entries, context.healed_at + seconds, time.time()
    )
    print(f"{served} of {sent}")
    assert sent and served == sent, (served, sent)


@behave.then("at least {share:g} of all first tries are served")
def check_all_served(context, share):
    served, sent = context.world.measure_share(
        context.world.entries, 0.0, time.time()
    )
    print(f"{served} of {sent}")
    assert served >= share * sent, (served, sent)


@behave.then("they serve first tries nine tenths as often as the others")
def check_served(context):
    begin = context.cut_at + CONTACT_SECONDS
    # What is sent later may be served by the links that work again.
    end = context.healed_at - partitions.DEADLINE_SECONDS
    served, sent = context.world.measure_share(context.cut, begin, end)
    others = context.world.measure_share(context.others, begin, end)
    text = f"{served} of {sent}, the others {others[0]} of {others[1]}"
    print(text)
    assert sent and others[0] > 0.9 * others[1], text
    assert served / sent >= SHARE * others[0] / others[1], text


@behave.then("no unsafe request ran twice")
def check_once(context):
    runs = context.world.count_runs()
    for _, target, request, *_ in context.world.answers:
        if target.startswith("/unsafe/"):
            assert runs[request] <= 1, (request, runs[request])


@behave.then("no request that was refused ran")
def check_refusals(context):
    runs = context.world.count_runs()
    for _, _, request, _, _, answer in context.world.answers:
        if answer.status in REFUSALS:
            assert not runs[request], (request, answer.status)


NOW = 100.0


def find_upstreams(text):
    """Return the names of the upstreams in a text."""
    return re.findall(r"u\d", text)


@behave.given("an instance that {own}")
def observe(context, own):
    views = collections.defaultdict(links.View)
    numbers = [float(one) for one in re.findall(r"\d+\.\d+", own)]
    before, _, after = own.partition(" and heard ")
    for name in find_upstreams(before):
        view = views[name]
        if "waits" in own:
            view = view._replace(waits=(NOW - numbers[0],), heard_at=90.0)
        elif "connect to" in own or "lost" in own:
            at = NOW - numbers[0]
            heard_at = at - 0.01 if "lost" in own else view.heard_at
            view = view._replace(failed_at=at, heard_at=heard_at)
        elif "answer nothing" in own:
            sent_at = NOW - numbers[0]
            view = view._replace(
                waits=(sent_at,), heard_at=NOW - 0.02, answered_at=90.0
            )
        else:
            is_refused = f"{name} takes" in own or "they take" in own
            view = view._replace(
                heard_at=NOW - 0.02,
                connected_at=90.0,
                refused_at=NOW - 0.5 if is_refused else 80.0,
            )
        views[name] = view
    for name in find_upstreams(after):
        heard_at = NOW - numbers[-1]
        views[name] = views[name]._replace(heard_at=heard_at)
    context.views = views


@behave.given("other instances that {others}")
def report(context, others):
    context.reports = []
    if "do not answer" in others:
        return
    age = float(re.search(r"(\d+(\.\d+)?) ago", others).group(1))
    heard_at = {name: NOW - age for name in find_upstreams(others)}
    context.reports.append(links.Report("cut off" in others, heard_at))


@behave.then("it judges that {verdict} failed")
def check_verdict(context, verdict):
    suspicion = links.find_suspicion(context.views, NOW)
    found = "nothing"
    if suspicion:
        is_own = links.is_own_fault(suspicion, context.reports)
        found = "its links" if is_own else "upstreams"
    assert found == verdict, (found, suspicion)


HEARD = {"the other four": (2, 3, 4, 5), "all six": range(6), "none": ()}


@behave.given(
    "requests of an instance to {failing:d} of 6 upstreams fail, {probes}"
)
def fail_requests(context, failing, probes):
    context.check = link_checks.LinkCheck(failing, "but" in probes)


@behave.given("an instance beside it that hears {heard}")
def hear(context, heard):
    context.check.heard = HEARD[heard]


@behave.when("the other instance hears {heard}")
def hear_later(context, heard):
    context.check.steps.append(
        lambda: setattr(context.check, "heard", HEARD[heard])
    )


@behave.when("{seconds:d} seconds have passed")
def wait(context, seconds):
    context.check.steps.append(seconds)


@behave.then("this instance {decision}")
def check_decision(context, decision):
    found = context.check.run()
    states = {
        (True, False): "sends by way of others",
        (False, True): "refuses what it gets",
        (False, False): "goes on as before",
    }
    state = states.get((found.is_cut_off, found.is_outage))
    assert state == decision, (state, found.is_cut_off, found.is_outage)


@behave.when(
    "another instance asks about all upstreams {times:d} times within "
    "{seconds:d} second"
)
def ask_again(context, times, seconds):
    for _ in range(times):
        context.check.steps += [context.check.ask, seconds / times]


@behave.then("it has probed {count:d} different upstreams")
def check_probed(context, count):
    context.check.run()
    assert len(set(context.check.probed)) == count, context.check.probed
