"""Commands that read the configuration: check, diff, show, history."""

import argparse
import collections.abc
import dataclasses
import json

import cattrs
import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.commands import comparison, files, reports, session
from jackdawpass.process import version_store
from jackdawpass.version import documents, parts


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """The head of an accepted version, with the contents of its parts by name."""

    head: parts.Head
    contents: dict[str, bytes]


def check(arguments: argparse.Namespace) -> int:
    """Check a base file and overlays without calling the platform."""
    loaded = {path: files.load(path) for path in (arguments.base, *arguments.overlays)}
    faults = [
        fault
        for each in loaded.values()
        if isinstance(each, result.Failure)
        for fault in each.failure().faults
    ]
    if not faults:
        decoded = {path: each.unwrap() for path, each in loaded.items()}
        overlays = {path: decoded[path] for path in arguments.overlays}
        faults.extend(documents.site_faults(decoded[arguments.base], overlays))
    if faults:
        error = errors.InvalidConfiguration(tuple(faults))
        return reports.show_failure(error, arguments.format)
    text = f"valid: {', '.join(loaded)}"
    report = reports.Report({"valid": list(loaded)}, text)
    return reports.show_report(report, arguments.format)


@defer.inlineCallbacks
def diff_file(
    part: str | None, path: str, platform_session: session.Session
) -> session.DeferredGenerator[session.ReportResult]:
    """Compare a base file, or the file of one part, with the current version."""
    loaded = files.load(path)
    if isinstance(loaded, result.Failure):
        return loaded
    versions = version_store.VersionStore(platform_session.platform)
    read_result = yield read_contents(platform_session, versions, None)
    if isinstance(read_result, result.Failure):
        return read_result
    accepted: AcceptedVersion = read_result.unwrap()
    document = parts.join_base(accepted.contents)
    if part is not None:
        document = msgspec.json.decode(accepted.contents.get(part, b"{}"))
    differences = tuple(comparison.compare(document, loaded.unwrap()))
    old = f"version {accepted.head.version}"
    return result.Success(_differences_report(differences, old, path))


@defer.inlineCallbacks
def diff_versions(
    old: int, new: int, platform_session: session.Session
) -> session.DeferredGenerator[session.ReportResult]:
    """Compare all parts of two versions."""
    versions = version_store.VersionStore(platform_session.platform)
    version_documents = []
    for version in (old, new):
        read_result = yield read_contents(platform_session, versions, version)
        if isinstance(read_result, result.Failure):
            return read_result
        version_documents.append(files.decode_parts(read_result.unwrap().contents))
    differences = tuple(comparison.compare(version_documents[0], version_documents[1]))
    return result.Success(
        _differences_report(differences, f"version {old}", f"version {new}")
    )


@defer.inlineCallbacks
def show(
    arguments: argparse.Namespace, platform_session: session.Session
) -> session.DeferredGenerator[session.ReportResult]:
    """Show the base, an overlay or the effective configuration of a site."""
    versions = version_store.VersionStore(platform_session.platform)
    read_result = yield read_contents(platform_session, versions, arguments.version)
    if isinstance(read_result, result.Failure):
        return read_result
    accepted: AcceptedVersion = read_result.unwrap()
    selected = _select_document(arguments, accepted.contents)
    return selected.map(
        lambda document: _document_report(accepted.head.version, document)
    )


@defer.inlineCallbacks
def history(
    limit: int, platform_session: session.Session
) -> session.DeferredGenerator[session.ReportResult]:
    """Show the accepted versions, newest first, with the parts each changed."""
    versions = version_store.VersionStore(platform_session.platform)
    read_result = yield versions.read_head()
    if isinstance(read_result, result.Failure):
        return read_result
    head = read_result.unwrap().head
    # One more head is needed to list the changes of the oldest version shown.
    heads = yield versions.read_history(head, 0, limit + 1)
    if isinstance(heads, result.Failure):
        return heads
    entries = _history_entries(heads.unwrap(), limit)
    text = "\n".join(
        f"{entry['version']}  {entry['writer']}  {', '.join(entry['changed'])}"
        for entry in entries
    )
    document = {"version": head.version, "history": entries}
    return result.Success(reports.Report(document, text or "no version yet"))


@defer.inlineCallbacks
def read_contents(
    platform_session: session.Session,
    versions: version_store.VersionStore,
    version: int | None,
) -> session.DeferredGenerator[result.Result[AcceptedVersion, errors.ChangeError]]:
    """Read the head and contents of a version, the current one if `version` is None."""
    head_result = yield platform_session.read_version(versions, version)
    if isinstance(head_result, result.Failure):
        return head_result
    head = head_result.unwrap()
    contents_result = yield versions.read_contents(head.parts)
    return contents_result.map(lambda contents: AcceptedVersion(head, contents))


def _select_document(
    arguments: argparse.Namespace, contents: collections.abc.Mapping[str, bytes]
) -> documents.Loaded:
    base = parts.join_base(contents)
    site = arguments.effective or arguments.overlay
    if site is None:
        return result.Success(base)
    overlay = msgspec.json.decode(contents.get(parts.OVERLAY_PREFIX + site, b"{}"))
    if arguments.overlay:
        return result.Success(overlay)
    return documents.parse_effective(base, overlay).map(cattrs.unstructure)


def _document_report(version: int, document: documents.JsonObject) -> reports.Report:
    # The version is a comment, so that the output can be applied as a file.
    text = f"// version {version}\n{json.dumps(document, indent=reports.JSON_INDENT)}"
    return reports.Report({"version": version, "configuration": document}, text)


def _differences_report(
    differences: collections.abc.Sequence[comparison.Difference], old: str, new: str
) -> reports.Report:
    document = {
        "old": old,
        "new": new,
        "differences": [dataclasses.asdict(each) for each in differences],
    }
    text = "\n".join(str(each) for each in differences)
    return reports.Report(document, text or f"no difference: {old} and {new}")


def _history_entries(
    heads: collections.abc.Sequence[parts.Head], limit: int
) -> list[documents.JsonObject]:
    older = (*heads[1:], version_store.EMPTY_HEAD)
    return [
        {
            "version": head.version,
            "writer": head.writer,
            "changed": sorted(parts.changed_parts(previous.parts, head.parts)),
        }
        for head, previous in zip(heads, older, strict=True)
        if head.version
    ][:limit]
