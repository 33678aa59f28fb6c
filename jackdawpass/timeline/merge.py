"""Merge of the events of several processes into one causally consistent order."""

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
    timestamp : float
        Corrected time in seconds since the epoch, never earlier than the timestamp of
        the cause.
    """

    event: events.Event
    timestamp: float


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Events in merged order.

    Attributes
    ----------
    offsets : mapping of str to float
        Seconds added to the clock of each process.
    in_cycles : int
        Number of times that a cycle of causes had to be broken. If it is not 0, the
        input is corrupt, and events in cycles are ordered by time only.
    """

    entries: tuple[Entry, ...]
    offsets: collections.abc.Mapping[str, float]
    in_cycles: int = 0


def merge(input_events: collections.abc.Iterable[events.Event]) -> Timeline:
    """Merge events and drop duplicates, such as from a log and a live instance.

    Events of one process stay in the order of their sequence numbers. An event comes
    after its cause, regardless of the clocks; a cause that is not among the events is
    ignored. All other events are ordered by corrected time.
    """
    by_reference = {
        events.Reference(each.process, each.seq): each for each in input_events
    }
    unique = list(by_reference.values())
    times = clocks.local_times(unique)
    offsets = clocks.estimate_offsets(unique, times)
    corrected = {ref: time + offsets[ref.process] for ref, time in times.items()}
    sorter = _CausalSorter(by_reference, corrected)
    entries = sorter.sort()
    return Timeline(entries, offsets, sorter.in_cycles)


class _CausalSorter:
    """Topological sorter, which takes the earliest event without pending causes."""

    def __init__(
        self,
        by_reference: dict[events.Reference, events.Event],
        corrected: dict[events.Reference, float],
    ) -> None:
        self._events = by_reference
        self._timestamps = dict(corrected)
        self._effects = collections.defaultdict(list)
        self._pending_causes: dict[events.Reference, int] = {}
        self.in_cycles = 0
        previous: events.Reference | None = None
        for reference in sorted(by_reference, key=lambda ref: (ref.process, ref.seq)):
            causes = {by_reference[reference].cause}
            if previous is not None and previous.process == reference.process:
                causes.add(previous)
            known_causes = [each for each in causes if each in by_reference]
            self._pending_causes[reference] = len(known_causes)
            for cause in known_causes:
                assert cause is not None
                self._effects[cause].append(reference)
            previous = reference

    def sort(self) -> tuple[Entry, ...]:
        """Return an entry for each event, in causal order."""
        ready = [
            self._key(ref)
            for ref, pending in self._pending_causes.items()
            if not pending
        ]
        heapq.heapify(ready)
        entries = []
        while self._pending_causes:
            if not ready:
                ready.append(self._break_cycle())
            _, process, seq = heapq.heappop(ready)
            reference = events.Reference(process, seq)
            del self._pending_causes[reference]
            timestamp = self._timestamps[reference]
            entries.append(Entry(self._events[reference], timestamp))
            for effect in self._effects[reference]:
                self._resolve_cause(effect, timestamp, ready)
        return tuple(entries)

    def _key(self, reference: events.Reference) -> _Key:
        return (self._timestamps[reference], reference.process, reference.seq)

    def _resolve_cause(
        self, effect: events.Reference, timestamp: float, ready: list[_Key]
    ) -> None:
        if effect not in self._pending_causes:
            return
        self._timestamps[effect] = max(self._timestamps[effect], timestamp)
        self._pending_causes[effect] -= 1
        if not self._pending_causes[effect]:
            heapq.heappush(ready, self._key(effect))

    def _break_cycle(self) -> _Key:
        self.in_cycles += 1
        return min(self._key(reference) for reference in self._pending_causes)
