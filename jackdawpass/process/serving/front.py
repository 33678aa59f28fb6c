"""One instance that serves routes, with all of its long-lived components."""

import random
import typing

from twisted.internet import defer, error, task

from jackdawpass import clock
from jackdawpass.connection import ingress, listening, reply_limits
from jackdawpass.process import logs
from jackdawpass.process.serving import (
    aggregators,
    direct_watch,
    forwarding,
    gateway,
    handlers,
    instance_registry,
    pages,
    peer_handler,
    prometheus_metrics,
    settings,
    shutdown,
    store_health,
    store_watcher,
    subqueries,
    targets,
)
from jackdawpass.version import routes

_logger = logs.get_logger(__name__)

# How long targets are followed after they were last needed; covers a restart of an
# aggregator. A new listing costs three calls, following costs several calls a second.
FOLLOW_SECONDS = 2.5
# Shares of the load that all instances together may put on targets: for aggregators,
# and for instances that query targets only while no aggregator is reachable.
AGGREGATOR_SHARE = 0.75
FALLBACK_SHARE = 0.2

# Share of the process's memory that unfinished replies may use.
REPLY_MEMORY_SHARE = 0.125


class Adapter(store_watcher.Source, handlers.CallerDialect, typing.Protocol):
    """Translation between this package and the platform's protocols."""

    @property
    def wire(self) -> typing.Any:
        """Protocol of the targets."""

    def set_store_address(self, address: settings.Address) -> None:
        """Connect to the store at another address from now on."""


