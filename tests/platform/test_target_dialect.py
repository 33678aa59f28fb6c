"""The dialect towards targets: what a reply means."""

import hypothesis
import pytest
from hypothesis import strategies
from returns import result

from jackdawpass.connection import dialect
from jackdawpass.platform import target_dialect
from jackdawpass.request import model

WIRE = target_dialect.TargetDialect()


def attempt(idempotent: bool = True) -> model.Attempt:
    return model.Attempt(
        attempt_id=1,
        request_id="r1",
        service="route",
        target="i-1",
        shards=frozenset((4,)),
        snapshot="7",
        deadline=1.0,
        limit=5,
        kind=model.AttemptKind.FIRST,
        idempotent=idempotent,
    )


def reply(status: int, **headers: str) -> dialect.HttpReply:
    pairs = tuple(
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    )
    return dialect.HttpReply(status, b"body", pairs)


def failure(got: dialect.RunResult) -> model.AttemptFailure:
    assert isinstance(got, result.Failure)
    return got.failure()


def test_request_names_its_target_and_what_is_left_of_its_time() -> None:
    """Guards against a target that works on after its caller has left."""
    encoded = WIRE.encode_run(attempt(), 0.25, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nx")
    head, _, body = encoded.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"GET /a HTTP/1.1"
    assert b"x-request-deadline: 250" in lines
    assert b"x-expect-instance: i-1" in lines
    assert body == b"x"


def test_signed_success_is_taken_as_it_is() -> None:
    """Guards against a changed reply."""
    got = WIRE.decode_run(attempt(), reply(200, x_response_stamp="s", etag="e"))
    raw = got.unwrap().shards[4]
    assert (raw.status, raw.body, raw.signature) == (200, b"body", "s")
    assert (b"etag", b"e") in raw.headers


@pytest.mark.parametrize(
    ("got", "execution"),
    [
        (reply(503, x_not_executed="1"), model.Execution.REFUSED_NOT_RUN),
        (reply(421), model.Execution.REFUSED_NOT_RUN),
        (reply(503, x_response_stamp="s"), model.Execution.MAY_HAVE_RUN),
        (reply(429), model.Execution.MAY_HAVE_RUN),
        (reply(500, x_response_stamp="s"), model.Execution.MAY_HAVE_RUN),
        (reply(200), model.Execution.MAY_HAVE_RUN),
        (
            reply(200, x_response_stamp="s", content_encoding="gzip"),
            model.Execution.MAY_HAVE_RUN,
        ),
    ],
)
def test_failures_say_whether_the_request_ran(
    got: dialect.HttpReply, execution: model.Execution
) -> None:
    """Guards against a false promise that a request has not run."""
    assert failure(WIRE.decode_run(attempt(), got)).execution is execution


def test_failure_of_a_request_that_must_run_once_is_its_answer() -> None:
    """Guards against hiding the outcome of a request that cannot be repeated."""
    got = WIRE.decode_run(attempt(False), reply(500, x_response_stamp="s"))
    assert got.unwrap().shards[4].status == 500


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_promise_is_never_relayed_for_a_request_that_may_have_run(status: int) -> None:
    """Guards against a caller who repeats what has run."""
    got = WIRE.decode_run(attempt(False), reply(status, x_response_stamp="s"))
    assert isinstance(got, result.Failure)


def test_late_reply_to_another_request_is_told_apart() -> None:
    """Guards against crossed answers."""
    assert WIRE.matches(attempt(), reply(200, x_attempt_id="r1"))
    assert not WIRE.matches(attempt(), reply(200, x_attempt_id="r0"))


@hypothesis.given(
    strategies.integers(100, 599),
    strategies.dictionaries(
        strategies.sampled_from(
            ["x_response_stamp", "x_not_executed", "x_attempt_id", "content_encoding"]
        ),
        strategies.text(alphabet="ab1", max_size=3),
    ),
)
def test_every_reply_is_success_or_typed_failure(
    status: int, headers: dict[str, str]
) -> None:
    """Guards against an exception that leaves a request without an answer."""
    got = WIRE.decode_run(attempt(), reply(status, **headers))
    assert isinstance(got, (result.Success, result.Failure))
