"""The policy of an entry instance: which target, when, how many at once."""

import collections.abc
import dataclasses
import typing

from jackdawpass.process import membership
from jackdawpass.request import machine, model
from jackdawpass.version import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """How sub-requests of a service wait for a target.

    Attributes
    ----------
    priority : int
        A higher one leaves the queue first.
    max_queue : int
        Largest number of sub-requests waiting for one target.
    """

    priority: int = 5
    max_queue: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """What was learned of one target.

    Attributes
    ----------
    limit : float
        Sub-requests that may run at once; under one, the share of time in use.
    latency_ms : float
        Recent latency; 0 when unknown.
    """

    limit: float
    latency_ms: float
    ejected: bool
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """What was learned of one service; `budget` is in extra sub-requests."""

    budget: float
    slow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a policy has learned, by name of the target or service."""

    targets: collections.abc.Mapping[str, TargetReport]
    services: collections.abc.Mapping[str, ServiceReport]


class Observer(typing.Protocol):
    """Sees each attempt once when it is submitted and once when it ends."""

    def on_submitted(self, now: float, attempt: model.Attempt) -> None:
        """Note an attempt that was handed to its target's channel."""

    def on_reply(self, now: float, attempt: model.Attempt, latency: float) -> None:
        """Note a reply; `latency` is in seconds."""

    def on_failure(
        self, now: float, attempt: model.Attempt, failure: model.AttemptFailure
    ) -> None:
        """Note a failure."""

    def on_cancelled(self, now: float, attempt: model.Attempt, age: float) -> None:
        """Note a cancellation, `age` seconds after sending; 0 when not sent."""


class ConcurrencyLimiter(typing.Protocol):
    """Concurrency limit of one target; the channel asks it before each attempt."""

    def try_start(self, now: float) -> bool:
        """Take a place for one attempt; False when it has to wait."""

    def next_start(self, now: float) -> float | None:
        """Return when to ask again; None when only the end of an attempt helps."""

    def on_reply(self, now: float, latency: float) -> None:
        """Give back a place after a reply; `latency` is in seconds."""

    def on_failure(self, now: float, failure: model.AttemptFailure) -> None:
        """Give back a place after a failure."""

    def on_cancelled(self, now: float, age: float) -> None:
        """Give back a place after a cancellation, `age` seconds after sending."""


class Policy(Observer, typing.Protocol):
    """Decides for all services; the process owns one."""

    def apply(self, now: float, current: catalog.Catalog) -> None:
        """Take over a new catalog and keep what was learned of kept targets."""

    def on_members(self, now: float, view: membership.MembersView) -> None:
        """Take over the number of entry instances and the leaving targets."""

    def take_due_probes(self, now: float) -> tuple[str, ...]:
        """Return the draining targets whose health is to be asked for now."""

    def on_probe(self, now: float, target: str, ready: bool) -> None:
        """Note whether a draining target says that it accepts work."""

    def report(self, now: float) -> Report:
        """Return what was learned, for operators."""

    def router(
        self, service: catalog.Service, shard_map: catalog.ShardMap
    ) -> machine.Router:
        """Return the router for the shards of a snapshot."""

    def hedging(self, service: catalog.Service) -> machine.Hedging:
        """Return what says when to hedge a query of the service."""

    def budget(self, service: catalog.Service) -> machine.Budget:
        """Return the service's budget of extra sub-requests."""

    def concurrency_limiter(self, target: catalog.Target) -> ConcurrencyLimiter:
        """Return the concurrency limit of a target, the same one for each call."""

    def connections(self, target: catalog.Target) -> int:
        """Return the largest number of connections to open to a target."""

    def queue_settings(self, service: str) -> QueueSettings:
        """Return how sub-requests of a service wait."""

    def expected_latency(self, target: str) -> float:
        """Return a target's recent latency in seconds; 0 when unknown."""

    def admits(
        self,
        now: float,
        service: catalog.Service,
        shard_map: catalog.ShardMap,
        plan: model.QueryPlan,
    ) -> bool:
        """Return False when a query would wait in vain for too many of its targets."""
