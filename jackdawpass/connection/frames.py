"""Typed messages between entry instances and their CBOR encoding."""

import dataclasses
import typing

import cbor2
import msgspec
from returns import result

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_NESTING = 6
HASH_BYTES = 32
MAX_PARTS = 16384

_TYPE_KEY = "t"
_VERSION_KEY = "v"

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Text = typing.Annotated[str, msgspec.Meta(max_length=256)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Hash = typing.Annotated[
    bytes, msgspec.Meta(min_length=HASH_BYTES, max_length=HASH_BYTES)
]
Content = typing.Annotated[bytes, msgspec.Meta(max_length=1024 * 1024)]
Contents = typing.Annotated[tuple[Content, ...], msgspec.Meta(max_length=4096)]
Hashes = typing.Annotated[tuple[Hash, ...], msgspec.Meta(max_length=256)]
Names = typing.Annotated[tuple[Name, ...], msgspec.Meta(max_length=16384)]
PartHashes = typing.Annotated[
    dict[Name, typing.Annotated[tuple[Hash, ...], msgspec.Meta(max_length=1024)]],
    msgspec.Meta(max_length=MAX_PARTS),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First frame of each end of a link.

    Attributes
    ----------
    incarnation : str
        Unique id of the process; a replacement with the same name has another one.
    address : str
        ``host:port`` at which the instance accepts links.
    version : int
        Accepted configuration version; 0 if there is none.
    """

    instance: Name
    incarnation: Name
    zone: Name
    address: Text
    version: Count
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Have:
    """Announcement of a version that the sender has accepted."""

    version: Count


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Request for the newest version as a difference from the version `base`."""

    base: Count


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A version head as a difference, with contents that the receiver lacks.

    Attributes
    ----------
    base : int
        Version to which the difference applies; 0 for a complete head.
    changed : dict of str to tuple of bytes
        Hashes of the parts that are new or differ.
    removed : tuple of str
        Names of removed parts.
    digest : bytes
        SHA-256 of the complete head, which detects a wrong base.
    contents : tuple of bytes
        Chunk contents, bounded in size; the receiver requests the others by `Need`.
    """

    version: Count
    writer: Text
    previous: Text
    base: Count
    changed: PartHashes
    removed: Names
    digest: Hash
    contents: Contents


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Request for chunk contents by their hashes."""

    hashes: Hashes


@dataclasses.dataclass(frozen=True, slots=True)
class Chunks:
    """Chunk contents, in answer to `Need`; not necessarily all of them."""

    contents: Contents


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedMember:
    """A member as reported by a peer.

    Attributes
    ----------
    hops : int
        Number of instances between the sender and the one that observed the member.
    """

    instance: Name
    zone: Name
    address: Text
    leaving: bool = False
    hops: Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The sender's members and leaving targets; replaces its earlier report.

    Attributes
    ----------
    list_hops : int
        Number of instances between the sender and the platform's list from which
        the leaving targets come.
    """

    members: typing.Annotated[tuple[ReportedMember, ...], msgspec.Meta(max_length=4096)]
    leaving_targets: Names = ()
    list_hops: Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat.

    Attributes
    ----------
    version : int
        Accepted version of the sender.
    age_ms : int
        Milliseconds since the platform was last known to confirm the newest
        version; -1 when it never was. An elapsed time, not a time of day.
    """

    version: Count
    age_ms: typing.Annotated[int, msgspec.Meta(ge=-1, lt=2**62)]
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Request to check whether the receiver can reach an instance."""

    instance: Name
    address: Text


@dataclasses.dataclass(frozen=True, slots=True)
class Probed:
    """Answer to `Probe`."""

    instance: Name
    reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Bye:
    """Announcement that the sender closes the link as planned.

    Attributes
    ----------
    leaving : bool
        True when the instance stops; False when it no longer needs the link.
    """

    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FrameError:
    """A frame that cannot be decoded."""

    reason: str

    def __str__(self) -> str:
        return f"malformed peer frame ({self.reason}); the link is closed"


Frame = (
    Hello | Have | Want | Update | Need | Chunks | Members | Ping | Probe | Probed | Bye
)
Decoded = result.Result[Frame, FrameError]

_TYPES: dict[str, type[Frame]] = {
    "hello": Hello,
    "have": Have,
    "want": Want,
    "update": Update,
    "need": Need,
    "chunks": Chunks,
    "members": Members,
    "ping": Ping,
    "probe": Probe,
    "probed": Probed,
    "bye": Bye,
}
_TAGS = {kind: tag for tag, kind in _TYPES.items()}


def is_valid(frame: Frame) -> bool:
    """Return whether peers accept a frame that was made from untrusted data."""
    document = msgspec.to_builtins(frame, builtin_types=(bytes,))
    try:
        msgspec.convert(document, type(frame))
    except Exception:  # Lone surrogates raise errors of many types.
        return False
    return True


def encode(frame: Frame) -> bytes:
    """Return the CBOR encoding of a frame."""
    document = msgspec.to_builtins(frame, builtin_types=(bytes,))
    document[_TYPE_KEY] = _TAGS[type(frame)]
    document[_VERSION_KEY] = PROTOCOL_VERSION
    return cbor2.dumps(document)


def decode(data: bytes) -> Decoded:
    """Decode a frame; unknown fields are ignored."""
    if len(data) > MAX_FRAME_BYTES:
        return result.Failure(FrameError(f"over {MAX_FRAME_BYTES} bytes"))
    try:
        document = cbor2.loads(
            data,
            max_depth=MAX_NESTING,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except Exception as error:  # Tagged values raise errors of many types.
        return result.Failure(FrameError(f"not CBOR: {type(error).__name__}"))
    return _convert(document)


def _convert(document: object) -> Decoded:
    if not isinstance(document, dict):
        return result.Failure(FrameError("not a map"))
    if document.get(_VERSION_KEY) != PROTOCOL_VERSION:
        return result.Failure(FrameError("unsupported protocol version"))
    tag = document.get(_TYPE_KEY)
    kind = _TYPES.get(tag) if isinstance(tag, str) else None
    if kind is None:
        return result.Failure(FrameError("unknown type"))
    try:
        return result.Success(msgspec.convert(document, kind))
    except Exception as error:  # Lone surrogates and odd keys raise many errors.
        return result.Failure(FrameError(f"{tag}: {type(error).__name__}"))
