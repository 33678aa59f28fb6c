"""Each check of the soak finds the broken promise that it is for."""

import dataclasses
import typing

import pytest

from jackdawpass.standins import listed_target
from soak import checks, testbed

PATH = "/search/1"


def top(groups: typing.Iterable[str], path: str = PATH) -> bytes:
    records = [
        record
        for group in groups
        for record in listed_target.group_records(group, path, testbed.RECORDS)
    ]
    return b"".join(sorted(records, reverse=True)[: testbed.LIMIT])


def search(**changes: typing.Any) -> checks.Seen:
    right = checks.Seen(
        "r1",
        PATH,
        "front-0#0",
        1.0,
        1.1,
        200,
        ("s0:r1:1", "s1:r1:1", "s2:r1:1"),
        0,
        top(testbed.GROUPS),
    )
    return dataclasses.replace(right, **changes)


def ran(request_id: str, at: float = 1.0) -> dict[str, object]:
    return {"request_id": request_id, "at": at}


def test_right_answer_breaks_nothing() -> None:
    """Guards against checks that cry wolf."""
    assert checks.check([search()], {"s0-a": [ran("r1")]}) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"signatures": ("s0:r0:1", "s1:r1:1", "s2:r1:1")},
        {"signatures": ("s0:r1:1", "s0:r1:2", "s2:r1:1")},
        {"signatures": ("s0:r1:1", "s1:r1:1"), "body": top(("s0", "s1"))},
        {"signatures": ("s0:r1:1",), "missing": 2, "body": top(("s0",))},
        {"body": b"x" * 96},
        {"body": top(testbed.GROUPS)[:-16]},
    ],
)
def test_wrong_answer_is_found(changes: dict[str, typing.Any]) -> None:
    """Guards against crossed, doubled, overstated, thin and wrong answers."""
    assert checks.check([search(**changes)], {})


def test_honest_partial_answer_is_right() -> None:
    """Guards against refusing what callers may get."""
    partial = search(
        signatures=("s0:r1:1", "s1:r1:1"), missing=1, body=top(("s0", "s1"))
    )
    assert checks.check([partial], {}) == []


def reserve(status: int) -> checks.Seen:
    return checks.Seen("r1", "/reserve/1", "front-0#0", 1.0, 1.1, status)


def test_second_run_is_found() -> None:
    """Guards against a reservation made twice."""
    assert checks.check([reserve(502)], {"s2-a": [ran("r1")], "s2-b": [ran("r1")]})


def test_false_promise_is_found() -> None:
    """Guards against a 503 for what has run."""
    assert checks.check([reserve(503)], {"s2-a": [ran("r1")]})
    assert not checks.check([reserve(502)], {"s2-a": [ran("r1")]})


def mark(number: int, status: int, sent: float, process: str = "f#0") -> checks.Seen:
    path = f"/v{number}/1"
    body = b"".join(listed_target.group_records("s0", path, testbed.RECORDS))
    signatures = ("s0:r:1",) if status == 200 else ()
    body = body if status == 200 else b""
    return checks.Seen(
        "r", path, process, sent, sent + 0.01, status, signatures, 0, body
    )


def test_version_that_goes_back_is_found() -> None:
    """Guards against an instance that forgets a version."""
    assert checks.check([mark(3, 200, 1.0), mark(2, 404, 2.0)], {})
    assert not checks.check([mark(3, 200, 1.0), mark(2, 404, 2.0, "f#1")], {})
    assert not checks.check([mark(3, 200, 1.0), mark(4, 404, 2.0)], {})


def test_work_for_a_target_that_left_is_found() -> None:
    """Guards against a drain that is not noticed."""
    left = [checks.Left("s0-a", 10.0, 20.0)]
    assert checks.check([], {"s0-a": [ran("r", 14.0)]}, left)
    assert not checks.check([], {"s0-a": [ran("r", 12.0), ran("s", 21.0)]}, left)


def test_too_many_repeats_are_found() -> None:
    """Guards against a storm of retries."""
    many = [ran("r1", 1.0 + number * 0.01) for number in range(200)]
    assert checks.check([], {"s0-a": many})
    assert not checks.check([], {"s0-a": many[:100]})
