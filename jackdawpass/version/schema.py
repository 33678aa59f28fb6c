"""Typed configuration that operators write; reports all faults at once."""

import collections.abc
import dataclasses
import typing

import cattrs
from returns import result

from jackdawpass import errors, validation
from jackdawpass.version import sharing

MAX_SHARDS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """How the queries of a service are treated.

    Attributes
    ----------
    timeout_ms : int
        Deadline of a query that names none, in milliseconds.
    limit : int
        Number of results of a query that names none.
    min_coverage : float
        Share of shards, from 0 to 1, under which there is no answer.
    favour : {"latency", "coverage"}
        Whether an answer may be given before the deadline without its last shards.
    early_after_ms : int
        With ``favour: latency``: age from which a partial answer may be given.
    early_coverage : float
        With ``favour: latency``: share of shards that such an answer needs.
    priority : int
        From 0 to 9; a query of a higher priority leaves the queue first.
    hedge_percentile : float
        Latency percentile, from 0 to 100, after which a hedge is sent; 0 disables.
    extra_share : float
        Extra sub-requests (hedges and retries) as a share of first attempts.
    max_queue : int
        Largest number of sub-requests waiting for one target.
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
    """One server that holds shards of a service.

    A target name means one server: services that share a server repeat its name
    with the same settings, and two names never share an address.

    Attributes
    ----------
    host : str
        Address at which the target accepts connections.
    port : int
        TCP port at which the target accepts connections.
    zone : str
        Availability zone of the target.
    slots : int
        Requests that the target runs at once.
    connections : int
        Connections that the target accepts from all instances together.
    """

    host: str
    port: int
    zone: str
    slots: int = 2
    connections: int = 60


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """One service with its policy and targets.

    Attributes
    ----------
    targets : mapping of str to TargetSettings
        Targets by their name.
    policy : PolicySettings
        How the queries of the service are treated.
    """

    targets: dict[str, TargetSettings]
    policy: PolicySettings = PolicySettings()


@dataclasses.dataclass(frozen=True, slots=True)
class BaseSettings:
    """The base file shared by every site.

    Attributes
    ----------
    services : mapping of str to ServiceSettings
        Services by their name.
    instances_max : int
        Ceiling of entry instances alive at once, overlap of replacements included.
        No target may accept fewer connections, since each instance needs one.
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
    """Check an effective configuration, base and overlay merged.

    Parameters
    ----------
    document : object
        Decoded JSON.

    Returns
    -------
    Result of BaseSettings or InvalidConfiguration
        Holds every fault that was found, each with its path and remedy.
    """
    return Parser().parse(document)


@dataclasses.dataclass(frozen=True, slots=True)
class _ParsedService:
    document: object
    settings: ServiceSettings


class Parser:
    """Checks effective configurations one after another.

    A service that is the same as in the last valid configuration is not checked again:
    checking 5,700 targets takes longer than a query may, and most changes touch one
    service.
    """

    def __init__(self) -> None:
        self._parsed: dict[str, _ParsedService] = {}

    def parse(self, document: object) -> ParsedBase:
        """Check an effective configuration; see `parse_base`."""
        known = self._unchanged(document)
        shortened = _without_services(document, known)
        faults = validation.validate(shortened, BaseSettings, RANGES)
        faults += sharing.check(document, BaseSettings, TargetSettings)
        if faults:
            return result.Failure(errors.InvalidConfiguration(faults))
        parsed = cattrs.structure(shortened, BaseSettings)
        services = {**known, **parsed.services}
        self._remember(document, services)
        return result.Success(dataclasses.replace(parsed, services=services))

    def _unchanged(self, document: object) -> dict[str, ServiceSettings]:
        return {
            name: self._parsed[name].settings
            for name, service in _services(document).items()
            if name in self._parsed and self._parsed[name].document == service
        }

    def _remember(self, document: object, services: dict[str, ServiceSettings]) -> None:
        declared = _services(document)
        self._parsed = {
            name: _ParsedService(declared[name], settings)
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
    kept = {n: each for n, each in document["services"].items() if n not in names}
    return {**document, "services": kept}
