"""Periodic check whether this instance can reach the platform's store."""

import collections.abc
import random
import typing

from returns import result
from twisted.internet import defer, task

from jackdawpass import errors
from jackdawpass.process import logs

Check = collections.abc.Callable[
    [], defer.Deferred[result.Result[None, errors.PlatformUnavailable]]
]

_logger = logs.get_logger(__name__)

# Interval of checks. They detect outages in which the store silently lost a watch, so
# that a leaving target is known within three seconds.
CHECK_SECONDS = 1.2
# Interval of checks while the store is unavailable.
UNAVAILABLE_CHECK_SECONDS = 0.4


class StoreHealthCheck:
    """Periodic check of the store by a call that costs a tenth of others.

    Parameters
    ----------
    check : callable
        Makes a call to the store; its deferred fires with a result.
    on_available : callable
        Called when the store responds again after an outage.
    """

    def __init__(
        self,
        reactor: typing.Any,
        check: Check,
        on_available: collections.abc.Callable[[], None],
        generator: random.Random,
    ) -> None:
        self._reactor = reactor
        self._check = check
        self._on_available = on_available
        self._random = generator
        self._unavailable = False
        self._last_check_succeeded = False
        self._running = True
        self._waiters: list[defer.Deferred[None]] = []
        self._sleep: defer.Deferred[typing.Any] | None = None
        self._may_check_now = True

    @property
    def unavailable(self) -> bool:
        """True while the store does not respond."""
        return self._unavailable

    @property
    def last_check_succeeded(self) -> bool:
        """True if the last check was answered; False before the first."""
        return self._last_check_succeeded

    def when_available(self) -> defer.Deferred[None]:
        """Return a deferred that fires when the store responds again."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        return waiter

    def start(self) -> None:
        """Start the periodic checks."""
        self._run().addErrback(self._on_crash)

    def stop(self) -> None:
        """Make no more checks."""
        self._running = False

    def check_now(self) -> None:
        """Check early: other signs suggest an outage of the store."""
        if self._sleep is not None and self._may_check_now and not self._unavailable:
            self._may_check_now = False
            self._sleep.cancel()

    @defer.inlineCallbacks
    def _run(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        was_early = False
        while self._running:
            checked = yield self._check()
            self._on_checked(checked)
            seconds = UNAVAILABLE_CHECK_SECONDS if self._unavailable else CHECK_SECONDS
            jittered = seconds * self._random.uniform(0.8, 1.0)
            # At most one early check is made per periodic check, to bound their number.
            self._may_check_now = not was_early
            self._sleep = task.deferLater(self._reactor, jittered, lambda: None)
            self._sleep.addErrback(lambda reason: reason.trap(defer.CancelledError))
            yield self._sleep
            self._sleep = None
            was_early = not self._may_check_now and not was_early

    def _on_checked(self, checked: result.Result[None, typing.Any]) -> None:
        self._last_check_succeeded = isinstance(checked, result.Success)
        if not isinstance(checked, result.Success):
            if not self._unavailable:
                _logger.error("store_away", reason=str(checked.failure()))
            self._unavailable = True
            return
        if not self._unavailable:
            return
        self._unavailable = False
        _logger.info("store_back")
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)
        self._on_available()

    def _on_crash(self, reason: typing.Any) -> None:
        _logger.error("pulse_failed", reason=str(reason.value))
        self._reactor.callLater(CHECK_SECONDS, self.start)
