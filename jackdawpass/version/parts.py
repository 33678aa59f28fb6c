"""Content-addressed parts of the configuration and the head that names them."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The commit point of the configuration.

    Attributes
    ----------
    version : int
        Position in the total order of accepted versions, from 1.
    writer : str
        Unique id of the write that made this version.
    previous : str
        Hash of the chunk that holds the previous head; empty for the first.
    parts : mapping of str to str
        Hash of each part by its name.
    """

    version: int
    writer: str
    previous: str
    parts: collections.abc.Mapping[str, str]


def encode(document: object) -> bytes:
    """Return the canonical encoding of a part, with sorted keys."""
    return msgspec.json.encode(document, order="sorted")


def chunk_hash(content: bytes) -> str:
    """Return the address of a chunk: the hexadecimal SHA-256 of its content."""
    return hashlib.sha256(content).hexdigest()


def split_base(base: collections.abc.Mapping[str, typing.Any]) -> dict[str, bytes]:
    """Split a base file into parts, one for each service and one for the rest."""
    rest = {key: value for key, value in base.items() if key != "services"}
    parts = {DEFAULTS_PART: encode(rest)}
    for name, service in base.get("services", {}).items():
        parts[SERVICE_PREFIX + name] = encode(service)
    return parts


def join_base(
    contents: collections.abc.Mapping[str, bytes],
) -> dict[str, typing.Any]:
    """Return the base file from its parts; the inverse of `split_base`."""
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
        "parts": dict(head.parts),
    }


def parse_head(document: object) -> Head | None:
    """Return the head of a JSON document, or None when it is malformed."""
    try:
        return msgspec.convert(document, Head)
    except (msgspec.ValidationError, TypeError):
        return None
