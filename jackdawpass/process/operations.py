"""Observability and shutdown of an instance: events, metrics, status and drain."""

import collections
import collections.abc
import typing

from twisted.internet import defer, task
from twisted.web import server

import jackdawpass
from jackdawpass import clock
from jackdawpass.process import drain, events, logs, metrics, settings, tracing
from jackdawpass.request import model

_logger = logs.get_logger(__name__)
TICK_SECONDS = 0.5
GAUGE_SECONDS = 10.0


class StatusSection(typing.Protocol):
    """Member of the document of ``GET /v1/status``, with the related gauges."""

    @property
    def name(self) -> str:
        """Name of the member."""

    def status(self, now: float) -> model.JsonObject:
        """Return the value of the member."""

    def gauges(self, now: float) -> collections.abc.Mapping[str, float]:
        """Return the gauges to send."""


class Operations:
    """Events, metrics, status and graceful shutdown of one instance.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The process's reactor.
    options : EntrySettings
        Settings of the instance.

    Attributes
    ----------
    events : EventBuffer
        Events of this process.
    metrics : Metrics
        Records the measurements of this process.
    drained : Deferred of bool
        Fires at the end of a graceful shutdown: True if all requests were answered
        and all connections closed, False if the time limit passed before that.
    """

    def __init__(self, reactor: typing.Any, options: settings.EntrySettings) -> None:
        self._reactor = reactor
        self._options = options
        self.events = events.EventBuffer(options.instance, options.zone, options.events)
        self.metrics = metrics.make(
            options.statsd_host, options.statsd_port, options.statsd_prefix
        )
        self._in_flight = drain.InFlightRequests()
        self._running_requests: set[str] = set()
        self._counters: collections.Counter[str] = collections.Counter()
        self._sections: list[StatusSection] = []
        self._next_gauges_at = 0.0
        self._tick_loop = task.LoopingCall(self._tick)
        self._tick_loop.clock = reactor
        self._port: drain.HttpPort | None = None
        self._draining = False
        self.drained: defer.Deferred[bool] = defer.Deferred()

    @property
    def draining(self) -> bool:
        """True if a graceful shutdown has started."""
        return self._draining

    @property
    def port(self) -> int:
        """Number of the listening port."""
        assert self._port is not None
        return self._port.number

    def add_section(self, section: StatusSection) -> None:
        """Add a section to the status document."""
        self._sections.append(section)

    def listen(self, site: server.Site) -> None:
        """Serve a site and start the periodic reports."""
        self._port = drain.HttpPort(self._reactor, site, self._in_flight)
        self._port.listen(self._options.host, self._options.port)
        self._tick_loop.start(TICK_SECONDS, now=False)
        self.events.emit(events.Kind.STARTED, detail=jackdawpass.__version__)

    def accept_request(self, request_id: str, service: str) -> tracing.RequestTrace:
        """Register a new request and return its trace."""
        self._running_requests.add(request_id)
        self._counters["requests"] += 1
        return tracing.RequestTrace(
            self.events, self.metrics, request_id, service, self._on_request_end
        )

    def set_configuration_version(self, version: int) -> None:
        """Set the configuration version that is reported from now on."""
        self.events.version = version
        log = logs.current()
        if log is not None:
            log.configuration_version = version
        self.metrics.gauge("configuration_version", version)
        self.events.emit(events.Kind.VERSION_IN_FORCE, detail=str(version))

    def status(self, ready: bool) -> model.JsonObject:
        """Return the document of ``GET /v1/status``."""
        document: model.JsonObject = {
            "instance": self._options.instance,
            "zone": self._options.zone,
            "site": self._options.site,
            "process": self.events.process,
            "version": jackdawpass.__version__,
            "configuration_version": self.events.version,
            "ready": ready,
            "draining": self.draining,
            "in_flight": len(self._running_requests),
            "counters": dict(self._counters),
        }
        for section in self._sections:
            document[section.name] = section.status(clock.monotonic())
        return document

    def drain(self) -> None:
        """Start a graceful shutdown, unless one is already running."""
        if not self._draining:
            self._draining = True
            defer.ensureDeferred(self._drain()).chainDeferred(self.drained)

    def stop(self) -> defer.Deferred[None]:
        """Stop listening and reporting immediately."""
        if self._tick_loop.running:
            self._tick_loop.stop()
        self.events.emit(events.Kind.STOPPED)
        self._tick()
        assert self._port is not None
        return self._port.stop_listening()

    async def _drain(self) -> bool:
        assert self._port is not None
        drain_event = self.events.emit(events.Kind.DRAIN_STARTED)
        self._port.announce_close()
        await task.deferLater(self._reactor, self._options.drain_grace_seconds)
        await self._port.stop_listening()
        self.events.emit(events.Kind.LISTENING_STOPPED, cause=drain_event)
        deadline = clock.monotonic() + self._options.drain_timeout_seconds
        while self._port.close_idle() or self._running_requests:
            if clock.monotonic() >= deadline:
                _logger.error("drain_timed_out", requests=len(self._running_requests))
                return False
            await task.deferLater(self._reactor, drain.POLL_SECONDS)
        return True

    def _on_request_end(self, request_id: str) -> None:
        self._running_requests.discard(request_id)
        log = logs.current()
        if log is not None:
            log.finish_request(request_id)

    def _tick(self) -> None:
        self.metrics.gauge("requests.in_flight", len(self._running_requests))
        log = logs.current()
        now = clock.monotonic()
        if log is not None:
            log.tick(now)
        if now >= self._next_gauges_at:
            self._next_gauges_at = now + GAUGE_SECONDS
            self._send_gauges(now)

    def _send_gauges(self, now: float) -> None:
        for section in self._sections:
            for name, value in section.gauges(now).items():
                self.metrics.gauge(name, value)
