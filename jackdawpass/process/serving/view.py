"""What an instance that asks targets follows of the store."""

import collections.abc
import random
import typing

from jackdawpass.process.serving import census, mirror, pulse

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
    def store(self) -> census.Store:
        """The platform's store."""

    @property
    def configuration_kind(self) -> str:
        """Kind of the store's objects that hold routing tables."""

    @property
    def targets_kind(self) -> str:
        """Kind of the store's objects that list targets."""


class View:
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
        self._pulse = pulse.Pulse(reactor, store, instance, self._on_back, generator)
        self._tables = mirror.Mirror(
            reactor,
            store,
            self._pulse,
            source.configuration_kind,
            listener.on_tables,
            generator,
            mirror.SETTLED_GATHER_SECONDS,
        )
        self._targets = mirror.Mirror(
            reactor,
            store,
            self._pulse,
            source.targets_kind,
            listener.on_targets,
            generator,
        )

    @property
    def complete(self) -> bool:
        """True once configuration and targets were listed."""
        return self._tables.listed and self._targets.listed

    @property
    def away(self) -> bool:
        """True while the store does not answer."""
        return self._pulse.away

    def start(self) -> None:
        """Begin to follow."""
        self._pulse.start()
        self._tables.start()
        self._targets.start()

    def stop(self) -> None:
        """Make no further calls."""
        self._pulse.stop()
        self._tables.stop()
        self._targets.stop()

    def doubt(self) -> None:
        """Check soon whether the store answers."""
        self._pulse.hurry()

    def refresh(self) -> None:
        """List again: what the store said may have been missed."""
        self._tables.refresh()
        self._targets.refresh()

    def _on_back(self) -> None:
        self._listener.on_store_back()
        self.refresh()
