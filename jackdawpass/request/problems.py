"""Problem documents for outcomes other than an answer (RFC 9457)."""

import dataclasses
import enum

from jackdawpass.request import model

TYPE_PREFIX = "urn:jackdawpass:problem:"
CONTENT_TYPE = "application/problem+json"


class ProblemKind(enum.Enum):
    """Kinds of problems; the value is the `kind` member of the document."""

    MALFORMED_REQUEST = "malformed_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_RESOURCE = "unknown_resource"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    NO_CONFIGURATION = "no_configuration"
    NO_SNAPSHOT = "no_snapshot"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    COVERAGE_TOO_LOW = "coverage_too_low"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    REPEATED_REQUEST = "repeated_request"
    RUN_UNCERTAIN = "run_uncertain"
    TARGET_REFUSED = "target_refused"


STATUS = {
    ProblemKind.MALFORMED_REQUEST: 400,
    ProblemKind.UNKNOWN_SERVICE: 404,
    ProblemKind.UNKNOWN_RESOURCE: 404,
    ProblemKind.METHOD_NOT_ALLOWED: 405,
    ProblemKind.BODY_TOO_LARGE: 413,
    ProblemKind.NO_CONFIGURATION: 503,
    ProblemKind.NO_SNAPSHOT: 503,
    ProblemKind.NO_TARGET: 503,
    ProblemKind.OVERLOADED: 503,
    ProblemKind.DRAINING: 503,
    ProblemKind.DEADLINE_EXCEEDED: 504,
    ProblemKind.COVERAGE_TOO_LOW: 504,
    ProblemKind.CLAIM_UNAVAILABLE: 503,
    ProblemKind.REPEATED_REQUEST: 409,
    ProblemKind.RUN_UNCERTAIN: 502,
    ProblemKind.TARGET_REFUSED: 503,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A problem; `detail` says how to resolve it.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which a retry may succeed; None when a retry does not help.
    """

    kind: ProblemKind
    outcome: model.Outcome
    detail: str
    retry_after: float | None = None
    coverage: model.Coverage | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the problem."""
        return STATUS[self.kind]


def not_run(
    kind: ProblemKind, detail: str, retry_after: float | None = None
) -> Problem:
    """Return a problem for a request that no target ran."""
    return Problem(kind, model.Outcome.NOT_RUN, detail, retry_after)


def to_document(problem: Problem, request_id: str) -> model.JsonObject:
    """Return the RFC 9457 document of a problem."""
    document: model.JsonObject = {
        "type": TYPE_PREFIX + problem.kind.value,
        "title": problem.kind.value.replace("_", " ").capitalize(),
        "status": problem.status,
        "detail": problem.detail,
        "request_id": request_id,
        "kind": problem.kind.value,
        "outcome": problem.outcome.value,
    }
    if problem.coverage is not None:
        document["coverage"] = coverage_document(problem.coverage)
    return document


def coverage_document(coverage: model.Coverage) -> model.JsonObject:
    """Return the `coverage` member of an answer or a problem."""
    return {
        "shards": coverage.shards,
        "covered": coverage.covered,
        "missing": [
            {"shard": missing.shard, "reason": missing.reason.value}
            for missing in coverage.missing
        ],
    }


def answer_document(answer: model.Answer, elapsed: float) -> model.JsonObject:
    """Return the JSON document of an answer; `elapsed` is in seconds."""
    return {
        "request_id": answer.request_id,
        "service": answer.service,
        "snapshot": answer.snapshot,
        "complete": answer.complete,
        "coverage": coverage_document(answer.coverage),
        "results": [
            {"id": item.item_id, "score": item.score, "value": item.value}
            for item in answer.results
        ],
        "elapsed_ms": round(elapsed * 1000, 3),
    }
