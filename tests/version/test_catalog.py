"""Tests of building catalogs, from scratch and from the previous version."""

import msgspec
import pytest
from returns import result

from jackdawpass.bench import catalog_cost
from jackdawpass.version import catalog, parts

TARGETS = 3 * catalog_cost.TARGETS_PER_SERVICE
CHANGED = "service-1"
INDEX = parts.INDEX_PREFIX + CHANGED
SERVICE = parts.SERVICE_PREFIX + CHANGED


@pytest.fixture
def contents() -> dict[str, bytes]:
    return catalog_cost.make_parts(TARGETS)


def _edited(
    contents: dict[str, bytes], name: str, **values: object
) -> dict[str, bytes]:
    document = msgspec.json.decode(contents[name]) | values
    return contents | {name: parts.encode(document)}


def test_incremental_build_equals_full_build(contents: dict[str, bytes]) -> None:
    """Guards against a service that is reused although its part or index changed."""
    builder = catalog.Builder("site")
    builder.build(1, contents).unwrap()
    overlay = {"services": {CHANGED: {"policy": {"timeout_ms": 7}}}}
    removed = {
        name: content for name, content in contents.items() if CHANGED not in name
    }
    for version, edited in enumerate(
        (
            _edited(contents, INDEX, snapshot="s2"),
            _edited(contents, SERVICE, policy={"timeout_ms": 5}),
            contents | {parts.OVERLAY_PREFIX + "site": parts.encode(overlay)},
            removed,
            contents,
        ),
        start=2,
    ):
        built = builder.build(version, edited).unwrap()
        assert built == catalog.build(version, "site", edited).unwrap()


def test_unchanged_services_are_reused(contents: dict[str, bytes]) -> None:
    """Guards against rebuilding all services when a single one changes."""
    builder = catalog.Builder("site")
    before = builder.build(1, contents).unwrap().services
    after = builder.build(2, _edited(contents, INDEX, snapshot="s2")).unwrap().services
    same = {name for name in after if after[name] is before[name]}
    assert same == after.keys() - {CHANGED}


def test_invalid_version_is_rejected_after_a_valid_one(
    contents: dict[str, bytes],
) -> None:
    """Guards against faults that are missed because a service was cached as valid."""
    builder = catalog.Builder("site")
    builder.build(1, contents).unwrap()
    faulty = _edited(contents, SERVICE, policy={"timeout_ms": 0})
    assert isinstance(builder.build(2, faulty), result.Failure)
    shared = msgspec.json.decode(contents[parts.SERVICE_PREFIX + "service-0"])
    clash = _edited(
        contents, SERVICE, targets={"other": shared["targets"]["service-0-0"]}
    )
    assert isinstance(builder.build(3, clash), result.Failure)
