"""Commits of operators' configuration changes, which replace the head object."""

import collections.abc
import typing
import uuid

from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api
from jackdawpass.process import retry, version_store
from jackdawpass.version import parts, review

Changes = collections.abc.Mapping[str, bytes | None]
CommitResult = result.Result[parts.Head, errors.ChangeError]

_StepResult = result.Result[None, errors.ChangeError]
_FoundResult = result.Result[parts.Head | None, errors.ChangeError]


def commit(
    platform: platform_api.PlatformApi,
    changes: Changes,
    base_head: parts.Head | None = None,
    retry_policy: retry.RetryPolicy | None = None,
) -> defer.Deferred[CommitResult]:
    """Commit changed parts as one new version.

    Parameters
    ----------
    platform : PlatformApi
        Object API of the platform.
    changes : mapping of str to bytes or None
        New content of each changed part; None removes the part.
    base_head : Head, optional
        Head on which the operator based the change; by default the current head.
    retry_policy : RetryPolicy, optional
        Limits on tries and time; by default they use the process's reactor.

    Returns
    -------
    Result of Head or ChangeError
        The accepted head, or the current one if it already contains the changes.
        ConflictingChange if the changes cannot be combined with another operator's.
    """
    if retry_policy is None:
        from twisted.internet import reactor

        retry_policy = retry.for_reactor(reactor)
    return _Commit(platform, changes, base_head, retry_policy).run()


