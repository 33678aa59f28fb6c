"""Estimation of the clock offsets between processes from causally related events."""

import collections
import collections.abc
import dataclasses

from jackdawpass.process import events


@dataclasses.dataclass(slots=True)
class _Bounds:
    """Bounds on the difference of two clock offsets, in seconds."""

    low: float = float("-inf")
    high: float = float("inf")

    @property
    def estimate(self) -> float:
        """Midpoint of two finite bounds, otherwise the allowed value nearest to 0."""
        if self.low > float("-inf") and self.high < float("inf"):
            return (self.low + self.high) / 2
        return min(max(0.0, self.low), self.high)


def local_times(
    input_events: collections.abc.Iterable[events.Event],
) -> dict[events.Reference, float]:
    """Return the time of each event on its process's clock, in epoch seconds.

    The monotonic times of a process are anchored to the wall-clock time of its first
    event, so a later step of the wall clock does not affect the result.
    """
    anchors: dict[str, float] = {}
    times = {}
    for event in sorted(input_events, key=lambda each: (each.process, each.seq)):
        anchor = anchors.setdefault(event.process, event.wall - event.monotonic)
        reference = events.Reference(event.process, event.seq)
        times[reference] = anchor + event.monotonic
    return times


def estimate_offsets(
    input_events: collections.abc.Sequence[events.Event],
    times: collections.abc.Mapping[events.Reference, float],
) -> dict[str, float]:
    """Return the seconds to add to the times of each process.

    An event must not precede its cause in another process, which bounds the
    difference of the two clocks on one side. Causes in both directions, such as a
    request and its reply, bound it on both sides. The reference process with offset 0
    is the one with the most events, in each group of processes linked by causes.
    """
    bounds = _offset_bounds(input_events, times)
    neighbours = collections.defaultdict(list)
    for first, second in sorted(bounds):
        neighbours[first].append(second)
    counts = collections.Counter(event.process for event in input_events)
    offsets: dict[str, float] = {}
    for process, _ in sorted(counts.items(), key=lambda item: (-item[1], item[0])):
        if process not in offsets:
            offsets[process] = 0.0
            _propagate_offsets(process, neighbours, bounds, offsets)
    return offsets


def _offset_bounds(
    input_events: collections.abc.Sequence[events.Event],
    times: collections.abc.Mapping[events.Reference, float],
) -> dict[tuple[str, str], _Bounds]:
    bounds: dict[tuple[str, str], _Bounds] = collections.defaultdict(_Bounds)
    for event in input_events:
        cause = event.cause
        if cause is None or cause.process == event.process or cause not in times:
            continue
        effect = events.Reference(event.process, event.seq)
        low = times[cause] - times[effect]
        forward = bounds[cause.process, event.process]
        forward.low = max(forward.low, low)
        backward = bounds[event.process, cause.process]
        backward.high = min(backward.high, -low)
    return bounds


def _propagate_offsets(
    start: str,
    neighbours: collections.abc.Mapping[str, list[str]],
    bounds: collections.abc.Mapping[tuple[str, str], _Bounds],
    offsets: dict[str, float],
) -> None:
    queue = collections.deque([start])
    while queue:
        process = queue.popleft()
        for neighbour in neighbours.get(process, ()):
            if neighbour not in offsets:
                difference = bounds[process, neighbour].estimate
                offsets[neighbour] = offsets[process] + difference
                queue.append(neighbour)
