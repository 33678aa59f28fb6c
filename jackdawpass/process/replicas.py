"""Live statistics of the targets of one service."""

import collections.abc
import dataclasses
import math
import statistics

from jackdawpass.request import model

LATENCY_WEIGHT = 0.2
# Without traffic an old latency loses its weight, so that a slow target is tried again.
LATENCY_FADES_SECONDS = 10.0
DEFAULT_LATENCY_SECONDS = 0.001
# Differences under this are scheduling noise on small machines.
LATENCY_SLACK_SECONDS = 0.002

FAILURES_TO_EJECT = 3
MAX_EJECTED_SHARE = 0.5
EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0

# A target that stalls sends no reply to measure; its attempts are cancelled when a
# hedge wins.
UNANSWERED_TO_EJECT = 5
UNANSWERED_RATIO = 3.0

OUTLIER_RATIO = 5.0
OUTLIER_SLACK_SECONDS = 0.020
OUTLIER_MIN_SAMPLES = 20
REVIEW_SECONDS = 0.1

SLOW_START_SECONDS = 5.0
SLOW_START_MIN_WEIGHT = 0.05
COLD_PAUSE_SECONDS = 0.2
DRAIN_PROBE_SECONDS = 5.0
MAX_DRAIN_PROBE_SECONDS = 60.0
# Two drains closer together than this are one, whose target gave a wrong health.
NEW_DRAIN_SECONDS = 120.0

LOAD_HINT_SECONDS = 1.0
# A false load figure changes the expected wait by this factor at most.
MAX_LOAD_FACTOR = 2.0

_FAILURES = frozenset(
    (
        model.FailureKind.CONNECT_FAILED,
        model.FailureKind.CONNECTION_LOST,
        model.FailureKind.TIMED_OUT,
        model.FailureKind.MISMATCHED_REPLY,
        model.FailureKind.TARGET_FAILED,
    )
)


@dataclasses.dataclass(slots=True)
class _Load:
    factor: float
    at: float


