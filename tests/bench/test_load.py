"""Tests of the load generator, run as a process."""

import time

from jackdawpass.bench import generators, layout, schedule

QUERIES_PER_SECOND = 50.0


def test_generator_counts_from_the_intended_start() -> None:
    """Guards against latencies that omit the delay of a late generator."""
    sizes = layout.Layout(timeout_ms=100)
    phases = [schedule.Phase(0.5, QUERIES_PER_SECOND)]
    late_by = 1.0
    # The start of the load is in the past, and nothing listens on the port.
    start_at = time.monotonic() - late_by
    load_generators = generators.Generators(
        sizes, phases, [1], seed=3, start_at=start_at
    )
    record = load_generators.finish()
    assert record.starts == schedule.arrivals(300, phases)
    assert set(record.outcomes) == {"broken"}
    assert min(record.latencies_ms) >= (late_by - 0.5) * 1000
