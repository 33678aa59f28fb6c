"""Where requests arrive: from callers, and from the instances that hand them over."""

import collections.abc
import dataclasses
import typing

from returns import result

from jackdawpass import clock
from jackdawpass.connection import ingress
from jackdawpass.process.serving import forwarding, gateway, peer_wire, subqueries
from jackdawpass.request import model
from jackdawpass.version import routes

# An instance that has to ask targets itself lists them first; a caller waits so long
# for that, in steps.
WAIT_SECONDS = 0.3
WAIT_STEP_SECONDS = 0.02
# Instances that hand requests over know no configuration; they keep idle connections at
# least as long as operators allow callers to use them.
IDLE_SECONDS = 60.0
# Time that the way to an aggregator and back takes on a machine of 0.36 cores, as
# measured between the aggregator's answer and the caller's receipt of it.
HOP_SECONDS = 0.006


class CallerDialect(typing.Protocol):
    """Translates requests and answers of callers."""

    def decode_request(
        self, request: ingress.IncomingRequest
    ) -> result.Result[gateway.CallerRequest, int]:
        """Return the product's form of a request, or the status that refuses it."""

    def encode_outcome(self, outcome: gateway.Outcome) -> ingress.OutgoingResponse:
        """Return the answer to a caller."""

    def encode_forwarded(
        self, encoded: bytes, timeout: float, extra: ingress.Headers
    ) -> bytes:
        """Return a request to forward as another instance takes it from a caller."""


class InstanceState(typing.Protocol):
    """What this instance is and can do at the moment."""

    @property
    def asks_targets(self) -> bool:
        """True when requests of callers are served without an aggregator."""

    @property
    def synced(self) -> bool:
        """True when configuration and targets are known."""

    @property
    def ready(self) -> bool:
        """True when the balancer may send new callers."""

    @property
    def stopping(self) -> bool:
        """True once a planned stop has begun."""

    @property
    def isolated(self) -> bool:
        """True while cut off from the other zones."""

    @property
    def stale(self) -> bool:
        """True while the platform's store does not answer."""

    def follow_targets(self) -> None:
        """Follow configuration and targets for a while."""


class _Waiting:
    """A request that waits until this instance knows the targets."""

    def __init__(
        self,
        reactor: typing.Any,
        is_ready: collections.abc.Callable[[], bool],
        serve: collections.abc.Callable[[], ingress.Exchange],
    ) -> None:
        self._reactor = reactor
        self._is_ready = is_ready
        self._serve = serve
        self._steps = round(WAIT_SECONDS / WAIT_STEP_SECONDS)
        self._gone = False
        self._own: ingress.Exchange | None = None
        self._step()

    def caller_gone(self) -> None:
        """Give the request up."""
        self._gone = True
        if self._own is not None:
            self._own.caller_gone()

    def _step(self) -> None:
        if self._gone:
            return
        if self._steps and not self._is_ready():
            self._steps -= 1
            self._reactor.callLater(WAIT_STEP_SECONDS, self._step)
        else:
            self._own = self._serve()


