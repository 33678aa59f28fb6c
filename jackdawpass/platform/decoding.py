"""Decoders of objects of the platform's store: configuration, targets, instances."""

import collections.abc
import ipaddress
import typing

import msgspec

from jackdawpass import errors
from jackdawpass.process import logs
from jackdawpass.process.serving import aggregators, instance_registry, targets
from jackdawpass.version import routes

_logger = logs.get_logger(__name__)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"

_MAX_PORT = 65_535

# Largest whole number that a float represents exactly, which bounds sums and products.
_MAX_NUMBER = 2**53
_Count = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_NUMBER)]
_UnixTime = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]

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
    # "idempotent" or "non_idempotent"; only idempotent requests may be repeated.
    type: str
    timeout_ms: float
    # Time within which an answer earns its full credit; the timeout if 0.
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    # Exactly one of the next three is set: the only group, the groups that share the
    # requests by weight, or the groups that each hold a shard.
    service: str | None = None
    traffic_split: list[_SplitPart] | None = None
    fanout: list[str] | None = None
    # Number of records in a merged answer.
    top_k: int = 0
    min_shard_ratio: float = 0.0


class _Service(msgspec.Struct):
    # Name of a group of targets.
    name: str
    # Connections that each target of the group accepts from all callers together.
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
    """Entry of a target."""

    service: str
    address: str
    zone: str
    state: str
    slots: _Count
    # Remaining time for which the target is slow after its start.
    cold_remaining_ms: _Amount
    # Unix time of the target's start, in milliseconds; distinguishes its incarnations.
    born: _UnixTime = 0


class _Instance(msgspec.Struct):
    """Entry that `jackdawpass.process.serving.instance_registry` registers."""

    zone: str
    host: str
    port: int
    capacity: _Amount


def decode_configuration(name: str, content: msgspec.Raw) -> typing.Any:
    """Decode the routing table; return None for any other or malformed object."""
    if name != CONFIGURATION_NAME:
        return None
    try:
        document = msgspec.json.decode(content, type=_Configuration)
    except errors.DECODE_ERRORS as error:
        _logger.error("configuration_unreadable", reason=str(error))
        return None
    limits = routes.CallerLimits(
        document.limits.max_header_bytes,
        document.limits.max_body_bytes,
        document.limits.header_timeout_ms / 1000,
        document.limits.idle_timeout_ms / 1000,
    )
    groups = [
        routes.Group(service.name, service.max_connections)
        for service in document.services
    ]
    return routes.RoutingTable(
        document.version,
        [_build_route(route) for route in document.routes],
        groups,
        limits,
    )


def decode_target(name: str, content: msgspec.Raw) -> targets.ListedTarget | None:
    """Decode a target's entry; return None for a malformed or unusable entry."""
    try:
        entry = msgspec.json.decode(content, type=_Server)
        if entry.state not in (_READY, _LEAVING):
            raise ValueError(f"unknown state {entry.state!r}")
        if not name.isprintable():
            # Requests carry the name in a header.
            raise ValueError(f"control characters in the name {name!r}")
        host, _, port = entry.address.rpartition(":")
        return targets.ListedTarget(
            name=name,
            group=entry.service,
            host=_check_host(host),
            port=_check_port(int(port)),
            zone=entry.zone,
            slots=entry.slots,
            leaving=entry.state == _LEAVING,
            started=entry.born,
            cold_seconds=entry.cold_remaining_ms / 1000,
        )
    except errors.DECODE_ERRORS as error:
        _logger.error("target_entry_unreadable", target=name, reason=str(error))
        return None


def decode_instance(name: str, content: msgspec.Raw) -> aggregators.Member | None:
    """Decode the entry of a registered instance; return None if it is malformed."""
    try:
        instance = msgspec.json.decode(content, type=_Instance)
        return aggregators.Member(
            name,
            instance.zone,
            _check_host(instance.host),
            _check_port(instance.port),
            instance.capacity,
        )
    except errors.DECODE_ERRORS as error:
        _logger.error("instance_entry_unreadable", entry=name, reason=str(error))
        return None


DECODERS: collections.abc.Mapping[str, Decoder] = {
    CONFIGURATION_KIND: decode_configuration,
    TARGETS_KIND: decode_target,
    instance_registry.KIND: decode_instance,
}


def _check_host(host: str) -> str:
    """Return an IPv4 address; a name would have to be looked up for each connection."""
    return str(ipaddress.IPv4Address(host))


def _check_port(port: int) -> int:
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return port


def _build_route(document: _Route) -> routes.Route:
    shards = tuple(document.fanout or ())
    split: tuple[routes.WeightedGroup, ...] = ()
    if document.service is not None:
        split = (routes.WeightedGroup(document.service, 1.0),)
    elif document.traffic_split is not None:
        split = tuple(
            routes.WeightedGroup(part.service, part.weight)
            for part in document.traffic_split
        )
    return routes.Route(
        name=document.name,
        host=document.host.lower(),
        prefix=document.path_prefix,
        idempotent=document.type == _IDEMPOTENT,
        shards=shards,
        split=split,
        timeout=document.timeout_ms / 1000,
        latency_objective=(document.target_latency_ms or document.timeout_ms) / 1000,
        priority=document.priority,
        max_attempts=document.max_attempts,
        limit=document.top_k,
        min_coverage=document.min_shard_ratio,
    )
