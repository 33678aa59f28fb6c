"""The ways of this instance's sub-requests to the listed targets."""

import collections.abc
import typing

from jackdawpass.connection import dialect, pool
from jackdawpass.process import submission
from jackdawpass.process.serving import targets
from jackdawpass.request import model, runner

# How long a reply that nobody waits for may take before its connection is closed.
# Targets have to stop within half a second after a caller has gone.
LINGER_SECONDS = 0.25
# A target that is up answers a connect within some 10 ms, other zones included.
CONNECT_TIMEOUT_SECONDS = 0.25
MIN_CONNECTIONS = 1

_REMOVED = model.AttemptFailure(
    model.FailureKind.CONNECT_FAILED, model.Execution.NOT_SENT
)


class Observer(typing.Protocol):
    """Learns from the end of each attempt."""

    def on_attempt_end(
        self, now: float, attempt: model.Attempt, end: submission.End
    ) -> None:
        """Note how an attempt ended."""


class _Ended:
    """Handle of an attempt that ended at once."""

    def cancel(self) -> None:
        """Do nothing."""


class _Lane:
    """Connections to one incarnation of a target and the attempts on their way."""

    def __init__(
        self,
        state: targets.TargetState,
        connections: pool.Pool,
        wire: dialect.TargetDialect,
        observer: Observer,
    ) -> None:
        self._state = state
        self._incarnation = state.listed.incarnation
        self._pool = connections
        self._wire = wire
        self._observer = observer
        self._under_way: set[submission.Submission] = set()

    @property
    def incarnation(self) -> tuple[str, str, int, int]:
        """Incarnation of the target that the connections lead to."""
        return self._incarnation

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> submission.Submission:
        """Send an attempt as soon as a connection is free."""
        new = submission.Submission(
            attempt, query, listener, self._wire, self._pool, self
        )
        self._under_way.add(new)
        self._state.in_flight += 1
        new.start()
        return new

    def on_end(
        self,
        now: float,
        ended: submission.Submission,
        end: submission.End,
        was_started: bool,
    ) -> None:
        """Note the end of an attempt."""
        self._under_way.discard(ended)
        self._state.in_flight -= 1
        self._observer.on_attempt_end(now, ended.attempt, end)

    def resize(self, limit: int) -> None:
        """Change the largest number of connections."""
        self._pool.set_limit(limit)

    def leave(self) -> None:
        """Turn back the attempts that the target has not seen."""
        for each in [each for each in self._under_way if not each.sent]:
            each.fail(_REMOVED)

    def close(self) -> None:
        """Turn back unsent attempts; close connections as they become idle."""
        self.leave()
        self._pool.close()


class Sender:
    """Hands attempts to the lane of their target.

    Parameters
    ----------
    reactor : IReactorTCP
        The process's reactor.
    wire : TargetDialect
        Encodes sub-requests and decodes replies.
    observer : Observer
        Learns from each attempt's end.
    linger_seconds : float
        How long a reply that nobody waits for may take before its connection is closed.
    """

    def __init__(
        self,
        reactor: typing.Any,
        wire: dialect.TargetDialect,
        observer: Observer,
        linger_seconds: float = LINGER_SECONDS,
    ) -> None:
        self._reactor = reactor
        self._wire = wire
        self._observer = observer
        self._linger_seconds = linger_seconds
        self._lanes: dict[str, _Lane] = {}

    def apply(
        self,
        states: collections.abc.Mapping[str, targets.TargetState],
        share_of: collections.abc.Callable[[targets.ListedTarget], int],
    ) -> None:
        """Open lanes to new targets, and close those of removed ones."""
        for name in list(self._lanes):
            state = states.get(name)
            incarnation = None if state is None else state.listed.incarnation
            if incarnation != self._lanes[name].incarnation:
                self._lanes.pop(name).close()
        for name, state in states.items():
            share = max(MIN_CONNECTIONS, share_of(state.listed))
            if name not in self._lanes:
                self._lanes[name] = self._open(state, share)
            self._lanes[name].resize(share)
            if state.listed.leaving:
                self._lanes[name].leave()

    def knows(self, target: str) -> bool:
        """Return whether there is a lane to a target."""
        return target in self._lanes

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> runner.AttemptHandle:
        """Send an attempt to its target."""
        lane = self._lanes.get(attempt.target)
        if lane is None:
            # The list has changed since the attempt was decided.
            listener.on_failure(attempt.attempt_id, _REMOVED)
            return _Ended()
        return lane.submit(attempt, query, listener)

    def close(self) -> None:
        """Close all connections as they become idle."""
        for lane in self._lanes.values():
            lane.close()

    def _open(self, state: targets.TargetState, share: int) -> _Lane:
        listed = state.listed
        connections = pool.Pool(
            self._reactor,
            listed.host,
            listed.port,
            share,
            self._linger_seconds,
            CONNECT_TIMEOUT_SECONDS,
        )
        return _Lane(state, connections, self._wire, self._observer)


class Dispatcher:
    """Hands attempts to the sender that knows their target."""

    def __init__(self, *senders: Sender) -> None:
        self._senders = senders

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: runner.Listener
    ) -> runner.AttemptHandle:
        """Send an attempt to its target."""
        for each in self._senders:
            if each.knows(attempt.target):
                return each.submit(attempt, query, listener)
        return self._senders[0].submit(attempt, query, listener)
