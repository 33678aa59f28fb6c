"""Typed values of one request: the query, its sub-requests and its answer."""

import collections.abc
import dataclasses
import enum
import typing

JsonObject = dict[str, typing.Any]


class Outcome(enum.Enum):
    """Known outcome of a request that has no answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    INCOMPLETE = "incomplete"


class MissingReason(enum.Enum):
    """Reason why a shard is not covered by an answer."""

    NO_REPLICA = "no_replica"
    NOT_STARTED = "not_started"
    TIMED_OUT = "timed_out"
    NOT_AWAITED = "not_awaited"
    REFUSED = "refused"
    FAILED = "failed"
    SNAPSHOT_GONE = "snapshot_gone"


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRequest:
    """A validated request of a caller.

    Attributes
    ----------
    query : object
        Any JSON value; passed to the targets unchanged.
    timeout : float or None
        Seconds from arrival to the deadline; None uses the service's default.
    limit : int or None
        Maximum number of results; None uses the service's default.
    min_coverage : float or None
        Smallest share of shards, from 0 to 1, that makes an answer acceptable;
        None uses the service's default.
    idempotent : bool
        False when the request must run at most once.
    shard_key : str or None
        Key that determines the shard of a non-idempotent request.
    """

    query: object
    timeout: float | None = None
    limit: int | None = None
    min_coverage: float | None = None
    idempotent: bool = True
    shard_key: str | None = None


class AttemptKind(enum.Enum):
    """Reason why a sub-request is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"
    RESTART = "restart"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One sub-request to one target for all of its shards in the query.

    Attributes
    ----------
    attempt_id : int
        Unique within the request.
    deadline : float
        Monotonic seconds.
    answer_by : float or None
        Monotonic time by which a partial reply is preferred to a later one.
    """

    attempt_id: int
    request_id: str
    service: str
    target: str
    shards: frozenset[int]
    snapshot: str
    deadline: float
    limit: int
    kind: AttemptKind
    idempotent: bool = True
    answer_by: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResultItem:
    """One result of a shard; `item_id` identifies it within the service."""

    item_id: str
    score: float
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class SubReply:
    """A target's reply to one attempt, with its results by shard.

    Attributes
    ----------
    shards : mapping of int to object
        Reply of each shard, in the form that the request's merge expects.
    is_final : bool
        True when the replying instance has already retried the omitted shards.
    """

    request_id: str
    attempt_id: int
    snapshot: str
    shards: collections.abc.Mapping[int, typing.Any]
    is_final: bool = False


class FailureKind(enum.Enum):
    """Reason why an attempt produced no usable reply."""

    QUEUE_FULL = "queue_full"
    QUEUE_EXPIRED = "queue_expired"
    CONNECT_FAILED = "connect_failed"
    DECLINED = "declined"
    CONNECTION_LOST = "connection_lost"
    REPLY_TOO_LARGE = "reply_too_large"
    TIMED_OUT = "timed_out"
    SHED = "shed"
    DRAINING = "draining"
    COLD = "cold"
    SNAPSHOT_NOT_HELD = "snapshot_not_held"
    SHARD_MOVED = "shard_moved"
    TARGET_FAILED = "target_failed"
    MISMATCHED_REPLY = "mismatched_reply"
    WRONG_TARGET = "wrong_target"


class Execution(enum.Enum):
    """Knowledge of whether a target has run a failed attempt."""

    NOT_SENT = "not_sent"
    REFUSED_NOT_RUN = "refused_not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """The failure of one attempt.

    Attributes
    ----------
    held : tuple of str
        Snapshots that the target reports to hold; empty if it reported none.
    retry_after : float
        Seconds after which the target expects to accept work; 0 when unknown.
    """

    kind: FailureKind
    execution: Execution
    held: tuple[str, ...] = ()
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a reply says about the availability of a target.

    Attributes
    ----------
    started : int
        Distinguishes incarnations of the target.
    leaving : bool
        True when the target stops soon and wants no new work.
    pause : float or None
        Seconds from now for which the target wants no work; None if it has not said.
    """

    target: str
    started: int
    leaving: bool = False
    pause: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that an answer does not cover."""

    shard: int
    reason: MissingReason


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """The shards that an answer covers, out of `shards` in its snapshot."""

    shards: int
    covered: int
    missing: tuple[MissingShard, ...] = ()

    @property
    def ratio(self) -> float:
        """Covered share of the shards, from 0 to 1."""
        return self.covered / self.shards if self.shards else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete or partial answer from one snapshot, with its coverage.

    Attributes
    ----------
    results : object
        The merged results, in the form that the request's merge returns.
    """

    request_id: str
    service: str
    snapshot: str
    coverage: Coverage
    results: typing.Any

    @property
    def complete(self) -> bool:
        """True when every shard of the snapshot is covered."""
        return self.coverage.covered == self.coverage.shards


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer document that an earlier run under the same key recorded."""

    document: JsonObject


@dataclasses.dataclass(frozen=True, slots=True)
class QueryPlan:
    """Parameters of the execution of one query.

    Attributes
    ----------
    deadline : float
        Monotonic seconds.
    shards : frozenset of int
        Shards of the pinned snapshot.
    early_after : float or None
        Monotonic time from which a partial answer is returned as soon as
        `early_coverage` is reached; None waits until the deadline.
    max_attempts : int or None
        Maximum number of targets to which a shard's sub-request is sent.
    hedge_from_start : bool
        True when the hedge delay counts from the creation of an attempt, not from its
        sending.
    """

    request_id: str
    service: str
    snapshot: str
    shards: frozenset[int]
    deadline: float
    limit: int
    min_coverage: float
    early_after: float | None = None
    early_coverage: float = 1.0
    max_attempts: int | None = None
    hedge_from_start: bool = False
