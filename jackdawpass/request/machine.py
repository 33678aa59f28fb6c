"""Actions and events shared by the state machines of a request."""

import collections.abc
import dataclasses
import typing

from jackdawpass.request import model, problems


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action that sends a sub-request, which may first wait in the target's queue."""

    attempt: model.Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Action that removes an attempt from its queue, or aborts its exchange."""

    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Action that sets the time, in monotonic seconds, of the next `on_timer` call."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Action that ends the request with its outcome."""

    outcome: model.Answer | problems.Problem


Action = Send | Cancel | WakeAt | Finish
Actions = tuple[Action, ...]


class Machine(typing.Protocol):
    """State machine of one request; each method returns the actions to perform."""

    def start(self, now: float) -> Actions:
        """Begin the request."""

    def on_sent(self, now: float, attempt_id: int) -> Actions:
        """Record that the target may have read bytes of an attempt."""

    def on_accepted(self, now: float, attempt_id: int) -> Actions:
        """Record that an attempt was accepted and is being processed."""

    def on_reply(self, now: float, attempt_id: int, reply: model.SubReply) -> Actions:
        """Process the reply to an attempt."""

    def on_failure(
        self, now: float, attempt_id: int, failure: model.AttemptFailure
    ) -> Actions:
        """Process the failure of an attempt."""

    def on_timer(self, now: float) -> Actions:
        """Handle a timer set by `WakeAt`; early and repeated calls are allowed."""

    def on_caller_gone(self, now: float) -> Actions:
        """Stop the work for a caller that closed its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A target and the shards that one sub-request asks it for."""

    target: str
    shards: frozenset[int]


ExcludedTargets = collections.abc.Mapping[int, collections.abc.Set[str]]


class Router(typing.Protocol):
    """Router of the shards of one snapshot to targets."""

    def assign(
        self, now: float, shards: frozenset[int], excluded: ExcludedTargets
    ) -> tuple[Assignment, ...]:
        """Assign shards to targets.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        shards : frozenset of int
            Shards to assign; one without a usable target is left out.
        excluded : mapping of int to set of str
            Targets that must not serve a shard.

        Returns
        -------
        tuple of Assignment
            At most one per target; no shard is in two of them.
        """


class Hedging(typing.Protocol):
    """Policy on when an unanswered attempt is hedged."""

    def delay(self, now: float, target: str) -> float | None:
        """Return the seconds from sending to hedging, or None for no hedge."""


class Budget(typing.Protocol):
    """Limit on extra sub-requests as a share of the first attempts."""

    def on_first_attempts(self, now: float, count: int) -> None:
        """Add the budget earned by first attempts."""

    def try_spend(self, now: float, target: str = "") -> bool:
        """Spend budget for one extra sub-request; return False if there is none left.

        `target` would receive the sub-request; budgets may differ by target.
        """


class ResultMerge(typing.Protocol):
    """Collection of the replies of the shards, all from one snapshot."""

    @property
    def uncovered(self) -> collections.abc.Set[int]:
        """Shards without a reply, as a live view."""

    @property
    def ratio(self) -> float:
        """Covered share of the shards, from 0 to 1."""

    def add(self, shard: int, results: typing.Any) -> bool:
        """Add the reply of a shard; return False when the shard is already covered."""

    def coverage(
        self, reasons: collections.abc.Mapping[int, model.MissingReason]
    ) -> model.Coverage:
        """Return the coverage; `reasons` holds the reason of each missing shard."""

    def top(self, limit: int) -> typing.Any:
        """Return the merged results, at most `limit` of them."""


MergeFactory = collections.abc.Callable[[frozenset[int]], ResultMerge]


@dataclasses.dataclass(frozen=True, slots=True)
class PinnedSnapshot:
    """The snapshot that an answer is drawn from, its shards and their router."""

    snapshot: str
    shards: frozenset[int]
    router: Router


class SnapshotSource(typing.Protocol):
    """Source of the currently published snapshot."""

    def published_after(self, snapshot: str) -> PinnedSnapshot | None:
        """Return the published snapshot if it differs from `snapshot`, or None."""
