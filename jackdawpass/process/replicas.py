"""Statistics of the targets of one service."""

import collections.abc
import dataclasses
import math
import statistics

from jackdawpass.request import model

LATENCY_EWMA_WEIGHT = 0.2
# Without traffic, a measured latency decays towards the service's median, so that a
# slow target is tried again.
LATENCY_DECAY_SECONDS = 10.0
DEFAULT_LATENCY_SECONDS = 0.001
# Smaller differences are scheduling noise on small machines.
LATENCY_SLACK_SECONDS = 0.002

FAILURES_TO_EJECT = 3
MAX_EJECTED_SHARE = 0.5
EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0

# A stalled target sends no replies to measure: its attempts are cancelled when a hedge
# wins.
UNANSWERED_TO_EJECT = 5
UNANSWERED_RATIO = 3.0

OUTLIER_RATIO = 5.0
OUTLIER_SLACK_SECONDS = 0.020
OUTLIER_MIN_SAMPLES = 20
REVIEW_INTERVAL_SECONDS = 0.1

SLOW_START_SECONDS = 5.0
SLOW_START_MIN_WEIGHT = 0.05
COLD_PAUSE_SECONDS = 0.2
DRAIN_PROBE_SECONDS = 5.0
MAX_DRAIN_PROBE_SECONDS = 60.0
# A target that drains again sooner than this after its readmission is still in the same
# drain and its health reply was wrong; its probe delay is not reset.
DRAIN_PROBE_RESET_SECONDS = 120.0

LOAD_EXPIRY_SECONDS = 1.0
# Bounds the effect of a wrong load report on the expected wait.
MAX_LOAD_FACTOR = 2.0

_EJECTING_FAILURES = frozenset(
    (
        model.FailureKind.CONNECT_FAILED,
        model.FailureKind.CONNECTION_LOST,
        model.FailureKind.REPLY_TOO_LARGE,
        model.FailureKind.TIMED_OUT,
        model.FailureKind.MISMATCHED_REPLY,
        model.FailureKind.TARGET_FAILED,
    )
)


@dataclasses.dataclass(slots=True)
class _LoadReport:
    factor: float
    reported_at: float


