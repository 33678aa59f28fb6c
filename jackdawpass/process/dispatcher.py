"""Channels of this instance to all targets of the current catalog."""

import typing

from jackdawpass.connection import dialect, pool
from jackdawpass.process import channel, policy
from jackdawpass.request import model, runner
from jackdawpass.version import catalog

_Address = tuple[str, int]

_REMOVED = model.AttemptFailure(
    model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT
)


class _Ended:
    """Handle of an attempt that ended at once."""

    def cancel(self) -> None:
        """Do nothing."""


class Dispatcher:
    """Hands attempts to the channel of their target.

    Channels outlive configuration versions: one is kept as long as any service of the
    current catalog names its address, so that a change closes no connection in use.
    """

    def __init__(
        self,
        reactor: typing.Any,
        wire: dialect.TargetDialect,
        entry_policy: policy.Policy,
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._policy = entry_policy
        self._channels: dict[str, channel.Channel] = {}
        self._addresses: dict[str, _Address] = {}

    def apply(self, current: catalog.Catalog) -> None:
        """Open channels for new targets and close those of removed ones."""
        wanted = {
            name: target
            for service in current.services.values()
            for name, target in service.targets.items()
        }
        for name in list(self._channels):
            target = wanted.get(name)
            if target is None or self._addresses[name] != _address(target):
                self._channels.pop(name).close()
        for name, target in wanted.items():
            if name not in self._channels:
                self._open(name, target)
        self.resize(current)

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> runner.AttemptHandle:
        """Queue an attempt for its target."""
        channel_to_target = self._channels.get(attempt.target)
        if channel_to_target is None:
            # A request keeps the catalog it started with, which may name a target
            # that the current one no longer has.
            listener.on_failure(attempt.attempt_id, _REMOVED)
            return _Ended()
        return channel_to_target.submit(attempt, query, listener)

    def probe(self, target: str, on_result: channel.OnProbe) -> None:
        """Ask a target for its health; one that was removed gives no result."""
        channel_to_target = self._channels.get(target)
        if channel_to_target is not None:
            channel_to_target.probe(on_result)

    def resize(self, current: catalog.Catalog) -> None:
        """Apply the present shares of the targets' connection limits."""
        for service in current.services.values():
            for name, target in service.targets.items():
                if name in self._channels:
                    share = self._policy.connections(target)
                    self._channels[name].set_connections(share)

    def close(self) -> None:
        """Close all channels as their connections become idle."""
        for each in self._channels.values():
            each.close()

    def _open(self, name: str, target: catalog.Target) -> None:
        settings = target.settings
        share = self._policy.connections(target)
        self._addresses[name] = _address(target)
        connections = pool.Pool(self._reactor, settings.host, settings.port, share)
        self._channels[name] = channel.Channel(
            self._reactor,
            name,
            self._wire,
            connections,
            self._policy.concurrency_limiter(target),
            self._policy,
        )


def _address(target: catalog.Target) -> _Address:
    return (target.settings.host, target.settings.port)
