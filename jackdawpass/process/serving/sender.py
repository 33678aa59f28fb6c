"""Sending of sub-requests to the listed targets over pooled connections."""

import collections.abc
import typing

from jackdawpass import clock
from jackdawpass.connection import dialect, pool, reply_limits
from jackdawpass.process import submission
from jackdawpass.process.serving import notices, targets
from jackdawpass.request import model, runner

# How long the reply to a cancelled attempt may take before its connection is closed.
# Targets must stop work within half a second after a caller has disconnected.
LINGER_SECONDS = 0.25
# A running target accepts a connection within about 10 ms, also in other zones.
CONNECT_TIMEOUT_SECONDS = 0.25
MIN_CONNECTIONS = 1

_REMOVED = model.AttemptFailure(
    model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT
)
_WITHDRAWN = model.AttemptFailure(model.FailureKind.DECLINED, model.Execution.NOT_SENT)


class Observer(typing.Protocol):
    """Observer of the results of attempts."""

    def on_attempt_end(
        self, now: float, attempt: model.Attempt, end: submission.End
    ) -> None:
        """Record the result of an attempt."""


class _EndedAttempt:
    """Handle of an attempt that ended at once."""

    def cancel(self) -> None:
        """Do nothing."""


class _Channel:
    """Connections to one incarnation of a target, and its unfinished attempts."""

    def __init__(
        self,
        state: targets.TargetState,
        connections: pool.Pool,
        wire: notices.Wire,
        observer: Observer,
        on_notices: notices.OnNotices,
    ) -> None:
        self._state = state
        self._incarnation = state.listed.incarnation
        self._pool = connections
        self._wire = wire
        self._observer = observer
        self._on_notices = on_notices
        self._unfinished: set[submission.Submission] = set()

    @property
    def incarnation(self) -> tuple[str, str, int, int]:
        """Incarnation of the target to which the connections lead."""
        return self._incarnation

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> submission.Submission:
        """Send an attempt as soon as a connection is free."""
        submitted = submission.Submission(
            attempt, query, listener, self._wire, self._pool, self
        )
        self._unfinished.add(submitted)
        self._state.in_flight += 1
        submitted.start()
        return submitted

    def on_end(
        self,
        now: float,
        ended: submission.Submission,
        end: submission.End,
        was_started: bool,
    ) -> None:
        """Record the end of an attempt."""
        self._unfinished.discard(ended)
        self._state.in_flight -= 1
        self._observer.on_attempt_end(now, ended.attempt, end)

    def on_http_reply(
        self, now: float, attempt: model.Attempt, reply: dialect.HttpReply
    ) -> None:
        """Pass on the notices in a reply."""
        started = self._state.listed.started
        found = self._wire.decode_notices(attempt.target, started, reply)
        if found:
            self._on_notices(now, found)

    def is_full(self) -> bool:
        """Return whether the target has recently refused an attempt."""
        return self._state.is_full(clock.monotonic())

    def resize(self, limit: int) -> None:
        """Change the maximum number of connections."""
        self._pool.set_limit(limit)

    def fail_unsent(self, failure: model.AttemptFailure) -> int:
        """Fail the attempts that have not been sent; return their number."""
        unsent = [each for each in self._unfinished if not each.sent]
        for submitted in unsent:
            submitted.fail(failure)
        return len(unsent)

    def close(self) -> None:
        """Fail unsent attempts; close connections as they become idle."""
        self.fail_unsent(_REMOVED)
        self._pool.close()


class Sender:
    """Channels to the listed targets, to which attempts are submitted.

    Parameters
    ----------
    reactor : IReactorTCP
        The process's reactor.
    wire : TargetDialect
        Encodes sub-requests and decodes replies.
    observer : Observer
        Receives the result of each attempt.
    on_notices : callable
        Receives the notices in each reply, also in those that nobody waits for.
    linger_seconds : float
        How long the reply to a cancelled attempt may take before its connection is
        closed.
    memory : ReplyMemory or None
        Memory for unfinished replies.
    """

    def __init__(
        self,
        reactor: typing.Any,
        wire: notices.Wire,
        observer: Observer,
        on_notices: notices.OnNotices,
        linger_seconds: float = LINGER_SECONDS,
        memory: reply_limits.ReplyMemory | None = None,
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._observer = observer
        self._on_notices = on_notices
        self._linger_seconds = linger_seconds
        self._memory = memory
        self._channels: dict[str, _Channel] = {}

    def apply(
        self,
        states: collections.abc.Mapping[str, targets.TargetState],
        connection_share: collections.abc.Callable[[targets.ListedTarget], int],
    ) -> None:
        """Open channels to new targets, and close those of removed ones."""
        for name in list(self._channels):
            state = states.get(name)
            incarnation = None if state is None else state.listed.incarnation
            if incarnation != self._channels[name].incarnation:
                self._channels.pop(name).close()
        for name, state in states.items():
            limit = max(MIN_CONNECTIONS, connection_share(state.listed))
            if name not in self._channels:
                self._channels[name] = self._open(state, limit)
            self._channels[name].resize(limit)
            if state.listed.leaving:
                self._channels[name].fail_unsent(_REMOVED)

    def has_channel(self, target: str) -> bool:
        """Return whether there is a channel to a target."""
        return target in self._channels

    def withdraw_unsent(self, target: str) -> int:
        """Withdraw the attempts not sent to a target yet; return their number."""
        channel = self._channels.get(target)
        return 0 if channel is None else channel.fail_unsent(_WITHDRAWN)

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> runner.AttemptHandle:
        """Send an attempt to its target."""
        channel = self._channels.get(attempt.target)
        if channel is None:
            # The target was removed after the attempt was created.
            listener.on_failure(attempt.attempt_id, _REMOVED)
            return _EndedAttempt()
        return channel.submit(attempt, query, listener)

    def close(self) -> None:
        """Close connections as they become idle."""
        for channel in self._channels.values():
            channel.close()

    def _open(self, state: targets.TargetState, limit: int) -> _Channel:
        listed = state.listed
        connections = pool.Pool(
            self._reactor,
            listed.host,
            listed.port,
            limit,
            self._linger_seconds,
            CONNECT_TIMEOUT_SECONDS,
            self._memory,
        )
        return _Channel(
            state, connections, self._wire, self._observer, self._on_notices
        )


class Dispatcher:
    """Dispatcher of attempts to the sender that has a channel to their target."""

    def __init__(self, *senders: Sender) -> None:
        self._senders = senders

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> runner.AttemptHandle:
        """Send an attempt to its target."""
        for sender in self._senders:
            if sender.has_channel(attempt.target):
                return sender.submit(attempt, query, listener)
        return self._senders[0].submit(attempt, query, listener)
