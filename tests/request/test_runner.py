"""Runner of a state machine whose attempts fail during their submission."""

import pytest
from twisted.internet import task

from jackdawpass.request import fanout, model, problems, runner
from tests.request import fakes

FAILED = fakes.failure(model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT)


class AttemptHandle:
    """Handle that records its cancellation."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Submitter:
    """Submitter that fails attempts to `down` targets before `submit` returns."""

    def __init__(self, down: set[str]) -> None:
        self.down = down
        self.sent: list[str] = []
        self.handles: dict[str, AttemptHandle] = {}

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> AttemptHandle:
        if attempt.target in self.down:
            listener.on_failure(attempt.attempt_id, FAILED)
        else:
            self.sent.append(attempt.target)
            listener.on_sent(attempt.attempt_id)
        self.handles[attempt.target] = AttemptHandle()
        return self.handles[attempt.target]


@pytest.fixture
def outcomes() -> list[model.Answer | problems.Problem]:
    return []


def _run(
    submitter: Submitter,
    outcomes: list[model.Answer | problems.Problem],
    min_coverage: float,
) -> runner.Runner:
    replicas = {0: ("a",), 1: ("b",)}
    state_machine = fanout.Fanout(
        fakes.plan(replicas, "s1", min_coverage=min_coverage, deadline=1e12),
        fakes.FirstReplicaRouter(replicas),
        fakes.FixedHedging(None),
        fakes.CountedBudget(5),
        fakes.FixedSource(),
    )
    running = runner.Runner(
        task.Clock(), state_machine, submitter, b"1", outcomes.append
    )
    running.start()
    return running


def test_failure_during_submit_withdraws_later_sends(
    outcomes: list[model.Answer | problems.Problem],
) -> None:
    """Guards against sending a request after it was reported as `not_run`."""
    submitter = Submitter({"a"})
    _run(submitter, outcomes, min_coverage=1.0)
    (problem,) = outcomes
    assert isinstance(problem, problems.Problem)
    assert problem.outcome is model.Outcome.NOT_RUN
    assert submitter.sent == []


def test_failure_during_submit_leaves_other_sends(
    outcomes: list[model.Answer | problems.Problem],
) -> None:
    """Guards against dropping sends that are still needed."""
    submitter = Submitter({"a"})
    running = _run(submitter, outcomes, min_coverage=0.0)
    assert submitter.sent == ["b"]
    running.caller_gone()
    assert submitter.handles["b"].cancelled
    assert not outcomes
