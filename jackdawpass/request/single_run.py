"""State machine of one non-idempotent request, which runs at most once."""

import xxhash

from jackdawpass.request import machine, merge, model, problems, refusals

RETRY_AFTER_SECONDS = 1.0


def shard_for_key(shard_key: str, shards: int) -> int:
    """Return the shard of a key, which is the same on all instances.

    Parameters
    ----------
    shard_key : str
        Key given by the caller.
    shards : int
        Number of shards of the snapshot, at least 1.
    """
    return xxhash.xxh3_64_intdigest(shard_key.encode()) % shards


class SingleRun:
    """State machine that tries targets one by one until one may have run the request.

    Another target is tried only after proof that the last one did not run the request:
    no byte was sent, or the target itself reported that it did not.

    Parameters
    ----------
    plan : QueryPlan
        Its `shards` contain exactly one shard.
    router : Router
        Chooses a target for the shard.
    budget : Budget
        Limits further attempts.
    finish_without_caller : bool
        True when the outcome is recorded for a repeat; a sent request then continues
        after its caller has disconnected.
    make_merge : callable
        Creates the merge that holds the reply.
    """

    def __init__(
        self,
        plan: model.QueryPlan,
        router: machine.Router,
        budget: machine.Budget,
        finish_without_caller: bool = False,
        make_merge: machine.MergeFactory = merge.ScoredMerge,
    ) -> None:
        if len(plan.shards) != 1:
            raise ValueError("a non-idempotent request has exactly one shard")
        self._plan = plan
        self._router = router
        self._budget = budget
        self._finish_without_caller = finish_without_caller
        self._make_merge = make_merge
        self._tried_targets: set[str] = set()
        # Number of attempts that may have reached a target.
        self._attempt_count = 0
        self._attempt: model.Attempt | None = None
        self._sent = False
        self._finished = False

    def start(self, now: float) -> machine.Actions:
        """Send the request to the first target."""
        self._budget.on_first_attempts(now, 1)
        return (machine.WakeAt(self._plan.deadline), *self._try_next(now, None))

    def on_sent(self, now: float, attempt_id: int) -> machine.Actions:
        """Record that the request may run from now on."""
        if self._is_current(attempt_id):
            self._sent = True
        return ()

    def on_accepted(self, now: float, attempt_id: int) -> machine.Actions:
        """Do nothing: no second attempt is sent before the first has failed."""
        return ()

    def on_reply(
        self, now: float, attempt_id: int, reply: model.SubReply
    ) -> machine.Actions:
        """Finish with the target's reply."""
        if self._finished or not self._is_current(attempt_id):
            return ()
        shard = next(iter(self._plan.shards))
        if reply.snapshot != self._plan.snapshot or shard not in reply.shards:
            return self._finish(_uncertain_problem("the target's reply is not usable"))
        merged = self._make_merge(self._plan.shards)
        merged.add(shard, reply.shards[shard])
        return self._finish(
            model.Answer(
                self._plan.request_id,
                self._plan.service,
                self._plan.snapshot,
                merged.coverage({}),
                merged.top(self._plan.limit),
            )
        )

    def on_failure(
        self, now: float, attempt_id: int, failure: model.AttemptFailure
    ) -> machine.Actions:
        """Try the next target if the request did not run; otherwise finish."""
        if self._finished or not self._is_current(attempt_id):
            return ()
        if failure.execution is model.Execution.MAY_HAVE_RUN:
            return self._finish(
                _uncertain_problem(f"its target failed ({failure.kind.value})")
            )
        self._sent = False
        if refusals.reached_no_target(failure):
            self._attempt_count -= 1
        return self._try_next(now, failure)

    def on_timer(self, now: float) -> machine.Actions:
        """End the request at its deadline."""
        if self._finished:
            return ()
        if now < self._plan.deadline:
            # Rounding may put the reactor's clock slightly ahead of `clock`.
            return (machine.WakeAt(self._plan.deadline),)
        return self._cancel() + self._finish(self._deadline_problem())

    def on_caller_gone(self, now: float) -> machine.Actions:
        """Cancel the attempt, unless it was sent and its outcome will be recorded."""
        if self._finished or (self._sent and self._finish_without_caller):
            return ()
        return self._cancel() + self._finish(self._deadline_problem())

    def _is_current(self, attempt_id: int) -> bool:
        return self._attempt is not None and self._attempt.attempt_id == attempt_id

    def _try_next(
        self, now: float, failure: model.AttemptFailure | None
    ) -> machine.Actions:
        shard = next(iter(self._plan.shards))
        assignments = self._router.assign(
            now, self._plan.shards, {shard: self._tried_targets}
        )
        if not assignments:
            return self._finish(_not_run_problem(failure))
        target = assignments[0].target
        if failure is not None and not self._may_retry(now, failure, target):
            return self._finish(_not_run_problem(failure))
        self._tried_targets.add(target)
        self._attempt_count += 1
        self._attempt = model.Attempt(
            attempt_id=len(self._tried_targets),
            request_id=self._plan.request_id,
            service=self._plan.service,
            target=target,
            shards=self._plan.shards,
            snapshot=self._plan.snapshot,
            deadline=self._plan.deadline,
            limit=self._plan.limit,
            kind=model.AttemptKind.RETRY if failure else model.AttemptKind.FIRST,
            idempotent=False,
        )
        return (machine.Send(self._attempt),)

    def _may_retry(
        self, now: float, failure: model.AttemptFailure, target: str
    ) -> bool:
        limit = self._plan.max_attempts
        if limit is not None and self._attempt_count >= limit:
            return False
        if refusals.reached_no_target(failure):
            return True
        return self._budget.try_spend(now, target)

    def _cancel(self) -> machine.Actions:
        if self._attempt is None:
            return ()
        return (machine.Cancel(self._attempt.attempt_id),)

    def _finish(self, outcome: model.Answer | problems.Problem) -> machine.Actions:
        self._finished = True
        return (machine.Finish(outcome),)

    def _deadline_problem(self) -> problems.Problem:
        if self._sent:
            return _uncertain_problem("no reply arrived before the deadline")
        return problems.not_run(
            problems.ProblemKind.DEADLINE_EXCEEDED,
            "the deadline passed before a target was free; "
            "allow a longer timeout_ms or retry later",
            RETRY_AFTER_SECONDS,
        )


def _uncertain_problem(reason: str) -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.RUN_UNCERTAIN,
        model.Outcome.UNKNOWN,
        f"the request may have run: {reason}; check its effect before repeating it "
        "under another Idempotency-Key",
    )


def _not_run_problem(failure: model.AttemptFailure | None) -> problems.Problem:
    if failure is None:
        return problems.not_run(
            problems.ProblemKind.NO_TARGET,
            "no target holds the request's shard; check that the service's targets "
            "are up and hold the published snapshot",
            RETRY_AFTER_SECONDS,
        )
    return problems.not_run(
        problems.ProblemKind.TARGET_REFUSED,
        f"no target ran the request ({failure.kind.value}); retry later",
        max(failure.retry_after, RETRY_AFTER_SECONDS),
    )
