"""State machine of one idempotent query over many shards."""

import collections
import collections.abc
import dataclasses

from jackdawpass.request import machine, merge, model, outstanding, problems, refusals

_WRONG_SNAPSHOT = model.AttemptFailure(
    model.FailureKind.SNAPSHOT_NOT_HELD, model.Execution.MAY_HAVE_RUN
)
_SHARDS_OMITTED = model.AttemptFailure(
    model.FailureKind.TARGET_FAILED, model.Execution.MAY_HAVE_RUN
)
# No attempt is hedged while the number of unanswered first attempts exceeds both this
# share of a query's first attempts and MAX_UNANSWERED_ATTEMPTS.
MAX_UNANSWERED_SHARE = 0.5
MAX_UNANSWERED_ATTEMPTS = 4


class Fanout:
    """State machine that sends, hedges and retries sub-requests and merges replies.

    Parameters
    ----------
    plan : QueryPlan
        The pinned snapshot, its shards, the deadline and the limits of the query.
    router : Router
        Chooses targets for the shards of the pinned snapshot.
    hedging : Hedging
        Decides when to hedge an attempt.
    budget : Budget
        Limits hedges and retries.
    source : SnapshotSource
        Provides the snapshot to restart on when the pinned one is gone.
    make_merge : callable
        Creates the merge for the replies of the given shards.
    """

    def __init__(
        self,
        plan: model.QueryPlan,
        router: machine.Router,
        hedging: machine.Hedging,
        budget: machine.Budget,
        source: machine.SnapshotSource,
        make_merge: machine.MergeFactory = merge.ScoredMerge,
    ) -> None:
        self._plan = plan
        self._router = router
        self._hedging = hedging
        self._budget = budget
        self._source = source
        self._make_merge = make_merge
        self._merge = make_merge(plan.shards)
        self._outstanding = outstanding.Outstanding()
        self._excluded: dict[int, set[str]] = {}
        # Number of sub-requests per shard that may have reached a target.
        self._attempt_counts: collections.Counter[int] = collections.Counter()
        self._reasons: dict[int, model.MissingReason] = {}
        self._snapshot_gone: set[int] = set()
        # Uncovered shards that no outstanding attempt can cover.
        self._unreachable = set(plan.shards)
        self._last_failure: model.AttemptFailure | None = None
        # Attempts that a target may have run; empty means that nothing ran.
        self._may_have_run: set[int] = set()
        self._next_attempt_id = 1
        self._first_attempts = 0
        self._restarted = False
        self._finished = False
        self._timer_at: float | None = None
        self._early_at = plan.early_after

    @property
    def finished(self) -> bool:
        """True once `Finish` was returned or the caller has disconnected."""
        return self._finished

    @property
    def snapshot(self) -> str:
        """The pinned snapshot."""
        return self._plan.snapshot

    def start(self, now: float) -> machine.Actions:
        """Send the first attempts."""
        assignments = self._assign_all(now)
        self._first_attempts = len(assignments)
        self._budget.on_first_attempts(now, len(assignments))
        actions = self._send(now, assignments, model.AttemptKind.FIRST)
        return self._finish_or_wait(now, actions)

    def on_sent(self, now: float, attempt_id: int) -> machine.Actions:
        """Record that a target may have read the attempt; schedule its hedge."""
        self._may_have_run.add(attempt_id)
        attempt = self._outstanding.get(attempt_id)
        if attempt is None or self._plan.hedge_from_start:
            return ()
        return self._update_timer() if self._plan_hedge(now, attempt) else ()

    def on_accepted(self, now: float, attempt_id: int) -> machine.Actions:
        """Postpone the hedge until the reply is due.

        Until then, the instance that accepted the attempt sends the hedges.
        """
        attempt = self._outstanding.get(attempt_id)
        if attempt is None or attempt.answer_by is None:
            return ()
        self._outstanding.cancel_hedge(attempt_id)
        self._plan_hedge(max(now, attempt.answer_by), attempt)
        return self._update_timer()

    def on_reply(
        self, now: float, attempt_id: int, reply: model.SubReply
    ) -> machine.Actions:
        """Process a reply; it is merged only if its attempt is outstanding."""
        self._may_have_run.add(attempt_id)
        if self._finished or attempt_id not in self._outstanding:
            return ()
        if reply.snapshot != self._plan.snapshot:
            return self.on_failure(now, attempt_id, _WRONG_SNAPSHOT)
        attempt = self._outstanding.pop(attempt_id)
        covered = attempt.shards & reply.shards.keys()
        for shard in covered:
            self._merge.add(shard, reply.shards[shard])
        actions = self._cancel_superseded(covered)
        omitted = attempt.shards - covered
        if omitted and reply.is_final:
            self._abandon(omitted & self._merge.uncovered)
            if not self._may_reach_min_coverage():
                actions += self._retry_or_restart(now, omitted, _SHARDS_OMITTED)
        elif omitted:
            actions += self._retry_or_restart(now, omitted, _SHARDS_OMITTED)
        return self._finish_or_wait(now, actions)

    def on_failure(
        self, now: float, attempt_id: int, failure: model.AttemptFailure
    ) -> machine.Actions:
        """Retry the shards of a failed attempt elsewhere within the budget."""
        if failure.execution is model.Execution.MAY_HAVE_RUN:
            self._may_have_run.add(attempt_id)
        else:
            self._may_have_run.discard(attempt_id)
        if self._finished or attempt_id not in self._outstanding:
            return ()
        attempt = self._outstanding.pop(attempt_id)
        actions = self._retry_or_restart(now, attempt.shards, failure)
        return self._finish_or_wait(now, actions)

    def on_timer(self, now: float) -> machine.Actions:
        """Send due hedges; end the query at its deadline."""
        if self._finished:
            return ()
        self._timer_at = None
        if self._early_at is not None and now >= self._early_at:
            # The timer is no longer needed: each reply now checks the early coverage.
            self._early_at = None
        if now >= self._plan.deadline:
            return self._finish(now)
        return self._finish_or_wait(now, self._send_hedges(now))

    def on_caller_gone(self, now: float) -> machine.Actions:
        """Cancel all attempts."""
        if self._finished:
            return ()
        self._finished = True
        return self._cancel_all()

    def _assign_all(self, now: float) -> tuple[machine.Assignment, ...]:
        assignments = self._router.assign(now, self._plan.shards, {})
        assigned = frozenset[int]().union(*(entry.shards for entry in assignments))
        for shard in self._plan.shards - assigned:
            self._reasons[shard] = model.MissingReason.NO_REPLICA
        return assignments

    def _send(
        self,
        now: float,
        assignments: tuple[machine.Assignment, ...],
        kind: model.AttemptKind,
    ) -> machine.Actions:
        return tuple(
            self._send_one(now, assignment, kind) for assignment in assignments
        )

    def _new_attempt(
        self, assignment: machine.Assignment, kind: model.AttemptKind
    ) -> model.Attempt:
        attempt = model.Attempt(
            attempt_id=self._next_attempt_id,
            request_id=self._plan.request_id,
            service=self._plan.service,
            target=assignment.target,
            shards=assignment.shards,
            snapshot=self._plan.snapshot,
            deadline=self._plan.deadline,
            limit=self._plan.limit,
            kind=kind,
            answer_by=self._plan.early_after,
        )
        self._next_attempt_id += 1
        self._outstanding.add(attempt)
        self._unreachable -= attempt.shards
        for shard in assignment.shards:
            self._excluded.setdefault(shard, set()).add(assignment.target)
        self._attempt_counts.update(assignment.shards)
        return attempt

    def _send_one(
        self, now: float, assignment: machine.Assignment, kind: model.AttemptKind
    ) -> machine.Send:
        attempt = self._new_attempt(assignment, kind)
        if self._plan.hedge_from_start:
            self._plan_hedge(now, attempt)
        return machine.Send(attempt)

    def _may_attempt(self, shard: int) -> bool:
        limit = self._plan.max_attempts
        return limit is None or self._attempt_counts[shard] < limit

    def _abandon(self, shards: collections.abc.Set[int]) -> None:
        """Mark shards for which no further attempt will be sent."""
        self._unreachable |= {s for s in shards if not self._outstanding.may_cover(s)}
        for shard in shards:
            self._reasons[shard] = refusals.missing_reason(_SHARDS_OMITTED)

    def _retry_or_restart(
        self,
        now: float,
        shards: frozenset[int],
        failure: model.AttemptFailure,
    ) -> machine.Actions:
        self._last_failure = failure
        uncovered = shards & self._merge.uncovered
        unassigned = frozenset(
            s for s in uncovered if not self._outstanding.may_cover(s)
        )
        self._unreachable |= unassigned
        for shard in uncovered:
            self._reasons[shard] = refusals.missing_reason(failure)
            if failure.kind in refusals.SNAPSHOT_FAILURES:
                self._snapshot_gone.add(shard)
        if refusals.reached_no_target(failure):
            self._attempt_counts.subtract(uncovered)
        retryable = frozenset(s for s in unassigned if self._may_attempt(s))
        assignments = self._router.assign(now, retryable, self._excluded)
        retried = frozenset[int]().union(*(entry.shards for entry in assignments))
        if (unassigned - retried) & self._snapshot_gone:
            restart = self._restart(now)
            if restart:
                return restart
        is_free = refusals.reached_no_target(failure)
        within_budget = tuple(
            entry
            for entry in assignments
            if is_free or self._budget.try_spend(now, entry.target)
        )
        return self._send(now, within_budget, model.AttemptKind.RETRY)

    def _restart(self, now: float) -> machine.Actions:
        """Restart the query on the newly published snapshot, at most once."""
        if self._restarted or now >= self._plan.deadline:
            return ()
        pinned = self._source.published_after(self._plan.snapshot)
        if pinned is None:
            return ()
        self._restarted = True
        actions = self._cancel_all()
        self._plan = dataclasses.replace(
            self._plan, snapshot=pinned.snapshot, shards=pinned.shards
        )
        self._router = pinned.router
        self._merge = self._make_merge(pinned.shards)
        self._unreachable = set(pinned.shards)
        self._excluded.clear()
        self._reasons.clear()
        self._snapshot_gone.clear()
        assignments = self._assign_all(now)
        return actions + self._send(now, assignments, model.AttemptKind.RESTART)

    def _send_hedges(self, now: float) -> machine.Actions:
        actions: machine.Actions = ()
        is_mostly_unanswered = self._is_mostly_unanswered()
        for attempt in self._outstanding.pop_due_hedges(now):
            if is_mostly_unanswered:
                self._plan_hedge(now, attempt)
                continue
            uncovered = attempt.shards & self._merge.uncovered
            shards = frozenset(s for s in uncovered if self._may_attempt(s))
            for assignment in self._router.assign(now, shards, self._excluded):
                if self._budget.try_spend(now, assignment.target):
                    actions += self._send(now, (assignment,), model.AttemptKind.HEDGE)
                else:
                    self._plan_hedge(now, attempt)
        return actions

    def _plan_hedge(self, now: float, attempt: model.Attempt) -> bool:
        delay = self._hedging.delay(now, attempt.target)
        if delay is None:
            return False
        self._outstanding.schedule_hedge(attempt.attempt_id, now + delay)
        return True

    def _is_mostly_unanswered(self) -> bool:
        """Return True while too many first attempts are unanswered for hedging.

        The whole service or this instance is slow then, and hedges only add load.
        """
        unanswered = sum(
            attempt.kind is model.AttemptKind.FIRST
            for attempt in self._outstanding.attempts
        )
        return unanswered > max(
            MAX_UNANSWERED_ATTEMPTS, MAX_UNANSWERED_SHARE * self._first_attempts
        )

    def _cancel_superseded(self, covered: frozenset[int]) -> machine.Actions:
        superseded = self._outstanding.pop_superseded(covered, self._merge.uncovered)
        return tuple(machine.Cancel(attempt_id) for attempt_id in superseded)

    def _cancel_all(self) -> machine.Actions:
        return tuple(machine.Cancel(each) for each in self._outstanding.clear())

    def _finish_or_wait(self, now: float, actions: machine.Actions) -> machine.Actions:
        """Finish if there is nothing left to wait for; otherwise update the timer."""
        if self._should_finish(now):
            # The query ends now, so attempts that are not sent yet are dropped.
            unsent = {
                a.attempt.attempt_id for a in actions if isinstance(a, machine.Send)
            }
            for attempt_id in unsent:
                self._outstanding.pop(attempt_id)
            other_actions = tuple(a for a in actions if not isinstance(a, machine.Send))
            return other_actions + self._finish(now)
        return actions + self._update_timer()

    def _should_finish(self, now: float) -> bool:
        if not self._outstanding or not self._merge.uncovered:
            return True
        if not self._may_reach_min_coverage():
            return True
        early_after = self._plan.early_after
        enough = max(self._plan.early_coverage, self._plan.min_coverage)
        return (
            early_after is not None
            and now >= early_after
            and self._merge.ratio >= enough
        )

    def _may_reach_min_coverage(self) -> bool:
        total = len(self._plan.shards)
        return (total - len(self._unreachable)) / total >= self._plan.min_coverage

    def _update_timer(self) -> machine.Actions:
        times = (self._plan.deadline, self._early_at, self._outstanding.next_hedge())
        at = min(time for time in times if time is not None)
        if at == self._timer_at:
            return ()
        self._timer_at = at
        return (machine.WakeAt(at),)

    def _finish(self, now: float) -> machine.Actions:
        self._finished = True
        reason = model.MissingReason.TIMED_OUT
        if now < self._plan.deadline:
            reason = model.MissingReason.NOT_AWAITED
        for attempt in self._outstanding.attempts:
            for shard in attempt.shards:
                self._reasons[shard] = reason
        return (*self._cancel_all(), machine.Finish(self._outcome()))

    def _outcome(self) -> model.Answer | problems.Problem:
        coverage = self._merge.coverage(self._reasons)
        if coverage.covered and coverage.ratio >= self._plan.min_coverage:
            return model.Answer(
                self._plan.request_id,
                self._plan.service,
                self._plan.snapshot,
                coverage,
                self._merge.top(self._plan.limit),
            )
        if not self._may_have_run:
            return refusals.not_run(self._last_failure, self._next_attempt_id > 1)
        detail = (
            f"{coverage.covered} of {coverage.shards} shards are covered, which is "
            "under min_coverage; see the reason of each missing shard, then allow a "
            "longer timeout_ms, accept a lower min_coverage, or retry"
        )
        return problems.Problem(
            problems.ProblemKind.COVERAGE_TOO_LOW,
            model.Outcome.INCOMPLETE,
            detail,
            refusals.RETRY_AFTER_SECONDS,
            coverage,
        )
