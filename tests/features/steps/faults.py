"""Step definitions that inject faults and wait for their effects."""

import time

import behave

from tests.harness import processes

SETTLE_SECONDS = 15.0


@behave.when("the process {name:Word} is killed")
def kill(context, name):
    context.fleet.kill(name)


@behave.when("the processes {names} are killed at once")
def kill_all(context, names):
    for name in names.split(", "):
        context.fleet.kill(name)


@behave.when("the process {name:Word} starts again")
def start_again(context, name):
    context.fleet.restart(name)


@behave.when("the processes {names} start again")
def start_all_again(context, names):
    for name in names.split(", "):
        context.fleet.restart(name)


@behave.when("the process {name:Word} freezes")
def freeze(context, name):
    context.fleet.pause(name)


@behave.when("the process {name:Word} resumes")
def thaw(context, name):
    context.fleet.resume(name)


def list_names(context, domain):
    """Return the names of a failure domain's instances."""
    return [one.name for one in context.fleet.plan.list_in_domain(domain)]


def list_others(context, names):
    """Return the names of all other instances."""
    return [
        one.name
        for one in context.fleet.plan.instances
        if one.name not in names
    ]


@behave.when("the upstreams {names} are no longer heard")
def wait_silent(context, names):
    for instance in context.fleet.plan.instances:
        processes.wait_until(
            lambda name=instance.name: not set(names.split(", "))
            & set(context.fleet.list_live_upstreams(name)),
            SETTLE_SECONDS,
            f"silence of {names} at {instance.name}",
        )


@behave.when("failure domain {domain:Word} is cut off")
def cut_domain(context, domain):
    inside = list_names(context, domain)
    links = context.fleet.list_links_between(
        inside, list_others(context, inside)
    )
    context.fleet.set_fault(links, "silent")


@behave.when("instance {name:Word} is cut off")
def cut_instance(context, name):
    links = context.fleet.list_links_between(
        [name], list_others(context, [name])
    )
    context.fleet.set_fault(links, "silent")


@behave.when("the outgoing messages of instance {name:Word} are lost")
def cut_outgoing(context, name):
    links = [f"{name}>{other}" for other in list_others(context, [name])]
    context.fleet.set_fault(links, "one_way")


@behave.when("the network heals")
def heal(context):
    links = context.fleet.list_links()
    context.fleet.set_fault(links, "none")


@behave.given("the cell {table:Word} {row:Word} {column:Word} is {value:Word}")
@behave.when(
    "an operator sets the cell {table:Word} {row:Word} {column:Word} to "
    "{value:Word}"
)
def set_cell(context, table, row, column, value):
    answer = context.fleet.client.change_row(table, row, {column: value})
    context.index = answer["index"]
    context.fleet.wait_in_force(context.index)


@behave.when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@behave.when("there is a leader")
@behave.then("there is a leader")
def wait_leader(context):
    context.leader = processes.wait_until(
        context.fleet.find_leader, SETTLE_SECONDS, "a leader"
    )


@behave.when("there is a new leader")
def wait_other_leader(context):
    old = context.leader
    client = context.fleet.make_client(list_others(context, [old])[0])

    def find():
        rows = client.read("/status")["instances"]
        leaders = [
            row["name"] for row in rows if row.get("log_role") == "leader"
        ]
        return [name for name in leaders if name != old]

    found = processes.wait_until(find, SETTLE_SECONDS, "another leader")
    context.leader = found[0]


@behave.when("the leader is killed")
def kill_leader(context):
    wait_leader(context)
    context.fleet.kill(context.leader)


@behave.when("the leader freezes")
def freeze_leader(context):
    wait_leader(context)
    context.fleet.pause(context.leader)
