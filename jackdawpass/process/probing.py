"""Asks draining targets whether they accept work again."""

import typing

from twisted.internet import task

from jackdawpass import clock
from jackdawpass.process import dispatcher, policy

PERIOD_SECONDS = 1.0


class Prober:
    """Probes the health of the targets that the policy names.

    A draining target must get no work, so live traffic cannot tell that it is back.
    Only the instances that used it probe it, and each less often while it drains.

    Parameters
    ----------
    reactor : IReactorTime
        Sets the timer.
    entry_policy : Policy
        Names the targets and takes the results.
    channels : Dispatcher
        Reaches the targets within their connection limits.
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
        """Begin to probe."""
        self._loop.start(PERIOD_SECONDS, now=False)

    def stop(self) -> None:
        """End probing; results that still arrive are ignored by the policy."""
        if self._loop.running:
            self._loop.stop()

    def _probe(self) -> None:
        for name in self._policy.take_due_probes(clock.monotonic()):
            self._dispatcher.probe(name, self._on_result)

    def _on_result(self, name: str, ready: bool) -> None:
        self._policy.on_probe(clock.monotonic(), name, ready)
