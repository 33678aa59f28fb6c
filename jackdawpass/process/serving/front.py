"""One instance that serves routes: wires the parts that live for the process."""

import collections.abc
import random
import typing

from twisted.internet import defer, error, task

from jackdawpass import clock
from jackdawpass.connection import ingress
from jackdawpass.process import logs
from jackdawpass.process.serving import (
    census,
    gateway,
    meters,
    mirror,
    pages,
    pulse,
    settings,
    shutdown,
    targets,
)
from jackdawpass.version import routes

_logger = logs.get_logger(__name__)

# Connections that wait to be accepted; a full queue delays new callers by seconds.
LISTEN_BACKLOG = 512


class Adapter(typing.Protocol):
    """What the front needs of the platform's dialects."""

    @property
    def configuration_kind(self) -> str:
        """Kind of the store's objects that hold routing tables."""

    @property
    def targets_kind(self) -> str:
        """Kind of the store's objects that list targets."""

    @property
    def store(self) -> census.Store:
        """The platform's store."""

    @property
    def wire(self) -> typing.Any:
        """Dialect of the targets."""

    def move_store(self, address: settings.Address) -> None:
        """Use the store at another address from now on."""

    def serve(
        self,
        request: ingress.IncomingRequest,
        served_by: gateway.Gateway,
        on_answer: ingress.OnAnswer,
    ) -> ingress.Exchange:
        """Serve a caller's request."""


