"""Problems of requests that are refused before anything is sent for them."""

import dataclasses

from jackdawpass.request import model, problems

# A target works off a full queue of short requests in about this time.
RETRY_AFTER_SECONDS = 0.1
# Callers return on a new connection, which leads to an instance that keeps running.
STOPPING_RETRY_SECONDS = 0.01
# The load balancer takes an isolated instance out of rotation within this time.
ISOLATED_RETRY_SECONDS = 1.0

NO_CONFIGURATION = problems.not_run(
    problems.ProblemKind.NO_CONFIGURATION,
    "this instance has no configuration yet; retry",
    RETRY_AFTER_SECONDS,
)
ISOLATED = problems.not_run(
    problems.ProblemKind.NO_TARGET,
    "this instance is cut off from the zones that hold the request's shards; "
    "retry at another one",
    ISOLATED_RETRY_SECONDS,
)
STOPPING = problems.not_run(
    problems.ProblemKind.OVERLOADED,
    "this instance stops before the request is likely to end; retry at another one",
    STOPPING_RETRY_SECONDS,
)
NO_ROUTE = problems.not_run(
    problems.ProblemKind.UNKNOWN_SERVICE,
    "no route matches the host and path; check them against the configuration",
)


def pausing(seconds: float) -> problems.Problem:
    """Return the refusal while too many targets want no work for some seconds."""
    return problems.not_run(
        problems.ProblemKind.OVERLOADED,
        "the targets of the request have asked for a pause; retry after it",
        seconds,
    )


def cap_retry_after(
    outcome: model.Answer | problems.Problem,
) -> model.Answer | problems.Problem:
    """Return the outcome with a delay of at most `RETRY_AFTER_SECONDS`."""
    if isinstance(outcome, problems.Problem) and outcome.retry_after is not None:
        if outcome.retry_after > RETRY_AFTER_SECONDS:
            return dataclasses.replace(outcome, retry_after=RETRY_AFTER_SECONDS)
    return outcome
