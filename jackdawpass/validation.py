"""Validation of decoded documents against data classes, which reports all faults."""

import collections.abc
import dataclasses
import difflib
import re
import types
import typing

from jackdawpass import errors

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
NAME_REMEDY = (
    "start with a lower-case letter or digit and use up to 63 lower-case letters, "
    "digits, '.', '_' and '-'"
)
MAX_SHOWN_CHARACTERS = 40

_TYPE_NAMES = {
    bool: "true or false",
    int: "an integer",
    float: "a number",
    str: "a string",
    dict: "an object",
    list: "a list",
}

Faults = collections.abc.Iterator[errors.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Minimum and maximum accepted value of a number, both inclusive."""

    low: float
    high: float


class Ranges:
    """Accepted ranges of numbers, by data class and field name."""

    def __init__(self, table: collections.abc.Mapping[tuple[type, str], Range]) -> None:
        self._table = table

    def of(self, owner: type, name: str) -> Range | None:
        """Return the range of a field, or None if every value is accepted."""
        return self._table.get((owner, name))


def validate(document: object, owner: type, ranges: Ranges) -> tuple[errors.Fault, ...]:
    """Return all faults of a document that should match a data class.

    Parameters
    ----------
    document : object
        Decoded JSON.
    owner : type
        Data class whose fields are data classes, mappings by name, lists, literals,
        strings, numbers and Booleans.
    ranges : Ranges
        Accepted ranges of numbers.
    """
    return tuple(_Validator(ranges).check_class("", document, owner))


def join_path(path: str, name: str) -> str:
    """Append the name of a member to a path, which may be empty."""
    return f"{path}.{name}" if path else name


def suggest_name(name: str, known: collections.abc.Sequence[str], group: str) -> str:
    """Return a remedy for an unknown name: the most similar known name, or all.

    Parameters
    ----------
    name : str
        The unknown name.
    known : sequence of str
        Accepted names.
    group : str
        Description of the accepted names, such as ``known keys``; used if none of them
        resembles the name.
    """
    matches = difflib.get_close_matches(name, known, n=1)
    return (
        f"did you mean {matches[0]!r}?"
        if matches
        else f"{group} are {', '.join(known)}"
    )


class _Validator:
    def __init__(self, ranges: Ranges) -> None:
        self._ranges = ranges

    def check_class(self, path: str, value: object, owner: type) -> Faults:
        if not isinstance(value, dict):
            yield _wrong_type(path, value, dict)
            return
        fields = {field.name: field for field in dataclasses.fields(owner)}
        hints = typing.get_type_hints(owner)
        for name in sorted(value.keys() - fields.keys(), key=str):
            yield _unknown_key(path, str(name), tuple(fields))
        for name, field in fields.items():
            # A field whose default is "" may be omitted, and may also be set to "".
            if name in value and value[name] == field.default == "":
                continue
            if name in value:
                allowed = self._ranges.of(owner, name)
                member = join_path(path, name)
                yield from self._check_value(member, value[name], hints[name], allowed)
            elif _is_required(field):
                yield errors.Fault(join_path(path, name), "is required", "add it")

    def _check_value(
        self, path: str, value: object, hint: typing.Any, allowed: Range | None
    ) -> Faults:
        origin = typing.get_origin(hint)
        if dataclasses.is_dataclass(hint):
            yield from self.check_class(path, value, typing.cast(type, hint))
        elif origin is dict:
            yield from self._check_mapping(path, value, typing.get_args(hint)[1])
        elif origin is list:
            yield from self._check_list(path, value, typing.get_args(hint)[0])
        elif origin is typing.Literal:
            yield from _check_literal(path, value, typing.get_args(hint))
        else:
            yield from _check_scalar(path, value, hint, allowed)

    def _check_mapping(self, path: str, value: object, hint: typing.Any) -> Faults:
        if not isinstance(value, dict):
            yield _wrong_type(path, value, dict)
            return
        for name, member in value.items():
            member_path = join_path(path, name)
            yield from _check_name(member_path, name)
            yield from self._check_value(member_path, member, hint, None)

    def _check_list(self, path: str, value: object, hint: typing.Any) -> Faults:
        if not isinstance(value, list):
            yield _wrong_type(path, value, list)
            return
        for index, member in enumerate(value):
            yield from self._check_value(
                join_path(path, str(index)), member, hint, None
            )


def _is_required(field: "dataclasses.Field[typing.Any]") -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _check_literal(path: str, value: object, choices: tuple[typing.Any, ...]) -> Faults:
    if value not in choices:
        remedy = "use " + " or ".join(repr(choice) for choice in choices)
        yield errors.Fault(path, f"{_format_value(value)} is not a choice", remedy)


def _check_scalar(
    path: str, value: object, expected: type, allowed: Range | None
) -> Faults:
    # Compares exact types, since isinstance would accept JSON true as the integer 1.
    accepted = (int, float) if expected is float else (expected,)
    if type(value) not in accepted:
        yield _wrong_type(path, value, expected)
    elif value == "":
        yield errors.Fault(path, "is empty", "give it a value")
    elif allowed is not None:
        yield from _check_range(path, typing.cast(float, value), allowed)


def _check_range(path: str, value: float, allowed: Range) -> Faults:
    # The negated comparison also rejects NaN.
    if not allowed.low <= value <= allowed.high:
        remedy = f"use a value from {allowed.low} to {allowed.high}"
        yield errors.Fault(path, f"{_format_value(value)} is out of range", remedy)


def _check_name(path: str, name: str) -> Faults:
    if not NAME_PATTERN.fullmatch(name):
        yield errors.Fault(path, "is not a valid name", NAME_REMEDY)


def _wrong_type(path: str, value: object, expected: type) -> errors.Fault:
    name = _TYPE_NAMES[expected]
    message = f"must be {name}, not {_format_value(value)}"
    return errors.Fault(path or "$", message, "correct the value")


def _format_value(value: object) -> str:
    if isinstance(value, dict | list | types.NoneType):
        names = {dict: "an object", list: "a list", types.NoneType: "null"}
        return names[type(value)]
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "..."
    return text


def _unknown_key(
    path: str, key: str, known: collections.abc.Sequence[str]
) -> errors.Fault:
    remedy = suggest_name(key, known, "known keys")
    return errors.Fault(join_path(path, key), "is unknown", remedy)
