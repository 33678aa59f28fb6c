"""Fan-out that sends shards to another instance as a subquery."""

import dataclasses

from jackdawpass.request import fanout, machine, model
from tests.request import fakes

REPLICAS = {0: ("a", "b"), 1: ("a", "b"), 2: ("c", "d")}


def test_shards_left_out_of_a_final_reply_are_not_retried() -> None:
    """Guards against retrying shards that an instance has already retried."""
    query = fanout.Fanout(
        fakes.plan(REPLICAS, "s1", min_coverage=0.1),
        fakes.FirstReplicaRouter(REPLICAS),
        fakes.FixedHedging(None),
        fakes.CountedBudget(10),
        fakes.FixedSource(),
    )
    first, _ = fakes.sends(query.start(0.0))
    final = dataclasses.replace(fakes.reply(first, {0}), is_final=True)
    assert not fakes.sends(query.on_reply(0.1, 1, final))
    (answer,) = fakes.outcomes(
        query.on_reply(0.2, 2, fakes.reply(_second_attempt(query)))
    )
    assert isinstance(answer, model.Answer)
    assert [each.shard for each in answer.coverage.missing] == [1]


def test_left_out_shards_are_asked_for_if_the_answer_needs_them() -> None:
    """Guards against a failed request although its deadline is far away."""
    query = fanout.Fanout(
        fakes.plan(REPLICAS, "s1", min_coverage=0.9),
        fakes.FirstReplicaRouter(REPLICAS),
        fakes.FixedHedging(None),
        fakes.CountedBudget(10),
        fakes.FixedSource(),
    )
    first, second = fakes.sends(query.start(0.0))
    final = dataclasses.replace(fakes.reply(first, {0}), is_final=True)
    (retry,) = fakes.sends(query.on_reply(0.1, 1, final))
    assert retry.shards == frozenset({1}) and retry.kind is model.AttemptKind.RETRY
    query.on_reply(0.2, 2, fakes.reply(second))
    (answer,) = fakes.outcomes(query.on_reply(0.3, 3, fakes.reply(retry)))
    assert isinstance(answer, model.Answer) and answer.complete


def _second_attempt(query: fanout.Fanout) -> model.Attempt:
    return model.Attempt(
        2, "r1", "lots", "c", frozenset({2}), "s1", 1.0, 5, model.AttemptKind.FIRST
    )


class SubqueryRouter:
    """Router that assigns all shards to one instance first."""

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        if not excluded:
            return (machine.Assignment("instance/b0", shards),)
        return tuple(machine.Assignment(f"t{s}", frozenset({s})) for s in shards)


def test_declined_shards_cost_no_attempt_and_no_budget() -> None:
    """Guards against an answer without the shards of an instance that stops."""
    query = fanout.Fanout(
        fakes.plan(REPLICAS, "s1", max_attempts=1),
        SubqueryRouter(),
        fakes.FixedHedging(None),
        fakes.CountedBudget(0),
        fakes.FixedSource(),
    )
    query.start(0.0)
    declined = model.AttemptFailure(
        model.FailureKind.DECLINED, model.Execution.NOT_SENT
    )
    assert len(fakes.sends(query.on_failure(0.1, 1, declined))) == len(REPLICAS)


def _subquery_fanout(hedge_delay: float) -> fanout.Fanout:
    return fanout.Fanout(
        fakes.plan(REPLICAS, "s1", early_after=0.5, hedge_from_start=True),
        SubqueryRouter(),
        fakes.FixedHedging(hedge_delay),
        fakes.CountedBudget(10),
        fakes.FixedSource(),
    )


def test_unaccepted_subquery_is_hedged_directly() -> None:
    """Guards against missing shards when an instance does not respond."""
    query = _subquery_fanout(0.1)
    query.start(0.0)
    assert len(fakes.sends(query.on_timer(0.1))) == len(REPLICAS)


def test_accepted_subquery_is_not_hedged_until_its_reply_is_due() -> None:
    """Guards against a second hedge of shards that an instance already hedges."""
    query = _subquery_fanout(0.1)
    query.start(0.0)
    query.on_accepted(0.05, 1)
    assert not fakes.sends(query.on_timer(0.1))
    assert not fakes.sends(query.on_timer(0.5))
    assert len(fakes.sends(query.on_timer(0.6))) == len(REPLICAS)
