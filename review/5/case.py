"""All machines lose power; clients take their streams up again."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as deployments  # noqa: E402
import streams as stream_calls  # noqa: E402

STREAMS = 40
DEADLINE_SECONDS = 15.0  # of `session-review`
RUN_SECONDS = 2.5  # of the streams until the loss
DOWN_SECONDS = 0.5
SETTLE_SECONDS = 1.0  # after ContactMs, until clients take streams up
TRIES, TRY_SECONDS = 3, 0.7
NEEDED = 12  # streams taken up, for the rule to count
SERVICES = [
    {
        "Name": "drafts",
        "HealthPath": "/health",
        "MaxConnections": 360,
        "Engine": {"Slots": 64, "KvCapacityTokens": 518859},
    }
]
ROUTES = [
    deployments.make_route(
        "review",
        "drafts",
        "streaming",
        TimeoutMs=int(DEADLINE_SECONDS * 1000),
        TargetLatencyMs=800,
        Resumable=True,
        GapTargetMs=500,
    )
]


def make_stream(fleet):
    return stream_calls.Stream(fleet, "/review/a", DEADLINE_SECONDS)


async def take_up(stream, fronts):
    """Take a stream up again, with a few tries; return whether it went on."""
    before = stream.last_event
    for number in range(TRIES):
        await stream.send(fronts[number % len(fronts)])
        if stream.is_whole or stream.last_event > before:
            return True
        await asyncio.sleep(TRY_SECONDS)
    return False


async def begin(fleet, front):
    """Begin a new stream; return whether it had an event."""
    stream = make_stream(fleet)
    await stream.send(front)
    return stream.last_event > 0


async def play(record, has_trouble):
    fleet = deployments.Deployment(record)
    servers = [
        deployments.Server(fleet, f"server-{n}", "drafts", stream_calls.answer)
        for n in (1, 2, 3)
    ]
    try:
        machines = [*fleet.replicas, *fleet.fronts]
        for name in machines:
            fleet.start(name, first=True)
        document = deployments.make_document(1, ROUTES, SERVICES)
        if not await fleet.put_document(document):
            raise deployments.CannotRun("no desired state was acknowledged")
        for server in servers:
            await server.start()
        for front in fleet.fronts:
            await fleet.wait_ready(front)
        await asyncio.sleep(2.0)
        fronts = fleet.fronts
        streams = [make_stream(fleet) for _ in range(STREAMS)]
        running = [
            asyncio.create_task(one.send(fronts[number % len(fronts)]))
            for number, one in enumerate(streams)
        ]
        await asyncio.sleep(RUN_SECONDS)
        if has_trouble:
            lost = fronts if os.environ.get("FRONTS") else machines
            for name in lost:
                fleet.kill(name)
            await asyncio.sleep(DOWN_SECONDS)
            for name in lost:
                fleet.start(name)
            for front in fronts:
                await fleet.wait_ready(front)
        else:
            await asyncio.gather(*running)
        await asyncio.sleep(fleet.bounds["ContactMs"] / 1000 + SETTLE_SECONDS)
        broken = [
            one for one in streams if one.last_event and not one.is_whole
        ]
        went_on, began = await asyncio.gather(
            asyncio.gather(*(take_up(one, fronts) for one in broken)),
            asyncio.gather(
                *(
                    begin(fleet, fronts[number % len(fronts)])
                    for number in range(STREAMS)
                )
            ),
        )
        share = sum(went_on) / max(1, len(went_on))
        share_new = sum(began) / len(began)
        text = (
            f"{sum(went_on)} of {len(went_on)} streams went on, "
            f"{sum(began)} of {len(began)} new ones began"
        )
        record.write(text)
        print(text)
        return len(went_on) < NEEDED or 2 * share >= share_new
    finally:
        for server in servers:
            server.close()
        fleet.close()


if __name__ == "__main__":
    sys.exit(deployments.run(play, FOLDER / "record.txt"))
