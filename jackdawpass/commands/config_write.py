"""Commands that commit a version: apply, rollback, index publish."""

import collections.abc

from returns import result
from twisted.internet import defer

from jackdawpass.commands import config_read, files, reports, session
from jackdawpass.process import commits, version_store
from jackdawpass.version import documents, parts

ChangesBuilder = collections.abc.Callable[
    [documents.JsonObject, parts.Head], files.ChangesResult
]


@defer.inlineCallbacks
def apply_file(
    path: str,
    build_changes: ChangesBuilder,
    based_on: int | None,
    platform_session: session.Session,
) -> session.DeferredGenerator[session.ReportResult]:
    """Commit the content of a file.

    Parameters
    ----------
    path : str
        JSON file with comments.
    build_changes : callable
        Returns the changes for the file's document and the head it is based on.
    based_on : int or None
        Version that the file was edited from; the current one if None.
    platform_session : Session
        Client of the platform.
    """
    loaded = files.load(path)
    if isinstance(loaded, result.Failure):
        return loaded
    versions = version_store.VersionStore(platform_session.platform)
    based_on_head = yield platform_session.read_version(versions, based_on)
    if isinstance(based_on_head, result.Failure):
        return based_on_head
    changes = build_changes(loaded.unwrap(), based_on_head.unwrap())
    if isinstance(changes, result.Failure):
        return changes
    return (yield _commit(changes.unwrap(), based_on_head.unwrap(), platform_session))


@defer.inlineCallbacks
def rollback(
    version: int, platform_session: session.Session
) -> session.DeferredGenerator[session.ReportResult]:
    """Commit the content of an older version as a new version."""
    versions = version_store.VersionStore(platform_session.platform)
    head = yield platform_session.read_version(versions, None)
    if isinstance(head, result.Failure):
        return head
    old_version = yield config_read.read_contents(platform_session, versions, version)
    if isinstance(old_version, result.Failure):
        return old_version
    changes = files.rollback_changes(old_version.unwrap().contents, head.unwrap())
    return (yield _commit(changes, head.unwrap(), platform_session))


@defer.inlineCallbacks
def _commit(
    changes: files.Changes, based_on_head: parts.Head, platform_session: session.Session
) -> session.DeferredGenerator[session.ReportResult]:
    reports.show_progress(f"committing {len(changes)} changed parts")
    committed = yield commits.commit(
        platform_session.platform, changes, based_on_head, platform_session.retry_policy
    )
    return committed.map(lambda head: _commit_report(head, based_on_head, changes))


def _commit_report(
    head: parts.Head, based_on_head: parts.Head, changes: files.Changes
) -> reports.Report:
    changed = sorted(changes) if head.version != based_on_head.version else []
    document = {"version": head.version, "writer": head.writer, "changed": changed}
    if not changed:
        return reports.Report(document, f"unchanged: version {head.version}")
    text = f"accepted as version {head.version}: {', '.join(changed)}"
    return reports.Report(document, text)
