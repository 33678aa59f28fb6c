"""Tests of the problems and reasons that failures are mapped to."""

import pytest

from jackdawpass.request import model, problems, refusals
from tests.request import fakes

_KINDS = model.FailureKind
_NOT_SENT = model.Execution.NOT_SENT


@pytest.mark.parametrize(
    ("kind", "attempted", "problem"),
    [
        (None, False, problems.ProblemKind.NO_TARGET),
        (None, True, problems.ProblemKind.DEADLINE_EXCEEDED),
        (_KINDS.QUEUE_EXPIRED, True, problems.ProblemKind.DEADLINE_EXCEEDED),
        (_KINDS.QUEUE_FULL, True, problems.ProblemKind.OVERLOADED),
        (_KINDS.CONNECT_FAILED, True, problems.ProblemKind.NO_TARGET),
    ],
)
def test_not_run_names_its_cause(
    kind: model.FailureKind | None, attempted: bool, problem: problems.ProblemKind
) -> None:
    """Guards against a problem that does not fit the failure."""
    failure = None if kind is None else fakes.failure(kind, _NOT_SENT)
    refused = refusals.not_run(failure, attempted)
    assert (refused.kind, refused.outcome) == (problem, model.Outcome.NOT_RUN)
    assert refused.retry_after


def test_missing_reason_distinguishes_refusal_from_failure() -> None:
    """Guards against coverage that reports a wrong reason."""
    kinds = (
        _KINDS.SHED,
        _KINDS.SHARD_MOVED,
        _KINDS.QUEUE_EXPIRED,
        _KINDS.TARGET_FAILED,
    )
    reasons = [refusals.missing_reason(fakes.failure(kind)) for kind in kinds]
    assert reasons == [
        model.MissingReason.REFUSED,
        model.MissingReason.SNAPSHOT_GONE,
        model.MissingReason.TIMED_OUT,
        model.MissingReason.FAILED,
    ]
