"""Run of a non-idempotent request under a claim that records its outcome."""

import collections.abc
import typing

from returns import result

from jackdawpass import clock
from jackdawpass.connection import platform_api
from jackdawpass.request import claims, model, problems

RECORD_TIMEOUT_SECONDS = 0.25

Outcome = model.Answer | problems.Problem
OnRunFinish = collections.abc.Callable[[Outcome], None]
OnFinish = collections.abc.Callable[[Outcome | model.RecordedAnswer], None]


class ActiveRun(typing.Protocol):
    """A run in progress."""

    def caller_gone(self) -> None:
        """Stop the work for a caller that closed its connection."""


StartRun = collections.abc.Callable[[OnRunFinish], ActiveRun]


class ClaimedRun:
    """One non-idempotent request with an Idempotency-Key.

    Parameters
    ----------
    reactor : IReactorTime
        Provides the timer for the deadline.
    platform : PlatformApi
        Stores the claim.
    key, writer, request_hash : str
        See `claims.acquire`.
    deadline : float
        Monotonic seconds; without a claim by then the request is refused.
    start_run : callable
        Starts the run; nothing may be sent before it is called.
    on_finish : callable
        Called once with the outcome.
    """

    def __init__(
        self,
        reactor: typing.Any,
        platform: platform_api.PlatformApi,
        key: str,
        writer: str,
        request_hash: str,
        deadline: float,
        start_run: StartRun,
        on_finish: OnFinish,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._key = key
        self._writer = writer
        self._request_hash = request_hash
        self._deadline = deadline
        self._start_run = start_run
        self._on_finish: OnFinish | None = on_finish
        self._claim: claims.Claim | None = None
        self._active_run: ActiveRun | None = None
        self._timer: typing.Any = None
        self._started = clock.monotonic()

    def start(self) -> None:
        """Claim the request; it runs once the claim is confirmed."""
        delay = max(0.0, self._deadline - self._started)
        self._timer = self._reactor.callLater(delay, self._finish, claims.unconfirmed())
        acquiring = claims.acquire(
            self._platform, self._key, self._writer, self._request_hash
        )
        acquiring.addCallback(self._on_acquired)

    def caller_gone(self) -> None:
        """Abandon a request that has not started; otherwise inform its run."""
        if self._active_run is not None:
            self._active_run.caller_gone()
        else:
            self._finish(claims.unconfirmed())

    def _on_acquired(self, acquired: claims.AcquireResult) -> None:
        if isinstance(acquired, result.Failure):
            self._on_refused(acquired.failure())
            return
        claim = acquired.unwrap()
        if isinstance(claim, model.RecordedAnswer):
            self._finish(claim)
            return
        self._claim = claim
        if self._on_finish is None or clock.monotonic() >= self._deadline:
            self._finish(_late_claim_problem())
            claims.record(self._platform, claim, claims.ClaimState.NOT_RUN)
            return
        self._stop_timer()
        self._active_run = self._start_run(self._on_run_finish)

    def _on_refused(self, problem: problems.Problem) -> None:
        self._finish(problem)
        if problem.kind is problems.ProblemKind.CLAIM_UNAVAILABLE:
            claims.release(self._platform, self._key, self._writer)

    def _on_run_finish(self, outcome: Outcome) -> None:
        """Record the outcome, then reply; the wait for the record is limited."""
        state, document = self._final_state(outcome)
        if state is claims.ClaimState.CLAIMED:
            self._finish(outcome)
            return
        assert self._claim is not None
        self._timer = self._reactor.callLater(
            RECORD_TIMEOUT_SECONDS, self._finish, outcome
        )
        recording = claims.record(self._platform, self._claim, state, document)
        recording.addBoth(lambda _: self._finish(outcome))

    def _final_state(
        self, outcome: Outcome
    ) -> tuple[claims.ClaimState, model.JsonObject | None]:
        if isinstance(outcome, model.Answer):
            elapsed = clock.monotonic() - self._started
            document = problems.answer_document(outcome, elapsed)
            return claims.ClaimState.DONE, document
        if outcome.outcome is model.Outcome.NOT_RUN:
            return claims.ClaimState.NOT_RUN, None
        return claims.ClaimState.CLAIMED, None

    def _finish(self, outcome: Outcome | model.RecordedAnswer) -> None:
        self._stop_timer()
        on_finish, self._on_finish = self._on_finish, None
        if on_finish is not None:
            on_finish(outcome)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _late_claim_problem() -> problems.Problem:
    return problems.not_run(
        problems.ProblemKind.CLAIM_UNAVAILABLE,
        "the request was claimed in the platform's store only after its deadline; "
        "retry later with the same Idempotency-Key",
        claims.RETRY_AFTER_SECONDS,
    )
