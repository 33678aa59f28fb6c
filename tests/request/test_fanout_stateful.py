"""Comparison of a fan-out under arbitrary events with a simple model."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from jackdawpass.request import fanout, machine, model, problems
from tests.request import fakes

TARGETS = ("a", "b", "c", "d")
KINDS = st.sampled_from(list(model.FailureKind))
EXECUTIONS = st.sampled_from(list(model.Execution))


@st.composite
def _replicas(draw: st.DrawFn) -> dict[int, tuple[str, ...]]:
    count = draw(st.integers(1, 6))
    holders = st.lists(st.sampled_from(TARGETS), max_size=3, unique=True)
    return {shard: tuple(draw(holders)) for shard in range(count)}


class FanoutMachine(stateful.RuleBasedStateMachine):
    """Model that stores only the accepted replies of the current snapshot."""

    @stateful.initialize(
        replicas=_replicas(),
        newer=st.none() | _replicas(),
        tokens=st.integers(0, 5),
        min_coverage=st.sampled_from((0.0, 0.5, 1.0)),
        early=st.none() | st.just(0.5),
    )
    def begin(
        self,
        replicas: dict[int, tuple[str, ...]],
        newer: dict[int, tuple[str, ...]] | None,
        tokens: int,
        min_coverage: float,
        early: float | None,
    ) -> None:
        self.now = 0.0
        self.budget = fakes.CountedBudget(tokens)
        self.tokens = tokens
        self.min_coverage = min_coverage
        self.shards = {"s1": frozenset(replicas)}
        pinned = None
        if newer is not None:
            self.shards["s2"] = frozenset(newer)
            pinned = fakes.pinned("s2", newer)
        self.attempts: dict[int, model.Attempt] = {}
        self.open: set[int] = set()
        self.maybe_run: set[int] = set()
        self.accepted: dict[str, dict[int, int]] = {"s1": {}, "s2": {}}
        self.outcome: model.Answer | problems.Problem | None = None
        self.extra = 0
        plan = fakes.plan(
            replicas,
            min_coverage=min_coverage,
            early_after=early,
            early_coverage=0.5,
        )
        self.query = fanout.Fanout(
            plan,
            fakes.FirstReplicaRouter(replicas),
            fakes.FixedHedging(0.2),
            self.budget,
            fakes.FixedSource(pinned),
        )
        self._take(self.query.start(self.now))

    def _take(self, actions: machine.Actions, is_free: bool = False) -> None:
        for action in actions:
            assert self.outcome is None, "an action follows the outcome"
            match action:
                case machine.Send(attempt):
                    assert attempt.attempt_id not in self.attempts
                    self.attempts[attempt.attempt_id] = attempt
                    self.open.add(attempt.attempt_id)
                    if not is_free and attempt.kind in (
                        model.AttemptKind.HEDGE,
                        model.AttemptKind.RETRY,
                    ):
                        self.extra += 1
                case machine.Cancel(attempt_id):
                    assert attempt_id in self.open, "cancels what is not open"
                    self.open.remove(attempt_id)
                case machine.Finish(outcome):
                    self.outcome = outcome
                    self.maybe_run_at_end = set(self.maybe_run)
        if self.outcome is not None:
            assert not self.open, "an attempt is left open at the end"

    def _any(self, data: st.DataObject) -> model.Attempt | None:
        if not self.attempts:
            return None
        return self.attempts[data.draw(st.sampled_from(sorted(self.attempts)))]

    @stateful.rule(data=st.data())
    def sent(self, data: st.DataObject) -> None:
        if self.open:
            attempt_id = data.draw(st.sampled_from(sorted(self.open)))
            self.maybe_run.add(attempt_id)
            self._take(self.query.on_sent(self.now, attempt_id))

    @stateful.rule(data=st.data(), snapshot=st.sampled_from(("s1", "s2")))
    def reply(self, data: st.DataObject, snapshot: str) -> None:
        """Deliver a reply: late, repeated, incomplete or of the other snapshot."""
        attempt = self._any(data)
        if attempt is None:
            return
        any_shards = st.sets(st.integers(0, 5), max_size=6)
        shards = data.draw(st.just(attempt.shards) | any_shards)
        matches = snapshot == attempt.snapshot
        self.maybe_run.add(attempt.attempt_id)
        if attempt.attempt_id in self.open:
            self.open.remove(attempt.attempt_id)
            if matches:
                for shard in attempt.shards & shards:
                    covered = self.accepted[snapshot]
                    covered.setdefault(shard, attempt.attempt_id)
        answer = fakes.reply(attempt, shards, snapshot)
        self._take(self.query.on_reply(self.now, attempt.attempt_id, answer))

    @stateful.rule(data=st.data(), kind=KINDS, execution=EXECUTIONS)
    def failure(
        self, data: st.DataObject, kind: model.FailureKind, execution: model.Execution
    ) -> None:
        attempt = self._any(data)
        if attempt is None or attempt.attempt_id not in self.open:
            return
        self.open.remove(attempt.attempt_id)
        if execution is not model.Execution.MAY_HAVE_RUN:
            self.maybe_run.discard(attempt.attempt_id)
        else:
            self.maybe_run.add(attempt.attempt_id)
        event = model.AttemptFailure(kind, execution)
        # An attempt that reached no target added no load, so its retry is free.
        is_free = kind in (
            model.FailureKind.CONNECT_FAILED,
            model.FailureKind.DECLINED,
        )
        actions = self.query.on_failure(self.now, attempt.attempt_id, event)
        self._take(actions, is_free)

    @stateful.rule(step=st.sampled_from((0.0, 0.1, 0.3, 1.0)))
    def timer(self, step: float) -> None:
        self.now += step
        self._take(self.query.on_timer(self.now))
        if self.now >= 1.0:
            assert self.outcome is not None, "the deadline passed without an outcome"

    @stateful.invariant()
    def extra_attempts_are_paid(self) -> None:
        assert self.extra <= self.tokens

    @stateful.invariant()
    def one_attempt_per_target_and_shard(self) -> None:
        seen = collections.Counter(
            (each.snapshot, each.target, shard)
            for each in self.attempts.values()
            for shard in each.shards
        )
        assert all(count == 1 for count in seen.values())

    @stateful.invariant()
    def answer_is_what_the_model_accepted(self) -> None:
        if not isinstance(self.outcome, model.Answer):
            return
        accepted = self.accepted[self.outcome.snapshot]
        shards = self.shards[self.outcome.snapshot]
        coverage = self.outcome.coverage
        missing = {each.shard for each in coverage.missing}
        assert coverage.shards == len(shards)
        assert coverage.covered == len(accepted)
        assert missing == shards - accepted.keys()
        expected = {
            item.item_id
            for shard in accepted
            for item in fakes.items(self.outcome.snapshot, shard)
        }
        ids = [item.item_id for item in self.outcome.results]
        assert len(ids) == len(set(ids)), "a result is duplicated"
        assert set(ids) == expected
        assert {item.value for item in self.outcome.results} == {self.outcome.snapshot}
        assert coverage.ratio >= self.min_coverage

    @stateful.invariant()
    def not_run_is_true(self) -> None:
        if not isinstance(self.outcome, problems.Problem):
            return
        claims_not_run = self.outcome.outcome is model.Outcome.NOT_RUN
        assert claims_not_run == (not self.maybe_run_at_end)


FanoutMachine.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=30, deadline=None, derandomize=True
)
test_fanout_against_the_model = FanoutMachine.TestCase
