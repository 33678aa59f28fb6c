"""Tests of the event buffer and of the trace of a request."""

from jackdawpass.process import events, metrics, tracing
from jackdawpass.request import model, problems


def _attempt(attempt_id: int, kind: model.AttemptKind, target: str) -> model.Attempt:
    shards = frozenset((1, 2))
    return model.Attempt(attempt_id, "r1", "lots", target, shards, "s1", 9.0, 10, kind)


def test_buffer_is_bounded_and_continues_after_a_sequence_number() -> None:
    """Guards against unbounded memory, and against repeated or skipped events."""
    buffer = events.EventBuffer("entry-1", "a", 5)
    assert buffer.after(0, 10) == ()
    for _ in range(8):
        buffer.emit(events.Kind.STARTED)
    assert [event.seq for event in buffer.after(0, 10)] == [4, 5, 6, 7, 8]
    assert [event.seq for event in buffer.after(5, 2)] == [6, 7]
    assert buffer.after(8, 10) == ()
    assert buffer.after(1 << 40, 10) == ()


def test_causes_link_hedge_retry_and_cancel_to_their_origin() -> None:
    """Guards against a timeline that shows an event without its cause."""
    buffer = events.EventBuffer("entry-1", "a", 100)
    ended: list[str] = []
    trace = tracing.RequestTrace(
        buffer, metrics.NoMetrics(), "r1", "lots", ended.append
    )
    trace.queued(_attempt(1, model.AttemptKind.FIRST, "t1"))
    trace.sent(1)
    trace.timer()
    trace.queued(_attempt(2, model.AttemptKind.HEDGE, "t2"))
    failure = model.AttemptFailure(
        model.FailureKind.SHED, model.Execution.REFUSED_NOT_RUN
    )
    trace.failed(2, failure)
    trace.queued(_attempt(3, model.AttemptKind.RETRY, "t3"))
    trace.sent(3)
    trace.replied(3)
    trace.cancelled(1)
    coverage = model.Coverage(2, 2)
    answer = model.Answer("r1", "lots", "s1", coverage, ())
    trace.finished(answer)
    trace.finished(problems.not_run(problems.ProblemKind.OVERLOADED, "late"))
    recorded = [
        (event.seq, event.kind.value, event.attempt_id, event.cause and event.cause.seq)
        for event in buffer.after(0, 100)
    ]
    assert recorded == [
        (1, "request_accepted", 0, None),
        (2, "attempt_queued", 1, 1),
        (3, "attempt_sent", 1, 2),
        (4, "attempt_queued", 2, 3),
        (5, "attempt_failed", 2, 4),
        (6, "attempt_queued", 3, 5),
        (7, "attempt_sent", 3, 6),
        (8, "attempt_replied", 3, 7),
        (9, "attempt_cancelled", 1, 8),
        (10, "request_finished", 0, 8),
    ]
    assert ended == ["r1"]
