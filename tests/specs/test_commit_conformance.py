"""Runs the commit code through arbitrary behaviours of its specification."""

import dataclasses
import typing

import hypothesis
import pytest
from hypothesis import strategies as st
from returns import result

from jackdawpass import errors
from jackdawpass.process import commits, retry
from jackdawpass.version import parts
from specs import commit as spec
from tests.process import fake_platform
from tests.specs import delayed_platform

# Weight of steps other than giving up; without it, most behaviours end before a write
# is rejected.
OTHER_STEPS_WEIGHT = 8
MAX_STEPS = 40

# The specification limits the updates and may end at any time; the code must not end
# before it.
MAX_TRIES = 1000
LONG_AFTER_SECONDS = 2 * retry.MAX_SECONDS


class RealOperator:
    """One operator that runs the code under test and changes its own part."""

    def __init__(self, number: int, objects: fake_platform.Store) -> None:
        self.platform = delayed_platform.DelayedPlatform(
            objects, str(number), parts.HEAD_KEY
        )
        self.outcomes: list[commits.CommitResult] = []
        self._now = 0.0
        retry_policy = dataclasses.replace(
            fake_platform.no_wait(MAX_TRIES), now=lambda: self._now
        )
        overlay = parts.encode({"instances_max": 10 + number})
        changes = {f"{parts.OVERLAY_PREFIX}site-{number}": overlay}
        committing = commits.commit(self.platform, changes, None, retry_policy)
        committing.addCallback(self.outcomes.append)

    def perform(self, label: str, removed: int | None) -> None:
        """Take a step; `removed` is the head version that its write requires."""
        match label:
            case "update" | "resolve":
                self.platform.answer_read()
            case "give_up":
                self._now = LONG_AFTER_SECONDS
                self.platform.answer_read(ok=False)
            case "lose_reply":
                self.platform.lose_reply()
            case _:
                assert removed is not None
                self._complete_write(label, removed)

    @property
    def in_flight(self) -> tuple[int, ...]:
        """Head versions that the writes in flight require."""
        return tuple(sorted(_condition(each) for each in self.platform.in_flight))

    @property
    def reported(self) -> str:
        """Result reported to the operator, as the specification names it."""
        if not self.outcomes:
            return ""
        (outcome,) = self.outcomes
        if isinstance(outcome, result.Success):
            return spec.ACCEPTED
        if isinstance(outcome.failure(), errors.CommitUncertain):
            return spec.UNCERTAIN
        assert isinstance(outcome.failure(), errors.CommitContended)
        return spec.REFUSED

    def _complete_write(self, label: str, removed: int) -> None:
        matching = [
            each for each in self.platform.in_flight if _condition(each) == removed
        ]
        with_reply = label in ("apply_and_reply", "conflict")
        write = self.platform.select_write(matching, with_reply)
        if label == "drop":
            self.platform.lose_write(write)
        else:
            self.platform.deliver(write, reply=with_reply)


def _condition(write: fake_platform.Call) -> int:
    """Return the version of the head that a write would replace."""
    version: int = write.value["version"] - 1
    return version


def _removed_write(before: spec.Operator, after: spec.Operator) -> int | None:
    """Return the head version required by the write that a step removes."""
    remaining = list(after.in_flight)
    for condition in before.in_flight:
        if condition in remaining:
            remaining.remove(condition)
        else:
            return condition
    return None


def _compare(
    state: spec.State, objects: fake_platform.Store, real: list[RealOperator]
) -> None:
    history = tuple(int(name) for name, _ in objects.accepted)
    assert history == state.history
    versions = [head.version for _, head in objects.accepted]
    assert versions == list(range(1, len(history) + 1))
    for expected, operator in zip(state.operators, real, strict=True):
        platform = operator.platform
        assert operator.in_flight == expected.in_flight
        assert (platform.pending_read is not None) == (expected.phase == spec.IDLE)
        assert (platform.pending_write is not None) == (expected.phase == spec.WRITING)
        assert operator.reported == expected.reported


def _check_accepted_heads(
    objects: fake_platform.Store, real: list[RealOperator]
) -> None:
    """Check that each accepted change is reported with the head that it wrote."""
    accepted: dict[str, typing.Any] = dict(objects.accepted)
    for number, operator in enumerate(real):
        if operator.reported == spec.ACCEPTED:
            assert operator.outcomes[0].unwrap() == accepted[str(number)]


def _weighted(steps: list[tuple[str, spec.State]]) -> list[tuple[str, spec.State]]:
    others = [step for step in steps if not step[0].startswith("give_up")]
    return steps + others * (OTHER_STEPS_WEIGHT - 1)


# With three operators, an uncertain update can be followed by commits of two others,
# which the history must resolve.
@pytest.mark.parametrize("operators", [2, 3])
@hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
@hypothesis.given(data=st.data())
def test_commit_code_takes_the_steps_of_its_specification(
    operators: int, data: st.DataObject
) -> None:
    """Guards against code that deviates from the verified protocol."""
    state = spec.State((), (spec.Operator(),) * operators)
    objects = fake_platform.Store()
    real = [RealOperator(number, objects) for number in range(operators)]
    _compare(state, objects, real)
    for _ in range(data.draw(st.integers(1, MAX_STEPS))):
        steps = spec.transitions(state)
        if not steps:
            break
        label, after = data.draw(st.sampled_from(_weighted(steps)))
        action, number = label.rsplit(" ", 1)
        position = int(number)
        removed = _removed_write(state.operators[position], after.operators[position])
        real[position].perform(action, removed)
        state = after
        _compare(state, objects, real)
    _check_accepted_heads(objects, real)
