"""Observation of one request by the process, apart from its state machine."""

import typing

from jackdawpass.request import model


class Trace(typing.Protocol):
    """Is told what happens to a request and its attempts; decides nothing."""

    def queued(self, attempt: model.Attempt) -> None:
        """Note an attempt handed to its target's queue."""

    def sent(self, attempt_id: int) -> None:
        """Note an attempt written to its target."""

    def replied(self, attempt_id: int) -> None:
        """Note a usable reply."""

    def failed(self, attempt_id: int, failure: model.AttemptFailure) -> None:
        """Note a failed attempt."""

    def cancelled(self, attempt_id: int) -> None:
        """Note a cancelled attempt."""

    def timer(self) -> None:
        """Note that a timer, not an attempt, causes what follows."""

    def caller_gone(self) -> None:
        """Note that the caller went away; the request may still go on."""

    def abandoned(self) -> None:
        """Note that the request ended without an outcome."""


class NoTrace:
    """Ignores everything."""

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
