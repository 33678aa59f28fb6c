"""Typed errors whose messages state the remedy."""

import dataclasses

import msgspec

# Raised when untrusted JSON is decoded and its values are converted. Deeply nested JSON
# raises RecursionError; numbers that are too large raise OverflowError.
DECODE_ERRORS = (
    msgspec.DecodeError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault in settings or configuration.

    Attributes
    ----------
    path : str
        Path of the faulty value, such as ``services.lots.shards``.
    message : str
        Description of the fault.
    remedy : str
        Action that corrects the fault.
    origin : str
        Document that contains the fault, such as ``base`` or ``overlay north``; empty
        if there is only one document.
    """

    path: str
    message: str
    remedy: str
    origin: str = ""

    def __str__(self) -> str:
        place = f"{self.origin}: {self.path}" if self.origin else self.path
        return f"{place}: {self.message}; {self.remedy}"


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """A configuration or settings file with at least one fault."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """A call to the platform's object API that got no answer, or an error.

    Attributes
    ----------
    uncertain : bool
        True if a write may have taken effect although it was not confirmed.
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
    """A conditional update that found another version of the object than expected."""

    key: str

    def __str__(self) -> str:
        return (
            f"object {self.key!r} was changed by another writer; "
            "read it again and repeat the change"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectMissing:
    """An object that does not exist."""

    key: str

    def __str__(self) -> str:
        return f"object {self.key!r} does not exist; create it first"


@dataclasses.dataclass(frozen=True, slots=True)
class CorruptObject:
    """An object whose content does not match its hash or its type."""

    key: str
    reason: str

    def __str__(self) -> str:
        return (
            f"object {self.key!r} is corrupt ({self.reason}); "
            "apply the last good configuration again"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ChangedPart:
    """A part that another operator changed, and the version with the change."""

    part: str
    version: int

    def __str__(self) -> str:
        return f"{self.part} in version {self.version}"


@dataclasses.dataclass(frozen=True, slots=True)
class ConflictingChange:
    """A change that conflicts with a concurrent change of another operator.

    Attributes
    ----------
    changes : tuple of ChangedPart
        Parts that the other operators changed.
    faults : tuple of Fault
        Faults of the combined changes; empty if both changed the same part.
    """

    changes: tuple[ChangedPart, ...]
    faults: tuple[Fault, ...] = ()

    def __str__(self) -> str:
        changed = ", ".join(str(change) for change in self.changes)
        line = (
            f"the configuration changed meanwhile ({changed}); "
            "compare with `config diff`, then apply the change again"
        )
        return "\n".join((line, *(str(fault) for fault in self.faults)))


@dataclasses.dataclass(frozen=True, slots=True)
class CommitContended:
    """A commit that other writers or the platform prevented; nothing was changed."""

    tries: int
    reason: str

    def __str__(self) -> str:
        return (
            f"gave up after {self.tries} tries ({self.reason}) and changed nothing; "
            "repeat the command"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CommitUncertain:
    """A commit that may have taken effect; its outcome could not be read back."""

    writer: str
    version: int
    reason: str

    def __str__(self) -> str:
        return (
            f"the change may have been accepted as version {self.version} "
            f"({self.reason}); look for writer {self.writer} in `config history` "
            "before repeating the command"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class VersionUnknown:
    """A version that is not in the history of the head."""

    version: int

    def __str__(self) -> str:
        return f"version {self.version} does not exist; see `config history`"


PlatformError = PlatformUnavailable | VersionConflict | ObjectMissing | CorruptObject
ChangeError = (
    PlatformError
    | InvalidConfiguration
    | ConflictingChange
    | CommitContended
    | CommitUncertain
    | VersionUnknown
)
