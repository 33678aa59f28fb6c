"""Typed schemas for settings and configuration; every fault is reported at once."""

import collections.abc
import dataclasses
import difflib
import typing

import cattrs
import cattrs.errors

from jackdawpass import errors

_KIND_NAMES = {
    bool: "true or false",
    int: "an integer",
    float: "a number",
    str: "a string",
}


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and values of another type."""
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in _KIND_NAMES:
        converter.register_structure_hook(kind, _strict_hook(kind))
    return converter


def faults(error: BaseException, path: str = "") -> tuple[errors.Fault, ...]:
    """Return the faults that an exception of a converter holds.

    Parameters
    ----------
    error : BaseException
        Raised by the ``structure`` method of a converter.
    path : str
        Path of the document that was structured.
    """
    if isinstance(error, cattrs.errors.BaseValidationError):
        return tuple(
            fault
            for child in error.exceptions
            for fault in faults(child, _child_path(path, child))
        )
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        return tuple(
            _unknown_key(path, key, error.cl) for key in sorted(error.extra_fields)
        )
    if isinstance(error, KeyError):
        remedy = "add it"
        name = str(error.args[0])
        return (errors.Fault(_join(path, name), "is required", remedy),)
    return (errors.Fault(path or "$", str(error), "correct the value"),)


def near_match(name: str, known: collections.abc.Iterable[str]) -> str:
    """Return the remedy for an unknown name: the nearest known one, or all."""
    names = sorted(known)
    close = difflib.get_close_matches(name, names, n=1)
    return f"did you mean {close[0]!r}?" if close else f"known are {names}"


def in_range(
    path: str, value: float, low: float, high: float
) -> typing.Iterator[errors.Fault]:
    """Yield a fault if a number is outside ``[low, high]``."""
    # The negated form also rejects NaN.
    if not low <= value <= high:
        remedy = f"use a value from {low} to {high}"
        yield errors.Fault(path, f"{value} is out of range", remedy)


def _strict_hook(
    kind: type,
) -> typing.Callable[[object, object], typing.Any]:
    def structure(value: object, _: object) -> typing.Any:
        accepted = (int, float) if kind is float else (kind,)
        if type(value) not in accepted:
            raise ValueError(f"must be {_KIND_NAMES[kind]}, not {value!r}")
        return kind(value)

    return structure


def _child_path(path: str, child: BaseException) -> str:
    # A missing key is reported by its owner, whose path is already complete.
    if isinstance(child, KeyError):
        return path
    for note in getattr(child, "__notes__", ()):
        if isinstance(note, cattrs.errors.AttributeValidationNote):
            return _join(path, note.name)
        if isinstance(note, cattrs.errors.IterableValidationNote):
            return _join(path, str(note.index))
    return path


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _unknown_key(path: str, key: str, owner: type) -> errors.Fault:
    remedy = near_match(key, (field.name for field in dataclasses.fields(owner)))
    return errors.Fault(_join(path, key), "is unknown", remedy)
