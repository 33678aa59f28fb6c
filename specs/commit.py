"""Specification of commits through the head object by racing operators.

Each operator makes one change under one writer id, for all of its tries. An update is
conditional on the head that was read. It may be delayed for any time, also beyond the
end of the command, and its reply may be lost; the operator settles doubt by looking for
its writer id in the history.
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

    `flying` holds the head versions on which its updates on their way are conditional,
    `tried` the version that its last update would make.
    """

    phase: str = IDLE
    tries: int = 0
    tried: int = 0
    in_doubt: bool = False
    told: str = ""
    flying: tuple[int, ...] = ()


class State(typing.NamedTuple):
    """The history of accepted versions, as writers in order, and the operators."""

    history: tuple[int, ...]
    operators: tuple[Operator, ...]


class Faults(typing.NamedTuple):
    """Seeded mutations of the protocol; each must break an invariant."""

    unconditional: bool = False
    ignore_doubt: bool = False
    repeat_blindly: bool = False
    trust_doubt: bool = False


NO_FAULTS = Faults()
Step = tuple[str, tuple[int, ...], Operator]


def transitions(state: State, faults: Faults = NO_FAULTS) -> list[tuple[str, State]]:
    """Return all next states with the labels of their actions."""
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
        doubtful = operator._replace(phase=IDLE, in_doubt=True)
        yield "lose_reply", history, doubtful


def _network_steps(
    history: tuple[int, ...], number: int, operator: Operator, faults: Faults
) -> typing.Iterator[Step]:
    for position, expected in enumerate(operator.flying):
        flying = operator.flying[:position] + operator.flying[position + 1 :]
        after = operator._replace(flying=flying)
        # A reply belongs to the try that waits, which is the last one sent.
        replies = operator.phase == WRITING and expected == operator.tried - 1
        yield "drop", history, after
        if expected == len(history) or faults.unconditional:
            applied = (*history, number)
            yield "apply", applied, after
            if replies:
                accepted = after._replace(phase=ENDED, told=ACCEPTED)
                yield "apply_and_reply", applied, accepted
        elif replies:
            yield "conflict", history, after._replace(phase=IDLE)


def _try_steps(
    history: tuple[int, ...], number: int, operator: Operator, faults: Faults
) -> typing.Iterator[Step]:
    yield "give_up", history, _end_without_success(operator, faults)
    version = len(history)
    in_doubt = operator.in_doubt
    if in_doubt and version >= operator.tried and not faults.repeat_blindly:
        if history[operator.tried - 1] == number:
            accepted = operator._replace(phase=ENDED, told=ACCEPTED)
            yield "settle", history, accepted
            return
        in_doubt = False
    if operator.tries < MAX_TRIES:
        flying = tuple(sorted((*operator.flying, version)))
        yield (
            "update",
            history,
            operator._replace(
                phase=WRITING,
                tries=operator.tries + 1,
                tried=version + 1,
                in_doubt=in_doubt,
                flying=flying,
            ),
        )


def _end_without_success(operator: Operator, faults: Faults) -> Operator:
    if operator.in_doubt and faults.trust_doubt:
        return operator._replace(phase=ENDED, told=ACCEPTED)
    doubtful = operator.in_doubt and not faults.ignore_doubt
    told = UNCERTAIN if doubtful else REFUSED
    return operator._replace(phase=ENDED, told=told)


def applied_once(values: dict[str, typing.Any]) -> bool:
    """Hold while no change stands twice in the history."""
    return len(set(values["history"])) == len(values["history"])


def accepted_is_truth(values: dict[str, typing.Any]) -> bool:
    """Hold while each change reported as accepted is in the history."""
    return all(
        number in values["history"]
        for number, operator in enumerate(values["operators"])
        if operator.told == ACCEPTED
    )


def refused_is_truth(values: dict[str, typing.Any]) -> bool:
    """Hold while no change reported as refused is in the history."""
    return not any(
        number in values["history"]
        for number, operator in enumerate(values["operators"])
        if operator.told == REFUSED
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
            "accepted_is_truth": accepted_is_truth,
            "refused_is_truth": refused_is_truth,
        },
    )
