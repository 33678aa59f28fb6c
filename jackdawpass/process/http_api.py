"""HTTP resources for callers and the load balancer."""

import collections.abc
import typing
import uuid

import msgspec
from twisted.web import error, resource, server

from jackdawpass import clock
from jackdawpass.process import control
from jackdawpass.request import model, parsing, problems

NOT_DONE = server.NOT_DONE_YET
IDEMPOTENCY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotency-Replayed"

Outcome = model.Answer | problems.Problem | model.RecordedAnswer


class RunningQuery(typing.Protocol):
    """A query that was started for a caller."""

    def caller_gone(self) -> None:
        """Stop the work for a caller that closed its connection."""


class QueryService(typing.Protocol):
    """Service that runs queries for callers."""

    @property
    def ready(self) -> bool:
        """True when the instance can serve new requests."""

    @property
    def unready_reason(self) -> str | None:
        """Reason why the instance is not ready; None when it is ready."""

    @property
    def control_status(self) -> control.ControlStatus:
        """Version, members, links and counters of the control plane."""

    def run(
        self,
        request_id: str,
        service: str,
        query: model.QueryRequest,
        idempotency_key: str | None,
        on_finish: collections.abc.Callable[[Outcome], None],
    ) -> RunningQuery:
        """Run a query; `on_finish` is called once, possibly before returning."""


def make_site(
    queries: QueryService,
    max_body_bytes: int,
    extra: collections.abc.Mapping[bytes, resource.Resource] | None = None,
) -> server.Site:
    """Return the site for callers and the load balancer, with extra `/v1` resources."""
    root = resource.Resource()
    root.putChild(b"healthz", _Health())
    root.putChild(b"readyz", _Ready(queries))
    version = resource.Resource()
    root.putChild(b"v1", version)
    version.putChild(b"control", _Control(queries))
    version.putChild(b"services", _Services(queries, max_body_bytes))
    for name, child in (extra or {}).items():
        version.putChild(name, child)
    return server.Site(root)


class LeafResource(resource.Resource):
    """Resource without children; a problem document refuses unsupported methods."""

    isLeaf = True

    def render(self, request: server.Request) -> bytes | int:
        """Answer a request with the handler of its HTTP method."""
        try:
            answer: bytes | int = super().render(request)
        except error.UnsupportedMethod as refused:
            allowed = b", ".join(sorted(refused.allowedMethods))
            request.setHeader("Allow", allowed)
            problem = _method_not_allowed(allowed.decode("latin-1"))
            return _render_problem(request, uuid.uuid4().hex, problem)
        return answer


class _Health(LeafResource):
    def render_GET(self, request: server.Request) -> bytes:
        return render(request, 200, {"status": "ok"})


class _Ready(LeafResource):
    def __init__(self, queries: QueryService) -> None:
        super().__init__()
        self._queries = queries

    def render_GET(self, request: server.Request) -> bytes:
        reason = self._queries.unready_reason
        document = {"ready": reason is None, "reason": reason}
        return render(request, 200 if reason is None else 503, document)


class _Control(LeafResource):
    def __init__(self, queries: QueryService) -> None:
        super().__init__()
        self._queries = queries

    def render_GET(self, request: server.Request) -> bytes:
        status = self._queries.control_status
        return render(request, 200, msgspec.to_builtins(status))


class _Services(LeafResource):
    def __init__(self, queries: QueryService, max_body_bytes: int) -> None:
        super().__init__()
        self._queries = queries
        self._max_body_bytes = max_body_bytes

    def render_POST(self, request: server.Request) -> bytes | int:
        request_id = uuid.uuid4().hex
        path = [part.decode("utf-8", "replace") for part in request.postpath or ()]
        if len(path) != 2 or path[1] != "query":
            return _render_problem(request, request_id, _unknown_resource())
        assert request.content is not None
        body = request.content.read(self._max_body_bytes + 1)
        if len(body) > self._max_body_bytes:
            problem = _body_too_large(self._max_body_bytes)
            return _render_problem(request, request_id, problem)
        parsed = parsing.parse_query(body)
        query = parsed.value_or(None)
        if query is None:
            return _render_problem(request, request_id, parsed.failure())
        key = request.getHeader(IDEMPOTENCY_HEADER)
        _Exchange(request, request_id).run(self._queries, path[0], query, key)
        return NOT_DONE


class _Exchange:
    """One request of a caller, from its arrival to its reply."""

    def __init__(self, request: server.Request, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._started = clock.monotonic()
        self._running: RunningQuery | None = None
        self._is_disconnected = False

    def run(
        self,
        queries: QueryService,
        service: str,
        query: model.QueryRequest,
        key: str | None,
    ) -> None:
        self._request.notifyFinish().addErrback(self._on_disconnect)
        self._running = queries.run(
            self._request_id, service, query, key, self._on_finish
        )

    def _on_disconnect(self, reason: object) -> None:
        self._is_disconnected = True
        if self._running is not None:
            self._running.caller_gone()

    def _on_finish(self, outcome: Outcome) -> None:
        if self._is_disconnected:
            return
        if isinstance(outcome, problems.Problem):
            body = _render_problem(self._request, self._request_id, outcome)
        elif isinstance(outcome, model.RecordedAnswer):
            self._request.setHeader(REPLAYED_HEADER, "true")
            body = render(self._request, 200, outcome.document)
        else:
            elapsed = clock.monotonic() - self._started
            document = problems.answer_document(outcome, elapsed)
            body = render(self._request, 200, document)
        self._request.write(body)
        self._request.finish()


def _method_not_allowed(allowed: str) -> problems.Problem:
    detail = f"the resource does not know the method; use one of {allowed}"
    return problems.not_run(problems.ProblemKind.METHOD_NOT_ALLOWED, detail)


def _unknown_resource() -> problems.Problem:
    return problems.not_run(
        problems.ProblemKind.UNKNOWN_RESOURCE,
        "no such resource; send POST /v1/services/{service}/query",
    )


def _body_too_large(limit: int) -> problems.Problem:
    return problems.not_run(
        problems.ProblemKind.BODY_TOO_LARGE,
        f"the body exceeds {limit} bytes; send a smaller query",
    )


def _render_problem(
    request: server.Request, request_id: str, problem: problems.Problem
) -> bytes:
    if problem.retry_after is not None:
        request.setHeader("Retry-After", str(max(1, round(problem.retry_after))))
    document = problems.to_document(problem, request_id)
    return render(request, problem.status, document, problems.CONTENT_TYPE)


def render(
    request: server.Request,
    status: int,
    document: model.JsonObject,
    content_type: str = "application/json",
) -> bytes:
    """Set status and headers of a reply and return the encoded document."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", content_type)
    body = msgspec.json.encode(document)
    request.setHeader("Content-Length", str(len(body)))
    return body
