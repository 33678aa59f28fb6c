"""Counters, gauges and histograms in the Prometheus exposition format."""

import bisect
import collections
import collections.abc
import dataclasses
import itertools
import typing

from jackdawpass.process import submission
from jackdawpass.request import model, problems

# Upper bounds in seconds: fine around the objectives of interactive requests (40 to
# 700 ms), coarse above.
LATENCY_BUCKETS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0)
COVERAGE_BUCKETS = (0.0, 0.5, 0.75, 0.9, 0.95, 0.99, 1.0)

Outcome = model.Answer | problems.Problem
Labels = tuple[str, ...]

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


class _Counts:
    """Values of a counter by label values."""

    def __init__(self, name: str, text: str, *labels: str) -> None:
        self.name = f"jackdawpass_{name}"
        self.text = text
        self.labels = labels
        self.values: collections.Counter[Labels] = collections.Counter()

    def keep(self, retained: collections.abc.Set[str]) -> None:
        """Remove the values of all other first labels."""
        for labels in [each for each in self.values if each[0] not in retained]:
            del self.values[labels]


@dataclasses.dataclass(slots=True)
class _Buckets:
    """Number of values up to each upper bound, and their sum."""

    counts: list[int]
    total: float = 0.0


class _Distribution:
    """Values of a histogram by route."""

    def __init__(self, name: str, text: str, bounds: tuple[float, ...]) -> None:
        self.name = f"jackdawpass_{name}"
        self.text = text
        self._bounds = bounds
        self._series: dict[str, _Buckets] = {}

    def observe(self, route: str, value: float) -> None:
        """Add a value."""
        series = self._series.get(route)
        if series is None:
            series = self._series[route] = _Buckets([0] * (len(self._bounds) + 1))
        series.counts[bisect.bisect_left(self._bounds, value)] += 1
        series.total += value

    def keep(self, retained: collections.abc.Set[str]) -> None:
        """Remove the values of all other routes."""
        for route in self._series.keys() - retained:
            del self._series[route]

    def cumulative(
        self,
    ) -> collections.abc.Iterator[tuple[str, list[tuple[str, int]], float]]:
        """Return each route with its cumulative buckets and the sum of its values."""
        names = [*(str(bound) for bound in self._bounds), "+Inf"]
        for route, series in self._series.items():
            cumulative = itertools.accumulate(series.counts)
            yield route, list(zip(names, cumulative, strict=True)), series.total


class PrometheusMetrics:
    """All metrics of one process.

    The values are plain numbers; `prometheus_client` formats them when the page is
    requested. It is imported then, because the import takes 45 ms of each start.
    """

    def __init__(self) -> None:
        self._requests = _Counts(
            "requests", "Requests by route and outcome", "route", "outcome"
        )
        self._attempts = _Counts(
            "attempts", "Attempts by group and kind", "group", "kind"
        )
        self._ends = _Counts(
            "attempt_ends", "Ends of attempts by group", "group", "end"
        )
        self._subqueries = _Counts(
            "subqueries", "Subqueries at instances of other zones", "route", "end"
        )
        self._latency = _Distribution(
            "request_seconds", "Time from a request to its outcome", LATENCY_BUCKETS
        )
        self._coverage = _Distribution(
            "coverage_ratio", "Share of the shards in an answer", COVERAGE_BUCKETS
        )
        self._gauges = dict.fromkeys(GAUGES, 0.0)

    def finished(self, route: str, seconds: float, outcome: Outcome) -> None:
        """Record the outcome of a request."""
        name = "answer"
        if isinstance(outcome, problems.Problem):
            name = outcome.kind.value
        self._requests.values[route, name] += 1
        self._latency.observe(route, seconds)
        if outcome.coverage is not None:
            self._coverage.observe(route, outcome.coverage.ratio)

    def attempt_ended(
        self, group: str, attempt: model.Attempt, end: submission.End
    ) -> None:
        """Record the result of an attempt."""
        self._attempts.values[group, attempt.kind.value] += 1
        self._ends.values[group, _end_name(end)] += 1

    def subquery_ended(self, route: str, end: submission.End) -> None:
        """Record the result of a subquery to an instance of another zone."""
        self._subqueries.values[route, _end_name(end)] += 1

    def set(self, name: str, value: float) -> None:
        """Set one of `GAUGES`."""
        if name not in self._gauges:
            raise KeyError(f"{name!r} is not a gauge")
        self._gauges[name] = float(value)

    def keep(
        self, routes: collections.abc.Set[str], groups: collections.abc.Set[str]
    ) -> None:
        """Remove the series of all other routes and groups."""
        for by_route in (
            self._requests,
            self._subqueries,
            self._latency,
            self._coverage,
        ):
            by_route.keep(routes)
        for by_group in (self._attempts, self._ends):
            by_group.keep(groups)

    def collect(self) -> collections.abc.Iterator[typing.Any]:
        """Yield the metric families (called by `prometheus_client`)."""
        from prometheus_client import core

        for counts in (self._requests, self._attempts, self._ends, self._subqueries):
            counter = core.CounterMetricFamily(
                counts.name, counts.text, labels=counts.labels
            )
            for labels, value in counts.values.items():
                counter.add_metric(labels, value)
            yield counter
        for distribution in (self._latency, self._coverage):
            histogram = core.HistogramMetricFamily(
                distribution.name, distribution.text, labels=["route"]
            )
            for route, buckets, total in distribution.cumulative():
                histogram.add_metric([route], buckets, total)
            yield histogram
        for name, level in self._gauges.items():
            yield core.GaugeMetricFamily(f"jackdawpass_{name}", GAUGES[name], level)

    def page(self) -> bytes:
        """Return the metrics page."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)


def _end_name(end: submission.End) -> str:
    match end:
        case submission.Replied():
            return "replied"
        case submission.Cancelled():
            return "given_up"
    return end.kind.value
