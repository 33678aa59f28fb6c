"""Drives the commit code through arbitrary behaviours of its specification."""

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

# Steps other than giving up are drawn this many times as often; otherwise most
# behaviours end before a write is refused.
OTHER_STEPS_WEIGHT = 8
MAX_STEPS = 40

# The specification bounds updates and ends at any time; the code must not end first.
MAX_TRIES = 1000
LONG_AFTER_SECONDS = 2 * retry.MAX_SECONDS


class RealOperator:
    """One operator that runs the code under test, with one change to its own part."""

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

    def perform(self, label: str, landed: int | None) -> None:
        """Take the step of a label; `landed` is the condition of its write."""
        match label:
            case "update" | "settle":
                self.platform.answer_read()
            case "give_up":
                self._now = LONG_AFTER_SECONDS
                self.platform.answer_read(ok=False)
            case "lose_reply":
                self.platform.lose_reply()
            case _:
                assert landed is not None
                self._land(label, landed)

    @property
    def flying(self) -> tuple[int, ...]:
        """Head versions on which the writes on their way are conditional."""
        return tuple(sorted(_condition(each) for each in self.platform.flying))

    @property
    def told(self) -> str:
        """What the operator was told, in the words of the specification."""
        if not self.outcomes:
            return ""
        (outcome,) = self.outcomes
        if isinstance(outcome, result.Success):
            return spec.ACCEPTED
        if isinstance(outcome.failure(), errors.CommitUncertain):
            return spec.UNCERTAIN
        assert isinstance(outcome.failure(), errors.CommitContended)
        return spec.REFUSED

    def _land(self, label: str, landed: int) -> None:
        matching = [each for each in self.platform.flying if _condition(each) == landed]
        replies = label in ("apply_and_reply", "conflict")
        write = self.platform.choose(matching, replies)
        if label == "drop":
            self.platform.lose(write)
        else:
            self.platform.land(write, reply=replies)


def _condition(write: fake_platform.Call) -> int:
    """Return the version of the head that a write would replace."""
    version: int = write.value["version"] - 1
    return version


def _landed(before: spec.Operator, after: spec.Operator) -> int | None:
    """Return the write that is on its way before but not after a step."""
    remaining = list(after.flying)
    for condition in before.flying:
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
        assert operator.flying == expected.flying
        assert (platform.reading is not None) == (expected.phase == spec.IDLE)
        assert (platform.writing is not None) == (expected.phase == spec.WRITING)
        assert operator.told == expected.told


def _check_accepted_heads(
    objects: fake_platform.Store, real: list[RealOperator]
) -> None:
    """Check that whoever is told of acceptance gets the version of its own write."""
    accepted: dict[str, typing.Any] = dict(objects.accepted)
    for number, operator in enumerate(real):
        if operator.told == spec.ACCEPTED:
            assert operator.outcomes[0].unwrap() == accepted[str(number)]


def _weighted(steps: list[tuple[str, spec.State]]) -> list[tuple[str, spec.State]]:
    others = [step for step in steps if not step[0].startswith("give_up")]
    return steps + others * (OTHER_STEPS_WEIGHT - 1)


# Doubt that the history settles shows only when two others get ahead.
@pytest.mark.parametrize("operators", [2, 3])
@hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
@hypothesis.given(data=st.data())
def test_commit_code_takes_the_steps_of_its_specification(
    operators: int, data: st.DataObject
) -> None:
    """Guards against code that differs from the protocol that was checked."""
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
        landed = _landed(state.operators[position], after.operators[position])
        real[position].perform(action, landed)
        state = after
        _compare(state, objects, real)
    _check_accepted_heads(objects, real)
