"""Tests of the order of merged events, of clock offsets and of filters."""

import random
import typing

import hypothesis
from hypothesis import strategies

from jackdawpass.process import events
from jackdawpass.timeline import filters, merge
from tests.timeline import sample

PROCESSES = 4


@strategies.composite
def _event_histories(draw: typing.Any) -> list[events.Event]:
    """Draw shuffled, causally consistent events with arbitrary clock offsets."""
    offset = strategies.floats(-1e5, 1e5)
    writers = [sample.EventWriter(f"p-{i}", draw(offset)) for i in range(PROCESSES)]
    references: list[events.Reference] = []
    for step in range(draw(strategies.integers(1, 30))):
        writer = writers[draw(strategies.integers(0, PROCESSES - 1))]
        cause = draw(strategies.sampled_from([None, *references]))
        references.append(writer.emit(step, events.Kind.ATTEMPT_SENT, cause))
    input_events = [event for writer in writers for event in writer.events]
    random.Random(draw(strategies.integers(0, 99))).shuffle(input_events)
    return input_events


@hypothesis.given(_event_histories())
@hypothesis.settings(deadline=None)
def test_order_respects_causes_for_any_clock_offsets(
    input_events: list[events.Event],
) -> None:
    """Guards against a reply shown before its request when clocks differ."""
    timeline = merge.merge(input_events + input_events[:3])
    assert timeline.in_cycles == 0
    positions = {}
    timestamps = {}
    for index, entry in enumerate(timeline.entries):
        reference = events.Reference(entry.event.process, entry.event.seq)
        positions[reference] = index
        timestamps[reference] = entry.timestamp
    assert len(positions) == len(timeline.entries) == len(input_events)
    for reference, index in positions.items():
        event = timeline.entries[index].event
        previous = events.Reference(event.process, event.seq - 1)
        for earlier in (event.cause, previous if event.seq > 1 else None):
            if earlier is not None:
                assert positions[earlier] < index
                assert timestamps[earlier] <= timestamps[reference]


def test_cause_is_the_last_event_of_the_preceding_process() -> None:
    """Guards against a first event losing its cause in the process sorted before it.

    The cause directly precedes the event in the order by process and sequence number.
    """
    first = sample.EventWriter("p-0", 0.0)
    second = sample.EventWriter("p-1", -10.0)
    cause = first.emit(1, events.Kind.ATTEMPT_SENT, None)
    second.emit(2, events.Kind.ATTEMPT_REPLIED, cause)
    timeline = merge.merge([*second.events, *first.events])
    assert [entry.event.process for entry in timeline.entries] == ["p-0", "p-1"]
    assert timeline.entries[0].timestamp <= timeline.entries[1].timestamp


def test_offsets_are_estimated_from_causes_in_both_directions() -> None:
    """Guards against offsets of 0 although causes bound them on both sides."""
    timeline = merge.merge(sample.two_instances())
    assert abs(timeline.offsets["entry-2-bbbbbbbb"] - 3.0) <= 0.002
    assert timeline.offsets["entry-1-aaaaaaaa"] == 0.0


def test_cycle_of_causes_is_reported_and_loses_no_event() -> None:
    """Guards against an endless loop or lost events with a corrupt log."""
    writer = sample.EventWriter("p-1")
    writer.emit(0, events.Kind.STARTED, events.Reference("p-1", 2))
    writer.emit(1, events.Kind.STOPPED)
    timeline = merge.merge(writer.events)
    assert [entry.event.seq for entry in timeline.entries] == [1, 2]
    assert timeline.in_cycles == 1


def test_filters_select_by_each_field() -> None:
    """Guards against a condition of a filter that is ignored."""
    timeline = merge.merge(sample.two_instances())
    start = timeline.entries[0].timestamp
    for event_filter, count in (
        (filters.Filter(), 19),
        (filters.Filter(request="4f2a"), 14),
        (filters.Filter(service="lots"), 16),
        (filters.Filter(instance="entry-2"), 4),
        (filters.Filter(target="lots-c"), 3),
        (filters.Filter(since=start + 0.0205, until=start + 0.0215), 3),
    ):
        assert len(filters.apply(timeline, event_filter).entries) == count
