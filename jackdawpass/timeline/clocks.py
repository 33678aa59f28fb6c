"""Estimates the offsets between the clocks of processes from causes."""

import collections
import collections.abc
import dataclasses

from jackdawpass.process import events


@dataclasses.dataclass(slots=True)
class _Bounds:
    """Bounds of the offset of one clock less that of another, in seconds."""

    low: float = float("-inf")
    high: float = float("inf")

    @property
    def estimate(self) -> float:
        """The middle between two bounds, or the value nearest to 0 within one."""
        if self.low > float("-inf") and self.high < float("inf"):
            return (self.low + self.high) / 2
        return min(max(0.0, self.low), self.high)


def local_times(
    given: collections.abc.Iterable[events.Event],
) -> dict[events.Reference, float]:
    """Return the time of each event by its process's clock, in seconds.

    The wall-clock time of a process's first event anchors its monotonic times, so a
    step of the wall clock moves no event.
    """
    anchors: dict[str, float] = {}
    times = {}
    for event in sorted(given, key=lambda each: (each.process, each.seq)):
        anchor = anchors.setdefault(event.process, event.wall - event.monotonic)
        reference = events.Reference(event.process, event.seq)
        times[reference] = anchor + event.monotonic
    return times


def offsets(
    given: collections.abc.Sequence[events.Event],
    times: collections.abc.Mapping[events.Reference, float],
) -> dict[str, float]:
    """Return the seconds to add to the times of each process.

    A cause in another process must not be later than its effect, which bounds the
    difference of the two clocks from one side. Causes in both directions bound it
    from both sides, as in a request and its reply. The process with the most events
    has offset 0; so has every process without a cause that links it.
    """
    bounds = _all_bounds(given, times)
    neighbours = collections.defaultdict(list)
    for first, second in sorted(bounds):
        neighbours[first].append(second)
    counts = collections.Counter(event.process for event in given)
    found: dict[str, float] = {}
    for process, _ in sorted(counts.items(), key=lambda item: (-item[1], item[0])):
        if process not in found:
            found[process] = 0.0
            _spread(process, neighbours, bounds, found)
    return found


def _all_bounds(
    given: collections.abc.Sequence[events.Event],
    times: collections.abc.Mapping[events.Reference, float],
) -> dict[tuple[str, str], _Bounds]:
    bounds: dict[tuple[str, str], _Bounds] = collections.defaultdict(_Bounds)
    for event in given:
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


def _spread(
    start: str,
    neighbours: collections.abc.Mapping[str, list[str]],
    bounds: collections.abc.Mapping[tuple[str, str], _Bounds],
    found: dict[str, float],
) -> None:
    queue = collections.deque([start])
    while queue:
        process = queue.popleft()
        for neighbour in neighbours.get(process, ()):
            if neighbour not in found:
                difference = bounds[process, neighbour].estimate
                found[neighbour] = found[process] + difference
                queue.append(neighbour)
