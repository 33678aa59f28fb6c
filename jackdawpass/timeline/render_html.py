"""Renders a time line as one self-contained HTML page."""

import collections.abc
import datetime
import html

from jackdawpass.process import events
from jackdawpass.timeline import merge, render_text, spans

LABEL_WIDTH_PX = 230
PLOT_WIDTH_PX = 940
RIGHT_MARGIN_PX = 90
ROW_HEIGHT_PX = 16
HEADER_HEIGHT_PX = 30
# A page with more rows is slow to open and no longer read at a glance.
MAX_ROWS = 2000
TICKS = 8

_STYLE = """
body{font:14px system-ui,sans-serif;margin:20px;color:#1c2733;background:#fff}
svg{font:11px system-ui,sans-serif}
.lane{fill:#eef2f6}.name{font-weight:600}.grid{stroke:#dde3ea}
.request{fill:#c9d2dc}.bad{fill:#e9b5ad}
.first{fill:#4a7fb5}.hedge{fill:#e2952b}.retry{fill:#8a56b0}.restart{fill:#2f9c86}
.other{fill:#8b97a3}.wait{opacity:.35}
.cancelled{fill:none;stroke:#1c2733;stroke-width:1.5}
.failed{fill:#c62f1f;font-weight:700}
.version{stroke:#1f8a3b;stroke-dasharray:4 3}.drain{stroke:#c62f1f}
.other-mark{stroke:#8b97a3}
.legend span{margin-right:16px}.legend svg{vertical-align:middle;margin-right:4px}
table{border-collapse:collapse;margin-top:8px}
td,th{padding:1px 10px 1px 0;text-align:left;font-family:ui-monospace,monospace;
font-size:12px}td.n{text-align:right}
"""
_LEGEND = (
    ("first", "first attempt"),
    ("hedge", "hedge"),
    ("retry", "retry"),
    ("restart", "restart"),
)
_MARK_CLASSES = {
    events.Kind.VERSION_IN_FORCE: "version",
    events.Kind.DRAIN_STARTED: "drain",
    events.Kind.LISTENING_STOPPED: "drain",
    events.Kind.STOPPED: "drain",
}


def render(timeline: merge.Timeline) -> str:
    """Return the page: lanes per process, then the table of events."""
    count = len(timeline.entries)
    body = ["<h1>Time line</h1>"]
    if not timeline.entries:
        body.append("<p>No events.</p>")
        return _page(body)
    first = timeline.entries[0].at
    last = max(entry.at for entry in timeline.entries)
    start = datetime.datetime.fromtimestamp(first, datetime.UTC)
    body.append(
        f"<p>{count} events of {len({e.event.process for e in timeline.entries})} "
        f"processes from {start.isoformat(timespec='milliseconds')}, "
        f"{(last - first) * 1000:.1f} ms.</p>"
    )
    body.append(_legend())
    body.extend(_Plot(first, last).draw(spans.lanes(timeline.entries)))
    body.extend(_table(timeline.entries, first))
    return _page(body)


def _page(body: collections.abc.Iterable[str]) -> str:
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Time line</title><style>{_STYLE}</style></head><body>\n"
        + "\n".join(body)
        + "\n</body></html>\n"
    )


def _legend() -> str:
    swatches = [
        f'<span><svg width="14" height="10"><rect width="14" height="10" '
        f'class="{name}"/></svg>{text}</span>'
        for name, text in _LEGEND
    ]
    notes = (
        "<span>pale: waiting in the queue</span><span>outlined \u00d7: cancelled</span>"
        "<span>red !: failed</span>"
        '<span><svg width="14" height="10"><path d="M7 0V10" class="version"/></svg>'
        "configuration version</span>"
        '<span><svg width="14" height="10"><path d="M7 0V10" class="drain"/></svg>'
        "drain or stop</span>"
    )
    return f'<p class="legend">{"".join(swatches)}{notes}</p>'


