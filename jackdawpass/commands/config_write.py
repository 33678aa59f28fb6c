"""Operators' commands that commit a version: apply, rollback, index publish."""

import collections.abc

from returns import result
from twisted.internet import defer

from jackdawpass.commands import config_read, files, reports, session
from jackdawpass.process import commits, version_store
from jackdawpass.version import documents, parts

MakeChanges = collections.abc.Callable[
    [documents.JsonObject, parts.Head], files.MadeChanges
]


@defer.inlineCallbacks
def apply_file(
    path: str,
    make_changes: MakeChanges,
    based_on: int | None,
    current: session.Session,
) -> session.Steps[session.ReportResult]:
    """Commit the content of a file.

    Parameters
    ----------
    path : str
        File of JSON with comments.
    make_changes : callable
        Gives the changes for the file's document and the head it is based on.
    based_on : int or None
        Version that the file was edited from; the current one when None.
    current : Session
        Reaches the platform.
    """
    loaded = files.load(path)
    if isinstance(loaded, result.Failure):
        return loaded
    versions = version_store.VersionStore(current.platform)
    seen = yield current.read_version(versions, based_on)
    if isinstance(seen, result.Failure):
        return seen
    changes = make_changes(loaded.unwrap(), seen.unwrap())
    if isinstance(changes, result.Failure):
        return changes
    return (yield _commit(changes.unwrap(), seen.unwrap(), current))


@defer.inlineCallbacks
def rollback(
    version: int, current: session.Session
) -> session.Steps[session.ReportResult]:
    """Commit the content of an older version as a new version."""
    versions = version_store.VersionStore(current.platform)
    head = yield current.read_version(versions, None)
    if isinstance(head, result.Failure):
        return head
    old = yield config_read.read_contents(current, versions, version)
    if isinstance(old, result.Failure):
        return old
    changes = files.rollback_changes(old.unwrap().contents, head.unwrap())
    return (yield _commit(changes, head.unwrap(), current))


@defer.inlineCallbacks
def _commit(
    changes: files.Changes, seen: parts.Head, current: session.Session
) -> session.Steps[session.ReportResult]:
    reports.show_progress(f"committing {len(changes)} changed parts")
    committed = yield commits.commit(
        current.platform, changes, seen, current.retry_policy
    )
    return committed.map(lambda head: _accepted(head, seen, changes))


def _accepted(
    head: parts.Head, seen: parts.Head, changes: files.Changes
) -> reports.Report:
    changed = sorted(changes) if head.version != seen.version else []
    document = {"version": head.version, "writer": head.writer, "changed": changed}
    if not changed:
        return reports.Report(document, f"unchanged: version {head.version}")
    text = f"accepted as version {head.version}: {', '.join(changed)}"
    return reports.Report(document, text)
