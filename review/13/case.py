"""A drill of the store: it is away for a moment and comes back from an older copy."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import world_3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"um": 9, "dois": 7, "tres": 4}
DRILLS = 3
# How long the store is away, and how old its copy is, in seconds.
AWAY = 0.2
COPY_AGE = 4.0
# Pause between versions of a quick succession (`config_storm`), in seconds.
STORM_GAP = 0.33
# Time without any disruption or change after each drill, in seconds.
CALM = 17.0
# `config_apply_ms` with all of `max_stretch_ms`, in seconds.
STRETCHED = 15.0
REQUEST_GAP = 0.1
SERVICES = ("arquivo", "fecho", "mesa")
# A service that no route of the case leads to; a server of it starts before a drill.
OTHER_SERVICE = "portal"


async def play(world: world_3.World) -> bool:
    """Return whether CONFIG held."""
    record, store = world.record, world.store
    beats = []
    for service in SERVICES:
        for number in range(2):
            name = f"i-{service}{number}"
            await world.add_server(world_3.Server(record, name, service, "um"))
            beats.append(asyncio.create_task(world_3.beat(store, world.servers[name])))

    version = 3
    service = SERVICES[0]
    # The acknowledgement of each version and its service.
    acknowledged = []

    async def write(again: bool = False) -> None:
        nonlocal version, service
        if not again:
            version += 2
            service = SERVICES[version // 2 % len(SERVICES)]
        routes = [world_3.route("ficha", service=service)]
        content = world_3.configuration(version, routes, [*SERVICES, OTHER_SERVICE])
        at = await store.put("config", "main", content)
        if not again:
            acknowledged.append((at, service))
        record.say(f"operator: version {version} leads to {service}, again: {again}")

    await write()
    for zone, count in ZONES.items():
        await world.add_fronts(count, zone)
    await asyncio.sleep(world_3.STABLE_WINDOW + 2)

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
    # Spans in which the machines are not in touch.
    unstable = []
    for drill in range(DRILLS):
        await asyncio.sleep(COPY_AGE)
        await write()
        # A server of another service starts.
        late_server = world_3.Server(record, f"i-late{drill}", OTHER_SERVICE, "um")
        await world.add_server(late_server)
        beats.append(asyncio.create_task(world_3.beat(store, late_server)))
        await asyncio.sleep(COPY_AGE / 2)
        if TROUBLE:
            record.say("the store is away")
            away_at = time.monotonic()
            await store.drill(AWAY, COPY_AGE - 0.5)
            unstable.append((away_at, time.monotonic() + world_3.STABLE_WINDOW))
        await write(again=True)
        await asyncio.sleep(STORM_GAP)
        await write()
        await asyncio.sleep(CALM)
    stop.set()
    await asyncio.gather(*clients)
    for task in beats:
        task.cancel()
    world_3.check_served(len(sent), len(answered))

    late = []
    for server in world.servers.values():
        for run in server.runs:
            name, at = sent[run.attempt]
            in_touch = not any(begins <= at <= ends for begins, ends in unstable)
            due = [i for i, (ack, _) in enumerate(acknowledged) if ack + 3 < at]
            allowed = {each for _, each in acknowledged[due[-1] :]} if due else {None}
            if in_touch and due and run.service not in allowed:
                age = at - acknowledged[due[-1]][0]
                late.append((name, age))
                record(f"{run.attempt}: {age:.2f} s after the ack, by {run.service}")
    machines = {name for name, _ in late}
    longest = max((age for _, age in late), default=0)
    record.say(
        f"{len(late)} requests at {len(machines)} of {len(world.fronts)} machines ran "
        f"by the service of an older version, up to {longest:.1f} s after the "
        f"acknowledgement of the newer one; "
        f"{sum(age > STRETCHED for _, age in late)} of them after {STRETCHED:.0f} s"
    )
    return not late


world_3.main(pathlib.Path(__file__).parent, play)
