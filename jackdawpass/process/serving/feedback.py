"""Updates of targets, instances and latencies from the results of attempts."""

import collections.abc

from jackdawpass.process import logs, submission
from jackdawpass.process.serving import (
    peers,
    prometheus_metrics,
    reachability,
    targets,
    throttle,
    timing,
)
from jackdawpass.request import model
from jackdawpass.version import routes

_logger = logs.get_logger(__name__)

# Attempts cancelled after this multiple of the typical latency count as unanswered.
UNANSWERED_RATIO = 2.0
_LOST_KINDS = (
    model.FailureKind.CONNECT_FAILED,
    model.FailureKind.CONNECTION_LOST,
    model.FailureKind.TIMED_OUT,
)


class AttemptFeedback:
    """Evaluation of the results of attempts.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    listed_targets : Targets
        The listed targets.
    remote_peers : Peers
        Instances of other zones.
    on_suspected_partition : callable
        Called when other zones seem to be unreachable.
    metrics : PrometheusMetrics
        Metrics to update.
    throttles : RouteThrottles
        Throttles that are reset when a zone becomes reachable again.
    """

    def __init__(
        self,
        zone: str,
        listed_targets: targets.Targets,
        remote_peers: peers.Peers,
        on_suspected_partition: collections.abc.Callable[[], None],
        metrics: prometheus_metrics.PrometheusMetrics,
        throttles: throttle.RouteThrottles,
    ) -> None:
        self._zone = zone
        self._targets = listed_targets
        self._peers = remote_peers
        self._on_suspected_partition = on_suspected_partition
        self._metrics = metrics
        self._throttles = throttles
        self._reachability = reachability.ZoneReachability()
        self._zone_outages = reachability.ZoneOutages()
        self._routes: dict[str, routes.Route] = {}
        self._latencies: dict[str, timing.RouteLatencies] = {}
        self._subquery_latencies: dict[str, timing.RouteLatencies] = {}

    @property
    def reachability(self) -> reachability.ZoneReachability:
        """Reachability of the other zones."""
        return self._reachability

    def apply_routes(self, all_routes: collections.abc.Iterable[routes.Route]) -> None:
        """Apply the routes; the latencies of remaining routes are kept."""
        self._routes = {route.name: route for route in all_routes}
        self._latencies = _retain(self._latencies, self._routes)
        self._subquery_latencies = _retain(self._subquery_latencies, self._routes)

    def latencies(self, route: routes.Route) -> timing.RouteLatencies:
        """Return the latencies of a route's sub-requests."""
        return self._latencies[route.name]

    def on_attempt_end(
        self, now: float, attempt: model.Attempt, end: submission.End
    ) -> None:
        """Evaluate the result of an attempt."""
        route = self._routes.get(attempt.service)
        if route is None:
            return
        if self._peers.zone_of(attempt.target) is not None:
            self._on_subquery_end(now, attempt, end, route)
            return
        state = self._targets.states.get(attempt.target)
        if state is not None:
            self._on_target_end(now, attempt, end, state)

    def _on_target_end(
        self,
        now: float,
        attempt: model.Attempt,
        end: submission.End,
        state: targets.TargetState,
    ) -> None:
        self._metrics.attempt_ended(state.listed.group, attempt, end)
        route_latencies = self._latencies[attempt.service]
        typical = route_latencies.typical(self._routes[attempt.service])
        if state.listed.zone != self._zone:
            self._update_reachability(
                now, state.listed.zone, end, UNANSWERED_RATIO * typical
            )
        match end:
            case submission.Replied(latency):
                route_latencies.add(now, latency)
                state.on_latency(now, latency / typical)
            case submission.Cancelled(age):
                state.on_cancelled(now, age / typical)
            case model.AttemptFailure():
                if end.kind is model.FailureKind.WRONG_TARGET:
                    state.on_misdirected(now)
                elif end.kind is model.FailureKind.SHED:
                    state.on_shed(now)
                elif targets.is_health_signal(end):
                    state.on_failure(now)

    def _on_subquery_end(
        self,
        now: float,
        attempt: model.Attempt,
        end: submission.End,
        route: routes.Route,
    ) -> None:
        self._metrics.subquery_ended(route.name, end)
        unanswered = timing.subquery_hedge_after(route)
        zone = self._peers.zone_of(attempt.target)
        assert zone is not None
        self._update_reachability(now, zone, end, unanswered)
        match end:
            case submission.Replied(latency):
                route_latencies = self._subquery_latencies[route.name]
                ratio = latency / route_latencies.typical(route)
                route_latencies.add(now, latency)
                self._peers.on_answer(now, attempt.target, ratio)
            case submission.Cancelled(age, is_accepted):
                if age >= unanswered and not is_accepted:
                    self._peers.on_failure(now, attempt.target)
            case model.AttemptFailure(model.FailureKind.DECLINED):
                self._peers.on_declined(now, attempt.target)
            case model.AttemptFailure():
                self._peers.on_failure(now, attempt.target)

    def _update_reachability(
        self, now: float, zone: str, end: submission.End, unanswered: float
    ) -> None:
        is_lost = False
        match end:
            case submission.Replied():
                self._reachability.on_answer(now)
                if self._zone_outages.on_answer(now, zone):
                    self._on_zone_back(zone)
            case submission.Cancelled(age, is_accepted):
                is_lost = age > unanswered and not is_accepted
            case model.AttemptFailure(kind):
                is_lost = kind in _LOST_KINDS
        if is_lost:
            self._reachability.on_failure(now)
            self._zone_outages.on_failure(zone)
        if self._reachability.suspects_partition():
            self._on_suspected_partition()

    def _on_zone_back(self, zone: str) -> None:
        _logger.info("zone_back", other_zone=zone)
        self._targets.forget_failures(zone)
        self._peers.forget_failures(zone)
        self._throttles.reset()


def _retain(
    latencies: dict[str, timing.RouteLatencies],
    route_names: collections.abc.Iterable[str],
) -> dict[str, timing.RouteLatencies]:
    return {
        name: latencies.get(name) or timing.RouteLatencies() for name in route_names
    }
