"""Requests go on reaching a server that has said that it leaves."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import world_2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "query-library"
# `core_cut`: at most 5.5 s, one machine.
CUT_SECONDS = 5.5
DRAIN_SECONDS = 3.0


async def case(world: world_2.World) -> bool:
    """Empty a server while one machine is cut off from the store."""
    # `scale_in`: at most a share of 0.145, so one of seven.
    for zone in "abcbcbc":
        await world.add_server(SERVICE, f"connacht-{zone}")
    route = {
        "name": "open",
        "host": world_2.HOST,
        "path_prefix": "/open/",
        "type": "idempotent",
        "timeout_ms": 8000,
        "target_latency_ms": 692,
        "priority": 2,
        "max_attempts": 2,
        "service": SERVICE,
    }
    world.configure(1, [route])
    for zone in ("a", "b", "c"):
        await world.add_front(f"front-connacht-{zone}-1", f"connacht-{zone}")
    await world.wait_ready()
    asked = world.fronts["front-connacht-a-1"]
    leaving = next(s for s in world.of(SERVICE) if s.zone == "connacht-a")
    for number in range(5):
        if (await world.call(asked, f"/open/before-{number}")).status != 200:
            raise world_2.CannotRunError("the route is not served")
    if TROUBLE:
        world.store.modes[asked.name] = "silent"
        world.record.line(f"store: {asked.name} is cut off")
    cut_at = world.record.now()
    modes = world.store.modes
    loop = asyncio.get_running_loop()
    loop.call_later(CUT_SECONDS - 0.1, modes.update, {asked.name: ""})
    await asyncio.sleep(0.2)
    # All answers from here on say that the server leaves. It serves for longer than
    # drain_ms, as the pages allow it.
    world.store.put("servers", leaving.name, leaving.entry("draining"))
    leaving.extra_headers = {"Server-Leaving": "1"}
    world.record.line(f"server {leaving.name}: draining, acknowledged")
    told_at = None
    sent: dict[str, float] = {}
    while world.record.now() < cut_at + CUT_SECONDS - 0.2:
        answer = await world.call(asked, f"/open/{len(sent)}")
        sent[answer.request_id] = answer.sent_at
        if told_at is None and "server-leaving" in answer.headers:
            told_at = answer.answered_at
            world.record.line(f"{asked.name} passed on Server-Leaving")
        await asyncio.sleep(0.05)
    world.store.modes[asked.name] = ""
    if told_at is None:
        # Without the cut the machine may know it from the store before any answer.
        return True
    late = [
        run
        for run in leaving.arrivals
        if sent.get(run.request_id, 0.0) > told_at + DRAIN_SECONDS
    ]
    for run in late:
        world.record.line(
            f"LATE: {run.request_id}, sent {sent[run.request_id] - told_at:.3f} s "
            f"after Server-Leaving, reached {leaving.name}"
        )
    return not late


world_2.main(HERE, case)
