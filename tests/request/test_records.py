"""Merges of raw replies compared with a simple reference."""

import hypothesis
import pytest
from hypothesis import strategies

from jackdawpass.request import records

BODIES = strategies.lists(strategies.binary(max_size=100), min_size=1, max_size=6)


def reply(body: bytes, signature: str = "s") -> records.RawReply:
    return records.RawReply(200, (), body, signature)


def expected_top(bodies: list[bytes], limit: int) -> bytes:
    found = []
    for body in bodies:
        while len(body) >= records.RECORD_BYTES:
            found.append(body[: records.RECORD_BYTES])
            body = body[records.RECORD_BYTES :]
    return b"".join(sorted(found, reverse=True)[:limit])


@hypothesis.given(BODIES, strategies.integers(1, 8))
def test_top_equals_naive_sort(bodies: list[bytes], limit: int) -> None:
    """Guards against lost, duplicated or misordered records; equal ones are kept."""
    merged = records.RecordMerge(frozenset(range(len(bodies))))
    for shard, body in enumerate(bodies):
        assert merged.add(shard, reply(body, str(shard)))
    top = merged.top(limit)
    assert top.records == expected_top(bodies, limit)
    assert top.signatures == tuple(str(shard) for shard in range(len(bodies)))


def test_second_reply_of_a_shard_is_ignored() -> None:
    """Guards against a hedge that duplicates records or lists a shard twice."""
    merged = records.RecordMerge(frozenset((0, 1)))
    assert merged.add(0, reply(b"a" * 16, "first"))
    assert not merged.add(0, reply(b"b" * 16, "second"))
    assert merged.top(5) == records.TopRecords((0,), ("first",), b"a" * 16)
    assert merged.uncovered == {1}
    assert merged.ratio == 0.5
    assert [each.shard for each in merged.coverage({}).missing] == [1]


def test_relayed_reply_is_the_only_one() -> None:
    """Guards against a changed reply of a single target."""
    merged = records.SingleReplyMerge(frozenset((0,)))
    original = reply(b"body")
    merged.add(0, original)
    assert merged.top(0) is original


@hypothesis.given(
    BODIES,
    strategies.integers(1, 8),
    strategies.sets(strategies.integers(0, 5)),
    strategies.permutations(range(7)),
)
def test_merged_part_changes_nothing(
    bodies: list[bytes], limit: int, part: set[int], order: list[int]
) -> None:
    """Guards against duplicate records from a merged part and a direct reply."""
    shards = frozenset(range(len(bodies)))
    subquery = records.RecordMerge(frozenset(part & shards))
    for shard in sorted(part & shards):
        subquery.add(shard, reply(bodies[shard], str(shard)))
    top = subquery.top(limit)
    signatures = dict(zip(top.shards, top.signatures, strict=True))
    merged = records.RecordMerge(shards)
    for step in order:
        if step == 6:
            for shard, raw in records.split_merged(signatures, top.records).items():
                merged.add(shard, raw)
        elif step in shards:
            merged.add(step, reply(bodies[step], str(step)))
    assert merged.top(limit).records == expected_top(bodies, limit)
    assert sorted(merged.top(limit).signatures) == sorted(map(str, shards))
    assert not merged.uncovered


@pytest.mark.parametrize("order", [("direct", "merged"), ("merged", "direct")])
def test_direct_and_merged_reply_of_a_shard_count_once(order: tuple[str, str]) -> None:
    """Guards against counting records that arrive in two replies."""
    bodies = {0: b"a" * 16, 1: b"b" * 16}
    merged = records.RecordMerge(frozenset(bodies))
    for step in order:
        if step == "direct":
            merged.add(1, reply(bodies[1], "1"))
            continue
        for shard, raw in records.split_merged({0: "0", 1: "1"}, b"ba" * 16).items():
            merged.add(shard, raw)
    assert merged.top(5).records == b"ba" * 16
    assert sorted(merged.top(5).signatures) == ["0", "1"]