class Front:
    """One instance.

    Parameters
    ----------
    reactor : reactor
        The process's reactor.
    options : FrontSettings
        Settings of the instance.
    adapter : Adapter
        Dialects of the platform.
    generator : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        reactor: typing.Any,
        options: settings.FrontSettings,
        adapter: Adapter,
        generator: random.Random,
    ) -> None:
        self._reactor = reactor
        self._options = options
        self._adapter = adapter
        self._meters = meters.Meters()
        self._gateway = gateway.Gateway(
            reactor,
            options.zone,
            adapter.wire,
            options.repeats,
            generator,
            self._on_doubt,
            self._meters,
        )
        self._isolated = False
        self._pulse = pulse.Pulse(
            reactor, adapter.store, options.instance, self._on_store_back, generator
        )
        self._tables = mirror.Mirror(
            reactor,
            adapter.store,
            self._pulse,
            adapter.configuration_kind,
            self._on_tables,
            generator,
        )
        self._listed = mirror.Mirror(
            reactor,
            adapter.store,
            self._pulse,
            adapter.targets_kind,
            self._on_targets,
            generator,
        )
        self._census = census.Census(
            reactor, adapter.store, options.instance, self._gateway.apply_instances
        )
        self._connections: set[ingress.CallerConnection] = set()
        self._shutdown = shutdown.Shutdown(options.stop_seconds)
        self._port: typing.Any = None
        self._stopped: defer.Deferred[None] = defer.Deferred()
        self._ticker = task.LoopingCall(self._tick)
        self._ticked_at = clock.monotonic()
        self._loop_delay = 0.0

    @property
    def ready(self) -> bool:
        """True when the balancer may send new callers."""
        return (
            self._gateway.table is not None
            and self._listed.listed
            and not self._shutdown.begun
            and not self._isolated
        )

    @property
    def caller_limits(self) -> routes.CallerLimits:
        """Limits in force for callers."""
        table = self._gateway.table
        return routes.CallerLimits() if table is None else table.limits

    @property
    def closing(self) -> bool:
        """True when connections close after their next answer."""
        return self._shutdown.begun or self._isolated

    @property
    def stopped(self) -> defer.Deferred[None]:
        """Fires when the instance has stopped."""
        return self._stopped

    def start(self) -> None:
        """Listen, and begin to follow the configuration and the targets."""
        options = self._options
        factory = ingress.CallerFactory(self._reactor, self)
        self._port = self._reactor.listenTCP(
            options.callers.port, factory, LISTEN_BACKLOG, options.callers.host
        )
        pages.listen(self._reactor, options.readiness, self._readiness_page)
        if options.metrics_port:
            self._listen_for_metrics()
        self._pulse.start()
        self._tables.start()
        self._listed.start()
        self._census.start()
        self._ticker.start(shutdown.CHECK_SECONDS, now=False)
        _logger.info("started", callers=str(options.callers))

    def stop(self) -> None:
        """Begin to stop: callers move away while requests end."""
        if self._shutdown.begun:
            return
        self._shutdown.begin(clock.monotonic())
        _logger.info("stopping", connections=len(self._connections))

    def handle(
        self, request: ingress.IncomingRequest, on_answer: ingress.OnAnswer
    ) -> ingress.Exchange:
        """Serve a caller's request."""
        return self._adapter.serve(request, self._gateway, on_answer)

    def on_open(self, connection: ingress.CallerConnection) -> None:
        """Note a new connection."""
        self._connections.add(connection)

    def on_closed(self, connection: ingress.CallerConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def reload(self, options: settings.FrontSettings) -> None:
        """Take over changed settings; addresses of its own hold until a restart."""
        before, self._options = self._options, options
        self._gateway.change_limits(options.repeats)
        self._shutdown.change_limit(options.stop_seconds)
        if options.store != before.store:
            self._adapter.move_store(options.store)
            self._on_store_back()
        _logger.info("reloaded", store=str(options.store))

    def _readiness_page(self) -> ingress.OutgoingAnswer:
        return ingress.OutgoingAnswer(200 if self.ready else 503, (), b"")

    def _metrics_page(self) -> ingress.OutgoingAnswer:
        now = clock.monotonic()
        self._gateway.measure(now)
        self._meters.set("store_away", self._pulse.away)
        self._meters.set("isolated", self._isolated)
        self._meters.set("caller_connections", len(self._connections))
        self._meters.set("loop_delay_seconds", self._loop_delay)
        kind = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        return ingress.OutgoingAnswer(200, kind, self._meters.page())

    def _listen_for_metrics(self) -> None:
        address = settings.Address(
            self._options.callers.host, self._options.metrics_port
        )
        try:
            pages.listen(self._reactor, address, self._metrics_page)
        except error.CannotListenError as failure:
            # Callers are served all the same.
            _logger.error("metrics_unavailable", reason=str(failure.socketError))

    def _tick(self) -> None:
        now = clock.monotonic()
        self._loop_delay = max(0.0, now - self._ticked_at - shutdown.CHECK_SECONDS)
        self._ticked_at = now
        log = logs.current()
        if log is not None:
            log.tick(now)
        self._review_reach(now)
        idle = [each for each in self._connections if each.idle]
        step = self._shutdown.next_step(now, len(self._connections) - len(idle))
        if step is shutdown.Step.CLOSE_IDLE:
            for each in idle:
                each.close()
        elif step is shutdown.Step.EXIT:
            self._exit()

    def _exit(self) -> None:
        self._ticker.stop()
        self._pulse.stop()
        self._tables.stop()
        self._listed.stop()
        _logger.info("stopped", connections=len(self._connections))
        for each in list(self._connections):
            each.close()
        self._port.stopListening()
        self._stopped.callback(None)

    def _on_doubt(self) -> None:
        self._pulse.hurry()

    def _review_reach(self, now: float) -> None:
        isolated = self._gateway.review_reach(now, self._pulse.away)
        if isolated != self._isolated:
            self._isolated = isolated
            _logger.info("isolated" if isolated else "reaches_other_zones")

    def _on_store_back(self) -> None:
        self._gateway.on_store_back()
        self._tables.refresh()
        self._listed.refresh()

    def _on_tables(self, items: collections.abc.Mapping[str, typing.Any]) -> None:
        for table in items.values():
            if isinstance(table, routes.RoutingTable):
                self._put_in_force(table)

    def _put_in_force(self, table: routes.RoutingTable) -> None:
        before = self._gateway.table
        self._gateway.apply_table(table)
        if self._gateway.table is not before:
            log = logs.current()
            if log is not None:
                log.configuration_version = table.version
            _logger.info("version_in_force", version=table.version)

    def _on_targets(self, items: collections.abc.Mapping[str, typing.Any]) -> None:
        listed = {
            name: target
            for name, target in items.items()
            if isinstance(target, targets.ListedTarget)
        }
        leaving = sum(target.leaving for target in listed.values())
        _logger.info("targets_listed", targets=len(listed), leaving=leaving)
        self._gateway.apply_targets(clock.monotonic(), listed)
