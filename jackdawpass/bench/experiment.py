"""Definition of an experiment: sizes, load over time, events and windows."""

import collections.abc
import dataclasses
import typing

from jackdawpass.bench import cluster, generators, layout, measure, schedule

Notes = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Round:
    """A running round, on which events act.

    Attributes
    ----------
    policy : str
        Policy whose entry instances receive the load.
    notes : dict
        Observations of events; written to the result.
    """

    testbed: cluster.Cluster
    policy: str
    load: generators.Generators
    notes: Notes = dataclasses.field(default_factory=dict)


Action = collections.abc.Callable[[Round], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An action on the testbed, `at` seconds after the start of a round."""

    at: float
    act: Action


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment, with its times at scale 1.

    Attributes
    ----------
    phases : tuple of Phase
        Load over time; rates are multiples of the layout's rate.
    windows : tuple of Window
        Intervals to measure; the first one is the reference for recovery.
    recovers_after : float or None
        Seconds from the start of a round from which recovery is measured.
    """

    name: str
    title: str
    sizes: layout.Layout
    phases: tuple[schedule.Phase, ...]
    windows: tuple[measure.Window, ...]
    events: tuple[Event, ...] = ()
    recovers_after: float | None = None

    @property
    def seconds(self) -> float:
        """Duration of a round."""
        return sum(phase.seconds for phase in self.phases)

    def scaled(self, scale: float) -> "Experiment":
        """Return the experiment with all times multiplied by `scale`."""
        return dataclasses.replace(
            self,
            phases=tuple(
                schedule.Phase(phase.seconds * scale, phase.rate)
                for phase in self.phases
            ),
            windows=tuple(
                measure.Window(each.name, each.begin * scale, each.end * scale)
                for each in self.windows
            ),
            events=tuple(Event(each.at * scale, each.act) for each in self.events),
            recovers_after=(
                None if self.recovers_after is None else self.recovers_after * scale
            ),
        )


def make_steady_load(seconds: float) -> tuple[schedule.Phase, ...]:
    """Return one phase at the rate of the layout."""
    return (schedule.Phase(seconds, 1.0),)


def make_windows(
    *names_and_bounds: tuple[str, float, float],
) -> tuple[measure.Window, ...]:
    """Return windows from tuples of name, begin and end."""
    return tuple(measure.Window(*each) for each in names_and_bounds)
