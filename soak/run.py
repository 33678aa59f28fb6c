"""One run of the soak: processes, callers, faults, calm, checks."""

import dataclasses
import pathlib
import random
import tempfile
import time

from jackdawpass.connection import blocking
from soak import callers, checks, faults, testbed

START_SECONDS = 20.0
CALLERS = 8
# Faults that hold at once, at most.
MAX_AT_ONCE = 4
# Time in which all is served again after the last fault, as the platform's pages say.
RECOVERY_SECONDS = 12.0
# What must be served then: the least share that still counts as recovered.
RECOVERED_SHARE = 0.95
DRAIN_WAIT_SECONDS = 4.5


@dataclasses.dataclass(frozen=True)
class Report:
    """What a run injected and found."""

    seed: int
    requests: int
    answered: int
    injected: tuple[str, ...]
    faults: tuple[str, ...]

    def __str__(self) -> str:
        """Return one line."""
        outcome = "; ".join(self.faults[:5]) if self.faults else "kept"
        return (
            f"seed {self.seed}: {self.requests} requests, {self.answered} answered, "
            f"{len(self.injected)} faults: {outcome}"
        )


def run(seed: int, seconds: float, fronts: int = 4) -> Report:
    """Play one seed; keep its logs when a promise is broken."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    generator = random.Random(seed)
    running = testbed.Testbed(directory, fronts, tier=generator.random() < 0.5)
    try:
        return _play(seed, seconds, generator, running)
    finally:
        running.close()


def _play(
    seed: int, seconds: float, generator: random.Random, running: testbed.Testbed
) -> Report:
    _wait_ready(running)
    asking = [callers.Caller(number, seed, running) for number in range(CALLERS)]
    for caller in asking:
        caller.start()
    injector = faults.Injector(generator, running)
    injected = _inject(seconds, generator, injector)
    left = _leave_in_calm(generator, running)
    calm_at = time.monotonic() - DRAIN_WAIT_SECONDS + RECOVERY_SECONDS
    time.sleep(max(0.0, calm_at - time.monotonic()) + 2.0)
    for caller in asking:
        caller.stop()
    for caller in asking:
        caller.join()
    seen = [each for caller in asking for each in caller.seen]
    found = checks.check(seen, running.runs(), [left])
    found += _recovery_faults([each for each in seen if each.sent > calm_at])
    answered = sum(each.status == 200 for each in seen)
    return Report(seed, len(seen), answered, tuple(injected), tuple(found))


def _inject(
    seconds: float, generator: random.Random, injector: faults.Injector
) -> list[str]:
    """Inject faults in series and overlapping, then end them all."""
    names = []
    holding: list[tuple[float, faults.Injected]] = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if len(holding) < MAX_AT_ONCE:
            lasts = generator.uniform(faults.MIN_SECONDS, faults.MAX_SECONDS)
            injected = injector.draw()
            names.append(injected.name)
            holding.append((time.monotonic() + lasts, injected))
        time.sleep(generator.uniform(0.1, 1.0))
        for entry in [e for e in holding if e[0] <= time.monotonic()]:
            holding.remove(entry)
            entry[1].end()
    for _, injected in holding:
        injected.end()
    return names


def _leave_in_calm(generator: random.Random, running: testbed.Testbed) -> checks.Left:
    """Let a target leave once all faults have ended, and come back."""
    time.sleep(checks.DRAIN_SECONDS + 1.0)
    name = generator.choice(sorted(running.targets))
    at = time.monotonic()
    running.list_target(name, state="draining")
    time.sleep(DRAIN_WAIT_SECONDS)
    back = time.monotonic()
    running.list_target(name, state="ready")
    return checks.Left(name, at, back)


def _wait_ready(running: testbed.Testbed) -> None:
    until = time.monotonic() + START_SECONDS
    for name, front in running.fronts.items():
        while not _is_ready(front):
            if time.monotonic() > until:
                raise TimeoutError(f"{name} is not ready; see its log")
            time.sleep(0.05)


def _is_ready(front: testbed.Front) -> bool:
    try:
        url = f"http://127.0.0.1:{front.ready_port}/ready"
        return blocking.call_raw("GET", url, b"").status == 200
    except OSError:
        return False


def _recovery_faults(seen: list[checks.Seen]) -> list[str]:
    served = sum(each.status == 200 for each in seen)
    if len(seen) >= 20 and served < RECOVERED_SHARE * len(seen):
        return [f"recovery: {served} of {len(seen)} served after the last fault"]
    return []
