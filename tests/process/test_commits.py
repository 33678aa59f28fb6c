"""Tests of commits with concurrent operators and lost replies."""

import collections.abc
import dataclasses
import typing

import pytest
from returns import result

from jackdawpass import errors
from jackdawpass.process import commits, retry
from jackdawpass.version import parts
from tests.process import fake_platform

TARGET = {"host": "127.0.0.1", "port": 9000, "zone": "a"}
BASE = {"services": {"lots": {"targets": {"lots-a": TARGET}}}}
OVERLAY = parts.OVERLAY_PREFIX + "north"


def _base(**keys: typing.Any) -> dict[str, bytes | None]:
    return dict(parts.split_base({**BASE, **keys}))


def _connections(count: int) -> dict[str, bytes | None]:
    targets = {"lots-a": {"connections": count}}
    return {OVERLAY: parts.encode({"services": {"lots": {"targets": targets}}})}


@pytest.fixture
def objects() -> fake_platform.Store:
    """Return a store with version 1 that answers all calls immediately."""
    store = fake_platform.Store()
    store.on_call = fake_platform.Call.answer
    _commit(store, _base()).unwrap()
    return store


def _commit(
    objects: fake_platform.Store,
    changes: commits.Changes,
    base_head: parts.Head | None = None,
    retry_policy: retry.RetryPolicy | None = None,
) -> typing.Any:
    client = fake_platform.Client(objects, "operator")
    outcomes: list[typing.Any] = []
    deferred = commits.commit(
        client, changes, base_head, retry_policy or fake_platform.no_wait()
    )
    deferred.addCallback(outcomes.append)
    return outcomes[0]


def _head(objects: fake_platform.Store) -> parts.Head:
    return objects.accepted[-1][1]


def _on_head_write(
    objects: fake_platform.Store,
    *steps: collections.abc.Callable[[fake_platform.Call], None],
) -> None:
    """Handle the next writes of the head with `steps`, and later calls as usual."""
    remaining = list(steps)

    def on_call(call: fake_platform.Call) -> None:
        if call.is_write and call.key == parts.HEAD_KEY and remaining:
            remaining.pop(0)(call)
        else:
            call.answer()

    objects.on_call = on_call


def test_change_is_rebased_onto_a_change_of_another_part(
    objects: fake_platform.Store,
) -> None:
    """Guards against refusing or losing one of two independent changes."""

    def race(call: fake_platform.Call) -> None:
        _commit(objects, _connections(50)).unwrap()
        call.answer()

    _on_head_write(objects, race)
    head = _commit(objects, _base(instances_max=20)).unwrap()
    assert head.version == 3
    assert head.parts[OVERLAY] == parts.chunk_hashes(_connections(50)[OVERLAY] or b"")


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (_base(instances_max=40), _connections(35)),
        (_connections(35), _base(instances_max=40)),
    ],
    ids=["base first", "overlay first"],
)
def test_two_changes_that_are_invalid_together_are_not_both_accepted(
    objects: fake_platform.Store,
    first: commits.Changes,
    second: commits.Changes,
) -> None:
    """Guards against validating against the base head instead of the replaced head."""

    def race(call: fake_platform.Call) -> None:
        _commit(objects, first).unwrap()
        call.answer()

    _on_head_write(objects, race)
    refused = _commit(objects, second).failure()
    assert isinstance(refused, errors.ConflictingChange)
    assert [change.version for change in refused.changes] == [2]
    assert [fault.origin for fault in refused.faults] == ["overlay north"]
    assert _head(objects).version == 2


def test_same_part_is_refused_with_its_version(objects: fake_platform.Store) -> None:
    """Guards against reverting a change made after the operator read the file."""
    base_head = _head(objects)
    _commit(objects, _base(instances_max=20)).unwrap()
    _commit(objects, _connections(50)).unwrap()
    refused = _commit(objects, _base(instances_max=25), base_head).failure()
    change = errors.ChangedPart(parts.DEFAULTS_PART, 2)
    assert refused == errors.ConflictingChange((change,))


@pytest.mark.parametrize(
    "step", [fake_platform.Call.lose_reply, fake_platform.Call.drop]
)
def test_outcome_is_found_after_a_lost_reply(
    objects: fake_platform.Store,
    step: collections.abc.Callable[[fake_platform.Call], None],
) -> None:
    """Guards against applying a change twice, or reporting an applied one as failed."""
    _on_head_write(objects, step)
    head = _commit(objects, _base(instances_max=20)).unwrap()
    assert head == _head(objects)
    assert head.version == 2


