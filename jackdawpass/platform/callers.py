"""The platform's dialect towards callers."""

from returns import result

from jackdawpass.connection import ingress
from jackdawpass.platform import headers
from jackdawpass.process.serving import gateway, peer_wire
from jackdawpass.request import model, problems, records

# Headers of a request that are this instance's to set.
_OWN_HEADERS = ingress.CONNECTION_HEADERS | {
    b"host",
    b"content-length",
    b"expect",
    headers.PATIENCE_MS,
    headers.ONLY_TARGET,
    *peer_wire.HEADERS,
}
# Wait assumed of a caller that names none.
_DEFAULT_PATIENCE_SECONDS = 60.0


def decode_request(
    request: ingress.IncomingRequest,
) -> result.Result[gateway.CallerRequest, int]:
    """Return the product's form of a request, or the status that refuses it."""
    host = request.header(b"host")
    if host is None or not request.target.startswith(b"/"):
        return result.Failure(400)
    patience = _patience(request.header(headers.PATIENCE_MS))
    if patience is None:
        return result.Failure(400)
    path, _, _ = request.target.partition(b"?")
    request_id = request.header(headers.REQUEST_ID) or b""
    name = host.decode("latin-1").lower()
    return result.Success(
        gateway.CallerRequest(
            request_id=request_id.decode("latin-1"),
            host=name.rpartition(":")[0] if _has_port(name) else name,
            path=path.decode("latin-1"),
            timeout=patience,
            encoded=_encode_forward(request, host),
        )
    )


def encode_forwarded(encoded: bytes, timeout: float, extra: ingress.Headers) -> bytes:
    """Return a request to forward as another instance takes it from a caller."""
    line_end = encoded.index(b"\r\n") + 2
    fields = (
        (headers.PATIENCE_MS, b"%d" % max(1, round(timeout * 1000))),
        *extra,
    )
    own = b"".join(b"%s: %s\r\n" % field for field in fields)
    return encoded[:line_end] + own + encoded[line_end:]


def encode_outcome(outcome: gateway.Outcome) -> ingress.OutgoingResponse:
    """Return the answer to a caller."""
    if isinstance(outcome, problems.Problem):
        return _encode_problem(outcome)
    merged = outcome.results
    if isinstance(merged, records.RawReply):
        return _encode_relayed(merged)
    assert isinstance(merged, records.TopRecords)
    coverage = outcome.coverage
    missing = coverage.shards - coverage.covered
    return ingress.OutgoingResponse(
        200,
        (
            (headers.SHARD_SIGNATURES, ", ".join(merged.signatures).encode("latin-1")),
            (headers.SHARDS_MISSING, b"%d" % missing),
        ),
        merged.records,
    )


def _encode_problem(problem: problems.Problem) -> ingress.OutgoingResponse:
    status = _status(problem)
    fields = [(b"Content-Type", b"text/plain")]
    if status == 503:
        retry_after = problem.retry_after or gateway.RETRY_AFTER_SECONDS
        fields.append((b"Retry-After", b"%.3f" % retry_after))
    return ingress.OutgoingResponse(status, tuple(fields), problem.detail.encode())


def _status(problem: problems.Problem) -> int:
    """Return the status; 503 promises that the request has not run and never will."""
    if problem.outcome is model.Outcome.NOT_RUN:
        return problem.status if problem.status < 500 else 503
    return 502 if problem.status == 503 else problem.status


def _encode_relayed(reply: records.RawReply) -> ingress.OutgoingResponse:
    dropped = ingress.CONNECTION_HEADERS | {b"content-length"}
    kept = tuple((name, v) for name, v in reply.headers if name not in dropped)
    return ingress.OutgoingResponse(reply.status, kept, reply.body)


def _encode_forward(request: ingress.IncomingRequest, host: bytes) -> bytes:
    named = {
        token.strip().lower()
        for name, value in request.headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    lines = [request.method + b" " + request.target + b" HTTP/1.1", b"Host: " + host]
    for name, value in request.headers:
        if name.lower() not in _OWN_HEADERS and name.lower() not in named:
            lines.append(name + b": " + value)
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def _patience(value: bytes | None) -> float | None:
    if value is None:
        return _DEFAULT_PATIENCE_SECONDS
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1000 if milliseconds > 0 else None


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit()
