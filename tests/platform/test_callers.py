"""The dialect towards callers: requests in, outcomes out."""

import pytest
from returns import result

from jackdawpass.connection import ingress
from jackdawpass.platform import callers
from jackdawpass.request import model, problems, records


def request(
    target: bytes = b"/a/b?q=1",
    body: bytes = b"",
    method: bytes = b"GET",
    **headers: str,
) -> ingress.IncomingRequest:
    values = {"host": "H.example", "x-attempt-id": "r1", "x-request-deadline": "800"}
    values |= {name.replace("_", "-"): value for name, value in headers.items()}
    pairs = tuple((name.encode(), value.encode()) for name, value in values.items())
    return ingress.IncomingRequest(method, target, pairs, body)


def answer(results: object, covered: int = 1, shards: int = 1) -> model.Answer:
    coverage = model.Coverage(shards, covered)
    return model.Answer("r1", "route", "7", coverage, results)


def test_request_is_decoded() -> None:
    """Guards against routing by the wrong host, path or time."""
    got = callers.decode_request(request()).unwrap()
    assert (got.request_id, got.host, got.path) == ("r1", "h.example", "/a/b")
    assert got.timeout == 0.8


def test_forwarded_request_is_unchanged_but_for_the_connection() -> None:
    """Guards against changed requests and against headers of one connection."""
    sent = request(
        b"/a?x=%2F",
        b"data",
        b"POST",
        connection="x-hop, keep-alive",
        x_hop="1",
        transfer_encoding="chunked",
        x_other="kept",
        x_expect_instance="i-9",
    )
    forward = callers.decode_request(sent).unwrap().encoded
    head, _, body = forward.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a?x=%2F HTTP/1.1"
    assert body == b"data"
    assert set(lines[1:]) == {
        b"Host: H.example",
        b"x-attempt-id: r1",
        b"x-other: kept",
        b"Content-Length: 4",
    }


@pytest.mark.parametrize("value", ["x", "0", "-5", ""])
def test_unreadable_wait_is_refused(value: str) -> None:
    """Guards against a request without a deadline."""
    got = callers.decode_request(request(x_request_deadline=value))
    assert isinstance(got, result.Failure)


def test_merged_answer_names_its_shards() -> None:
    """Guards against an untrue coverage."""
    top = records.TopRecords((0, 1), ("s1", "s2"), b"r" * 16)
    got = callers.encode_outcome(answer(top, covered=2, shards=3))
    assert dict(got.headers) == {b"X-Part-Stamps": b"s1, s2", b"X-Parts-Missing": b"1"}
    assert (got.status, got.body) == (200, b"r" * 16)


def test_relayed_answer_keeps_status_headers_and_body() -> None:
    """Guards against a changed reply, and against a second length."""
    headers = ((b"x-response-stamp", b"s"), (b"content-length", b"9"), (b"te", b"x"))
    raw = records.RawReply(404, headers, b"body", "s")
    got = callers.encode_outcome(answer(raw))
    assert (got.status, got.body) == (404, b"body")
    assert got.headers == ((b"x-response-stamp", b"s"),)


@pytest.mark.parametrize("kind", problems.ProblemKind)
def test_only_what_has_not_run_is_refused_with_a_promise(
    kind: problems.ProblemKind,
) -> None:
    """Guards against a 503 for a request that may have run."""
    for outcome in (model.Outcome.UNKNOWN, model.Outcome.INCOMPLETE):
        problem = problems.Problem(kind, outcome, "detail")
        assert callers.encode_outcome(problem).status not in (408, 421, 429, 503)


def test_refusal_says_when_to_come_back() -> None:
    """Guards against callers who repeat at once."""
    got = callers.encode_outcome(
        problems.not_run(problems.ProblemKind.OVERLOADED, "full", 0.25)
    )
    assert got.status == 503
    assert (b"Retry-After", b"0.250") in got.headers
