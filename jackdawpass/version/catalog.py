"""One immutable catalog per accepted version: services, targets, shard maps."""

import collections.abc
import dataclasses
import typing

import msgspec
from returns import result

from jackdawpass import errors
from jackdawpass.version import documents, parts, schema


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target of a service."""

    name: str
    settings: schema.TargetSettings

    @property
    def zone(self) -> str:
        """Availability zone of the target."""
        return self.settings.zone


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMap:
    """Which targets hold which shards of one snapshot.

    Attributes
    ----------
    replicas : mapping of int to tuple of str
        Names of the targets that hold each shard, from 0 to the shard count.
    """

    snapshot: str
    replicas: collections.abc.Mapping[int, tuple[str, ...]]

    @property
    def shards(self) -> frozenset[int]:
        """All shards of the snapshot."""
        return frozenset(self.replicas)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service as one configuration version declares it."""

    name: str
    policy: schema.PolicySettings
    targets: collections.abc.Mapping[str, Target]
    shard_map: ShardMap | None


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """Everything that one configuration version declares for a site."""

    version: int
    instances_max: int
    services: collections.abc.Mapping[str, Service]


@dataclasses.dataclass(frozen=True, slots=True)
class IndexDocument:
    """A published snapshot with its shard map, as operators write it."""

    snapshot: str
    shards: int
    placement: dict[str, list[int]]


ParsedIndex = result.Result[IndexDocument, errors.InvalidConfiguration]
BuiltCatalog = result.Result[Catalog, errors.InvalidConfiguration]


def parse_index(document: object, name: str) -> ParsedIndex:
    """Check an index document; `name` is the service, used in messages."""
    try:
        index = msgspec.convert(document, IndexDocument)
    except msgspec.ValidationError as error:
        return result.Failure(_invalid(name, str(error), "correct the index document"))
    if not 1 <= index.shards <= schema.MAX_SHARDS:
        remedy = f"use 1 to {schema.MAX_SHARDS} shards"
        return result.Failure(_invalid(name, "shards is out of range", remedy))
    placed = {shard for shards in index.placement.values() for shard in shards}
    if not placed <= set(range(index.shards)):
        remedy = f"place only shards 0 to {index.shards - 1}"
        return result.Failure(_invalid(name, "places an unknown shard", remedy))
    return result.Success(index)


def build(
    version: int,
    site: str,
    contents: collections.abc.Mapping[str, bytes],
) -> BuiltCatalog:
    """Build the catalog of a site.

    Parameters
    ----------
    version : int
        Accepted version.
    site : str
        Site whose overlay applies.
    contents : mapping of str to bytes
        Content of each part by its name.

    Returns
    -------
    Result of Catalog or InvalidConfiguration
    """
    overlay = contents.get(parts.OVERLAY_PREFIX + site)
    base = parts.join_base(contents)
    return documents.effective(
        base, None if overlay is None else msgspec.json.decode(overlay)
    ).map(lambda settings: _catalog(version, settings, contents))


def _catalog(
    version: int,
    settings: schema.BaseSettings,
    contents: collections.abc.Mapping[str, bytes],
) -> Catalog:
    services = {
        name: _service(name, service, contents.get(parts.INDEX_PREFIX + name))
        for name, service in settings.services.items()
    }
    return Catalog(version, settings.instances_max, services)


def _service(
    name: str, settings: schema.ServiceSettings, index: bytes | None
) -> Service:
    targets = {
        target: Target(target, target_settings)
        for target, target_settings in settings.targets.items()
    }
    shard_map = None if index is None else _shard_map(name, index, targets)
    return Service(name, settings.policy, targets, shard_map)


def _shard_map(
    name: str, content: bytes, targets: collections.abc.Mapping[str, typing.Any]
) -> ShardMap | None:
    index = parse_index(msgspec.json.decode(content), name).value_or(None)
    if index is None:
        return None
    replicas: dict[int, list[str]] = {shard: [] for shard in range(index.shards)}
    for target in sorted(index.placement):
        if target in targets:
            for shard in index.placement[target]:
                replicas[shard].append(target)
    return ShardMap(
        index.snapshot, {shard: tuple(names) for shard, names in replicas.items()}
    )


def _invalid(name: str, message: str, remedy: str) -> errors.InvalidConfiguration:
    fault = errors.Fault(f"index.{name}", message, remedy)
    return errors.InvalidConfiguration((fault,))