class Replica:
    """Statistics of one target, as seen by one service."""

    def __init__(self) -> None:
        self._latency: float | None = None
        self._latency_at = 0.0
        self._samples = 0
        self._in_flight = 0
        self._failures = 0
        self._unanswered = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._probing = False
        self._paused_until = -math.inf
        self._draining = False
        self._listed_leaving = False
        self._drain_probe_at = -math.inf
        self._drain_probe_delay = DRAIN_PROBE_SECONDS
        self._readmitted_at = -math.inf
        self._started: float | None = None
        self._load: _Load | None = None

    @property
    def in_flight(self) -> int:
        """Attempts that were submitted and have not ended."""
        return self._in_flight

    @property
    def ejected(self) -> bool:
        """True from an ejection until a probe succeeds."""
        return self._ejected_until is not None

    @property
    def draining(self) -> bool:
        """True while the target must get no new work."""
        return self._draining

    def usable(self, now: float) -> bool:
        """Return True when the target may get work, a probe included."""
        if self._draining or self._is_paused(now):
            return False
        if self._ejected_until is None:
            return True
        if now + MAX_EJECTION_SECONDS < self._ejected_until:
            # The clock stepped back.
            self._ejected_until = now + MAX_EJECTION_SECONDS
        return now >= self._ejected_until and not self._probing

    def weight(self, now: float) -> float:
        """Return the share of its usual traffic that the target may get."""
        if self._started is None:
            return 1.0
        if not abs(now - self._started) < SLOW_START_SECONDS:
            self._started = None
            return 1.0
        ramp = (now - self._started) / SLOW_START_SECONDS
        return max(SLOW_START_MIN_WEIGHT, ramp)

    def latency(self, now: float, typical: float) -> float:
        """Return the expected latency; `typical` is the service's, in seconds."""
        if self._latency is None:
            return typical
        age = max(0.0, now - self._latency_at)
        kept = math.exp(-age / LATENCY_FADES_SECONDS)
        return typical + (self._latency - typical) * kept

    def expected_wait(self, now: float, typical: float) -> float:
        """Return latency x (in-flight + 1), adjusted by a recent load figure."""
        wait = self.latency(now, typical) * (self._in_flight + 1)
        load = self._load
        if load is not None and 0 <= now - load.at < LOAD_HINT_SECONDS:
            wait *= load.factor
        return wait

    def on_load(self, now: float, in_flight: int, slots: int) -> None:
        """Note the target's own load figure, which may be stale or false."""
        busy = max(0, in_flight) / max(1, slots)
        self._load = _Load(min(MAX_LOAD_FACTOR, max(1.0, busy)), now)

    def on_listed(self, now: float, leaving: bool) -> None:
        """Note what the list of instances says of the target.

        Only changes count. A list that lags still says live after the target itself
        has replied that it drains, and a frozen one says leaving for ever.
        """
        if leaving and not self._listed_leaving:
            self._drain(now)
        elif self._listed_leaving and not leaving:
            self.readmit(now)
        self._listed_leaving = leaving

    def take_due_probe(self, now: float) -> bool:
        """Return whether to ask a draining target for its health; sets the next time.

        Each probe doubles the time to the next, since a long drain needs few.
        """
        if not self._draining:
            return False
        remaining = self._drain_probe_at - now
        # A remaining time over the longest delay means that the clock stepped back.
        if 0 < remaining <= MAX_DRAIN_PROBE_SECONDS:
            return False
        self._set_drain_probe(now)
        return True

    def readmit(self, now: float) -> None:
        """Give work to a target that drained and is back, slowly at first."""
        if self._draining:
            self._draining = False
            self._readmitted_at = now
            self._started = now

    def on_submitted(self, now: float) -> None:
        """Note a new attempt; on an ejected target it is the probe."""
        self._in_flight += 1
        if self._ejected_until is not None and now >= self._ejected_until:
            self._probing = True

    def on_reply(self, now: float, latency: float) -> None:
        """Note a reply; it ends an ejection."""
        self._end()
        self._failures = 0
        self._unanswered = 0
        self._observe(now, latency)
        # A slow reply from before the ejection is no probe.
        if self._ejected_until is not None and now >= self._ejected_until:
            self._ejected_until = None
            self._started = now

    def on_cancelled(self, now: float, age: float, typical: float) -> bool:
        """Note a cancelled attempt; return True when the target should be ejected.

        The latency would have been at least `age`. Several such attempts in a row
        without a reply, or a probe that takes far too long, count as a failure.
        """
        slow_probe = self._probing and age > _outlier_limit(typical)
        self._end()
        if self._latency is not None and age > self._latency:
            self._observe(now, age)
        if age > UNANSWERED_RATIO * typical + LATENCY_SLACK_SECONDS:
            self._unanswered += 1
        return slow_probe or self._unanswered >= UNANSWERED_TO_EJECT

    def on_failure(self, now: float, failure: model.AttemptFailure) -> bool:
        """Note a failure; return True when the target should be ejected."""
        was_probe = self._probing
        self._end()
        if failure.kind is model.FailureKind.DRAINING:
            self._drain(now)
        elif failure.kind is model.FailureKind.COLD:
            pause = min(failure.retry_after or COLD_PAUSE_SECONDS, SLOW_START_SECONDS)
            self._paused_until = now + pause
            self._started = now + pause
        elif failure.kind in _FAILURES:
            self._failures += 1
            return was_probe or self._failures >= FAILURES_TO_EJECT
        return False

    def eject(self, now: float) -> None:
        """Exclude the target; each ejection in a row lasts twice as long."""
        doubled = EJECTION_SECONDS * 2 ** min(self._ejections, 10)
        self._ejected_until = now + min(doubled, MAX_EJECTION_SECONDS)
        self._ejections += 1
        self._failures = 0
        self._unanswered = 0
        # A probe is compared anew; the old latency would eject it again.
        self._latency = None
        self._samples = 0

    def is_outlier(self, now: float, typical: float) -> bool:
        """Return True when the target is far slower than is typical."""
        if self._samples < OUTLIER_MIN_SAMPLES or self.ejected:
            return False
        return self.latency(now, typical) > _outlier_limit(typical)

    def settle(self, now: float) -> None:
        """Forget earlier ejections once the target is healthy again."""
        if not self.ejected and self.weight(now) >= 1:
            self._ejections = 0

    def known_latency(self) -> float | None:
        """Return the measured latency in seconds, if there is one."""
        return self._latency

    def _end(self) -> None:
        self._in_flight = max(0, self._in_flight - 1)
        self._probing = False

    def _drain(self, now: float) -> None:
        if self._draining:
            return
        self._draining = True
        if not 0 <= now - self._readmitted_at < NEW_DRAIN_SECONDS:
            self._drain_probe_delay = DRAIN_PROBE_SECONDS
        self._set_drain_probe(now)

    def _set_drain_probe(self, now: float) -> None:
        self._drain_probe_at = now + self._drain_probe_delay
        doubled = 2 * self._drain_probe_delay
        self._drain_probe_delay = min(doubled, MAX_DRAIN_PROBE_SECONDS)

    def _is_paused(self, now: float) -> bool:
        return 0 < self._paused_until - now <= SLOW_START_SECONDS

    def _observe(self, now: float, latency: float) -> None:
        self._samples += 1
        self._latency_at = now
        if self._latency is None:
            self._latency = latency
        else:
            self._latency += LATENCY_WEIGHT * (latency - self._latency)


