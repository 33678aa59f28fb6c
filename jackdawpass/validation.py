"""Checks a decoded document against data classes and reports all faults at once."""

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
SHOWN_VALUE_CHARACTERS = 40

_KIND_NAMES = {
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
    """Smallest and largest accepted value of a number, both inclusive."""

    low: float
    high: float


class Ranges:
    """Ranges of the numbers, by data class and field name."""

    def __init__(self, table: collections.abc.Mapping[tuple[type, str], Range]) -> None:
        self._table = table

    def of(self, owner: type, name: str) -> Range | None:
        """Return the range of a field, or None when every value is accepted."""
        return self._table.get((owner, name))


def validate(document: object, owner: type, ranges: Ranges) -> tuple[errors.Fault, ...]:
    """Return every fault of a document that should describe a data class.

    Parameters
    ----------
    document : object
        Decoded JSON.
    owner : type
        Data class whose fields are data classes, mappings by name, lists, literals,
        strings, numbers and truth values.
    ranges : Ranges
        Accepted values of its numbers.
    """
    return tuple(_Checker(ranges).check_class("", document, owner))


def join_path(path: str, name: str) -> str:
    """Return the path of a member."""
    return f"{path}.{name}" if path else name


def suggest_name(name: str, known: collections.abc.Sequence[str], group: str) -> str:
    """Return the remedy for an unknown name.

    Parameters
    ----------
    name : str
        The unknown name.
    known : sequence of str
        Names that are accepted.
    group : str
        What they are, such as ``known keys``; used when none resembles the name.
    """
    close = difflib.get_close_matches(name, known, n=1)
    return f"did you mean {close[0]!r}?" if close else f"{group} are {', '.join(known)}"


class _Checker:
    def __init__(self, ranges: Ranges) -> None:
        self._ranges = ranges

    def check_class(self, path: str, value: object, owner: type) -> Faults:
        if not isinstance(value, dict):
            yield _wrong_kind(path, value, dict)
            return
        fields = {field.name: field for field in dataclasses.fields(owner)}
        hints = typing.get_type_hints(owner)
        for name in sorted(value.keys() - fields.keys(), key=str):
            yield _unknown_key(path, str(name), tuple(fields))
        for name, field in fields.items():
            # An empty default means that the text may be left out, also as "".
            if name in value and value[name] == field.default == "":
                continue
            if name in value:
                allowed = self._ranges.of(owner, name)
                member = join_path(path, name)
                yield from self._check(member, value[name], hints[name], allowed)
            elif _is_required(field):
                yield errors.Fault(join_path(path, name), "is required", "add it")

    def _check(
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
            yield _wrong_kind(path, value, dict)
            return
        for name, member in value.items():
            member_path = join_path(path, name)
            yield from _check_name(member_path, name)
            yield from self._check(member_path, member, hint, None)

    def _check_list(self, path: str, value: object, hint: typing.Any) -> Faults:
        if not isinstance(value, list):
            yield _wrong_kind(path, value, list)
            return
        for index, member in enumerate(value):
            yield from self._check(join_path(path, str(index)), member, hint, None)


def _is_required(field: "dataclasses.Field[typing.Any]") -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _check_literal(path: str, value: object, choices: tuple[typing.Any, ...]) -> Faults:
    if value not in choices:
        remedy = "use " + " or ".join(repr(choice) for choice in choices)
        yield errors.Fault(path, f"{_shown(value)} is not a choice", remedy)


def _check_scalar(
    path: str, value: object, kind: type, allowed: Range | None
) -> Faults:
    # An exact type test: JSON true must not pass as the integer 1.
    accepted = (int, float) if kind is float else (kind,)
    if type(value) not in accepted:
        yield _wrong_kind(path, value, kind)
    elif value == "":
        yield errors.Fault(path, "is empty", "give it a value")
    elif allowed is not None:
        yield from _check_range(path, typing.cast(float, value), allowed)


def _check_range(path: str, value: float, allowed: Range) -> Faults:
    # The negated form also rejects NaN.
    if not allowed.low <= value <= allowed.high:
        remedy = f"use a value from {allowed.low} to {allowed.high}"
        yield errors.Fault(path, f"{_shown(value)} is out of range", remedy)


def _check_name(path: str, name: str) -> Faults:
    if not NAME_PATTERN.fullmatch(name):
        yield errors.Fault(path, "is not a valid name", NAME_REMEDY)


def _wrong_kind(path: str, value: object, kind: type) -> errors.Fault:
    name = _KIND_NAMES[kind]
    message = f"must be {name}, not {_shown(value)}"
    return errors.Fault(path or "$", message, "correct the value")


def _shown(value: object) -> str:
    if isinstance(value, dict | list | types.NoneType):
        names = {dict: "an object", list: "a list", types.NoneType: "null"}
        return names[type(value)]
    text = repr(value)
    if len(text) > SHOWN_VALUE_CHARACTERS:
        return text[:SHOWN_VALUE_CHARACTERS] + "..."
    return text


def _unknown_key(
    path: str, key: str, known: collections.abc.Sequence[str]
) -> errors.Fault:
    remedy = suggest_name(key, known, "known keys")
    return errors.Fault(join_path(path, key), "is unknown", remedy)
