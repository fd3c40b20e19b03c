"""Steps of the log's safety under random faults."""

import behave

from tests.harness import replicas


@behave.when(
    "three replicas run for {seconds:d} seconds of a mock clock with seeds "
    "{first:d} to {last:d}"
)
def run_replicas(context, seconds, first, last):
    context.counts = []
    for seed in range(first, last + 1):
        print(f"seed {seed}")
        context.counts.append(replicas.run_seed(seed, seconds))


@behave.then("they agreed and lost no acknowledged change")
def check_counts(context):
    for counts in context.counts:
        print(dict(counts))
        assert counts["acknowledged"] > 0, context.counts


@behave.when("{count:d} changes are acknowledged by a calm group")
def change_calm_group(context, count):
    context.waits = replicas.run_repeatably(
        1, replicas.measure_following, count
    )


@behave.then("every replica applied each of them before the next heartbeat")
def check_following(context):
    assert max(context.waits) < replicas.TIMING.heartbeat_ms / 1000 / 2
