"""How a target stand-in behaves: its options and the faults induced in it."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOptions:
    """How a target stand-in behaves when no fault is induced.

    Attributes
    ----------
    port : int
        Port to listen on; 0 takes a free one.
    slots : int
        Requests run at once; more wait.
    max_waiting : int
        Requests that may wait before the target sheds load.
    connections : int
        Connections accepted; more are reset.
    connect_ms : float
        Delay before the first request on a new connection is served.
    zone_delay_ms : float
        One-way delay to a caller that names another zone in ``Caller-Zone``.
    service_ms : float
        Median running time of a request.
    spread : float
        Sigma of the log-normal running time.
    cold_seconds, cold_requests : float, int
        Time and number of runs after a start during which the target is cold; it
        is warm when both have passed.
    cold_factor : float
        Running time of a cold target as a multiple of the usual one.
    snapshots : mapping of str to list of int
        Shards held by snapshot.
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
    """Faults that tests induce through ``POST /control/faults``.

    Attributes
    ----------
    delay_ms : float
        Added to the running time of each request.
    slow_factor : float
        Multiplies the running time of each request.
    straggle_share, straggle_ms : float
        Share of requests that take `straggle_ms` longer.
    straggle_shard : int or None
        Requests for this shard always take `straggle_ms` longer.
    late_ms : float
        Replies are written this long after the request gave back its slot.
    slow_close_ms : float
        A closed connection counts against the limit this much longer.
    stall : bool
        Requests run but are never answered.
    reset : bool
        Requests are reset after they ran.
    cross : bool
        Replies carry the ids of the previous request on any connection.
    repeat : bool
        Each reply is written twice.
    repeat_results : bool
        Each result stands twice in its reply.
    snapshot : str
        Replies claim this snapshot.
    draining, cold, shed : bool
        Requests are refused with that kind.
    cut_zones : list of str
        Requests of callers in these zones are lost without an answer.
    freeze_health, freeze_load : bool
        The endpoint repeats what it said when this was set.
    false_health : str
        State that the health endpoint claims.
    false_in_flight : int or None
        Number that the load endpoint claims.
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


def unknown_faults(document: dict[str, typing.Any]) -> set[str]:
    """Return the names in a fault document that are no faults."""
    return set(document) - {field.name for field in dataclasses.fields(Faults)}
