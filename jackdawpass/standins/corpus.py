"""Deterministic index content of the target stand-ins."""

import typing

import xxhash

ITEMS_PER_SHARD = 5


def shard_results(
    service: str, snapshot: str, shard: int, query: object
) -> list[dict[str, typing.Any]]:
    """Return the results of one shard, which are the same on each of its replicas.

    The value of each result contains its snapshot, shard and query, so that a test can
    detect results that do not belong to an answer.
    """
    return [
        {
            "id": f"{service}-{shard}-{item}",
            "score": _score(service, snapshot, shard, item),
            "value": {"snapshot": snapshot, "shard": shard, "query": query},
        }
        for item in range(ITEMS_PER_SHARD)
    ]


def _score(service: str, snapshot: str, shard: int, item: int) -> float:
    text = f"{service}/{snapshot}/{shard}/{item}"
    return xxhash.xxh3_64_intdigest(text.encode()) % 10_000 / 10_000
