"""The platform's protocol between callers and fronts."""

from returns import result

from jackdawpass.connection import ingress
from jackdawpass.platform import headers
from jackdawpass.process.serving import caller_requests, immediate_refusals, peer_wire
from jackdawpass.request import model, problems, records

# Headers that are not copied from a caller's request, but set anew if needed.
_STRIPPED_HEADERS = ingress.CONNECTION_HEADERS | {
    b"host",
    b"content-length",
    b"expect",
    headers.TIMEOUT_MS,
    headers.EXPECTED_TARGET,
    *peer_wire.HEADERS,
}
# Timeout of a request without the timeout header.
_DEFAULT_TIMEOUT_SECONDS = 60.0


def decode_request(
    request: ingress.IncomingRequest,
) -> result.Result[caller_requests.CallerRequest, int]:
    """Decode a caller's request, or return the HTTP status that rejects it."""
    host = request.header(b"host")
    if host is None or not request.target.startswith(b"/"):
        return result.Failure(400)
    timeout = _parse_timeout(request.header(headers.TIMEOUT_MS))
    if timeout is None:
        return result.Failure(400)
    path, _, _ = request.target.partition(b"?")
    request_id = request.header(headers.REQUEST_ID) or b""
    host_name = host.decode("latin-1").lower()
    return result.Success(
        caller_requests.CallerRequest(
            request_id=request_id.decode("latin-1"),
            host=host_name.rpartition(":")[0] if _has_port(host_name) else host_name,
            path=path.decode("latin-1"),
            timeout=timeout,
            encoded=_encode_request(request, host),
        )
    )


def encode_forwarded(encoded: bytes, timeout: float, extra: ingress.Headers) -> bytes:
    """Encode a request that another instance decodes like a caller's request.

    Parameters
    ----------
    encoded : bytes
        Request as `decode_request` encoded it.
    timeout : float
        Remaining time of the request, in seconds.
    extra : tuple of tuple of bytes
        Further headers.
    """
    line_end = encoded.index(b"\r\n") + 2
    fields = (
        (headers.TIMEOUT_MS, b"%d" % max(1, round(timeout * 1000))),
        *extra,
    )
    header_lines = b"".join(b"%s: %s\r\n" % field for field in fields)
    return encoded[:line_end] + header_lines + encoded[line_end:]


def encode_outcome(outcome: caller_requests.Outcome) -> ingress.OutgoingResponse:
    """Encode the outcome of a request as the HTTP response to its caller."""
    if isinstance(outcome, problems.Problem):
        return _encode_problem(outcome)
    results = outcome.results
    if isinstance(results, records.RawReply):
        return _encode_relayed(results)
    assert isinstance(results, records.TopRecords)
    coverage = outcome.coverage
    missing = coverage.shards - coverage.covered
    return ingress.OutgoingResponse(
        200,
        (
            (headers.SHARD_SIGNATURES, ", ".join(results.signatures).encode("latin-1")),
            (headers.MISSING_SHARDS, b"%d" % missing),
        ),
        results.records,
    )


def _encode_problem(problem: problems.Problem) -> ingress.OutgoingResponse:
    status = _choose_status(problem)
    fields = [(b"Content-Type", b"text/plain")]
    if status == 503:
        retry_after = problem.retry_after or immediate_refusals.RETRY_AFTER_SECONDS
        fields.append((b"Retry-After", b"%.3f" % retry_after))
    return ingress.OutgoingResponse(status, tuple(fields), problem.detail.encode())


def _choose_status(problem: problems.Problem) -> int:
    """Choose the status; 503 guarantees that the request has not run and never will."""
    if problem.outcome is model.Outcome.NOT_RUN:
        return problem.status if problem.status < 500 else 503
    return 502 if problem.status == 503 else problem.status


def _encode_relayed(reply: records.RawReply) -> ingress.OutgoingResponse:
    dropped = ingress.CONNECTION_HEADERS | {b"content-length"}
    kept = tuple((name, v) for name, v in reply.headers if name not in dropped)
    return ingress.OutgoingResponse(reply.status, kept, reply.body)


def _encode_request(request: ingress.IncomingRequest, host: bytes) -> bytes:
    connection_options = {
        token.strip().lower()
        for name, value in request.headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    lines = [request.method + b" " + request.target + b" HTTP/1.1", b"Host: " + host]
    for name, value in request.headers:
        if (
            name.lower() not in _STRIPPED_HEADERS
            and name.lower() not in connection_options
        ):
            lines.append(name + b": " + value)
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def _parse_timeout(value: bytes | None) -> float | None:
    if value is None:
        return _DEFAULT_TIMEOUT_SECONDS
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1000 if milliseconds > 0 else None


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit()
