"""Runs a specification through the model checker and reports what was explored."""

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
    """A finite state machine with invariants and a goal that stays reachable.

    Attributes
    ----------
    fields : tuple of str
        Names of the members of a state.
    goal : callable or None
        Every reachable state must be able to reach a state with this property.
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
        Shortest counterexample of each broken invariant.
    undetermined : tuple of str
        Invariants that hold in the states explored, while not all were.
    live : bool or None
        Whether the goal stays reachable; None without a goal or if undetermined.
    """

    states: int
    broken: collections.abc.Mapping[str, list[typing.Any]]
    undetermined: tuple[str, ...]
    live: bool | None

    @property
    def proved(self) -> bool:
        """True when all states were explored and no invariant is broken."""
        return not self.broken and not self.undetermined


def check(specification: Specification, max_states: int = MAX_STATES) -> Report:
    """Explore the reachable states, at most `max_states` of them."""
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
    broken = {
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
    return Report(checked["reachable_states"], broken, undetermined, live)
