"""Origins of faults: the base or the overlay of a site."""

import collections.abc
import dataclasses
import typing

from jackdawpass import errors

BASE_ORIGIN = "base"


def overlay_origin(site: str) -> str:
    """Return the origin of faults in a site's overlay."""
    return f"overlay {site}"


def add_origin(
    fault: errors.Fault,
    base: collections.abc.Mapping[str, typing.Any],
    overlay: collections.abc.Mapping[str, typing.Any],
    site: str,
) -> errors.Fault:
    """Return the fault with the document that sets the faulty value as its origin.

    The origin is the overlay if it contains the whole path of the fault. If the last
    key of the path is missing, the origin is the overlay if it contains more of the
    path than the base does. Otherwise the origin is the base with the overlay.
    """
    in_overlay = _unmatched_length(fault.path, overlay)
    in_base = _unmatched_length(fault.path, base)
    if in_overlay == 0 or in_overlay < in_base:
        return dataclasses.replace(fault, origin=overlay_origin(site))
    origin = f"{BASE_ORIGIN} with {overlay_origin(site)}"
    return dataclasses.replace(fault, origin=origin)


def _unmatched_length(path: str, document: object) -> int:
    # Returns how many characters of the path have no matching key. Keys may contain
    # dots, so every key that is a prefix of the path is tried.
    if not path or not isinstance(document, collections.abc.Mapping):
        return len(path)
    lengths = [len(path)]
    for key, member in document.items():
        if path == key:
            return 0
        if path.startswith(f"{key}."):
            lengths.append(_unmatched_length(path[len(key) + 1 :], member))
    return min(lengths)