class Replica:
    """Statistics of one target for one service."""

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
        self._slow_start_at: float | None = None
        self._load: _LoadReport | None = None

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
        """True while the target must not get new work."""
        return self._draining

    def usable(self, now: float) -> bool:
        """Return True when the target may get an attempt, if only as a probe."""
        if self._draining or self._is_paused(now):
            return False
        if self._ejected_until is None:
            return True
        if now + MAX_EJECTION_SECONDS < self._ejected_until:
            # The clock stepped back; without this limit, the ejection would last until
            # the clock catches up.
            self._ejected_until = now + MAX_EJECTION_SECONDS
        return now >= self._ejected_until and not self._probing

    def weight(self, now: float) -> float:
        """Return the share of its usual traffic that the target may get."""
        if self._slow_start_at is None:
            return 1.0
        if not abs(now - self._slow_start_at) < SLOW_START_SECONDS:
            self._slow_start_at = None
            return 1.0
        ramp = (now - self._slow_start_at) / SLOW_START_SECONDS
        return max(SLOW_START_MIN_WEIGHT, ramp)

    def latency(self, now: float, median: float) -> float:
        """Return the expected latency; `median` is the service's, in seconds."""
        if self._latency is None:
            return median
        age = max(0.0, now - self._latency_at)
        decay = math.exp(-age / LATENCY_DECAY_SECONDS)
        return median + (self._latency - median) * decay

    def expected_wait(self, now: float, median: float) -> float:
        """Return latency x (in-flight + 1), scaled by a recent load report."""
        wait = self.latency(now, median) * (self._in_flight + 1)
        load = self._load
        if load is not None and 0 <= now - load.reported_at < LOAD_EXPIRY_SECONDS:
            wait *= load.factor
        return wait

    def on_load(self, now: float, in_flight: int, slots: int) -> None:
        """Record the load that the target reports, which may be stale or wrong."""
        busy = max(0, in_flight) / max(1, slots)
        self._load = _LoadReport(min(MAX_LOAD_FACTOR, max(1.0, busy)), now)

    def on_listed(self, now: float, leaving: bool) -> None:
        """Apply the state that the list of instances reports for the target.

        Only a change of that state has an effect. A stale list still reports a target
        as live after the target itself has replied that it is draining, and a frozen
        list reports it as leaving forever.
        """
        if leaving and not self._listed_leaving:
            self._drain(now)
        elif self._listed_leaving and not leaving:
            self.readmit(now)
        self._listed_leaving = leaving

    def take_due_probe(self, now: float) -> bool:
        """Return whether a health probe is due; if so, schedule the next one.

        Each probe doubles the delay until the next, since a long drain needs few.
        """
        if not self._draining:
            return False
        remaining = self._drain_probe_at - now
        # A remaining time above the longest delay means that the clock stepped back.
        if 0 < remaining <= MAX_DRAIN_PROBE_SECONDS:
            return False
        self._set_drain_probe(now)
        return True

    def readmit(self, now: float) -> None:
        """Readmit a target that has drained, with a slow start."""
        if self._draining:
            self._draining = False
            self._readmitted_at = now
            self._slow_start_at = now

    def on_submitted(self, now: float) -> None:
        """Record a new attempt; on an ejected target it is the probe."""
        self._in_flight += 1
        if self._ejected_until is not None and now >= self._ejected_until:
            self._probing = True

    def on_reply(self, now: float, latency: float) -> None:
        """Record a reply, which ends an ejection."""
        self._end_attempt()
        self._failures = 0
        self._unanswered = 0
        self._record_latency(now, latency)
        # Before the ejection has expired, a reply belongs to an attempt that was sent
        # earlier, not to the probe.
        if self._ejected_until is not None and now >= self._ejected_until:
            self._ejected_until = None
            self._slow_start_at = now

    def on_cancelled(self, now: float, age: float, median: float) -> bool:
        """Record a cancelled attempt; return True when the target should be ejected.

        The latency would have been at least `age`. The target should be ejected after
        several long attempts without a reply, or when a probe takes far too long.
        """
        slow_probe = self._probing and age > _outlier_limit(median)
        self._end_attempt()
        if self._latency is not None and age > self._latency:
            self._record_latency(now, age)
        if age > UNANSWERED_RATIO * median + LATENCY_SLACK_SECONDS:
            self._unanswered += 1
        return slow_probe or self._unanswered >= UNANSWERED_TO_EJECT

    def on_failure(self, now: float, failure: model.AttemptFailure) -> bool:
        """Record a failure; return True when the target should be ejected."""
        was_probe = self._probing
        self._end_attempt()
        if failure.kind is model.FailureKind.DRAINING:
            self._drain(now)
        elif failure.kind is model.FailureKind.COLD:
            pause = min(failure.retry_after or COLD_PAUSE_SECONDS, SLOW_START_SECONDS)
            self._paused_until = now + pause
            self._slow_start_at = now + pause
        elif failure.kind in _EJECTING_FAILURES:
            self._failures += 1
            return was_probe or self._failures >= FAILURES_TO_EJECT
        return False

    def eject(self, now: float) -> None:
        """Exclude the target; each consecutive ejection lasts twice as long."""
        doubled = EJECTION_SECONDS * 2 ** min(self._ejections, 10)
        self._ejected_until = now + min(doubled, MAX_EJECTION_SECONDS)
        self._ejections += 1
        self._failures = 0
        self._unanswered = 0
        # The probe is measured from scratch; the old latency would eject the target
        # again.
        self._latency = None
        self._samples = 0

    def is_outlier(self, now: float, median: float) -> bool:
        """Return True when the target is far slower than the median of all targets."""
        if self._samples < OUTLIER_MIN_SAMPLES or self.ejected:
            return False
        return self.latency(now, median) > _outlier_limit(median)

    def reset_ejections_if_healthy(self, now: float) -> None:
        """Reset the length of ejections once the target is healthy again."""
        if not self.ejected and self.weight(now) >= 1:
            self._ejections = 0

    def measured_latency(self) -> float | None:
        """Return the measured latency in seconds; None before the first sample."""
        return self._latency

    def _end_attempt(self) -> None:
        self._in_flight = max(0, self._in_flight - 1)
        self._probing = False

    def _drain(self, now: float) -> None:
        if self._draining:
            return
        self._draining = True
        if not 0 <= now - self._readmitted_at < DRAIN_PROBE_RESET_SECONDS:
            self._drain_probe_delay = DRAIN_PROBE_SECONDS
        self._set_drain_probe(now)

    def _set_drain_probe(self, now: float) -> None:
        self._drain_probe_at = now + self._drain_probe_delay
        doubled = 2 * self._drain_probe_delay
        self._drain_probe_delay = min(doubled, MAX_DRAIN_PROBE_SECONDS)

    def _is_paused(self, now: float) -> bool:
        return 0 < self._paused_until - now <= SLOW_START_SECONDS

    def _record_latency(self, now: float, latency: float) -> None:
        self._samples += 1
        self._latency_at = now
        if self._latency is None:
            self._latency = latency
        else:
            self._latency += LATENCY_EWMA_WEIGHT * (latency - self._latency)


