"""A part of an answer is merged by an older version than the answer itself."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import world_2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOCAL = ["search-0", "search-1"]
REMOTE = ["search-2", "search-3", "search-4", "search-5"]
SHARDS = LOCAL + REMOTE
RECORDS = 20
QUICK_TOP, SWEEP_TOP = 5, 50
# `platform_down`, "nodes": at most 9.0 s on a share of 0.33 of the machines.
TURNED_AWAY_SECONDS = 9.0
CONFIG_APPLY_SECONDS = 3.0


def _route(name: str, prefix: str, top_k: int) -> world_2.Json:
    return {
        "name": name,
        "host": world_2.HOST,
        "path_prefix": prefix,
        "type": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 145,
        "priority": 1,
        "max_attempts": 2,
        "fanout": SHARDS,
        "top_k": top_k,
        "min_shard_ratio": 0.89,
    }


def _is_right(world: world_2.World, answer: world_2.Answer, top_k: int) -> bool:
    """Return whether a success holds the greatest records of the parts it names."""
    services = [stamp.split(".")[0] for stamp in answer.stamps]
    missing = int(answer.headers.get("x-parts-missing", "0"))
    records = [
        record
        for service in services
        for record in world_2.records_of(service, answer.path, RECORDS)
    ]
    expected = b"".join(sorted(records, reverse=True)[:top_k])
    right = (
        len(set(services)) == len(services)
        and set(services) <= set(SHARDS)
        and len(services) + missing == len(SHARDS)
        and answer.body == expected
    )
    found = len(answer.body) // world_2.RECORD_BYTES
    world.record.line(
        f"check {answer.request_id}: {len(services)} parts, {found} records, "
        f"of which the greatest {top_k} are due: {'right' if right else 'WRONG'}"
    )
    return right


async def case(world: world_2.World) -> bool:
    """Add a route while the store turns one machine of three away."""
    for service in SHARDS:
        zones = ("connacht-a", "connacht-b") if service in LOCAL else ("connacht-b",)
        for zone in zones * (2 // len(zones)):
            await world.add_server(service, zone, records=RECORDS)
    quick = _route("quick", "/find/", QUICK_TOP)
    world.configure(1, [quick])
    asked = await world.add_front("front-connacht-a-1", "connacht-a")
    turned_away = await world.add_front("front-connacht-b-1", "connacht-b")
    await world.add_front("front-connacht-c-1", "connacht-c")
    await world.wait_ready()
    # The list of instances is read again after 1.5 s at the latest.
    await asyncio.sleep(4.0)
    held = True
    for number in range(5):
        answer = await world.call(asked, f"/find/before-{number}")
        if answer.status != 200 or not _is_right(world, answer, QUICK_TOP):
            raise world_2.CannotRunError("the first version is not served")
    if TROUBLE:
        world.store.modes[turned_away.name] = "503"
        world.record.line(f"store: turns {turned_away.name} away (503)")
    began = world.record.now()
    modes = world.store.modes
    loop = asyncio.get_running_loop()
    loop.call_later(TURNED_AWAY_SECONDS - 0.1, modes.update, {turned_away.name: ""})
    await asyncio.sleep(0.3)
    world.configure(2, [quick, _route("sweep", "/find/sweep/", SWEEP_TOP)])
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 0.2)
    number = 0
    while world.record.now() < began + TURNED_AWAY_SECONDS - 1.0:
        number += 1
        answer = await world.call(asked, f"/find/sweep/{number}")
        if answer.status == 200:
            held = _is_right(world, answer, SWEEP_TOP) and held
        await asyncio.sleep(0.1)
    world.store.modes[turned_away.name] = ""
    return held


world_2.main(HERE, case)
