"""Whether the platform's store answers this instance."""

import collections.abc
import random
import typing

from returns import result
from twisted.internet import defer, task

from jackdawpass.process import logs
from jackdawpass.process.serving import instance_registry

_logger = logs.get_logger(__name__)

# Time between checks. A watch that was swallowed by a silent store is noticed by them,
# and a target that leaves must be known within three seconds.
CHECK_SECONDS = 1.2
# Time between checks while the store is away.
UNAVAILABLE_CHECK_SECONDS = 0.4


class StoreHealthCheck:
    """Checks the store again and again by a call that costs a tenth of others.

    Parameters
    ----------
    on_back : callable
        Called when the store answers after it did not.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: instance_registry.Store,
        instance: str,
        on_back: collections.abc.Callable[[], None],
        generator: random.Random,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._instance = instance
        self._on_back = on_back
        self._random = generator
        self._unavailable = False
        self._answers = False
        self._running = True
        self._waiting: list[defer.Deferred[None]] = []
        self._sleep: defer.Deferred[typing.Any] | None = None
        self._may_check_now = True

    @property
    def unavailable(self) -> bool:
        """True while the store does not answer."""
        return self._unavailable

    @property
    def last_check_succeeded(self) -> bool:
        """True while the last check was answered; False before the first."""
        return self._answers

    def when_available(self) -> defer.Deferred[None]:
        """Fire when the store answers again."""
        waiting: defer.Deferred[None] = defer.Deferred()
        self._waiting.append(waiting)
        return waiting

    def start(self) -> None:
        """Begin to check."""
        self._follow().addErrback(self._crashed)

    def stop(self) -> None:
        """Make no further calls."""
        self._running = False

    def check_now(self) -> None:
        """Check now: something else makes the store doubtful."""
        if self._sleep is not None and self._may_check_now and not self._unavailable:
            self._may_check_now = False
            self._sleep.cancel()

    @defer.inlineCallbacks
    def _follow(
        self,
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        was_early = False
        while self._running:
            checked = yield self._store.check(instance_registry.KIND, self._instance)
            self._take(checked)
            seconds = UNAVAILABLE_CHECK_SECONDS if self._unavailable else CHECK_SECONDS
            jittered = seconds * self._random.uniform(0.8, 1.0)
            # One hurried check for each ordinary one bounds their number.
            self._may_check_now = not was_early
            self._sleep = task.deferLater(self._reactor, jittered, lambda: None)
            self._sleep.addErrback(lambda reason: reason.trap(defer.CancelledError))
            yield self._sleep
            self._sleep = None
            was_early = not self._may_check_now and not was_early

    def _take(self, checked: result.Result[None, typing.Any]) -> None:
        self._answers = isinstance(checked, result.Success)
        if not isinstance(checked, result.Success):
            if not self._unavailable:
                _logger.error("store_away", reason=str(checked.failure()))
            self._unavailable = True
            return
        if not self._unavailable:
            return
        self._unavailable = False
        _logger.info("store_back")
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.callback(None)
        self._on_back()

    def _crashed(self, reason: typing.Any) -> None:
        _logger.error("pulse_failed", reason=str(reason.value))
        self._reactor.callLater(CHECK_SECONDS, self.start)
