"""Merges of raw replies: the greatest records of all shards, or one reply as it is."""

import collections.abc
import dataclasses
import heapq

from jackdawpass.request import model

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


class _RawMerge:
    """Replies of the shards covered so far."""

    def __init__(self, shards: frozenset[int]) -> None:
        self._total = len(shards)
        self._uncovered = set(shards)
        self._replies: dict[int, RawReply] = {}

    @property
    def uncovered(self) -> collections.abc.Set[int]:
        """Shards without a reply, as a view that changes with `add`."""
        return self._uncovered

    @property
    def ratio(self) -> float:
        """Covered share of the shards, from 0 to 1."""
        return len(self._replies) / self._total if self._total else 0.0

    def add(self, shard: int, results: RawReply) -> bool:
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
        return model.Coverage(self._total, len(self._replies), missing)


class RecordMerge(_RawMerge):
    """Merges bodies that are sequences of records."""

    def top(self, limit: int) -> TopRecords:
        """Return the greatest `limit` records; a shorter remainder is no record."""
        records = (
            record for reply in self._replies.values() for record in _records(reply)
        )
        greatest = heapq.nlargest(limit, records)
        signatures = tuple(reply.signature for reply in self._replies.values())
        return TopRecords(signatures, b"".join(greatest))


class RelayMerge(_RawMerge):
    """Holds the reply of the only shard."""

    def top(self, limit: int) -> RawReply:
        """Return the reply; `limit` does not apply."""
        return next(iter(self._replies.values()))


def _records(reply: RawReply) -> collections.abc.Iterator[bytes]:
    body = reply.body
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]
