"""Two replicas lose their disks, one well after the other has come back."""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as deployments  # noqa: E402

LINK_MBITS = 6  # of a `core` machine in sites/fjordmaster-koe.toml
ROUTES = 490  # 110 idle ones and one `big_config` of 380
CHANGES = 50
CHANGE_GAP_SECONDS = 0.33  # of a `config_storm`
DOWN_SECONDS = 2.0
BETWEEN_SECONDS = 16.0  # from the first return to the second loss
READ_SECONDS = 5.0  # above ContactMs, for the operator to read it back
REQUEST_GAP_SECONDS = 0.1
SERVICES = [
    {"Name": one, "HealthPath": "/health", "MaxConnections": 100}
    for one in ("plain", "other")
]


def make_word(rng):
    return "".join(rng.choices("bcdfghklmnprstvwaeiou0123456789", k=8))


def make_document(version, places):
    """Return a desired state in which every other version moves all routes."""
    service = SERVICES[version % 2]["Name"]
    routes = [
        deployments.make_route(
            name, service, Host=f"{host}.example", PathPrefix=f"/{prefix}/"
        )
        for name, host, prefix in places
    ]
    routes.append(deployments.make_route("safe", "plain"))
    return deployments.make_document(version, routes, SERVICES)


async def send_requests(fleet, answers):
    """Send a safe request to the entry instances in turn, until cancelled."""
    for number in range(1_000_000):
        front = fleet.fronts[number % len(fleet.fronts)]
        asyncio.create_task(send_one(fleet, front, answers))
        await asyncio.sleep(REQUEST_GAP_SECONDS)


async def send_one(fleet, front, answers):
    request = f"{random.getrandbits(64):016x}"
    sent_at = time.monotonic()
    headers = [("Authorization", "Bearer key-1"), ("X-Deadline-Ms", "4000")]
    reply = await fleet.send(front, request, "/safe/a", headers)
    answers.append((sent_at, reply.status))
    fleet.record.write(f"{front} answered {request} with {reply.status}")


def measure_share(answers, begin, end):
    found = [status == 200 for at, status in answers if begin <= at < end]
    return sum(found) / max(1, len(found))


async def find_leader(fleet):
    for name in fleet.replicas:
        if await fleet.read_gauge(name, "log_leads"):
            return name
    raise deployments.CannotRun("no replica leads")


async def lose(fleet, name):
    """Take a machine's power and disk; start it again with an empty disk."""
    fleet.kill(name)
    fleet.lose_disk(name)
    await asyncio.sleep(DOWN_SECONDS)
    fleet.start(name)


async def read_back(fleet, version):
    """Return whether any replica answers with the newest desired state."""
    end = time.monotonic() + READ_SECONDS
    while time.monotonic() < end:
        for name in fleet.replicas:
            reply = await deployments.call(
                fleet.find_address(name),
                deployments.CONTROL_PORT,
                "GET",
                "/-/config",
                seconds=2.0,
            )
            found = 0
            if reply.status == 200:
                found = json.loads(reply.body)["Version"]
            fleet.record.write(
                f"read back at {name}: {reply.status}, version {found}"
            )
            if found == version:
                return True
        await asyncio.sleep(0.3)
    return False


async def play(record, has_trouble):
    fleet = deployments.Deployment(record)
    servers = [
        deployments.Server(
            fleet, f"server-{n}", "plain", deployments.answer_plain
        )
        for n in (1, 2)
    ]
    try:
        await fleet.open_links(LINK_MBITS)
        for name in [*fleet.replicas, *fleet.fronts]:
            fleet.start(name, first=True)
        rng = random.Random(1)
        places = [
            tuple(make_word(rng) for _ in range(3)) for _ in range(ROUTES)
        ]
        if not await fleet.put_document(make_document(1, places)):
            raise deployments.CannotRun("no desired state was acknowledged")
        for server in servers:
            await server.start()
        for front in fleet.fronts:
            await fleet.wait_ready(front)
        answers = []
        load = asyncio.create_task(send_requests(fleet, answers))
        for version in range(2, CHANGES + 2):
            due = time.monotonic() + CHANGE_GAP_SECONDS
            if not await fleet.put_document(make_document(version, places)):
                raise deployments.CannotRun(f"version {version} has no ack")
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        newest = CHANGES + 1
        await asyncio.sleep(4.0)
        calm_at = time.monotonic() - 3.0
        leader = await find_leader(fleet)
        first = next(one for one in fleet.replicas if one != leader)
        record.write(f"{leader} leads")
        if has_trouble:
            await lose(fleet, first)
        await asyncio.sleep(BETWEEN_SECONDS)
        # Right after it has acknowledged an evacuation's end.
        acked_by = await fleet.order("DELETE", "/-/evacuations/oslo-a")
        begin = time.monotonic()
        if has_trouble:
            await lose(fleet, acked_by if acked_by != first else leader)
        await asyncio.sleep(fleet.bounds["RecoverS"])
        back_at = time.monotonic()
        is_back = await read_back(fleet, newest)
        await asyncio.sleep(2.0)
        load.cancel()
        before = measure_share(answers, calm_at, begin)
        after = measure_share(answers, back_at, time.monotonic() - 1.0)
        record.write(
            f"served {before:.2f} before and {after:.2f} later than RecoverS "
            f"after the machines were back; read back: {is_back}"
        )
        return is_back and not (before >= 0.25 > after)
    finally:
        for server in servers:
            server.close()
        fleet.close(keeps_logs=bool(sys.argv[1:]))
        if sys.argv[1:]:
            print(fleet.folder)


if __name__ == "__main__":
    sys.exit(deployments.run(play, FOLDER / "record.txt"))
