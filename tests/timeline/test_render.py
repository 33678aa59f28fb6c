"""Rendered time lines."""

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
    """Guards against a JSON output that other programs cannot read."""
    document = json.loads(
        json.dumps(render_text.document(merge.merge(sample.two_instances())))
    )
    assert len(document["events"]) == 19
    assert render_text.render(merge.merge([])) == "no events"


def test_kinds_of_attempts_differ_without_colour() -> None:
    """Guards against hedges and retries that only their colour tells apart."""
    page = render_html.render(merge.merge(sample.two_instances()))
    drawn = page[page.index("</defs>") :]
    for kind in ("hedge", "retry"):
        assert f'fill="url(#{kind})"' in drawn
        assert f'<pattern id="{kind}"' in page
    assert "\u00d7 cancelled" in drawn and "! shed" in drawn


def test_labels_of_close_marks_do_not_overlap() -> None:
    """Guards against versions that follow each other quickly and hide each other."""
    writer = sample.Writer("entry-1-aaaaaaaa")
    for version in range(7, 11):
        kind = events.Kind.VERSION_IN_FORCE
        writer.emit(version / 100, kind, request_id="", detail=str(version))
    writer.emit(100, events.Kind.STOPPED, request_id="")
    page = render_html.render(merge.merge(writer.events))
    labels = re.findall(r'<text x="([\d.]+)" y="\d+" class="mark-label">([^<]+)', page)
    assert [text for _, text in labels[:2]] == ["version 7", "version 8"]
    for (left, text), (right, _) in zip(labels[:3], labels[1:4], strict=True):
        width = len(text) * render_html.CHARACTER_PX
        assert float(right) >= float(left) + width
