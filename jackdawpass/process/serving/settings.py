"""Settings of an instance that serves the routes to listed targets."""

import dataclasses

from jackdawpass.process.serving import repeats


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ValueError for any other format."""
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"{text!r} is not an address; write it as host:port")
        return cls(host, int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class FrontSettings:
    """Settings of one instance.

    Attributes
    ----------
    instance : str
        Name of the instance.
    zone : str
        Availability zone of the instance.
    callers : Address
        Listen address for callers.
    readiness : Address
        Listen address for the load balancer's readiness probe.
    store : Address
        Address of the platform's store.
    peers : Address
        Listen address for requests from other instances.
    capacity : float
        CPU share times cores times link speed; only ratios between instances matter.
    stop_seconds : float
        Seconds from the stop signal until the process is killed.
    repeats : RepeatLimits
        Limits on the repeats of all instances together.
    memory_bytes : int
        Memory that the process may use.
    drain_seconds : float
        Time for which a target that leaves still serves requests.
    metrics_port : int
        Port of the metrics page; 0 for none.
    log_lines_per_second, log_errors_per_second : float
        Rate limits of lines about requests, and of error lines.
    """

    instance: str
    zone: str
    callers: Address
    readiness: Address
    store: Address
    peers: Address
    capacity: float
    stop_seconds: float
    repeats: repeats.RepeatLimits
    memory_bytes: int
    drain_seconds: float = 0.0
    metrics_port: int = 9464
    log_lines_per_second: float = 40.0
    log_errors_per_second: float = 40.0
