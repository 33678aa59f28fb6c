"""Merges of the replies of shards into one answer without duplicate results."""

import collections.abc
import typing

from jackdawpass.request import model


class ShardReplies:
    """Replies of the shards covered so far, all from one snapshot."""

    def __init__(self, shards: frozenset[int]) -> None:
        self._shards = shards
        self._uncovered = set(shards)
        self._replies: dict[int, typing.Any] = {}

    @property
    def uncovered(self) -> collections.abc.Set[int]:
        """Shards without a reply, as a live view."""
        return self._uncovered

    @property
    def ratio(self) -> float:
        """Covered share of the shards, from 0 to 1."""
        return len(self._replies) / len(self._shards) if self._shards else 0.0

    def add(self, shard: int, results: typing.Any) -> bool:
        """Add the reply of a shard; return False when the shard is already covered."""
        if shard not in self._uncovered:
            return False
        self._uncovered.remove(shard)
        self._replies[shard] = results
        return True

    def coverage(
        self, reasons: collections.abc.Mapping[int, model.MissingReason]
    ) -> model.Coverage:
        """Return the coverage; `reasons` holds the reason of each missing shard."""
        missing = tuple(
            model.MissingShard(
                shard, reasons.get(shard, model.MissingReason.NOT_STARTED)
            )
            for shard in sorted(self._uncovered)
        )
        return model.Coverage(len(self._shards), len(self._replies), missing)


class ScoredMerge(ShardReplies):
    """Merge of results that have an id and a score."""

    def top(self, limit: int) -> tuple[model.ResultItem, ...]:
        """Return the best `limit` results, by descending score, then by id."""
        unique: dict[str, model.ResultItem] = {}
        for shard in sorted(self._replies):
            for item in self._replies[shard]:
                unique.setdefault(item.item_id, item)
        ordered = sorted(unique.values(), key=lambda item: (-item.score, item.item_id))
        return tuple(ordered[:limit])
