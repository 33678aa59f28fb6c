"""Tests of the naive baseline policy."""

import random

from jackdawpass.bench import naive
from jackdawpass.version import catalog


def test_shard_gets_three_retries_at_most() -> None:
    """Guards against a baseline that retries without limit or not at all."""
    shard_map = catalog.ShardMap("s1", {0: ("a", "b")})
    router = naive.RandomRouter(shard_map, random.Random(1))
    shards = frozenset((0,))
    targets = [router.assign(0.0, shards, {})[0].target for _ in range(4)]
    assert set(targets) <= {"a", "b"}
    assert router.assign(0.0, shards, {}) == ()


def test_retry_prefers_an_untried_replica() -> None:
    """Guards against a baseline that retries at the replica that has just failed."""
    shard_map = catalog.ShardMap("s1", {0: ("a", "b")})
    for seed in range(8):
        router = naive.RandomRouter(shard_map, random.Random(seed))
        assigned = router.assign(0.0, frozenset((0,)), {0: {"a"}})
        assert assigned[0].target == "b"
