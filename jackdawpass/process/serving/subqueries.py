"""Dialect of subqueries: another instance queries some shards of a request."""

import collections.abc

from returns import result

from jackdawpass.connection import dialect, ingress
from jackdawpass.process.serving import peer_wire, peers
from jackdawpass.request import model, records

EncodeRequest = collections.abc.Callable[[bytes, float, ingress.Headers], bytes]

_DECLINED = model.AttemptFailure(model.FailureKind.DECLINED, model.Execution.NOT_SENT)
_NOT_RUN = model.AttemptFailure(model.FailureKind.SHED, model.Execution.REFUSED_NOT_RUN)
_FAILED = model.AttemptFailure(
    model.FailureKind.TARGET_FAILED, model.Execution.MAY_HAVE_RUN
)


class SubqueryDialect:
    """Dialect that encodes subqueries and splits their merged replies by shard.

    Parameters
    ----------
    encode_request : callable
        Encodes a caller's request for another instance, given the request to forward,
        the remaining seconds and the headers between instances.
    """

    acknowledges = True

    def __init__(self, encode_request: EncodeRequest) -> None:
        self._encode_request = encode_request

    def encode_query(self, query: object) -> bytes:
        """Return the encoded request, which all sub-requests share."""
        assert isinstance(query, bytes)
        return query

    def encode_run(
        self, attempt: model.Attempt, remaining: float, query: bytes
    ) -> bytes:
        """Encode an attempt; `remaining` is in seconds."""
        answer_by = attempt.deadline if attempt.answer_by is None else attempt.answer_by
        within = answer_by - attempt.deadline + remaining - peers.HOP_SECONDS
        subquery = peer_wire.Subquery(
            attempt.snapshot, attempt.shards, max(0.0, within)
        )
        return self._encode_request(
            query, remaining, peer_wire.encode_subquery(subquery)
        )

    def encode_cancel(self, attempt: model.Attempt) -> bytes | None:
        """Return None, since closing the connection cancels a request."""
        return None

    def matches(self, attempt: model.Attempt, reply: dialect.HttpReply) -> bool:
        """Return True, since an instance answers each request once and in order."""
        return True

    def decode_run(
        self, attempt: model.Attempt, reply: dialect.HttpReply
    ) -> dialect.RunResult:
        """Split a merged reply by shard."""
        if reply.header(peer_wire.NOT_TAKEN) is not None:
            return result.Failure(_DECLINED)
        signatures = peer_wire.decode_signatures(reply)
        if reply.status != 200 or not signatures:
            return result.Failure(_NOT_RUN if reply.status == 503 else _FAILED)
        if not signatures.keys() <= attempt.shards:
            return result.Failure(_FAILED)
        shards = records.split_merged(signatures, reply.body)
        return result.Success(
            model.SubReply(
                attempt.request_id,
                attempt.attempt_id,
                attempt.snapshot,
                shards,
                is_final=True,
            )
        )

    def decode_notices(
        self, target: str, started: int, reply: dialect.HttpReply
    ) -> tuple[model.TargetNotice, ...]:
        """Return what the other instance has learned about targets."""
        return peer_wire.decode_notices(reply)

    def encode_health(self) -> bytes:
        """Return the HTTP request for an instance's state."""
        return peer_wire.PING

    def decode_health(self, reply: dialect.HttpReply) -> bool:
        """Return whether the reply reports the instance as ready."""
        report = peer_wire.decode_report(reply)
        return report is not None and report.state is peer_wire.State.READY


def encode_answer(answer: model.Answer) -> ingress.OutgoingResponse:
    """Return the reply to a subquery."""
    merged = answer.results
    assert isinstance(merged, records.TopRecords)
    signatures = dict(zip(merged.shards, merged.signatures, strict=True))
    return ingress.OutgoingResponse(
        200, peer_wire.encode_signatures(signatures), merged.records
    )
