"""Settings of an instance that serves routes of listed targets."""

import dataclasses

from jackdawpass.process.serving import repeats


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address of ``host:port``; raise ValueError for anything else."""
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"{text!r} is no address; write it as host:port")
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
    callers, readiness, store : Address
        Where callers are served, where the load balancer asks, and where the
        platform's store is.
    peers : Address
        Where other instances hand requests over.
    capacity : float
        Processor share times link speed; instances compare it.
    stop_seconds : float
        Time from the signal to stop to the kill.
    repeats : RepeatLimits
        Limits of repeats for all instances together.
    metrics_port : int
        Port of the metrics page; 0 for none.
    log_lines_per_second, log_errors_per_second : float
        Average number of lines about requests, and of error lines.
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
    metrics_port: int = 9464
    log_lines_per_second: float = 40.0
    log_errors_per_second: float = 40.0