def _outlier_limit(typical: float) -> float:
    return OUTLIER_RATIO * typical + OUTLIER_SLACK_SECONDS


class ServiceReplicas:
    """Statistics of all targets of one service, with a cap on ejections."""

    def __init__(self) -> None:
        self._replicas: dict[str, Replica] = {}
        self._typical = DEFAULT_LATENCY_SECONDS
        self._reviewed = -math.inf

    @property
    def typical_latency(self) -> float:
        """Median latency of the targets, in seconds."""
        return self._typical

    def get(self, name: str) -> Replica | None:
        """Return the statistics of a target; None when the service lacks it."""
        return self._replicas.get(name)

    def keep(self, names: collections.abc.Iterable[str]) -> None:
        """Keep the statistics of these targets and add the missing ones."""
        self._replicas = {name: self._replicas.get(name) or Replica() for name in names}

    def on_cancelled(self, now: float, name: str, age: float) -> None:
        """Note a cancellation; a probe that was far too slow has failed."""
        replica = self._replicas.get(name)
        if replica is not None and replica.on_cancelled(now, age, self._typical):
            self._eject(now, replica)

    def on_failure(self, now: float, name: str, failure: model.AttemptFailure) -> None:
        """Note a failure and eject its target where the cap permits."""
        replica = self._replicas.get(name)
        if replica is not None and replica.on_failure(now, failure):
            self._eject(now, replica)

    def take_due_probes(self, now: float) -> list[str]:
        """Return the draining targets whose health is to be asked for now."""
        return [
            name for name, each in self._replicas.items() if each.take_due_probe(now)
        ]

    def review(self, now: float) -> None:
        """Recompute the median latency and eject outliers; cheap when called often."""
        if 0 <= now - self._reviewed < REVIEW_SECONDS:
            return
        self._reviewed = now
        latencies = [
            latency
            for each in self._replicas.values()
            if (latency := each.known_latency()) is not None
        ]
        if latencies:
            # With two targets the faster one is typical, else neither is an outlier.
            self._typical = statistics.median_low(latencies)
        for each in self._replicas.values():
            each.settle(now)
            if each.is_outlier(now, self._typical):
                self._eject(now, each)

    def _eject(self, now: float, replica: Replica) -> None:
        if replica.ejected and not replica.usable(now):
            # Attempts from before the ejection fail during it; they are no new news.
            return
        ejected = sum(each.ejected for each in self._replicas.values())
        if not replica.ejected:
            ejected += 1
        if ejected <= MAX_EJECTED_SHARE * len(self._replicas):
            replica.eject(now)
