"""Handler of requests and subqueries from other instances."""

import dataclasses

from returns import result

from jackdawpass import clock
from jackdawpass.connection import ingress
from jackdawpass.process.serving import (
    caller_requests,
    forwarded_repeats,
    gateway,
    handlers,
    peer_wire,
    subqueries,
)
from jackdawpass.request import model
from jackdawpass.version import routes


class PeerHandler:
    """Handler that accepts or declines what other instances send."""

    def __init__(
        self,
        wire: handlers.CallerDialect,
        request_gateway: gateway.Gateway,
        instance: handlers.InstanceState,
    ) -> None:
        self._wire = wire
        self._gateway = request_gateway
        self._instance = instance
        self.connections: set[ingress.CallerConnection] = set()

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits for other instances, which have applied those for callers.

        Their configuration may be newer, so that they accept larger bodies.
        """
        table = self._gateway.table
        limits = routes.CallerLimits() if table is None else table.limits
        return routes.CallerLimits(
            2 * limits.max_header_bytes,
            max(limits.max_body_bytes, handlers.UNKNOWN_LIMITS.max_body_bytes),
            limits.header_timeout,
            handlers.IDLE_TIMEOUT_SECONDS,
        )

    @property
    def closing(self) -> bool:
        """False, since an instance that stops announces this in its report."""
        return False

    @property
    def report(self) -> peer_wire.Report:
        """State and configuration version that this instance reports to others."""
        table = self._gateway.table
        version = 0 if table is None else table.version
        state = peer_wire.State.READY
        if self._instance.stopping or not self._instance.synced:
            state = peer_wire.State.UNREADY
        elif self._instance.isolated:
            state = peer_wire.State.ISOLATED
        elif self._instance.stale:
            state = peer_wire.State.STALE
        return peer_wire.Report(state, version)

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Add a new connection."""
        self.connections.add(connection)

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    def handle(
        self, request: ingress.IncomingRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Answer a ping, or serve a forwarded request or a subquery."""
        self._instance.follow_targets()
        on_response = self._add_report(clock.monotonic(), on_response)
        if request.target == peer_wire.PING_PATH:
            table = self._gateway.table
            headers = () if table is None else peer_wire.encode_limits(table.limits)
            on_response(ingress.OutgoingResponse(200, headers, b""))
            return ingress.FinishedExchange()
        decoded = self._wire.decode_request(request)
        if isinstance(decoded, result.Failure) or not self._accepts(request):
            return self._decline(on_response)
        subquery = peer_wire.decode_subquery(request)
        if subquery is not None:
            return self._serve_subquery(decoded.unwrap(), subquery, on_response)

        def on_outcome(outcome: caller_requests.Outcome) -> None:
            on_response(self._wire.encode_outcome(outcome))

        caller_request = dataclasses.replace(
            decoded.unwrap(),
            age=peer_wire.decode_age(request),
            is_repeat=peer_wire.is_repeat(request),
            stops_in=peer_wire.decode_stops_in(request),
        )
        own_stop = self._instance.seconds_left(clock.monotonic())
        if not self._gateway.finishes_within(caller_request, own_stop):
            return self._decline(on_response)
        if caller_request.is_repeat:
            review = self._gateway.review_repeat(caller_request)
            if not review.accepted:
                return self._decline(on_response, _encode_review(review))
        return self._gateway.serve(caller_request, on_outcome)

    def interim_headers(
        self, request: ingress.IncomingRequest
    ) -> ingress.Headers | None:
        """Return the headers of an interim response that the sender needs, or None.

        The sender of a subquery queries the targets directly unless an interim response
        arrives soon. The sender of a whole request must not use an older version from
        now on, since a target may run the request by this instance's version.
        """
        if request.header(peer_wire.SHARDS) is not None:
            return ()
        report = self.report
        if report.version <= peer_wire.decode_seen_version(request):
            return None
        return peer_wire.encode_report(report)

    def _serve_subquery(
        self,
        request: caller_requests.CallerRequest,
        subquery: peer_wire.Subquery,
        on_response: ingress.OnResponse,
    ) -> ingress.Exchange:
        def on_outcome(outcome: caller_requests.Outcome) -> None:
            if isinstance(outcome, model.Answer):
                on_response(subqueries.encode_answer(outcome))
            else:
                on_response(self._wire.encode_outcome(outcome))

        if not self._instance.stopping:
            serving = self._gateway.serve_subquery(request, subquery, on_outcome)
            if serving is not None:
                return serving
        return self._decline(on_response)

    def _decline(
        self,
        on_response: ingress.OnResponse,
        headers: ingress.Headers = ((peer_wire.NOT_TAKEN, b"1"),),
    ) -> ingress.Exchange:
        on_response(ingress.OutgoingResponse(503, headers, b""))
        return ingress.FinishedExchange()

    def _accepts(self, request: ingress.IncomingRequest) -> bool:
        """Return whether the sender has seen no newer configuration version."""
        seen = peer_wire.decode_seen_version(request)
        return self._instance.synced and self.report.version >= seen

    def _add_report(
        self, arrived: float, on_response: ingress.OnResponse
    ) -> ingress.OnResponse:
        """Return a callback that adds the report and the notices since the arrival.

        The notices in replies of targets to the request itself are among them.
        """

        def respond(response: ingress.OutgoingResponse) -> None:
            now = clock.monotonic()
            notices = self._gateway.notices.heard_since(now, arrived)
            headers = response.headers + peer_wire.encode_report(self.report)
            headers += peer_wire.encode_notices(notices)
            on_response(
                ingress.OutgoingResponse(response.status, headers, response.body)
            )

        return respond


def _encode_review(review: forwarded_repeats.Review) -> ingress.Headers:
    """Return the headers that decline a repeat."""
    headers: ingress.Headers = ((peer_wire.NOT_TAKEN, peer_wire.NO_REPEAT),)
    if review.runs_once_within is None:
        return headers
    return headers + peer_wire.encode_runs_once(review.runs_once_within)
