"""Claims for non-idempotent requests in a store that fails or loses replies."""

import typing

import hypothesis
import pytest
from hypothesis import strategies as st
from returns import result
from twisted.internet import defer

from jackdawpass.request import claims, model, problems
from tests import fake_platform

KEY = claims.object_key("lots", "order-1")
ANSWER = {"results": [1, 2]}


def _result_of(deferred: "defer.Deferred[typing.Any]") -> typing.Any:
    """Return the result of a Deferred that has fired."""
    results: list[typing.Any] = []
    deferred.addCallback(results.append)
    assert results, "the Deferred has not fired"
    return results[0]


def _acquire(
    platform: fake_platform.FakePlatform, writer: str, request_hash: str = "h"
) -> claims.AcquireResult:
    acquired: claims.AcquireResult = _result_of(
        claims.acquire(platform, KEY, writer, request_hash)
    )
    return acquired


@pytest.fixture
def platform() -> fake_platform.FakePlatform:
    return fake_platform.FakePlatform()


def _claim(acquired: claims.AcquireResult) -> claims.Claim:
    claim = acquired.unwrap()
    assert isinstance(claim, claims.Claim)
    return claim


def test_second_writer_gets_no_claim(platform: fake_platform.FakePlatform) -> None:
    """Guards against two instances that run one request."""
    _claim(_acquire(platform, "w1"))
    problem = _acquire(platform, "w2").failure()
    assert problem.outcome is model.Outcome.UNKNOWN


def test_lost_reply_is_resolved_by_reading(
    platform: fake_platform.FakePlatform,
) -> None:
    """Guards against refusing a request whose claim was stored."""
    platform.script.append("lost")
    assert _claim(_acquire(platform, "w1")).content.writer == "w1"


def test_dropped_write_is_tried_again(platform: fake_platform.FakePlatform) -> None:
    """Guards against running without a claim after a write that had no effect."""
    platform.script.append("dropped")
    _claim(_acquire(platform, "w1"))
    assert platform.objects[KEY][1]["writer"] == "w1"


@pytest.mark.parametrize("has_run", [False, True])
def test_platform_down_does_not_say_not_run(
    platform: fake_platform.FakePlatform, has_run: bool
) -> None:
    """Guards against `not_run` for a key whose request an earlier caller ran.

    Whether there was one cannot be read while the platform is down.
    """
    if has_run:
        claim = _claim(_acquire(platform, "w0"))
        _result_of(claims.record(platform, claim, claims.ClaimState.DONE, ANSWER))
    platform.script.extend(["down"] * 20)
    problem = _acquire(platform, "w1").failure()
    assert problem.kind is problems.ProblemKind.CLAIM_UNAVAILABLE
    assert problem.outcome is model.Outcome.UNKNOWN
    assert problem.retry_after is not None


def test_key_that_is_read_as_absent_has_not_run(
    platform: fake_platform.FakePlatform,
) -> None:
    """Guards against an uncertain outcome where the store shows that nothing ran."""
    platform.script.extend(["dropped", "ok"] * claims.ACQUIRE_TRIES)
    problem = _acquire(platform, "w1").failure()
    assert problem.kind is problems.ProblemKind.CLAIM_UNAVAILABLE
    assert problem.outcome is model.Outcome.NOT_RUN


def test_repeat_gets_the_recorded_answer(platform: fake_platform.FakePlatform) -> None:
    """Guards against a repeat that runs again or loses the answer."""
    claim = _claim(_acquire(platform, "w1"))
    assert _result_of(claims.record(platform, claim, claims.ClaimState.DONE, ANSWER))
    assert _acquire(platform, "w2").unwrap() == model.RecordedAnswer(ANSWER)


def test_answer_too_large_to_keep_is_unknown(
    platform: fake_platform.FakePlatform,
) -> None:
    """Guards against a record that is too large for the platform's store."""
    claim = _claim(_acquire(platform, "w1"))
    large = {"results": "x" * claims.MAX_RECORD_BYTES}
    assert _result_of(claims.record(platform, claim, claims.ClaimState.DONE, large))
    assert _acquire(platform, "w2").failure().outcome is model.Outcome.UNKNOWN


def test_not_run_may_be_taken_over_once(platform: fake_platform.FakePlatform) -> None:
    """Guards against a key that is blocked after `not_run`, and against two holders."""
    claim = _claim(_acquire(platform, "w1"))
    assert _result_of(claims.record(platform, claim, claims.ClaimState.NOT_RUN))
    _claim(_acquire(platform, "w2"))
    assert _acquire(platform, "w3").failure().outcome is model.Outcome.UNKNOWN


def test_late_record_of_a_former_holder_changes_nothing(
    platform: fake_platform.FakePlatform,
) -> None:
    """Guards against a paused holder that overwrites its successor's claim."""
    claim = _claim(_acquire(platform, "w1"))
    _result_of(claims.record(platform, claim, claims.ClaimState.NOT_RUN))
    _claim(_acquire(platform, "w2"))
    assert not _result_of(claims.record(platform, claim, claims.ClaimState.NOT_RUN))
    assert platform.objects[KEY][1]["writer"] == "w2"


def test_key_of_another_request_is_refused(
    platform: fake_platform.FakePlatform,
) -> None:
    """Guards against answering one request with the answer of another."""
    claim = _claim(_acquire(platform, "w1", "h1"))
    _result_of(claims.record(platform, claim, claims.ClaimState.DONE, ANSWER))
    problem = _acquire(platform, "w2", "h2").failure()
    assert problem.outcome is model.Outcome.NOT_RUN


def test_release_frees_a_claim_stored_behind_a_refusal(
    platform: fake_platform.FakePlatform,
) -> None:
    """Guards against a key blocked by a request that was refused as not run."""
    platform.script.extend(["lost", "down", "down", "down", "down", "down"])
    assert isinstance(_acquire(platform, "w1"), result.Failure)
    assert _result_of(claims.release(platform, KEY, "w1"))
    _claim(_acquire(platform, "w2"))


WRITE_OUTCOMES = st.lists(
    st.sampled_from(("ok", "lost", "dropped", "down")), max_size=12
)
ENDS = st.sampled_from(("run", "give_up", "crash"))


@hypothesis.settings(max_examples=500, deadline=None, derandomize=True)
@hypothesis.given(st.lists(st.tuples(WRITE_OUTCOMES, ENDS), min_size=1, max_size=6))
def test_at_most_one_of_many_requests_runs(
    requests: list[tuple[list[str], str]],
) -> None:
    """Guards against a second run for any sequence of lost writes and crashes."""
    platform = fake_platform.FakePlatform()
    runs = 0
    for number, (write_outcomes, end) in enumerate(requests):
        writer = f"w{number}"
        platform.script.extend(write_outcomes)
        acquired = _acquire(platform, writer)
        if isinstance(acquired, result.Failure):
            problem = acquired.failure()
            if problem.kind is problems.ProblemKind.CLAIM_UNAVAILABLE:
                _result_of(claims.release(platform, KEY, writer))
        elif isinstance(acquired.unwrap(), claims.Claim):
            claim = _claim(acquired)
            if end == "give_up":
                _result_of(claims.record(platform, claim, claims.ClaimState.NOT_RUN))
            else:
                runs += 1
                if end == "run":
                    done = claims.ClaimState.DONE
                    _result_of(claims.record(platform, claim, done, ANSWER))
        else:
            assert runs == 1, "a recorded answer without a run"
        platform.script.clear()
    assert runs <= 1
