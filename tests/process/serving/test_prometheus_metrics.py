"""Metrics in the Prometheus exposition format."""

import pathlib

from jackdawpass.process import submission
from jackdawpass.process.serving import prometheus_metrics
from jackdawpass.request import model, problems

DOCS = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
ATTEMPT = model.Attempt(
    1, "r1", "route", "t", frozenset((0,)), "7", 1.0, 5, model.AttemptKind.HEDGE
)


def lines(metrics: prometheus_metrics.PrometheusMetrics) -> list[str]:
    return metrics.page().decode().splitlines()


def test_page_counts_outcomes_and_attempts() -> None:
    """Guards against alerts on metrics that are not exported."""
    metrics = prometheus_metrics.PrometheusMetrics()
    answer = model.Answer("r1", "route", "7", model.Coverage(4, 3), None)
    metrics.finished("route", 0.03, answer)
    refused = problems.not_run(problems.ProblemKind.OVERLOADED, "full", 0.1)
    metrics.finished("route", 0.01, refused)
    metrics.attempt_ended("g", ATTEMPT, submission.Replied(0.01))
    page = lines(metrics)
    for line in (
        'jackdawpass_requests_total{outcome="answer",route="route"} 1.0',
        'jackdawpass_requests_total{outcome="overloaded",route="route"} 1.0',
        'jackdawpass_request_seconds_bucket{le="0.04",route="route"} 2.0',
        'jackdawpass_coverage_ratio_bucket{le="0.75",route="route"} 1.0',
        'jackdawpass_attempts_total{group="g",kind="hedge"} 1.0',
        'jackdawpass_attempt_ends_total{end="replied",group="g"} 1.0',
    ):
        assert line in page


def test_series_of_removed_groups_are_removed() -> None:
    """Guards against memory use that grows with each repartitioning."""
    metrics = prometheus_metrics.PrometheusMetrics()
    metrics.attempt_ended("old", ATTEMPT, submission.Cancelled(0.1))
    metrics.attempt_ended("new", ATTEMPT, submission.Cancelled(0.1))
    metrics.keep(set(), {"new"})
    text = metrics.page().decode()
    assert 'group="old"' not in text and 'group="new"' in text


def test_every_metric_is_documented() -> None:
    """Guards against undocumented metrics."""
    text = DOCS.read_text(encoding="utf-8")
    names = [f"jackdawpass_{name}" for name in prometheus_metrics.GAUGES]
    names += [
        "jackdawpass_requests_total",
        "jackdawpass_request_seconds",
        "jackdawpass_coverage_ratio",
        "jackdawpass_attempts_total",
        "jackdawpass_attempt_ends_total",
    ]
    assert [name for name in names if f"`{name}`" not in text] == []
