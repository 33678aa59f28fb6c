"""Content-addressed parts of the configuration and the head that lists them."""

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

HEAD_KEY = "head"
CHUNK_PREFIX = "chunks/"
DEFAULTS_PART = "base/defaults"
SERVICE_PREFIX = "base/service/"
OVERLAY_PREFIX = "overlay/"
INDEX_PREFIX = "index/"

# A JSON string takes at most 4 bytes per character of a JSON text, so a chunk of this
# many characters stays under the platform's limit of 1 MB per value.
MAX_CHUNK_CHARACTERS = 240_000
MAX_WHOLE_BYTES = 960_000


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Root of a configuration version; writing it commits the version.

    Attributes
    ----------
    version : int
        Number of the accepted version, from 1; accepted versions are totally ordered.
    writer : str
        Unique id of the write that created this version.
    previous : str
        Hash of the chunk that holds the previous head; empty for the first version.
    parts : mapping of str to tuple of str
        Hashes of the chunks of each part, in order, by the name of the part.
    """

    version: int
    writer: str
    previous: str
    parts: collections.abc.Mapping[str, tuple[str, ...]]


def encode(document: object) -> bytes:
    """Return the canonical JSON encoding of a part, with sorted keys."""
    return msgspec.json.encode(document, order="sorted")


def chunk_hash(content: bytes) -> str:
    """Return the hexadecimal SHA-256 of a chunk, under which it is stored."""
    return hashlib.sha256(content).hexdigest()


def split_content(content: bytes) -> tuple[bytes, ...]:
    """Split the content of a part into the contents of its chunks.

    A part that fits in one object is a single chunk. A larger part is split into JSON
    strings whose concatenation is its text.
    """
    if len(content) <= MAX_WHOLE_BYTES:
        return (content,)
    text = content.decode("utf-8")
    return tuple(
        msgspec.json.encode(text[start : start + MAX_CHUNK_CHARACTERS])
        for start in range(0, len(text), MAX_CHUNK_CHARACTERS)
    )


def join_content(chunks: collections.abc.Sequence[bytes]) -> bytes:
    """Join the chunks of a part; the inverse of `split_content`.

    Raises
    ------
    msgspec.DecodeError
        If one of several chunks is not a JSON string.
    """
    if len(chunks) == 1:
        return chunks[0]
    return "".join(msgspec.json.decode(chunk, type=str) for chunk in chunks).encode()


def chunk_hashes(content: bytes) -> tuple[str, ...]:
    """Return the hashes of the chunks into which a part is split."""
    return tuple(chunk_hash(chunk) for chunk in split_content(content))


def changed_parts(
    old: collections.abc.Mapping[str, tuple[str, ...]],
    new: collections.abc.Mapping[str, tuple[str, ...]],
) -> frozenset[str]:
    """Return the names of the parts that differ between two heads."""
    names = old.keys() | new.keys()
    return frozenset(name for name in names if old.get(name) != new.get(name))


def split_base(base: collections.abc.Mapping[str, typing.Any]) -> dict[str, bytes]:
    """Split a base file into one part per service and one for all other keys."""
    defaults = {key: value for key, value in base.items() if key != "services"}
    parts = {DEFAULTS_PART: encode(defaults)}
    for name, service in base.get("services", {}).items():
        parts[SERVICE_PREFIX + name] = encode(service)
    return parts


def join_base(
    contents: collections.abc.Mapping[str, bytes],
) -> dict[str, typing.Any]:
    """Join the parts of a base file; the inverse of `split_base`."""
    base: dict[str, typing.Any] = {}
    if DEFAULTS_PART in contents:
        base.update(msgspec.json.decode(contents[DEFAULTS_PART]))
    base["services"] = {
        name.removeprefix(SERVICE_PREFIX): msgspec.json.decode(content)
        for name, content in contents.items()
        if name.startswith(SERVICE_PREFIX)
    }
    return base


def head_document(head: Head) -> dict[str, typing.Any]:
    """Return the JSON document of a head."""
    return {
        "version": head.version,
        "writer": head.writer,
        "previous": head.previous,
        "parts": {name: list(hashes) for name, hashes in head.parts.items()},
    }


def parse_head(document: object) -> Head | None:
    """Parse the JSON document of a head; return None if it is malformed."""
    try:
        return msgspec.convert(document, Head)
    except (msgspec.ValidationError, TypeError):
        return None
