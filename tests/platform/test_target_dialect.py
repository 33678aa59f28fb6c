"""Tests of the protocol with targets: the meaning of replies."""

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


def failure(decoded: dialect.RunResult) -> model.AttemptFailure:
    assert isinstance(decoded, result.Failure)
    return decoded.failure()


def test_request_has_target_and_timeout_headers() -> None:
    """Guards against a request that runs at a wrong target or after its timeout."""
    encoded = WIRE.encode_run(attempt(), 0.25, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nx")
    head, _, body = encoded.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"GET /a HTTP/1.1"
    assert b"x-request-deadline: 250" in lines
    assert b"x-expect-instance: i-1" in lines
    assert body == b"x"


@pytest.mark.parametrize("status", [200, 429, 500, 503, 504])
def test_target_announces_in_any_reply_that_it_leaves(status: int) -> None:
    """Guards against an announcement that is missed in a failure or a refusal."""
    notices = WIRE.decode_notices("i-1", 7, reply(status, server_leaving="1"))
    assert notices == (model.TargetNotice("i-1", 7, leaving=True),)


@pytest.mark.parametrize(
    ("status", "headers"), [(421, {"server_leaving": "1"}), (200, {})]
)
def test_other_replies_announce_nothing(status: int, headers: dict[str, str]) -> None:
    """Guards against an announcement of the target that now has the address."""
    assert not WIRE.decode_notices("i-1", 7, reply(status, **headers))


@pytest.mark.parametrize(
    ("value", "pause"),
    [
        ("5", 5.0),
        ("0", 0.0),
        ("0.25", 0.25),
        ("999999999", target_dialect.MAX_PAUSE_SECONDS),
        ("-1", None),
        ("1e3", None),
        ("nan", None),
        ("inf", None),
        ("1_0", None),
        ("", None),
        ("soon", None),
        ("Mon, 07 Dec 2026 05:00:00 GMT", None),
    ],
)
def test_refusal_may_ask_for_a_pause(value: str, pause: float | None) -> None:
    """Guards against a value that ends a process or shuts a target out."""
    notices = WIRE.decode_notices("i-1", 7, reply(503, retry_after=value))
    assert [each.pause for each in notices] == ([] if pause is None else [pause])
    assert not WIRE.decode_notices("i-1", 7, reply(200, retry_after=value))


def test_longest_of_several_pauses_counts() -> None:
    """Guards against requests in the longer of two pauses that a refusal names."""
    fields = tuple((b"retry-after", value) for value in (b"1", b"x", b"3"))
    refusal = dialect.HttpReply(503, b"", (*fields, (b"server-leaving", b"1")))
    notice = model.TargetNotice("i-1", 7, leaving=True, pause=3.0)
    assert WIRE.decode_notices("i-1", 7, refusal) == (notice,)


def test_signed_success_is_returned_unchanged() -> None:
    """Guards against changing the reply of a target."""
    decoded = WIRE.decode_run(attempt(), reply(200, x_response_stamp="s", etag="e"))
    raw = decoded.unwrap().shards[4]
    assert (raw.status, raw.body, raw.signature) == (200, b"body", "s")
    assert (b"etag", b"e") in raw.headers


@pytest.mark.parametrize(
    ("target_reply", "execution"),
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
    target_reply: dialect.HttpReply, execution: model.Execution
) -> None:
    """Guards against reporting a request that may have run as not run."""
    assert failure(WIRE.decode_run(attempt(), target_reply)).execution is execution


def test_failure_of_a_non_idempotent_request_is_its_answer() -> None:
    """Guards against hiding the outcome of a request that cannot be repeated."""
    decoded = WIRE.decode_run(attempt(False), reply(500, x_response_stamp="s"))
    assert decoded.unwrap().shards[4].status == 500


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_status_that_guarantees_no_run_is_never_relayed(status: int) -> None:
    """Guards against a caller that repeats a request that may have run."""
    decoded = WIRE.decode_run(attempt(False), reply(status, x_response_stamp="s"))
    assert isinstance(decoded, result.Failure)


def test_late_reply_to_another_request_is_detected() -> None:
    """Guards against answering a request with the reply to another one."""
    assert WIRE.matches(attempt(), reply(200, x_attempt_id="r1")) is True
    assert WIRE.matches(attempt(), reply(200, x_attempt_id="r0")) is False
    assert WIRE.matches(attempt(), reply(200)) is None


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
    decoded = WIRE.decode_run(attempt(), reply(status, **headers))
    assert isinstance(decoded, (result.Success, result.Failure))
