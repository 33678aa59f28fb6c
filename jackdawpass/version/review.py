"""Validation of a whole configuration before it is committed."""

import collections.abc

import msgspec
from returns import result

from jackdawpass import errors
from jackdawpass.version import documents, indexes, parts

Contents = collections.abc.Mapping[str, bytes]
Reviewed = result.Result[None, errors.InvalidConfiguration]


def review(contents: Contents) -> Reviewed:
    """Validate the base, all overlays and all index documents together.

    Parameters
    ----------
    contents : mapping of str to bytes
        Content of each part by its name.

    Returns
    -------
    Result of None or InvalidConfiguration
        The failure contains every fault with its origin.
    """
    base = parts.join_base(contents)
    overlays = decode_overlays(contents)
    faults = documents.site_faults(base, overlays)
    if not faults:
        faults = _index_faults(contents, _declared_targets(base, overlays))
    if faults:
        return result.Failure(errors.InvalidConfiguration(faults))
    return result.Success(None)


def decode_overlays(contents: Contents) -> dict[str, documents.JsonObject]:
    """Decode the overlay of each site, by the site's name."""
    return {
        name.removeprefix(parts.OVERLAY_PREFIX): msgspec.json.decode(content)
        for name, content in contents.items()
        if name.startswith(parts.OVERLAY_PREFIX)
    }


def _declared_targets(
    base: documents.JsonObject,
    overlays: collections.abc.Mapping[str, documents.JsonObject],
) -> dict[str, set[str]]:
    declared: dict[str, set[str]] = {}
    for overlay in ({}, *overlays.values()):
        merged = documents.merge(base, overlay)
        for service, settings in merged["services"].items():
            declared.setdefault(service, set()).update(settings["targets"])
    return declared


def _index_faults(
    contents: Contents, declared: collections.abc.Mapping[str, set[str]]
) -> tuple[errors.Fault, ...]:
    faults: list[errors.Fault] = []
    for name in sorted(contents):
        if not name.startswith(parts.INDEX_PREFIX):
            continue
        service = name.removeprefix(parts.INDEX_PREFIX)
        parsed = indexes.parse_index(msgspec.json.decode(contents[name]), service)
        if isinstance(parsed, result.Failure):
            faults.extend(parsed.failure().faults)
            continue
        targets = declared.get(service)
        faults.extend(indexes.cross_check(parsed.unwrap(), service, targets))
    return tuple(faults)
