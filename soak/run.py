"""Runs the soak with one seed and checks the service guarantees."""

import dataclasses
import pathlib
import random
import tempfile
import time

from jackdawpass.connection import blocking
from soak import callers, checks, faults, testbed

START_TIMEOUT_SECONDS = 20.0
CALLERS = 8
MAX_ACTIVE_FAULTS = 4
# Requests are served again within this time after the last fault; the platform's
# documentation requires it.
RECOVERY_SECONDS = 12.0
# Share of the requests that must succeed after the recovery time.
MIN_RECOVERED_SHARE = 0.95
DRAIN_PERIOD_SECONDS = 4.5


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of a run.

    Attributes
    ----------
    injected : tuple of str
        Names of the injected faults, in order.
    faults : tuple of str
        Violated guarantees.
    """

    seed: int
    requests: int
    answered: int
    injected: tuple[str, ...]
    faults: tuple[str, ...]

    def __str__(self) -> str:
        """Return a summary of one line."""
        outcome = "; ".join(self.faults[:5]) if self.faults else "kept"
        return (
            f"seed {self.seed}: {self.requests} requests, {self.answered} answered, "
            f"{len(self.injected)} faults: {outcome}"
        )


def run(seed: int, fault_seconds: float, fronts: int = 4) -> Report:
    """Run one seed; the logs of its fronts stay in a temporary directory."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    generator = random.Random(seed)
    running = testbed.Testbed(
        directory, fronts, with_aggregators=generator.random() < 0.5
    )
    try:
        return _execute(seed, fault_seconds, generator, running)
    finally:
        running.close()


def _execute(
    seed: int, fault_seconds: float, generator: random.Random, running: testbed.Testbed
) -> Report:
    _wait_ready(running)
    clients = [callers.Caller(number, seed, running) for number in range(CALLERS)]
    for caller in clients:
        caller.start()
    injector = faults.Injector(generator, running)
    injected_names = _inject(fault_seconds, generator, injector)
    drain_period = _drain_without_faults(generator, running)
    recovery_deadline = time.monotonic() - DRAIN_PERIOD_SECONDS + RECOVERY_SECONDS
    announced_period = _announce_without_faults(generator, running)
    time.sleep(max(0.0, recovery_deadline - time.monotonic()) + 2.0)
    for caller in clients:
        caller.stop()
    for caller in clients:
        caller.join()
    observations = [each for caller in clients for each in caller.observations]
    violations = checks.check(
        observations, running.runs(), [drain_period, announced_period]
    )
    violations += _recovery_violations(
        [each for each in observations if each.sent_at > recovery_deadline]
    )
    answered = sum(each.status == 200 for each in observations)
    return Report(
        seed, len(observations), answered, tuple(injected_names), tuple(violations)
    )


def _inject(
    fault_seconds: float, generator: random.Random, injector: faults.Injector
) -> list[str]:
    """Inject faults, of which several may overlap, then end them all."""
    names = []
    active: list[tuple[float, faults.InjectedFault]] = []
    end_at = time.monotonic() + fault_seconds
    while time.monotonic() < end_at:
        if len(active) < MAX_ACTIVE_FAULTS:
            duration = generator.uniform(
                faults.MIN_FAULT_SECONDS, faults.MAX_FAULT_SECONDS
            )
            injected = injector.draw()
            names.append(injected.name)
            active.append((time.monotonic() + duration, injected))
        time.sleep(generator.uniform(0.1, 1.0))
        for entry in [e for e in active if e[0] <= time.monotonic()]:
            active.remove(entry)
            entry[1].end()
    for _, injected in active:
        injected.end()
    return names


def _drain_without_faults(
    generator: random.Random, running: testbed.Testbed
) -> checks.DrainPeriod:
    """Drain a target after all faults have ended, then make it ready again."""
    time.sleep(checks.MAX_DRAIN_DELAY_SECONDS + 1.0)
    name = generator.choice(sorted(running.targets))
    start = time.monotonic()
    running.write_target_entry(name, state="draining")
    time.sleep(DRAIN_PERIOD_SECONDS)
    end = time.monotonic()
    running.write_target_entry(name, state="ready")
    return checks.DrainPeriod(name, start, end)


def _announce_without_faults(
    generator: random.Random, running: testbed.Testbed
) -> checks.DrainPeriod:
    """Let a target's replies say that it leaves, while its entry says ready.

    Each front may send it one request late, whose reply is the first that says so.
    """
    name = generator.choice(sorted(running.targets))
    start = time.monotonic()
    running.set_faults(running.targets[name], leaving=True)
    time.sleep(DRAIN_PERIOD_SECONDS)
    return checks.DrainPeriod(name, start, time.monotonic(), len(running.fronts))


def _wait_ready(running: testbed.Testbed) -> None:
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    for name, front in running.fronts.items():
        while not _is_ready(front):
            if time.monotonic() > deadline:
                raise TimeoutError(f"{name} is not ready; see its log")
            time.sleep(0.05)


def _is_ready(front: testbed.Front) -> bool:
    try:
        url = f"http://127.0.0.1:{front.ready_port}/ready"
        return blocking.call_raw("GET", url, b"").status == 200
    except OSError:
        return False


def _recovery_violations(observations: list[checks.Observation]) -> list[str]:
    served = sum(each.status == 200 for each in observations)
    if len(observations) >= 20 and served < MIN_RECOVERED_SHARE * len(observations):
        return [
            f"recovery: {served} of {len(observations)} served after the last fault"
        ]
    return []
