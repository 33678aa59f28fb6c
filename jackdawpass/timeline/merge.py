"""Merges events of many processes into one order that respects causes."""

import collections
import collections.abc
import dataclasses
import heapq

from jackdawpass.process import events
from jackdawpass.timeline import clocks

_Key = tuple[float, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One event in the merged order.

    Attributes
    ----------
    at : float
        Corrected time in seconds since the epoch; never before that of the cause.
    """

    event: events.Event
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Events in merged order.

    Attributes
    ----------
    offsets : mapping of str to float
        Seconds added to the clock of each process.
    in_cycles : int
        Events whose causes form a cycle; above 0 the input is corrupt, and these
        events are in order of time only.
    """

    entries: tuple[Entry, ...]
    offsets: collections.abc.Mapping[str, float]
    in_cycles: int = 0


def merge(given: collections.abc.Iterable[events.Event]) -> Timeline:
    """Merge events; duplicates, such as from a log and a live instance, count once.

    Events of one process keep the order of their sequence numbers. An event follows
    its cause, whatever the clocks say; a cause that is not among the events is
    ignored. Otherwise the corrected time decides.
    """
    by_reference = {events.Reference(each.process, each.seq): each for each in given}
    unique = list(by_reference.values())
    times = clocks.local_times(unique)
    offsets = clocks.offsets(unique, times)
    corrected = {ref: time + offsets[ref.process] for ref, time in times.items()}
    order = _Order(by_reference, corrected)
    entries = order.sort()
    return Timeline(entries, offsets, order.in_cycles)


class _Order:
    """Topological order in which the earliest possible event comes next."""

    def __init__(
        self,
        by_reference: dict[events.Reference, events.Event],
        corrected: dict[events.Reference, float],
    ) -> None:
        self._events = by_reference
        self._at = dict(corrected)
        self._followers = collections.defaultdict(list)
        self._waiting: dict[events.Reference, int] = {}
        self.in_cycles = 0
        previous: events.Reference | None = None
        for reference in sorted(by_reference, key=lambda ref: (ref.process, ref.seq)):
            causes = {by_reference[reference].cause, previous}
            if previous is not None and previous.process != reference.process:
                causes.discard(previous)
            known = [each for each in causes if each in by_reference]
            self._waiting[reference] = len(known)
            for cause in known:
                assert cause is not None
                self._followers[cause].append(reference)
            previous = reference

    def sort(self) -> tuple[Entry, ...]:
        """Return all events in order."""
        ready = [self._key(ref) for ref, count in self._waiting.items() if not count]
        heapq.heapify(ready)
        entries = []
        while self._waiting:
            if not ready:
                ready.append(self._break_cycle())
            _, process, seq = heapq.heappop(ready)
            reference = events.Reference(process, seq)
            del self._waiting[reference]
            at = self._at[reference]
            entries.append(Entry(self._events[reference], at))
            for follower in self._followers[reference]:
                self._release(follower, at, ready)
        return tuple(entries)

    def _key(self, reference: events.Reference) -> _Key:
        return (self._at[reference], reference.process, reference.seq)

    def _release(
        self, follower: events.Reference, at: float, ready: list[_Key]
    ) -> None:
        if follower not in self._waiting:
            return
        self._at[follower] = max(self._at[follower], at)
        self._waiting[follower] -= 1
        if not self._waiting[follower]:
            heapq.heappush(ready, self._key(follower))

    def _break_cycle(self) -> _Key:
        self.in_cycles += 1
        return min(self._key(reference) for reference in self._waiting)
