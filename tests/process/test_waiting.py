"""Tests of the waiting queue."""

import hypothesis
from hypothesis import strategies

from jackdawpass.process import waiting

_ITEMS = strategies.lists(
    strategies.tuples(strategies.integers(0, 9), strategies.floats(0, 100)),
    max_size=80,
)


@hypothesis.given(_ITEMS, strategies.sets(strategies.integers(0, 79)))
def test_order_is_priority_then_deadline(
    items: list[tuple[int, float]], withdrawn: set[int]
) -> None:
    """Guards against an order that withdrawn items disturb."""
    queue: waiting.WaitingQueue[int] = waiting.WaitingQueue()
    places = [
        queue.push(number, priority, deadline, 80).place
        for number, (priority, deadline) in enumerate(items)
    ]
    for number in withdrawn & set(range(len(items))):
        place = places[number]
        assert place is not None
        assert queue.remove(place) == number
        assert queue.remove(place) is None
    kept = [n for n in range(len(items)) if n not in withdrawn]
    kept.sort(key=lambda n: (-items[n][0], items[n][1], n))
    assert len(queue) == len(kept)
    assert [queue.pop() for _ in kept] == kept
    assert queue.pop() is None


@hypothesis.given(_ITEMS, strategies.floats(0, 100))
def test_expired_items_leave(items: list[tuple[int, float]], before: float) -> None:
    """Guards against sending what can no longer meet its deadline."""
    queue: waiting.WaitingQueue[int] = waiting.WaitingQueue()
    for number, (priority, deadline) in enumerate(items):
        queue.push(number, priority, deadline, 80)
    late = {n for n, (_, deadline) in enumerate(items) if deadline <= before}
    assert set(queue.pop_expired(before)) == late
    assert len(queue) == len(items) - len(late)
    earliest = min((d for _, d in items if d > before), default=None)
    assert queue.earliest_deadline == earliest


def test_full_queue_refuses_unless_the_new_item_has_a_higher_priority() -> None:
    """Guards against a queue that grows, or that low priorities block."""
    queue: waiting.WaitingQueue[str] = waiting.WaitingQueue()
    queue.push("early", 5, 1.0, 2)
    queue.push("late", 5, 2.0, 2)
    assert queue.push("same", 5, 0.5, 2).place is None
    admission = queue.push("high", 6, 9.0, 2)
    assert admission.place is not None
    assert admission.displaced == "late"
    assert [queue.pop(), queue.pop(), queue.pop()] == ["high", "early", None]
    assert queue.push("none", 9, 1.0, 0).place is None
