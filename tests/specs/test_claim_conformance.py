"""Runs the claim code through arbitrary behaviours of its specification."""

import collections.abc

import hypothesis
import pytest
from hypothesis import strategies as st
from returns import result

from jackdawpass.request import claims, model
from specs import claim as spec
from tests.process import fake_platform
from tests.specs import delayed_platform

KEY = claims.object_key("lots", "order-1")
PROCESSES = 2
STATES = {
    spec.CLAIMED: claims.ClaimState.CLAIMED,
    spec.NOT_RUN: claims.ClaimState.NOT_RUN,
    spec.DONE: claims.ClaimState.DONE,
}


class RealProcess:
    """One process that runs the code under test."""

    def __init__(self, number: int, store: fake_platform.Store) -> None:
        self.writer = str(number)
        self.platform = delayed_platform.DelayedPlatform(store, self.writer, KEY)
        self.acquired: list[claims.AcquireResult] = []
        self.recorded: list[bool] = []
        self.crashed = False

    def perform(self, label: str, removed: spec.Write | None) -> None:
        match label:
            case "claim":
                claims.acquire(self.platform, KEY, self.writer, "h").addCallback(
                    self.acquired.append
                )
            case "crash":
                self.crashed = True
            case "lose_reply" | "record_unseen":
                self.platform.lose_reply()
            case "read" | "release":
                self.platform.answer_read()
            case "read_fails" | "release_fails":
                self.platform.answer_read(ok=False)
            case "give_up":
                self._record(claims.ClaimState.NOT_RUN)
            case "answer":
                self._record(claims.ClaimState.DONE)
            case "run" | "uncertain":
                pass
            case _:
                assert removed is not None
                self._complete_write(label, removed)

    def release(self) -> None:
        """Release the claim after a refusal, as the code that runs the request does."""
        claims.release(self.platform, KEY, self.writer).addCallback(
            self.recorded.append
        )

    def _record(self, state: claims.ClaimState) -> None:
        held = self.acquired[0].unwrap()
        assert isinstance(held, claims.Claim)
        answer: model.JsonObject = {"results": []}
        claims.record(self.platform, held, state, answer).addCallback(
            self.recorded.append
        )

    def _complete_write(self, label: str, removed: spec.Write) -> None:
        matching = [
            each for each in self.platform.in_flight if _as_spec(each) == removed
        ]
        with_reply = label in ("apply_and_reply", "apply_record", "conflict")
        write = self.platform.select_write(matching, with_reply)
        if label == "drop":
            self.platform.lose_write(write)
        else:
            self.platform.deliver(write, reply=with_reply)


def _as_spec(write: fake_platform.Call) -> spec.Write:
    assert write.expected is not None
    return spec.Write(write.expected, write.value["state"])


def _removed_write(before: spec.Process, after: spec.Process) -> spec.Write | None:
    """Return the write that a step removes from the writes in flight."""
    remaining = list(after.in_flight)
    for write in before.in_flight:
        if write in remaining:
            remaining.remove(write)
        else:
            return write
    return None


def _compare(
    state: spec.State,
    store: fake_platform.Store,
    real: list[RealProcess],
) -> None:
    if state.store.version == 0:
        assert KEY not in store.objects
    else:
        version, value = store.objects[KEY]
        assert version == state.store.version
        assert value["writer"] == str(state.store.writer)
        assert value["state"] == state.store.state
    for expected, process in zip(state.processes, real, strict=True):
        in_flight = tuple(sorted(_as_spec(each) for each in process.platform.in_flight))
        assert in_flight == expected.in_flight
        if not process.crashed:
            _compare_phase(expected, process)


def _compare_phase(expected: spec.Process, process: RealProcess) -> None:
    platform = process.platform
    writes = (spec.CREATING, spec.TAKING, spec.RECORDING)
    reads = (spec.READING, spec.RELEASING)
    assert (platform.pending_write is not None) == (expected.phase in writes)
    assert (platform.pending_read is not None) == (expected.phase in reads)
    if expected.phase in (spec.IDLE, spec.CREATING, spec.TAKING, spec.READING):
        assert not process.acquired
        return
    (acquired,) = process.acquired
    if expected.phase in (spec.HOLDING, spec.RUNNING) or expected.ran:
        assert isinstance(acquired.unwrap(), claims.Claim)
    elif expected.reported == spec.REPORTED_UNKNOWN:
        assert acquired.failure().outcome is model.Outcome.UNKNOWN
    elif expected.reported == spec.REPORTED_ANSWER:
        assert isinstance(acquired.unwrap(), model.RecordedAnswer)
    elif isinstance(acquired, result.Failure):
        assert expected.reported == spec.REPORTED_NOT_RUN
        assert acquired.failure().outcome is model.Outcome.NOT_RUN


@pytest.fixture(scope="module", autouse=True)
def bounded_tries() -> collections.abc.Iterator[None]:
    """Use the specification's limits, so that the code takes the same steps."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(claims, "ACQUIRE_TRIES", spec.CREATE_TRIES)
        patch.setattr(claims, "RECORD_TRIES", 1)
        yield


@hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
@hypothesis.given(st.data())
def test_claim_code_takes_the_steps_of_its_specification(data: st.DataObject) -> None:
    """Guards against code that deviates from the verified protocol."""
    state = spec.State(spec.Store(), (spec.Process(),) * PROCESSES)
    store = fake_platform.Store()
    real = [RealProcess(number, store) for number in range(PROCESSES)]
    for _ in range(data.draw(st.integers(1, 25))):
        steps = spec.transitions(state)
        if not steps:
            break
        label, after = data.draw(st.sampled_from(steps))
        action, number = label.rsplit(" ", 1)
        position = int(number)
        before = state.processes[position]
        real[position].perform(
            action, _removed_write(before, after.processes[position])
        )
        releasing = after.processes[position].phase == spec.RELEASING
        if releasing and before.phase != spec.RELEASING:
            real[position].release()
        state = after
        _compare(state, store, real)
