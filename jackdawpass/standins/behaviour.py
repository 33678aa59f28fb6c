"""Options and injected faults of a target stand-in."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOptions:
    """Behaviour of a target stand-in without injected faults.

    Attributes
    ----------
    port : int
        Port to listen on; 0 selects a free one.
    slots : int
        Maximum number of requests run concurrently; others are queued.
    max_waiting : int
        Maximum number of queued requests; the target sheds further ones.
    connections : int
        Maximum number of open connections; further ones are reset.
    connect_ms : float
        Delay before the first request on a new connection is served.
    zone_delay_ms : float
        One-way delay for a caller whose ``Caller-Zone`` header names another zone.
    service_ms : float
        Median running time of a request.
    spread : float
        Sigma of the log-normal distribution of the running time.
    cold_seconds, cold_requests : float, int
        Duration and number of runs after a start during which the target is cold; it
        is warm once both have passed.
    cold_factor : float
        Factor for the running time while the target is cold.
    snapshots : mapping of str to list of int
        Shards that the target holds, by snapshot.
    """

    name: str
    zone: str = "a"
    port: int = 0
    slots: int = 2
    max_waiting: int = 64
    connections: int = 60
    connect_ms: float = 0.0
    zone_delay_ms: float = 0.0
    service_ms: float = 1.0
    spread: float = 0.0
    cold_seconds: float = 0.0
    cold_requests: int = 0
    cold_factor: float = 10.0
    seed: int = 0
    snapshots: dict[str, list[int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that tests inject through ``POST /control/faults``.

    Attributes
    ----------
    delay_ms : float
        Added to the running time of each request.
    slow_factor : float
        Multiplies the running time of each request.
    straggle_share, straggle_ms : float
        Share of requests whose running time is increased by `straggle_ms`.
    straggle_shard : int or None
        Shard whose requests always take `straggle_ms` longer.
    late_ms : float
        Delay of each reply after the request has released its slot.
    slow_close_ms : float
        Time that a closed connection still counts against the connection limit.
    stall : bool
        Requests run, but no reply is sent.
    reset : bool
        The connection is reset after the request has run.
    cross : bool
        The previous reply, of any connection, is sent instead of the right one.
    repeat : bool
        Each reply is sent twice.
    repeat_results : bool
        Each result occurs twice in its reply.
    snapshot : str
        Snapshot named in replies, if not empty.
    draining, cold, shed : bool
        Requests are refused with this kind.
    cut_zones : list of str
        Requests from callers in these zones are dropped without a reply.
    freeze_health, freeze_load : bool
        The health or load endpoint keeps returning the reply that was valid when the
        fault was set.
    false_health : str
        State that the health endpoint reports, if not empty.
    false_in_flight : int or None
        Number of running requests that the load endpoint reports, if not None.
    """

    delay_ms: float = 0.0
    slow_factor: float = 1.0
    straggle_share: float = 0.0
    straggle_ms: float = 0.0
    straggle_shard: int | None = None
    late_ms: float = 0.0
    slow_close_ms: float = 0.0
    stall: bool = False
    reset: bool = False
    cross: bool = False
    repeat: bool = False
    repeat_results: bool = False
    snapshot: str = ""
    draining: bool = False
    cold: bool = False
    shed: bool = False
    cut_zones: list[str] = dataclasses.field(default_factory=list)
    freeze_health: bool = False
    freeze_load: bool = False
    false_health: str = ""
    false_in_flight: int | None = None


def unknown_fault_names(document: dict[str, typing.Any]) -> set[str]:
    """Return the keys of a fault document that are not names of faults."""
    return set(document) - {field.name for field in dataclasses.fields(Faults)}
