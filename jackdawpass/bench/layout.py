"""Sizes of an experiment, with the options and configuration derived from them."""

import dataclasses
import typing

from jackdawpass.version import parts

SERVICE = "lots"
SNAPSHOT = "s1"


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """A sharded service over several zones, sized like Douro's allocation desk.

    Attributes
    ----------
    shards, replicas : int
        Each replica of each shard is one target.
    connect_ms, zone_delay_ms, service_ms, spread : float
        See `standins.behaviour.TargetOptions`.
    rate : float
        Queries per second over all entry instances.
    timeout_ms : int
        Deadline of each query.
    instances_max : int
        Declared maximum of instances, which share the connections of a target.
    hosts, generators : int
        Number of processes that host the targets and that generate the load.
    """

    shards: int = 60
    replicas: int = 2
    zones: tuple[str, ...] = ("a", "b", "c")
    slots: int = 2
    connections: int = 60
    connect_ms: float = 6.0
    zone_delay_ms: float = 1.4
    service_ms: float = 4.0
    spread: float = 0.3
    cold_seconds: float = 0.0
    cold_factor: float = 10.0
    rate: float = 30.0
    timeout_ms: int = 1000
    instances_max: int = 12
    hosts: int = 3
    generators: int = 1

    @property
    def zone_of(self) -> dict[str, str]:
        """Zone of each target; the replicas of a shard are in different zones."""
        count = len(self.zones)
        return {
            target_name(shard, replica): self.zones[(shard + replica) % count]
            for shard in range(self.shards)
            for replica in range(self.replicas)
        }

    @property
    def placement(self) -> dict[str, list[int]]:
        """Shards that each target holds in the first snapshot."""
        return {
            target_name(shard, replica): [shard]
            for shard in range(self.shards)
            for replica in range(self.replicas)
        }

    def target_options(self, seed: int) -> list[dict[str, typing.Any]]:
        """Return the options of all target stand-ins."""
        return [
            {
                "name": name,
                "zone": self.zone_of[name],
                "slots": self.slots,
                "connections": self.connections,
                "connect_ms": self.connect_ms,
                "zone_delay_ms": self.zone_delay_ms,
                "service_ms": self.service_ms,
                "spread": self.spread,
                "seed": seed * 10_000 + position,
                "snapshots": {SNAPSHOT: shards},
            }
            for position, (name, shards) in enumerate(self.placement.items())
        ]

    def base(self, ports: dict[str, int]) -> dict[str, bytes]:
        """Return the parts of the base file for targets on the given ports."""
        targets = {
            name: {
                "host": "127.0.0.1",
                "port": port,
                "zone": self.zone_of[name],
                "slots": self.slots,
                "connections": self.connections,
            }
            for name, port in ports.items()
        }
        service = {"targets": targets, "policy": {"timeout_ms": self.timeout_ms}}
        return parts.split_base(
            {"instances_max": self.instances_max, "services": {SERVICE: service}}
        )

    def index(self) -> dict[str, typing.Any]:
        """Return the index document of the first snapshot."""
        return {
            "snapshot": SNAPSHOT,
            "shards": self.shards,
            "placement": self.placement,
        }


def target_name(shard: int, replica: int) -> str:
    """Return the name of the target that holds one replica of a shard."""
    return f"lots-{shard:03}-{replica}"
