"""Tests of the sampling and the bounds of the log."""

import json
import os

from jackdawpass.process import logs


def test_all_lines_of_a_request_are_kept_or_none() -> None:
    """Guards against requests of which only some lines are logged."""
    sampler = logs.Sampler(1.0, lines_per_second=10, errors_per_second=0)
    kept = [
        {sampler.admit(0.0, f"request-{i}", False) for _ in range(20)}
        for i in range(50)
    ]
    assert all(len(decisions) == 1 for decisions in kept)
    assert [True in decisions for decisions in kept[:2]] == [True, False]


def test_overload_is_bounded_and_errors_are_kept_up_to_a_rate() -> None:
    """Guards against a log that grows with the load, and against dropped errors."""
    sampler = logs.Sampler(1.0, lines_per_second=100, errors_per_second=5)
    lines = 0
    errors = 0
    for step in range(100_000):
        now = step / 10_000
        request_id = f"request-{step // 10}"
        lines += sampler.admit(now, request_id, False)
        if step % 100 == 99:
            errors += sampler.admit(now, f"failed-{step}", True)
    total = 100 * 10 + 100 + 10 * 2
    assert lines <= total
    assert 5 * 10 <= errors
    assert lines + errors <= total + 5 * 10 + 5
    dropped = sampler.take_dropped()
    assert dropped["info"] == 100_000 - lines
    assert dropped["error"] == 1000 - errors
    assert sampler.take_dropped() == {}


def test_share_selects_by_request_id() -> None:
    """Guards against a sampling share that is ignored or differs between instances."""
    ids = [f"request-{i}" for i in range(2000)]
    first, second = (logs.Sampler(0.25, 1e6, 0) for _ in range(2))
    chosen = [request_id for request_id in ids if first.admit(0.0, request_id, False)]
    assert 400 <= len(chosen) <= 600
    assert chosen == [
        request_id for request_id in ids if second.admit(0.0, request_id, False)
    ]


def test_slow_reader_does_not_block_and_drops_whole_lines() -> None:
    """Guards against an event loop blocked by a slow reader of the log."""
    reading, writing = os.pipe()
    writer = logs.LineWriter(writing)
    for number in range(5000):
        writer({"number": number, "padding": "x" * 100})
    dropped = writer.take_dropped()
    assert dropped > 0
    os.set_blocking(reading, False)
    received = b"".join(iter(lambda: _read(reading), b""))
    writer.flush()
    received += b"".join(iter(lambda: _read(reading), b""))
    complete = received.split(b"\n")[:-1]
    assert [json.loads(line)["number"] for line in complete] == [*range(len(complete))]
    os.close(reading)
    os.close(writing)


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 1 << 16)
    except BlockingIOError:
        return b""
