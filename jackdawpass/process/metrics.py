"""Metrics sent with the statsd protocol without blocking the event loop."""

import dataclasses
import enum
import socket
import typing

import statsd

MAX_DATAGRAM_BYTES = 1432


class Kind(enum.Enum):
    """Metric type of the statsd protocol."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Type, unit and meaning of a metric; ``<x>`` in its name is a placeholder."""

    kind: Kind
    unit: str
    meaning: str


DESCRIPTIONS: dict[str, Description] = {
    "requests": Description(Kind.COUNTER, "requests", "requests accepted"),
    "requests.in_flight": Description(Kind.GAUGE, "requests", "requests running"),
    "outcomes.<outcome>": Description(
        Kind.COUNTER,
        "requests",
        "finished requests: complete, partial, replayed, not_run, unknown, "
        "incomplete, gone",
    ),
    "latency": Description(
        Kind.TIMING, "milliseconds", "from acceptance to the outcome of a request"
    ),
    "coverage": Description(
        Kind.GAUGE, "percent of shards", "coverage of the last answer"
    ),
    "attempts.<kind>": Description(
        Kind.COUNTER,
        "sub-requests",
        "sub-requests queued: first, hedge, retry, restart; all but first are extra",
    ),
    "failures.<kind>": Description(
        Kind.COUNTER, "sub-requests", "failed sub-requests by kind of failure"
    ),
    "cancelled": Description(Kind.COUNTER, "sub-requests", "cancelled sub-requests"),
    "limits.<target>": Description(
        Kind.GAUGE, "sub-requests", "concurrency limit of a target"
    ),
    "budgets.<service>": Description(
        Kind.GAUGE, "sub-requests", "extra sub-requests that the budget allows now"
    ),
    "ejected.<target>": Description(
        Kind.GAUGE, "0 or 1", "whether a target is ejected"
    ),
    "platform_calls.<call>": Description(
        Kind.GAUGE, "calls", "calls of control to the platform since the start"
    ),
    "configuration_version": Description(
        Kind.GAUGE, "version", "configuration version in force"
    ),
}
"""All metrics by name."""


class Metrics(typing.Protocol):
    """Recorder of measurements; no method blocks or raises."""

    def counter(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds; it is sent in milliseconds."""


class NoMetrics:
    """Metrics that discard all measurements."""

    def counter(self, name: str, value: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def timing(self, name: str, seconds: float) -> None:
        """Do nothing."""


class _Client(statsd.StatsClient):
    """The statsd client with a non-blocking socket.

    The library's socket blocks if its send buffer is full. Here, a datagram that
    cannot be sent immediately is dropped and counted.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host, port, prefix, maxudpsize=MAX_DATAGRAM_BYTES)
        self._sock.setblocking(False)
        self.dropped = 0

    def _send(self, data: str) -> None:  # type: ignore[override]
        try:
            self._sock.sendto(data.encode("ascii", "replace"), self._addr)
        except OSError:
            self.dropped += 1


class StatsdMetrics:
    """Metrics that are sent to a statsd server.

    Parameters
    ----------
    host : str
        IPv4 address; a host name is rejected, since resolving it could block.
    port : int
        UDP port.
    prefix : str
        Prefix of all metric names.

    Raises
    ------
    ValueError
        If `host` is not an IPv4 address.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        try:
            socket.inet_aton(host)
        except OSError:
            raise ValueError(
                f"{host!r} is not an IPv4 address; use one such as 127.0.0.1"
            ) from None
        self._client = _Client(host, port, prefix)

    @property
    def dropped(self) -> int:
        """Number of datagrams that could not be sent."""
        return self._client.dropped

    def counter(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds; it is sent in milliseconds."""
        self._client.timing(name, seconds * 1000)


def make(host: str, port: int, prefix: str) -> Metrics:
    """Return metrics that are sent to a statsd server, or discarded for port 0."""
    return StatsdMetrics(host, port, prefix) if port else NoMetrics()
