"""Specification of the at-most-once claim of a non-idempotent request.

Several processes receive the same request under one key. Each creates a claim object
in the platform's store, resolves uncertain writes by reading the object, runs the
request only while the object names it as the writer, and records the outcome. A write
may be delayed for any time, even beyond the end of its process, and its reply may be
lost. A process may crash or pause at any point; a pause is an interleaving in which the
process takes no step.
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

# Results reported to the caller.
REPORTED_NOTHING = ""
REPORTED_NOT_RUN = "not_run"
REPORTED_ANSWER = "answer"
REPORTED_UNKNOWN = "unknown"


class Store(typing.NamedTuple):
    """The claim object; version 0 means that the object does not exist."""

    version: int = 0
    writer: int = -1
    state: str = ""


class Write(typing.NamedTuple):
    """A write in flight; `expected` is the version it requires, or 0 to create."""

    expected: int
    state: str


class Process(typing.NamedTuple):
    """One process that handles one request."""

    phase: str = IDLE
    tries: int = 0
    held_version: int = 0
    reported: str = REPORTED_NOTHING
    ran: bool = False
    # The last read showed that there was no claim.
    read_absent: bool = False
    in_flight: tuple[Write, ...] = ()


class State(typing.NamedTuple):
    """The whole system."""

    store: Store
    processes: tuple[Process, ...]


class Faults(typing.NamedTuple):
    """Deliberate protocol faults; each must violate an invariant."""

    trust_missing: bool = False
    take_over_unconditionally: bool = False
    retry_uncertain_run: bool = False
    refuse_after_sending: bool = False
    answer_without_run: bool = False
    refuse_unread: bool = False


NO_FAULTS = Faults()
Successors = list[tuple[str, State]]


def transitions(state: State, faults: Faults = NO_FAULTS) -> Successors:
    """Return all successor states with the labels of their actions."""
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
        # The reply is lost, or the call times out while the write is in flight.
        yield "lose_reply", store, _after_unconfirmed_write(process, faults)
    elif process.phase == READING:
        yield from _read_steps(store, number, process, faults)
    elif process.phase == HOLDING:
        yield "run", store, process._replace(phase=RUNNING, ran=True)
        refused = process._replace(reported=REPORTED_NOT_RUN)
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
    for position, write in enumerate(process.in_flight):
        in_flight = process.in_flight[:position] + process.in_flight[position + 1 :]
        after = process._replace(in_flight=in_flight)
        yield "drop", store, after
        unconditional = faults.take_over_unconditionally and write.expected > 0
        if write.expected != store.version and not unconditional:
            # The write is rejected; its process may receive that reply.
            if _awaits_reply_to(process, write):
                yield "conflict", store, _after_unconfirmed_write(after, faults)
            continue
        version = store.version + 1
        applied = Store(version, number, write.state)
        yield "apply", applied, after
        if _awaits_reply_to(process, write):
            holding = after._replace(phase=HOLDING, held_version=version)
            yield "apply_and_reply", applied, holding
        if process.phase == RECORDING and write.state != CLAIMED:
            yield "apply_record", applied, after._replace(phase=ENDED)


def _read_steps(
    store: Store, number: int, process: Process, faults: Faults
) -> typing.Iterator[Step]:
    process = process._replace(read_absent=False)
    yield "read_fails", store, _next_try(process, faults)
    if store.version == 0 and faults.trust_missing:
        yield "read", store, process._replace(phase=HOLDING, read_absent=True)
    elif store.version == 0:
        yield "read", store, _next_try(process._replace(read_absent=True), faults)
    elif store.writer == number:
        holding = process._replace(phase=HOLDING, held_version=store.version)
        yield "read", store, holding
    elif store.state == NOT_RUN:
        take = Write(store.version, CLAIMED)
        taking = process._replace(held_version=store.version)
        yield "read", store, _send_write(taking, TAKING, take, process.tries)
    elif store.state == DONE or faults.answer_without_run:
        yield "read", store, process._replace(phase=ENDED, reported=REPORTED_ANSWER)
    else:
        yield "read", store, process._replace(phase=ENDED, reported=REPORTED_UNKNOWN)


def _run_steps(store: Store, process: Process, faults: Faults) -> typing.Iterator[Step]:
    answered = process._replace(reported=REPORTED_ANSWER)
    yield "answer", store, _send_record(answered, DONE)
    uncertain = process._replace(phase=ENDED, reported=REPORTED_UNKNOWN)
    yield "uncertain", store, uncertain
    if faults.refuse_after_sending:
        yield "uncertain", store, uncertain._replace(reported=REPORTED_NOT_RUN)
    if faults.retry_uncertain_run:
        refused = process._replace(reported=REPORTED_NOT_RUN, ran=True)
        yield "uncertain", store, _send_record(refused, NOT_RUN)


def _release_steps(
    store: Store, number: int, process: Process
) -> typing.Iterator[Step]:
    yield "release_fails", store, process._replace(phase=ENDED)
    if store.writer == number:
        holding = process._replace(held_version=store.version)
        yield "release", store, _send_record(holding, NOT_RUN)
    else:
        yield "release", store, process._replace(phase=ENDED)


def _awaits_reply_to(process: Process, write: Write) -> bool:
    """Return whether a process waits for the reply to a write."""
    if process.phase == CREATING:
        return write.expected == 0
    return process.phase == TAKING and write == Write(process.held_version, CLAIMED)


def _after_unconfirmed_write(process: Process, faults: Faults) -> Process:
    if process.phase == CREATING:
        return process._replace(phase=READING)
    return _next_try(process, faults)


def _next_try(process: Process, faults: Faults) -> Process:
    if process.tries < CREATE_TRIES:
        return _send_create(process)
    is_known = process.read_absent or faults.refuse_unread
    reported = REPORTED_NOT_RUN if is_known else REPORTED_UNKNOWN
    return process._replace(phase=RELEASING, reported=reported)


def _send_create(process: Process) -> Process:
    return _send_write(process, CREATING, Write(0, CLAIMED), process.tries + 1)


def _send_record(process: Process, state: str) -> Process:
    return _send_write(
        process, RECORDING, Write(process.held_version, state), process.tries
    )


def _send_write(process: Process, phase: str, write: Write, tries: int) -> Process:
    in_flight = tuple(sorted((*process.in_flight, write)))
    return process._replace(phase=phase, tries=tries, in_flight=in_flight)


def runs_at_most_once(values: dict[str, typing.Any]) -> bool:
    """Return whether at most one process has run the request."""
    return sum(process.ran for process in values["processes"]) <= 1


def not_run_never_ran(values: dict[str, typing.Any]) -> bool:
    """Return whether no process that reported `not_run` has run the request."""
    return not any(
        process.ran and process.reported == REPORTED_NOT_RUN
        for process in values["processes"]
    )


def not_run_is_known(values: dict[str, typing.Any]) -> bool:
    """Return whether `not_run` was reported only after the store had shown it.

    A process shows that nothing ran by reading that there is no claim, or by holding
    the claim.
    """
    return all(
        process.read_absent or process.held_version
        for process in values["processes"]
        if process.reported == REPORTED_NOT_RUN
    )


def answers_come_from_a_run(values: dict[str, typing.Any]) -> bool:
    """Return whether an answer was reported only if some process ran the request."""
    processes = values["processes"]
    reported = any(process.reported == REPORTED_ANSWER for process in processes)
    return not reported or any(process.ran for process in processes)


def specification(
    processes: int = 2, faults: Faults = NO_FAULTS
) -> checker.Specification:
    """Return the specification for a number of processes that get one request."""

    def step(state: checker.State) -> list[tuple[str, checker.State]]:
        return list(transitions(State(*state), faults))

    return checker.Specification(
        name="claim",
        fields=("store", "processes"),
        initial=State(Store(), (Process(),) * processes),
        transitions=step,
        invariants={
            "runs_at_most_once": runs_at_most_once,
            "not_run_never_ran": not_run_never_ran,
            "not_run_is_known": not_run_is_known,
            "answers_come_from_a_run": answers_come_from_a_run,
        },
    )