class _Plot:
    """The lanes as one SVG picture."""

    def __init__(self, first: float, last: float) -> None:
        self._first = first
        self._scale = PLOT_WIDTH_PX / max(last - first, 1e-6)
        self._y = HEADER_HEIGHT_PX
        self._rows = 0
        self._shapes: list[str] = []

    def draw(self, lanes: collections.abc.Iterable[spans.Lane]) -> list[str]:
        """Return the lines of the picture."""
        for lane in lanes:
            self._lane(lane)
        width = LABEL_WIDTH_PX + PLOT_WIDTH_PX + RIGHT_MARGIN_PX
        lines = [f'<svg width="{width}" height="{self._y + 10}" role="img">']
        lines += [*self._grid(), *self._shapes, "</svg>"]
        if self._rows > MAX_ROWS:
            hidden = self._rows - MAX_ROWS
            lines.append(f"<p>{hidden} rows are not drawn; use a filter.</p>")
        return lines

    def _grid(self) -> collections.abc.Iterator[str]:
        for tick in range(TICKS + 1):
            x = LABEL_WIDTH_PX + PLOT_WIDTH_PX * tick / TICKS
            milliseconds = (x - LABEL_WIDTH_PX) / self._scale * 1000
            yield f'<path d="M{x:.1f} 18V{self._y}" class="grid"/>'
            yield (
                f'<text x="{x:.1f}" y="12" text-anchor="middle">'
                f"{milliseconds:.3g} ms</text>"
            )

    def _x(self, at: float) -> float:
        return LABEL_WIDTH_PX + (at - self._first) * self._scale

    def _lane(self, lane: spans.Lane) -> None:
        top = self._y
        width = LABEL_WIDTH_PX + PLOT_WIDTH_PX
        self._shapes.append(
            f'<rect x="0" y="{top}" width="{width}" height="18" class="lane"/>'
        )
        name = f"{lane.process} (zone {lane.zone})"
        self._text(4, top + 13, name, "name")
        self._y += ROW_HEIGHT_PX + 6
        for request in lane.requests.values():
            self._request(request)
        for entry in lane.marks:
            self._mark(entry, top)
        self._y += 10

    def _row(self) -> bool:
        """Count a row; False when it is no longer drawn."""
        self._rows += 1
        return self._rows <= MAX_ROWS

    def _request(self, request: spans.Request) -> None:
        if self._row():
            bad = request.outcome not in ("", "complete", "partial")
            label = f"{request.service} {request.request_id[:8]}"
            self._text(4, self._y + 11, label)
            title = f"{label}: {request.outcome or 'running'}"
            kind = "bad" if bad else "request"
            self._bar(request.began_at, request.ended_at, kind, title)
            end = self._x(request.ended_at) + 4
            self._text(end, self._y + 11, request.outcome)
            self._y += ROW_HEIGHT_PX
        for attempt in request.attempts.values():
            self._attempt(attempt, request.ended_at)

    def _attempt(self, attempt: spans.Attempt, request_ended_at: float) -> None:
        if not self._row():
            return
        ended_at = attempt.ended_at
        if ended_at is None:
            ended_at = max(request_ended_at, attempt.queued_at)
        sent_at = ended_at if attempt.sent_at is None else attempt.sent_at
        kind = attempt.kind or "other"
        label = f"{attempt.attempt_id} {kind} {attempt.target}"
        title = f"{label}: {attempt.end or 'no end'} {attempt.detail}".strip()
        self._text(20, self._y + 11, label)
        self._bar(attempt.queued_at, sent_at, f"{kind} wait", title)
        if attempt.sent_at is not None:
            self._bar(sent_at, ended_at, kind, title)
        x = self._x(ended_at)
        if attempt.end == "cancelled":
            self._bar(attempt.queued_at, ended_at, "cancelled", title)
            self._text(x + 4, self._y + 11, "\u00d7")
        elif attempt.end == "failed":
            self._text(x + 4, self._y + 11, f"! {attempt.detail}", "failed")
        self._y += ROW_HEIGHT_PX

    def _mark(self, entry: merge.Entry, top: float) -> None:
        event = entry.event
        x = self._x(entry.at)
        kind = _MARK_CLASSES.get(event.kind, "other-mark")
        title = html.escape(render_text.describe(entry))
        self._shapes.append(
            f'<path d="M{x:.1f} {top}V{self._y}" class="{kind}">'
            f"<title>{title}</title></path>"
        )
        if event.kind is events.Kind.VERSION_IN_FORCE:
            self._text(x + 3, top + 13, f"v{event.detail}")
        elif event.kind is events.Kind.DRAIN_STARTED:
            self._text(x + 3, top + 13, "drain")

    def _bar(self, begin: float, end: float, kind: str, title: str) -> None:
        x = self._x(begin)
        width = max(self._x(end) - x, 1.0)
        self._shapes.append(
            f'<rect x="{x:.1f}" y="{self._y + 2}" width="{width:.1f}" height="11" '
            f'class="{kind}"><title>{html.escape(title)}</title></rect>'
        )

    def _text(self, x: float, y: float, text: str, kind: str = "") -> None:
        attribute = f' class="{kind}"' if kind else ""
        self._shapes.append(
            f'<text x="{x:.1f}" y="{y}"{attribute}>{html.escape(text)}</text>'
        )


def _table(
    entries: collections.abc.Sequence[merge.Entry], first: float
) -> collections.abc.Iterator[str]:
    yield "<h2>Events</h2>\n<table><tr><th>ms</th><th>process</th><th>event</th></tr>"
    for entry in entries[:MAX_ROWS]:
        elapsed = (entry.at - first) * 1000
        process = html.escape(entry.event.process)
        text = html.escape(render_text.describe(entry))
        yield (
            f'<tr><td class="n">{elapsed:.3f}</td>'
            f"<td>{process}</td><td>{text}</td></tr>"
        )
    yield "</table>"
    if len(entries) > MAX_ROWS:
        yield f"<p>{len(entries) - MAX_ROWS} events are not listed; use a filter.</p>"
