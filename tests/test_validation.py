"""Checks of documents against data classes."""

import dataclasses
import typing

from jackdawpass import validation


@dataclasses.dataclass(frozen=True)
class _Document:
    name: str
    active: bool = False
    note: str = ""
    mode: typing.Literal["fast", "safe"] = "safe"
    seeds: list[str] = dataclasses.field(default_factory=list)


def _lines(document: object) -> list[str]:
    faults = validation.validate(document, _Document, validation.Ranges({}))
    return [str(fault) for fault in faults]


def test_text_may_be_empty_only_where_its_default_is() -> None:
    """Guards against refusing the value that leaving the key out gives."""
    assert _lines({"name": "", "note": ""}) == ["name: is empty; give it a value"]


def test_truth_values_are_not_numbers() -> None:
    """Guards against 1 or "true" passing for a truth value."""
    assert _lines({"name": "a", "active": True}) == []
    for value in (1, "true", None):
        (line,) = _lines({"name": "a", "active": value})
        assert line.startswith("active: must be true or false, not ")
        assert line.endswith("; correct the value")


def test_unknown_key_names_the_nearest_or_all() -> None:
    """Guards against a misspelled key without a hint."""
    assert _lines({"name": "a", "note_": "x", "zzz": 1}) == [
        "note_: is unknown; did you mean 'note'?",
        "zzz: is unknown; known keys are name, active, note, mode, seeds",
    ]


def test_document_of_another_kind_is_one_fault() -> None:
    """Guards against an exception for a document that is no object."""
    assert _lines([]) == ["$: must be an object, not a list; correct the value"]
