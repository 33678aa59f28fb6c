"""Rendering of a time line as text or JSON."""

import datetime

import msgspec

from jackdawpass.request import model
from jackdawpass.timeline import merge


def render(timeline: merge.Timeline) -> str:
    """Return one line per event, with the milliseconds since the first event."""
    if not timeline.entries:
        return "no events"
    first = timeline.entries[0].timestamp
    start = datetime.datetime.fromtimestamp(first, datetime.UTC)
    width = max(len(entry.event.process) for entry in timeline.entries)
    lines = [f"from {start.isoformat(timespec='milliseconds')}"]
    lines += [
        f"clock of {process} corrected by {offset * 1000:+.3f} ms"
        for process, offset in sorted(timeline.offsets.items())
        if offset
    ]
    if timeline.in_cycles:
        lines.append(f"causes form a cycle at {timeline.in_cycles} events")
    for entry in timeline.entries:
        elapsed = (entry.timestamp - first) * 1000
        process = entry.event.process.ljust(width)
        lines.append(f"{elapsed:+12.3f} ms  {process}  {describe(entry)}")
    return "\n".join(lines)


def describe(entry: merge.Entry) -> str:
    """Return the kind and fields of an event, without its time and process."""
    event = entry.event
    parts = [event.kind.value]
    if event.detail:
        parts.append(event.detail)
    if event.request_id:
        parts.append(f"request={event.request_id[:8]}")
    if event.service:
        parts.append(f"service={event.service}")
    if event.attempt_id:
        parts.append(f"attempt={event.attempt_id}/{event.attempt_kind}")
    if event.target:
        parts.append(f"target={event.target}")
    if event.cause is not None:
        same_process = event.cause.process == event.process
        origin = "" if same_process else f"{event.cause.process}:"
        parts.append(f"after={origin}{event.cause.seq}")
    return f"#{event.seq} " + " ".join(parts)


def to_document(timeline: merge.Timeline) -> model.JsonObject:
    """Return the time line as a JSON-serializable document."""
    return {
        "offsets_seconds": timeline.offsets,
        "in_cycles": timeline.in_cycles,
        "events": [
            {"at": entry.timestamp, **msgspec.to_builtins(entry.event)}
            for entry in timeline.entries
        ],
    }
