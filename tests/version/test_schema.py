"""Tests of the faults that are reported for configuration files."""

import copy
import pathlib
import typing

import pytest
from returns import result
from syrupy import assertion

from jackdawpass.commands import reference
from jackdawpass.version import documents, indexes, parts, review, schema

ROOT = pathlib.Path(__file__).parents[2]
BASE: dict[str, typing.Any] = {
    "services": {
        "lots": {
            "targets": {
                "lots-a": {"host": "127.0.0.1", "port": 9000, "zone": "a"},
                "lots-b": {"host": "127.0.0.1", "port": 9001, "zone": "b"},
            }
        }
    }
}


def _lines(faults: typing.Any) -> list[str]:
    return [str(fault) for fault in faults]


def test_all_faults_are_reported_at_once(snapshot: assertion.SnapshotAssertion) -> None:
    """Guards against reporting only the first of several faults."""
    document = {
        "instance_max": 20,
        "instances_max": True,
        "services": {
            "Lots": {"targets": []},
            "panel": {
                "policy": {
                    "timeout_ms": 0,
                    "favour": "speed",
                    "min_coverage": float("nan"),
                    "hedge": 1,
                },
                "targets": {"a": {"host": "", "prot": 9000, "zone": 1}},
            },
            "alerts": None,
        },
    }
    assert _lines(schema.parse_base(document).failure().faults) == snapshot


def test_rules_between_targets(snapshot: assertion.SnapshotAssertion) -> None:
    """Guards against targets that share a channel or a limit unintentionally."""
    document = copy.deepcopy(BASE)
    document["instances_max"] = 50
    targets = document["services"]["lots"]["targets"]
    targets["lots-a"]["connections"] = 49
    targets["lots-c"] = {**targets["lots-b"]}
    document["services"]["panel"] = {
        "targets": {"lots-a": {**targets["lots-a"], "zone": "c"}}
    }
    assert _lines(schema.parse_base(document).failure().faults) == snapshot


def test_one_target_may_serve_two_services() -> None:
    """Guards against rejecting a target that two services share."""
    document = copy.deepcopy(BASE)
    shared = {"lots-a": BASE["services"]["lots"]["targets"]["lots-a"]}
    document["services"]["panel"] = {"targets": shared}
    assert isinstance(schema.parse_base(document), result.Success)


def test_faults_name_their_origin(snapshot: assertion.SnapshotAssertion) -> None:
    """Guards against a fault whose origin is the wrong file: the base or an overlay."""
    base = copy.deepcopy(BASE)
    base["services"]["lots"]["policy"] = {"limit": 0}
    overlays: dict[str, dict[str, typing.Any]] = {
        "north": {"services": {"lots": {"policy": {"timeout_ms": "1"}}}},
        "south": {"instances_max": 61},
        "west": {"services": {"panel": {"policy": {}}}},
        "east": {"services": {"lots": {"targets": {"lots-a": {"host": None}}}}},
    }
    assert _lines(documents.site_faults(base, overlays)) == snapshot


def test_index_faults(snapshot: assertion.SnapshotAssertion) -> None:
    """Guards against accepting an index with shards that no declared target holds."""
    invalid_documents = [
        {"snapshot": "s1", "shards": "6", "placement": {"lots-a": [0, "1"]}, "x": 1},
        {"snapshot": "s1", "shards": 2, "placement": {"lots-a": [0, 0, 2, -1]}},
    ]
    reported = [
        _lines(indexes.parse_index(document, "lots").failure().faults)
        for document in invalid_documents
    ]
    contents = parts.split_base(BASE)
    index = {"snapshot": "s1", "shards": 9, "placement": {"lots-a": [0], "x": [1]}}
    for service in ("lots", "panel"):
        contents[parts.INDEX_PREFIX + service] = parts.encode(index)
    reported.append(_lines(review.review(contents).failure().faults))
    assert reported == snapshot


@pytest.mark.parametrize(
    "text",
    ["[]", "{", '{"a": 1, "a": 2}', '{"a": NaN}', '{"a": 1e400}', '{"a": "\\ud800"}'],
)
def test_unusable_text_is_one_fault(
    text: str, snapshot: assertion.SnapshotAssertion
) -> None:
    """Guards against accepting text whose decoded value differs from what it says."""
    error = documents.load_text(text, "base.jsonc").failure()
    assert len(str(error).splitlines()) == 1
    assert str(error) == snapshot


def test_reference_page_is_current() -> None:
    """Guards against a reference page that differs from the schema."""
    path = ROOT / "docs" / "configuration.md"
    assert path.read_text(encoding="utf-8") == reference.render()


def test_reference_describes_every_key() -> None:
    """Guards against a key that is missing from its class's docstring."""
    rows = [line for line in reference.render().splitlines() if line.startswith("| `")]
    assert [row for row in rows if row.endswith("|  |")] == []