class Front:
    """One instance of the query tier.

    Parameters
    ----------
    reactor : reactor
        Reactor of the process.
    options : FrontSettings
        Settings of the instance.
    adapter : Adapter
        Protocols of the platform.
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
        self._random = generator
        self._metrics = prometheus_metrics.PrometheusMetrics()
        memory = reply_limits.ReplyMemory(
            round(REPLY_MEMORY_SHARE * options.memory_bytes)
        )
        self._gateway = gateway.Gateway(
            reactor,
            options.zone,
            adapter.wire,
            subqueries.SubqueryDialect(adapter.encode_forwarded),
            options.repeats,
            generator,
            self._on_suspected_partition,
            self._metrics,
            memory,
            options.drain_seconds,
        )
        self._forwarder = forwarding.Forwarder(
            reactor, generator, self._gateway.notices.on_notices, memory
        )
        self._callers = handlers.CallerHandler(
            reactor, adapter, self._gateway, self._forwarder, self
        )
        self._peers = peer_handler.PeerHandler(adapter, self._gateway, self)
        self._instance_registry = instance_registry.InstanceRegistry(
            reactor, adapter.store, self._own_member(), self._on_members
        )
        self._direct_watch = direct_watch.DirectWatchPolicy(self._make_health_check)
        self._store_watcher: store_watcher.StoreWatcher | None = None
        self._follow_requested_at = clock.monotonic()
        self._asks_targets = False
        self._isolated = False
        self._shutdown = shutdown.Shutdown(options.stop_seconds)
        self._ports: list[typing.Any] = []
        self._callers_port: typing.Any = None
        self._stopped: defer.Deferred[None] = defer.Deferred()
        self._ticker = task.LoopingCall(self._tick)
        self._ticked_at = clock.monotonic()
        self._loop_delay = 0.0

    @property
    def asks_targets(self) -> bool:
        """True if this instance serves callers without forwarding to an aggregator."""
        return self._asks_targets

    @property
    def synced(self) -> bool:
        """True once a routing table is in force and the targets are listed."""
        return (
            self._store_watcher is not None
            and self._store_watcher.complete
            and self._gateway.table is not None
        )

    @property
    def ready(self) -> bool:
        """True if the load balancer may send new callers."""
        if self._shutdown.begun:
            return False
        if not self._asks_targets and self._forwarder.ready:
            return True
        return self.synced and not self._isolated

    @property
    def stopping(self) -> bool:
        """True once a graceful shutdown has begun."""
        return self._shutdown.begun

    @property
    def isolated(self) -> bool:
        """True while a network partition separates this instance from other zones."""
        return self._isolated

    @property
    def stale(self) -> bool:
        """True while the platform's store does not respond."""
        return self._store_watcher is not None and self._store_watcher.unavailable

    @property
    def stopped(self) -> defer.Deferred[None]:
        """Deferred that fires when the instance has stopped."""
        return self._stopped

    def seconds_left(self, now: float) -> float | None:
        """Return the seconds until all requests must end; None unless stopping."""
        return self._shutdown.seconds_left(now)

    def start(self) -> None:
        """Listen, register the instance, and start the periodic tick."""
        options = self._options
        self._callers_port = self._listen(options.callers, self._callers)
        self._listen(options.peers, self._peers)
        self._listen(options.readiness, pages.PageHandler(self._readiness_page))
        if options.metrics_port:
            self._listen_for_metrics()
        self._instance_registry.start()
        self._ticker.start(shutdown.TICK_SECONDS, now=False)
        _logger.info("started", callers=str(options.callers))

    def stop(self) -> None:
        """Begin a graceful shutdown: callers move away while requests finish."""
        if self._shutdown.begun:
            return
        self._shutdown.begin(clock.monotonic())
        _logger.info("stopping", connections=len(self._callers.connections))

    def follow_targets(self) -> None:
        """Follow configuration and targets for `FOLLOW_SECONDS` from now."""
        self._follow_requested_at = clock.monotonic()
        if self._store_watcher is None:
            self._store_watcher = store_watcher.StoreWatcher(
                self._reactor,
                self._adapter,
                self._options.instance,
                self,
                self._random,
            )
            self._store_watcher.start()
            _logger.info("targets_followed", asks_targets=self._asks_targets)

    def reload(self, options: settings.FrontSettings) -> None:
        """Apply changed settings; listen addresses change only at a restart."""
        before, self._options = self._options, options
        self._gateway.change_limits(options.repeats)
        self._shutdown.change_limit(options.stop_seconds)
        if options.store != before.store:
            self._adapter.set_store_address(options.store)
            if self._store_watcher is not None:
                self._store_watcher.refresh()
        _logger.info("reloaded", store=str(options.store))

    def on_tables(self, items: store_watcher.Items) -> None:
        """Put newer routing tables in force."""
        for table in items.values():
            if isinstance(table, routes.RoutingTable):
                self._put_in_force(table)

    def on_targets(self, items: store_watcher.Items) -> None:
        """Apply the list of targets."""
        listed = {
            name: target
            for name, target in items.items()
            if isinstance(target, targets.ListedTarget)
        }
        leaving = sum(target.leaving for target in listed.values())
        _logger.info("targets_listed", targets=len(listed), leaving=leaving)
        self._gateway.apply_targets(clock.monotonic(), listed)

    def on_store_back(self) -> None:
        """End isolation: the store is outside the zone and responds again."""
        self._gateway.on_store_back()

    def _own_member(self) -> aggregators.Member:
        options = self._options
        return aggregators.Member(
            options.instance,
            options.zone,
            options.peers.host,
            options.peers.port,
            options.capacity,
        )

    def _make_health_check(self) -> store_health.StoreHealthCheck:
        return store_health.StoreHealthCheck(
            self._reactor,
            lambda: self._adapter.store.check(
                instance_registry.KIND, self._options.instance
            ),
            lambda: None,
            self._random,
        )

    def _on_members(self, members: tuple[aggregators.Member, ...]) -> None:
        chosen = aggregators.select(members, self._options.zone)
        own_name = self._options.instance
        self._asks_targets = not chosen or any(
            member.name == own_name for member in chosen
        )
        querying = aggregators.querying_members(members)
        if self._asks_targets:
            self._forwarder.apply(())
        else:
            remote = [
                member for member in querying if member.zone != self._options.zone
            ]
            self._forwarder.apply(chosen, remote)
        self._gateway.apply_peers(clock.monotonic(), querying)
        querying_count = len(querying)
        if querying_count == len(members):
            self._gateway.apply_instance_count(querying_count)
        elif self._asks_targets:
            self._gateway.apply_instance_count(querying_count / AGGREGATOR_SHARE)
        else:
            self._gateway.apply_instance_count(len(members) / FALLBACK_SHARE)
        _logger.info(
            "part_chosen",
            asks_targets=self._asks_targets,
            aggregators=[member.name for member in chosen],
            instances=len(members),
        )
        if self._asks_targets:
            self.follow_targets()

    def _put_in_force(self, table: routes.RoutingTable) -> None:
        before = self._gateway.table
        self._gateway.apply_table(table)
        if self._gateway.table is not before:
            log = logs.current()
            if log is not None:
                log.configuration_version = table.version
            _logger.info("version_in_force", version=table.version)

    def _on_suspected_partition(self) -> None:
        if self._store_watcher is not None:
            self._store_watcher.check_store()

    def _tick(self) -> None:
        now = clock.monotonic()
        self._loop_delay = max(0.0, now - self._ticked_at - shutdown.TICK_SECONDS)
        self._ticked_at = now
        log = logs.current()
        if log is not None:
            log.tick(now)
        self._forwarder.tick(now)
        self._update_following(now)
        self._update_isolation(now)
        self._update_shutdown(now)

    def _update_following(self, now: float) -> None:
        if self._asks_targets:
            self.follow_targets()
        elif self._instance_registry.members and (
            self._direct_watch.should_watch(now, self._forwarder.is_stale(now))
            or not self._forwarder.reachable
        ):
            self.follow_targets()
        elif (
            self._store_watcher is not None
            and now - self._follow_requested_at > FOLLOW_SECONDS
        ):
            self._store_watcher.stop()
            self._store_watcher = None
            self._gateway.apply_targets(now, {})
            _logger.info("targets_no_longer_followed")

    def _update_isolation(self, now: float) -> None:
        isolated = self._gateway.update_isolation(now, self.stale)
        if isolated != self._isolated:
            self._isolated = isolated
            _logger.info("isolated" if isolated else "reaches_other_zones")

    def _update_shutdown(self, now: float) -> None:
        connections = self._callers.connections
        idle = [
            connection
            for connection in connections
            if connection.idle and not shutdown.is_recent(now, connection.idle_since)
        ]
        busy_peers = sum(not each.idle for each in self._peers.connections)
        busy = len(connections) - len(idle) + busy_peers
        step = self._shutdown.next_step(now, busy)
        if step is shutdown.Step.EXIT:
            self._exit()
        elif step is not shutdown.Step.SERVE:
            for connection in idle:
                connection.close()
        if step is shutdown.Step.EXPIRE:
            for connection in list(connections):
                connection.expire()
        if step is shutdown.Step.CLOSE_ALL:
            for connection in [*connections, *self._peers.connections]:
                connection.close()
        if step is shutdown.Step.STOP_LISTENING and self._callers_port is not None:
            port, self._callers_port = self._callers_port, None
            self._ports.remove(port)
            listening.stop_listening(port)

    def _exit(self) -> None:
        self._ticker.stop()
        if self._store_watcher is not None:
            self._store_watcher.stop()
        connections = self._callers.connections
        _logger.info("stopped", connections=len(connections))
        for connection in list(connections):
            connection.close()
        for port in self._ports:
            port.stopListening()
        self._stopped.callback(None)

    def _listen(
        self, address: settings.Address, handler: ingress.Handler
    ) -> typing.Any:
        factory = ingress.CallerFactory(self._reactor, handler)
        port = self._reactor.listenTCP(
            address.port, factory, listening.MAX_WAITING_CONNECTIONS, address.host
        )
        self._ports.append(port)
        return port

    def _listen_for_metrics(self) -> None:
        address = settings.Address(
            self._options.callers.host, self._options.metrics_port
        )
        try:
            self._listen(address, pages.PageHandler(self._metrics_page))
        except error.CannotListenError as failure:
            # Metrics are optional: callers are served without them.
            _logger.error("metrics_unavailable", reason=str(failure.socketError))

    def _readiness_page(self) -> ingress.OutgoingResponse:
        return ingress.OutgoingResponse(200 if self.ready else 503, (), b"")

    def _metrics_page(self) -> ingress.OutgoingResponse:
        self._gateway.update_gauges(clock.monotonic())
        self._metrics.set("store_away", self.stale)
        self._metrics.set("isolated", self._isolated)
        self._metrics.set("asks_targets", self._asks_targets)
        self._metrics.set("caller_connections", len(self._callers.connections))
        self._metrics.set("loop_delay_seconds", self._loop_delay)
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        return ingress.OutgoingResponse(200, headers, self._metrics.page())
