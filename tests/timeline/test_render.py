"""Tests of the text, JSON and HTML output of time lines."""

import json
import re

from syrupy import assertion

from jackdawpass.process import events
from jackdawpass.timeline import merge, render_html, render_text
from tests.timeline import sample


def test_text(snapshot: assertion.SnapshotAssertion) -> None:
    """Guards against unintended changes of the text output."""
    assert render_text.render(merge.merge(sample.two_instances())) == snapshot


def test_html(snapshot: assertion.SnapshotAssertion) -> None:
    """Guards against unintended changes of the page and unescaped values."""
    page = render_html.render(merge.merge(sample.two_instances()))
    assert "77<b>" not in page
    assert "http" not in page
    assert page == snapshot


def test_json_holds_all_events() -> None:
    """Guards against JSON output that lacks events or cannot be serialized."""
    document = json.loads(
        json.dumps(render_text.to_document(merge.merge(sample.two_instances())))
    )
    assert len(document["events"]) == 19
    assert render_text.render(merge.merge([])) == "no events"


def test_attempt_kinds_differ_in_pattern() -> None:
    """Guards against hedges and retries that differ only in colour."""
    page = render_html.render(merge.merge(sample.two_instances()))
    body = page[page.index("</defs>") :]
    for kind in ("hedge", "retry"):
        assert f'fill="url(#{kind})"' in body
        assert f'<pattern id="{kind}"' in page
    assert "\u00d7 cancelled" in body and "! shed" in body


def test_labels_of_close_marks_do_not_overlap() -> None:
    """Guards against overlapping labels of versions in quick succession."""
    writer = sample.EventWriter("entry-1-aaaaaaaa")
    for version in range(7, 11):
        kind = events.Kind.VERSION_IN_FORCE
        writer.emit(version / 100, kind, request_id="", detail=str(version))
    writer.emit(100, events.Kind.STOPPED, request_id="")
    page = render_html.render(merge.merge(writer.events))
    labels = re.findall(r'<text x="([\d.]+)" y="\d+" class="mark-label">([^<]+)', page)
    assert [text for _, text in labels[:2]] == ["version 7", "version 8"]
    for (left, text), (right, _) in zip(labels[:3], labels[1:4], strict=True):
        width = len(text) * render_html.CHARACTER_WIDTH_PX
        assert float(right) >= float(left) + width
