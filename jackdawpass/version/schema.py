"""Typed configuration that operators write; reports all faults at once."""

import dataclasses
import re
import typing

from returns import result

from jackdawpass import checked, errors

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
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

    Attributes
    ----------
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
    """One service with its policy and targets."""

    targets: dict[str, TargetSettings]
    policy: PolicySettings = PolicySettings()


@dataclasses.dataclass(frozen=True, slots=True)
class BaseSettings:
    """The base file shared by every site.

    Attributes
    ----------
    instances_max : int
        Ceiling of entry instances alive at once, overlap of replacements included.
    """

    services: dict[str, ServiceSettings]
    instances_max: int = 30


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
    try:
        settings = _CONVERTER.structure(document, BaseSettings)
    except Exception as error:
        return result.Failure(errors.InvalidConfiguration(checked.faults(error)))
    faults = tuple(_value_faults(settings))
    if faults:
        return result.Failure(errors.InvalidConfiguration(faults))
    return result.Success(settings)


_CONVERTER = checked.make_converter()


def _value_faults(
    settings: BaseSettings,
) -> typing.Iterator[errors.Fault]:
    yield from checked.in_range("instances_max", settings.instances_max, 1, 100_000)
    for name, service in settings.services.items():
        path = f"services.{name}"
        yield from _name_faults(path, name)
        yield from _policy_faults(f"{path}.policy", service.policy)
        for target_name, target in service.targets.items():
            target_path = f"{path}.targets.{target_name}"
            yield from _name_faults(target_path, target_name)
            yield from _target_faults(target_path, target)


def _policy_faults(path: str, policy: PolicySettings) -> typing.Iterator[errors.Fault]:
    yield from checked.in_range(f"{path}.timeout_ms", policy.timeout_ms, 1, 600_000)
    yield from checked.in_range(f"{path}.limit", policy.limit, 1, 10_000)
    yield from checked.in_range(f"{path}.min_coverage", policy.min_coverage, 0, 1)
    yield from checked.in_range(
        f"{path}.early_after_ms", policy.early_after_ms, 0, 600_000
    )
    yield from checked.in_range(f"{path}.early_coverage", policy.early_coverage, 0, 1)
    yield from checked.in_range(f"{path}.priority", policy.priority, 0, 9)
    yield from checked.in_range(
        f"{path}.hedge_percentile", policy.hedge_percentile, 0, 99.99
    )
    yield from checked.in_range(f"{path}.extra_share", policy.extra_share, 0, 1)
    yield from checked.in_range(f"{path}.max_queue", policy.max_queue, 0, 100_000)


def _target_faults(path: str, target: TargetSettings) -> typing.Iterator[errors.Fault]:
    yield from checked.in_range(f"{path}.port", target.port, 1, 65_535)
    yield from checked.in_range(f"{path}.slots", target.slots, 1, 100_000)
    yield from checked.in_range(f"{path}.connections", target.connections, 1, 100_000)
    if not target.zone:
        yield errors.Fault(f"{path}.zone", "is empty", "name an availability zone")


def _name_faults(path: str, name: str) -> typing.Iterator[errors.Fault]:
    if not NAME_PATTERN.fullmatch(name):
        remedy = "use up to 63 lower-case letters, digits, '.', '_' and '-'"
        yield errors.Fault(path, "is not a valid name", remedy)
