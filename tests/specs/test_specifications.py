import dataclasses

import pytest

from specs import checker, claim, commit, spread

# A counterexample is shorter than a full exploration, which some mutants make long.
MUTANT_MAX_STATES = 300_000


def test_claim_holds_for_two_processes() -> None:
    """Guards against a claim protocol that lets a request run twice."""
    report = checker.check(claim.specification(2))
    assert report.proved
    assert report.states > 1000


def test_commit_holds_for_two_operators() -> None:
    """Guards against a change that is applied twice or reported wrongly."""
    report = checker.check(commit.specification(2))
    assert report.proved
    assert report.states > 1000


def test_spread_holds_and_stays_live() -> None:
    """Guards against a version that reverts or is never in force everywhere."""
    report = checker.check(spread.specification())
    assert report.proved
    assert report.live
    assert report.states > 1000


@pytest.mark.parametrize(
    ("specification", "invariant"),
    [
        (
            claim.specification(2, claim.Faults(trust_missing=True)),
            "runs_at_most_once",
        ),
        (
            claim.specification(3, claim.Faults(take_over_unconditionally=True)),
            "runs_at_most_once",
        ),
        (
            claim.specification(2, claim.Faults(retry_uncertain_run=True)),
            "runs_at_most_once",
        ),
        (
            claim.specification(2, claim.Faults(refuse_after_sending=True)),
            "not_run_is_truth",
        ),
        (
            claim.specification(2, claim.Faults(answer_without_run=True)),
            "answers_come_from_a_run",
        ),
        (commit.specification(2, commit.Faults(unconditional=True)), "applied_once"),
        (commit.specification(2, commit.Faults(repeat_blindly=True)), "applied_once"),
        (commit.specification(2, commit.Faults(ignore_doubt=True)), "refused_is_truth"),
        (commit.specification(2, commit.Faults(trust_doubt=True)), "accepted_is_truth"),
        (spread.specification(spread.Faults(accept_older=True)), "never_reverts"),
        (spread.specification(spread.Faults(invent_version=True)), "only_committed"),
    ],
    ids=lambda value: value if isinstance(value, str) else "mutated",
)
def test_mutated_protocol_breaks_the_invariant(
    specification: checker.Specification, invariant: str
) -> None:
    """Guards against an invariant that can't fail."""
    safety_only = dataclasses.replace(specification, goal=None)
    report = checker.check(safety_only, MUTANT_MAX_STATES)
    assert invariant in report.broken


def test_silent_link_breaks_liveness() -> None:
    """Guards against a goal that can't be missed."""
    report = checker.check(spread.specification(spread.Faults(silent_link_up=True)))
    assert report.live is False