def test_outcome_is_found_behind_later_versions(
    objects: fake_platform.Store,
) -> None:
    """Guards against searching for the writer id only in the newest head."""

    def lose(call: fake_platform.Call) -> None:
        call.apply()
        _commit(objects, _connections(50)).unwrap()
        _commit(objects, _base(instances_max=25)).unwrap()
        call.drop()

    _on_head_write(objects, lose)
    head = _commit(objects, _base(instances_max=20)).unwrap()
    assert head.version == 2
    assert [head.version for _, head in objects.accepted] == [1, 2, 3, 4]


def test_unreadable_outcome_is_reported_as_uncertain(
    objects: fake_platform.Store,
) -> None:
    """Guards against reporting an accepted change as refused."""

    def lose_all(call: fake_platform.Call) -> None:
        objects.on_call = fake_platform.Call.drop
        call.lose_reply()

    _on_head_write(objects, lose_all)
    failed = _commit(objects, _base(instances_max=20)).failure()
    assert isinstance(failed, errors.CommitUncertain)
    assert failed.writer == _head(objects).writer


def test_broken_history_after_a_lost_reply_is_uncertain(
    objects: fake_platform.Store,
) -> None:
    """Guards against a definite error while the outcome is unknown."""

    def lose(call: fake_platform.Call) -> None:
        call.apply()
        _commit(objects, _connections(50)).unwrap()
        del objects.objects[parts.CHUNK_PREFIX + _head(objects).previous]
        call.drop()

    _on_head_write(objects, lose)
    failed = _commit(objects, _base(instances_max=20)).failure()
    assert isinstance(failed, errors.CommitUncertain)


def test_dropped_write_before_a_conflict_is_a_certain_refusal(
    objects: fake_platform.Store,
) -> None:
    """Guards against an uncertain outcome although the history shows the result."""

    def drop(call: fake_platform.Call) -> None:
        _commit(objects, _base(instances_max=25)).unwrap()
        call.drop()

    _on_head_write(objects, drop)
    refused = _commit(objects, _base(instances_max=20)).failure()
    assert isinstance(refused, errors.ConflictingChange)


def test_time_is_bounded(objects: fake_platform.Store) -> None:
    """Guards against further tries after a slow platform has used up the time."""
    objects.on_call = fake_platform.Call.drop
    times = iter([0.0, 0.0, retry.MAX_SECONDS])
    retry_policy = dataclasses.replace(fake_platform.no_wait(), now=lambda: next(times))
    failed = _commit(objects, _connections(50), retry_policy=retry_policy).failure()
    assert failed == errors.CommitContended(1, "lost")


def test_tries_are_bounded(objects: fake_platform.Store) -> None:
    """Guards against retrying indefinitely while other writers commit."""
    objects.on_call = fake_platform.Call.drop
    failed = _commit(
        objects, _connections(50), retry_policy=fake_platform.no_wait(max_tries=3)
    ).failure()
    assert failed == errors.CommitContended(3, "lost")


def test_equal_content_makes_no_version(objects: fake_platform.Store) -> None:
    """Guards against creating versions that change nothing."""
    assert _commit(objects, _base()) == result.Success(_head(objects))
    assert _head(objects).version == 1


def test_part_over_the_value_limit_is_committed(objects: fake_platform.Store) -> None:
    """Guards against writing an index that the platform refuses for its size."""
    shards = [list(range(65_536)) for _ in range(4)]
    targets = {
        f"lots-{position}": {**TARGET, "port": 9001 + position}
        for position in range(len(shards))
    }
    base = {"services": {"lots": {"targets": targets}}}
    index = {
        "snapshot": "s1",
        "shards": 65_536,
        "placement": dict(zip(targets, shards, strict=True)),
    }
    name = parts.INDEX_PREFIX + "lots"
    changes = {**parts.split_base(base), name: parts.encode(index)}
    head = _commit(objects, changes).unwrap()
    assert len(head.parts[name]) > 1
    sizes = [len(parts.encode(value)) for _, value in objects.objects.values()]
    assert max(sizes) <= 1_000_000
