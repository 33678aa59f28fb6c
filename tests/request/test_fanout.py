"""Fan-out of a query: hedges, retries, restarts, coverage and its end."""

import pytest

from jackdawpass.request import fanout, machine, model, problems
from tests.request import fakes

REPLICAS = {0: ("a", "b"), 1: ("a", "b"), 2: ("c", "d")}
NOT_SENT = model.Execution.NOT_SENT
REFUSED = model.Execution.REFUSED_NOT_RUN


def _fanout(
    replicas: fakes.Replicas = REPLICAS,
    hedge_delay: float | None = None,
    tokens: int = 10,
    newer: machine.PinnedSnapshot | None = None,
    **changes: object,
) -> fanout.Fanout:
    return fanout.Fanout(
        fakes.plan(replicas, "s1", **changes),
        fakes.FirstReplicaRouter(replicas),
        fakes.FixedHedging(hedge_delay),
        fakes.CountedBudget(tokens),
        fakes.FixedSource(newer),
    )


def _answer(actions: machine.Actions) -> model.Answer:
    (outcome,) = fakes.outcomes(actions)
    assert isinstance(outcome, model.Answer)
    return outcome


def _problem(actions: machine.Actions) -> problems.Problem:
    (outcome,) = fakes.outcomes(actions)
    assert isinstance(outcome, problems.Problem)
    return outcome


def test_one_message_per_target() -> None:
    """Guards against one message per shard, which would overload the targets."""
    attempts = fakes.sends(_fanout().start(0.0))
    assert [(each.target, sorted(each.shards)) for each in attempts] == [
        ("a", [0, 1]),
        ("c", [2]),
    ]


def test_complete_answer_after_the_last_reply() -> None:
    """Guards against an answer that omits or duplicates a shard's results."""
    query = _fanout()
    first, second = fakes.sends(query.start(0.0))
    assert not fakes.outcomes(query.on_reply(0.1, 1, fakes.reply(first)))
    answer = _answer(query.on_reply(0.2, 2, fakes.reply(second)))
    assert answer.complete
    ids = [item.item_id for item in answer.results]
    assert sorted(ids) == ["0-0", "0-1", "1-0", "1-1", "2-0", "2-1"]


def test_superseded_attempt_is_cancelled() -> None:
    """Guards against a duplicate result and a superseded attempt that runs on."""
    query = _fanout(hedge_delay=0.1)
    first, second = fakes.sends(query.start(0.0))
    query.on_sent(0.0, 1)
    query.on_sent(0.0, 2)
    query.on_reply(0.05, 2, fakes.reply(second))
    (hedge,) = fakes.sends(query.on_timer(0.1))
    assert (hedge.target, hedge.kind) == ("b", model.AttemptKind.HEDGE)
    actions = query.on_reply(0.2, hedge.attempt_id, fakes.reply(hedge))
    assert fakes.cancels(actions) == [first.attempt_id]
    answer = _answer(actions)
    assert len(answer.results) == 6
    assert query.on_reply(0.3, first.attempt_id, fakes.reply(first)) == ()


def test_hedge_needs_budget() -> None:
    """Guards against hedges that double the load of a slow service."""
    query = _fanout(hedge_delay=0.1, tokens=0)
    query.start(0.0)
    query.on_sent(0.0, 1)
    assert not fakes.sends(query.on_timer(0.1))


def test_attempt_is_hedged_once() -> None:
    """Guards against a hedge at each later timer."""
    query = _fanout({0: ("a", "b", "c")}, hedge_delay=0.1)
    query.start(0.0)
    query.on_sent(0.0, 1)
    assert len(fakes.sends(query.on_timer(0.1))) == 1
    assert not fakes.sends(query.on_timer(0.2))


def test_hedge_that_straggles_is_hedged() -> None:
    """Guards against waiting for two stragglers while a third replica is idle."""
    query = _fanout({0: ("a", "b", "c")}, hedge_delay=0.1)
    query.start(0.0)
    query.on_sent(0.0, 1)
    query.on_timer(0.1)
    query.on_sent(0.1, 2)
    (second,) = fakes.sends(query.on_timer(0.2))
    assert (second.target, second.kind) == ("c", model.AttemptKind.HEDGE)
    actions = query.on_reply(0.25, second.attempt_id, fakes.reply(second))
    assert sorted(fakes.cancels(actions)) == [1, 2]


def test_no_hedge_while_most_of_a_query_is_unanswered() -> None:
    """Guards against a burst of hedges before the service is known to be slow."""
    placement = {shard: (f"a{shard}", f"b{shard}") for shard in range(10)}
    query = _fanout(placement, hedge_delay=0.1, tokens=100)
    attempts = fakes.sends(query.start(0.0))
    for attempt in attempts:
        query.on_sent(0.0, attempt.attempt_id)
    assert not fakes.sends(query.on_timer(0.1))
    for attempt in attempts[:5]:
        query.on_reply(0.15, attempt.attempt_id, fakes.reply(attempt))
    assert len(fakes.sends(query.on_timer(0.2))) == 5


