"""Specification of concurrent commits through the head object.

Each operator commits one change and uses one writer id for all tries. An update is
conditional on the head that was read. It may be delayed for any time, even beyond the
end of the command, and its reply may be lost. The operator resolves an uncertain update
by looking for its writer id in the history.
"""

import typing

from specs import checker

MAX_TRIES = 2

IDLE = "idle"
WRITING = "writing"
ENDED = "ended"

ACCEPTED = "accepted"
REFUSED = "refused"
UNCERTAIN = "uncertain"


class Operator(typing.NamedTuple):
    """One operator with one change.

    `in_flight` holds the head versions that its updates in flight require, and
    `last_tried` the version that its last update would create.
    """

    phase: str = IDLE
    tries: int = 0
    last_tried: int = 0
    uncertain: bool = False
    reported: str = ""
    in_flight: tuple[int, ...] = ()


class State(typing.NamedTuple):
    """The writers of the accepted versions, in order, and the operators."""

    history: tuple[int, ...]
    operators: tuple[Operator, ...]


class Faults(typing.NamedTuple):
    """Deliberate protocol faults; each must violate an invariant."""

    unconditional: bool = False
    ignore_uncertainty: bool = False
    retry_without_lookup: bool = False
    assume_accepted: bool = False


NO_FAULTS = Faults()
Step = tuple[str, tuple[int, ...], Operator]


def transitions(state: State, faults: Faults = NO_FAULTS) -> list[tuple[str, State]]:
    """Return all successor states with the labels of their actions."""
    found = []
    for number, operator in enumerate(state.operators):
        for label, history, after in _steps(state.history, number, operator, faults):
            operators = list(state.operators)
            operators[number] = after
            found.append((f"{label} {number}", State(history, tuple(operators))))
    return found


def _steps(
    history: tuple[int, ...], number: int, operator: Operator, faults: Faults
) -> typing.Iterator[Step]:
    yield from _network_steps(history, number, operator, faults)
    if operator.phase == IDLE:
        yield from _try_steps(history, number, operator, faults)
    elif operator.phase == WRITING:
        unresolved = operator._replace(phase=IDLE, uncertain=True)
        yield "lose_reply", history, unresolved


def _network_steps(
    history: tuple[int, ...], number: int, operator: Operator, faults: Faults
) -> typing.Iterator[Step]:
    for position, expected in enumerate(operator.in_flight):
        in_flight = operator.in_flight[:position] + operator.in_flight[position + 1 :]
        after = operator._replace(in_flight=in_flight)
        # Only the last update that was sent can still receive a reply.
        replies = operator.phase == WRITING and expected == operator.last_tried - 1
        yield "drop", history, after
        if expected == len(history) or faults.unconditional:
            applied = (*history, number)
            yield "apply", applied, after
            if replies:
                accepted = after._replace(phase=ENDED, reported=ACCEPTED)
                yield "apply_and_reply", applied, accepted
        elif replies:
            yield "conflict", history, after._replace(phase=IDLE)


def _try_steps(
    history: tuple[int, ...], number: int, operator: Operator, faults: Faults
) -> typing.Iterator[Step]:
    yield "give_up", history, _end_without_success(operator, faults)
    version = len(history)
    uncertain = operator.uncertain
    if uncertain and version >= operator.last_tried and not faults.retry_without_lookup:
        if history[operator.last_tried - 1] == number:
            accepted = operator._replace(phase=ENDED, reported=ACCEPTED)
            yield "resolve", history, accepted
            return
        uncertain = False
    if operator.tries < MAX_TRIES:
        in_flight = tuple(sorted((*operator.in_flight, version)))
        yield (
            "update",
            history,
            operator._replace(
                phase=WRITING,
                tries=operator.tries + 1,
                last_tried=version + 1,
                uncertain=uncertain,
                in_flight=in_flight,
            ),
        )


def _end_without_success(operator: Operator, faults: Faults) -> Operator:
    if operator.uncertain and faults.assume_accepted:
        return operator._replace(phase=ENDED, reported=ACCEPTED)
    unresolved = operator.uncertain and not faults.ignore_uncertainty
    reported = UNCERTAIN if unresolved else REFUSED
    return operator._replace(phase=ENDED, reported=reported)


def applied_once(values: dict[str, typing.Any]) -> bool:
    """Return whether no change is in the history twice."""
    return len(set(values["history"])) == len(values["history"])


def accepted_is_committed(values: dict[str, typing.Any]) -> bool:
    """Return whether each change reported as accepted is in the history."""
    return all(
        number in values["history"]
        for number, operator in enumerate(values["operators"])
        if operator.reported == ACCEPTED
    )


def refused_is_not_committed(values: dict[str, typing.Any]) -> bool:
    """Return whether no change reported as refused is in the history."""
    return not any(
        number in values["history"]
        for number, operator in enumerate(values["operators"])
        if operator.reported == REFUSED
    )


def specification(
    operators: int = 2, faults: Faults = NO_FAULTS
) -> checker.Specification:
    """Return the specification for a number of operators with one change each."""

    def step(state: checker.State) -> list[tuple[str, checker.State]]:
        return list(transitions(State(*state), faults))

    return checker.Specification(
        name="commit",
        fields=("history", "operators"),
        initial=State((), (Operator(),) * operators),
        transitions=step,
        invariants={
            "applied_once": applied_once,
            "accepted_is_committed": accepted_is_committed,
            "refused_is_not_committed": refused_is_not_committed,
        },
    )
