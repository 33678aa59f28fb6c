"""The promises, checked from what callers and targets saw."""

import collections
import collections.abc
import dataclasses

from jackdawpass.standins import listed_target
from soak import testbed

# A target that leaves gets no request later than this after its entry says so.
DRAIN_SECONDS = 3.0
# A version may be handled as older so long after a caller saw it in the same process.
REGRESS_SECONDS = 0.25
REPEAT_RATIO = 0.2
REPEAT_SLACK = 129
REPEAT_WINDOW_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class Seen:
    """One request as its caller saw it; status 0 for a connection without an answer.

    Attributes
    ----------
    sent, answered : float
        Monotonic seconds.
    process : str
        Front and its incarnation.
    """

    request_id: str
    path: str
    process: str
    sent: float
    answered: float
    status: int = 0
    signatures: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class Left:
    """A target that was told to leave at a calm time, until `back`."""

    name: str
    at: float
    back: float


Runs = collections.abc.Mapping[str, list[dict[str, object]]]


def check(
    seen: collections.abc.Sequence[Seen],
    runs: Runs,
    left: collections.abc.Sequence[Left] = (),
) -> list[str]:
    """Return every broken promise."""
    found = [fault for each in seen for fault in _answer_faults(each)]
    return [
        *found,
        *_run_faults(seen, runs),
        *_version_faults(seen),
        *_drain_faults(runs, left),
        *_repeat_faults(runs),
    ]


def _answer_faults(seen: Seen) -> list[str]:
    if seen.status != 200:
        return []
    groups = [each.split(":")[0] for each in seen.signatures]
    faults = []
    if any(each.split(":")[1] != seen.request_id for each in seen.signatures):
        faults.append(f"{seen.request_id}: the answer to another request")
    if len(set(groups)) != len(groups):
        faults.append(f"{seen.request_id}: a shard stands twice in {groups}")
    if seen.path.startswith("/search/"):
        if len(groups) + seen.missing != len(testbed.GROUPS):
            faults.append(f"{seen.request_id}: {groups} and {seen.missing} missing")
        if len(groups) < testbed.MIN_COVERAGE * len(testbed.GROUPS):
            faults.append(f"{seen.request_id}: success with {groups} only")
    limit = testbed.LIMIT if seen.path.startswith("/search/") else testbed.RECORDS
    if seen.body != _expected(seen.path, groups, limit):
        faults.append(f"{seen.request_id}: wrong records of {groups}")
    return faults


def _expected(path: str, groups: list[str], limit: int) -> bytes:
    records = [
        record
        for group in groups
        for record in listed_target.group_records(group, path, testbed.RECORDS)
    ]
    if path.startswith("/search/"):
        records.sort(reverse=True)
    return b"".join(records[:limit])


def _run_faults(
    seen: collections.abc.Sequence[Seen], runs: Runs
) -> collections.abc.Iterator[str]:
    counts = collections.Counter(
        run["request_id"] for each in runs.values() for run in each
    )
    for each in seen:
        if not each.path.startswith("/reserve/"):
            continue
        count = counts[each.request_id]
        if count > 1:
            yield f"{each.request_id}: ran {count} times"
        if count and each.status in (408, 421, 429, 503):
            yield f"{each.request_id}: answered {each.status} and ran"


def _version_faults(
    seen: collections.abc.Sequence[Seen],
) -> collections.abc.Iterator[str]:
    newest: dict[str, tuple[int, float]] = {}
    for each in sorted(seen, key=lambda each: each.answered):
        if not each.path.startswith("/v"):
            continue
        number = int(each.path.split("/")[1][1:])
        known, since = newest.get(each.process, (0, 0.0))
        if each.status == 200 and number > known:
            newest[each.process] = (number, each.answered)
        elif each.status == 404 and number <= known:
            if each.sent > since + REGRESS_SECONDS:
                yield f"{each.request_id}: {each.process} went back from {known}"


def _drain_faults(
    runs: Runs, left: collections.abc.Sequence[Left]
) -> collections.abc.Iterator[str]:
    for each in left:
        for run in runs.get(each.name, ()):
            at = float(str(run["at"]))
            if each.at + DRAIN_SECONDS < at < each.back:
                yield f"{run['request_id']}: ran at {each.name}, which had left"


def _repeat_faults(runs: Runs) -> collections.abc.Iterator[str]:
    by_group: dict[str, list[tuple[float, object]]] = collections.defaultdict(list)
    for name, each in runs.items():
        group = name.partition("-")[0]
        by_group[group] += [(float(str(run["at"])), run["request_id"]) for run in each]
    for group, arrivals in by_group.items():
        arrivals.sort(key=lambda arrival: arrival[0])
        firsts: set[object] = set()
        extra = []
        for at, request_id in arrivals:
            if request_id in firsts:
                extra.append(at)
            firsts.add(request_id)
        for start in extra:
            end = start + REPEAT_WINDOW_SECONDS
            repeats = sum(start <= at < end for at in extra)
            asked = sum(start <= at < end for at, _ in arrivals) - repeats
            if repeats > REPEAT_RATIO * asked + REPEAT_SLACK:
                yield f"{group}: {repeats} repeats of {asked} requests in one window"
                break
