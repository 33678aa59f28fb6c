"""Wire dialects of targets: their Protocol type and the JSON dialect."""

import collections.abc
import dataclasses
import typing

import msgspec
from returns import result

from jackdawpass import errors
from jackdawpass.request import model

RUN_PATH = "/v1/run"
CANCEL_PATH = "/v1/cancel"
HEALTH_PATH = "/v1/health"
LOAD_PATH = "/v1/load"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP reply.

    Attributes
    ----------
    headers : tuple of (bytes, bytes)
        Names in lower case with their values, in the order of arrival.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, named in lower case; None if absent."""
        return next((value for key, value in self.headers if key == name), None)


RunResult = result.Result[model.SubReply, model.AttemptFailure]


class TargetDialect(typing.Protocol):
    """Encoder of sub-requests to a target and decoder of its replies."""

    @property
    def acknowledges(self) -> bool:
        """True when an interim reply confirms that a sub-request was accepted."""

    def encode_query(self, query: object) -> bytes:
        """Encode the part that all sub-requests of a query share."""

    def encode_run(
        self, attempt: model.Attempt, remaining: float, query: bytes
    ) -> bytes:
        """Encode the HTTP request of an attempt; `remaining` is in seconds."""

    def encode_cancel(self, attempt: model.Attempt) -> bytes | None:
        """Encode the HTTP request that cancels an attempt; None if there is none."""

    def matches(self, attempt: model.Attempt, reply: HttpReply) -> bool | None:
        """Return whether a reply answers an attempt; None if it does not say."""

    def decode_run(self, attempt: model.Attempt, reply: HttpReply) -> RunResult:
        """Decode the reply to an attempt."""

    def encode_health(self) -> bytes:
        """Encode the HTTP request for a target's health."""

    def decode_health(self, reply: HttpReply) -> bool:
        """Return whether a target reports that it accepts work."""


class _WireResult(msgspec.Struct):
    id: str
    score: float
    value: msgspec.Raw = msgspec.Raw(b"null")


class _WireReply(msgspec.Struct):
    request_id: str
    attempt_id: int
    snapshot: str
    shards: dict[int, list[_WireResult]]


class _WireRefusal(msgspec.Struct):
    request_id: str
    attempt_id: int
    kind: str
    ran: bool = True
    held: list[str] = []
    retry_after_ms: float = 0.0


class _WireHealth(msgspec.Struct):
    state: str


_REFUSAL_KINDS = {
    "shed": model.FailureKind.SHED,
    "draining": model.FailureKind.DRAINING,
    "cold": model.FailureKind.COLD,
    "snapshot_not_held": model.FailureKind.SNAPSHOT_NOT_HELD,
    "shard_moved": model.FailureKind.SHARD_MOVED,
    "failed": model.FailureKind.TARGET_FAILED,
}

_MISMATCH = model.AttemptFailure(
    model.FailureKind.MISMATCHED_REPLY, model.Execution.MAY_HAVE_RUN
)


class JsonDialect:
    """JSON over HTTP/1.1, one message per target for all its shards in a query.

    Parameters
    ----------
    zone : str
        Availability zone of this instance, sent as ``Caller-Zone``.
    """

    acknowledges = False

    def __init__(self, zone: str = "") -> None:
        zone_line = f"Caller-Zone: {zone}\r\n" if zone else ""
        self._head = f"Host: target\r\n{zone_line}Content-Type: application/json\r\n"
        self._encoder = msgspec.json.Encoder()
        self._reply_decoder = msgspec.json.Decoder(_WireReply)
        self._refusal_decoder = msgspec.json.Decoder(_WireRefusal)

    def encode_query(self, query: object) -> bytes:
        """Encode the query value once for all sub-requests."""
        return self._encoder.encode(query)

    def encode_run(
        self, attempt: model.Attempt, remaining: float, query: bytes
    ) -> bytes:
        """Encode the HTTP request of an attempt; `remaining` is in seconds."""
        head = self._encoder.encode(
            {
                "request_id": attempt.request_id,
                "attempt_id": attempt.attempt_id,
                "service": attempt.service,
                "snapshot": attempt.snapshot,
                "shards": sorted(attempt.shards),
                "deadline_ms": max(1, round(remaining * 1000)),
                "limit": attempt.limit,
                "idempotent": attempt.idempotent,
            }
        )
        return self._post(RUN_PATH, head[:-1] + b',"query":' + query + b"}")

    def encode_cancel(self, attempt: model.Attempt) -> bytes:
        """Encode the HTTP request that cancels an attempt."""
        body = {"request_id": attempt.request_id, "attempt_id": attempt.attempt_id}
        return self._post(CANCEL_PATH, self._encoder.encode(body))

    def matches(self, attempt: model.Attempt, reply: HttpReply) -> bool:
        """Return True, since `decode_run` checks the ids in the body."""
        return True

    def decode_run(self, attempt: model.Attempt, reply: HttpReply) -> RunResult:
        """Decode the reply to an attempt, and check the ids of the reply."""
        if reply.status == 200:
            return self._decode_reply(attempt, reply.body)
        return result.Failure(self._decode_refusal(attempt, reply.body))

    def _post(self, path: str, body: bytes) -> bytes:
        head = (
            f"POST {path} HTTP/1.1\r\n{self._head}Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode("ascii") + body

    def encode_health(self) -> bytes:
        """Encode the HTTP request for a target's health."""
        return f"GET {HEALTH_PATH} HTTP/1.1\r\nHost: target\r\n\r\n".encode("ascii")

    def decode_health(self, reply: HttpReply) -> bool:
        """Return whether a target reports that it accepts work."""
        try:
            health = msgspec.json.decode(reply.body, type=_WireHealth)
        except errors.DECODE_ERRORS:
            return False
        return reply.status == 200 and health.state == "ready"

    def _decode_reply(self, attempt: model.Attempt, body: bytes) -> RunResult:
        try:
            message = self._reply_decoder.decode(body)
        except errors.DECODE_ERRORS:
            return result.Failure(_MISMATCH)
        if not _ids_match(attempt, message.request_id, message.attempt_id):
            return result.Failure(_MISMATCH)
        shards = {shard: _items(items) for shard, items in message.shards.items()}
        return result.Success(
            model.SubReply(
                message.request_id, message.attempt_id, message.snapshot, shards
            )
        )

    def _decode_refusal(
        self, attempt: model.Attempt, body: bytes
    ) -> model.AttemptFailure:
        try:
            message = self._refusal_decoder.decode(body)
        except errors.DECODE_ERRORS:
            return _MISMATCH
        if not _ids_match(attempt, message.request_id, message.attempt_id):
            return _MISMATCH
        kind = _REFUSAL_KINDS.get(message.kind, model.FailureKind.TARGET_FAILED)
        execution = (
            model.Execution.MAY_HAVE_RUN
            if message.ran
            else model.Execution.REFUSED_NOT_RUN
        )
        return model.AttemptFailure(
            kind, execution, tuple(message.held), message.retry_after_ms / 1000
        )


def _ids_match(attempt: model.Attempt, request_id: str, attempt_id: int) -> bool:
    return request_id == attempt.request_id and attempt_id == attempt.attempt_id


def _items(
    items: collections.abc.Iterable[_WireResult],
) -> tuple[model.ResultItem, ...]:
    return tuple(model.ResultItem(item.id, item.score, item.value) for item in items)
