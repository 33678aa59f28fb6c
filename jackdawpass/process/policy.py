"""Interface of the policy that routes and limits an entry instance's requests."""

import collections.abc
import dataclasses
import typing

from jackdawpass.process import membership
from jackdawpass.request import machine, model
from jackdawpass.version import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Settings of the queue in which sub-requests wait for a target.

    Attributes
    ----------
    priority : int
        Sub-requests with a higher priority leave the queue first.
    max_queue : int
        Maximum number of sub-requests queued for one target.
    """

    priority: int = 5
    max_queue: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """Limit, latency and state of one target.

    Attributes
    ----------
    limit : float
        Concurrent sub-requests allowed; below one, the fraction of time in use.
    latency_ms : float
        Recent latency; 0 when unknown.
    """

    limit: float
    latency_ms: float
    ejected: bool
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """State of one service; `budget` is the number of extra sub-requests."""

    budget: float
    slow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """State of a policy, by the name of the target or service."""

    targets: collections.abc.Mapping[str, TargetReport]
    services: collections.abc.Mapping[str, ServiceReport]


class Observer(typing.Protocol):
    """Observer of each attempt, once when it is submitted and once when it ends."""

    def on_submitted(self, now: float, attempt: model.Attempt) -> None:
        """Record an attempt that was submitted to its target's channel."""

    def on_reply(self, now: float, attempt: model.Attempt, latency: float) -> None:
        """Record a reply; `latency` is in seconds."""

    def on_failure(
        self, now: float, attempt: model.Attempt, failure: model.AttemptFailure
    ) -> None:
        """Record a failure."""

    def on_cancelled(self, now: float, attempt: model.Attempt, age: float) -> None:
        """Record a cancellation, `age` seconds after sending; 0 when not sent."""


class ConcurrencyLimiter(typing.Protocol):
    """Concurrency limit of one target; the channel calls it before each attempt."""

    def try_start(self, now: float) -> bool:
        """Acquire a permit for one attempt; False when it has to wait."""

    def next_start(self, now: float) -> float | None:
        """Return when to retry; None when an attempt has to end first."""

    def on_reply(self, now: float, latency: float) -> None:
        """Release a permit after a reply; `latency` is in seconds."""

    def on_failure(self, now: float, failure: model.AttemptFailure) -> None:
        """Release a permit after a failure."""

    def on_cancelled(self, now: float, age: float) -> None:
        """Release a permit after a cancellation, `age` seconds after sending."""


class Policy(Observer, typing.Protocol):
    """Policy for all services of an entry process."""

    def apply(self, now: float, current: catalog.Catalog) -> None:
        """Apply a new catalog and keep the statistics of targets that remain."""

    def on_members(self, now: float, view: membership.MembersView) -> None:
        """Apply the number of entry instances and the leaving targets."""

    def take_due_probes(self, now: float) -> tuple[str, ...]:
        """Return the draining targets that are due for a health probe."""

    def on_probe_result(self, now: float, target: str, ready: bool) -> None:
        """Record whether a draining target reports that it accepts work."""

    def report(self, now: float) -> Report:
        """Return limits, latencies, states and budgets for operators."""

    def router(
        self, service: catalog.Service, shard_map: catalog.ShardMap
    ) -> machine.Router:
        """Return the router for the shards of a snapshot."""

    def hedging(self, service: catalog.Service) -> machine.Hedging:
        """Return the hedging rule for queries of the service."""

    def budget(self, service: catalog.Service) -> machine.Budget:
        """Return the service's budget of extra sub-requests."""

    def concurrency_limiter(self, target: catalog.Target) -> ConcurrencyLimiter:
        """Return the concurrency limiter of a target, the same one on each call."""

    def connection_limit(self, target: catalog.Target) -> int:
        """Return the maximum number of connections to open to a target."""

    def queue_settings(self, service: str) -> QueueSettings:
        """Return the queue settings for the sub-requests of a service."""

    def expected_latency(self, target: str) -> float:
        """Return a target's recent latency in seconds; 0 when unknown."""

    def admits(
        self,
        now: float,
        service: catalog.Service,
        shard_map: catalog.ShardMap,
        plan: model.QueryPlan,
    ) -> bool:
        """Return False when too many shards of a query would miss its deadline."""
