"""Specification of the at-most-once claim of a non-idempotent request.

Several processes get the same request under one key. Each creates a claim object in the
platform's store, settles uncertain writes by reading back, runs the request only while
the object names it as the writer, and records the outcome. A write may be delayed for
any time, also beyond the end of its process; its reply may be lost; a process may crash
or pause at any point (a pause is an interleaving in which it takes no step).
"""

import typing

from specs import checker

CREATE_TRIES = 2

# Phases of a process.
IDLE = "idle"
CREATING = "creating"
TAKING = "taking"
READING = "reading"
HOLDING = "holding"
RUNNING = "running"
RECORDING = "recording"
RELEASING = "releasing"
ENDED = "ended"

# States of the claim object.
CLAIMED = "claimed"
NOT_RUN = "not_run"
DONE = "done"

# What the caller was told.
NOTHING = ""
TOLD_NOT_RUN = "not_run"
TOLD_ANSWER = "answer"
TOLD_UNKNOWN = "unknown"


class Store(typing.NamedTuple):
    """The claim object; version 0 stands for a missing one."""

    version: int = 0
    writer: int = -1
    state: str = ""


class Write(typing.NamedTuple):
    """A write on its way; `expected` 0 creates, otherwise it is conditional."""

    expected: int
    state: str


class Process(typing.NamedTuple):
    """One process with one request."""

    phase: str = IDLE
    tries: int = 0
    held: int = 0
    told: str = NOTHING
    ran: bool = False
    flying: tuple[Write, ...] = ()


class State(typing.NamedTuple):
    """The whole system."""

    store: Store
    processes: tuple[Process, ...]


class Faults(typing.NamedTuple):
    """Seeded mutations of the protocol; each must break an invariant."""

    trust_missing: bool = False
    take_over_unconditionally: bool = False
    retry_uncertain_run: bool = False
    refuse_after_sending: bool = False
    answer_without_run: bool = False


NO_FAULTS = Faults()
Successors = list[tuple[str, State]]


def transitions(state: State, faults: Faults = NO_FAULTS) -> Successors:
    """Return all next states with the labels of their actions."""
    found: Successors = []
    for number, process in enumerate(state.processes):
        for label, store, after in _steps(state.store, number, process, faults):
            found.append((f"{label} {number}", _replace(state, store, number, after)))
    return found


def _replace(state: State, store: Store, number: int, process: Process) -> State:
    processes = list(state.processes)
    processes[number] = process
    return State(store, tuple(processes))


Step = tuple[str, Store, Process]


def _steps(
    store: Store, number: int, process: Process, faults: Faults
) -> typing.Iterator[Step]:
    yield from _network_steps(store, number, process, faults)
    if process.phase not in (IDLE, ENDED):
        yield "crash", store, process._replace(phase=ENDED)
    if process.phase == IDLE:
        yield "claim", store, _send_create(process)
    elif process.phase in (CREATING, TAKING):
        # The reply is lost, or the call times out while the write is on its way.
        yield "lose_reply", store, _after_write(process)
    elif process.phase == READING:
        yield from _read_steps(store, number, process, faults)
    elif process.phase == HOLDING:
        yield "run", store, process._replace(phase=RUNNING, ran=True)
        refused = process._replace(told=TOLD_NOT_RUN)
        yield "give_up", store, _send_record(refused, NOT_RUN)
    elif process.phase == RUNNING:
        yield from _run_steps(store, process, faults)
    elif process.phase == RECORDING:
        yield "record_unseen", store, process._replace(phase=ENDED)
    elif process.phase == RELEASING:
        yield from _release_steps(store, number, process)


def _network_steps(
    store: Store, number: int, process: Process, faults: Faults
) -> typing.Iterator[Step]:
    for position, write in enumerate(process.flying):
        flying = process.flying[:position] + process.flying[position + 1 :]
        after = process._replace(flying=flying)
        yield "drop", store, after
        unconditional = faults.take_over_unconditionally and write.expected > 0
        if write.expected != store.version and not unconditional:
            # The write is refused; its process may see that reply.
            if _awaits(process, write):
                yield "conflict", store, _after_write(after)
            continue
        version = store.version + 1
        applied = Store(version, number, write.state)
        yield "apply", applied, after
        if _awaits(process, write):
            held = after._replace(phase=HOLDING, held=version)
            yield "apply_and_reply", applied, held
        if process.phase == RECORDING and write.state != CLAIMED:
            yield "apply_record", applied, after._replace(phase=ENDED)


