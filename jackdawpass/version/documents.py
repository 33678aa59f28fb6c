"""Base file and overlays: reading JSON with comments, merging, splitting."""

import collections.abc
import typing

import jsonc
from returns import result

from jackdawpass import errors
from jackdawpass.version import schema

JsonObject = dict[str, typing.Any]
Loaded = result.Result[JsonObject, errors.InvalidConfiguration]


def load_text(text: str, name: str) -> Loaded:
    """Decode JSON with comments; `name` is used in messages."""
    try:
        document = jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        fault = errors.Fault(name, f"is not valid JSON ({error})", "correct the file")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    if not isinstance(document, dict):
        fault = errors.Fault(name, "is not a JSON object", "wrap it in braces")
        return result.Failure(errors.InvalidConfiguration((fault,)))
    return result.Success(document)


def merge(
    base: collections.abc.Mapping[str, typing.Any],
    overlay: collections.abc.Mapping[str, typing.Any],
) -> JsonObject:
    """Return `base` with `overlay` laid over it; null removes a key (RFC 7396)."""
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


def effective(base: JsonObject, overlay: JsonObject | None) -> schema.ParsedBase:
    """Return the checked configuration of a site."""
    return schema.parse_base(merge(base, overlay or {}))
