"""Latency, coverage and extra load in a window of time, computed from records."""

import collections
import collections.abc
import dataclasses
import math
import typing

import hdrh.histogram

from jackdawpass.bench import load

MAX_LATENCY_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
RECOVERY_STEP_SECONDS = 0.1
RECOVERY_WINDOW_SECONDS = 1.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# A second is slow if its 99th percentile exceeds this multiple of the steady one.
SLOW_RATIO = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A named interval of a run, in seconds from its start."""

    name: str
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Results of the queries that were scheduled to start in a window.

    Attributes
    ----------
    latency_ms : dict of str to float
        Percentiles over all queries. A query without an answer counts with at least
        the timeout, so that refusals do not improve the tail latency.
    coverage_mean, coverage_min : float
        Covered share of the shards over all queries; 0 for a query without an answer.
    complete_share : float
        Share of queries with a complete answer.
    goodput : float
        Complete answers within the timeout per second.
    outcomes : dict of str to int
        Number of queries by outcome.
    """

    queries: int
    latency_ms: dict[str, float]
    coverage_mean: float
    coverage_min: float
    complete_share: float
    goodput: float
    outcomes: dict[str, int]


class SecondMeasures(typing.NamedTuple):
    """Results of the queries that were scheduled to start in one second of a run.

    A named tuple, since the written results contain these rows as JSON arrays.

    Attributes
    ----------
    begin : float
        Seconds from the start of the run.
    p99_ms : float
        99th percentile of the latency in milliseconds.
    coverage : float
        Mean covered share of the shards.
    """

    begin: float
    p99_ms: float
    coverage: float


def select(record: load.Record, window: Window) -> list[int]:
    """Return the positions of the queries that were scheduled to start in a window."""
    return [
        position
        for position, start in enumerate(record.starts)
        if window.begin <= start < window.end
    ]


def histogram(
    record: load.Record, positions: collections.abc.Iterable[int], timeout_ms: float
) -> hdrh.histogram.HdrHistogram:
    """Return the histogram of the latencies in microseconds."""
    counts = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
    )
    for position in positions:
        latency_ms = record.latencies_ms[position]
        if record.outcomes[position] != "answer":
            latency_ms = max(latency_ms, timeout_ms)
        counts.record_value(max(1, round(latency_ms * 1000)))
    return counts


def summarize(
    records: collections.abc.Sequence[load.Record], window: Window, timeout_ms: float
) -> Measures:
    """Return the measures of a window over the records of all rounds."""
    joined = join(records)
    positions = select(joined, window)
    counts = histogram(joined, positions, timeout_ms)
    coverages = [_coverage(joined, position) for position in positions]
    in_time = [
        position
        for position in positions
        if _coverage(joined, position) == 1
        and joined.latencies_ms[position] <= timeout_ms
    ]
    seconds = (window.end - window.begin) * len(records)
    queries = len(positions)
    return Measures(
        queries=queries,
        latency_ms={
            f"p{percentile:g}": counts.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        },
        coverage_mean=sum(coverages) / queries if queries else math.nan,
        coverage_min=min(coverages, default=math.nan),
        complete_share=coverages.count(1) / queries if queries else math.nan,
        goodput=len(in_time) / seconds if seconds else math.nan,
        outcomes=dict(collections.Counter(joined.outcomes[p] for p in positions)),
    )


def join(records: collections.abc.Iterable[load.Record]) -> load.Record:
    """Return a single record with the queries of all records."""
    joined = load.Record()
    for record in records:
        for field in load.Record.__struct_fields__:
            getattr(joined, field).extend(getattr(record, field))
    return joined


def per_second(
    record: load.Record, seconds: float, timeout_ms: float
) -> list[SecondMeasures]:
    """Return the measures of each second in which queries were scheduled."""
    rows = []
    for begin in range(math.ceil(seconds)):
        positions = select(record, Window("", begin, begin + 1))
        if positions:
            counts = histogram(record, positions, timeout_ms)
            p99 = counts.get_value_at_percentile(99.0) / 1000
            covered = sum(_coverage(record, each) for each in positions)
            rows.append(SecondMeasures(float(begin), p99, covered / len(positions)))
    return rows


def recovery_seconds(
    record: load.Record,
    after: float,
    seconds: float,
    timeout_ms: float,
    steady_p99_ms: float,
) -> float:
    """Return the seconds from `after` until no later second is slow.

    A second is slow if its 99th percentile exceeds `SLOW_RATIO` times the steady one.
    A sliding window of one second advances by `RECOVERY_STEP_SECONDS`; the last slow
    window begins within one step of the last slow query.
    """
    steps = int((seconds - after) / RECOVERY_STEP_SECONDS + 0.5)
    for step in reversed(range(steps)):
        begin = after + step * RECOVERY_STEP_SECONDS
        window = Window("", begin, begin + RECOVERY_WINDOW_SECONDS)
        counts = histogram(record, select(record, window), timeout_ms)
        if counts.get_value_at_percentile(99.0) / 1000 > SLOW_RATIO * steady_p99_ms:
            return (step + 1) * RECOVERY_STEP_SECONDS
    return 0.0


def extra_load(received: int, queries: int, shards: int) -> float:
    """Return the sub-requests beyond one per shard and query, relative to those."""
    expected = queries * shards
    return received / expected - 1 if expected else math.nan


def ratio(chosen: float, naive: float) -> float:
    """Return chosen / naive; 1 if both are zero and NaN if only naive is."""
    if naive:
        return chosen / naive
    return 1.0 if not chosen else math.nan


def _coverage(record: load.Record, position: int) -> float:
    shards = record.shards[position]
    return record.covered[position] / shards if shards else 0.0
