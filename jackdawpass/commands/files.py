"""Configuration files and their conversion to changes of parts."""

import collections.abc
import pathlib

import msgspec
from returns import result

from jackdawpass import errors, validation
from jackdawpass.version import documents, parts

Changes = dict[str, bytes | None]
ChangesResult = result.Result[Changes, errors.InvalidConfiguration]
NameResult = result.Result[str, errors.InvalidConfiguration]


def load(path: str) -> documents.Loaded:
    """Load a JSON file with comments."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        fault = errors.Fault(path, f"cannot be read ({reason})", "check the path")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    return documents.load_text(text, path)


def check_name(kind: str, name: str) -> NameResult:
    """Check the name of a site or service given on the command line."""
    if validation.NAME_PATTERN.fullmatch(name):
        return result.Success(name)
    fault = errors.Fault(kind, f"{name!r} is not a valid name", validation.NAME_REMEDY)
    return result.Failure(errors.InvalidConfiguration((fault,)))


def base_changes(base: documents.JsonObject, head: parts.Head) -> ChangesResult:
    """Return the changes that replace the base of a head by `base`.

    The published index of a removed service is removed too.
    """
    faults = documents.site_faults(base, {})
    if faults:
        return result.Failure(errors.InvalidConfiguration(faults))
    new_parts = parts.split_base(base)
    changes: Changes = {
        name: content
        for name, content in new_parts.items()
        if head.parts.get(name) != parts.chunk_hashes(content)
    }
    for name in head.parts:
        if name.startswith(parts.SERVICE_PREFIX) and name not in new_parts:
            changes[name] = None
            index = parts.INDEX_PREFIX + name.removeprefix(parts.SERVICE_PREFIX)
            if index in head.parts:
                changes[index] = None
    return result.Success(changes)


def document_changes(name: str, document: documents.JsonObject) -> ChangesResult:
    """Return the change that replaces the content of one part by a document."""
    return result.Success({name: parts.encode(document)})


def rollback_changes(
    old_contents: collections.abc.Mapping[str, bytes], head: parts.Head
) -> Changes:
    """Return the changes that restore the contents of an older version."""
    changes: Changes = dict.fromkeys(head.parts.keys() - old_contents.keys())
    for name, content in old_contents.items():
        if head.parts.get(name) != parts.chunk_hashes(content):
            changes[name] = content
    return changes


def decode_parts(
    contents: collections.abc.Mapping[str, bytes],
) -> documents.JsonObject:
    """Return the decoded contents of parts by name."""
    return {name: msgspec.json.decode(content) for name, content in contents.items()}
