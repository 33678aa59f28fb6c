"""Routing table of a configuration version, from requests to groups of targets."""

import collections.abc
import dataclasses
import typing

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Maximum request sizes, in bytes, and header and idle timeouts, in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A group of interchangeable targets.

    Attributes
    ----------
    max_connections : int
        Connections that each target accepts, summed over all instances.
    """

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedGroup:
    """A group that receives a weighted share of a route's requests."""

    group: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Settings of the requests with a given host and path prefix.

    Attributes
    ----------
    prefix : str
        Path prefix, which begins and ends with a slash.
    idempotent : bool
        False if a request must run at most once.
    shards : tuple of str
        Groups that each hold one shard; empty if a request goes to a single target.
    split : tuple of WeightedGroup
        Groups of which one is picked for each request; empty if `shards` is given.
    timeout : float
        Maximum time, in seconds, until a caller gets a response.
    latency_objective : float
        Time, in seconds, within which an answer has its full value.
    priority : int
        Priority of the requests; 0 is the highest.
    max_attempts : int
        Maximum number of targets to which a request, or each sub-request of a fan-out,
        is sent.
    limit : int
        Number of records in an answer merged from shards.
    min_coverage : float
        Minimum share of the shards, from 0 to 1, that an answer must cover.
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
    def fanout_digest(self) -> str:
        """Digest of the ordered shards and the limits of a merged reply.

        Instances whose digests are equal merge the same reply, also if their
        configuration versions differ.
        """
        parts = (str(self.limit), str(self.max_attempts), *self.shards)
        return xxhash.xxh3_64_hexdigest("\n".join(parts).encode())

    def pick_group(self, draw: float) -> str:
        """Pick a group by weight; `draw` is a random number uniform in [0, 1)."""
        remaining = draw * sum(part.weight for part in self.split)
        for part in self.split:
            remaining -= part.weight
            if remaining < 0:
                return part.group
        return self.split[-1].group


class RoutingTable:
    """Routes, groups and caller limits of a configuration version.

    Parameters
    ----------
    version : int
        Number of the version, which increases with every change.
    all_routes : iterable of Route
        Routes; among the routes of a host, the longest matching prefix wins.
    groups : iterable of Group
        Groups that the routes refer to.
    limits : CallerLimits
        Limits that apply to callers' connections and requests.
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
        """Number of the configuration version."""
        return self._version

    @property
    def groups(self) -> collections.abc.Mapping[str, Group]:
        """All groups, by name."""
        return self._groups

    @property
    def limits(self) -> CallerLimits:
        """Limits that apply to callers' connections and requests."""
        return self._limits

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes of the version."""
        return tuple(self._by_name.values())

    def route(self, name: str) -> Route | None:
        """Return the route with the given name, or None if there is none."""
        return self._by_name.get(name)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        The cost grows with the number of slashes in the path, not with the number of
        routes.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        for prefix in _iterate_prefixes(path):
            route = prefixes.get(prefix)
            if route is not None:
                return route
        return None


def _iterate_prefixes(path: str) -> typing.Iterator[str]:
    """Yield the prefixes of `path` that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
