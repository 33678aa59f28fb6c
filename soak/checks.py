"""Checks of the service guarantees against the records of callers and targets."""

import collections
import collections.abc
import dataclasses

from jackdawpass.standins import listed_target
from soak import testbed

# Longest time for which a target still receives requests after its entry says that it
# is draining.
MAX_DRAIN_DELAY_SECONDS = 3.0
# Time after the first answer under a version in which the same process may still
# answer under an older one.
REVERT_GRACE_SECONDS = 0.25
REPEAT_RATIO = 0.2
REPEAT_SLACK = 129
REPEAT_WINDOW_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class Observation:
    """One request and its answer, recorded by the caller.

    Attributes
    ----------
    process : str
        Name and incarnation of the front.
    sent_at, answered_at : float
        Monotonic seconds.
    status : int
        HTTP status; 0 if the connection failed before an answer arrived.
    signatures : tuple of str
        Group, request id and run number of each part of the answer.
    missing : int
        Number of parts that the answer reports as missing.
    """

    request_id: str
    path: str
    process: str
    sent_at: float
    answered_at: float
    status: int = 0
    signatures: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class DrainPeriod:
    """Period in which a target says that it leaves and no fault is active.

    Attributes
    ----------
    start, end : float
        Monotonic seconds.
    allowed : int
        Number of late requests that are no violation.
    """

    target: str
    start: float
    end: float
    allowed: int = 0


Runs = collections.abc.Mapping[str, list[dict[str, object]]]


def check(
    observations: collections.abc.Sequence[Observation],
    runs: Runs,
    drain_periods: collections.abc.Sequence[DrainPeriod] = (),
) -> list[str]:
    """Return a description of each violated guarantee."""
    violations = [
        violation for each in observations for violation in _answer_violations(each)
    ]
    return [
        *violations,
        *_run_violations(observations, runs),
        *_version_violations(observations),
        *_drain_violations(runs, drain_periods),
        *_repeat_violations(runs),
    ]


def _answer_violations(observed: Observation) -> list[str]:
    if observed.status != 200:
        return []
    groups = [each.split(":")[0] for each in observed.signatures]
    violations = []
    if any(each.split(":")[1] != observed.request_id for each in observed.signatures):
        violations.append(f"{observed.request_id}: answer to another request")
    if len(set(groups)) != len(groups):
        violations.append(f"{observed.request_id}: duplicate shard in {groups}")
    if observed.path.startswith("/search/"):
        if len(groups) + observed.missing != len(testbed.GROUPS):
            violations.append(
                f"{observed.request_id}: {groups} answered, {observed.missing} missing"
            )
        if len(groups) < testbed.MIN_COVERAGE * len(testbed.GROUPS):
            violations.append(f"{observed.request_id}: success with only {groups}")
    limit = (
        testbed.TOP_K
        if observed.path.startswith("/search/")
        else testbed.RECORDS_PER_GROUP
    )
    if observed.body != _expected_body(observed.path, groups, limit):
        violations.append(f"{observed.request_id}: wrong records from {groups}")
    return violations


def _expected_body(path: str, groups: list[str], limit: int) -> bytes:
    records = [
        record
        for group in groups
        for record in listed_target.group_records(
            group, path, testbed.RECORDS_PER_GROUP
        )
    ]
    if path.startswith("/search/"):
        records.sort(reverse=True)
    return b"".join(records[:limit])


def _run_violations(
    observations: collections.abc.Sequence[Observation], runs: Runs
) -> collections.abc.Iterator[str]:
    counts = collections.Counter(
        run["request_id"] for each in runs.values() for run in each
    )
    for each in observations:
        if not each.path.startswith("/reserve/"):
            continue
        count = counts[each.request_id]
        if count > 1:
            yield f"{each.request_id}: ran {count} times"
        if count and each.status in (408, 421, 429, 503):
            yield f"{each.request_id}: answered {each.status} but ran"


def _version_violations(
    observations: collections.abc.Sequence[Observation],
) -> collections.abc.Iterator[str]:
    newest: dict[str, tuple[int, float]] = {}
    for each in sorted(observations, key=lambda each: each.answered_at):
        if not each.path.startswith("/v"):
            continue
        number = int(each.path.split("/")[1][1:])
        known, seen_at = newest.get(each.process, (0, 0.0))
        if each.status == 200 and number > known:
            newest[each.process] = (number, each.answered_at)
        elif each.status == 404 and number <= known:
            if each.sent_at > seen_at + REVERT_GRACE_SECONDS:
                yield f"{each.request_id}: {each.process} reverted from {known}"


def _drain_violations(
    runs: Runs, drain_periods: collections.abc.Sequence[DrainPeriod]
) -> collections.abc.Iterator[str]:
    for each in drain_periods:
        late = [
            run
            for run in runs.get(each.target, ())
            if each.start + MAX_DRAIN_DELAY_SECONDS < float(str(run["at"])) < each.end
        ]
        if len(late) > each.allowed:
            for run in late:
                yield f"{run['request_id']}: ran on the draining target {each.target}"


def _repeat_violations(runs: Runs) -> collections.abc.Iterator[str]:
    by_group: dict[str, list[tuple[float, object]]] = collections.defaultdict(list)
    for name, each in runs.items():
        group = name.partition("-")[0]
        by_group[group] += [(float(str(run["at"])), run["request_id"]) for run in each]
    for group, arrivals in by_group.items():
        arrivals.sort(key=lambda arrival: arrival[0])
        seen_ids: set[object] = set()
        repeats_at = []
        for at, request_id in arrivals:
            if request_id in seen_ids:
                repeats_at.append(at)
            seen_ids.add(request_id)
        for start in repeats_at:
            end = start + REPEAT_WINDOW_SECONDS
            repeats = sum(start <= at < end for at in repeats_at)
            firsts = sum(start <= at < end for at, _ in arrivals) - repeats
            if repeats > REPEAT_RATIO * firsts + REPEAT_SLACK:
                yield f"{group}: {repeats} repeats of {firsts} requests in one window"
                break
