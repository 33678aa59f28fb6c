"""Rendering of a time line as one self-contained HTML page."""

import collections.abc
import datetime
import html
import math

from jackdawpass.process import events
from jackdawpass.timeline import merge, page_style, render_text, spans

LABEL_WIDTH_PX = 230
PLOT_WIDTH_PX = 940
RIGHT_MARGIN_PX = 90
ROW_HEIGHT_PX = 16
HEADER_HEIGHT_PX = 30
# Pages with more rows are slow to open and hard to read.
MAX_ROWS = 2000
MAX_TICKS = 10
# Average character width, because the text of a label is not measured in a browser.
CHARACTER_WIDTH_PX = 6.3

_MARK_CLASSES = {
    events.Kind.VERSION_IN_FORCE: "version",
    events.Kind.DRAIN_STARTED: "drain",
    events.Kind.LISTENING_STOPPED: "drain",
    events.Kind.STOPPED: "drain",
}

_MARK_TEXTS = {
    events.Kind.DRAIN_STARTED: "drain",
    events.Kind.LISTENING_STOPPED: "port closed",
    events.Kind.STOPPED: "stopped",
}


def render(timeline: merge.Timeline) -> str:
    """Return the HTML page: one lane per process, then a table of all events."""
    count = len(timeline.entries)
    body = ["<h1>Time line</h1>"]
    if not timeline.entries:
        body.append("<p>No events.</p>")
        return _page(body)
    first = timeline.entries[0].timestamp
    last = max(entry.timestamp for entry in timeline.entries)
    start = datetime.datetime.fromtimestamp(first, datetime.UTC)
    body.append(
        f"<p>{count} events of {len({e.event.process for e in timeline.entries})} "
        f"processes from {start.isoformat(timespec='milliseconds')}, "
        f"{(last - first) * 1000:.1f} ms.</p>"
    )
    body.append(page_style.legend())
    body.extend(_Plot(first, last).draw(spans.group_by_process(timeline.entries)))
    body.extend(_table(timeline.entries, first))
    return _page(body)


def _page(body: collections.abc.Iterable[str]) -> str:
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Time line</title><style>{page_style.STYLE}</style></head><body>\n"
        + "\n".join(body)
        + "\n</body></html>\n"
    )


def _tick_step(span_ms: float) -> float:
    """Return the tick interval: 1, 2 or 5 times a power of ten, in milliseconds."""
    power = 10 ** math.floor(math.log10(span_ms / MAX_TICKS))
    for factor in (1, 2, 5):
        if span_ms / (factor * power) <= MAX_TICKS:
            return factor * power
    return 10 * power


