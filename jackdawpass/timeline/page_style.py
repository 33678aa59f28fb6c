"""Style sheet, SVG shapes and legend of the time line page."""

# Attempt kinds differ in pattern as well as in colour, so that the page stays readable
# in greyscale and for colour-blind readers.
STYLE = """
:root{color-scheme:light dark;--ink:#1c2733;--paper:#fff;--band:#e8edf2;
--grid:#dde3ea;--request:#c3cdd8;--bad:#e3a79d;--first:#4a7fb5;--hedge:#d98312;
--retry:#8a56b0;--restart:#1f8f79;--other:#8b97a3;--alarm:#b3261a;--version:#14752e}
@media (prefers-color-scheme:dark){:root{--ink:#e3e9ef;--paper:#14191f;
--band:#242d37;--grid:#2c3641;--request:#55626f;--bad:#8a4a41;--first:#6ea6df;
--hedge:#f0a440;--retry:#bb8be0;--restart:#4cc4ab;--other:#8b97a3;--alarm:#ff8a7d;
--version:#5fd07f}}
body{font:14px system-ui,sans-serif;margin:20px;color:var(--ink);
background:var(--paper)}
h1{font-size:22px;margin:0 0 4px}h2{font-size:17px}
svg{font:11px system-ui,sans-serif}
text{fill:var(--ink);stroke:var(--paper);stroke-width:3;paint-order:stroke}
.lane{fill:var(--band)}.grid{stroke:var(--grid)}
.name,.mark-label{font-weight:600;stroke:var(--band)}
.request{fill:var(--request)}.bad{fill:var(--bad)}
.first{fill:var(--first)}.hedge{fill:var(--hedge)}.retry{fill:var(--retry)}
.restart{fill:var(--restart)}.other{fill:var(--other)}
.stroke{stroke:var(--paper);stroke-width:2;fill:none}
.cancelled{fill:none;stroke:var(--ink);stroke-width:1.5}
.failed{fill:var(--alarm);font-weight:700}
.version{stroke:var(--version);stroke-width:1.5;stroke-dasharray:5 3}
.drain{stroke:var(--alarm);stroke-width:2}
.other-mark{stroke:var(--other);stroke-dasharray:1 3}
.version-head{fill:var(--version)}.drain-head{fill:var(--alarm)}
.legend span{display:inline-block;margin:0 18px 4px 0}
.legend svg{vertical-align:middle;margin-right:5px}
table{border-collapse:collapse;margin-top:8px}
td,th{padding:1px 10px 1px 0;text-align:left;font-family:ui-monospace,monospace;
font-size:12px}td.n{text-align:right}
"""
PATTERN_DEFINITIONS = (
    '<defs><pattern id="hedge" width="6" height="6" patternUnits="userSpaceOnUse" '
    'patternTransform="rotate(45)"><path d="M1 0V6" class="stroke"/></pattern>'
    '<pattern id="retry" width="5" height="6" patternUnits="userSpaceOnUse">'
    '<path d="M1 0V6" class="stroke"/></pattern>'
    '<pattern id="restart" width="8" height="8" patternUnits="userSpaceOnUse">'
    '<path d="M0 0L8 8M8 0L0 8" class="stroke"/></pattern></defs>'
)
PATTERNED_KINDS = ("hedge", "retry", "restart")
BAR_HEIGHT_PX = 11
QUEUE_BAR_HEIGHT_PX = 3
_LEGEND = (
    ("request", "request"),
    ("first", "first attempt"),
    ("hedge", "hedge (slanted)"),
    ("retry", "retry (upright)"),
    ("restart", "restart (crossed)"),
)


def bar(x: float, y: float, width: float, kind: str) -> str:
    """Return an SVG bar in the colour and pattern of its kind."""
    geometry = f'x="{x:.1f}" y="{y}" width="{width:.1f}" height="{BAR_HEIGHT_PX}"'
    shape = f'<rect {geometry} class="{kind}"/>'
    if kind in PATTERNED_KINDS:
        shape += f'<rect {geometry} fill="url(#{kind})"/>'
    return shape


def queue_bar(x: float, y: float, width: float, kind: str) -> str:
    """Return the thin SVG bar for the time that an attempt was queued."""
    top = y + (BAR_HEIGHT_PX - QUEUE_BAR_HEIGHT_PX) / 2
    return (
        f'<rect x="{x:.1f}" y="{top}" width="{width:.1f}" '
        f'height="{QUEUE_BAR_HEIGHT_PX}" class="{kind}"/>'
    )


def mark_symbol(x: float, y: float, kind: str) -> str:
    """Return the symbol at the top of a mark: a diamond for a version or a triangle."""
    shape = "l5 5l-5 5l-5 -5z" if kind == "version" else "m-5 0h10l-5 9z"
    return f'<path d="M{x:.1f} {y}{shape}" class="{kind}-head"/>'


def legend() -> str:
    """Return the legend in HTML, drawn with the same shapes as the lanes."""
    items = [(bar(0, 1, 30, kind), text) for kind, text in _LEGEND]
    items += [
        (queue_bar(0, 1, 30, "first"), "thin: waiting in the queue"),
        (
            bar(1, 1, 28, "first")
            + f'<rect x="1" y="1" width="28" height="{BAR_HEIGHT_PX}" '
            'class="cancelled"/>',
            "outlined, \u00d7: cancelled",
        ),
        ('<text x="12" y="11" class="failed">!</text>', "kind of failure"),
        (
            f'<path d="M15 0V14" class="version"/>{mark_symbol(15, 0, "version")}',
            "configuration version in force",
        ),
        (
            f'<path d="M15 0V14" class="drain"/>{mark_symbol(15, 0, "drain")}',
            "drain or stop",
        ),
    ]
    spans = [
        f'<span><svg width="30" height="14">{shape}</svg>{text}</span>'
        for shape, text in items
    ]
    return f'<p class="legend">{"".join(spans)}</p>'
