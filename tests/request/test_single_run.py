"""Run of a non-idempotent request at most once."""

import hypothesis
from hypothesis import strategies as st

from jackdawpass.request import machine, model, problems, single_run
from tests.request import fakes

REPLICAS = {0: ("a", "b")}
NOT_SENT = model.Execution.NOT_SENT
REFUSED = model.Execution.REFUSED_NOT_RUN


def _run(
    replicas: fakes.Replicas = REPLICAS, tokens: int = 10, recorded: bool = False
) -> single_run.SingleRun:
    return single_run.SingleRun(
        fakes.plan(replicas),
        fakes.FirstReplicaRouter(replicas),
        fakes.CountedBudget(tokens),
        recorded,
    )


def _problem(actions: machine.Actions) -> problems.Problem:
    (outcome,) = fakes.outcomes(actions)
    assert isinstance(outcome, problems.Problem)
    return outcome


def test_second_target_only_after_proof_that_the_first_did_not_run() -> None:
    """Guards against a request that is dropped although another target is free."""
    run = _run()
    (first,) = fakes.sends(run.start(0.0))
    shed = fakes.failure(model.FailureKind.SHED, REFUSED)
    (second,) = fakes.sends(run.on_failure(0.1, 1, shed))
    assert (first.target, second.target) == ("a", "b")
    assert not second.idempotent


def test_uncertain_failure_is_not_retried() -> None:
    """Guards against a second run after a lost reply."""
    run = _run()
    run.start(0.0)
    run.on_sent(0.0, 1)
    actions = run.on_failure(0.1, 1, fakes.failure())
    assert not fakes.sends(actions)
    assert _problem(actions).outcome is model.Outcome.UNKNOWN


def test_deadline_after_sending_is_unknown() -> None:
    """Guards against `not_run` for a request that may still run."""
    run = _run()
    run.start(0.0)
    run.on_sent(0.0, 1)
    assert _problem(run.on_timer(1.0)).outcome is model.Outcome.UNKNOWN


def test_timer_that_fires_early_is_set_again() -> None:
    """Guards against a request that never ends because its timer fired early."""
    run = _run()
    run.start(0.0)
    run.on_sent(0.0, 1)
    assert run.on_timer(0.9999) == (machine.WakeAt(1.0),)
    assert _problem(run.on_timer(1.0)).outcome is model.Outcome.UNKNOWN


def test_deadline_before_sending_is_not_run_and_cancelled() -> None:
    """Guards against sending a request after it was reported as not run."""
    run = _run()
    run.start(0.0)
    actions = run.on_timer(1.0)
    assert fakes.cancels(actions) == [1]
    assert _problem(actions).outcome is model.Outcome.NOT_RUN


def test_reply_of_another_snapshot_is_unknown() -> None:
    """Guards against an answer drawn from another snapshot than it names."""
    run = _run()
    (first,) = fakes.sends(run.start(0.0))
    actions = run.on_reply(0.1, 1, fakes.reply(first, snapshot="s2"))
    assert _problem(actions).outcome is model.Outcome.UNKNOWN


def test_recorded_run_continues_without_its_caller() -> None:
    """Guards against a run whose outcome a repeat cannot get."""
    run = _run(recorded=True)
    (first,) = fakes.sends(run.start(0.0))
    run.on_sent(0.0, 1)
    assert run.on_caller_gone(0.1) == ()
    (outcome,) = fakes.outcomes(run.on_reply(0.2, 1, fakes.reply(first)))
    assert isinstance(outcome, model.Answer)


def test_unsent_run_is_cancelled_with_its_caller() -> None:
    """Guards against running a request whose caller has disconnected."""
    run = _run(recorded=True)
    run.start(0.0)
    assert fakes.cancels(run.on_caller_gone(0.1)) == [1]


def test_shard_of_a_key_is_stable() -> None:
    """Guards against instances that send one key to different shards."""
    assert [single_run.shard_for_key(f"key-{n}", 16) for n in range(4)] == [8, 9, 4, 6]


EVENTS = st.sampled_from(("sent", "reply", "fail", "refuse", "not_sent", "timer"))


@hypothesis.settings(max_examples=500, deadline=None, derandomize=True)
@hypothesis.given(st.lists(EVENTS, max_size=12))
def test_runs_at_most_once(events: list[str]) -> None:
    """Guards against a further attempt once one may have run, in any event order."""
    run = _run({0: ("a", "b", "c")})
    sent = fakes.sends(run.start(0.0))
    may_have_run = False
    outcome: object = None
    for position, event in enumerate(events):
        current = sent[-1]
        number = current.attempt_id
        now = position / 100
        if event == "sent":
            may_have_run = True
            actions = run.on_sent(now, number)
        elif event == "reply":
            may_have_run = True
            actions = run.on_reply(now, number, fakes.reply(current))
        elif event == "fail":
            may_have_run = True
            actions = run.on_failure(now, number, fakes.failure())
        elif event == "timer":
            actions = run.on_timer(1.0)
        else:
            execution = REFUSED if event == "refuse" else NOT_SENT
            if outcome is None:
                may_have_run = False
            shed = fakes.failure(model.FailureKind.SHED, execution)
            actions = run.on_failure(now, number, shed)
        new = fakes.sends(actions)
        assert not (new and may_have_run), "sent again although it may have run"
        sent += new
        finished = fakes.outcomes(actions)
        assert not (finished and outcome), "finished twice"
        if finished:
            outcome = finished[0]
            if isinstance(outcome, problems.Problem):
                claims_not_run = outcome.outcome is model.Outcome.NOT_RUN
                assert claims_not_run == (not may_have_run)