def test_hedge_without_budget_is_tried_again() -> None:
    """Guards against a straggler that is never hedged after one refusal."""
    budget = fakes.CountedBudget(0)
    placement = {0: ("a", "b")}
    query = fanout.Fanout(
        fakes.plan(placement),
        fakes.FirstReplicaRouter(placement),
        fakes.FixedHedging(0.1),
        budget,
        fakes.FixedSource(),
    )
    query.start(0.0)
    query.on_sent(0.0, 1)
    assert not fakes.sends(query.on_timer(0.1))
    budget.tokens = 1
    assert len(fakes.sends(query.on_timer(0.2))) == 1


def test_failed_attempt_is_retried_on_another_replica() -> None:
    """Guards against missing shards although another replica is up."""
    query = _fanout()
    query.start(0.0)
    (retry,) = fakes.sends(query.on_failure(0.1, 1, fakes.failure()))
    assert (retry.target, sorted(retry.shards)) == ("b", [0, 1])
    assert retry.kind is model.AttemptKind.RETRY


def test_retry_of_an_attempt_that_reached_no_target_is_free() -> None:
    """Guards against missing shards when a lost replica has used up the budget."""
    query = _fanout(tokens=0)
    query.start(0.0)
    unreachable = fakes.failure(model.FailureKind.CONNECT_FAILED, NOT_SENT)
    (retry,) = fakes.sends(query.on_failure(0.1, 1, unreachable))
    assert retry.target == "b"
    assert not fakes.sends(query.on_failure(0.2, 2, fakes.failure()))


def test_no_retry_while_a_hedge_covers_the_shards() -> None:
    """Guards against a third attempt when the hedged one fails."""
    query = _fanout({0: ("a", "b", "c")}, hedge_delay=0.1)
    query.start(0.0)
    query.on_sent(0.0, 1)
    query.on_timer(0.1)
    assert not fakes.sends(query.on_failure(0.2, 1, fakes.failure()))


def test_deadline_gives_a_partial_answer_with_reasons() -> None:
    """Guards against a late answer and against coverage that omits a missing shard."""
    query = _fanout()
    first, _ = fakes.sends(query.start(0.0))
    query.on_sent(0.0, 1)
    query.on_reply(0.5, 1, fakes.reply(first))
    actions = query.on_timer(1.0)
    assert fakes.cancels(actions) == [2]
    answer = _answer(actions)
    assert answer.coverage.missing == (
        model.MissingShard(2, model.MissingReason.TIMED_OUT),
    )


def test_omitted_shard_is_not_covered() -> None:
    """Guards against counting a shard that its reply left out."""
    query = _fanout(tokens=0)
    first, second = fakes.sends(query.start(0.0))
    query.on_reply(0.1, 1, fakes.reply(first, shards=[0]))
    answer = _answer(query.on_reply(0.2, 2, fakes.reply(second)))
    assert [missing.shard for missing in answer.coverage.missing] == [1]


def test_unasked_shard_is_ignored() -> None:
    """Guards against results of a shard that another target was asked for."""
    query = _fanout()
    first, second = fakes.sends(query.start(0.0))
    query.on_reply(0.1, 1, fakes.reply(first, shards=[0, 1, 2]))
    answer = _answer(query.on_reply(0.2, 2, fakes.reply(second, shards=[2])))
    assert len(answer.results) == 6


def test_reply_of_another_snapshot_is_not_merged() -> None:
    """Guards against an answer drawn from two snapshots."""
    query = _fanout(tokens=0)
    first, second = fakes.sends(query.start(0.0))
    query.on_reply(0.1, 1, fakes.reply(first, snapshot="s2"))
    answer = _answer(query.on_reply(0.2, 2, fakes.reply(second)))
    assert {item.value for item in answer.results} == {"s1"}
    assert answer.coverage.missing[0].reason is model.MissingReason.SNAPSHOT_GONE


def test_restarts_when_the_snapshot_is_gone() -> None:
    """Guards against mixed snapshots, and failing while a newer one is published."""
    newer = fakes.pinned("s2", {0: ("a",), 1: ("c",)})
    query = _fanout(newer=newer)
    first, second = fakes.sends(query.start(0.0))
    query.on_reply(0.1, 1, fakes.reply(first))
    gone = fakes.failure(model.FailureKind.SNAPSHOT_NOT_HELD, REFUSED)
    (retry,) = fakes.sends(query.on_failure(0.2, 2, gone))
    restarted = fakes.sends(query.on_failure(0.3, retry.attempt_id, gone))
    assert {each.snapshot for each in restarted} == {"s2"}
    assert {each.kind for each in restarted} == {model.AttemptKind.RESTART}
    assert query.on_reply(0.4, second.attempt_id, fakes.reply(second)) == ()
    actions: machine.Actions = ()
    for attempt in restarted:
        actions = query.on_reply(0.5, attempt.attempt_id, fakes.reply(attempt))
    answer = _answer(actions)
    assert answer.snapshot == "s2"
    assert {item.value for item in answer.results} == {"s2"}
    assert answer.coverage == model.Coverage(2, 2)


