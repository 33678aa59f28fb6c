"""Rules for names, addresses and connection limits across all targets."""

import collections.abc
import dataclasses
import typing

from jackdawpass import errors, validation

Faults = collections.abc.Iterator[errors.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class _DeclaredTarget:
    path: str
    name: str
    settings: dict[str, typing.Any]


def validate(
    document: object, base_type: type, target_type: type
) -> tuple[errors.Fault, ...]:
    """Return the conflicts between targets; values of a wrong type are skipped.

    Parameters
    ----------
    document : object
        Decoded JSON of an effective configuration.
    base_type, target_type : type
        Data classes that define the defaults of `instances_max` and of a target.
    """
    if not isinstance(document, dict):
        return ()
    declared = tuple(_declared_targets(document, _defaults(target_type)))
    instances_max = document.get("instances_max", _defaults(base_type)["instances_max"])
    return (
        *_name_faults(declared),
        *_address_faults(declared),
        *_connection_faults(declared, instances_max),
    )


def _defaults(owner: type) -> dict[str, typing.Any]:
    return {
        field.name: field.default
        for field in dataclasses.fields(owner)
        if field.default is not dataclasses.MISSING
    }


def _items(value: object) -> collections.abc.Iterable[tuple[str, typing.Any]]:
    return value.items() if isinstance(value, dict) else ()


def _declared_targets(
    document: dict[str, typing.Any], defaults: dict[str, typing.Any]
) -> collections.abc.Iterator[_DeclaredTarget]:
    for service, settings in _items(document.get("services")):
        targets = settings.get("targets") if isinstance(settings, dict) else None
        for name, target in _items(targets):
            if isinstance(target, dict):
                path = f"services.{service}.targets.{name}"
                yield _DeclaredTarget(path, name, {**defaults, **target})


def _name_faults(declared: collections.abc.Iterable[_DeclaredTarget]) -> Faults:
    # An instance has one channel, with one share of connections, per target name.
    first: dict[str, _DeclaredTarget] = {}
    for target in declared:
        known = first.setdefault(target.name, target)
        if known.settings != target.settings:
            yield errors.Fault(
                target.path,
                f"has other settings than {known.path}",
                "repeat the same settings for the same server or rename one target",
            )


def _address_faults(declared: collections.abc.Iterable[_DeclaredTarget]) -> Faults:
    # Two names for one server would each get a separate share of its connections.
    first: dict[str, _DeclaredTarget] = {}
    for target in declared:
        host, port = target.settings.get("host"), target.settings.get("port")
        if host is None or port is None:
            continue
        known = first.setdefault(f"{host}:{port}", target)
        if known.name != target.name:
            yield errors.Fault(
                target.path,
                f"has the address {host}:{port} of {known.path}",
                f"use the name {known.name!r} in both places or correct the address",
            )


def _connection_faults(
    declared: collections.abc.Iterable[_DeclaredTarget], instances_max: object
) -> Faults:
    if type(instances_max) is not int:
        return
    for target in declared:
        connections = target.settings.get("connections")
        if type(connections) is int and connections < instances_max:
            yield errors.Fault(
                validation.join_path(target.path, "connections"),
                f"{connections} leaves no connection for each of {instances_max} "
                "instances",
                f"use at least {instances_max} or lower instances_max",
            )
