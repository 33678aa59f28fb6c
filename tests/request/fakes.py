"""Simple stand-ins for the collaborators of a request's state machine."""

import collections
import collections.abc

from jackdawpass.request import machine, model

Replicas = collections.abc.Mapping[int, tuple[str, ...]]


class FirstReplicaRouter:
    """Router that assigns each shard to its first replica that is not excluded."""

    def __init__(self, replicas: Replicas) -> None:
        self._replicas = replicas

    def assign(
        self, now: float, shards: frozenset[int], excluded: machine.ExcludedTargets
    ) -> tuple[machine.Assignment, ...]:
        chosen: dict[str, set[int]] = collections.defaultdict(set)
        for shard in sorted(shards):
            tried = excluded.get(shard, frozenset())
            names = [name for name in self._replicas[shard] if name not in tried]
            if names:
                chosen[names[0]].add(shard)
        return tuple(
            machine.Assignment(name, frozenset(each)) for name, each in chosen.items()
        )


class FixedHedging:
    """Hedging after a fixed delay in seconds; None for no hedges."""

    def __init__(self, delay: float | None) -> None:
        self._delay = delay

    def delay(self, now: float, target: str) -> float | None:
        return self._delay


class CountedBudget:
    """Budget of a fixed number of extra sub-requests."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.first_attempts = 0

    def on_first_attempts(self, now: float, count: int) -> None:
        self.first_attempts += count

    def try_spend(self, now: float, target: str = "") -> bool:
        if self.tokens == 0:
            return False
        self.tokens -= 1
        return True


class FixedSource:
    """Source of one snapshot, or of none."""

    def __init__(self, pinned: machine.PinnedSnapshot | None = None) -> None:
        self.pinned = pinned

    def published_after(self, snapshot: str) -> machine.PinnedSnapshot | None:
        if self.pinned is None or self.pinned.snapshot == snapshot:
            return None
        return self.pinned


def pinned(snapshot: str, replicas: Replicas) -> machine.PinnedSnapshot:
    return machine.PinnedSnapshot(
        snapshot, frozenset(replicas), FirstReplicaRouter(replicas)
    )


def plan(
    replicas: Replicas, snapshot: str = "s1", **changes: object
) -> model.QueryPlan:
    values: dict[str, object] = {
        "request_id": "r1",
        "service": "lots",
        "snapshot": snapshot,
        "shards": frozenset(replicas),
        "deadline": 1.0,
        "limit": 1000,
        "min_coverage": 0.0,
    }
    return model.QueryPlan(**(values | changes))  # type: ignore[arg-type]


def items(snapshot: str, shard: int) -> tuple[model.ResultItem, ...]:
    """Return the results of a shard; their value names the snapshot."""
    return tuple(
        model.ResultItem(f"{shard}-{position}", float(position), snapshot)
        for position in range(2)
    )


def reply(
    attempt: model.Attempt,
    shards: collections.abc.Iterable[int] | None = None,
    snapshot: str | None = None,
) -> model.SubReply:
    """Return the reply of a correct target, or one with the given deviations."""
    name = attempt.snapshot if snapshot is None else snapshot
    answered = attempt.shards if shards is None else shards
    return model.SubReply(
        attempt.request_id,
        attempt.attempt_id,
        name,
        {shard: items(name, shard) for shard in answered},
    )


def failure(
    kind: model.FailureKind = model.FailureKind.CONNECTION_LOST,
    execution: model.Execution = model.Execution.MAY_HAVE_RUN,
) -> model.AttemptFailure:
    return model.AttemptFailure(kind, execution)


def sends(actions: machine.Actions) -> list[model.Attempt]:
    return [each.attempt for each in actions if isinstance(each, machine.Send)]


def cancels(actions: machine.Actions) -> list[int]:
    return [each.attempt_id for each in actions if isinstance(each, machine.Cancel)]


def outcomes(actions: machine.Actions) -> list[object]:
    return [each.outcome for each in actions if isinstance(each, machine.Finish)]