class CallerHandler:
    """Takes callers' requests.

    Parameters
    ----------
    reactor : IReactorTime
        Sets timers.
    wire : CallerDialect
        Dialect of callers.
    served_by : Gateway
        Asks the targets.
    handed_by : Forwarder
        Hands requests to aggregators.
    instance : InstanceState
        State of this instance.
    """

    def __init__(
        self,
        reactor: typing.Any,
        wire: CallerDialect,
        served_by: gateway.Gateway,
        handed_by: forwarding.Forwarder,
        instance: InstanceState,
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._gateway = served_by
        self._forwarder = handed_by
        self._instance = instance
        self.connections: set[ingress.CallerConnection] = set()

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits in force for callers."""
        table = self._gateway.table
        if table is None:
            return routes.CallerLimits(idle_timeout=IDLE_SECONDS)
        return table.limits

    @property
    def closing(self) -> bool:
        """True when connections close after their next answer."""
        return self._instance.stopping or not self._instance.ready

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Note a new connection."""
        self.connections.add(connection)

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)

    def handle(
        self, request: ingress.IncomingRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Serve a caller's request."""
        decoded = self._wire.decode_request(request)
        if isinstance(decoded, result.Failure):
            on_response(ingress.OutgoingResponse(decoded.failure(), (), b""))
            return ingress.FinishedExchange()
        known = decoded.unwrap()
        if self._instance.asks_targets or self._knows_more():
            return self._serve(known, on_response)
        deadline = clock.monotonic() + known.timeout
        return self._hand_over(
            known,
            deadline,
            on_response,
            lambda: self._wait(known, deadline, on_response),
        )

    def _hand_over(
        self,
        request: gateway.CallerRequest,
        deadline: float,
        on_response: ingress.OnResponse,
        fallback: forwarding.Fallback,
    ) -> ingress.Exchange:
        def encode(timeout: float, version: int) -> bytes:
            age = request.timeout - timeout + HOP_SECONDS
            extra = peer_wire.encode_forwarding_headers(age, version)
            return self._wire.encode_forwarded(request.encoded, timeout, extra)

        timeout = max(0.0, deadline - clock.monotonic())
        return self._forwarder.forward_request(encode, timeout, on_response, fallback)

    def acknowledges(self, request: ingress.IncomingRequest) -> bool:
        """Return False: callers get one answer."""
        return False

    def _knows_more(self) -> bool:
        """Return whether this instance hears of changes and no aggregator does."""
        if self._forwarder.fresh or self._instance.stale or not self._instance.synced:
            return False
        table = self._gateway.table
        return table is not None and table.version >= self._forwarder.version

    def _serve(
        self, request: gateway.CallerRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        def on_outcome(outcome: gateway.Outcome) -> None:
            on_response(self._wire.encode_outcome(outcome))

        return self._gateway.serve(request, on_outcome)

    def _wait(
        self,
        request: gateway.CallerRequest,
        deadline: float,
        on_response: ingress.OnResponse,
    ) -> ingress.Exchange:
        """Wait for an aggregator, or until this instance knows the targets."""
        self._instance.follow_targets()

        def serve() -> ingress.Exchange:
            if self._instance.synced:
                return self._serve_alone(request, on_response)
            return self._hand_over(
                request, deadline, on_response, lambda: self._refuse(on_response)
            )

        return _Waiting(
            self._reactor,
            lambda: self._instance.synced or self._forwarder.reachable,
            serve,
        )

    def _serve_alone(
        self, request: gateway.CallerRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Serve a request that no aggregator takes."""
        table = self._gateway.table
        version = 0 if table is None else table.version
        if version < self._forwarder.version:
            return self._refuse(on_response)
        self._forwarder.on_version(version)
        return self._serve(request, on_response)

    def _refuse(self, on_response: ingress.OnResponse) -> ingress.Exchange:
        on_response(self._wire.encode_outcome(gateway.NO_CONFIGURATION))
        return ingress.FinishedExchange()


class PeerHandler:
    """Takes the requests that other instances of the zone hand over."""

    def __init__(
        self, wire: CallerDialect, served_by: gateway.Gateway, instance: InstanceState
    ) -> None:
        self._wire = wire
        self._gateway = served_by
        self._instance = instance

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits in force for callers, with connections kept for long."""
        table = self._gateway.table
        limits = routes.CallerLimits() if table is None else table.limits
        return routes.CallerLimits(
            2 * limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout,
            IDLE_SECONDS,
        )

    @property
    def closing(self) -> bool:
        """Return False: an instance that stops says so in its report."""
        return False

    @property
    def report(self) -> peer_wire.Report:
        """What this instance says of itself."""
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
        """Do nothing."""

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Do nothing."""

    def handle(
        self, request: ingress.IncomingRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Answer a ping, or serve a request that was handed over."""
        self._instance.follow_targets()
        if request.target == peer_wire.PING_PATH:
            on_response(self._with_report(ingress.OutgoingResponse(200, (), b"")))
            return ingress.FinishedExchange()
        decoded = self._wire.decode_request(request)
        if isinstance(decoded, result.Failure) or not self._takes(request):
            return self._decline(on_response)
        subquery = peer_wire.decode_subquery(request)
        if subquery is not None:
            return self._serve_subquery(decoded.unwrap(), subquery, on_response)

        def on_outcome(outcome: gateway.Outcome) -> None:
            on_response(self._with_report(self._wire.encode_outcome(outcome)))

        known = dataclasses.replace(decoded.unwrap(), age=peer_wire.decode_age(request))
        return self._gateway.serve(known, on_outcome)

    def acknowledges(self, request: ingress.IncomingRequest) -> bool:
        """Return whether a request is for some shards: its sender may ask elsewhere."""
        return request.header(peer_wire.SHARDS) is not None

    def _serve_subquery(
        self,
        request: gateway.CallerRequest,
        subquery: peer_wire.Subquery,
        on_response: ingress.OnResponse,
    ) -> ingress.Exchange:
        def on_outcome(outcome: gateway.Outcome) -> None:
            if isinstance(outcome, model.Answer):
                on_response(self._with_report(subqueries.encode_answer(outcome)))
            else:
                on_response(self._with_report(self._wire.encode_outcome(outcome)))

        if not self._instance.stopping:
            serving = self._gateway.serve_subquery(request, subquery, on_outcome)
            if serving is not None:
                return serving
        return self._decline(on_response)

    def _decline(self, on_response: ingress.OnResponse) -> ingress.Exchange:
        refused = ingress.OutgoingResponse(503, ((peer_wire.NOT_TAKEN, b"1"),), b"")
        on_response(self._with_report(refused))
        return ingress.FinishedExchange()

    def _takes(self, request: ingress.IncomingRequest) -> bool:
        """Return whether no newer version was already seen by who hands it over."""
        seen = peer_wire.decode_seen_version(request)
        return self._instance.synced and self.report.version >= seen

    def _with_report(
        self, response: ingress.OutgoingResponse
    ) -> ingress.OutgoingResponse:
        headers = response.headers + peer_wire.encode_report(self.report)
        return ingress.OutgoingResponse(response.status, headers, response.body)
