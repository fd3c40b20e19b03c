"""A server has left; after a kill of several processes it is used again."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as deployments  # noqa: E402

REQUESTS_PER_S = 20.0
KILL_SECONDS = 0.3  # after the ack of the departure
DOWN_SECONDS = 0.5
LATE_SECONDS = 2.5  # by which a ping of before arrives late
WORK_SECONDS = 0.3  # of a request, below the most of `slot-booking`
SERVES_SECONDS = 6.0  # after the ack, "at times many seconds"
SERVICES = [{"Name": "plain", "HealthPath": "/health", "MaxConnections": 100}]
ROUTES = [
    deployments.make_route("safe", "plain"),
    deployments.make_route("unsafe", "plain", "unsafe", Attempts=1),
]


async def answer_booking(server, writer, headers, target):
    """Answer after the work of a request."""
    await asyncio.sleep(WORK_SECONDS)
    await deployments.answer_plain(server, writer, headers, target)


async def send_requests(fleet, answers):
    """Send requests to the entry instances in turn, until cancelled."""
    for number in range(1_000_000):
        front = fleet.fronts[number % len(fleet.fronts)]
        asyncio.create_task(send_one(fleet, front, answers))
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_one(fleet, front, answers):
    request = f"{random.getrandbits(64):016x}"
    headers = [("Authorization", "Bearer key-1"), ("X-Deadline-Ms", "4000")]
    answers[request] = front, time.monotonic()
    reply = await fleet.send(front, request, "/unsafe/a", headers)
    answers[request] = (*answers[request], reply.status)
    fleet.record.write(f"{front} answered {request} with {reply.status}")


async def play(record, has_trouble):
    fleet = deployments.Deployment(record)
    servers = [
        deployments.Server(fleet, f"server-{n}", "plain", answer_booking)
        for n in (1, 2, 3)
    ]
    leaver = servers[0]
    try:
        for name in [*fleet.replicas, *fleet.fronts]:
            fleet.start(name, first=True)
        document = deployments.make_document(1, ROUTES, SERVICES)
        if not await fleet.put_document(document):
            raise deployments.CannotRun("no desired state was acknowledged")
        for server in servers:
            await server.start()
        for front in fleet.fronts:
            await fleet.wait_ready(front)
        answers = {}
        load = asyncio.create_task(send_requests(fleet, answers))
        await asyncio.sleep(5.0)
        # It leaves without `draining`: DELETE first, then it serves on.
        leaver.stop_pings()
        late_ping = leaver.make_ping()
        asked, others = fleet.replicas[1], fleet.replicas[0]
        if not await leaver.deregister(asked):
            raise deployments.CannotRun("the DELETE was not acknowledged")
        acked_at = time.monotonic()
        await asyncio.sleep(KILL_SECONDS)
        killed = [asked, *fleet.fronts]
        if has_trouble:
            for name in killed:
                fleet.kill(name)
            await asyncio.sleep(DOWN_SECONDS)
            for name in killed:
                fleet.start(name)
        touch_at = time.monotonic() + fleet.bounds["ContactMs"] / 1000
        await asyncio.sleep(
            max(0.0, acked_at + LATE_SECONDS - time.monotonic())
        )
        record.write(f"the ping of before the DELETE arrives at {others}")
        await leaver.ping(others, late_ping)
        await asyncio.sleep(acked_at + SERVES_SECONDS - time.monotonic())
        leaver.close()
        record.write(f"{leaver.name} exits")
        await asyncio.sleep(1.0)
        load.cancel()
        allowed_at = max(touch_at, acked_at + fleet.bounds["DrainMs"] / 1000)
        late = [
            (round(at - acked_at, 2), request)
            for at, request in leaver.arrivals
            if at > allowed_at and answers[request][1] > allowed_at
        ]
        for at, request in late:
            record.write(f"{request} reached it {at} s after the ack")
        await asyncio.sleep(WORK_SECONDS)
        lost = [one for _, one in late if answers[one][2:] != (200,)]
        text = (
            f"{len(late)} requests reached a server that had left, "
            f"{len(lost)} of these were not answered by it"
        )
        record.write(text)
        print(text)
        return not late
    finally:
        for server in servers:
            server.close()
        fleet.close(keeps_logs=bool(sys.argv[1:]))
        if sys.argv[1:]:
            print(fleet.folder)


if __name__ == "__main__":
    sys.exit(deployments.run(play, FOLDER / "record.txt"))
