"""Watcher of configuration and targets in the platform's store."""

import collections.abc
import random
import typing

from returns import result
from twisted.internet import defer

from jackdawpass.process.serving import (
    instance_registry,
    mirror,
    object_cache,
    store_health,
)

Items = collections.abc.Mapping[str, typing.Any]


class Listener(typing.Protocol):
    """Receiver of changes from the store."""

    def on_tables(self, items: Items) -> None:
        """Apply the configuration's objects."""

    def on_targets(self, items: Items) -> None:
        """Apply the targets' entries."""

    def on_store_back(self) -> None:
        """Handle the recovery of the store after an outage."""


class Source(typing.Protocol):
    """The store and the kinds of objects to watch."""

    @property
    def store(self) -> instance_registry.Store:
        """The platform's store."""

    @property
    def configuration_kind(self) -> str:
        """Kind of the store's objects that hold routing tables."""

    @property
    def targets_kind(self) -> str:
        """Kind of the store's objects that list targets."""


class StoreWatcher:
    """Mirrors of configuration and targets, with a health check of the store.

    Parameters
    ----------
    reactor : IReactorTime
        Sets timers.
    source : Source
        The store and the kinds of its objects.
    instance : str
        Name of this instance.
    listener : Listener
        Receives the changes.
    generator : random.Random
        Adds jitter to the calls of many instances.
    """

    def __init__(
        self,
        reactor: typing.Any,
        source: Source,
        instance: str,
        listener: Listener,
        generator: random.Random,
    ) -> None:
        self._listener = listener
        self._instance = instance
        self._store = store = source.store
        self._health_check = store_health.StoreHealthCheck(
            reactor, self._check, self._on_store_available, generator
        )
        self._tables = mirror.Mirror(
            reactor,
            store,
            self._health_check,
            source.configuration_kind,
            listener.on_tables,
            generator,
            object_cache.RARE_CHANGE_BATCH_SECONDS,
        )
        self._targets = mirror.Mirror(
            reactor,
            store,
            self._health_check,
            source.targets_kind,
            listener.on_targets,
            generator,
        )

    @property
    def complete(self) -> bool:
        """True after configuration and targets were listed."""
        return self._tables.listed and self._targets.listed

    @property
    def unavailable(self) -> bool:
        """True while the store does not respond."""
        return self._health_check.unavailable

    def start(self) -> None:
        """Start watching."""
        self._health_check.start()
        self._tables.start()
        self._targets.start()

    def stop(self) -> None:
        """Stop watching."""
        self._health_check.stop()
        self._tables.stop()
        self._targets.stop()

    def check_store(self) -> None:
        """Check early whether the store responds."""
        self._health_check.check_now()

    def refresh(self) -> None:
        """List all objects again: changes may have been missed."""
        self._tables.refresh()
        self._targets.refresh()

    @defer.inlineCallbacks
    def _check(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, mirror.CheckResult]:
        """Check the watches; read an object instead while there are none."""
        watching = [each for each in (self._tables, self._targets) if each.watching]
        if not watching:
            return (yield self._store.check(instance_registry.KIND, self._instance))
        checks = yield defer.DeferredList(
            [each.check() for each in watching],
            fireOnOneErrback=True,
            consumeErrors=True,
        )
        failures = [each for _, each in checks if isinstance(each, result.Failure)]
        return failures[0] if failures else result.Success(None)

    def _on_store_available(self) -> None:
        self._listener.on_store_back()
        self.refresh()
