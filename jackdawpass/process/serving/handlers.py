"""Handler of callers' requests."""

import collections.abc
import dataclasses
import typing

from returns import result

from jackdawpass import clock
from jackdawpass.connection import ingress
from jackdawpass.process.serving import (
    caller_requests,
    forwarded_request,
    forwarding,
    gateway,
    immediate_refusals,
    peer_wire,
)
from jackdawpass.version import routes

# How long a request waits until this instance has listed the targets and can query them
# itself, and the interval at which this is checked.
SYNC_WAIT_SECONDS = 0.3
SYNC_WAIT_STEP_SECONDS = 0.02
# Idle timeout without a configuration, and of other instances. At least as long as the
# timeouts that operators configure for callers.
IDLE_TIMEOUT_SECONDS = 60.0
# Limits before any configuration is known. They are lenient, since a request that the
# configuration may allow gets a refusal that its caller may repeat.
UNKNOWN_LIMITS = routes.CallerLimits(
    max_header_bytes=64 * 1024,
    max_body_bytes=4 * 1024 * 1024,
    idle_timeout=IDLE_TIMEOUT_SECONDS,
)
# Overhead of the hop through an aggregator on a machine with 0.36 cores: from the
# aggregator's answer to the caller's receipt of it.
HOP_SECONDS = 0.006


class CallerDialect(typing.Protocol):
    """Decoder of callers' requests and encoder of their answers."""

    def decode_request(
        self, request: ingress.IncomingRequest
    ) -> result.Result[caller_requests.CallerRequest, int]:
        """Return the decoded request, or the HTTP status that rejects it."""

    def encode_outcome(
        self, outcome: caller_requests.Outcome
    ) -> ingress.OutgoingResponse:
        """Return the answer to a caller."""

    def encode_forwarded(
        self, encoded: bytes, timeout: float, extra: ingress.Headers
    ) -> bytes:
        """Return a request encoded for another instance, with extra headers."""


class InstanceState(typing.Protocol):
    """Current state of this instance."""

    @property
    def asks_targets(self) -> bool:
        """True if this instance serves callers without forwarding to an aggregator."""

    @property
    def synced(self) -> bool:
        """True once a routing table is in force and the targets are listed."""

    @property
    def ready(self) -> bool:
        """True if the load balancer may send new callers."""

    @property
    def stopping(self) -> bool:
        """True once a graceful shutdown has begun."""

    @property
    def isolated(self) -> bool:
        """True while a network partition separates this instance from other zones."""

    @property
    def stale(self) -> bool:
        """True while the platform's store does not respond."""

    def seconds_left(self, now: float) -> float | None:
        """Return the seconds until all requests must end; None unless stopping."""

    def follow_targets(self) -> None:
        """Follow configuration and targets for a limited time from now."""


class _WaitingRequest:
    """A request that is served once a condition holds or the wait times out."""

    def __init__(
        self,
        reactor: typing.Any,
        is_ready: collections.abc.Callable[[], bool],
        serve: collections.abc.Callable[[], ingress.Exchange],
    ) -> None:
        self._reactor = reactor
        self._is_ready = is_ready
        self._serve = serve
        self._steps = round(SYNC_WAIT_SECONDS / SYNC_WAIT_STEP_SECONDS)
        self._gone = False
        self._exchange: ingress.Exchange | None = None
        self._step()

    def caller_gone(self) -> None:
        """Cancel the request."""
        self._gone = True
        if self._exchange is not None:
            self._exchange.caller_gone()

    def expire(self) -> None:
        """Serve the request at once, whether the condition holds or not."""
        if self._exchange is None and not self._gone:
            self._gone = True
            self._exchange = self._serve()
        if self._exchange is not None:
            self._exchange.expire()

    def _step(self) -> None:
        if self._gone:
            return
        if self._steps and not self._is_ready():
            self._steps -= 1
            self._reactor.callLater(SYNC_WAIT_STEP_SECONDS, self._step)
        else:
            self._exchange = self._serve()


