"""Typed schema and parser of the operators' configuration."""

import collections.abc
import dataclasses
import typing

import cattrs
from returns import result

from jackdawpass import errors, validation
from jackdawpass.version import target_rules

MAX_SHARDS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Policy for the queries of a service.

    Attributes
    ----------
    timeout_ms : int
        Deadline, in milliseconds, of a query that does not set one.
    limit : int
        Number of results of a query that does not set one.
    min_coverage : float
        Minimum share of shards, from 0 to 1; with fewer there is no answer.
    favour : {"latency", "coverage"}
        Whether an answer may be returned before the deadline without the last shards.
    early_after_ms : int
        With ``favour: latency``: age from which a partial answer may be returned.
    early_coverage : float
        With ``favour: latency``: share of shards that such an answer must cover.
    priority : int
        From 0 to 9; queries of a higher priority leave the queue first.
    hedge_percentile : float
        Latency percentile, from 0 to 100, after which a hedge is sent; 0 disables it.
    extra_share : float
        Extra sub-requests (hedges and retries) as a share of first attempts.
    max_queue : int
        Maximum number of sub-requests that wait for one target.
    """

    timeout_ms: int = 1000
    limit: int = 100
    min_coverage: float = 0.0
    favour: typing.Literal["latency", "coverage"] = "coverage"
    early_after_ms: int = 200
    early_coverage: float = 0.9
    priority: int = 5
    hedge_percentile: float = 95.0
    extra_share: float = 0.05
    max_queue: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """A server that holds shards of a service.

    A target name identifies one server: services that share a server repeat its name
    with the same settings, and two names must not share an address.

    Attributes
    ----------
    host : str
        Address at which the target accepts connections.
    port : int
        TCP port at which the target accepts connections.
    zone : str
        Availability zone of the target.
    slots : int
        Number of requests that the target runs concurrently.
    connections : int
        Number of connections that the target accepts from all instances together.
    """

    host: str
    port: int
    zone: str
    slots: int = 2
    connections: int = 60


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A service with its targets and its policy.

    Attributes
    ----------
    targets : mapping of str to TargetSettings
        Targets by name.
    policy : PolicySettings
        Policy for the queries of the service.
    """

    targets: dict[str, TargetSettings]
    policy: PolicySettings = PolicySettings()


@dataclasses.dataclass(frozen=True, slots=True)
class BaseSettings:
    """The base file shared by every site.

    Attributes
    ----------
    services : mapping of str to ServiceSettings
        Services by name.
    instances_max : int
        Maximum number of entry instances that run at once, including the overlap of
        replacements. No target may accept fewer connections, since each instance
        needs one.
    """

    services: dict[str, ServiceSettings]
    instances_max: int = 30


RANGES = validation.Ranges(
    {
        (BaseSettings, "instances_max"): validation.Range(1, 100_000),
        (PolicySettings, "timeout_ms"): validation.Range(1, 600_000),
        (PolicySettings, "limit"): validation.Range(1, 10_000),
        (PolicySettings, "min_coverage"): validation.Range(0, 1),
        (PolicySettings, "early_after_ms"): validation.Range(0, 600_000),
        (PolicySettings, "early_coverage"): validation.Range(0, 1),
        (PolicySettings, "priority"): validation.Range(0, 9),
        (PolicySettings, "hedge_percentile"): validation.Range(0, 99.99),
        (PolicySettings, "extra_share"): validation.Range(0, 1),
        (PolicySettings, "max_queue"): validation.Range(0, 100_000),
        (TargetSettings, "port"): validation.Range(1, 65_535),
        (TargetSettings, "slots"): validation.Range(1, 100_000),
        (TargetSettings, "connections"): validation.Range(1, 100_000),
    }
)

ParsedBase = result.Result[BaseSettings, errors.InvalidConfiguration]


def parse_base(document: object) -> ParsedBase:
    """Validate and parse an effective configuration: the base merged with an overlay.

    Parameters
    ----------
    document : object
        Decoded JSON.

    Returns
    -------
    Result of BaseSettings or InvalidConfiguration
        The failure contains every fault with its path and remedy.
    """
    return Parser().parse(document)


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedService:
    document: object
    settings: ServiceSettings


class Parser:
    """Validating parser of successive effective configurations.

    A service that equals the one in the last valid configuration is not validated
    again: validating 5,700 targets takes longer than a query may take, and most changes
    affect a single service.
    """

    def __init__(self) -> None:
        self._cached: dict[str, _CachedService] = {}

    def parse(self, document: object) -> ParsedBase:
        """Validate and parse an effective configuration; see `parse_base`."""
        reused = self._find_unchanged(document)
        remaining = _without_services(document, reused)
        faults = validation.validate(remaining, BaseSettings, RANGES)
        faults += target_rules.validate(document, BaseSettings, TargetSettings)
        if faults:
            return result.Failure(errors.InvalidConfiguration(faults))
        parsed = cattrs.structure(remaining, BaseSettings)
        services = {**reused, **parsed.services}
        self._cache_services(document, services)
        return result.Success(dataclasses.replace(parsed, services=services))

    def _find_unchanged(self, document: object) -> dict[str, ServiceSettings]:
        return {
            name: self._cached[name].settings
            for name, service in _services(document).items()
            if name in self._cached and self._cached[name].document == service
        }

    def _cache_services(
        self, document: object, services: dict[str, ServiceSettings]
    ) -> None:
        declared = _services(document)
        self._cached = {
            name: _CachedService(declared[name], settings)
            for name, settings in services.items()
        }


def _services(document: object) -> dict[str, typing.Any]:
    services = document.get("services") if isinstance(document, dict) else None
    return services if isinstance(services, dict) else {}


def _without_services(
    document: object, names: collections.abc.Container[str]
) -> object:
    if not isinstance(document, dict) or not isinstance(document.get("services"), dict):
        return document
    kept = {
        name: service
        for name, service in document["services"].items()
        if name not in names
    }
    return {**document, "services": kept}
