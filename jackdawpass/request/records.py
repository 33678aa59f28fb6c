"""Merges of raw replies: the greatest records of all shards, or one whole reply."""

import collections.abc
import dataclasses
import heapq

from jackdawpass.request import merge

RECORD_BYTES = 16
# A body with more records than this multiple of the limit is reduced when it is added.
# Sorting the records of usual bodies twice would cost more than the memory is worth.
MAX_KEPT_RATIO = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """A target's undecoded reply.

    Attributes
    ----------
    signature : str
        The target's signature of the reply; empty when it has none.
    headers : tuple of (bytes, bytes)
        Lower-case names with their values.
    is_merged : bool
        True when the body holds the greatest records of several shards, which another
        instance has merged.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: str
    is_merged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TopRecords:
    """The greatest records of the covered shards, greatest first.

    Attributes
    ----------
    shards : tuple of int
        The covered shards.
    signatures : tuple of str
        One for each of `shards`.
    records : bytes
        Records of 16 bytes, compared bytewise; duplicates are kept.
    """

    shards: tuple[int, ...]
    signatures: tuple[str, ...]
    records: bytes


def split_merged(
    signatures: collections.abc.Mapping[int, str], body: bytes
) -> dict[int, RawReply]:
    """Return one reply per shard for records that arrived merged in one body.

    The first reply has the whole body and the others have none.
    """
    replies = {}
    for shard, signature in signatures.items():
        replies[shard] = RawReply(200, (), body, signature, is_merged=True)
        body = b""
    return replies


class RecordMerge(merge.ShardReplies):
    """Merge of bodies that are sequences of records.

    Parameters
    ----------
    shards : frozenset of int
        Shards of the request.
    limit : int or None
        Number of records that the answer needs at most. Much larger bodies are reduced
        as they are added, so that the memory of a request does not depend on targets.
    """

    def __init__(self, shards: frozenset[int], limit: int | None = None) -> None:
        super().__init__(shards)
        self._limit = limit

    def add(self, shard: int, results: RawReply) -> bool:
        """Add the reply of a shard; a merged reply replaces an earlier one.

        The records of a merged reply cannot be attributed to single shards, so the
        merged reply is used for all of its shards.
        """
        results = self._reduced(results)
        if not results.is_merged:
            return super().add(shard, results)
        was_uncovered = shard in self._uncovered
        self._uncovered.discard(shard)
        self._replies[shard] = results
        return was_uncovered

    def top(self, limit: int) -> TopRecords:
        """Return the greatest `limit` records; a shorter remainder is ignored."""
        records = (
            record for reply in self._replies.values() for record in _records(reply)
        )
        greatest = heapq.nlargest(limit, records)
        signatures = tuple(reply.signature for reply in self._replies.values())
        return TopRecords(tuple(self._replies), signatures, b"".join(greatest))

    def _reduced(self, reply: RawReply) -> RawReply:
        if self._limit is None:
            return reply
        if len(reply.body) <= MAX_KEPT_RATIO * self._limit * RECORD_BYTES:
            return reply
        greatest = b"".join(heapq.nlargest(self._limit, _records(reply)))
        return dataclasses.replace(reply, headers=(), body=greatest)


class SingleReplyMerge(merge.ShardReplies):
    """Merge that holds the reply of a single shard."""

    def top(self, limit: int) -> RawReply:
        """Return the reply; `limit` does not apply."""
        reply: RawReply = next(iter(self._replies.values()))
        return reply


def _records(reply: RawReply) -> collections.abc.Iterator[bytes]:
    body = reply.body
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]
