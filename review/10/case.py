"""Requests go on reaching a server that wants none for some seconds."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import world_2  # noqa: E402

SHARDS = [f"search-{number}" for number in range(6)]
# `srv_grey`, shed: at most 6.5 s, a share of 0.14 of the servers, 0.45 of the requests.
GREY_SECONDS = 6.5
GREY_SHARE = 0.45
RETRY_AFTER_SECONDS = 5.0
ALLOWED_AFTER_SECONDS = 0.5
ALLOWED = 2


class Grey:
    """A server that turns a part of its requests away with 503 and Retry-After."""

    def __init__(self, world: world_2.World) -> None:
        self._world = world
        self._seen = 0
        self.on = False
        self.turned_away: list[float] = []

    def __call__(self, request: world_2.Message) -> world_2.Json | None:
        """Return the rejection, or None to run the request."""
        if not self.on:
            return None
        self._seen += 1
        if int(self._seen * GREY_SHARE) == int((self._seen - 1) * GREY_SHARE):
            return None
        self.turned_away.append(self._world.record.now())
        headers = {"X-Not-Executed": "1", "Retry-After": f"{RETRY_AFTER_SECONDS:.0f}"}
        return {"status": 503, "headers": headers}


async def case(world: world_2.World) -> bool:
    """Let one server of twelve turn requests away."""
    for service in SHARDS:
        for zone in ("connacht-a", "connacht-b"):
            await world.add_server(service, zone)
    route = {
        "name": "sweep",
        "host": world_2.HOST,
        "path_prefix": "/sweep/",
        "type": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 145,
        "priority": 1,
        "max_attempts": 2,
        "fanout": SHARDS,
        "top_k": 50,
        "min_shard_ratio": 0.89,
    }
    world.configure(1, [route])
    front = await world.add_front("front-connacht-a-1", "connacht-a")
    await world.wait_ready()
    await asyncio.sleep(2.0)
    server = next(s for s in world.of(SHARDS[0]) if s.zone == "connacht-a")
    grey = Grey(world)
    server.behave = grey
    if (await world.call(front, "/sweep/before")).status != 200:
        raise world_2.CannotRunError("the route is not served")
    grey.on = world_2.TROUBLE
    until = world.record.now() + GREY_SECONDS
    calls = []
    while world.record.now() < until:
        path = f"/sweep/{len(calls)}"
        calls.append(asyncio.create_task(world.call(front, path)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)
    held = True
    for at in grey.turned_away:
        start, end = at + ALLOWED_AFTER_SECONDS, at + RETRY_AFTER_SECONDS
        count = sum(start < run.at < end for run in server.arrivals)
        if count > ALLOWED:
            held = False
        world.record.line(
            f"{server.name} answered 503 with Retry-After {RETRY_AFTER_SECONDS:.0f} "
            f"at {at:.3f}; {count} requests from {start:.3f} to {end:.3f}"
        )
    return held


world_2.main(HERE, case)
