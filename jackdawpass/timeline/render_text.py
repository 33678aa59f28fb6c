"""Renders a time line as text or JSON."""

import datetime

import msgspec

from jackdawpass.request import model
from jackdawpass.timeline import merge


def render(timeline: merge.Timeline) -> str:
    """Return one line per event, with the time since the first in milliseconds."""
    if not timeline.entries:
        return "no events"
    first = timeline.entries[0].at
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
        elapsed = (entry.at - first) * 1000
        process = entry.event.process.ljust(width)
        lines.append(f"{elapsed:+12.3f} ms  {process}  {describe(entry)}")
    return "\n".join(lines)


def describe(entry: merge.Entry) -> str:
    """Return what happened, without time and process."""
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
        same = event.cause.process == event.process
        origin = "" if same else f"{event.cause.process}:"
        parts.append(f"after={origin}{event.cause.seq}")
    return f"#{event.seq} " + " ".join(parts)


def document(timeline: merge.Timeline) -> model.JsonObject:
    """Return the time line as a document that JSON can express."""
    return {
        "offsets_seconds": timeline.offsets,
        "in_cycles": timeline.in_cycles,
        "events": [
            {"at": entry.at, **msgspec.to_builtins(entry.event)}
            for entry in timeline.entries
        ],
    }
