"""Finds the document, base or overlay, that a fault comes from."""

import collections.abc
import dataclasses
import typing

from jackdawpass import errors

BASE_ORIGIN = "base"


def overlay_origin(site: str) -> str:
    """Return the origin of faults in a site's overlay."""
    return f"overlay {site}"


def attribute(
    fault: errors.Fault,
    base: collections.abc.Mapping[str, typing.Any],
    overlay: collections.abc.Mapping[str, typing.Any],
    site: str,
) -> errors.Fault:
    """Return the fault with the origin that sets the faulty value.

    The overlay is the origin when it sets the whole path, or when it holds more of a
    path whose last key is missing; the base otherwise.
    """
    in_overlay = _missing_length(fault.path, overlay)
    in_base = _missing_length(fault.path, base)
    if in_overlay == 0 or in_overlay < in_base:
        return dataclasses.replace(fault, origin=overlay_origin(site))
    origin = f"{BASE_ORIGIN} with {overlay_origin(site)}"
    return dataclasses.replace(fault, origin=origin)


def _missing_length(path: str, document: object) -> int:
    # Names may contain dots, so that every key that starts the path is followed.
    if not path or not isinstance(document, collections.abc.Mapping):
        return len(path)
    lengths = [len(path)]
    for key, member in document.items():
        if path == key:
            return 0
        if path.startswith(f"{key}."):
            lengths.append(_missing_length(path[len(key) + 1 :], member))
    return min(lengths)