def _outlier_limit(median: float) -> float:
    return OUTLIER_RATIO * median + OUTLIER_SLACK_SECONDS


class ServiceReplicas:
    """Statistics of all targets of one service, with a cap on ejected targets."""

    def __init__(self) -> None:
        self._replicas: dict[str, Replica] = {}
        self._median_latency = DEFAULT_LATENCY_SECONDS
        self._reviewed_at = -math.inf

    @property
    def median_latency(self) -> float:
        """Median latency of the targets, in seconds."""
        return self._median_latency

    @property
    def idle(self) -> bool:
        """True while no attempt is in flight at any target."""
        return not any(replica.in_flight for replica in self._replicas.values())

    def get(self, name: str) -> Replica | None:
        """Return the statistics of a target; None if the service does not have it."""
        return self._replicas.get(name)

    def retain(self, names: collections.abc.Iterable[str]) -> None:
        """Keep the statistics of these targets, add missing ones and drop others."""
        self._replicas = {name: self._replicas.get(name) or Replica() for name in names}

    def on_cancelled(self, now: float, name: str, age: float) -> None:
        """Record a cancellation; eject a stalled target where the cap permits."""
        replica = self._replicas.get(name)
        if replica is not None and replica.on_cancelled(now, age, self._median_latency):
            self._eject(now, replica)

    def on_failure(self, now: float, name: str, failure: model.AttemptFailure) -> None:
        """Record a failure; eject a failing target where the cap permits."""
        replica = self._replicas.get(name)
        if replica is not None and replica.on_failure(now, failure):
            self._eject(now, replica)

    def take_due_probes(self, now: float) -> list[str]:
        """Return the draining targets that are due for a health probe."""
        return [
            name
            for name, replica in self._replicas.items()
            if replica.take_due_probe(now)
        ]

    def review(self, now: float) -> None:
        """Recompute the median latency and eject outliers, at a bounded rate."""
        if 0 <= now - self._reviewed_at < REVIEW_INTERVAL_SECONDS:
            return
        self._reviewed_at = now
        latencies = [
            latency
            for replica in self._replicas.values()
            if (latency := replica.measured_latency()) is not None
        ]
        if latencies:
            # With two targets, this is the faster one's latency: a median between the
            # two would make neither an outlier.
            self._median_latency = statistics.median_low(latencies)
        for replica in self._replicas.values():
            replica.reset_ejections_if_healthy(now)
            if replica.is_outlier(now, self._median_latency):
                self._eject(now, replica)

    def _eject(self, now: float, replica: Replica) -> None:
        if replica.ejected and not replica.usable(now):
            # Attempts sent before the ejection may still fail during it, which must
            # not extend the ejection.
            return
        ejected = sum(tracked.ejected for tracked in self._replicas.values())
        if not replica.ejected:
            ejected += 1
        if ejected <= MAX_EJECTED_SHARE * len(self._replicas):
            replica.eject(now)
