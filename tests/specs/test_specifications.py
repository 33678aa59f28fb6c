import dataclasses

import pytest

from specs import checker, claim, commit, distribution

# Some faults make the full exploration long; counterexamples appear much earlier.
MAX_FAULTY_STATES = 300_000


def test_claim_holds_for_two_processes() -> None:
    """Guards against a claim protocol that can run a request twice."""
    report = checker.check(claim.specification(2))
    assert report.proved
    assert report.states > 1000


def test_commit_holds_for_two_operators() -> None:
    """Guards against a change that is applied twice or reported wrongly."""
    report = checker.check(commit.specification(2))
    assert report.proved
    assert report.states > 1000


def test_distribution_holds_and_stays_live() -> None:
    """Guards against a version that reverts or never reaches all instances."""
    report = checker.check(distribution.specification())
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
            "not_run_never_ran",
        ),
        (
            claim.specification(2, claim.Faults(refuse_unread=True)),
            "not_run_is_known",
        ),
        (
            claim.specification(2, claim.Faults(answer_without_run=True)),
            "answers_come_from_a_run",
        ),
        (commit.specification(2, commit.Faults(unconditional=True)), "applied_once"),
        (
            commit.specification(2, commit.Faults(retry_without_lookup=True)),
            "applied_once",
        ),
        (
            commit.specification(2, commit.Faults(ignore_uncertainty=True)),
            "refused_is_not_committed",
        ),
        (
            commit.specification(2, commit.Faults(assume_accepted=True)),
            "accepted_is_committed",
        ),
        (
            distribution.specification(distribution.Faults(accept_older=True)),
            "never_reverts",
        ),
        (
            distribution.specification(distribution.Faults(read_uncommitted=True)),
            "only_committed",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "mutated",
)
def test_protocol_fault_violates_the_invariant(
    specification: checker.Specification, invariant: str
) -> None:
    """Guards against an invariant that no protocol fault violates."""
    safety_only = dataclasses.replace(specification, goal=None)
    report = checker.check(safety_only, MAX_FAULTY_STATES)
    assert invariant in report.violated


def test_missing_update_on_link_up_breaks_liveness() -> None:
    """Guards against a liveness goal that no protocol fault violates."""
    report = checker.check(
        distribution.specification(distribution.Faults(skip_link_up_updates=True))
    )
    assert report.live is False
