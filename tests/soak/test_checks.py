"""Each check of the soak reports the violation that it covers."""

import dataclasses
import typing

import pytest

from jackdawpass.standins import listed_target
from soak import checks, testbed

PATH = "/search/1"


def top_records(groups: typing.Iterable[str], path: str = PATH) -> bytes:
    records = [
        record
        for group in groups
        for record in listed_target.group_records(
            group, path, testbed.RECORDS_PER_GROUP
        )
    ]
    return b"".join(sorted(records, reverse=True)[: testbed.TOP_K])


def search_observation(**changes: typing.Any) -> checks.Observation:
    correct = checks.Observation(
        "r1",
        PATH,
        "front-0#0",
        1.0,
        1.1,
        200,
        ("s0:r1:1", "s1:r1:1", "s2:r1:1"),
        0,
        top_records(testbed.GROUPS),
    )
    return dataclasses.replace(correct, **changes)


def run_entry(request_id: str, at: float = 1.0) -> dict[str, object]:
    return {"request_id": request_id, "at": at}


def test_correct_answer_is_accepted() -> None:
    """Guards against violations reported for correct behaviour."""
    assert checks.check([search_observation()], {"s0-a": [run_entry("r1")]}) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"signatures": ("s0:r0:1", "s1:r1:1", "s2:r1:1")},
        {"signatures": ("s0:r1:1", "s0:r1:2", "s2:r1:1")},
        {"signatures": ("s0:r1:1", "s1:r1:1"), "body": top_records(("s0", "s1"))},
        {"signatures": ("s0:r1:1",), "missing": 2, "body": top_records(("s0",))},
        {"body": b"x" * 96},
        {"body": top_records(testbed.GROUPS)[:-16]},
    ],
)
def test_wrong_answer_is_reported(changes: dict[str, typing.Any]) -> None:
    """Guards against undetected crossed, duplicate, miscounted or wrong answers."""
    assert checks.check([search_observation(**changes)], {})


def test_correct_partial_answer_is_accepted() -> None:
    """Guards against violations reported for allowed partial answers."""
    partial = search_observation(
        signatures=("s0:r1:1", "s1:r1:1"), missing=1, body=top_records(("s0", "s1"))
    )
    assert checks.check([partial], {}) == []


def reservation(status: int) -> checks.Observation:
    return checks.Observation("r1", "/reserve/1", "front-0#0", 1.0, 1.1, status)


def test_second_run_is_reported() -> None:
    """Guards against an undetected second run of a reservation."""
    assert checks.check(
        [reservation(502)], {"s2-a": [run_entry("r1")], "s2-b": [run_entry("r1")]}
    )


def test_refusal_after_a_run_is_reported() -> None:
    """Guards against an undetected 503 for a request that ran."""
    assert checks.check([reservation(503)], {"s2-a": [run_entry("r1")]})
    assert not checks.check([reservation(502)], {"s2-a": [run_entry("r1")]})


def version_observation(
    number: int, status: int, sent: float, process: str = "f#0"
) -> checks.Observation:
    path = f"/v{number}/1"
    body = b"".join(listed_target.group_records("s0", path, testbed.RECORDS_PER_GROUP))
    signatures = ("s0:r:1",) if status == 200 else ()
    body = body if status == 200 else b""
    return checks.Observation(
        "r", path, process, sent, sent + 0.01, status, signatures, 0, body
    )


def test_older_version_is_reported() -> None:
    """Guards against an undetected return to an older version."""
    assert checks.check(
        [version_observation(3, 200, 1.0), version_observation(2, 404, 2.0)], {}
    )
    assert not checks.check(
        [version_observation(3, 200, 1.0), version_observation(2, 404, 2.0, "f#1")], {}
    )
    assert not checks.check(
        [version_observation(3, 200, 1.0), version_observation(4, 404, 2.0)], {}
    )


def test_request_to_a_drained_target_is_reported() -> None:
    """Guards against undetected requests to a target that is draining."""
    drain_periods = [checks.DrainPeriod("s0-a", 10.0, 20.0)]
    assert checks.check([], {"s0-a": [run_entry("r", 14.0)]}, drain_periods)
    assert not checks.check(
        [], {"s0-a": [run_entry("r", 12.0), run_entry("s", 21.0)]}, drain_periods
    )


@pytest.mark.parametrize(("allowed", "is_reported"), [(1, True), (2, False)])
def test_late_requests_beyond_the_allowed_number_are_reported(
    allowed: int, is_reported: bool
) -> None:
    """Guards against fronts that go on using a target whose replies say it leaves."""
    periods = [checks.DrainPeriod("s0-a", 10.0, 20.0, allowed)]
    runs = {"s0-a": [run_entry(name, 14.0) for name in "rs"]}
    assert bool(checks.check([], runs, periods)) == is_reported


def test_too_many_repeats_are_reported() -> None:
    """Guards against an undetected excess of retries."""
    many = [run_entry("r1", 1.0 + number * 0.01) for number in range(200)]
    assert checks.check([], {"s0-a": many})
    assert not checks.check([], {"s0-a": many[:100]})
