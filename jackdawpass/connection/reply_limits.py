"""Limits on the bytes that a peer may send in reply to one request."""

import dataclasses
import typing

# Chunks of one byte have five bytes of framing each.
MAX_FRAMING_RATIO = 5


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLimits:
    """Limits on one exchange; a reply that exceeds them ends the exchange.

    Attributes
    ----------
    max_head_bytes : int
        Size of the status line and headers, and of the framing of a short body. Each
        header also counts the memory of the objects that hold it.
    max_body_bytes : int
        Size of the decoded body.
    max_skipped_replies : int
        Number of interim replies and of replies to other requests that are skipped
        before the reply.
    """

    max_head_bytes: int = 64 * 1024
    max_body_bytes: int = 16 * 1024 * 1024
    max_skipped_replies: int = 16


def allows_framing(framing_bytes: int, body_bytes: int, max_head_bytes: int) -> bool:
    """Return whether a body may have so many bytes of chunk framing and trailers."""
    return framing_bytes <= max_head_bytes + MAX_FRAMING_RATIO * body_bytes


class Holder(typing.Protocol):
    """Connection that holds a part of a reply."""

    def on_reply_memory_exceeded(self) -> None:
        """End the exchange and release its bytes."""


class ReplyMemory:
    """Memory for the unfinished replies on all connections of a process.

    A reply may be much smaller than its own limit, but a process has many replies
    outstanding at once. The largest one ends first when they need too much together.

    Parameters
    ----------
    limit : int
        Number of bytes that all replies together may hold.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: dict[Holder, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Number of bytes held."""
        return self._total

    def add(self, holder: Holder, count: int) -> None:
        """Count bytes of a holder; evict the largest holders beyond the limit."""
        self._held[holder] = self._held.get(holder, 0) + count
        self._total += count
        while self._total > self._limit:
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            largest.on_reply_memory_exceeded()

    def release(self, holder: Holder) -> None:
        """Forget the bytes of a holder."""
        self._total -= self._held.pop(holder, 0)
