"""Decodes what operators and targets write into the platform's store."""

import collections.abc
import typing

import msgspec

from jackdawpass.process import logs
from jackdawpass.process.serving import aggregators, instance_registry, targets
from jackdawpass.version import routes

_logger = logs.get_logger(__name__)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"

Decoder = collections.abc.Callable[[str, msgspec.Raw], typing.Any]

_READY = "ready"
_LEAVING = "draining"
_IDEMPOTENT = "idempotent"


class _SplitPart(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # What may be repeated: "idempotent" or "non_idempotent".
    type: str
    timeout_ms: float
    # Milliseconds within which an answer earns its full credit.
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    # Exactly one of the next three is given: the only group, the groups that share
    # the requests, or the groups that each hold a shard.
    service: str | None = None
    traffic_split: list[_SplitPart] | None = None
    fanout: list[str] | None = None
    # Number of records in an answer.
    top_k: int = 0
    min_shard_ratio: float = 0.0


class _Service(msgspec.Struct):
    # A group of targets.
    name: str
    # Connections that each of its targets accepts from all callers.
    max_connections: int = 1


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct):
    """A target's entry."""

    service: str
    address: str
    zone: str
    state: str
    slots: int
    # How much longer the target is slow after its start.
    cold_remaining_ms: float
    # Unix milliseconds of the target's start: tells incarnations apart.
    born: int = 0


class _Instance(msgspec.Struct):
    """What `jackdawpass.process.serving.instance_registry` registers."""

    zone: str
    host: str
    port: int
    capacity: float


def decode_configuration(name: str, content: msgspec.Raw) -> typing.Any:
    """Return the routing table, or None for what is not one."""
    if name != CONFIGURATION_NAME:
        return None
    try:
        written = msgspec.json.decode(content, type=_Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        _logger.error("configuration_unreadable", reason=str(error))
        return None
    limits = routes.CallerLimits(
        written.limits.max_header_bytes,
        written.limits.max_body_bytes,
        written.limits.header_timeout_ms / 1000,
        written.limits.idle_timeout_ms / 1000,
    )
    groups = [
        routes.Group(each.name, each.max_connections) for each in written.services
    ]
    return routes.RoutingTable(
        written.version, [_route(each) for each in written.routes], groups, limits
    )


def decode_target(name: str, content: msgspec.Raw) -> targets.ListedTarget | None:
    """Return a listed target, or None for an entry that names none to use."""
    try:
        entry = msgspec.json.decode(content, type=_Server)
        host, _, port = entry.address.rpartition(":")
        if entry.state not in (_READY, _LEAVING) or not host:
            raise ValueError(f"state {entry.state!r} at {entry.address!r}")
        return targets.ListedTarget(
            name=name,
            group=entry.service,
            host=host,
            port=int(port),
            zone=entry.zone,
            slots=entry.slots,
            leaving=entry.state == _LEAVING,
            started=entry.born,
            cold_seconds=entry.cold_remaining_ms / 1000,
        )
    except (msgspec.DecodeError, ValueError) as error:
        _logger.error("target_entry_unreadable", target=name, reason=str(error))
        return None


def decode_instance(name: str, content: msgspec.Raw) -> aggregators.Member | None:
    """Return an instance as it registered itself, or None for anything else."""
    try:
        own = msgspec.json.decode(content, type=_Instance)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        _logger.error("instance_entry_unreadable", instance=name, reason=str(error))
        return None
    return aggregators.Member(name, own.zone, own.host, own.port, own.capacity)


DECODERS: collections.abc.Mapping[str, Decoder] = {
    CONFIGURATION_KIND: decode_configuration,
    TARGETS_KIND: decode_target,
    instance_registry.KIND: decode_instance,
}


def _route(written: _Route) -> routes.Route:
    shards = tuple(written.fanout or ())
    split: tuple[routes.WeightedGroup, ...] = ()
    if written.service is not None:
        split = (routes.WeightedGroup(written.service, 1.0),)
    elif written.traffic_split is not None:
        split = tuple(
            routes.WeightedGroup(part.service, part.weight)
            for part in written.traffic_split
        )
    return routes.Route(
        name=written.name,
        host=written.host.lower(),
        prefix=written.path_prefix,
        idempotent=written.type == _IDEMPOTENT,
        shards=shards,
        split=split,
        timeout=written.timeout_ms / 1000,
        latency_objective=(written.target_latency_ms or written.timeout_ms) / 1000,
        priority=written.priority,
        max_attempts=written.max_attempts,
        limit=written.top_k,
        min_coverage=written.min_shard_ratio,
    )
