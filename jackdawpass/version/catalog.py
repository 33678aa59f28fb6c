"""Immutable catalog of a configuration version: services, targets, shard maps."""

import collections.abc
import dataclasses
import typing

import msgspec
from returns import result

from jackdawpass import errors
from jackdawpass.version import documents, indexes, parts, schema


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target of a service, with its settings."""

    name: str
    settings: schema.TargetSettings

    @property
    def zone(self) -> str:
        """Availability zone of the target."""
        return self.settings.zone


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMap:
    """Map from each shard of a snapshot to the targets that hold it.

    Attributes
    ----------
    replicas : mapping of int to tuple of str
        Names of the targets that hold each shard; shards are numbered from 0.
    """

    snapshot: str
    replicas: collections.abc.Mapping[int, tuple[str, ...]]

    @property
    def shards(self) -> frozenset[int]:
        """Numbers of all shards of the snapshot."""
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
    """Services that a configuration version declares for a site."""

    version: int
    instances_max: int
    services: collections.abc.Mapping[str, Service]


BuiltCatalog = result.Result[Catalog, errors.InvalidConfiguration]


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
    return Builder(site).build(version, contents)


@dataclasses.dataclass(frozen=True, slots=True)
class _BuiltService:
    settings: schema.ServiceSettings
    index: bytes | None
    service: Service


class Builder:
    """Builder of the catalogs of a site for successive versions.

    Services that did not change are reused from the previous catalog, so that the cost
    of a new version is proportional to what changed.

    Parameters
    ----------
    site : str
        Site whose overlay applies.
    """

    def __init__(self, site: str) -> None:
        self._site = site
        self._parser = schema.Parser()
        self._built_services: dict[str, _BuiltService] = {}

    def build(
        self, version: int, contents: collections.abc.Mapping[str, bytes]
    ) -> BuiltCatalog:
        """Build the catalog of a version; see the function `build`."""
        overlay = contents.get(parts.OVERLAY_PREFIX + self._site)
        merged = documents.merge(
            parts.join_base(contents),
            {} if overlay is None else msgspec.json.decode(overlay),
        )
        parsed = self._parser.parse(merged)
        return parsed.map(lambda settings: self._catalog(version, settings, contents))

    def _catalog(
        self,
        version: int,
        settings: schema.BaseSettings,
        contents: collections.abc.Mapping[str, bytes],
    ) -> Catalog:
        self._built_services = {
            name: self._service(name, service, contents.get(parts.INDEX_PREFIX + name))
            for name, service in settings.services.items()
        }
        services = {name: built.service for name, built in self._built_services.items()}
        return Catalog(version, settings.instances_max, services)

    def _service(
        self, name: str, settings: schema.ServiceSettings, index: bytes | None
    ) -> _BuiltService:
        previous = self._built_services.get(name)
        if (
            previous is not None
            and previous.settings is settings
            and previous.index == index
        ):
            return previous
        return _BuiltService(settings, index, _service(name, settings, index))


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
    index = indexes.parse_index(msgspec.json.decode(content), name).value_or(None)
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
