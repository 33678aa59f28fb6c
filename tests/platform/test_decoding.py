"""Tests of decoding objects of the store, including malformed ones."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from jackdawpass.platform import decoding

ENTRY = {
    "service": "g",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 17,
}
ROUTE = {
    "name": "r",
    "host": "H",
    "path_prefix": "/a/",
    "type": "idempotent",
    "timeout_ms": 400,
    "target_latency_ms": 44,
    "priority": 2,
    "fanout": ["g1", "g2"],
    "max_attempts": 2,
    "top_k": 5,
    "min_shard_ratio": 0.75,
}
SINGLE = {
    "name": "s",
    "host": "H",
    "path_prefix": "/s/",
    "type": "non_idempotent",
    "timeout_ms": 1000,
    "service": "g1",
}
SPLIT = SINGLE | {
    "name": "w",
    "path_prefix": "/w/",
    "service": None,
    "traffic_split": [{"service": "g1", "weight": 3}, {"service": "g2", "weight": 1}],
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE, SINGLE, SPLIT],
    "services": [{"name": "g1", "max_connections": 58, "health_path": "/h"}],
    "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "idle_timeout_ms": 500},
}


NESTED: list[object] = []
for _ in range(300):
    NESTED = [NESTED]
INSTANCE = {"zone": "a", "host": "10.0.0.1", "port": 80, "capacity": 0.7}


def raw(content: object) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(content))


def test_target_entry() -> None:
    """Guards against fields of an entry that are assigned to wrong attributes."""
    target = decoding.decode_target("i-1", raw(ENTRY))
    assert target is not None
    assert (target.name, target.group, target.zone) == ("i-1", "g", "a")
    assert target.incarnation == ("g", "10.0.0.1", 80, 17)
    assert target.cold_seconds == 1.5
    assert not target.leaving


def test_draining_target_is_leaving() -> None:
    """Guards against new requests to a target whose draining state is not decoded."""
    target = decoding.decode_target("i-1", raw(ENTRY | {"state": "draining"}))
    assert target is not None and target.leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": 3},
        {"address": "nowhere"},
        {"address": "h:x"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:-80"},
        {"address": "a.host.example:80"},
        {"slots": "two"},
        {"slots": 0},
        {"slots": int("9" * 400)},
        {"cold_remaining_ms": -1},
        {"born": int("9" * 400)},
        {"zone": NESTED},
        {"born": "yesterday"},
        {"service": None},
    ],
)
def test_malformed_entry_is_ignored(change: dict[str, object]) -> None:
    """Guards against using, or failing on, an entry in an unknown format."""
    assert decoding.decode_target("i-1", raw(ENTRY | change)) is None


@pytest.mark.parametrize("name", ["a\r\nX-Request-Deadline: 1", "a\n", "\x00"])
def test_entry_whose_name_no_header_can_hold_is_ignored(name: str) -> None:
    """Guards against headers that another writer adds to all requests."""
    assert decoding.decode_target(name, raw(ENTRY)) is None


@pytest.mark.parametrize(
    "change",
    [
        {"port": 0},
        {"port": 99999},
        {"host": "a.host.example"},
        {"capacity": -1},
        {"capacity": 1e300},
        {"zone": None},
    ],
)
def test_malformed_instance_is_ignored(change: dict[str, object]) -> None:
    """Guards against an announced instance to which no request can be sent."""
    assert decoding.decode_instance("front-1", raw(INSTANCE)) is not None
    assert decoding.decode_instance("front-1", raw(INSTANCE | change)) is None


@pytest.mark.parametrize("name", ["service", "address", "zone", "state", "slots"])
def test_entry_with_a_missing_field_is_ignored(name: str) -> None:
    """Guards against assuming defaults for missing fields."""
    entry = {key: value for key, value in ENTRY.items() if key != name}
    assert decoding.decode_target("i-1", raw(entry)) is None


@hypothesis.given(strategies.binary())
def test_any_bytes_are_an_entry_or_none(content: bytes) -> None:
    """Guards against a bad entry that stops an instance from following the list."""
    assert decoding.decode_target("i-1", msgspec.Raw(content)) is None
    assert decoding.decode_configuration("main", msgspec.Raw(content)) is None


def test_configuration() -> None:
    """Guards against wrong units and wrong kinds of routes."""
    table = decoding.decode_configuration("main", raw(CONFIGURATION))
    gathered, single, split = (table.route(name) for name in ("r", "s", "w"))
    assert table.version == 7
    assert table.groups["g1"].max_connections == 58
    assert table.limits.idle_timeout == 0.5
    assert gathered.shards == ("g1", "g2") and gathered.idempotent
    assert (gathered.timeout, gathered.latency_objective) == (0.4, 0.044)
    assert (gathered.limit, gathered.min_coverage) == (5, 0.75)
    assert single.pick_group(0.5) == "g1" and not single.idempotent
    assert [part.weight for part in split.split] == [3, 1]
    assert table.match("h", "/s/x") is single


def test_other_objects_of_the_kind_are_ignored() -> None:
    """Guards against a draft that is applied because it has the kind `config` too."""
    assert decoding.decode_configuration("draft", raw(CONFIGURATION)) is None
