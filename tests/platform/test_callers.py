"""Tests of the protocol with callers: decoding requests, encoding outcomes."""

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
    """Guards against a wrong request id, host, path or timeout."""
    decoded = callers.decode_request(request()).unwrap()
    assert (decoded.request_id, decoded.host, decoded.path) == (
        "r1",
        "h.example",
        "/a/b",
    )
    assert decoded.timeout == 0.8


def test_forwarded_request_is_unchanged_but_for_the_connection() -> None:
    """Guards against changed requests and forwarded hop-by-hop headers."""
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
def test_invalid_timeout_is_rejected(value: str) -> None:
    """Guards against an invalid timeout that leaves a request without a deadline."""
    decoded = callers.decode_request(request(x_request_deadline=value))
    assert isinstance(decoded, result.Failure)


def test_merged_answer_names_its_shards() -> None:
    """Guards against an answer whose headers report a wrong coverage."""
    top = records.TopRecords((0, 1), ("s1", "s2"), b"r" * 16)
    decoded = callers.encode_outcome(answer(top, covered=2, shards=3))
    assert dict(decoded.headers) == {
        b"X-Part-Stamps": b"s1, s2",
        b"X-Parts-Missing": b"1",
    }
    assert (decoded.status, decoded.body) == (200, b"r" * 16)


def test_relayed_answer_keeps_status_headers_and_body() -> None:
    """Guards against a changed reply and a duplicate Content-Length."""
    headers = ((b"x-response-stamp", b"s"), (b"content-length", b"9"), (b"te", b"x"))
    raw = records.RawReply(404, headers, b"body", "s")
    decoded = callers.encode_outcome(answer(raw))
    assert (decoded.status, decoded.body) == (404, b"body")
    assert decoded.headers == ((b"x-response-stamp", b"s"),)


@pytest.mark.parametrize("kind", problems.ProblemKind)
def test_request_that_may_have_run_gets_no_status_that_denies_it(
    kind: problems.ProblemKind,
) -> None:
    """Guards against a 503 for a request that may have run."""
    for outcome in (model.Outcome.UNKNOWN, model.Outcome.INCOMPLETE):
        problem = problems.Problem(kind, outcome, "detail")
        assert callers.encode_outcome(problem).status not in (408, 421, 429, 503)


def test_rejection_has_a_retry_after_header() -> None:
    """Guards against callers that retry immediately, since no delay is given."""
    decoded = callers.encode_outcome(
        problems.not_run(problems.ProblemKind.OVERLOADED, "full", 0.25)
    )
    assert decoded.status == 503
    assert (b"Retry-After", b"0.250") in decoded.headers
