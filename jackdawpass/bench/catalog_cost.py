"""Measurement of the memory and time that a large configuration costs an instance.

Run as ``python -m jackdawpass.bench.catalog_cost``; prints one JSON line per number of
targets.
"""

import argparse
import gc
import hashlib
import json
import random
import time
import tracemalloc
import typing

from twisted.internet import task

from jackdawpass.connection import dialect, frames
from jackdawpass.process import adaptive, dispatcher
from jackdawpass.version import catalog, parts

TARGETS_PER_SERVICE = 190
REPLICAS_PER_SHARD = 2
ZONE_COUNT = 8
TARGET_COUNTS = (570, 1900, 5700)


def make_service_settings(service: str) -> dict[str, typing.Any]:
    """Return the settings of a service, which consist of its targets."""
    number = int(service.removeprefix("service-"))
    return {
        "targets": {
            f"{service}-{position}": {
                "host": f"127.{number}.{position // 250}.{position % 250 + 1}",
                "port": 8080,
                "zone": f"zone-{position % ZONE_COUNT}",
                "connections": 2000,
            }
            for position in range(TARGETS_PER_SERVICE)
        }
    }


def make_index(service: str) -> dict[str, typing.Any]:
    """Return an index that places each shard on consecutive targets."""
    shards = TARGETS_PER_SERVICE // REPLICAS_PER_SHARD
    placement = {
        f"{service}-{position}": [position // REPLICAS_PER_SHARD]
        for position in range(TARGETS_PER_SERVICE)
    }
    return {"snapshot": "s1", "shards": shards, "placement": placement}


def make_parts(targets: int) -> dict[str, bytes]:
    """Return all parts of a configuration with the given number of targets."""
    names = [f"service-{n}" for n in range(targets // TARGETS_PER_SERVICE)]
    base = {
        "instances_max": 1100,
        "services": {name: make_service_settings(name) for name in names},
    }
    all_parts = parts.split_base(base)
    for name in names:
        all_parts[parts.INDEX_PREFIX + name] = parts.encode(make_index(name))
    return all_parts


def change_bytes(all_parts: dict[str, bytes]) -> int:
    """Return the size in bytes of the frame that carries a change of one index."""
    name = parts.INDEX_PREFIX + "service-0"
    digest = hashlib.sha256(all_parts[name]).digest()
    update = frames.Update(
        version=2,
        writer="0" * 32,
        previous="0" * 64,
        base=1,
        changed={name: (digest,)},
        removed=(),
        digest=digest,
        contents=(all_parts[name],),
    )
    return len(frames.encode(update))


def measure(targets: int) -> dict[str, float]:
    """Return sizes, memory and times for a number of targets."""
    all_parts = make_parts(targets)
    hashes_by_part = {
        name: parts.chunk_hashes(content) for name, content in all_parts.items()
    }
    head = parts.Head(1, "0" * 32, "0" * 64, hashes_by_part)
    gc.collect()
    tracemalloc.start()
    builder = catalog.Builder("site")
    built = builder.build(1, all_parts).unwrap()
    entry_policy = adaptive.AdaptivePolicy("zone-0", random.Random(1))
    entry_policy.apply(0.0, built)
    catalog_bytes, _ = tracemalloc.get_traced_memory()
    channels = dispatcher.Dispatcher(task.Clock(), dialect.JsonDialect(), entry_policy)
    channels.apply(built)
    total_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    full_seconds = _apply_seconds(entry_policy, catalog.Builder("site"), all_parts)
    changed = all_parts | {
        parts.INDEX_PREFIX + "service-0": parts.encode(
            make_index("service-0") | {"snapshot": "s2"}
        )
    }
    change_seconds = _apply_seconds(entry_policy, builder, changed)
    return {
        "targets": targets,
        "parts": len(all_parts),
        "configuration_bytes": sum(len(each) for each in all_parts.values()),
        "largest_part_bytes": max(len(each) for each in all_parts.values()),
        "head_bytes": len(parts.encode(parts.head_document(head))),
        "change_bytes": change_bytes(all_parts),
        "catalog_memory_bytes": catalog_bytes,
        "channel_memory_bytes": total_bytes - catalog_bytes,
        "first_version_ms": round(full_seconds * 1000, 1),
        "changed_version_ms": round(change_seconds * 1000, 1),
    }


def _apply_seconds(
    entry_policy: adaptive.AdaptivePolicy,
    builder: catalog.Builder,
    all_parts: dict[str, bytes],
) -> float:
    started = time.process_time()
    entry_policy.apply(0.0, builder.build(2, all_parts).unwrap())
    return time.process_time() - started


def main() -> None:
    """Measure each number of targets and print one JSON line for it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(TARGET_COUNTS))
    for size in parser.parse_args().sizes:
        print(json.dumps(measure(size)), flush=True)


if __name__ == "__main__":
    main()
