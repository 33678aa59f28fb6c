"""Operators' changes: committed through the head object."""

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

_Done = result.Result[None, errors.ChangeError]
_Settled = result.Result[parts.Head | None, errors.ChangeError]


def commit(
    platform: platform_api.PlatformApi,
    changes: Changes,
    seen: parts.Head | None = None,
    retry_policy: retry.RetryPolicy | None = None,
) -> defer.Deferred[CommitResult]:
    """Commit changed parts as one new version.

    Parameters
    ----------
    platform : PlatformApi
        The platform's store.
    changes : mapping of str to bytes or None
        New content of each changed part; None removes the part.
    seen : Head, optional
        Head on which the operator based the change; the current one by default.
    retry_policy : RetryPolicy, optional
        Bounds of the commit; those of the process's reactor by default.

    Returns
    -------
    Result of Head or ChangeError
        The accepted head, or the current one when it already has the changes.
        ConflictingChange when another operator's change cannot be combined.
    """
    if retry_policy is None:
        from twisted.internet import reactor

        retry_policy = retry.for_reactor(reactor)
    return _Commit(platform, changes, seen, retry_policy).run()


class _Commit:
    """One change, from the head it was based on to its outcome.

    One writer id serves all tries. Two tries can never both take effect: a repeated
    update has the same condition, and the condition of an older head fails for good.
    """

    def __init__(
        self,
        platform: platform_api.PlatformApi,
        changes: Changes,
        seen: parts.Head | None,
        retry_policy: retry.RetryPolicy,
    ) -> None:
        self._platform = platform
        self._versions = version_store.VersionStore(platform)
        self._changes = changes
        self._seen = seen
        self._retry_policy = retry_policy
        self._writer = uuid.uuid4().hex
        self._tried: parts.Head | None = None
        self._uncertain = False

    @defer.inlineCallbacks
    def run(self) -> version_store.Steps[CommitResult]:
        """Try until the change is accepted, refused or out of tries or time."""
        started = self._retry_policy.now()
        reason = "no try was made"
        for tries in range(self._retry_policy.max_tries):
            if self._retry_policy.now() - started >= self._retry_policy.max_seconds:
                return self._give_up(tries, reason)
            outcome = yield self._try_once()
            if not _may_repeat(outcome):
                return self._final(outcome)
            reason = _one_line(outcome.failure())
            yield self._retry_policy.sleep(self._retry_policy.backoff_seconds(tries))
        return self._give_up(self._retry_policy.max_tries, reason)

    @defer.inlineCallbacks
    def _try_once(self) -> version_store.Steps[CommitResult]:
        read = yield self._versions.read_head()
        if isinstance(read, result.Failure):
            return read
        observed: version_store.StoredHead = read.unwrap()
        settled = yield self._settle(observed.head)
        if isinstance(settled, result.Failure):
            return settled
        if settled.unwrap() is not None:
            return result.Success(settled.unwrap())
        return (yield self._replace(observed))

    @defer.inlineCallbacks
    def _settle(self, head: parts.Head) -> version_store.Steps[_Settled]:
        """Look for this writer in the history when a reply was lost."""
        if not self._uncertain or self._tried is None:
            return result.Success(None)
        if head.version < self._tried.version:
            return result.Success(None)
        found = yield self._versions.find_version(head, self._tried.version)
        if isinstance(found, result.Failure):
            return found
        if found.unwrap().writer == self._writer:
            return found
        self._uncertain = False
        return result.Success(None)

    @defer.inlineCallbacks
    def _replace(
        self, observed: version_store.StoredHead
    ) -> version_store.Steps[CommitResult]:
        if self._seen is None:
            self._seen = observed.head
        successor = self._successor(observed.head)
        if not parts.changed_parts(observed.head.parts, successor.parts):
            return result.Success(observed.head)
        for step in (self._refuse_overlap, self._review, self._write_chunks):
            done = yield step(observed.head, successor)
            if isinstance(done, result.Failure):
                return done
        return (yield self._write_head(observed, successor))

    def _successor(self, head: parts.Head) -> parts.Head:
        named = dict(head.parts)
        for name, content in self._changes.items():
            if content is None:
                named.pop(name, None)
            else:
                named[name] = parts.address(content)
        previous = parts.encode(parts.head_document(head)) if head.version else b""
        address = parts.chunk_hash(previous) if previous else ""
        return parts.Head(head.version + 1, self._writer, address, named)

    @defer.inlineCallbacks
    def _refuse_overlap(
        self, head: parts.Head, successor: parts.Head
    ) -> version_store.Steps[_Done]:
        """Refuse to overwrite a part that changed since the operator saw it."""
        assert self._seen is not None
        changed = parts.changed_parts(self._seen.parts, head.parts)
        ours = parts.changed_parts(head.parts, successor.parts)
        if not changed & ours & self._changes.keys():
            return result.Success(None)
        return (yield self._conflict(head, changed & ours, ()))

    @defer.inlineCallbacks
    def _review(
        self, head: parts.Head, successor: parts.Head
    ) -> version_store.Steps[_Done]:
        """Check the configuration that the change would give."""
        assert self._seen is not None
        kept = {
            name: hashes
            for name, hashes in successor.parts.items()
            if name not in self._changes
        }
        read = yield self._versions.read_contents(kept)
        if isinstance(read, result.Failure):
            return read
        changed = {name: each for name, each in self._changes.items() if each}
        reviewed = review.review({**read.unwrap(), **changed})
        if isinstance(reviewed, result.Success):
            return reviewed
        others = parts.changed_parts(self._seen.parts, head.parts)
        if not others:
            return reviewed
        return (yield self._conflict(head, others, reviewed.failure().faults))

    @defer.inlineCallbacks
    def _conflict(
        self,
        head: parts.Head,
        names: collections.abc.Set[str],
        faults: tuple[errors.Fault, ...],
    ) -> version_store.Steps[_Done]:
        assert self._seen is not None
        chain = yield self._versions.read_history(head, self._seen.version)
        if isinstance(chain, result.Failure):
            return chain
        changes = _attribute(chain.unwrap(), names)
        return result.Failure(errors.ConflictingChange(changes, faults))

    @defer.inlineCallbacks
    def _write_chunks(
        self, head: parts.Head, successor: parts.Head
    ) -> version_store.Steps[_Done]:
        """Write the missing chunks and the head that is replaced."""
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
        self, observed: version_store.StoredHead, successor: parts.Head
    ) -> version_store.Steps[CommitResult]:
        document = parts.head_document(successor)
        self._tried = successor
        if observed.object_version == 0:
            written = yield self._platform.create(parts.HEAD_KEY, document)
        else:
            written = yield self._platform.update(
                parts.HEAD_KEY, observed.object_version, document
            )
        if isinstance(written, result.Success):
            return result.Success(successor)
        if _is_uncertain(written.failure()):
            self._uncertain = True
        return written

    def _final(self, outcome: CommitResult) -> CommitResult:
        """Report doubt about an earlier try instead of a certain refusal."""
        if isinstance(outcome, result.Failure) and self._uncertain:
            return self._doubt(_one_line(outcome.failure()))
        return outcome

    def _give_up(self, tries: int, reason: str) -> CommitResult:
        if self._uncertain:
            return self._doubt(reason)
        return result.Failure(errors.CommitContended(tries, reason))

    def _doubt(self, reason: str) -> CommitResult:
        assert self._tried is not None
        return result.Failure(
            errors.CommitUncertain(self._writer, self._tried.version, reason)
        )


def _attribute(
    chain: collections.abc.Sequence[parts.Head], names: collections.abc.Set[str]
) -> tuple[errors.ChangedPart, ...]:
    """Return the newest version in the chain that changed each part."""
    versions = dict.fromkeys(names, chain[0].version)
    for newer, older in reversed(list(zip(chain, chain[1:], strict=False))):
        for name in parts.changed_parts(newer.parts, older.parts) & names:
            versions[name] = newer.version
    return tuple(errors.ChangedPart(name, versions[name]) for name in sorted(names))


def _may_repeat(outcome: CommitResult) -> bool:
    kinds = errors.PlatformUnavailable | errors.VersionConflict
    return isinstance(outcome, result.Failure) and isinstance(outcome.failure(), kinds)


def _is_uncertain(error: errors.PlatformError) -> bool:
    return isinstance(error, errors.PlatformUnavailable) and error.uncertain


def _one_line(error: typing.Any) -> str:
    if isinstance(error, errors.PlatformUnavailable):
        return error.reason
    return str(error).splitlines()[0]
