"""A zone is evacuated and taken back; its server has become cold."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as deployments  # noqa: E402

COLD_PER_S = 14.0  # ColdPerS of `draftbench`
COLD_START_SECONDS = 3.0  # its ColdStartS
CRASH_PER_S = 2 * COLD_PER_S + 5  # well above what a cold server tolerates
CRASH_SECONDS = 3.0
REQUESTS_PER_S = 80.0
EVENTS, EVENT_SECONDS = 12, 0.1
EVACUATED_SECONDS = 8.0
NOTICE_SECONDS = 1.0  # between the ack of the cold ping and the way back
ZONE = "oslo-a"
SERVICES = [
    {
        "Name": "drafts",
        "HealthPath": "/health",
        "MaxConnections": 360,
        "ColdStartS": COLD_START_SECONDS,
        "ColdPerS": COLD_PER_S,
        "Engine": {
            "Slots": 64,
            "KvCapacityTokens": 518859,
            "KvTokenBytes": 163840,
            "LinkMbps": 740000.0,
        },
    }
]
ROUTES = [
    deployments.make_route(
        "notes",
        "drafts",
        "streaming",
        TimeoutMs=12000,
        TargetLatencyMs=1000,
        Attempts=1,
        GapTargetMs=500,
    )
]


async def answer_stream(server, writer, headers, target):
    """Answer with a stream of events."""
    request = headers.get("x-request-id", "")
    check_crash(server)
    more = [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    deployments.send_head(writer, 200, request, more)
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {request}\n\n"
        writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")


def check_crash(server):
    """End a cold server that gets far more than it tolerates."""
    now = time.monotonic()
    recent = [at for at, _ in server.arrivals if at > now - 1.0]
    if now < server.cold_until and len(recent) > CRASH_PER_S:
        server.deployment.record.write(f"{server.name} crashes")
        server.crashed = True
        server.close()


def count_most(server):
    """Return the most requests within one second while a server is cold."""
    begin = server.cold_until - COLD_START_SECONDS
    times = [
        at for at, _ in server.arrivals if begin <= at < server.cold_until
    ]
    return max(
        (sum(at <= one < at + 1.0 for one in times) for at in times),
        default=0,
    )


async def send_requests(fleet, answers):
    """Send streams to the entry instances in turn, until cancelled."""
    begin = time.monotonic()
    for number in range(1_000_000):
        front = fleet.fronts[number % len(fleet.fronts)]
        asyncio.create_task(send_one(fleet, front, answers))
        due = begin + (number + 1) / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))


async def send_one(fleet, front, answers):
    request = f"{random.getrandbits(64):016x}"
    headers = [("Authorization", "Bearer key-1"), ("X-Deadline-Ms", "12000")]
    reply = await fleet.send(front, request, "/notes/a", headers, seconds=12.0)
    answers.append((request, reply.status, reply.is_whole))
    fleet.record.write(
        f"{front} answered {request} with {reply.status}, "
        f"whole: {reply.is_whole}"
    )


async def play(record, has_trouble):
    fleet = deployments.Deployment(record)
    servers = [
        deployments.Server(fleet, f"server-{n}", "drafts", answer_stream)
        for n in (1, 2, 3)
    ]
    returning = servers[0]
    returning.crashed = False
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
        await asyncio.sleep(2.0)
        answers = []
        load = asyncio.create_task(send_requests(fleet, answers))
        await asyncio.sleep(4.0)
        await fleet.order("POST", f"/-/evacuations/{ZONE}")
        await asyncio.sleep(EVACUATED_SECONDS)
        if has_trouble:
            returning.cold_until = time.monotonic() + COLD_START_SECONDS
            record.write(f"{returning.name} becomes cold again")
            if os.environ.get("REBORN"):
                returning.restart()
            replica = fleet.replicas[0]
            if not await returning.ping(replica):
                raise deployments.CannotRun("the ping was not acknowledged")
        await asyncio.sleep(NOTICE_SECONDS)
        await fleet.order("DELETE", f"/-/evacuations/{ZONE}")
        await asyncio.sleep(COLD_START_SECONDS + 2.0)
        load.cancel()
        most = count_most(returning) if has_trouble else 0
        allowed = (
            COLD_PER_S * fleet.bounds["ColdOverage"]
            + fleet.bounds["ColdSlack"]
        )
        await asyncio.sleep(2.0)
        cut = sum(not is_whole for _, _, is_whole in answers)
        record.write(
            f"the cold server got {most} requests in one second, allowed "
            f"{allowed:g}; it crashed: {returning.crashed}; {cut} of "
            f"{len(answers)} answers were cut off"
        )
        print(f"{most} requests in one second, allowed {allowed:g}")
        return most <= allowed
    finally:
        for server in servers:
            server.close()
        fleet.close()


if __name__ == "__main__":
    sys.exit(deployments.run(play, FOLDER / "record.txt"))
