"""Reads operators' files and turns them into changes of parts."""

import collections.abc
import pathlib

import msgspec
from returns import result

from jackdawpass import errors, validation
from jackdawpass.version import documents, parts

Changes = dict[str, bytes | None]
MadeChanges = result.Result[Changes, errors.InvalidConfiguration]
Checked = result.Result[str, errors.InvalidConfiguration]


def load(path: str) -> documents.Loaded:
    """Read a file of JSON with comments."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        fault = errors.Fault(path, f"cannot be read ({reason})", "check the path")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    return documents.load_text(text, path)


def check_name(kind: str, name: str) -> Checked:
    """Check the name of a site or service given on the command line."""
    if validation.NAME_PATTERN.fullmatch(name):
        return result.Success(name)
    fault = errors.Fault(kind, f"{name!r} is not a valid name", validation.NAME_REMEDY)
    return result.Failure(errors.InvalidConfiguration((fault,)))


def base_changes(base: documents.JsonObject, head: parts.Head) -> MadeChanges:
    """Return the changes that make `base` the base of a head.

    A service that is removed takes its published index with it.
    """
    faults = documents.site_faults(base, {})
    if faults:
        return result.Failure(errors.InvalidConfiguration(faults))
    wanted = parts.split_base(base)
    changes: Changes = {
        name: content
        for name, content in wanted.items()
        if head.parts.get(name) != parts.chunk_hashes(content)
    }
    for name in head.parts:
        if name.startswith(parts.SERVICE_PREFIX) and name not in wanted:
            changes[name] = None
            index = parts.INDEX_PREFIX + name.removeprefix(parts.SERVICE_PREFIX)
            if index in head.parts:
                changes[index] = None
    return result.Success(changes)


def document_changes(name: str, document: documents.JsonObject) -> MadeChanges:
    """Return the change that makes a document the content of one part."""
    return result.Success({name: parts.encode(document)})


def rollback_changes(
    old: collections.abc.Mapping[str, bytes], head: parts.Head
) -> Changes:
    """Return the changes that bring back the contents of an older version."""
    changes: Changes = dict.fromkeys(head.parts.keys() - old.keys())
    for name, content in old.items():
        if head.parts.get(name) != parts.chunk_hashes(content):
            changes[name] = content
    return changes


def part_documents(
    contents: collections.abc.Mapping[str, bytes],
) -> documents.JsonObject:
    """Return the decoded parts by name."""
    return {name: msgspec.json.decode(content) for name, content in contents.items()}