class CallerHandler:
    """Handler of callers' requests.

    Parameters
    ----------
    reactor : IReactorTime
        Sets timers.
    wire : CallerDialect
        Protocol of callers.
    request_gateway : Gateway
        Queries the targets.
    request_forwarder : Forwarder
        Forwards requests to aggregators.
    instance : InstanceState
        State of this instance.
    """

    def __init__(
        self,
        reactor: typing.Any,
        wire: CallerDialect,
        request_gateway: gateway.Gateway,
        request_forwarder: forwarding.Forwarder,
        instance: InstanceState,
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._gateway = request_gateway
        self._forwarder = request_forwarder
        self._instance = instance
        self.connections: set[ingress.CallerConnection] = set()

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits in force for callers: those of the newest known version."""
        table = self._gateway.table
        reported = self._forwarder.reported_limits
        if table is not None and (reported is None or table.version >= reported[0]):
            return table.limits
        return UNKNOWN_LIMITS if reported is None else reported[1]

    @property
    def closing(self) -> bool:
        """True if connections close after their next answer."""
        return self._instance.stopping or not self._instance.ready

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Add a new connection."""
        self.connections.add(connection)

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    def handle(
        self, request: ingress.IncomingRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Serve a caller's request."""
        decoded = self._wire.decode_request(request)
        if isinstance(decoded, result.Failure):
            on_response(ingress.OutgoingResponse(decoded.failure(), (), b""))
            return ingress.FinishedExchange()
        caller_request = decoded.unwrap()
        if self._instance.asks_targets or self._is_ahead_of_aggregators():
            return self._serve(caller_request, on_response)
        deadline = clock.monotonic() + caller_request.timeout
        return self._forward(
            caller_request,
            deadline,
            on_response,
            lambda: self._wait(caller_request, deadline, on_response),
        )

    def _forward(
        self,
        request: caller_requests.CallerRequest,
        deadline: float,
        on_response: ingress.OnResponse,
        fallback: forwarded_request.Fallback,
    ) -> ingress.Exchange:
        def encode(timeout: float, version: int, is_repeat: bool) -> bytes:
            age = request.timeout - timeout + HOP_SECONDS
            extra = peer_wire.encode_forwarding_headers(age, version, is_repeat)
            extra += peer_wire.encode_stops_in(self._seconds_left())
            return self._wire.encode_forwarded(request.encoded, timeout, extra)

        timeout = max(0.0, deadline - clock.monotonic())
        return self._forwarder.forward_request(
            request.request_id, encode, timeout, on_response, fallback
        )

    def interim_headers(self, request: ingress.IncomingRequest) -> None:
        """Return None: callers get no interim response."""

    def _is_ahead_of_aggregators(self) -> bool:
        """Return whether this instance receives changes while no aggregator does."""
        if self._forwarder.fresh or self._instance.stale or not self._instance.synced:
            return False
        table = self._gateway.table
        return table is not None and table.version >= self._forwarder.version

    def _serve(
        self, request: caller_requests.CallerRequest, on_response: ingress.OnResponse
    ) -> ingress.Exchange:
        """Serve a request by the routing table of this instance.

        Refuses the request if this instance has already answered by a newer version,
        its own or that of an aggregator.
        """
        table = self._gateway.table
        version = 0 if table is None else table.version
        if version < self._forwarder.version:
            return self._refuse(on_response)
        self._forwarder.on_version(version)

        def on_outcome(outcome: caller_requests.Outcome) -> None:
            on_response(self._wire.encode_outcome(outcome))

        stops_in = self._seconds_left()
        return self._gateway.serve(
            dataclasses.replace(request, stops_in=stops_in), on_outcome
        )

    def _seconds_left(self) -> float | None:
        return self._instance.seconds_left(clock.monotonic())

    def _wait(
        self,
        request: caller_requests.CallerRequest,
        deadline: float,
        on_response: ingress.OnResponse,
    ) -> ingress.Exchange:
        """Wait until an aggregator is reachable or this instance is synced."""
        self._instance.follow_targets()

        def serve() -> ingress.Exchange:
            if self._instance.synced:
                return self._serve(request, on_response)
            return self._forward(
                request, deadline, on_response, lambda: self._refuse(on_response)
            )

        return _WaitingRequest(
            self._reactor,
            lambda: self._instance.synced or self._forwarder.reachable,
            serve,
        )

    def _refuse(self, on_response: ingress.OnResponse) -> ingress.Exchange:
        on_response(self._wire.encode_outcome(immediate_refusals.NO_CONFIGURATION))
        return ingress.FinishedExchange()
