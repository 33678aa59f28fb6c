"""Checks a specification with the model checker and reports the result."""

import collections.abc
import dataclasses
import typing

import minicheck

MAX_STATES = 2_000_000

State = tuple[typing.Any, ...]
Transitions = collections.abc.Callable[[State], list[tuple[str, State]]]
Predicate = collections.abc.Callable[[dict[str, typing.Any]], bool]


@dataclasses.dataclass(frozen=True)
class Specification:
    """A finite state machine with invariants and, optionally, a liveness goal.

    Attributes
    ----------
    fields : tuple of str
        Names of the members of a state.
    goal : callable or None
        Property that must stay reachable from every reachable state.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    transitions: Transitions
    invariants: collections.abc.Mapping[str, Predicate]
    goal: Predicate | None = None


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of checking a specification.

    Attributes
    ----------
    states : int
        Number of distinct states explored.
    broken : mapping of str to list
        Shortest counterexample of each violated invariant.
    undetermined : tuple of str
        Invariants that hold in all explored states of an incomplete exploration.
    live : bool or None
        Whether the goal stays reachable; None without a goal or if an invariant is
        undetermined.
    """

    states: int
    violated: collections.abc.Mapping[str, list[typing.Any]]
    undetermined: tuple[str, ...]
    live: bool | None

    @property
    def proved(self) -> bool:
        """True if all states were explored and no invariant is violated."""
        return not self.violated and not self.undetermined


def check(specification: Specification, max_states: int = MAX_STATES) -> Report:
    """Explore at most `max_states` reachable states and check the properties."""
    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=specification.fields,
        initial=specification.initial,
        transitions=specification.transitions,
        invariants=dict(specification.invariants),
        goal=specification.goal,
    )
    checked = minicheck.check_safety(protocol, max_states=max_states)
    properties = checked["properties"]
    violated = {
        name: each["counterexample"]
        for name, each in properties.items()
        if each["holds"] is False
    }
    undetermined = tuple(
        name for name, each in properties.items() if each["holds"] is None
    )
    live = None
    if specification.goal is not None and not undetermined:
        live = minicheck.check_liveness(protocol)["holds"]
    return Report(checked["reachable_states"], violated, undetermined, live)
