"""Typed configuration that operators write; reports all faults at once."""

import dataclasses
import difflib
import re
import typing

import cattrs
import cattrs.errors
import cattrs.gen
from returns import result

from jackdawpass import errors

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
        return result.Failure(errors.InvalidConfiguration(_faults(error, "")))
    faults = tuple(_value_faults(settings))
    if faults:
        return result.Failure(errors.InvalidConfiguration(faults))
    return result.Success(settings)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in (int, float, str):
        converter.register_structure_hook(kind, _strict_hook(kind))
    return converter


def _strict_hook(
    kind: type,
) -> typing.Callable[[object, object], typing.Any]:
    def structure(value: object, _: object) -> typing.Any:
        accepted = (int, float) if kind is float else (kind,)
        if type(value) not in accepted:
            raise ValueError(f"must be {_kind_name(kind)}, not {value!r}")
        return kind(value)

    return structure


def _kind_name(kind: type) -> str:
    return {int: "an integer", float: "a number", str: "a string"}[kind]


_CONVERTER = _make_converter()


def _faults(error: BaseException, path: str) -> tuple[errors.Fault, ...]:
    if isinstance(error, cattrs.errors.BaseValidationError):
        return tuple(
            fault
            for child in error.exceptions
            for fault in _faults(child, _child_path(path, child))
        )
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        return tuple(
            _unknown_key(path, key, error.cl) for key in sorted(error.extra_fields)
        )
    if isinstance(error, KeyError):
        remedy = "add it"
        name = str(error.args[0])
        return (errors.Fault(_join(path, name), "is required", remedy),)
    return (errors.Fault(path or "$", str(error), "correct the value"),)


def _child_path(path: str, child: BaseException) -> str:
    for note in getattr(child, "__notes__", ()):
        name = getattr(note, "name", None)
        if name is not None and not isinstance(child, KeyError):
            return _join(path, str(name))
        index = getattr(note, "index", None)
        if index is not None:
            return _join(path, str(index))
    return path


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _unknown_key(path: str, key: str, owner: type) -> errors.Fault:
    known = [field.name for field in dataclasses.fields(owner)]
    close = difflib.get_close_matches(key, known, n=1)
    remedy = f"did you mean {close[0]!r}?" if close else f"known are {known}"
    return errors.Fault(_join(path, key), "is unknown", remedy)


def _value_faults(
    settings: BaseSettings,
) -> typing.Iterator[errors.Fault]:
    yield from _range("instances_max", settings.instances_max, 1, 100_000)
    for name, service in settings.services.items():
        path = f"services.{name}"
        yield from _name_faults(path, name)
        yield from _policy_faults(f"{path}.policy", service.policy)
        for target_name, target in service.targets.items():
            target_path = f"{path}.targets.{target_name}"
            yield from _name_faults(target_path, target_name)
            yield from _target_faults(target_path, target)


def _policy_faults(path: str, policy: PolicySettings) -> typing.Iterator[errors.Fault]:
    yield from _range(f"{path}.timeout_ms", policy.timeout_ms, 1, 600_000)
    yield from _range(f"{path}.limit", policy.limit, 1, 10_000)
    yield from _range(f"{path}.min_coverage", policy.min_coverage, 0, 1)
    yield from _range(f"{path}.early_after_ms", policy.early_after_ms, 0, 600_000)
    yield from _range(f"{path}.early_coverage", policy.early_coverage, 0, 1)
    yield from _range(f"{path}.priority", policy.priority, 0, 9)
    yield from _range(f"{path}.hedge_percentile", policy.hedge_percentile, 0, 99.99)
    yield from _range(f"{path}.extra_share", policy.extra_share, 0, 1)
    yield from _range(f"{path}.max_queue", policy.max_queue, 0, 100_000)


def _target_faults(path: str, target: TargetSettings) -> typing.Iterator[errors.Fault]:
    yield from _range(f"{path}.port", target.port, 1, 65_535)
    yield from _range(f"{path}.slots", target.slots, 1, 100_000)
    yield from _range(f"{path}.connections", target.connections, 1, 100_000)
    if not target.zone:
        yield errors.Fault(f"{path}.zone", "is empty", "name an availability zone")


def _name_faults(path: str, name: str) -> typing.Iterator[errors.Fault]:
    if not NAME_PATTERN.fullmatch(name):
        remedy = "use up to 63 lower-case letters, digits, '.', '_' and '-'"
        yield errors.Fault(path, "is not a valid name", remedy)


def _range(
    path: str, value: float, low: float, high: float
) -> typing.Iterator[errors.Fault]:
    # The negated form also rejects NaN.
    if not low <= value <= high:
        remedy = f"use a value from {low} to {high}"
        yield errors.Fault(path, f"{value} is out of range", remedy)
