"""A machine stays at an older version after a short silence of the store."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import world_2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 6
# `platform_down`, "nodes silent": at most 9.0 s, a share of 0.33 of the machines.
SILENT_MACHINES = 2
SILENT_SECONDS = 0.4
ROUNDS = 5
CONFIG_APPLY_SECONDS = 3.0
STABLE_WINDOW_SECONDS = 4.0
SERVICES = ("query-library", "report-export")
SEND_SECONDS = 0.25


def _route(service: str) -> world_2.Json:
    return {
        "name": "open",
        "host": world_2.HOST,
        "path_prefix": "/open/",
        "type": "idempotent",
        "timeout_ms": 8000,
        "target_latency_ms": 692,
        "priority": 2,
        "max_attempts": 2,
        "service": service,
    }


async def _change(world: world_2.World, version: int, silent: list[str]) -> float:
    """Move the route to the other service; return when it was acknowledged."""
    if TROUBLE:
        for name in silent:
            world.store.modes[name] = "silent"
        world.record.line(f"store: silent for {silent}")
    await asyncio.sleep(SILENT_SECONDS / 2)
    world.configure(version, [_route(SERVICES[(version + 1) % 2])])
    acknowledged = world.record.now()
    await asyncio.sleep(SILENT_SECONDS / 2)
    for name in silent:
        world.store.modes[name] = ""
    world.record.line("store: serves all machines again")
    return acknowledged


async def _follow(
    world: world_2.World, front: world_2.Front, version: int, acknowledged: float
) -> None:
    """Record how long a machine stays at the older version."""
    while world.record.now() < acknowledged + 30.0:
        answer = await world.call(front, f"/open/{version}-follow")
        ran_at = answer.headers.get("x-response-stamp", "").split(".")[0]
        if ran_at == SERVICES[(version + 1) % 2]:
            break
        await asyncio.sleep(SEND_SECONDS)
    late = world.record.now() - acknowledged
    world.record.line(f"{front.name} was at the older version for {late:.1f} s")


async def case(world: world_2.World) -> bool:
    """Move a route while the store is silent for some machines for a moment."""
    for service in SERVICES:
        for zone in ("connacht-a", "connacht-b"):
            await world.add_server(service, zone)
    world.configure(1, [_route(SERVICES[0])])
    for number in range(MACHINES):
        zone = "abc"[number % 3]
        await world.add_front(f"front-connacht-{zone}-{number + 1}", f"connacht-{zone}")
    await world.wait_ready()
    await asyncio.sleep(3.0)
    fronts = list(world.fronts.values())
    silent = [front.name for front in fronts[:SILENT_MACHINES]]
    for turn in range(ROUNDS):
        version = turn + 2
        acknowledged = await _change(world, version, silent)
        # The machines are in touch again 4 s after the silence, and a version is due
        # 3 s after its acknowledgement; the check allows both spans and a second more.
        due = acknowledged + STABLE_WINDOW_SECONDS + CONFIG_APPLY_SECONDS + 1.0
        await asyncio.sleep(max(0.0, due - world.record.now()))
        sent: dict[str, tuple[float, str]] = {}
        while world.record.now() < due + 1.5:
            for front in fronts:
                answer = await world.call(front, f"/open/{version}-{len(sent)}")
                sent[answer.request_id] = (answer.sent_at, front.name)
            await asyncio.sleep(SEND_SECONDS)
        old = [
            run
            for server in world.of(SERVICES[version % 2])
            for run in server.runs
            if run.request_id in sent
        ]
        for run in old:
            at, name = sent[run.request_id]
            world.record.line(
                f"OLD: {run.request_id}, sent to {name} {at - acknowledged:.1f} s "
                f"after version {version} was acknowledged, ran at the old service"
            )
        if old:
            front = world.fronts[sent[old[-1].request_id][1]]
            await _follow(world, front, version, acknowledged)
            return False
    return True


world_2.main(HERE, case)
