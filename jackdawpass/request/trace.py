"""Interface for observers of one request, separate from its state machine."""

import typing

from jackdawpass.request import model


class Trace(typing.Protocol):
    """Observer of a request and its attempts, without any effect on them."""

    def queued(self, attempt: model.Attempt) -> None:
        """Record that an attempt was added to its target's queue."""

    def sent(self, attempt_id: int) -> None:
        """Record that an attempt was written to its target."""

    def replied(self, attempt_id: int) -> None:
        """Record a usable reply."""

    def failed(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        """Record a failed attempt."""

    def cancelled(self, attempt_id: int) -> None:
        """Record a cancelled attempt."""

    def timer(self) -> None:
        """Record that a timer, not an attempt, causes the following events."""

    def caller_gone(self) -> None:
        """Record that the caller disconnected; the request may still continue."""

    def abandoned(self) -> None:
        """Record that the request ended without an outcome."""


class NullTrace:
    """Trace that ignores all events."""

    def queued(self, attempt: model.Attempt) -> None:
        """Do nothing."""

    def sent(self, attempt_id: int) -> None:
        """Do nothing."""

    def replied(self, attempt_id: int) -> None:
        """Do nothing."""

    def failed(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        """Do nothing."""

    def cancelled(self, attempt_id: int) -> None:
        """Do nothing."""

    def timer(self) -> None:
        """Do nothing."""

    def caller_gone(self) -> None:
        """Do nothing."""

    def abandoned(self) -> None:
        """Do nothing."""
