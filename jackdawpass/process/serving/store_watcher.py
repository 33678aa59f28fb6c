"""What an instance that asks targets follows of the store."""

import collections.abc
import random
import typing

from jackdawpass.process.serving import instance_registry, mirror, store_health

Items = collections.abc.Mapping[str, typing.Any]


class Listener(typing.Protocol):
    """Takes over what the store says."""

    def on_tables(self, items: Items) -> None:
        """Take over the configuration's objects."""

    def on_targets(self, items: Items) -> None:
        """Take over the targets' entries."""

    def on_store_back(self) -> None:
        """Note that the store answers again."""


class Source(typing.Protocol):
    """Where the view is taken from."""

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
    """Follows configuration and targets from its start to its stop.

    Parameters
    ----------
    reactor : IReactorTime
        Sets timers.
    source : Source
        The store and the kinds of its objects.
    instance : str
        Name of this instance.
    listener : Listener
        Takes over what the store says.
    generator : random.Random
        Spreads the calls of many instances.
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
        store = source.store
        self._health_check = store_health.StoreHealthCheck(
            reactor, store, instance, self._on_back, generator
        )
        self._tables = mirror.Mirror(
            reactor,
            store,
            self._health_check,
            source.configuration_kind,
            listener.on_tables,
            generator,
            mirror.SETTLED_GATHER_SECONDS,
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
        """True once configuration and targets were listed."""
        return self._tables.listed and self._targets.listed

    @property
    def unavailable(self) -> bool:
        """True while the store does not answer."""
        return self._health_check.unavailable

    def start(self) -> None:
        """Begin to follow."""
        self._health_check.start()
        self._tables.start()
        self._targets.start()

    def stop(self) -> None:
        """Make no further calls."""
        self._health_check.stop()
        self._tables.stop()
        self._targets.stop()

    def check_store(self) -> None:
        """Check soon whether the store answers."""
        self._health_check.check_now()

    def refresh(self) -> None:
        """List again: what the store said may have been missed."""
        self._tables.refresh()
        self._targets.refresh()

    def _on_back(self) -> None:
        self._listener.on_store_back()
        self.refresh()