class _Commit:
    """One commit with its tries.

    All tries use the same writer id. At most one of them takes effect: a repeated
    update has the same condition, and a condition on an older head can no longer
    hold.
    """

    def __init__(
        self,
        platform: platform_api.PlatformApi,
        changes: Changes,
        base_head: parts.Head | None,
        retry_policy: retry.RetryPolicy,
    ) -> None:
        self._platform = platform
        self._versions = version_store.VersionStore(platform)
        self._changes = changes
        self._base_head = base_head
        self._retry_policy = retry_policy
        self._writer = uuid.uuid4().hex
        self._last_tried: parts.Head | None = None
        self._uncertain = False

    @defer.inlineCallbacks
    def run(self) -> version_store.Steps[CommitResult]:
        """Try until the change is accepted or refused, or the tries or time run out."""
        started = self._retry_policy.now()
        reason = "no try was made"
        for tries in range(self._retry_policy.max_tries):
            if self._retry_policy.now() - started >= self._retry_policy.max_seconds:
                return self._give_up(tries, reason)
            outcome = yield self._try_once()
            if not _is_retryable(outcome):
                return self._result_or_uncertain(outcome)
            reason = _first_line(outcome.failure())
            yield self._retry_policy.sleep(self._retry_policy.backoff_seconds(tries))
        return self._give_up(self._retry_policy.max_tries, reason)

    @defer.inlineCallbacks
    def _try_once(self) -> version_store.Steps[CommitResult]:
        read = yield self._versions.read_head()
        if isinstance(read, result.Failure):
            return read
        stored_head: version_store.StoredHead = read.unwrap()
        earlier = yield self._find_earlier_commit(stored_head.head)
        if isinstance(earlier, result.Failure):
            return earlier
        if earlier.unwrap() is not None:
            return result.Success(earlier.unwrap())
        return (yield self._replace(stored_head))

    @defer.inlineCallbacks
    def _find_earlier_commit(
        self, head: parts.Head
    ) -> version_store.Steps[_FoundResult]:
        """Search the history for a commit of this writer whose reply was lost."""
        if not self._uncertain or self._last_tried is None:
            return result.Success(None)
        if head.version < self._last_tried.version:
            return result.Success(None)
        found = yield self._versions.find_version(head, self._last_tried.version)
        if isinstance(found, result.Failure):
            return found
        if found.unwrap().writer == self._writer:
            return found
        self._uncertain = False
        return result.Success(None)

    @defer.inlineCallbacks
    def _replace(
        self, stored_head: version_store.StoredHead
    ) -> version_store.Steps[CommitResult]:
        if self._base_head is None:
            self._base_head = stored_head.head
        successor = self._successor(stored_head.head)
        if not parts.changed_parts(stored_head.head.parts, successor.parts):
            return result.Success(stored_head.head)
        for step in (self._check_overlap, self._review, self._write_chunks):
            checked = yield step(stored_head.head, successor)
            if isinstance(checked, result.Failure):
                return checked
        return (yield self._write_head(stored_head, successor))

    def _successor(self, head: parts.Head) -> parts.Head:
        hashes_by_part = dict(head.parts)
        for name, content in self._changes.items():
            if content is None:
                hashes_by_part.pop(name, None)
            else:
                hashes_by_part[name] = parts.chunk_hashes(content)
        previous = parts.encode(parts.head_document(head)) if head.version else b""
        previous_hash = parts.chunk_hash(previous) if previous else ""
        return parts.Head(head.version + 1, self._writer, previous_hash, hashes_by_part)

    @defer.inlineCallbacks
    def _check_overlap(
        self, head: parts.Head, successor: parts.Head
    ) -> version_store.Steps[_StepResult]:
        """Refuse to overwrite a part that changed after the operator's base head."""
        assert self._base_head is not None
        changed = parts.changed_parts(self._base_head.parts, head.parts)
        own_changes = parts.changed_parts(head.parts, successor.parts)
        if not changed & own_changes & self._changes.keys():
            return result.Success(None)
        return (yield self._conflict_error(head, changed & own_changes, ()))

    @defer.inlineCallbacks
    def _review(
        self, head: parts.Head, successor: parts.Head
    ) -> version_store.Steps[_StepResult]:
        """Validate the configuration that results from the changes."""
        assert self._base_head is not None
        unchanged = {
            name: hashes
            for name, hashes in successor.parts.items()
            if name not in self._changes
        }
        read = yield self._versions.read_contents(unchanged)
        if isinstance(read, result.Failure):
            return read
        changed = {name: content for name, content in self._changes.items() if content}
        reviewed = review.review({**read.unwrap(), **changed})
        if isinstance(reviewed, result.Success):
            return reviewed
        others = parts.changed_parts(self._base_head.parts, head.parts)
        if not others:
            return reviewed
        return (yield self._conflict_error(head, others, reviewed.failure().faults))

    @defer.inlineCallbacks
    def _conflict_error(
        self,
        head: parts.Head,
        names: collections.abc.Set[str],
        faults: tuple[errors.Fault, ...],
    ) -> version_store.Steps[_StepResult]:
        assert self._base_head is not None
        chain = yield self._versions.read_history(head, self._base_head.version)
        if isinstance(chain, result.Failure):
            return chain
        changes = _find_changes(chain.unwrap(), names)
        return result.Failure(errors.ConflictingChange(changes, faults))

    @defer.inlineCallbacks
    def _write_chunks(
        self, head: parts.Head, successor: parts.Head
    ) -> version_store.Steps[_StepResult]:
        """Write the missing chunks, and the replaced head as a chunk."""
        contents = [
            chunk
            for name, content in self._changes.items()
            if content is not None and head.parts.get(name) != successor.parts[name]
            for chunk in parts.split_content(content)
        ]
        if successor.previous:
            contents.append(parts.encode(parts.head_document(head)))
        for content in contents:
            written = yield self._versions.write_chunk(content)
            if isinstance(written, result.Failure):
                return written
        return result.Success(None)

    @defer.inlineCallbacks
    def _write_head(
        self, stored_head: version_store.StoredHead, successor: parts.Head
    ) -> version_store.Steps[CommitResult]:
        document = parts.head_document(successor)
        self._last_tried = successor
        if stored_head.object_version == 0:
            written = yield self._platform.create(parts.HEAD_KEY, document)
        else:
            written = yield self._platform.update(
                parts.HEAD_KEY, stored_head.object_version, document
            )
        if isinstance(written, result.Success):
            return result.Success(successor)
        if _is_uncertain(written.failure()):
            self._uncertain = True
        return written

    def _result_or_uncertain(self, outcome: CommitResult) -> CommitResult:
        """Report an uncertain outcome instead of a refusal if a reply was lost."""
        if isinstance(outcome, result.Failure) and self._uncertain:
            return self._as_uncertain(_first_line(outcome.failure()))
        return outcome

    def _give_up(self, tries: int, reason: str) -> CommitResult:
        if self._uncertain:
            return self._as_uncertain(reason)
        return result.Failure(errors.CommitContended(tries, reason))

    def _as_uncertain(self, reason: str) -> CommitResult:
        assert self._last_tried is not None
        return result.Failure(
            errors.CommitUncertain(self._writer, self._last_tried.version, reason)
        )


def _find_changes(
    chain: collections.abc.Sequence[parts.Head], names: collections.abc.Set[str]
) -> tuple[errors.ChangedPart, ...]:
    """Return for each part the newest version in the chain that changed it."""
    versions = dict.fromkeys(names, chain[0].version)
    for newer, older in reversed(list(zip(chain, chain[1:], strict=False))):
        for name in parts.changed_parts(newer.parts, older.parts) & names:
            versions[name] = newer.version
    return tuple(errors.ChangedPart(name, versions[name]) for name in sorted(names))


def _is_retryable(outcome: CommitResult) -> bool:
    kinds = errors.PlatformUnavailable | errors.VersionConflict
    return isinstance(outcome, result.Failure) and isinstance(outcome.failure(), kinds)


def _is_uncertain(error: errors.PlatformError) -> bool:
    return isinstance(error, errors.PlatformUnavailable) and error.uncertain


def _first_line(error: typing.Any) -> str:
    if isinstance(error, errors.PlatformUnavailable):
        return error.reason
    return str(error).splitlines()[0]