def test_restarts_only_once() -> None:
    """Guards against restarting repeatedly while new snapshots are published."""
    source = fakes.FixedSource(fakes.pinned("s2", {0: ("a",)}))
    query = fanout.Fanout(
        fakes.plan({0: ("a",)}),
        fakes.FirstReplicaRouter({0: ("a",)}),
        fakes.FixedHedging(None),
        fakes.CountedBudget(5),
        source,
    )
    query.start(0.0)
    gone = fakes.failure(model.FailureKind.SNAPSHOT_NOT_HELD, REFUSED)
    (second,) = fakes.sends(query.on_failure(0.1, 1, gone))
    source.pinned = fakes.pinned("s3", {0: ("a",)})
    problem = _problem(query.on_failure(0.2, second.attempt_id, gone))
    assert problem.outcome is model.Outcome.NOT_RUN


def test_not_run_when_nothing_was_sent() -> None:
    """Guards against `incomplete` for a query that reached no target."""
    query = _fanout({0: ("a",)})
    query.start(0.0)
    full = fakes.failure(model.FailureKind.QUEUE_FULL, NOT_SENT)
    problem = _problem(query.on_failure(0.1, 1, full))
    assert problem.outcome is model.Outcome.NOT_RUN
    assert problem.kind is problems.ProblemKind.OVERLOADED
    assert problem.retry_after


def test_not_run_when_every_target_refuses() -> None:
    """Guards against `incomplete` when the targets refused before running."""
    query = _fanout({0: ("a",)})
    query.start(0.0)
    query.on_sent(0.0, 1)
    shed = fakes.failure(model.FailureKind.SHED, REFUSED)
    assert _problem(query.on_failure(0.1, 1, shed)).outcome is model.Outcome.NOT_RUN


def test_incomplete_once_a_target_may_have_run() -> None:
    """Guards against `not_run` for a query that a target may have run."""
    query = _fanout({0: ("a",)})
    query.start(0.0)
    query.on_sent(0.0, 1)
    problem = _problem(query.on_failure(0.1, 1, fakes.failure()))
    assert problem.outcome is model.Outcome.INCOMPLETE


def test_incomplete_when_a_cancelled_attempt_may_have_run() -> None:
    """Guards against forgetting a sent attempt whose reply did not arrive."""
    query = _fanout({0: ("a",)})
    query.start(0.0)
    query.on_sent(0.0, 1)
    assert _problem(query.on_timer(1.0)).outcome is model.Outcome.INCOMPLETE


def test_unreachable_coverage_ends_the_query_early() -> None:
    """Guards against waiting for a coverage that can no longer be reached."""
    query = _fanout(tokens=0, min_coverage=1.0)
    query.start(0.0)
    query.on_sent(0.0, 1)
    actions = query.on_failure(0.1, 1, fakes.failure())
    assert _problem(actions).kind is problems.ProblemKind.COVERAGE_TOO_LOW
    assert fakes.cancels(actions) == [2]


@pytest.mark.parametrize("reply_first", [True, False])
def test_early_answer_favours_latency(reply_first: bool) -> None:
    """Guards against waiting for a straggler when the service favours latency."""
    query = _fanout(early_after=0.3, early_coverage=0.6)
    first, _ = fakes.sends(query.start(0.0))
    if reply_first:
        query.on_reply(0.1, 1, fakes.reply(first))
        actions = query.on_timer(0.3)
    else:
        assert not fakes.outcomes(query.on_timer(0.3))
        actions = query.on_reply(0.4, 1, fakes.reply(first))
    answer = _answer(actions)
    assert (answer.coverage.covered, answer.coverage.shards) == (2, 3)
    assert answer.coverage.missing[0].reason is model.MissingReason.NOT_AWAITED


def test_caller_gone_cancels_everything() -> None:
    """Guards against targets that work for a caller that disconnected."""
    query = _fanout()
    query.start(0.0)
    actions = query.on_caller_gone(0.1)
    assert fakes.cancels(actions) == [1, 2]
    assert not fakes.outcomes(actions)
    assert query.on_timer(1.0) == ()


def test_missing_replica_is_reported() -> None:
    """Guards against reporting a shard without a target as timed out."""
    query = _fanout({0: ("a",), 1: ()})
    (only,) = fakes.sends(query.start(0.0))
    answer = _answer(query.on_reply(0.1, 1, fakes.reply(only)))
    assert answer.coverage.missing == (
        model.MissingShard(1, model.MissingReason.NO_REPLICA),
    )


def test_no_target_at_all_is_refused() -> None:
    """Guards against an empty answer when no target holds a shard."""
    problem = _problem(_fanout({0: ()}).start(0.0))
    assert problem.kind is problems.ProblemKind.NO_TARGET
    assert problem.outcome is model.Outcome.NOT_RUN


def test_timer_is_set_to_the_next_event() -> None:
    """Guards against a missed hedge or deadline."""
    query = _fanout(hedge_delay=0.1, early_after=0.5)
    assert machine.WakeAt(0.5) in query.start(0.0)
    assert machine.WakeAt(0.1) in query.on_sent(0.0, 1)
    assert machine.WakeAt(0.5) in query.on_timer(0.1)
    assert machine.WakeAt(1.0) in query.on_timer(0.5)
