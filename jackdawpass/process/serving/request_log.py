"""Log lines of one request: repeated and failed attempts, and the outcome."""

import typing

from jackdawpass import clock
from jackdawpass.process import logs
from jackdawpass.request import model, problems

_logger = logs.get_logger(__name__)


class RequestLog:
    """Trace that writes the log lines of one request.

    Each repeated, failed or cancelled attempt has its own line. First attempts with a
    reply have none; the last line contains the outcome and the counts.
    """

    def __init__(self, now: float, request_id: str) -> None:
        self._request_id = request_id
        self._started = now
        self._route = ""
        self._version = 0
        self._attempts: dict[int, model.Attempt] = {}
        self._is_subquery = False
        self._repeats = 0
        self._failures = 0

    def routed(self, route: str, version: int, subquery: bool = False) -> None:
        """Set the route and the configuration version of the request.

        `subquery` is True for a query of some shards by an instance of another zone.
        """
        self._route = route
        self._version = version
        self._is_subquery = subquery

    def queued(self, attempt: model.Attempt) -> None:
        """Record an attempt, and log a repeated attempt."""
        self._attempts[attempt.attempt_id] = attempt
        if attempt.kind is not model.AttemptKind.FIRST:
            self._repeats += 1
            self._log_attempt("attempt_repeated", attempt, attempt.kind.value)

    def sent(self, attempt_id: int) -> None:
        """Do nothing: the line of a failed attempt contains whether it was sent."""

    def replied(self, attempt_id: int) -> None:
        """Remove an attempt that was answered."""
        self._attempts.pop(attempt_id, None)

    def failed(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        """Log a failed attempt."""
        self._failures += 1
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            reason = f"{failure.kind.value} {failure.execution.value}"
            self._log_attempt("attempt_failed", attempt, reason)

    def cancelled(self, attempt_id: int) -> None:
        """Log an attempt that was cancelled unanswered."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            self._log_attempt("attempt_given_up", attempt, "")

    def timer(self) -> None:
        """Do nothing: the effects of the timer are logged."""

    def caller_gone(self) -> None:
        """Log that the caller disconnected."""
        self._log_line("caller_gone", False, {})

    def abandoned(self) -> None:
        """Do nothing: `caller_gone` has logged it."""

    def finished(self, outcome: model.Answer | problems.Problem) -> None:
        """Log the outcome."""
        fields: dict[str, typing.Any] = {
            "repeats": self._repeats,
            "failures": self._failures,
        }
        is_problem = isinstance(outcome, problems.Problem)
        coverage = outcome.coverage
        fields["outcome"] = "answer"
        if self._is_subquery:
            fields["subquery"] = True
        if isinstance(outcome, problems.Problem):
            fields["outcome"] = outcome.kind.value
            fields["ran"] = outcome.outcome.value
        if coverage is not None:
            fields["covered"] = coverage.covered
            fields["shards"] = coverage.shards
            fields["missing"] = {
                str(each.shard): each.reason.value for each in coverage.missing
            }
        self._log_line("request_finished", is_problem, fields)
        log = logs.current()
        if log is not None:
            log.finish_request(self._request_id)

    def _log_attempt(self, kind: str, attempt: model.Attempt, reason: str) -> None:
        fields = {
            "attempt": attempt.attempt_id,
            "attempt_kind": attempt.kind.value,
            "target": attempt.target,
            "shards": sorted(attempt.shards),
            "reason": reason,
        }
        self._log_line(kind, False, fields)

    def _log_line(self, kind: str, error: bool, fields: dict[str, typing.Any]) -> None:
        age = round((clock.monotonic() - self._started) * 1000, 2)
        log = _logger.error if error else _logger.info
        log(
            kind,
            self._request_id,
            route=self._route,
            version=self._version,
            age_ms=age,
            **fields,
        )
