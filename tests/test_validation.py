"""Tests of validating documents against data classes."""

import dataclasses
import typing

from jackdawpass import validation


@dataclasses.dataclass(frozen=True)
class _Settings:
    name: str
    active: bool = False
    note: str = ""
    mode: typing.Literal["fast", "safe"] = "safe"
    seeds: list[str] = dataclasses.field(default_factory=list)


def _lines(document: object) -> list[str]:
    faults = validation.validate(document, _Settings, validation.Ranges({}))
    return [str(fault) for fault in faults]


def test_text_may_be_empty_only_where_its_default_is() -> None:
    """Guards against rejecting an empty string where it is the default."""
    assert _lines({"name": "", "note": ""}) == ["name: is empty; give it a value"]


def test_only_booleans_are_accepted_as_booleans() -> None:
    """Guards against accepting 1 or "true" as a Boolean."""
    assert _lines({"name": "a", "active": True}) == []
    for value in (1, "true", None):
        (line,) = _lines({"name": "a", "active": value})
        assert line.startswith("active: must be true or false, not ")
        assert line.endswith("; correct the value")


def test_unknown_key_suggests_a_similar_key_or_lists_all() -> None:
    """Guards against reporting a misspelled key without a hint."""
    assert _lines({"name": "a", "note_": "x", "zzz": 1}) == [
        "note_: is unknown; did you mean 'note'?",
        "zzz: is unknown; known keys are name, active, note, mode, seeds",
    ]


def test_document_of_another_type_is_a_single_fault() -> None:
    """Guards against an exception for a document that is not an object."""
    assert _lines([]) == ["$: must be an object, not a list; correct the value"]
