"""Health probes of draining targets, which detect that they accept work again."""

import typing

from twisted.internet import task

from jackdawpass import clock
from jackdawpass.process import dispatcher, policy

INTERVAL_SECONDS = 1.0


class Prober:
    """Prober of the health of the targets that the policy returns.

    A draining target gets no requests, so traffic cannot show that it is back. Only
    the instances that used the target probe it, at increasing intervals.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the probes.
    entry_policy : Policy
        Returns the targets that are due and receives the results.
    channels : Dispatcher
        Sends the probes within the connection limits of the targets.
    """

    def __init__(
        self,
        reactor: typing.Any,
        entry_policy: policy.Policy,
        channels: dispatcher.Dispatcher,
    ) -> None:
        self._policy = entry_policy
        self._dispatcher = channels
        self._loop = task.LoopingCall(self._probe)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start probing."""
        self._loop.start(INTERVAL_SECONDS, now=False)

    def stop(self) -> None:
        """Stop probing; results of earlier probes still reach the policy."""
        if self._loop.running:
            self._loop.stop()

    def _probe(self) -> None:
        for name in self._policy.take_due_probes(clock.monotonic()):
            self._dispatcher.probe(name, self._on_result)

    def _on_result(self, name: str, ready: bool) -> None:
        self._policy.on_probe_result(clock.monotonic(), name, ready)