class _Plot:
    """SVG image of the lanes."""

    def __init__(self, first: float, last: float) -> None:
        self._first = first
        self._scale = PLOT_WIDTH_PX / max(last - first, 1e-6)
        self._y = HEADER_HEIGHT_PX
        self._rows = 0
        self._shapes: list[str] = []
        # Written after the shapes, so that no bar or line covers a label.
        self._labels: list[str] = []

    def draw(self, lanes: collections.abc.Iterable[spans.Lane]) -> list[str]:
        """Return the lines of the SVG image."""
        for lane in lanes:
            self._draw_lane(lane)
        width = LABEL_WIDTH_PX + PLOT_WIDTH_PX + RIGHT_MARGIN_PX
        lines = [f'<svg width="{width}" height="{self._y + 10}" role="img">']
        lines += [page_style.PATTERN_DEFINITIONS, *self._draw_grid(), *self._shapes]
        lines += [*self._labels, "</svg>"]
        if self._rows > MAX_ROWS:
            hidden = self._rows - MAX_ROWS
            lines.append(f"<p>{hidden} rows are not drawn; use a filter.</p>")
        return lines

    def _draw_grid(self) -> collections.abc.Iterator[str]:
        span_ms = PLOT_WIDTH_PX / self._scale * 1000
        step = _tick_step(span_ms)
        for tick in range(math.floor(span_ms / step) + 1):
            x = self._x(self._first + tick * step / 1000)
            yield f'<path d="M{x:.1f} 18V{self._y}" class="grid"/>'
            yield (
                f'<text x="{x:.1f}" y="12" text-anchor="middle">'
                f"{tick * step:g} ms</text>"
            )

    def _x(self, timestamp: float) -> float:
        return LABEL_WIDTH_PX + (timestamp - self._first) * self._scale

    def _draw_lane(self, lane: spans.Lane) -> None:
        top = self._y
        width = LABEL_WIDTH_PX + PLOT_WIDTH_PX
        self._shapes.append(
            f'<rect x="0" y="{top}" width="{width}" height="18" class="lane"/>'
        )
        name = f"{lane.process} (zone {lane.zone})"
        self._draw_label(4, top + 13, name, "name")
        self._y += ROW_HEIGHT_PX + 6
        for request in lane.requests.values():
            self._draw_request(request)
        min_label_x = 0.0
        for entry in lane.marks:
            min_label_x = self._draw_mark(entry, top, min_label_x)
        self._y += 10

    def _count_row(self) -> bool:
        """Count a row and return whether it is within the limit of drawn rows."""
        self._rows += 1
        return self._rows <= MAX_ROWS

    def _draw_request(self, request: spans.Request) -> None:
        if self._count_row():
            unsuccessful = request.outcome not in ("", "complete", "partial")
            label = f"{request.service} {request.request_id[:8]}"
            self._draw_label(4, self._y + 11, label)
            title = f"{label}: {request.outcome or 'running'}"
            kind = "bad" if unsuccessful else "request"
            self._draw_bar(request.started_at, request.ended_at, kind, title)
            self._draw_end_label(request.started_at, request.ended_at, request.outcome)
            self._y += ROW_HEIGHT_PX
        for attempt in request.attempts.values():
            self._draw_attempt(attempt, request.ended_at)

    def _draw_attempt(self, attempt: spans.Attempt, request_ended_at: float) -> None:
        if not self._count_row():
            return
        ended_at = attempt.ended_at
        if ended_at is None:
            ended_at = max(request_ended_at, attempt.queued_at)
        sent_at = ended_at if attempt.sent_at is None else attempt.sent_at
        kind = attempt.kind or "other"
        label = f"{attempt.attempt_id} {kind} {attempt.target}"
        title = f"{label}: {attempt.end_state or 'no end'} {attempt.detail}".strip()
        self._draw_label(20, self._y + 11, label)
        self._draw_bar(attempt.queued_at, sent_at, kind, title, queued=True)
        if attempt.sent_at is not None:
            self._draw_bar(sent_at, ended_at, kind, title)
        if attempt.end_state == "cancelled":
            self._draw_bar(attempt.queued_at, ended_at, "cancelled", title)
            self._draw_end_label(attempt.queued_at, ended_at, "\u00d7 cancelled")
        elif attempt.end_state == "failed":
            text = f"! {attempt.detail}"
            self._draw_end_label(attempt.queued_at, ended_at, text, "failed")
        self._y += ROW_HEIGHT_PX

    def _draw_mark(self, entry: merge.Entry, top: float, min_label_x: float) -> float:
        """Draw a mark and return the smallest x of the next mark's label."""
        event = entry.event
        x = self._x(entry.timestamp)
        kind = _MARK_CLASSES.get(event.kind, "other-mark")
        title = html.escape(render_text.describe(entry))
        self._shapes.append(
            f'<path d="M{x:.1f} {top}V{self._y}" class="{kind}">'
            f"<title>{title}</title></path>"
        )
        if kind == "other-mark":
            return min_label_x
        self._shapes.append(page_style.mark_symbol(x, top + 4, kind))
        text = _mark_text(event)
        begin = max(x + 8, min_label_x)
        self._draw_label(begin, top + 13, text, "mark-label")
        # Leaves room between this label and the symbol of the next mark.
        return begin + len(text) * CHARACTER_WIDTH_PX + 14

    def _draw_bar(
        self, begin: float, end: float, kind: str, title: str, queued: bool = False
    ) -> None:
        x = self._x(begin)
        width = max(self._x(end) - x, 1.0)
        draw = page_style.queue_bar if queued else page_style.bar
        self._shapes.append(
            f"<g>{draw(x, self._y + 2, width, kind)}"
            f"<title>{html.escape(title)}</title></g>"
        )

    def _draw_end_label(
        self, begin: float, end: float, text: str, kind: str = ""
    ) -> None:
        """Draw a label after a bar, or before it if the image has no room."""
        x = self._x(end) + 4
        width = len(text) * CHARACTER_WIDTH_PX
        if x + width > LABEL_WIDTH_PX + PLOT_WIDTH_PX + RIGHT_MARGIN_PX:
            x = self._x(begin) - 4 - width
        self._draw_label(x, self._y + 11, text, kind)

    def _draw_label(self, x: float, y: float, text: str, kind: str = "") -> None:
        attribute = f' class="{kind}"' if kind else ""
        self._labels.append(
            f'<text x="{x:.1f}" y="{y}"{attribute}>{html.escape(text)}</text>'
        )


def _mark_text(event: events.Event) -> str:
    if event.kind is events.Kind.VERSION_IN_FORCE:
        return f"version {event.detail}"
    return _MARK_TEXTS[event.kind]


def _table(
    entries: collections.abc.Sequence[merge.Entry], first: float
) -> collections.abc.Iterator[str]:
    yield "<h2>Events</h2>\n<table><tr><th>ms</th><th>process</th><th>event</th></tr>"
    for entry in entries[:MAX_ROWS]:
        elapsed = (entry.timestamp - first) * 1000
        process = html.escape(entry.event.process)
        text = html.escape(render_text.describe(entry))
        yield (
            f'<tr><td class="n">{elapsed:.3f}</td>'
            f"<td>{process}</td><td>{text}</td></tr>"
        )
    yield "</table>"
    if len(entries) > MAX_ROWS:
        yield f"<p>{len(entries) - MAX_ROWS} events are not listed; use a filter.</p>"
