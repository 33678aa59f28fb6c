"""Tests of the measures of a record and of their report."""

import dataclasses
import math
import typing

import pytest

from jackdawpass.bench import load, measure, report

WINDOW = measure.Window("w", 0.0, 10.0)


def _record(latencies: list[float], outcomes: dict[int, str]) -> load.Record:
    count = len(latencies)
    refused = outcomes.keys()
    return load.Record(
        starts=[position * 10 / count for position in range(count)],
        latencies_ms=latencies,
        outcomes=[outcomes.get(position, "answer") for position in range(count)],
        covered=[0 if position in refused else 60 for position in range(count)],
        shards=[0 if position in refused else 60 for position in range(count)],
        lags_ms=[0.0] * count,
    )


def test_refusals_do_not_improve_the_tail() -> None:
    """Guards against a policy that appears fast because it refuses immediately."""
    record = _record([10.0] * 95 + [1.0] * 5, dict.fromkeys(range(95, 100), "not_run"))
    measures = measure.summarize([record], WINDOW, timeout_ms=500)
    assert measures.latency_ms["p99"] == pytest.approx(500, rel=0.01)
    assert measures.coverage_mean == pytest.approx(0.95)
    assert measures.goodput == pytest.approx(9.5)
    assert measures.outcomes == {"answer": 95, "not_run": 5}


def test_late_answers_are_no_goodput() -> None:
    """Guards against goodput that counts answers after their deadline."""
    measures = measure.summarize([_record([600.0] * 10, {})], WINDOW, timeout_ms=500)
    assert measures.goodput == 0


def test_recovery_ends_with_the_last_slow_second() -> None:
    """Guards against a recovery that ends at a fast second or is rounded to seconds."""
    latencies = [10.0] * 1000
    latencies[520:522] = latencies[731:733] = [90.0, 90.0]
    record = _record(latencies, {})
    recovered = measure.recovery_seconds(record, 5.0, 10.0, 500, steady_p99_ms=10.0)
    assert recovered == pytest.approx(2.4)
    assert measure.recovery_seconds(record, 8.0, 10.0, 500, steady_p99_ms=10.0) == 0.0


def test_extra_load_and_ratio_have_defined_edges() -> None:
    """Guards against a division by zero when a round has no queries."""
    assert measure.extra_load(630, 10, 60) == pytest.approx(0.05)
    assert math.isnan(measure.extra_load(0, 0, 60))
    assert measure.ratio(0, 0) == 1
    assert math.isnan(measure.ratio(1, 0))


def test_report_shows_ratio_of_chosen_to_naive() -> None:
    """Guards against a ratio that is inverted, so that a faster policy looks slower."""
    summary: dict[str, typing.Any] = {}
    for policy, latency in (("chosen", 10.0), ("naive", 100.0)):
        measures = measure.summarize([_record([latency] * 50, {})], WINDOW, 500)
        summary[policy] = {
            "windows": {"w": dataclasses.asdict(measures)},
            "extra_load": 0.02,
            "entry_cpu_ms_per_query": 1.0,
            "generator_lag_ms_max": 0.5,
            "busiest_share": {"entry": 0.1, "host": 0.2, "generator": 0.3},
            "notes": [{}],
        }
    assert report.ratios(summary)["w"]["p99"] == pytest.approx(0.1, rel=0.01)
    assert "p99 0.1," in report.render("title", summary)
