"""The platform's dialect towards targets."""

from returns import result

from jackdawpass.connection import dialect
from jackdawpass.platform import headers
from jackdawpass.request import model, records

# Statuses that promise a caller that its request has not run.
_PROMISES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421

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
    """Passes callers' requests on unchanged, with what is left of their time."""

    acknowledges = False

    def encode_query(self, query: object) -> bytes:
        """Return the encoded request, which is shared by all sub-requests."""
        assert isinstance(query, bytes)
        return query

    def encode_run(
        self, attempt: model.Attempt, remaining: float, query: bytes
    ) -> bytes:
        """Insert the headers of one attempt; `remaining` is in seconds."""
        line_end = query.index(b"\r\n") + 2
        own = b"%s: %d\r\n%s: %s\r\n" % (
            headers.PATIENCE_MS,
            max(1, int(remaining * 1000)),
            headers.ONLY_TARGET,
            attempt.target.encode(),
        )
        return query[:line_end] + own + query[line_end:]

    def encode_cancel(self, attempt: model.Attempt) -> bytes | None:
        """Return None: closing the connection cancels a request."""
        return None

    def matches(self, attempt: model.Attempt, reply: dialect.HttpReply) -> bool:
        """Return False for the late reply to another request."""
        request_id = reply.header(headers.REQUEST_ID)
        return request_id is None or request_id == attempt.request_id.encode()

    def decode_run(
        self, attempt: model.Attempt, reply: dialect.HttpReply
    ) -> dialect.RunResult:
        """Take a reply as it is, if it says that the target ran the request."""
        if reply.status == _MISDIRECTED:
            return result.Failure(_WRONG_TARGET)
        if reply.header(headers.NOT_RUN) is not None:
            return result.Failure(_SHED)
        if reply.header(b"content-encoding") is not None:
            return result.Failure(_MISMATCH)
        signature = reply.header(headers.SIGNATURE)
        is_success = 200 <= reply.status < 300
        if signature is None or reply.status in _PROMISES:
            return result.Failure(_MISMATCH if is_success else _FAILED)
        # A request that may be repeated is tried elsewhere; the failure of one that may
        # not is its answer.
        if not is_success and attempt.idempotent:
            return result.Failure(_FAILED)
        raw = records.RawReply(
            reply.status, reply.headers, reply.body, signature.decode("latin-1")
        )
        shards = dict.fromkeys(attempt.shards, raw)
        return result.Success(
            model.SubReply(
                attempt.request_id, attempt.attempt_id, attempt.snapshot, shards
            )
        )

    def encode_health(self) -> bytes:
        """Encode the HTTP request for a target's health."""
        return b"GET /health HTTP/1.1\r\nHost: target\r\n\r\n"

    def decode_health(self, reply: dialect.HttpReply) -> bool:
        """Return whether a target says that it accepts work."""
        return reply.status == 200
