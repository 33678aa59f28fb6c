"""Bounded priority queue, ordered by priority and then by deadline."""

import collections.abc
import dataclasses
import heapq
import typing

T = typing.TypeVar("T")

_COMPACT_SLACK_ITEMS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePosition:
    """Position of an item in the queue.

    Attributes
    ----------
    priority : int
        Items with a higher priority leave first.
    deadline : float
        Monotonic seconds; within a priority, the earliest deadline leaves first.
    number : int
        Order of arrival, unique within the queue.
    """

    priority: int
    deadline: float
    number: int

    @property
    def rank(self) -> tuple[int, float, int]:
        """Sort key; the item with the smallest one leaves first."""
        return (-self.priority, self.deadline, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class PushResult(typing.Generic[T]):
    """Result of adding an item.

    Attributes
    ----------
    position : QueuePosition or None
        Position of the new item; None when it is refused.
    evicted : T or None
        The queued item that was evicted for it, if any.
    """

    position: QueuePosition | None
    evicted: T | None = None


class PriorityQueue(typing.Generic[T]):
    """Queue of one target; holds items until they start, expire or are removed."""

    def __init__(self) -> None:
        self._items: dict[int, tuple[QueuePosition, T]] = {}
        self._ranked: list[tuple[int, float, int]] = []
        self._deadlines: list[tuple[float, int]] = []
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._items)

    @property
    def earliest_deadline(self) -> float | None:
        """Earliest deadline of a queued item; None when the queue is empty."""
        while self._deadlines and self._deadlines[0][1] not in self._items:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def push(
        self, item: T, priority: int, deadline: float, capacity: int
    ) -> PushResult[T]:
        """Add an item; a full queue evicts its last item if that has less priority.

        Parameters
        ----------
        priority : int
            Items with a higher priority leave first.
        deadline : float
            Monotonic seconds.
        capacity : int
            Maximum number of items.
        """
        evicted = None
        if len(self._items) >= capacity:
            last = max((p for p, _ in self._items.values()), key=_rank, default=None)
            if last is None or last.priority >= priority:
                return PushResult(None)
            evicted = self.remove(last)
        position = QueuePosition(priority, deadline, self._next_number)
        self._next_number += 1
        self._items[position.number] = (position, item)
        heapq.heappush(self._ranked, position.rank)
        heapq.heappush(self._deadlines, (deadline, position.number))
        return PushResult(position, evicted)

    def pop(self) -> T | None:
        """Remove and return the first item; None when the queue is empty."""
        while self._ranked:
            number = heapq.heappop(self._ranked)[2]
            if number in self._items:
                return self._items.pop(number)[1]
        return None

    def remove(self, position: QueuePosition) -> T | None:
        """Remove and return an item; None when it has left already."""
        entry = self._items.pop(position.number, None)
        self._compact()
        return None if entry is None else entry[1]

    def pop_expired(self, before: float) -> collections.abc.Iterator[T]:
        """Remove and yield the items whose deadline is at or before a time."""
        while (earliest := self.earliest_deadline) is not None and earliest <= before:
            number = heapq.heappop(self._deadlines)[1]
            yield self._items.pop(number)[1]

    def _compact(self) -> None:
        # Removed items stay in the heaps until the heaps are rebuilt here. Otherwise a
        # queue whose items are all cancelled would grow without bound.
        if len(self._ranked) > 2 * len(self._items) + _COMPACT_SLACK_ITEMS:
            positions = [position for position, _ in self._items.values()]
            self._ranked = [position.rank for position in positions]
            self._deadlines = [
                (position.deadline, position.number) for position in positions
            ]
            heapq.heapify(self._ranked)
            heapq.heapify(self._deadlines)


def _rank(position: QueuePosition) -> tuple[int, float, int]:
    return position.rank
