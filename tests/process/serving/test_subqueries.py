"""Encoding of subqueries and of their replies."""

import pytest
from returns import result

from jackdawpass.connection import dialect, ingress
from jackdawpass.process.serving import peer_wire, subqueries
from jackdawpass.request import model, records

ATTEMPT = model.Attempt(
    attempt_id=1,
    request_id="r",
    service="search",
    target="instance/b0",
    shards=frozenset((3, 5)),
    snapshot="s7",
    deadline=10.0,
    limit=4,
    kind=model.AttemptKind.FIRST,
    answer_by=9.5,
)


def encode(request: bytes, timeout: float, extra: ingress.Headers) -> bytes:
    lines = b"".join(name + b"=" + value + b"\n" for name, value in extra)
    return b"%.3f\n" % timeout + lines + request


@pytest.fixture
def subquery_dialect() -> subqueries.SubqueryDialect:
    return subqueries.SubqueryDialect(encode)


def as_request(headers: ingress.Headers) -> ingress.IncomingRequest:
    return ingress.IncomingRequest(b"GET", b"/x", headers, b"")


def as_reply(answer: ingress.OutgoingResponse) -> dialect.HttpReply:
    return dialect.HttpReply(answer.status, answer.body, answer.headers)


def test_subquery_carries_fanout_digest_shards_and_time(
    subquery_dialect: subqueries.SubqueryDialect,
) -> None:
    """Guards against shards that are numbered differently, and late partial replies."""
    sent = subquery_dialect.encode_run(ATTEMPT, 1.0, b"query").split(b"\n")
    assert sent[0] == b"1.000" and sent[-1] == b"query"
    headers = tuple(tuple(line.split(b"=")) for line in sent[1:-1])
    subquery = peer_wire.decode_subquery(as_request(headers))  # type: ignore[arg-type]
    assert subquery is not None
    assert (subquery.fanout_digest, subquery.shards) == ("s7", ATTEMPT.shards)
    assert 0.49 < subquery.answer_within < 0.5


def test_whole_request_is_not_a_subquery() -> None:
    """Guards against a forwarded request that is answered as a subquery."""
    assert peer_wire.decode_subquery(as_request(())) is None


@pytest.mark.parametrize("shards", [b"", b"x", b"1,,2", b"-"])
def test_malformed_subquery_matches_no_route(shards: bytes) -> None:
    """Guards against an answer to another request than the one sent."""
    fields = ((peer_wire.SHARDS, shards), (peer_wire.FANOUT_DIGEST, b"s7"))
    subquery = peer_wire.decode_subquery(as_request(fields))
    assert subquery is not None and not subquery.fanout_digest


def test_merged_reply_survives_a_round_trip(
    subquery_dialect: subqueries.SubqueryDialect,
) -> None:
    """Guards against records or signatures lost by encoding or decoding."""
    merged = records.RecordMerge(ATTEMPT.shards)
    for shard, letter in ((3, b"a"), (5, b"b")):
        raw = records.RawReply(200, (), letter * 32, f"s.{shard}")
        merged.add(shard, raw)
    coverage = model.Coverage(2, 2)
    top = merged.top(4)
    answer = model.Answer("r", "search", "s7", coverage, top)
    decoded = subquery_dialect.decode_run(
        ATTEMPT, as_reply(subqueries.encode_answer(answer))
    )
    reply = decoded.unwrap()
    assert reply.is_final
    merged_again = records.RecordMerge(ATTEMPT.shards)
    for shard, raw in reply.shards.items():
        merged_again.add(shard, raw)
    assert merged_again.top(4).records == top.records
    assert set(merged_again.top(4).signatures) == {"s.3", "s.5"}


def test_notices_survive_a_round_trip(
    subquery_dialect: subqueries.SubqueryDialect,
) -> None:
    """Guards against another target, or incarnation, than the one that leaves."""
    notices = tuple(
        model.TargetNotice(name, started, leaving=True)
        for name, started in (("i-1", 0), ("a,b=c%", 1_764_000_000_000))
    )
    notices += (model.TargetNotice("i-2", 4, pause=0.25),)
    reply = dialect.HttpReply(200, b"", peer_wire.encode_notices(notices))
    assert subquery_dialect.decode_notices("instance/b0", 0, reply) == notices
    assert not peer_wire.encode_notices(())


@pytest.mark.parametrize(
    "value",
    [b"", b"i-1", b"i-1=", b"=1", b"i-1=-1", b"i-1=\xb2", b"i-1=" + b"9" * 5000],
)
def test_malformed_notice_is_ignored(
    subquery_dialect: subqueries.SubqueryDialect, value: bytes
) -> None:
    """Guards against an exception, or a target that is not used by mistake."""
    reply = dialect.HttpReply(200, b"", ((peer_wire.LEAVING, value),))
    assert not subquery_dialect.decode_notices("instance/b0", 0, reply)


@pytest.mark.parametrize(
    ("status", "headers", "failure"),
    [
        (503, ((peer_wire.NOT_TAKEN, b"1"),), model.FailureKind.DECLINED),
        (503, (), model.FailureKind.SHED),
        (502, (), model.FailureKind.TARGET_FAILED),
        (200, (), model.FailureKind.TARGET_FAILED),
        (200, ((peer_wire.SHARDS, b"3"),), model.FailureKind.TARGET_FAILED),
        (200, ((peer_wire.SHARDS, b"4=s"),), model.FailureKind.TARGET_FAILED),
    ],
)
def test_other_replies_are_failures(
    subquery_dialect: subqueries.SubqueryDialect,
    status: int,
    headers: ingress.Headers,
    failure: model.FailureKind,
) -> None:
    """Guards against shards that were not requested, and records without signatures."""
    got = subquery_dialect.decode_run(
        ATTEMPT, dialect.HttpReply(status, b"a" * 16, headers)
    )
    assert isinstance(got, result.Failure)
    assert got.failure().kind is failure
