"""Channels from this instance to all targets of the current catalog."""

import typing

from jackdawpass.connection import dialect, pool, reply_limits
from jackdawpass.process import channel, policy
from jackdawpass.request import model, runner
from jackdawpass.version import catalog

# Memory for the unfinished replies of all targets.
REPLY_MEMORY_BYTES = 64 * 1024 * 1024

_Address = tuple[str, int]

_TARGET_REMOVED = model.AttemptFailure(
    model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT
)


class _EndedAttemptHandle:
    """Handle of an attempt that ended on submission."""

    def cancel(self) -> None:
        """Do nothing."""


class Dispatcher:
    """Dispatcher of attempts to the channels of their targets.

    Channels outlive configuration versions. A channel is kept while any service of the
    current catalog has its target at the same address, so that a configuration change
    does not close connections in use.
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
        self._reply_memory = reply_limits.ReplyMemory(REPLY_MEMORY_BYTES)
        self._channels: dict[str, channel.Channel] = {}
        self._addresses: dict[str, _Address] = {}

    def apply(self, current: catalog.Catalog) -> None:
        """Open channels for new targets and close those of removed ones."""
        current_targets = {
            name: target
            for service in current.services.values()
            for name, target in service.targets.items()
        }
        for name in list(self._channels):
            target = current_targets.get(name)
            if target is None or self._addresses[name] != _address(target):
                self._channels.pop(name).close()
        for name, target in current_targets.items():
            if name not in self._channels:
                self._open_channel(name, target)
        self.resize(current)

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> runner.AttemptHandle:
        """Queue an attempt for its target."""
        target_channel = self._channels.get(attempt.target)
        if target_channel is None:
            # A request keeps the catalog that it started with, which may contain a
            # target that has been removed since.
            listener.on_failure(attempt.attempt_id, _TARGET_REMOVED)
            return _EndedAttemptHandle()
        return target_channel.submit(attempt, query, listener)

    def probe(self, target: str, on_result: channel.OnProbe) -> None:
        """Probe the health of a target; a removed target gives no result."""
        target_channel = self._channels.get(target)
        if target_channel is not None:
            target_channel.probe(on_result)

    def resize(self, current: catalog.Catalog) -> None:
        """Apply the current shares of the targets' connection limits."""
        for service in current.services.values():
            for name, target in service.targets.items():
                if name in self._channels:
                    share = self._policy.connection_limit(target)
                    self._channels[name].set_connections(share)

    def close(self) -> None:
        """Close all channels once their connections are idle."""
        for target_channel in self._channels.values():
            target_channel.close()

    def _open_channel(self, name: str, target: catalog.Target) -> None:
        settings = target.settings
        share = self._policy.connection_limit(target)
        self._addresses[name] = _address(target)
        connections = pool.Pool(
            self._reactor,
            settings.host,
            settings.port,
            share,
            memory=self._reply_memory,
        )
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
