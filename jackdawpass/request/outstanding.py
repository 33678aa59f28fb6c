"""Attempts of one fan-out that have neither ended nor been cancelled."""

import collections.abc
import heapq

from jackdawpass.request import model


class Outstanding:
    """Outstanding attempts, by id and by shard, with their hedge times.

    Each operation takes time in proportion to the shards of one attempt, not of the
    whole query: a query to 190 targets would otherwise spend most of its processor
    time here.
    """

    def __init__(self) -> None:
        self._attempts: dict[int, model.Attempt] = {}
        self._ids_by_shard: dict[int, set[int]] = {}
        self._hedge_times: dict[int, float] = {}
        # Heap; entries of attempts that have ended are skipped when they are popped.
        self._hedges: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._attempts)

    def __contains__(self, attempt_id: int) -> bool:
        return attempt_id in self._attempts

    @property
    def attempts(self) -> collections.abc.Collection[model.Attempt]:
        """All outstanding attempts."""
        return self._attempts.values()

    def get(self, attempt_id: int) -> model.Attempt | None:
        """Return an attempt; None when it is not outstanding."""
        return self._attempts.get(attempt_id)

    def may_cover(self, shard: int) -> bool:
        """Return whether an outstanding attempt may still cover a shard."""
        return bool(self._ids_by_shard.get(shard))

    def add(self, attempt: model.Attempt) -> None:
        """Add a new attempt."""
        self._attempts[attempt.attempt_id] = attempt
        for shard in attempt.shards:
            self._ids_by_shard.setdefault(shard, set()).add(attempt.attempt_id)

    def pop(self, attempt_id: int) -> model.Attempt:
        """Remove and return an attempt that is outstanding."""
        attempt = self._attempts.pop(attempt_id)
        self._hedge_times.pop(attempt_id, None)
        for shard in attempt.shards:
            self._ids_by_shard[shard].discard(attempt_id)
        return attempt

    def clear(self) -> tuple[int, ...]:
        """Remove all attempts and return their ids."""
        removed = tuple(self._attempts)
        self._attempts.clear()
        self._ids_by_shard.clear()
        self._hedge_times.clear()
        self._hedges.clear()
        return removed

    def pop_superseded(
        self,
        covered: collections.abc.Iterable[int],
        uncovered: collections.abc.Set[int],
    ) -> tuple[int, ...]:
        """Remove attempts for `covered` shards that have no uncovered shard left."""
        affected = {
            each for shard in covered for each in self._ids_by_shard.get(shard, ())
        }
        superseded = tuple(
            attempt_id
            for attempt_id in sorted(affected)
            if self._attempts[attempt_id].shards.isdisjoint(uncovered)
        )
        for attempt_id in superseded:
            self.pop(attempt_id)
        return superseded

    def schedule_hedge(self, attempt_id: int, at: float) -> None:
        """Schedule one hedge of an attempt at a monotonic time."""
        self._hedge_times[attempt_id] = at
        heapq.heappush(self._hedges, (at, attempt_id))

    def cancel_hedge(self, attempt_id: int) -> None:
        """Cancel the scheduled hedge of an attempt."""
        self._hedge_times.pop(attempt_id, None)

    def next_hedge(self) -> float | None:
        """Return the time of the next hedge, or None if none is scheduled."""
        while self._hedges:
            at, attempt_id = self._hedges[0]
            if self._hedge_times.get(attempt_id) == at:
                return at
            heapq.heappop(self._hedges)
        return None

    def pop_due_hedges(self, now: float) -> list[model.Attempt]:
        """Return the attempts whose hedge is due; each is returned once."""
        due = []
        while (at := self.next_hedge()) is not None and at <= now:
            _, attempt_id = heapq.heappop(self._hedges)
            del self._hedge_times[attempt_id]
            due.append(self._attempts[attempt_id])
        return due
