"""Routes of one configuration version: which group of targets answers what."""

import collections.abc
import dataclasses
import typing

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Targets that answer equally well.

    Attributes
    ----------
    max_connections : int
        Connections that each target accepts from all instances together.
    """

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedGroup:
    """A group that gets a share of a route's requests, by weight."""

    group: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host below one path are treated.

    Attributes
    ----------
    prefix : str
        Begins and ends with a slash.
    idempotent : bool
        False when a request must run at most once.
    shards : tuple of str
        Groups that each hold one shard; empty for a request to one target.
    split : tuple of WeightedGroup
        Groups of which one answers a request; empty where `shards` are given.
    timeout : float
        Longest time, in seconds, that a caller is kept waiting.
    latency_objective : float
        Seconds within which an answer is worth most.
    priority : int
        0 is the highest.
    max_attempts : int
        Targets to which one request, or its sub-request to a shard, may be sent.
    limit : int
        Number of records in an answer drawn from shards.
    min_coverage : float
        Share of the shards, from 0 to 1, under which there is no answer.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    shards: tuple[str, ...]
    split: tuple[WeightedGroup, ...]
    timeout: float
    latency_objective: float
    priority: int = 0
    max_attempts: int = 1
    limit: int = 0
    min_coverage: float = 0.0

    @property
    def shard_set(self) -> str:
        """Digest of the shards in their order, the same in all versions with them."""
        return xxhash.xxh3_64_hexdigest("\n".join(self.shards).encode())

    def pick_group(self, draw: float) -> str:
        """Return the group for a request; `draw` is uniform in [0, 1)."""
        rest = draw * sum(part.weight for part in self.split)
        for part in self.split:
            rest -= part.weight
            if rest < 0:
                return part.group
        return self.split[-1].group


class RoutingTable:
    """All routes of one version.

    Parameters
    ----------
    version : int
        Later versions are greater.
    all_routes : iterable of Route
        Routes; among those of a host, the longest prefix wins.
    groups : iterable of Group
        Groups that routes name.
    limits : CallerLimits
        Limits of callers.
    """

    def __init__(
        self,
        version: int,
        all_routes: collections.abc.Iterable[Route],
        groups: collections.abc.Iterable[Group],
        limits: CallerLimits,
    ) -> None:
        self._version = version
        self._groups = {group.name: group for group in groups}
        self._limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        self._by_name: dict[str, Route] = {}
        for route in all_routes:
            self._by_name[route.name] = route
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._version

    @property
    def groups(self) -> collections.abc.Mapping[str, Group]:
        """Groups by name."""
        return self._groups

    @property
    def limits(self) -> CallerLimits:
        """Limits of callers."""
        return self._limits

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes."""
        return tuple(self._by_name.values())

    def route(self, name: str) -> Route | None:
        """Return a route by its name; None if there is none."""
        return self._by_name.get(name)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins `path`, or None.

        Costs time for the slashes of the path, not for the number of routes.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        for prefix in _prefixes(path):
            route = prefixes.get(prefix)
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> typing.Iterator[str]:
    """Yield the parts of `path` that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
