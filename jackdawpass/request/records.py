"""Merges of raw replies: the greatest records of all shards, or one reply as it is."""

import collections.abc
import dataclasses
import heapq

from jackdawpass.request import merge

RECORD_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """A target's reply as it came.

    Attributes
    ----------
    signature : str
        The target's signature of the reply; empty when it has none.
    headers : tuple of (bytes, bytes)
        Names in lower case with their values.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: str


@dataclasses.dataclass(frozen=True, slots=True)
class TopRecords:
    """The greatest records of the covered shards, greatest first.

    Attributes
    ----------
    signatures : tuple of str
        One for each covered shard.
    records : bytes
        Records of 16 bytes, compared byte by byte; equal ones all count.
    """

    signatures: tuple[str, ...]
    records: bytes


class RecordMerge(merge.ShardReplies):
    """Merges bodies that are sequences of records."""

    def top(self, limit: int) -> TopRecords:
        """Return the greatest `limit` records; a shorter remainder is no record."""
        records = (
            record for reply in self._replies.values() for record in _records(reply)
        )
        greatest = heapq.nlargest(limit, records)
        signatures = tuple(reply.signature for reply in self._replies.values())
        return TopRecords(signatures, b"".join(greatest))


class RelayMerge(merge.ShardReplies):
    """Holds the reply of the only shard."""

    def top(self, limit: int) -> RawReply:
        """Return the reply; `limit` does not apply."""
        reply: RawReply = next(iter(self._replies.values()))
        return reply


def _records(reply: RawReply) -> collections.abc.Iterator[bytes]:
    body = reply.body
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]
