"""Typed error kinds whose messages name the remedy."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in settings or configuration.

    Attributes
    ----------
    path : str
        Where the fault is, such as ``services.lots.shards``.
    message : str
        What is wrong.
    remedy : str
        What to do about it.
    """

    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """A configuration or settings file with at least one fault."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform's object API did not answer, or answered with an error.

    Attributes
    ----------
    uncertain : bool
        True when a write may have taken effect although no reply arrived.
    """

    reason: str
    uncertain: bool = False

    def __str__(self) -> str:
        return (
            f"the platform's object API is unavailable ({self.reason}); "
            "check its address and state, then repeat the command"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """A conditional update found another version than expected."""

    key: str

    def __str__(self) -> str:
        return (
            f"object {self.key!r} was changed by another writer; "
            "read it again and repeat the change"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectMissing:
    """An object does not exist."""

    key: str

    def __str__(self) -> str:
        return f"object {self.key!r} does not exist; create it first"


@dataclasses.dataclass(frozen=True, slots=True)
class CorruptObject:
    """The content of an object does not match its address or its type."""

    key: str
    reason: str

    def __str__(self) -> str:
        return (
            f"object {self.key!r} is corrupt ({self.reason}); "
            "apply the last good configuration again"
        )


PlatformError = PlatformUnavailable | VersionConflict | ObjectMissing | CorruptObject
