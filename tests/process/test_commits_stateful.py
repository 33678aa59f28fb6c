"""Stateful test of two operators whose writes are lost, dropped and delayed."""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from returns import result

from jackdawpass import errors
from jackdawpass.process import commits
from jackdawpass.version import parts, review
from tests.process import fake_platform

SITES = ("north", "south")
REFUSALS = (
    errors.ConflictingChange,
    errors.InvalidConfiguration,
    errors.CommitContended,
)


def _target(**settings: int) -> dict[str, typing.Any]:
    return {"services": {"lots": {"targets": {"lots-a": settings}}}}


def _overlay(connections: int) -> bytes:
    return parts.encode(_target(connections=connections))


# An overlay with 30 connections is invalid if the base allows 40 instances.
CHANGES: st.SearchStrategy[dict[str, bytes | None]] = st.one_of(
    st.sampled_from([20, 30, 40]).map(
        lambda count: {parts.DEFAULTS_PART: parts.encode({"instances_max": count})}
    ),
    st.tuples(st.sampled_from(SITES), st.sampled_from([30, 50])).map(
        lambda chosen: {parts.OVERLAY_PREFIX + chosen[0]: _overlay(chosen[1])}
    ),
)


class Commits(stateful.RuleBasedStateMachine):
    """Comparison of the accepted heads with a sequential replay of the changes."""

    def __init__(self) -> None:
        super().__init__()
        self.objects = fake_platform.Store()
        self.delayed: list[fake_platform.Call] = []
        self.changes: dict[str, dict[str, bytes | None]] = {}
        self.outcomes: dict[str, typing.Any] = {}
        target = {"host": "127.0.0.1", "port": 9000, "zone": "a"}
        base = {"services": {"lots": {"targets": {"lots-a": target}}}}
        self._start(dict(parts.split_base(base)))
        self._answer_all()

    def _start(self, changes: dict[str, bytes | None]) -> None:
        name = f"commit-{len(self.changes)}"
        self.changes[name] = changes
        client = fake_platform.Client(self.objects, name)
        deferred = commits.commit(client, changes, None, fake_platform.no_wait(6))
        deferred.addCallback(lambda outcome: self.outcomes.update({name: outcome}))

    def _answer_all(self) -> None:
        while self.objects.calls:
            self.objects.calls.pop(0).answer()

    @property
    def running(self) -> int:
        return len(self.changes) - len(self.outcomes)

    @stateful.precondition(lambda self: self.running < 2)
    @stateful.rule(changes=CHANGES)
    def start(self, changes: dict[str, bytes | None]) -> None:
        self._start(changes)

    @stateful.precondition(lambda self: self.objects.calls)
    @stateful.rule(data=st.data(), count=st.integers(1, 8))
    def answer(self, data: st.DataObject, count: int) -> None:
        chosen = data.draw(st.sampled_from(self.objects.calls)).client
        for _ in range(count):
            own_calls = [call for call in self.objects.calls if call.client == chosen]
            if own_calls:
                self.objects.calls.remove(own_calls[0])
                own_calls[0].answer()

    @stateful.precondition(lambda self: self._head_writes())
    @stateful.rule(data=st.data(), kind=st.sampled_from(["lose", "drop", "delay"]))
    def disturb(self, data: st.DataObject, kind: str) -> None:
        call = data.draw(st.sampled_from(self._head_writes()))
        self.objects.calls.remove(call)
        if kind == "lose":
            call.lose_reply()
            return
        if kind == "delay":
            self.delayed.append(call)
        call.drop()

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule()
    def apply_delayed_write(self) -> None:
        self.delayed.pop(0).apply()

    def _head_writes(self) -> list[fake_platform.Call]:
        return [
            call
            for call in self.objects.calls
            if call.is_write and call.key == parts.HEAD_KEY
        ]

    @stateful.invariant()
    def versions_are_totally_ordered(self) -> None:
        versions = [head.version for _, head in self.objects.accepted]
        assert versions == list(range(1, len(versions) + 1))

    @stateful.invariant()
    def each_change_is_applied_once_and_nothing_reverts(self) -> None:
        names = [name for name, _ in self.objects.accepted]
        assert len(set(names)) == len(names)
        contents: dict[str, bytes] = {}
        for name, head in self.objects.accepted:
            for part, content in self.changes[name].items():
                assert content is not None
                contents[part] = content
            replayed = {
                part: parts.chunk_hashes(content) for part, content in contents.items()
            }
            assert head.parts == replayed
            assert review.review(contents) == result.Success(None)

    @stateful.invariant()
    def no_change_overwrites_changes_unseen_by_its_operator(self) -> None:
        parts_by_version = [{}, *(head.parts for _, head in self.objects.accepted)]
        for name, head in self.objects.accepted:
            base_parts = parts_by_version[self.objects.first_read_version[name]]
            replaced = parts_by_version[head.version - 1]
            for part in self.changes[name]:
                expected = (base_parts.get(part), head.parts[part])
                assert replaced.get(part) in expected

    def teardown(self) -> None:
        """Check all outcomes after all pending calls have finished."""
        self._answer_all()
        for call in self.delayed:
            call.apply()
        accepted = dict(self.objects.accepted)
        heads = list(accepted.values())
        for name in self.changes:
            outcome = self.outcomes[name]
            if isinstance(outcome, result.Success):
                assert outcome.unwrap() in heads
                assert outcome.unwrap() == accepted.get(name, outcome.unwrap())
            else:
                assert isinstance(outcome.failure(), REFUSALS)
                assert name not in accepted


Commits.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestCommits = Commits.TestCase
