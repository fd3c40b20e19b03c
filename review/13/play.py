"""A client sends headers that instances use among themselves.

The links between entry-1 and all servers are silent for 5 s; entry-2 and
entry-3 reach the servers all the while, and entry-1 hands its requests over to
them. A client of tenant-one sends requests to entry-1 with its own key, and
with a header Camphorhook-Key that holds a key of tenant-two. Writes
record.txt.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import fleet as fleets  # noqa: E402

SETTLE_SECONDS = 4.0  # over ContactMs since the starts
CUT_SECONDS = 5.0
LOAD_INTERVAL_SECONDS = 0.05  # at each entry instance
CLIENT_INTERVAL_SECONDS = 0.1
DEADLINE_SECONDS = 2.0


async def answer(server, writer, path, fields):
    """Answer after a little work."""
    await asyncio.sleep(0.02)
    server.write(writer, 200, fields, b"x" * 200)


async def play(fleet, record, servers, proxy):
    """Play the cut; return (id, tenant) of each run for a wrong tenant."""
    is_over = False
    sent = set()

    async def press(entry):
        while not is_over:
            asyncio.create_task(
                fleet.request(entry, "/book/a", deadline=DEADLINE_SECONDS)
            )
            await asyncio.sleep(LOAD_INTERVAL_SECONDS)

    async def ask(request):
        status, _, _ = await fleet.request(
            "entry-1", "/book/a", key=fleets.KEY, request=request,
            deadline=DEADLINE_SECONDS,
            more=[("Camphorhook-Key", fleets.OTHER_KEY)],
        )
        record.write(f"{request} is answered {status}")

    async def client():
        while not is_over:
            request = fleets.new_id()
            sent.add(request)
            record.write(f"tenant-one's client sends {request} to entry-1")
            asyncio.create_task(ask(request))
            await asyncio.sleep(CLIENT_INTERVAL_SECONDS)

    tasks = [asyncio.create_task(press(entry)) for entry in fleet.entries]
    tasks.append(asyncio.create_task(client()))
    await asyncio.sleep(SETTLE_SECONDS)
    if fleets.has_trouble():
        proxy.cut("entry-1")
        record.write("entry-1's links to servers are silent")
    await asyncio.sleep(CUT_SECONDS)
    proxy.cut()
    record.write("all links work")
    await asyncio.sleep(3.0)
    is_over = True
    await asyncio.gather(*tasks)
    await asyncio.sleep(DEADLINE_SECONDS)
    runs = [
        (request, fields.get("x-tenant"))
        for server in servers
        for _, request, _, fields in server.runs
        if request in sent
    ]
    wrong = [one for one in runs if one[1] != "tenant-one"]
    for request, tenant in wrong:
        record.write(
            f"UNASKED: {request}, sent with the key of tenant-one, ran with "
            f"X-Tenant: {tenant}"
        )
    record.write(f"{len(wrong)} of {len(runs)} runs for the wrong tenant")
    return wrong


async def main():
    """Return the exit status."""
    record = fleets.Record(FOLDER)
    fleet = None
    servers = []
    try:
        fleet = fleets.Fleet(record)
        proxy = fleets.LinkProxy(fleet)
        fleet.start_all()
        for number in (1, 2, 3):
            server = fleets.Server(
                fleet, number, "plain", answer, proxy=proxy
            )
            await server.start()
            servers.append(server)
        await fleet.put_config(fleets.make_document(
            1, [("/book/", "unsafe", "plain", {})], ["plain"]
        ))
        await fleet.wait_ready()
        await fleet.wait_served("/book/a")
        wrong = await play(fleet, record, servers, proxy)
    except (fleets.CannotRun, OSError) as error:
        record.write(f"could not run: {error!r}")
        return 2
    finally:
        for server in servers:
            server.stop()
        if fleet is not None:
            fleet.close()
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
