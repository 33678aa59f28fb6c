"""Comparison of two decoded JSON documents, value by value."""

import collections.abc
import dataclasses
import json
import typing

from jackdawpass import validation

_ABSENT = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A value that was added, removed or changed.

    Attributes
    ----------
    kind : {"added", "removed", "changed"}
        Type of the change.
    old, new : object
        Decoded JSON; None in the document that lacks the value.
    """

    path: str
    kind: typing.Literal["added", "removed", "changed"]
    old: typing.Any = None
    new: typing.Any = None

    def __str__(self) -> str:
        if self.kind == "added":
            return f"+ {self.path}: {json.dumps(self.new)}"
        if self.kind == "removed":
            return f"- {self.path}: {json.dumps(self.old)}"
        return f"~ {self.path}: {json.dumps(self.old)} -> {json.dumps(self.new)}"


def compare(
    old: object, new: object, path: str = ""
) -> collections.abc.Iterator[Difference]:
    """Yield the differences in the order of their paths."""
    if old == new and type(old) is type(new):
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            member_path = validation.join_path(path, key)
            yield from compare(
                old.get(key, _ABSENT), new.get(key, _ABSENT), member_path
            )
    elif old is _ABSENT:
        yield Difference(path, "added", new=new)
    elif new is _ABSENT:
        yield Difference(path, "removed", old=old)
    else:
        yield Difference(path, "changed", old, new)
