"""The platform's protocol between fronts and targets."""

import re

from returns import result

from jackdawpass.connection import dialect
from jackdawpass.platform import headers
from jackdawpass.request import model, records

# Statuses that guarantee to a caller that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_UNAVAILABLE = 503
_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# Bounds a mistaken value, which would shut a target out.
MAX_PAUSE_SECONDS = 120.0

_MISMATCH = model.AttemptFailure(
    model.FailureKind.MISMATCHED_REPLY, model.Execution.MAY_HAVE_RUN
)
_FAILED = model.AttemptFailure(
    model.FailureKind.TARGET_FAILED, model.Execution.MAY_HAVE_RUN
)
_SHED = model.AttemptFailure(model.FailureKind.SHED, model.Execution.REFUSED_NOT_RUN)
_WRONG_TARGET = model.AttemptFailure(
    model.FailureKind.WRONG_TARGET, model.Execution.REFUSED_NOT_RUN
)


class TargetDialect:
    """Encoder of callers' requests to a target and decoder of its replies.

    A request is forwarded unchanged, except for the headers of the attempt.
    """

    acknowledges = False

    def encode_query(self, query: object) -> bytes:
        """Return the encoded request, which all sub-requests share."""
        assert isinstance(query, bytes)
        return query

    def encode_run(
        self, attempt: model.Attempt, remaining: float, query: bytes
    ) -> bytes:
        """Insert the headers of an attempt; `remaining` is its timeout in seconds."""
        line_end = query.index(b"\r\n") + 2
        header_lines = b"%s: %d\r\n%s: %s\r\n" % (
            headers.TIMEOUT_MS,
            max(1, int(remaining * 1000)),
            headers.EXPECTED_TARGET,
            attempt.target.encode(),
        )
        return query[:line_end] + header_lines + query[line_end:]

    def encode_cancel(self, attempt: model.Attempt) -> bytes | None:
        """Return None, since closing the connection cancels the request."""
        return None

    def matches(self, attempt: model.Attempt, reply: dialect.HttpReply) -> bool | None:
        """Return whether a reply repeats the request's id; None if it has no id."""
        request_id = reply.header(headers.REQUEST_ID)
        return None if request_id is None else request_id == attempt.request_id.encode()

    def decode_run(
        self, attempt: model.Attempt, reply: dialect.HttpReply
    ) -> dialect.RunResult:
        """Return the unchanged reply if the target ran the request, else a failure."""
        if reply.status == _MISDIRECTED:
            return result.Failure(_WRONG_TARGET)
        if reply.header(headers.NOT_RUN) is not None:
            return result.Failure(_SHED)
        if reply.header(b"content-encoding") is not None:
            return result.Failure(_MISMATCH)
        signature = reply.header(headers.SIGNATURE)
        is_success = 200 <= reply.status < 300
        if signature is None or reply.status in _NOT_RUN_STATUSES:
            return result.Failure(_MISMATCH if is_success else _FAILED)
        # The failure of an idempotent request is reported, so that it can be retried at
        # another target. The failure of any other request is its answer.
        if not is_success and attempt.idempotent:
            return result.Failure(_FAILED)
        raw_reply = records.RawReply(
            reply.status, reply.headers, reply.body, signature.decode("latin-1")
        )
        shards = dict.fromkeys(attempt.shards, raw_reply)
        return result.Success(
            model.SubReply(
                attempt.request_id, attempt.attempt_id, attempt.snapshot, shards
            )
        )

    def decode_notices(
        self, target: str, started: int, reply: dialect.HttpReply
    ) -> tuple[model.TargetNotice, ...]:
        """Return what a reply says about its target."""
        # Another target, which now has the address, has replied.
        if reply.status == _MISDIRECTED:
            return ()
        leaving = (headers.LEAVING, b"1") in reply.headers
        pause = _decode_pause(reply)
        if not leaving and pause is None:
            return ()
        return (model.TargetNotice(target, started, leaving, pause),)

    def encode_health(self) -> bytes:
        """Encode the HTTP request for a target's health."""
        return b"GET /health HTTP/1.1\r\nHost: target\r\n\r\n"

    def decode_health(self, reply: dialect.HttpReply) -> bool:
        """Return whether a target reports that it accepts work."""
        return reply.status == 200


def _decode_pause(reply: dialect.HttpReply) -> float | None:
    """Return the seconds for which the target of a refusal wants no request.

    The longest of several values counts. Dates are ignored, since the time of day of
    two machines may differ by seconds, and so is all that is no number of seconds.
    """
    if reply.status != _UNAVAILABLE:
        return None
    values = [
        float(value)
        for name, value in reply.headers
        if name == headers.PAUSE and _SECONDS.fullmatch(value)
    ]
    return min(MAX_PAUSE_SECONDS, max(values)) if values else None
