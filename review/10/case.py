"""A desired state adds a tenant whose name is not written in Latin-1."""

import asyncio
import copy
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import rig as rigs  # noqa: E402

FRONTS = ("front-1", "front-2")
DEADLINE_MS = 4000
OLD_KEY, NEW_KEY = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
NAME = "高雄補習班" if rigs.TROUBLE else "kaohsiung"
APPLY_SECONDS = rigs.BOUNDS["ConfigApplyMs"] / 1000
CLOSED = ("closed without an answer", "ConnectionResetError")

DOCUMENT = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-booking",
            "Host": "ficu95.example",
            "PathPrefix": "/booking/",
            "Kind": "unsafe",
            "TimeoutMs": DEADLINE_MS,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": "koebok",
            "Attempts": 1,
            "Public": False,
            "Sticky": False,
            "Resumable": False,
        }
    ],
    "Services": [
        {
            "Name": "koebok",
            "HealthPath": "/health",
            "MaxConnections": 100,
            "Protocol": "h1",
            "Tls": False,
            "ColdStartS": 0.0,
            "ColdPerS": 0.0,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "hule930", "ApiKeys": [OLD_KEY], "Priority": 1}],
}


async def press(rig, key, seconds, interval=0.1):
    """Send requests with a key; return (seconds taken, Reply) of each."""
    found = []

    async def one(front):
        began = rig.now()
        reply = await rigs.send(rig, front, "/booking/2f", key, DEADLINE_MS)
        found.append((rig.now() - began, reply))

    tasks = []
    end = rig.now() + seconds
    while rig.now() < end:
        tasks.append(rig.spawn(one(FRONTS[len(tasks) % 2])))
        await asyncio.sleep(interval)
    await asyncio.gather(*tasks)
    return found


def count_cut(found):
    """Return how many channels ended without an answer."""
    return sum(
        reply.status == 0 and any(text in reply.error for text in CLOSED)
        for _, reply in found
    )


def count_served(found):
    return sum(reply.status == 200 for _, reply in found)


async def play(rig):
    await rig.start_all(cores=3, fronts=2)
    await rig.put_document(DOCUMENT)
    servers = [rigs.Server(rig, "koebok", n, rigs.ZONES[n]) for n in range(3)]
    for server in servers:
        await server.start()
    await rig.wait_ready(FRONTS)
    before = await press(rig, OLD_KEY, 4.0)
    if count_served(before) < 0.9 * len(before):
        raise rigs.Unusable(
            f"{count_served(before)} of {len(before)} were served before"
        )
    changed = copy.deepcopy(DOCUMENT)
    changed["Version"] = 12
    changed["Tenants"].append(
        {"Name": NAME, "ApiKeys": [NEW_KEY], "Priority": 1}
    )
    await rig.put_document(changed)
    await asyncio.sleep(APPLY_SECONDS)
    old, new = await asyncio.gather(
        press(rig, OLD_KEY, 8.0), press(rig, NEW_KEY, 8.0)
    )
    print(
        f"new tenant: {count_served(new)} of {len(new)} served, "
        f"{count_cut(new)} channels ended without an answer; old tenant: "
        f"{count_served(old)} of {len(old)} served, {count_cut(old)} ended so"
    )
    share = count_served(new) / len(new)
    share_of_all = count_served(old + new) / len(old + new)
    if share < share_of_all / 4:
        return [
            f"Starved: {share:.0%} of the new tenant's requests were served, "
            f"of all {share_of_all:.0%}"
        ]
    return []


rigs.main(CASE, play)
