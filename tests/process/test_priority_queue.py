"""Tests of the priority queue."""

import hypothesis
from hypothesis import strategies

from jackdawpass.process import priority_queue

_ITEMS = strategies.lists(
    strategies.tuples(strategies.integers(0, 9), strategies.floats(0, 100)),
    max_size=80,
)


@hypothesis.given(
    _ITEMS, strategies.sets(strategies.integers(0, 79)), strategies.floats(0, 100)
)
def test_order_is_priority_then_deadline_without_expired_items(
    items: list[tuple[int, float]], withdrawn: set[int], before: float
) -> None:
    """Guards against sending expired items, and a wrong order after removals."""
    queue: priority_queue.PriorityQueue[int] = priority_queue.PriorityQueue()
    kept = []
    for number, (priority, deadline) in enumerate(items):
        position = queue.push(number, priority, deadline, 80).position
        assert position is not None
        if number in withdrawn:
            assert queue.remove(position) == number
            assert queue.remove(position) is None
        else:
            kept.append((-priority, deadline, number))
    expired = {number for _, deadline, number in kept if deadline <= before}
    assert set(queue.pop_expired(before)) == expired
    kept = sorted(rank for rank in kept if rank[2] not in expired)
    assert queue.earliest_deadline == min((rank[1] for rank in kept), default=None)
    assert len(queue) == len(kept)
    assert [queue.pop() for _ in kept] == [number for _, _, number in kept]
    assert queue.pop() is None


def test_full_queue_refuses_unless_the_new_item_has_a_higher_priority() -> None:
    """Guards against an unbounded queue, and one that low priorities block."""
    queue: priority_queue.PriorityQueue[str] = priority_queue.PriorityQueue()
    queue.push("early", 5, 1.0, 2)
    queue.push("late", 5, 2.0, 2)
    assert queue.push("same", 5, 0.5, 2).position is None
    pushed = queue.push("high", 6, 9.0, 2)
    assert pushed.position is not None
    assert pushed.evicted == "late"
    assert [queue.pop(), queue.pop(), queue.pop()] == ["high", "early", None]
    assert queue.push("none", 9, 1.0, 0).position is None
