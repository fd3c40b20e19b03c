"""A client names absurd numbers of tokens in X-Prompt-Prefix."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import rig as rigs  # noqa: E402

FRONTS = ("front-1", "front-2", "front-3")
HIT = FRONTS[:2]
TIMES = 3
DEADLINE_MS = 4000
KEY = "n2ctnfzs989anu6wsjnb"
PARTS = 20
TOKENS = 999_999_999_999_999_999 if rigs.TROUBLE else 250
PREFIX = ",".join(f"{n:08x}:{TOKENS}" for n in range(1, PARTS + 1))
RESTART_SECONDS = 0.5  # "restarted after a short delay"
WATCH_SECONDS = 3.0  # after each of the client's requests

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
    "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}],
}


async def press(rig, front, replies, stop):
    """Send ordinary requests to one front until told to stop."""
    while not stop.is_set():
        reply = await rigs.send(rig, front, "/booking/2f", KEY, DEADLINE_MS)
        replies.append(reply)
        await asyncio.sleep(0.1)


async def play(rig):
    await rig.start_all(cores=3, fronts=3)
    await rig.put_document(DOCUMENT)
    for number in range(3):
        zone = rigs.ZONES[number]
        await rigs.Server(rig, "koebok", number, zone, work=0.2).start()
    await rig.wait_ready(FRONTS)
    replies, stop = [], asyncio.Event()
    callers = [rig.spawn(press(rig, one, replies, stop)) for one in FRONTS]
    await asyncio.sleep(3.0)
    before = sum(one.status == 200 for one in replies)
    if before < 10:
        raise rigs.Unusable(f"only {before} ordinary requests were served")
    ends = dict.fromkeys(HIT, 0)
    for turn in range(TIMES):
        for front in HIT:
            await rigs.send(
                rig,
                front,
                "/booking/2f",
                KEY,
                DEADLINE_MS,
                more=[("X-Prompt-Prefix", PREFIX)],
                request_id=f"prefix-{turn}-{front}",
            )
            await asyncio.sleep(WATCH_SECONDS)
            code = rig.processes[front].poll()
            if code is None:
                continue
            ends[front] += 1
            lines = rig.read_log(front).splitlines()
            why = [one.strip(" |") for one in lines if "Error: " in one][-1:]
            rig.record("ended by itself", process=front, code=code, log=why)
            print(f"{front} ended by itself with {code}: {why}")
            await asyncio.sleep(RESTART_SECONDS)
            rig.start(front, first=False)
            await rig.wait_ready([front])
    stop.set()
    await asyncio.gather(*callers)
    lost = sum(one.status == 0 for one in replies)
    print(f"{lost} of {len(replies)} ordinary requests got no answer")
    if all(count >= TIMES for count in ends.values()):
        return [f"Fault: processes ended by themselves, {ends}"]
    return []


rigs.main(CASE, play)
