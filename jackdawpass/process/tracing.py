"""Record of the life cycle of a request as events and metrics."""

import collections.abc

from jackdawpass import clock
from jackdawpass.process import events, metrics
from jackdawpass.request import model, problems

Outcome = model.Answer | model.RecordedAnswer | problems.Problem


class RequestTrace:
    """Trace of one request.

    Parameters
    ----------
    emitter : Emitter
        Receives the events.
    measures : Metrics
        Receives the measurements.
    on_end : callable
        Called once when the request ends.
    """

    def __init__(
        self,
        emitter: events.Emitter,
        measures: metrics.Metrics,
        request_id: str,
        service: str,
        on_end: collections.abc.Callable[[str], None],
    ) -> None:
        self._emitter = emitter
        self._metrics = measures
        self._request_id = request_id
        self._service = service
        self._on_end = on_end
        self._ended = False
        self._started = clock.monotonic()
        self._attempts: dict[int, model.Attempt] = {}
        self._latest: dict[int, events.Reference] = {}
        measures.counter("requests")
        self._accepted = emitter.emit(
            events.Kind.REQUEST_ACCEPTED, request_id=request_id, service=service
        )
        # The event that the state machine reacts to, hence the cause of its actions.
        self._cause = self._accepted

    def queued(self, attempt: model.Attempt) -> None:
        """Record a queued attempt; a hedge is caused by the attempt it duplicates."""
        cause = self._cause
        if attempt.kind is model.AttemptKind.HEDGE:
            cause = self._cause_of_hedge(attempt) or cause
        self._attempts[attempt.attempt_id] = attempt
        self._metrics.counter(f"attempts.{attempt.kind.value}")
        self._emit_attempt(events.Kind.ATTEMPT_QUEUED, attempt.attempt_id, cause)

    def sent(self, attempt_id: int) -> None:
        """Record an attempt that was written to its target."""
        self._emit_follow_up(events.Kind.ATTEMPT_SENT, attempt_id)

    def replied(self, attempt_id: int) -> None:
        """Record a usable reply."""
        self._cause = self._emit_follow_up(events.Kind.ATTEMPT_REPLIED, attempt_id)
        self._attempts.pop(attempt_id, None)

    def failed(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        """Record a failed attempt."""
        self._metrics.counter(f"failures.{failure.kind.value}")
        self._cause = self._emit_follow_up(
            events.Kind.ATTEMPT_FAILED, attempt_id, failure.kind.value
        )
        self._attempts.pop(attempt_id, None)

    def cancelled(self, attempt_id: int) -> None:
        """Record a cancelled attempt; its cause is the event that made it redundant."""
        self._metrics.counter("cancelled")
        self._emit_attempt(events.Kind.ATTEMPT_CANCELLED, attempt_id, self._cause)
        self._attempts.pop(attempt_id, None)

    def timer(self) -> None:
        """Set the cause of a timer's actions: the acceptance, where deadlines start."""
        self._cause = self._accepted

    def caller_gone(self) -> None:
        """Record that the caller disconnected."""
        if self._ended:
            return
        self._cause = self._emitter.emit(
            events.Kind.CALLER_GONE,
            cause=self._accepted,
            request_id=self._request_id,
            service=self._service,
        )

    def abandoned(self) -> None:
        """Record that the request ended without an outcome."""
        if not self._ended:
            self._end("gone")

    def finished(self, outcome: Outcome) -> None:
        """Record the outcome."""
        if self._ended:
            return
        detail = outcome_name(outcome)
        coverage = None
        if not isinstance(outcome, model.RecordedAnswer):
            coverage = outcome.coverage
        if coverage is not None:
            self._metrics.gauge("coverage", round(coverage.ratio * 100, 3))
        self._emitter.emit(
            events.Kind.REQUEST_FINISHED,
            cause=self._cause,
            request_id=self._request_id,
            service=self._service,
            detail=detail,
            error=isinstance(outcome, problems.Problem),
        )
        self._end(detail)

    def _end(self, outcome: str) -> None:
        self._ended = True
        self._metrics.counter(f"outcomes.{outcome}")
        self._metrics.timing("latency", clock.monotonic() - self._started)
        self._on_end(self._request_id)

    def _cause_of_hedge(self, hedge: model.Attempt) -> events.Reference | None:
        for attempt_id, attempt in self._attempts.items():
            if attempt.shards & hedge.shards:
                return self._latest.get(attempt_id)
        return None

    def _emit_follow_up(
        self, kind: events.Kind, attempt_id: int, detail: str = ""
    ) -> events.Reference:
        cause = self._latest.get(attempt_id, self._accepted)
        return self._emit_attempt(kind, attempt_id, cause, detail)

    def _emit_attempt(
        self,
        kind: events.Kind,
        attempt_id: int,
        cause: events.Reference,
        detail: str = "",
    ) -> events.Reference:
        attempt = self._attempts.get(attempt_id)
        reference = self._emitter.emit(
            kind,
            cause=cause,
            request_id=self._request_id,
            attempt_id=attempt_id,
            service=self._service,
            target=attempt.target if attempt else "",
            attempt_kind=attempt.kind.value if attempt else "",
            detail=detail,
        )
        self._latest[attempt_id] = reference
        return reference


def outcome_name(outcome: Outcome) -> str:
    """Return ``complete``, ``partial``, ``replayed`` or the outcome of a problem."""
    if isinstance(outcome, model.RecordedAnswer):
        return "replayed"
    if isinstance(outcome, problems.Problem):
        return outcome.outcome.value
    return "complete" if outcome.complete else "partial"
