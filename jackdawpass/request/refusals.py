"""Mapping of failures of attempts to problems and to reasons for missing shards."""

from jackdawpass.request import model, problems

SNAPSHOT_FAILURES = frozenset(
    (model.FailureKind.SNAPSHOT_NOT_HELD, model.FailureKind.SHARD_MOVED)
)
REFUSAL_KINDS = frozenset(
    (
        model.FailureKind.QUEUE_FULL,
        model.FailureKind.SHED,
        model.FailureKind.DRAINING,
        model.FailureKind.COLD,
    )
)
RETRY_AFTER_SECONDS = 1.0


def reached_no_target(failure: model.AttemptFailure) -> bool:
    """Return whether an attempt put no load on any target.

    The retry of such an attempt is not charged to the budget: the budget limits the
    load on targets, and a lost replica or an unreachable zone would use it up at once.
    """
    return failure.kind in (
        model.FailureKind.CONNECT_FAILED,
        model.FailureKind.DECLINED,
    )


def not_run(failure: model.AttemptFailure | None, attempted: bool) -> problems.Problem:
    """Return the problem of a query that no target ran.

    Parameters
    ----------
    failure : AttemptFailure or None
        The last failure of an attempt.
    attempted : bool
        False when no target was found for any shard.
    """
    if failure is None and not attempted:
        return problems.not_run(
            problems.ProblemKind.NO_TARGET,
            "no target holds a shard of the published snapshot; check that the "
            "service's targets are up and hold it",
            RETRY_AFTER_SECONDS,
        )
    if failure is None or failure.kind is model.FailureKind.QUEUE_EXPIRED:
        return problems.not_run(
            problems.ProblemKind.DEADLINE_EXCEEDED,
            "the deadline passed before a target was free; "
            "allow a longer timeout_ms or retry later",
            RETRY_AFTER_SECONDS,
        )
    if failure.kind in REFUSAL_KINDS:
        return problems.not_run(
            problems.ProblemKind.OVERLOADED,
            "the service's targets accept no more work; retry later",
            max(failure.retry_after, RETRY_AFTER_SECONDS),
        )
    return problems.not_run(
        problems.ProblemKind.NO_TARGET,
        "no target of the service could be reached; check that they are up",
        RETRY_AFTER_SECONDS,
    )


def missing_reason(failure: model.AttemptFailure) -> model.MissingReason:
    """Return why a shard is missing after its last attempt failed."""
    if failure.kind in SNAPSHOT_FAILURES:
        return model.MissingReason.SNAPSHOT_GONE
    if failure.kind in REFUSAL_KINDS:
        return model.MissingReason.REFUSED
    if failure.kind in (model.FailureKind.TIMED_OUT, model.FailureKind.QUEUE_EXPIRED):
        return model.MissingReason.TIMED_OUT
    return model.MissingReason.FAILED
