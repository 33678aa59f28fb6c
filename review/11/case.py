"""A store that is silent to some machines for a moment, while a route moves."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import world_3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONTS = 12
# Machines that the store does not answer, and the length of its silence, in seconds.
SILENT = 4
SILENCE = 0.3
# How far reads with allow_stale are behind, and for how long, in seconds.
STALE = 5.0
STALE_FOR = 12.0
REQUEST_GAP = 0.1


async def play(world: world_3.World) -> bool:
    """Return whether CONFIG held."""
    record = world.record
    for number in range(3):
        await world.add_server(world_3.Server(record, f"i-old{number}", "old", "um"))
        await world.add_server(world_3.Server(record, f"i-new{number}", "new", "um"))
    services = ["old", "new"]
    before = world_3.configuration(3, [world_3.route("ficha", service="old")], services)
    after = world_3.configuration(5, [world_3.route("ficha", service="new")], services)
    await world.store.put("config", "main", before)
    await world.add_fronts(FRONTS)
    # All machines are in touch after this.
    await asyncio.sleep(8.0)

    sent: dict[str, tuple[str, float]] = {}
    answered: set[str] = set()
    stop = asyncio.Event()

    async def client(front: world_3.Front) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            attempt = f"{front.name}.{number}"
            sent[attempt] = (front.name, time.monotonic())
            record(f"client: sends {attempt}")
            answer = await world_3.call(front.port, "/ficha/2f", attempt, 2500)
            stamp = "" if answer is None else answer.headers.get("x-response-stamp", "")
            status = "nothing" if answer is None else answer.first
            record(f"client: {attempt} gets {status} {stamp}")
            if stamp:
                answered.add(attempt)
            await asyncio.sleep(REQUEST_GAP)

    clients = [asyncio.create_task(client(front)) for front in world.fronts]
    await asyncio.sleep(1.0)
    world.store.stale_seconds = STALE
    asyncio.get_running_loop().call_later(
        STALE_FOR, setattr, world.store, "stale_seconds", 0.0
    )
    record(f"stale reads are {STALE} s behind for {STALE_FOR} s")
    await asyncio.sleep(1.0)
    if TROUBLE:
        record.say(f"the store is silent to {SILENT} of {FRONTS} machines")
        for front in world.fronts[:SILENT]:
            front.door.silent = True
    await asyncio.sleep(SILENCE / 2)
    acknowledged = await world.store.put("config", "main", after)
    record.say("the operator's version 5 is acknowledged")
    await asyncio.sleep(SILENCE / 2)
    for front in world.fronts:
        front.door.silent = False
    healed = time.monotonic()
    record("the store answers all machines")
    await asyncio.sleep(8.0)
    stop.set()
    await asyncio.gather(*clients)
    world_3.check_served(len(sent), len(answered))

    due = max(acknowledged + world_3.CONFIG_APPLY, healed + world_3.STABLE_WINDOW)
    late = [
        run
        for server in world.servers.values()
        for run in server.runs
        if run.service == "old" and sent[run.attempt][1] > due
    ]
    for run in late:
        age = sent[run.attempt][1] - acknowledged
        record(f"sent {age:.2f} s after the acknowledgement, run by old: {run.attempt}")
    machines = {sent[run.attempt][0] for run in late}
    record.say(
        f"{len(late)} requests ran by the old service though they were sent later than "
        f"{due - acknowledged:.2f} s after the acknowledgement, at {len(machines)} of "
        f"{FRONTS} machines"
    )
    return not late


world_3.main(pathlib.Path(__file__).parent, play)
