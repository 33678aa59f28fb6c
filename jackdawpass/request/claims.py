"""At-most-once claims for non-idempotent requests, kept in the platform's store.

A claim is created under the caller's Idempotency-Key. Only the writer named in the
claim may run the request, and only that writer may record that it did not run. Claims
do not expire: a writer that resumes after a long pause still holds its claim, and no
other writer has run the request in the meantime.
"""

import dataclasses
import enum
import hashlib
import typing

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api
from jackdawpass.request import model, problems

KEY_PREFIX = "claims/"
MAX_KEY_CHARACTERS = 255
MAX_RECORD_BYTES = 256 * 1024
ACQUIRE_TRIES = 3
RECORD_TRIES = 3
RETRY_AFTER_SECONDS = 1.0


class ClaimState(enum.Enum):
    """State of a claim.

    ``CLAIMED`` means that the request may run or have run, ``NOT_RUN`` that its writer
    gave up before running it, and ``DONE`` that it ran and its answer is recorded.
    """

    CLAIMED = "claimed"
    NOT_RUN = "not_run"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimObject:
    """Content of a claim object.

    Attributes
    ----------
    writer : str
        Unique id of the request that holds the claim; the fencing token.
    fingerprint : str
        Hash of the request; detects a key reused for another request.
    answer : object
        Recorded answer document of a request that ran; None until then.
    """

    writer: str
    fingerprint: str
    state: ClaimState
    answer: typing.Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim held by this request, with the version of its object."""

    key: str
    version: int
    content: ClaimObject


AcquireResult = result.Result[Claim | model.RecordedAnswer, problems.Problem]
Steps = typing.Generator[defer.Deferred[typing.Any], typing.Any, typing.Any]


def check_key(key: str) -> problems.Problem | None:
    """Return the problem of an invalid Idempotency-Key, or None if it is valid."""
    if 0 < len(key) <= MAX_KEY_CHARACTERS and key.isprintable():
        return None
    return problems.not_run(
        problems.ProblemKind.MALFORMED_REQUEST,
        f"the Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} printable "
        "characters; correct it and send the request again",
    )


def object_key(service: str, key: str) -> str:
    """Return the key of the claim object."""
    return f"{KEY_PREFIX}{service}/{hashlib.sha256(key.encode()).hexdigest()}"


def fingerprint(query: model.QueryRequest) -> str:
    """Return a hash of the query, its limit and its shard key, without the timeout."""
    fields = [query.query, query.limit, query.shard_key]
    return hashlib.sha256(msgspec.json.encode(fields, order="sorted")).hexdigest()


@defer.inlineCallbacks
def acquire(
    platform: platform_api.PlatformApi, key: str, writer: str, request_hash: str
) -> Steps:
    """Claim a request for `writer`.

    Parameters
    ----------
    platform : PlatformApi
        The platform's store.
    key : str
        Key of the claim object, see `object_key`.
    writer : str
        Unique id of this request.
    request_hash : str
        See `fingerprint`.

    Returns
    -------
    Deferred of Result of Claim, model.RecordedAnswer or Problem
        A Claim allows this request to run. The outcome of a Problem is `not_run` when
        this request will not run and no earlier one has, and `unknown` when an earlier
        one may have run.
    """
    requested = ClaimObject(writer, request_hash, ClaimState.CLAIMED)
    is_absent = False
    for _ in range(ACQUIRE_TRIES):
        written = yield platform.create(key, _document(requested))
        version = written.value_or(None)
        if version is not None:
            return result.Success(Claim(key, version, requested))
        # The object may have been created although the reply was lost, so it is read
        # after any error.
        read = yield platform.read(key)
        is_absent = read == result.Failure(errors.ObjectMissing(key))
        if isinstance(read, result.Success):
            resolved = yield _resolve(platform, read.unwrap(), requested)
            if resolved is not None:
                return resolved
    return result.Failure(_unclaimed() if is_absent else unconfirmed())


@defer.inlineCallbacks
def record(
    platform: platform_api.PlatformApi,
    claim: Claim,
    state: ClaimState,
    answer: model.JsonObject | None = None,
) -> Steps:
    """Record the final state of a claimed request; return True if it is stored.

    The update is conditional on the claim's version and each try writes the same
    content, so a repeated update after a lost reply changes nothing.
    """
    content = ClaimObject(
        claim.content.writer, claim.content.fingerprint, state, _storable(answer)
    )
    for _ in range(RECORD_TRIES):
        written = yield platform.update(claim.key, claim.version, _document(content))
        if isinstance(written, result.Success):
            return True
        if isinstance(written.failure(), errors.VersionConflict):
            read = yield platform.read(claim.key)
            stored = read.map(_parse).value_or(None)
            return stored == content
    return False


@defer.inlineCallbacks
def release(platform: platform_api.PlatformApi, key: str, writer: str) -> Steps:
    """Mark a claim of `writer` as not run, if the store contains one.

    A request is refused when its claim cannot be confirmed. The claim may still have
    been stored, and would then block a repeat of the request.
    """
    read = yield platform.read(key)
    stored = read.value_or(None)
    content = None if stored is None else _parse(stored)
    if stored is None or content is None or content.writer != writer:
        return False
    claim = Claim(key, stored.version, content)
    recorded = yield record(platform, claim, ClaimState.NOT_RUN)
    return recorded


@defer.inlineCallbacks
def _resolve(
    platform: platform_api.PlatformApi,
    stored: platform_api.StoredObject,
    requested: ClaimObject,
) -> Steps:
    """Evaluate the stored claim; return None if it changed and must be read again."""
    content = _parse(stored)
    if content is None:
        return result.Failure(_repeated("its claim object is not readable"))
    if content.writer == requested.writer:
        return result.Success(Claim(stored.key, stored.version, content))
    if content.fingerprint != requested.fingerprint:
        return result.Failure(_key_reused())
    if content.state is ClaimState.NOT_RUN:
        # The update is conditional, so only one repeat can take over the claim.
        written = yield platform.update(
            stored.key, stored.version, _document(requested)
        )
        if isinstance(written, result.Failure):
            return None
        return result.Success(Claim(stored.key, written.unwrap(), requested))
    if content.state is ClaimState.DONE and content.answer is not None:
        return result.Success(model.RecordedAnswer(content.answer))
    return result.Failure(
        _repeated("a request with this key may be running or has run")
    )


def _document(content: ClaimObject) -> model.JsonObject:
    return {
        "writer": content.writer,
        "fingerprint": content.fingerprint,
        "state": content.state.value,
        "answer": content.answer,
    }


def _parse(stored: platform_api.StoredObject) -> ClaimObject | None:
    try:
        return msgspec.convert(stored.value, ClaimObject)
    except msgspec.ValidationError:
        return None


def _storable(answer: model.JsonObject | None) -> model.JsonObject | None:
    """Return the answer as plain JSON, or None if it is too large to store."""
    encoded = msgspec.json.encode(answer)
    if len(encoded) > MAX_RECORD_BYTES:
        return None
    decoded: model.JsonObject | None = msgspec.json.decode(encoded)
    return decoded


def unconfirmed() -> problems.Problem:
    """Return the problem of a request whose claim could not be read.

    This request has not run, but an earlier one with its key may have.
    """
    return problems.Problem(
        problems.ProblemKind.CLAIM_UNAVAILABLE,
        model.Outcome.UNKNOWN,
        "the platform's store did not show whether a request with this key has run; "
        "retry later with the same Idempotency-Key",
        RETRY_AFTER_SECONDS,
    )


def _unclaimed() -> problems.Problem:
    return problems.not_run(
        problems.ProblemKind.CLAIM_UNAVAILABLE,
        "the request could not be claimed in the platform's store; retry later with "
        "the same Idempotency-Key",
        RETRY_AFTER_SECONDS,
    )


def _repeated(reason: str) -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.REPEATED_REQUEST,
        model.Outcome.UNKNOWN,
        f"{reason}; check its effect before sending it under another Idempotency-Key",
    )


def _key_reused() -> problems.Problem:
    return problems.not_run(
        problems.ProblemKind.REPEATED_REQUEST,
        "the Idempotency-Key belongs to another request; use a new key",
    )
