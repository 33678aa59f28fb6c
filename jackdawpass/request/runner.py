"""Runner that performs the actions of one request's state machine."""

import collections
import collections.abc
import math
import typing

from jackdawpass import clock
from jackdawpass.request import machine, model, problems, trace

OnFinish = collections.abc.Callable[[model.Answer | problems.Problem], None]


class Listener(typing.Protocol):
    """Receiver of the events of an attempt from a target's channel."""

    def on_sent(self, attempt_id: int) -> None:
        """Record that the target may have read bytes of the attempt."""

    def on_accepted(self, attempt_id: int) -> None:
        """Record that the attempt was accepted and is being processed."""

    def on_reply(self, attempt_id: int, reply: model.SubReply) -> None:
        """Handle the target's reply."""

    def on_failure(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        """Handle the failure of the attempt."""


class AttemptHandle(typing.Protocol):
    """Handle of a submitted attempt."""

    def cancel(self) -> None:
        """Cancel the attempt; no event follows."""


class Submitter(typing.Protocol):
    """Submitter of attempts to the channels of their targets."""

    def submit(
        self, attempt: model.Attempt, query: bytes, listener: Listener
    ) -> AttemptHandle:
        """Queue an attempt for its target; `query` is the shared encoded query."""


class Runner:
    """Connection of one state machine to the reactor and to the targets' channels.

    Parameters
    ----------
    reactor : IReactorTime
        Provides the machine's timer.
    state_machine : Machine
        The state machine of the request.
    submitter : Submitter
        Submits the attempts.
    query : bytes
        Encoded query shared by all sub-requests.
    on_finish : callable
        Called once with the outcome, unless the caller has disconnected.
    observer : Trace or None
        Observes the events of the request; None for no observer.
    """

    def __init__(
        self,
        reactor: typing.Any,
        state_machine: machine.Machine,
        submitter: Submitter,
        query: bytes,
        on_finish: OnFinish,
        observer: trace.Trace | None = None,
    ) -> None:
        self._reactor = reactor
        self._state_machine = state_machine
        self._submitter = submitter
        self._query = query
        self._on_finish: OnFinish | None = on_finish
        self._handles: dict[int, AttemptHandle] = {}
        self._active_attempts: set[int] = set()
        self._pending: collections.deque[machine.Action] = collections.deque()
        self._performing = False
        self._timer: typing.Any = None
        self._trace: trace.Trace = observer or trace.NullTrace()

    def start(self) -> None:
        """Begin the request."""
        self._perform(self._state_machine.start(clock.monotonic()))

    def caller_gone(self) -> None:
        """Stop the work for a caller that has disconnected."""
        self._trace.caller_gone()
        self._perform(self._state_machine.on_caller_gone(clock.monotonic()))
        if not self._active_attempts and self._on_finish is not None:
            self._trace.abandoned()

    def expire(self) -> None:
        """Finish the request at once, as at its deadline."""
        self._trace.timer()
        self._perform(self._state_machine.on_timer(math.inf))

    def on_sent(self, attempt_id: int) -> None:
        """Inform the state machine that a target may have read an attempt."""
        self._trace.sent(attempt_id)
        self._perform(self._state_machine.on_sent(clock.monotonic(), attempt_id))

    def on_accepted(self, attempt_id: int) -> None:
        """Inform the state machine that an attempt was accepted."""
        self._perform(self._state_machine.on_accepted(clock.monotonic(), attempt_id))

    def on_reply(self, attempt_id: int, reply: model.SubReply) -> None:
        """Pass a reply to the state machine."""
        self._trace.replied(attempt_id)
        self._remove(attempt_id)
        self._perform(
            self._state_machine.on_reply(clock.monotonic(), attempt_id, reply)
        )

    def on_failure(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        """Pass a failure to the state machine."""
        self._trace.failed(attempt_id, failure)
        self._remove(attempt_id)
        self._perform(
            self._state_machine.on_failure(clock.monotonic(), attempt_id, failure)
        )

    def _remove(self, attempt_id: int) -> AttemptHandle | None:
        self._active_attempts.discard(attempt_id)
        return self._handles.pop(attempt_id, None)

    def _perform(self, actions: machine.Actions) -> None:
        # A channel may call back while an action is performed; the resulting actions
        # are queued behind the pending ones.
        for action in actions:
            if not self._cancels_pending_send(action):
                self._pending.append(action)
        if self._performing:
            return
        self._performing = True
        try:
            while self._pending:
                self._perform_one(self._pending.popleft())
        finally:
            self._performing = False

    def _cancels_pending_send(self, action: machine.Action) -> bool:
        """Drop a pending `Send` that `action` cancels; return True if there was one.

        Otherwise a request could be sent after it was reported as not run.
        """
        if not isinstance(action, machine.Cancel):
            return False
        for pending in self._pending:
            if (
                isinstance(pending, machine.Send)
                and pending.attempt.attempt_id == action.attempt_id
            ):
                self._pending.remove(pending)
                return True
        return False

    def _perform_one(self, action: machine.Action) -> None:
        match action:
            case machine.Send(attempt):
                self._send(attempt)
            case machine.Cancel(attempt_id):
                handle = self._remove(attempt_id)
                if handle is not None:
                    self._trace.cancelled(attempt_id)
                    handle.cancel()
            case machine.WakeAt(at):
                self._set_timer(at)
            case machine.Finish(outcome):
                self._finish(outcome)

    def _send(self, attempt: model.Attempt) -> None:
        # The attempt may end before `submit` returns; its handle is then not needed.
        self._trace.queued(attempt)
        self._active_attempts.add(attempt.attempt_id)
        handle = self._submitter.submit(attempt, self._query, self)
        if attempt.attempt_id in self._active_attempts:
            self._handles[attempt.attempt_id] = handle

    def _set_timer(self, at: float) -> None:
        self._stop_timer()
        delay = max(0.0, at - clock.monotonic())
        self._timer = self._reactor.callLater(delay, self._on_timer)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        self._trace.timer()
        self._perform(self._state_machine.on_timer(clock.monotonic()))

    def _finish(self, outcome: model.Answer | problems.Problem) -> None:
        self._stop_timer()
        on_finish, self._on_finish = self._on_finish, None
        if on_finish is not None:
            on_finish(outcome)
