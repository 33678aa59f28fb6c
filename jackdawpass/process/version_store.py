"""Access to the head, its history and the chunks in the platform's object store."""

import collections.abc
import dataclasses
import typing

import msgspec
from returns import result
from twisted.internet import defer

from jackdawpass import errors
from jackdawpass.connection import platform_api
from jackdawpass.version import parts

# About two days at 1,100 changes a day; reading that many takes a few seconds.
MAX_HISTORY_HEADS = 2_000

EMPTY_HEAD = parts.Head(0, "", "", {})

T = typing.TypeVar("T")
Steps = typing.Generator[defer.Deferred[typing.Any], typing.Any, T]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredHead:
    """A head and the version of the object that stores it.

    Attributes
    ----------
    object_version : int
        Condition for replacing the head; 0 if there is no head object yet.
    """

    head: parts.Head
    object_version: int


StoredHeadResult = result.Result[StoredHead, errors.PlatformError]
HeadResult = result.Result[parts.Head, errors.ChangeError]
HistoryResult = result.Result[tuple[parts.Head, ...], errors.PlatformError]
ContentsResult = result.Result[dict[str, bytes], errors.PlatformError]


class VersionStore:
    """Reader of heads and parts, with a cache of chunks, which are immutable.

    Parameters
    ----------
    platform : PlatformApi
        Object API of the platform.
    """

    def __init__(self, platform: platform_api.PlatformApi) -> None:
        self._platform = platform
        self._chunks: dict[str, bytes] = {}

    @defer.inlineCallbacks
    def read_head(self) -> Steps[StoredHeadResult]:
        """Read the head; if there is none, return an empty head of version 0."""
        stored = yield self._platform.read(parts.HEAD_KEY)
        if isinstance(stored, result.Failure):
            if isinstance(stored.failure(), errors.ObjectMissing):
                return result.Success(StoredHead(EMPTY_HEAD, 0))
            return stored
        head = parts.parse_head(stored.unwrap().value)
        if head is None:
            return result.Failure(errors.CorruptObject(parts.HEAD_KEY, "not a head"))
        return result.Success(StoredHead(head, stored.unwrap().version))

    @defer.inlineCallbacks
    def read_history(
        self, head: parts.Head, oldest: int, limit: int = MAX_HISTORY_HEADS
    ) -> Steps[HistoryResult]:
        """Read the heads from `head` back to version `oldest`.

        Returns
        -------
        Result of tuple of Head or PlatformError
            Newest first; at most `limit` heads.
        """
        chain = [head]
        while chain[-1].previous and chain[-1].version > oldest and len(chain) < limit:
            chunk_hash = chain[-1].previous
            read = yield self.read_chunk(chunk_hash)
            if isinstance(read, result.Failure):
                return read
            previous = parts.parse_head(msgspec.json.decode(read.unwrap()))
            if previous is None or previous.version >= chain[-1].version:
                key = parts.CHUNK_PREFIX + chunk_hash
                return result.Failure(errors.CorruptObject(key, "not an older head"))
            chain.append(previous)
        return result.Success(tuple(chain))

    @defer.inlineCallbacks
    def find_version(self, head: parts.Head, version: int) -> Steps[HeadResult]:
        """Return the head of a version from the history of `head`."""
        if not 1 <= version <= head.version:
            return result.Failure(errors.VersionUnknown(version))
        chain = yield self.read_history(head, version)
        if isinstance(chain, result.Failure):
            return chain
        oldest = chain.unwrap()[-1]
        if oldest.version != version:
            return result.Failure(errors.VersionUnknown(version))
        return result.Success(oldest)

    @defer.inlineCallbacks
    def read_contents(
        self,
        hashes_by_part: collections.abc.Mapping[str, tuple[str, ...]],
    ) -> Steps[ContentsResult]:
        """Read the content of each named part."""
        content_by_part: dict[str, bytes] = {}
        for name, hashes in hashes_by_part.items():
            chunks = []
            for chunk_hash in hashes:
                read = yield self.read_chunk(chunk_hash)
                if isinstance(read, result.Failure):
                    return read
                chunks.append(read.unwrap())
            try:
                content_by_part[name] = parts.join_content(chunks)
            except (msgspec.DecodeError, UnicodeError) as error:
                return result.Failure(errors.CorruptObject(name, str(error)))
        return result.Success(content_by_part)

    @defer.inlineCallbacks
    def read_chunk(
        self, chunk_hash: str
    ) -> Steps[result.Result[bytes, errors.PlatformError]]:
        """Read a chunk and verify its hash."""
        if chunk_hash in self._chunks:
            return result.Success(self._chunks[chunk_hash])
        key = parts.CHUNK_PREFIX + chunk_hash
        read = yield self._platform.read(key)
        if isinstance(read, result.Failure):
            return read
        content = parts.encode(read.unwrap().value)
        if parts.chunk_hash(content) != chunk_hash:
            return result.Failure(errors.CorruptObject(key, "its hash differs"))
        self._chunks[chunk_hash] = content
        return result.Success(content)

    @defer.inlineCallbacks
    def write_chunk(
        self, content: bytes
    ) -> Steps[result.Result[str, errors.PlatformError]]:
        """Write a chunk if it does not exist yet; return its hash."""
        chunk_hash = parts.chunk_hash(content)
        if chunk_hash in self._chunks:
            return result.Success(chunk_hash)
        written = yield self._platform.create(
            parts.CHUNK_PREFIX + chunk_hash, msgspec.json.decode(content)
        )
        if isinstance(written, result.Failure) and not isinstance(
            written.failure(), errors.VersionConflict
        ):
            return written
        self._chunks[chunk_hash] = content
        return result.Success(chunk_hash)