def _read_steps(
    store: Store, number: int, process: Process, faults: Faults
) -> typing.Iterator[Step]:
    yield "read_fails", store, _next_try(process)
    if store.version == 0 and faults.trust_missing:
        yield "read", store, process._replace(phase=HOLDING)
    elif store.version == 0:
        yield "read", store, _next_try(process)
    elif store.writer == number:
        held = process._replace(phase=HOLDING, held=store.version)
        yield "read", store, held
    elif store.state == NOT_RUN:
        take = Write(store.version, CLAIMED)
        taking = process._replace(held=store.version)
        yield "read", store, _send(taking, TAKING, take, process.tries)
    elif store.state == DONE or faults.answer_without_run:
        yield "read", store, process._replace(phase=ENDED, told=TOLD_ANSWER)
    else:
        yield "read", store, process._replace(phase=ENDED, told=TOLD_UNKNOWN)


def _run_steps(store: Store, process: Process, faults: Faults) -> typing.Iterator[Step]:
    answered = process._replace(told=TOLD_ANSWER)
    yield "answer", store, _send_record(answered, DONE)
    uncertain = process._replace(phase=ENDED, told=TOLD_UNKNOWN)
    yield "uncertain", store, uncertain
    if faults.refuse_after_sending:
        yield "uncertain", store, uncertain._replace(told=TOLD_NOT_RUN)
    if faults.retry_uncertain_run:
        refused = process._replace(told=TOLD_NOT_RUN, ran=True)
        yield "uncertain", store, _send_record(refused, NOT_RUN)


def _release_steps(
    store: Store, number: int, process: Process
) -> typing.Iterator[Step]:
    yield "release_fails", store, process._replace(phase=ENDED)
    if store.writer == number:
        held = process._replace(held=store.version)
        yield "release", store, _send_record(held, NOT_RUN)
    else:
        yield "release", store, process._replace(phase=ENDED)


def _awaits(process: Process, write: Write) -> bool:
    """Return whether the reply to a write is the one that its process waits for."""
    if process.phase == CREATING:
        return write.expected == 0
    return process.phase == TAKING and write == Write(process.held, CLAIMED)


def _after_write(process: Process) -> Process:
    if process.phase == CREATING:
        return process._replace(phase=READING)
    return _next_try(process)


def _next_try(process: Process) -> Process:
    if process.tries < CREATE_TRIES:
        return _send_create(process)
    return process._replace(phase=RELEASING, told=TOLD_NOT_RUN)


def _send_create(process: Process) -> Process:
    return _send(process, CREATING, Write(0, CLAIMED), process.tries + 1)


def _send_record(process: Process, state: str) -> Process:
    return _send(process, RECORDING, Write(process.held, state), process.tries)


def _send(process: Process, phase: str, write: Write, tries: int) -> Process:
    flying = tuple(sorted((*process.flying, write)))
    return process._replace(phase=phase, tries=tries, flying=flying)


def runs_at_most_once(values: dict[str, typing.Any]) -> bool:
    """Hold while at most one process has run the request."""
    return sum(process.ran for process in values["processes"]) <= 1


def not_run_is_truth(values: dict[str, typing.Any]) -> bool:
    """Hold while no process that told `not_run` has run the request."""
    return not any(
        process.ran and process.told == TOLD_NOT_RUN for process in values["processes"]
    )


def answers_come_from_a_run(values: dict[str, typing.Any]) -> bool:
    """Hold while an answer was told only if some process ran the request."""
    processes = values["processes"]
    told = any(process.told == TOLD_ANSWER for process in processes)
    return not told or any(process.ran for process in processes)


def specification(
    processes: int = 2, faults: Faults = NO_FAULTS
) -> checker.Specification:
    """Return the specification for a number of processes with one request."""

    def step(state: checker.State) -> list[tuple[str, checker.State]]:
        return list(transitions(State(*state), faults))

    return checker.Specification(
        name="claim",
        fields=("store", "processes"),
        initial=State(Store(), (Process(),) * processes),
        transitions=step,
        invariants={
            "runs_at_most_once": runs_at_most_once,
            "not_run_is_truth": not_run_is_truth,
            "answers_come_from_a_run": answers_come_from_a_run,
        },
    )
