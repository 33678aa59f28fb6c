"""Rendered time lines."""

import json

from syrupy import assertion

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
