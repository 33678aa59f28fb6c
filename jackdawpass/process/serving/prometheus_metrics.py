"""Counters, gauges and histograms in the Prometheus exposition format."""

import collections.abc
import typing

import prometheus_client

from jackdawpass.process import submission
from jackdawpass.request import model, problems

# Upper bounds in seconds: fine around the objectives of interactive requests (40 to
# 700 ms), coarse above.
LATENCY_BUCKETS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0)
COVERAGE_BUCKETS = (0.0, 0.5, 0.75, 0.9, 0.95, 0.99, 1.0)

Outcome = model.Answer | problems.Problem


class PrometheusMetrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        # Series in use by metric and labels; the first label is the route or group.
        self._series_by_labels: dict[typing.Any, dict[tuple[str, ...], typing.Any]] = {}
        self._requests = self._counter(
            "requests", "Requests by route and outcome", "route", "outcome"
        )
        self._latency = prometheus_client.Histogram(
            "jackdawpass_request_seconds",
            "Time from a request to its outcome",
            ["route"],
            registry=self._registry,
            buckets=LATENCY_BUCKETS,
        )
        self._coverage = prometheus_client.Histogram(
            "jackdawpass_coverage_ratio",
            "Share of the shards in an answer",
            ["route"],
            registry=self._registry,
            buckets=COVERAGE_BUCKETS,
        )
        self._attempts = self._counter(
            "attempts", "Attempts by group and kind", "group", "kind"
        )
        self._ends = self._counter(
            "attempt_ends", "Ends of attempts by group", "group", "end"
        )
        self._subqueries = self._counter(
            "subqueries", "Subqueries at instances of other zones", "route", "end"
        )
        self._gauges = {
            name: prometheus_client.Gauge(
                f"jackdawpass_{name}", text, registry=self._registry
            )
            for name, text in GAUGES.items()
        }

    def finished(self, route: str, seconds: float, outcome: Outcome) -> None:
        """Record the outcome of a request."""
        name = "answer"
        if isinstance(outcome, problems.Problem):
            name = outcome.kind.value
        self._series(self._requests, route, name).inc()
        self._series(self._latency, route).observe(seconds)
        if outcome.coverage is not None:
            self._series(self._coverage, route).observe(outcome.coverage.ratio)

    def attempt_ended(
        self, group: str, attempt: model.Attempt, end: submission.End
    ) -> None:
        """Record the result of an attempt."""
        self._series(self._attempts, group, attempt.kind.value).inc()
        self._series(self._ends, group, _end_name(end)).inc()

    def subquery_ended(self, route: str, end: submission.End) -> None:
        """Record the result of a subquery to an instance of another zone."""
        self._series(self._subqueries, route, _end_name(end)).inc()

    def set(self, name: str, value: float) -> None:
        """Set one of `GAUGES`."""
        self._gauges[name].set(value)

    def keep(
        self, routes: collections.abc.Set[str], groups: collections.abc.Set[str]
    ) -> None:
        """Remove the series of all other routes and groups."""
        for metric in (self._requests, self._latency, self._coverage, self._subqueries):
            self._remove_series(metric, routes)
        for metric in (self._attempts, self._ends):
            self._remove_series(metric, groups)

    def page(self) -> bytes:
        """Return the metrics page."""
        return prometheus_client.generate_latest(self._registry)

    def _series(self, metric: typing.Any, *labels: str) -> typing.Any:
        series_by_labels = self._series_by_labels.setdefault(metric, {})
        series = series_by_labels.get(labels)
        if series is None:
            series = series_by_labels[labels] = metric.labels(*labels)
        return series

    def _remove_series(
        self, metric: typing.Any, retained: collections.abc.Set[str]
    ) -> None:
        series_by_labels = self._series_by_labels.get(metric, {})
        for labels in [
            labels for labels in series_by_labels if labels[0] not in retained
        ]:
            metric.remove(*labels)
            del series_by_labels[labels]

    def _counter(self, name: str, text: str, *labels: str) -> typing.Any:
        return prometheus_client.Counter(
            f"jackdawpass_{name}", text, labels, registry=self._registry
        )


GAUGES = {
    "configuration_version": "Version in force; 0 before the first",
    "targets": "Listed targets",
    "leaving_targets": "Listed targets that take no new work",
    "avoided_targets": "Targets that failed too often lately",
    "instances": "Instances like this one that share the targets; 0 while unknown",
    "asks_targets": "1 when requests are served without an aggregator",
    "store_away": "1 while the platform's store does not answer",
    "isolated": "1 while cut off from the other zones",
    "caller_connections": "Open connections of callers",
    "least_budget_ratio": "Unused part of the repeat budget of the poorest group",
    "loop_delay_seconds": "How late the last tick of the event loop was",
}


def _end_name(end: submission.End) -> str:
    match end:
        case submission.Replied():
            return "replied"
        case submission.Cancelled():
            return "given_up"
    return end.kind.value
