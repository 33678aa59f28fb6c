"""Base file and overlays: decoding JSON with comments, merging, validation."""

import collections.abc
import dataclasses
import typing

import jsonc
import msgspec
from returns import result

from jackdawpass import errors
from jackdawpass.version import origins, parts, schema

JsonObject = dict[str, typing.Any]
Loaded = result.Result[JsonObject, errors.InvalidConfiguration]


def load_text(text: str, name: str) -> Loaded:
    """Decode JSON with comments; `name` is used in messages."""
    try:
        document = jsonc.loads(
            text, object_pairs_hook=_build_object, parse_constant=_reject_constant
        )
        _require_encodable(document)
    except (ValueError, OverflowError, RecursionError) as error:
        reason = " ".join(str(error).split())
        fault = errors.Fault(name, f"is not valid JSON ({reason})", "correct the file")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    if not isinstance(document, dict):
        fault = errors.Fault(name, "is not a JSON object", "wrap it in braces")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    return result.Success(document)


def _require_encodable(document: object) -> None:
    # The decoder accepts infinite numbers and lone surrogates, which JSON cannot store.
    if msgspec.json.decode(parts.encode(document)) != document:
        raise ValueError("a number is too large")


def _build_object(pairs: list[tuple[str, typing.Any]]) -> JsonObject:
    members: JsonObject = {}
    for key, value in pairs:
        if key in members:
            raise ValueError(f"key {key!r} is repeated")
        members[key] = value
    return members


def _reject_constant(text: str) -> typing.NoReturn:
    raise ValueError(f"{text} is not a number")


def merge(
    base: collections.abc.Mapping[str, typing.Any],
    overlay: collections.abc.Mapping[str, typing.Any],
) -> JsonObject:
    """Return `base` with the merge patch `overlay` applied (RFC 7396).

    An object is merged key by key, null removes a key, and any other value replaces
    the value of the base.
    """
    merged = dict(base)
    for key, value in overlay.items():
        if value is None:
            merged.pop(key, None)
        elif isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge(merged[key], value)
        elif isinstance(value, dict):
            merged[key] = merge({}, value)
        else:
            merged[key] = value
    return merged


def parse_effective(base: JsonObject, overlay: JsonObject | None) -> schema.ParsedBase:
    """Merge the base with a site's overlay and parse the result."""
    return schema.parse_base(merge(base, overlay or {}))


def site_faults(
    base: JsonObject, overlays: collections.abc.Mapping[str, JsonObject]
) -> tuple[errors.Fault, ...]:
    """Return the faults of the base alone and of the base with each site's overlay.

    A fault of the base is reported once, not once per site.
    """
    base_faults = _find_faults(base)
    faults = [
        dataclasses.replace(fault, origin=origins.BASE_ORIGIN) for fault in base_faults
    ]
    for site in sorted(overlays):
        for fault in _find_faults(merge(base, overlays[site])):
            if fault not in base_faults:
                faults.append(origins.add_origin(fault, base, overlays[site], site))
    return tuple(faults)


def _find_faults(document: JsonObject) -> tuple[errors.Fault, ...]:
    parsed = schema.parse_base(document)
    if isinstance(parsed, result.Failure):
        return parsed.failure().faults
    return ()
